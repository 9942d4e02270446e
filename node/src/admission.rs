//! Admission to the local target: calls are admitted, queued or refused.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Admission, AdmissionVerdict, Arrival, CallResult, ErrorKind, ImportanceMix, ImportanceScale,
    Level, LoadController, Moment, Name, Occupancy, Rank, Rate, Refusal, Release, Revision,
    RunTimes, Shedding, TargetLimits, Ticket,
};
use poplar_kernel::{Clock, Service};
use poplar_wire::CallMeta;
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Interval between checks of the deadlines of queued calls, while any are queued.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Load added for a target that fails every call; more than a healthy target reports with a queue
/// of usual length.
const FAILING_LOAD: f64 = 2.0;
/// Retry-after time of refusals while no target is announced or the process is stopping.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Result of waiting in the queue.
type WaitResult = Result<(), Refusal>;

/// Call that asks to be admitted.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionRequest {
    /// Class whose recorded run times predict how long the run takes.
    pub(crate) class: Name,
    /// Importance and tiebreak of the root request.
    pub(crate) rank: Rank,
    /// Time since the entry accepted the root request.
    pub(crate) age: Duration,
    /// Time left until the deadline.
    pub(crate) left: Duration,
    /// Whether targets have already worked for the root request.
    pub(crate) begun: bool,
    /// Importances of the requests that the call may belong to.
    pub(crate) mix: ImportanceMix,
}

impl AdmissionRequest {
    /// Request for a call between nodes in the native protocol.
    pub(crate) fn of(meta: &CallMeta) -> Self {
        Self {
            class: meta.class.clone(),
            rank: Rank::of(meta.importance, meta.root),
            age: meta.age,
            left: meta.left,
            begun: meta.depth > 0,
            mix: ImportanceMix::of(meta.importance),
        }
    }
}

/// Service that admits calls to the local target.
#[derive(Debug)]
pub(crate) struct AdmissionController {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    admission: Option<Admission>,
    load_controller: Option<LoadController>,
    revision: Revision,
    run_times: RunTimes,
    waiting: HashMap<Ticket, oneshot::Sender<WaitResult>>,
    counts: CallCounts,
    next_ticket: u64,
    ticker_running: bool,
    /// Rate limit that the target states.
    rate: Option<Rate>,
}

/// Right to have the target run one call; its slot is released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    controller: Arc<AdmissionController>,
    ticket: Ticket,
    started_at: Moment,
    class: Name,
    finished: bool,
}

/// Load of the local target.
#[derive(Debug, Default)]
pub(crate) struct Load {
    /// Number of calls that are running.
    pub(crate) running: usize,
    /// Number of calls in the queue.
    pub(crate) queued: usize,
    /// Number of calls that may run concurrently.
    pub(crate) limit: u32,
    /// Rate limit that the target states, in calls a second.
    pub(crate) rate: Option<Rate>,
    /// Level below which calls are refused.
    pub(crate) level: Level,
}

/// Counts of the calls at the target since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct CallCounts {
    /// Calls that arrived.
    pub(crate) arrived: u32,
    /// Calls that admission refused, at arrival or in the queue.
    pub(crate) refused: u32,
    /// Calls that the target failed or refused.
    pub(crate) failed: u32,
    /// Runs that gave an answer.
    pub(crate) completed: u32,
    /// Total slot time of the runs that gave an answer.
    pub(crate) busy: Duration,
    /// Runs that ended without an answer.
    pub(crate) cancelled: u32,
    /// Total slot time of the runs that ended without an answer.
    pub(crate) wasted: Duration,
}

impl CallCounts {
    pub(crate) fn is_empty(&self) -> bool {
        self.arrived + self.completed + self.cancelled == 0
    }
}

/// Call that has arrived and does not hold a permit yet; cancelled on drop.
struct PendingCall {
    controller: Arc<AdmissionController>,
    ticket: Ticket,
    admitted: bool,
}

