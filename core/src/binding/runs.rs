//! Table of the once-only requests of one target incarnation, with their status and answers.
//!
//! The target's node keeps the table. A key stays recorded until its window is dropped, so a
//! second run under the same binding is impossible and no clock is involved; see
//! [at most once](../../../docs/design/at-most-once.md).

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::sealed::SealedTable;
use super::window::{WindowSpan, WindowState, Windows};
use super::{Binding, RunStatus, RunVerdict};
use crate::ids::{Incarnation, InstanceId, RequestId};
use crate::outcome::{ErrorKind, Outcome};
use crate::time::Moment;

/// Maximum number of window spans; beyond it no window is opened and the last one stays current.
const MAX_SPANS: usize = 256;

/// Bounds of a [`RunTable`].
#[derive(Debug, Clone, Copy)]
pub struct RunLimits {
    /// Maximum number of recorded requests, tombstones included.
    pub keys: usize,
    /// Maximum size in bytes of all stored answers plus the space reserved for running requests.
    pub bytes: usize,
    /// Time after which a new window is opened.
    pub window: Duration,
    /// Time for which keys and answers are kept after the end of their window; the longest repeat
    /// window of the contract's once-only classes.
    pub retention: Duration,
}

/// One recorded request.
#[derive(Debug)]
pub(crate) struct Entry<A> {
    pub(crate) window: u64,
    pub(crate) serial: u32,
    /// Bytes reserved for the answer while the request runs, then size of the stored answer.
    pub(crate) bytes: usize,
    pub(crate) status: RunStatus<A>,
}

/// Table of the once-only requests of one target incarnation.
///
/// `A` is the answer, which the table clones for each re-send. A full table refuses new requests
/// as not run and never removes a request that ran or may have run before its window is dropped.
/// Holds at most [`RunLimits::keys`] entries, [`RunLimits::bytes`] of answers and 256 window
/// spans.
#[derive(Debug)]
pub struct RunTable<A> {
    instance: InstanceId,
    incarnation: Incarnation,
    limits: RunLimits,
    windows: Windows,
    entries: HashMap<RequestId, Entry<A>>,
    bytes: usize,
}

impl<A: Clone> RunTable<A> {
    /// Creates the table of an incarnation that starts at `now`.
    ///
    /// The instance must never have used the incarnation number before; the at-most-once guarantee
    /// depends on it.
    pub fn new(
        now: Moment,
        instance: InstanceId,
        incarnation: Incarnation,
        limits: RunLimits,
    ) -> Self {
        let windows = Windows::new(now, limits.window);
        Self { instance, incarnation, limits, windows, entries: HashMap::new(), bytes: 0 }
    }

    /// Changes how long keys are kept, after a contract revision; windows already dropped are not
    /// restored.
    pub fn set_retention(&mut self, retention: Duration) {
        self.limits.retention = retention;
    }

    /// Window in which to mint bindings; each answer reports it to the caller's node.
    pub fn window(&mut self, now: Moment) -> u64 {
        self.roll(now);
        self.windows.current()
    }

    /// Mints the binding that is returned together with a not-run answer.
    ///
    /// `last` is the binding that was refused, if the request had one. The new binding may be sent
    /// only to the one party that mints bindings for the request, and only with a not-run answer.
    pub fn mint(&mut self, now: Moment, last: Option<&Binding>) -> Binding {
        let serial = last.map_or(0, |binding| binding.serial.saturating_add(1));
        let window = self.window(now);
        let (instance, incarnation) = (self.instance.clone(), self.incarnation);
        Binding { instance, incarnation, window, serial }
    }

    /// Decides whether to run a copy of a once-only request, and records it if it runs.
    ///
    /// `max_answer_bytes` is the size of the largest answer that the contract allows the request.
    /// The decisions are:
    ///
    /// * `Run`: the copy is the first under a window that admits keys. The caller hands it to the
    ///   target, or puts it into the target's queue, and must call [`finish`](Self::finish)
    ///   exactly once.
    /// * `Known(Running)`: an earlier copy has not ended; the sender waits for that copy's answer.
    /// * `Known(Done)`: an earlier copy ended with this answer.
    /// * `Known(NotRun)`: the request did not run and never will under this binding. A tombstone
    ///   is on record, or the window is closed and the table of its keys is complete.
    /// * `Known(Unknown)`: the binding names another incarnation or a window that is not in the
    ///   table, or the run ended without an answer. The copy is not run.
    pub fn admit(
        &mut self,
        now: Moment,
        request: RequestId,
        binding: &Binding,
        max_answer_bytes: usize,
    ) -> RunVerdict<A> {
        self.roll(now);
        if let Some(status) = self.recorded_status(request, binding) {
            return RunVerdict::Known(status);
        }
        if self.entries.len() >= self.limits.keys {
            self.close_windows();
            return RunVerdict::Known(RunStatus::NotRun(ErrorKind::Overload));
        }
        if self.bytes.saturating_add(max_answer_bytes) > self.limits.bytes {
            self.record(request, binding, 0, RunStatus::NotRun(ErrorKind::Overload));
            return RunVerdict::Known(RunStatus::NotRun(ErrorKind::Overload));
        }
        self.record(request, binding, max_answer_bytes, RunStatus::Running);
        RunVerdict::Run
    }

