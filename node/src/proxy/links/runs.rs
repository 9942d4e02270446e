//! Runs of calls that were received over links, at the node beside their target.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poplar_core::{CallId, ClaimResult, ErrorKind, HeldLimits, HeldRuns, LinkId, Moment, Outcome};
use poplar_kernel::Clock;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::proxy::frame::{CallAnswer, CallNumber, Message};
use crate::proxy::links::link::{Outbox, lock};

/// Time for which a held run continues without its link and without a claim, and for which its
/// answer is kept. It exceeds the time for which a caller claims the call, as the two ends detect a broken link at
/// different times.
const HELD_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which a claim that waits for its run is renewed; a fraction of [`HELD_TIMEOUT`], so
/// that the run is not stopped meanwhile.
const CLAIM_RENEWAL: Duration = Duration::from_secs(2);
/// Largest total size of the answers kept for claims, in bytes.
const HELD_BYTES: usize = 8 << 20;
/// Divisor of the memory of the process that gives that size, if it is smaller: an eighth of the
/// memory for answers of the target.
const HELD_DIVISOR: u64 = 32;
/// Retry delay sent to a caller whose held call never arrived.
const LOST_RETRY: Duration = Duration::from_millis(100);

type SharedHeldRuns = Mutex<HeldRuns<CallAnswer, AbortHandle>>;

/// Held runs of all links.
#[derive(Debug, Clone)]
pub(crate) struct RunTable {
    held: Arc<SharedHeldRuns>,
    /// Notified when a held run ends.
    run_ended: Arc<Notify>,
}

/// Runs of the calls received over one link.
pub(crate) struct LinkRuns {
    link: LinkId,
    outbox: Arc<Outbox>,
    runs: RunTable,
    /// Tasks that are aborted when the link closes.
    tasks: Arc<Mutex<HashMap<CallNumber, LinkTask>>>,
}

/// Task that is aborted when its link closes: an ordinary run or a claim.
struct LinkTask {
    handle: AbortHandle,
    /// Call that the task claims, if it is a claim; cancelling the claim cancels that call.
    claimed: Option<CallId>,
}

impl RunTable {
    /// Table of a process that may use `memory` bytes.
    pub(crate) fn new(memory: u64) -> Self {
        let bytes = usize::try_from(memory / HELD_DIVISOR).unwrap_or(usize::MAX).min(HELD_BYTES);
        let limits = HeldLimits { retention: HELD_TIMEOUT, bytes };
        let held = Arc::new(Mutex::new(HeldRuns::new(limits)));
        Self { held, run_ended: Arc::default() }
    }

    /// Registers a new link, on which answers are sent through `outbox`.
    pub(crate) fn open_link(&self, link: LinkId, outbox: &Arc<Outbox>) -> LinkRuns {
        lock(&self.held).open_link(link);
        let (outbox, runs) = (outbox.clone(), self.clone());
        LinkRuns { link, outbox, runs, tasks: Arc::default() }
    }

    /// Stops the held runs that were not claimed in time.
    pub(crate) fn expire(&self, now: Moment) {
        for run in lock(&self.held).expire(now) {
            run.abort();
        }
    }
}

impl LinkRuns {
    /// Runs a call; the run is stopped when the link closes.
    pub(crate) fn run(
        &self,
        number: CallNumber,
        run: impl Future<Output = CallAnswer> + Send + 'static,
    ) {
        if lock(&self.runs.held).record_arrival(self.call_id(number)) {
            self.spawn(number, None, run);
        }
    }

    /// Runs a held call, whose run outlives the link.
    pub(crate) fn run_held(
        &self,
        number: CallNumber,
        clock: Clock,
        run: impl Future<Output = CallAnswer> + Send + 'static,
    ) {
        let id = self.call_id(number);
        let (runs, outbox) = (self.runs.clone(), self.outbox.clone());
        // Locked until the run is recorded, so that it cannot end before that.
        let mut held = lock(&self.runs.held);
        if !held.record_arrival(id) {
            return;
        }
        let task = tokio::spawn(async move {
            let answer = run.await;
            let bytes = match &answer.outcome {
                Outcome::Done(response) => response.body.len(),
                _ => 0,
            };
            lock(&runs.held).finish(clock.now(), id, answer.clone(), bytes);
            runs.run_ended.notify_waiters();
            outbox.push(&Message::Answer(number, Box::new(answer)));
        });
        held.insert(id, task.abort_handle());
    }

    /// Answers a claim with the outcome of the claimed call, once its run has ended.
    pub(crate) fn claim(&self, number: CallNumber, clock: Clock, call: CallId) {
        if !lock(&self.runs.held).record_arrival(self.call_id(number)) {
            return;
        }
        let runs = self.runs.clone();
        self.spawn(number, Some(call), async move {
            loop {
                let run_ended = runs.run_ended.notified();
                tokio::pin!(run_ended);
                run_ended.as_mut().enable();
                let claim = lock(&runs.held).claim(clock.now(), call);
                match claim {
                    ClaimResult::Running => {
                        // Claimed again in any case.
                        let _ = tokio::time::timeout(CLAIM_RENEWAL, run_ended).await;
                    }
                    ClaimResult::Done(answer) => return answer,
                    ClaimResult::NotRun => {
                        return CallAnswer::refused(ErrorKind::Connection, LOST_RETRY);
                    }
                    ClaimResult::Unknown => {
                        let kind = ErrorKind::Connection;
                        return CallAnswer::new(Outcome::Unknown { kind }, true);
                    }
                }
            }
        });
    }

    /// Stops the run of a call that its caller cancelled, or of the call that a cancelled claim
    /// names.
    pub(crate) fn cancel(&self, number: CallNumber) {
        let task = lock(&self.tasks).remove(&number);
        let id = match &task {
            Some(task) => task.claimed,
            None => Some(self.call_id(number)),
        };
        let held = id.and_then(|id| lock(&self.runs.held).cancel(id));
        for handle in task.map(|task| task.handle).into_iter().chain(held) {
            handle.abort();
        }
    }

    /// Stops the ordinary runs and the claims of a closed link; held runs continue and wait for
    /// claims.
    pub(crate) fn close(&self, now: Moment) {
        lock(&self.runs.held).close_link(now, self.link);
        for task in lock(&self.tasks).values() {
            task.handle.abort();
        }
    }

    fn spawn(
        &self,
        number: CallNumber,
        claimed: Option<CallId>,
        run: impl Future<Output = CallAnswer> + Send + 'static,
    ) {
        let (outbox, tasks) = (self.outbox.clone(), self.tasks.clone());
        let mut registered = lock(&self.tasks);
        let task = tokio::spawn(async move {
            let answer = run.await;
            lock(&tasks).remove(&number);
            outbox.push(&Message::Answer(number, Box::new(answer)));
        });
        registered.insert(number, LinkTask { handle: task.abort_handle(), claimed });
    }

    fn call_id(&self, number: CallNumber) -> CallId {
        CallId { link: self.link, number }
    }
}