impl AdmissionController {
    /// Creates the service without a target; calls are refused until [`Self::set_target`].
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::default() }
    }

    /// Starts admission to a target that has just announced itself, with its limits.
    pub(crate) fn set_target(
        &self,
        limits: TargetLimits,
        scale: ImportanceScale,
        shedding: Shedding,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.load_controller = Some(LoadController::new(now, &scale));
        state.admission = Some(Admission::with_shedding(now, limits, scale, shedding));
        state.revision = Revision::default();
        state.rate = None;
    }

    /// Sets the rate limit that the target states; none if it states none.
    pub(crate) fn set_rate(&self, rate: Option<Rate>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.rate = rate;
        if let Some(load_controller) = state.load_controller.as_mut() {
            load_controller.set_rate(rate);
        }
        if let Some(admission) = state.admission.as_mut() {
            admission.set_rate(now, rate);
        }
    }

    /// Adopts the importances of a contract revision unless it is the current one.
    pub(crate) fn revise(&self, revision: Revision, scale: impl FnOnce() -> ImportanceScale) {
        let mut state = self.lock();
        if state.revision == revision {
            return;
        }
        state.revision = revision;
        let scale = scale();
        if let Some(load_controller) = state.load_controller.as_mut() {
            load_controller.revise(&scale);
        }
        if let Some(admission) = state.admission.as_mut() {
            admission.revise(scale);
        }
    }

    /// Waits until the call may run.
    ///
    /// # Errors
    ///
    /// The refusal, if no target is announced, or if admission refuses the call at arrival or while
    /// it is queued.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: AdmissionRequest,
    ) -> Result<Permit, Refusal> {
        let (pending, receiver) = self.arrive(&request)?;
        if let Some(receiver) = receiver {
            // The sender is dropped only with the controller itself, at the end of the process.
            receiver.await.unwrap_or_else(|_| Err(draining(pending.ticket)))?;
        }
        Ok(pending.into_permit(self.clock.now(), request.class))
    }

    /// Load for the metrics.
    pub(crate) fn load(&self) -> Load {
        let now = self.clock.now();
        let mut state = self.lock();
        let rate = state.rate;
        let Some(admission) = state.admission.as_mut() else { return Load::default() };
        Load {
            rate,
            running: admission.in_flight(),
            queued: admission.queued(),
            limit: admission.limit(),
            level: admission.level(now),
        }
    }

    /// Level to send back with an answer.
    pub(crate) fn level(&self) -> Level {
        let now = self.clock.now();
        self.lock().admission.as_mut().map_or(Level::OPEN, |admission| admission.level(now))
    }

    /// Level below which entries should refuse requests that lead here, and the load by which
    /// callers choose a target.
    ///
    /// The load is the number of running and queued calls as a fraction of the limit, or the rate of
    /// arrivals as a fraction of the rate limit if that is more. It is higher for a target that
    /// fails calls, since quick failures would otherwise look like free capacity.
    pub(crate) fn load_report(&self) -> (Level, f64) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.observe(now);
        let level = state.load_controller.as_ref().map_or(Level::OPEN, LoadController::level);
        let load = state.admission.as_mut().map_or(0.0, |admission| {
            let calls = admission.in_flight() + admission.queued();
            let slot_load = calls as f64 / f64::from(admission.limit().max(1));
            slot_load.max(admission.pace_load(now))
        });
        let failing = state.load_controller.as_ref().map_or(0.0, LoadController::failure_rate);
        (level, load + FAILING_LOAD * failing)
    }

    /// Returns the counts since the previous call of this method and resets them.
    pub(crate) fn take_counts(&self) -> CallCounts {
        std::mem::take(&mut self.lock().counts)
    }

    fn arrive(
        self: &Arc<Self>,
        request: &AdmissionRequest,
    ) -> Result<(PendingCall, Option<oneshot::Receiver<WaitResult>>), Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.next_ticket += 1;
        let ticket = Ticket(state.next_ticket);
        state.counts.arrived += 1;
        if let Some(load_controller) = state.load_controller.as_mut() {
            load_controller.record_arrival(&request.class, &request.mix);
        }
        let arrival = Arrival {
            ticket,
            rank: request.rank,
            age: request.age,
            left: request.left,
            min_latency: state.run_times.expected(&request.class),
            begun: request.begun,
        };
        let Some(admission) = state.admission.as_mut() else { return Err(no_target(ticket)) };
        let pending = PendingCall { controller: self.clone(), ticket, admitted: false };
        match admission.arrive(now, arrival) {
            AdmissionVerdict::Admit => Ok((pending, None)),
            AdmissionVerdict::Refuse(refusal) => {
                state.counts.refused += 1;
                drop(state);
                Err(refusal)
            }
            AdmissionVerdict::Queue { evicted } => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                evicted.into_iter().for_each(|refusal| state.refuse(refusal));
                self.start_ticker(&mut state);
                state.observe(now);
                Ok((pending, Some(receiver)))
            }
        }
    }

    /// Records whether the target served or failed a call.
    pub(crate) fn record_result(&self, result: CallResult) {
        let mut state = self.lock();
        state.counts.failed += u32::from(result == CallResult::Failed);
        if let Some(load_controller) = state.load_controller.as_mut() {
            load_controller.record_result(result);
        }
    }

    fn finish(&self, ticket: Ticket, class: &Name, took: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.run_times.observe(class, took);
        state.counts.completed += 1;
        state.counts.busy += took;
        if let Some(load_controller) = state.load_controller.as_mut() {
            load_controller.record_run(now, class, took);
        }
        let release = state.admission.as_mut().map(|a| a.finish(now, ticket, took));
        state.apply_release(release.unwrap_or_default());
        state.observe(now);
    }

    fn cancel(&self, ticket: Ticket) {
        let now = self.clock.now();
        self.lock().cancel(now, ticket);
    }

    /// Records a run that ended without an answer and releases its slot.
    fn abandon(&self, ticket: Ticket, ran: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.counts.cancelled += 1;
        state.counts.wasted += ran;
        state.cancel(now, ticket);
    }

    /// Starts the task that removes late calls from the queue, unless it is running.
    fn start_ticker(self: &Arc<Self>, state: &mut State) {
        if std::mem::replace(&mut state.ticker_running, true) {
            return;
        }
        let controller = self.clone();
        tokio::spawn(async move {
            while controller.tick() {
                tokio::time::sleep(TICK_INTERVAL).await;
            }
        });
    }

    /// Removes late calls from the queue; returns whether any call is still queued.
    fn tick(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let release = state.admission.as_mut().map(|admission| admission.tick(now));
        state.apply_release(release.unwrap_or_default());
        state.ticker_running = !state.waiting.is_empty();
        state.ticker_running
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Updates the load controller with the current occupancy.
    fn observe(&mut self, now: Moment) {
        if let (Some(load_controller), Some(admission)) =
            (self.load_controller.as_mut(), self.admission.as_ref())
        {
            let occupancy = Occupancy {
                running: admission.in_flight(),
                queued: admission.queued(),
                limit: admission.limit(),
            };
            load_controller.observe(now, occupancy);
        }
    }

    fn cancel(&mut self, now: Moment, ticket: Ticket) {
        self.waiting.remove(&ticket);
        let release = self.admission.as_mut().map(|admission| admission.cancel(now, ticket));
        self.apply_release(release.unwrap_or_default());
    }

    fn apply_release(&mut self, release: Release) {
        for ticket in release.start {
            if let Some(sender) = self.waiting.remove(&ticket) {
                // If the receiver is gone, dropping the `PendingCall` releases the slot.
                let _ = sender.send(Ok(()));
            }
        }
        release.refuse.into_iter().for_each(|refusal| self.refuse(refusal));
    }

    fn refuse(&mut self, refusal: Refusal) {
        self.counts.refused += 1;
        if let Some(sender) = self.waiting.remove(&refusal.ticket) {
            // If the receiver is gone, nobody waits for the refusal.
            let _ = sender.send(Err(refusal));
        }
    }
}