    /// Status of a request under `binding`, without recording anything; `None` if it could still
    /// run.
    pub fn look_up(
        &mut self,
        now: Moment,
        request: RequestId,
        binding: &Binding,
    ) -> Option<RunStatus<A>> {
        self.roll(now);
        self.recorded_status(request, binding)
    }

    /// Status of a request that ran, is running or may have run under any binding; `None` if it is
    /// not recorded or recorded as not run.
    ///
    /// A caller that lost its binding may come back with an older one, bound to an incarnation
    /// whose table this node took over. A not-run status from that table must not hide a run under
    /// a later binding in this table.
    pub fn run_status(&self, request: RequestId) -> Option<RunStatus<A>> {
        run_status(self.entries.get(&request))
    }

    /// Refuses a copy that was not admitted, and returns the status to report to the sender.
    ///
    /// When this returns, a tombstone is on record or the window is closed, so that a late copy is
    /// refused as well. The status is `NotRun(kind)` only if no earlier copy ran or is running and
    /// the table determines no other status; otherwise it is the one that
    /// [`admit`](Self::admit) would have returned.
    pub fn refuse(
        &mut self,
        now: Moment,
        request: RequestId,
        binding: &Binding,
        kind: ErrorKind,
    ) -> RunStatus<A> {
        self.roll(now);
        if let Some(status) = self.recorded_status(request, binding) {
            return status;
        }
        if self.entries.len() >= self.limits.keys {
            self.close_windows();
        } else {
            self.record(request, binding, 0, RunStatus::NotRun(kind));
        }
        RunStatus::NotRun(kind)
    }

