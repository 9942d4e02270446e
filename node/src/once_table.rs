//! Once-only requests at the local target: their table, its sealing and the tables accepted as a
//! successor of other incarnations.
//!
//! See [at most once](../../docs/design/at-most-once.md).

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Binding, Contract, ErrorKind, Handover, HandoverError, Incarnation, InstanceId, Moment,
    Outcome, RequestId, Revision, RunLimits, RunStatus, RunTable, RunVerdict, SealedTable,
    Successor,
};
use poplar_kernel::{Clock, Service};
use poplar_wire::Answer;
use serde_json::{Value, json};
use tokio::sync::Notify;

/// Most once-only requests on record, tombstones included.
const MAX_KEYS: usize = 32_768;
/// Most bytes of recorded answers, including the bytes reserved for running requests.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time after which a new window is opened.
const WINDOW_DURATION: Duration = Duration::from_secs(10);
/// Retention of keys until a contract sets it, and of tables accepted from other incarnations.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3_600);
/// Most requests in the tables accepted from other incarnations.
const MAX_SUCCESSOR_KEYS: usize = 65_536;

/// Service that decides which once-only requests run.
#[derive(Debug)]
pub(crate) struct OnceTable {
    clock: Clock,
    state: Mutex<State>,
    ended: Notify,
}

#[derive(Debug)]
struct State {
    table: Table,
    successor: Successor<Answer>,
    revision: Revision,
}

/// Table of this incarnation, by stage. A stage never returns to an earlier one.
#[derive(Debug)]
enum Table {
    Open(Box<RunTable<Answer>>),
    Sealed(Box<SealedTable<Answer>>),
    HandedOver,
}

/// Decision on one copy of a once-only request.
#[derive(Debug)]
pub(crate) enum OnceVerdict {
    /// Run it, then report the outcome to [`OnceTable::finish`].
    Run,
    /// Do not run it; report this status to the sender, with the binding for its next send.
    Known(RunStatus<Answer>, Option<Binding>),
}

impl OnceTable {
    /// Creates the service for one incarnation.
    pub(crate) fn new(clock: Clock, instance: InstanceId, incarnation: Incarnation) -> Self {
        let limits = RunLimits {
            keys: MAX_KEYS,
            bytes: MAX_ANSWER_BYTES,
            window: WINDOW_DURATION,
            retention: DEFAULT_RETENTION,
        };
        let table = RunTable::new(clock.now(), instance, incarnation, limits);
        let state = State {
            table: Table::Open(Box::new(table)),
            successor: Successor::new(DEFAULT_RETENTION, MAX_SUCCESSOR_KEYS),
            revision: Revision::default(),
        };
        Self { clock, state: Mutex::new(state), ended: Notify::new() }
    }

    /// Adopts the repeat windows of a contract revision unless it is the current one.
    pub(crate) fn revise(&self, revision: Revision, contract: &Contract) {
        let mut state = self.lock();
        if state.revision == revision {
            return;
        }
        state.revision = revision;
        let once = contract.classes.values().filter(|terms| !terms.repeatable);
        let retention = once.map(|terms| terms.repeat_window).max().unwrap_or(DEFAULT_RETENTION);
        if let Table::Open(table) = &mut state.table {
            table.set_retention(retention);
        }
    }

    /// Mints a binding to this incarnation; `None` once the table is sealed.
    ///
    /// `last` is the previous binding of the request, if it had one.
    pub(crate) fn offer_binding(&self, last: Option<&Binding>) -> Option<Binding> {
        let now = self.clock.now();
        self.lock().offer_binding(now, last)
    }

