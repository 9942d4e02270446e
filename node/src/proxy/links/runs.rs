//! Runs of the calls that come over links, at the node beside their target.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poplar_core::{CallId, ClaimResult, ErrorKind, HeldLimits, HeldRuns, LinkId, Moment, Outcome};
use poplar_kernel::Clock;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::proxy::frame::{CallAnswer, CallNumber, Message};
use crate::proxy::links::link::{Outbox, lock};

/// Time for which a run without its link waits for its caller, and an answer is kept: longer than
/// a caller goes on asking, after both ends learned at different times that the link broke.
const HELD_TIMEOUT: Duration = Duration::from_secs(6);
/// Most bytes of answers kept for callers that may have to ask.
const HELD_BYTES: usize = 8 << 20;
/// Time to come back for a caller whose call was lost before it came.
const LOST_RETRY: Duration = Duration::from_millis(100);

type SharedHeldRuns = Mutex<HeldRuns<CallAnswer, AbortHandle>>;

/// Runs over all links.
#[derive(Debug, Clone)]
pub(crate) struct RunTable {
    held: Arc<SharedHeldRuns>,
    /// Told when a held run ends.
    run_ended: Arc<Notify>,
}

/// Runs over one link.
pub(crate) struct LinkRuns {
    link: LinkId,
    outbox: Arc<Outbox>,
    runs: RunTable,
    /// Tasks that end with the link.
    tasks: Arc<Mutex<HashMap<CallNumber, LinkTask>>>,
}

/// Task that ends with its link.
struct LinkTask {
    task: AbortHandle,
    /// Call that it asks for, and whose caller it stands for.
    claimed: Option<CallId>,
}

impl Default for RunTable {
    fn default() -> Self {
        let limits = HeldLimits { retention: HELD_TIMEOUT, bytes: HELD_BYTES };
        let held = Arc::new(Mutex::new(HeldRuns::new(limits)));
        Self { held, run_ended: Arc::default() }
    }
}

impl RunTable {
    /// Runs over a new link, whose answers go to `outbox`.
    pub(crate) fn open_link(&self, link: LinkId, outbox: &Arc<Outbox>) -> LinkRuns {
        lock(&self.held).open_link(link);
        let (outbox, runs) = (outbox.clone(), self.clone());
        LinkRuns { link, outbox, runs, tasks: Arc::default() }
    }

    /// Stops the runs that nobody asked for in time.
    pub(crate) fn expire(&self, now: Moment) {
        for run in lock(&self.held).expire(now) {
            run.abort();
        }
    }
}

impl LinkRuns {
    /// Runs a call that ends with the link.
    pub(crate) fn run(
        &self,
        number: CallNumber,
        run: impl Future<Output = CallAnswer> + Send + 'static,
    ) {
        if lock(&self.runs.held).record_arrival(self.call_id(number)) {
            self.spawn(number, None, run);
        }
    }

    /// Runs a call whose run outlives the link.
    pub(crate) fn run_held(
        &self,
        number: CallNumber,
        clock: Clock,
        run: impl Future<Output = CallAnswer> + Send + 'static,
    ) {
        let id = self.call_id(number);
        let (runs, outbox) = (self.runs.clone(), self.outbox.clone());
        // Locked until the run is on record, so that it cannot end before.
        let mut held = lock(&self.runs.held);
        if !held.record_arrival(id) {
            return;
        }
        let task = tokio::spawn(async move {
            let answer = run.await;
            let bytes = match &answer.outcome {
                Outcome::Done(whole) => whole.body.len(),
                _ => 0,
            };
            lock(&runs.held).finish(clock.now(), id, answer.clone(), bytes);
            runs.run_ended.notify_waiters();
            outbox.push(&Message::Answer(number, Box::new(answer)));
        });
        held.insert(id, task.abort_handle());
    }

    /// Answers what became of a call whose link broke, once it has ended.
    pub(crate) fn claim(&self, number: CallNumber, clock: Clock, call: CallId) {
        if !lock(&self.runs.held).record_arrival(self.call_id(number)) {
            return;
        }
        let runs = self.runs.clone();
        self.spawn(number, Some(call), async move {
            loop {
                let ended = runs.run_ended.notified();
                tokio::pin!(ended);
                ended.as_mut().enable();
                let claim = lock(&runs.held).claim(clock.now(), call);
                match claim {
                    ClaimResult::Running => ended.await,
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

    /// Stops the run of a caller that left.
    pub(crate) fn cancel(&self, number: CallNumber) {
        let bound = lock(&self.tasks).remove(&number);
        let id = match &bound {
            Some(bound) => bound.claimed,
            None => Some(self.call_id(number)),
        };
        let held = id.and_then(|id| lock(&self.runs.held).cancel(id));
        for task in bound.map(|bound| bound.task).into_iter().chain(held) {
            task.abort();
        }
    }

    /// Stops what ends with the link; the rest waits for its callers.
    pub(crate) fn close(&self, now: Moment) {
        lock(&self.runs.held).close_link(now, self.link);
        for bound in lock(&self.tasks).values() {
            bound.task.abort();
        }
    }

    fn spawn(
        &self,
        number: CallNumber,
        claimed: Option<CallId>,
        run: impl Future<Output = CallAnswer> + Send + 'static,
    ) {
        let (outbox, done) = (self.outbox.clone(), self.tasks.clone());
        let mut bound = lock(&self.tasks);
        let task = tokio::spawn(async move {
            let answer = run.await;
            lock(&done).remove(&number);
            outbox.push(&Message::Answer(number, Box::new(answer)));
        });
        bound.insert(number, LinkTask { task: task.abort_handle(), claimed });
    }

    fn call_id(&self, number: CallNumber) -> CallId {
        CallId { link: self.link, number }
    }
}