    /// Records how an admitted request ended; returns whether it was running.
    ///
    /// `size` is the size of the answer in bytes. `NotRun` may be passed only if the request was
    /// never handed to the target, or if
    /// [`TargetResult::outcome`](crate::TargetResult::outcome) returned it. An answer larger than
    /// the reserved space is not stored, and the outcome is unknown from then on.
    pub fn finish(
        &mut self,
        now: Moment,
        request: RequestId,
        outcome: Outcome<A>,
        size: usize,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&request) else { return false };
        if !matches!(entry.status, RunStatus::Running) {
            return false;
        }
        let (status, stored) = final_status(outcome, size, entry.bytes);
        self.bytes = self.bytes - entry.bytes + stored;
        (entry.status, entry.bytes) = (status, stored);
        if let Some(span) = self.windows.span_mut(entry.window) {
            span.running = span.running.saturating_sub(1);
        }
        self.roll(now);
        true
    }

    /// Ends admission permanently, before a graceful stop.
    pub fn seal(self) -> SealedTable<A> {
        let floor = self.windows.floor();
        SealedTable::new(self.instance, self.incarnation, floor, self.entries)
    }

    /// Number of recorded requests, tombstones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size in bytes of all stored answers plus the space reserved for running requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Checks the invariants between entries, windows and byte count. For tests.
    ///
    /// # Errors
    ///
    /// Describes the first violated invariant.
    pub fn verify(&self) -> Result<(), String> {
        let bytes: usize = self.entries.values().map(|entry| entry.bytes).sum();
        if bytes != self.bytes || bytes > self.limits.bytes {
            return Err(format!("{bytes} bytes in entries, {} counted", self.bytes));
        }
        if self.entries.len() > self.limits.keys || self.windows.len() > MAX_SPANS {
            return Err(format!("{} keys, {} spans", self.entries.len(), self.windows.len()));
        }
        self.windows.spans().try_for_each(|span| self.verify_span(span))?;
        let in_window = |entry: &Entry<A>| entry.window >= self.windows.floor();
        match self.entries.iter().find(|(_, entry)| !in_window(entry)) {
            Some((request, _)) => Err(format!("request {request} belongs to a dropped window")),
            None => Ok(()),
        }
    }

    fn verify_span(&self, span: &WindowSpan) -> Result<(), String> {
        let within = |entry: &&Entry<A>| span.first <= entry.window && entry.window <= span.last;
        let running = |entry: &&Entry<A>| matches!(entry.status, RunStatus::Running);
        let entries = || self.entries.values().filter(within);
        if entries().filter(running).count() != span.running {
            return Err(format!("span {}: {} counted as running", span.first, span.running));
        }
        let keys: BTreeSet<_> = span.keys.iter().collect();
        let listed = keys.into_iter().filter_map(|key| self.entries.get(key)).filter(within);
        if listed.count() != entries().count() {
            return Err(format!("span {}: keys and entries differ", span.first));
        }
        Ok(())
    }

    /// Status that the table already determines; `None` if the request may run under `binding`.
    fn recorded_status(&self, request: RequestId, binding: &Binding) -> Option<RunStatus<A>> {
        let foreign = binding.instance != self.instance || binding.incarnation != self.incarnation;
        let state = self.windows.state(binding.window);
        if foreign || state == WindowState::Dropped {
            return Some(RunStatus::Unknown(ErrorKind::BindingLost));
        }
        let entry = self.entries.get(&request);
        // A tombstone applies to copies up to its serial. A later serial was minted because of it.
        let later = |entry: &Entry<A>| {
            matches!(entry.status, RunStatus::NotRun(_)) && binding.serial > entry.serial
        };
        match (entry, state) {
            (Some(entry), _) if !later(entry) => Some(entry.status.clone()),
            (_, WindowState::Open) => None,
            (_, WindowState::Closed) => Some(RunStatus::NotRun(ErrorKind::BindingNeeded)),
            (_, WindowState::Dropped | WindowState::Future) => {
                Some(RunStatus::Unknown(ErrorKind::BindingLost))
            }
        }
    }

    fn record(
        &mut self,
        request: RequestId,
        binding: &Binding,
        bytes: usize,
        status: RunStatus<A>,
    ) {
        let running = matches!(status, RunStatus::Running);
        let Binding { window, serial, .. } = *binding;
        let last = self.entries.insert(request, Entry { window, serial, bytes, status });
        self.bytes += bytes;
        if let Some(span) = self.windows.span_mut(window) {
            let listed = last.is_some_and(|e| span.first <= e.window && e.window <= span.last);
            if !listed {
                span.keys.push(request);
            }
            span.running += usize::from(running);
        }
    }

    fn roll(&mut self, now: Moment) {
        if self.windows.len() < MAX_SPANS && self.windows.roll(now) {
            self.sweep_tombstones();
        }
        while let Some(span) = self.windows.drop_oldest(now, self.limits.retention) {
            self.remove_span(&span);
        }
    }

    /// Closes all windows, so that their tombstones can be removed: a key without a record under a
    /// closed window is not run.
    fn close_windows(&mut self) {
        self.windows.close_all();
        self.sweep_tombstones();
    }

    fn sweep_tombstones(&mut self) {
        let Self { windows, entries, .. } = self;
        let open = windows.open();
        for span in windows.unswept_mut() {
            let (first, last) = (span.first, span.last);
            span.keys.retain(|key| {
                let Some(entry) = entries.get(key) else { return false };
                if entry.window < first || last < entry.window {
                    return false;
                }
                let obsolete = entry.window < open && matches!(entry.status, RunStatus::NotRun(_));
                if obsolete {
                    entries.remove(key);
                }
                !obsolete
            });
        }
    }

    fn remove_span(&mut self, span: &WindowSpan) {
        for key in &span.keys {
            let entry = self.entries.get(key);
            if entry.is_some_and(|e| span.first <= e.window && e.window <= span.last) {
                self.bytes -= self.entries.remove(key).map_or(0, |entry| entry.bytes);
            }
        }
    }
}

/// Status of a recorded request that ran, may have run or is running.
pub(crate) fn run_status<A: Clone>(entry: Option<&Entry<A>>) -> Option<RunStatus<A>> {
    let status = &entry?.status;
    (!matches!(status, RunStatus::NotRun(_))).then(|| status.clone())
}

/// Status to store for an outcome, and the size in bytes of the stored answer.
pub(crate) fn final_status<A>(
    outcome: Outcome<A>,
    size: usize,
    max_answer_bytes: usize,
) -> (RunStatus<A>, usize) {
    match outcome {
        Outcome::Done(_) if size > max_answer_bytes => {
            (RunStatus::Unknown(ErrorKind::AnswerTooLarge), 0)
        }
        Outcome::Done(answer) => (RunStatus::Done(answer), size),
        Outcome::NotRun { kind, .. } => (RunStatus::NotRun(kind), 0),
        Outcome::Unknown { kind } => (RunStatus::Unknown(kind), 0),
    }
}