impl PendingCall {
    fn into_permit(mut self, now: Moment, class: Name) -> Permit {
        self.admitted = true;
        let controller = self.controller.clone();
        Permit { controller, ticket: self.ticket, started_at: now, class, finished: false }
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.admitted {
            self.controller.cancel(self.ticket);
        }
    }
}

impl Permit {
    /// Records a run that gave an answer and releases its slot.
    pub(crate) fn finish(mut self) {
        self.finished = true;
        let took = self.controller.clock.now().since(self.started_at);
        self.controller.finish(self.ticket, &self.class, took);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.finished {
            let ran = self.controller.clock.now().since(self.started_at);
            self.controller.abandon(self.ticket, ran);
        }
    }
}

fn no_target(ticket: Ticket) -> Refusal {
    Refusal { ticket, kind: ErrorKind::NoTarget, retry_after: NO_TARGET_RETRY_AFTER }
}

fn draining(ticket: Ticket) -> Refusal {
    Refusal { ticket, kind: ErrorKind::Draining, retry_after: NO_TARGET_RETRY_AFTER }
}

impl Service for AdmissionController {
    fn name(&self) -> &'static str {
        "admission"
    }

    fn dump(&self, now: Moment) -> Value {
        let mut state = self.lock();
        let rate = state.rate;
        let Some(admission) = state.admission.as_mut() else { return Value::Null };
        json!({
            "running": admission.in_flight(),
            "queued": admission.queued(),
            "limit": admission.limit(),
            "rate": rate,
            "level": admission.level(now),
        })
    }
}