    /// Decides on one copy; `max_answer_bytes` is the largest answer that its class allows.
    pub(crate) fn admit(
        &self,
        request: RequestId,
        binding: &Binding,
        max_answer_bytes: usize,
    ) -> OnceVerdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let status = match &mut state.table {
            Table::Open(table) => match table.admit(now, request, binding, max_answer_bytes) {
                RunVerdict::Run => return OnceVerdict::Run,
                RunVerdict::Known(status) => status,
            },
            Table::Sealed(table) => table.answer(request, binding),
            Table::HandedOver => RunStatus::Unknown(ErrorKind::Connection),
        };
        let status = state.check_successor(now, request, binding, status);
        state.verdict(now, binding, status)
    }

    /// Refuses one copy without running it, unless its status is on record.
    ///
    /// Once this returns not run, a late copy is refused as well: a tombstone is on record or, if
    /// the table is full, the windows are closed. A node without a target offers no binding to
    /// itself.
    pub(crate) fn refuse(
        &self,
        request: RequestId,
        binding: &Binding,
        kind: ErrorKind,
    ) -> OnceVerdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let status = match &mut state.table {
            Table::Open(table) => table.refuse(now, request, binding, kind),
            Table::Sealed(table) => table.answer(request, binding),
            Table::HandedOver => RunStatus::Unknown(ErrorKind::Connection),
        };
        let status = state.check_successor(now, request, binding, status);
        match kind {
            ErrorKind::NoTarget => OnceVerdict::Known(status, None),
            _ => state.verdict(now, binding, status),
        }
    }

    /// Records the outcome of an admitted request.
    pub(crate) fn finish(&self, request: RequestId, outcome: &Outcome<Answer>) {
        let now = self.clock.now();
        let size = match outcome {
            Outcome::Done(answer) => answer.body.len(),
            _ => 0,
        };
        match &mut self.lock().table {
            Table::Open(table) => table.finish(now, request, outcome.clone(), size),
            Table::Sealed(table) => table.finish(request, outcome.clone(), size),
            Table::HandedOver => false,
        };
        self.ended.notify_waiters();
    }

    /// Waits until the running copy has ended and returns its status.
    ///
    /// A request that is not on record is refused, so that a late copy cannot run.
    pub(crate) async fn await_end(&self, request: RequestId, binding: &Binding) -> OnceVerdict {
        loop {
            let ended = self.ended.notified();
            match self.refuse(request, binding, ErrorKind::Connection) {
                OnceVerdict::Known(RunStatus::Running, _) => ended.await,
                known => return known,
            }
        }
    }

    /// Seals the table: no further request is admitted.
    pub(crate) fn seal(&self) {
        let mut state = self.lock();
        let table = std::mem::replace(&mut state.table, Table::HandedOver);
        state.table = match table {
            Table::Open(table) => Table::Sealed(Box::new(table.seal())),
            other => other,
        };
    }

    /// Takes the sealed table for a successor; `None` before the seal or if it was taken before.
    pub(crate) fn take_handover(&self) -> Option<Handover<Answer>> {
        let mut state = self.lock();
        let table = std::mem::replace(&mut state.table, Table::HandedOver);
        match table {
            Table::Sealed(table) => Some(table.handover()),
            other => {
                state.table = other;
                None
            }
        }
    }

    /// Accepts the table of an incarnation that is leaving, to answer for it.
    ///
    /// # Errors
    ///
    /// The table is incomplete, or there is no room for it.
    pub(crate) fn accept_handover(&self, handover: Handover<Answer>) -> Result<(), HandoverError> {
        let now = self.clock.now();
        self.lock().successor.accept(now, handover)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn offer_binding(&mut self, now: Moment, last: Option<&Binding>) -> Option<Binding> {
        match &mut self.table {
            Table::Open(table) => Some(table.mint(now, last)),
            Table::Sealed(_) | Table::HandedOver => None,
        }
    }

    /// Replaces a lost-binding status by the one that this incarnation recorded under another
    /// binding, or else by that of an accepted table.
    fn check_successor(
        &mut self,
        now: Moment,
        request: RequestId,
        binding: &Binding,
        status: RunStatus<Answer>,
    ) -> RunStatus<Answer> {
        match status {
            RunStatus::Unknown(ErrorKind::BindingLost) => {
                let recorded = self.run_status(request);
                recorded.unwrap_or_else(|| self.successor.answer(now, request, binding))
            }
            status => status,
        }
    }

    /// Status of the request at this incarnation under any binding; `None` if it is not on record
    /// or did not run.
    fn run_status(&self, request: RequestId) -> Option<RunStatus<Answer>> {
        match &self.table {
            Table::Open(table) => table.run_status(request),
            Table::Sealed(table) => table.run_status(request),
            Table::HandedOver => None,
        }
    }

    fn verdict(
        &mut self,
        now: Moment,
        binding: &Binding,
        status: RunStatus<Answer>,
    ) -> OnceVerdict {
        let refused = matches!(status, RunStatus::NotRun(_));
        let offer = if refused { self.offer_binding(now, Some(binding)) } else { None };
        OnceVerdict::Known(status, offer)
    }
}

impl Service for OnceTable {
    fn name(&self) -> &'static str {
        "once"
    }

    fn dump(&self, _now: Moment) -> Value {
        match &self.lock().table {
            Table::Open(table) => {
                json!({ "stage": "open", "keys": table.len(), "bytes": table.bytes() })
            }
            Table::Sealed(table) => json!({ "stage": "sealed", "running": table.running() }),
            Table::HandedOver => json!({ "stage": "handed-over" }),
        }
    }
}
