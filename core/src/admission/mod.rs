//! Admission control by importance, with levels that are propagated to callers.
//!
//! Each target has one [`Admission`] in the node beside it. It decides which calls run, wait or are
//! refused, and computes the level below which calls would be refused; callers keep the levels in a
//! [`LevelMap`]. See [overload](../../../docs/design/overload.md).

mod adaptive_mean;
mod concurrency;
mod level;
mod level_controller;
mod map;
mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Importance;
use crate::limit::{ImportanceScale, TargetLimits, retry_after};
use crate::outcome::ErrorKind;
use crate::rate_limit::{Pacer, Rate};
use crate::time::Moment;

use concurrency::{ConcurrencyLimit, InFlight};
pub use level::{Level, Rank};
use level_controller::{LevelController, Load};
pub use map::{LevelMap, LevelSource, RelayedLevel};
use queue::{Queue, QueuedCall};

/// Identifier of a call at one admission, assigned by the node; unique among the calls that wait or
/// run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Call that asks to be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier of the call.
    pub ticket: Ticket,
    /// Importance and tie-breaker of the root request.
    pub rank: Rank,
    /// Time since the root request arrived at its entry node.
    pub age: Duration,
    /// Time left until the deadline.
    pub left: Duration,
    /// Lower estimate of the time for the run and the way back; see [`crate::RunTimes::expected`].
    pub min_latency: Duration,
    /// Whether a target has already worked for the root request, so that a refusal wastes that
    /// work.
    pub begun: bool,
}

/// Refusal of a call that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Identifier of the call.
    pub ticket: Ticket,
    /// [`ErrorKind::Overload`] or [`ErrorKind::Deadline`].
    pub kind: ErrorKind,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Decision on an arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The call is sent to the target now.
    Admit,
    /// The call waits in the queue.
    Queue {
        /// Refusal of the call that was evicted to make place for it, if any.
        evicted: Option<Refusal>,
    },
    /// The call is refused.
    Refuse(Refusal),
}

/// Queued calls that start or are refused.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Release {
    /// Calls that are sent to the target now, in this order.
    pub start: Vec<Ticket>,
    /// Calls that are refused.
    pub refuse: Vec<Refusal>,
}

/// How calls of an overloaded target are shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shedding {
    /// By a level that the admission computes itself and sends to its callers.
    ByLevel,
    /// Only by eviction from a full queue. The level for callers is computed elsewhere, for example
    /// by [`crate::LoadController`]. A call that has come this far waits unless more important
    /// calls fill the queue, since refusing it wastes the work already done for its request.
    ByQueue,
}

/// Admission control of one target.
///
/// Invariants: a call starts only while fewer than [`Self::limit`] calls run, and at most
/// [`TargetLimits::queue`] calls wait, which bounds the memory; no call waits while a slot is free,
/// unless a rate limit is in effect; a call is refused for overload only if no less important call
/// waits.
#[derive(Debug)]
pub struct Admission {
    limits: TargetLimits,
    shedding: Shedding,
    concurrency: ConcurrencyLimit,
    /// Running calls, each with the number of running calls just after it started.
    running: BTreeMap<Ticket, u32>,
    queue: Queue,
    controller: LevelController,
    /// Keeps starts within the rate limit that the target states; none without a limit.
    pacer: Option<Pacer>,
}

impl Admission {
    /// Admission of a target that has just announced itself, shedding by level.
    pub fn new(now: Moment, limits: TargetLimits, scale: ImportanceScale) -> Self {
        Self::with_shedding(now, limits, scale, Shedding::ByLevel)
    }

    /// Admission of a target that has just announced itself, with the given way of shedding.
    pub fn with_shedding(
        now: Moment,
        limits: TargetLimits,
        scale: ImportanceScale,
        shedding: Shedding,
    ) -> Self {
        Self {
            limits,
            shedding,
            concurrency: ConcurrencyLimit::new(now, limits),
            running: BTreeMap::new(),
            queue: Queue::default(),
            controller: LevelController::new(now, scale),
            pacer: None,
        }
    }

    /// Sets the rate limit that the target states; none if it states none.
    pub fn set_rate(&mut self, now: Moment, rate: Option<Rate>) {
        match (&mut self.pacer, rate) {
            (Some(pacer), Some(rate)) => pacer.set_rate(now, rate),
            (pacer, rate) => *pacer = rate.map(|rate| Pacer::new(now, rate)),
        }
    }

    /// Replaces the importances by those of a new contract revision.
    pub fn revise(&mut self, scale: ImportanceScale) {
        self.controller.revise(scale);
    }

    /// Decides whether an arriving call runs, waits or is refused.
    pub fn arrive(&mut self, now: Moment, arrival: Arrival) -> Verdict {
        if self.queue.len() == 0 {
            self.advance(now);
        }
        self.controller.record_arrival(arrival.rank);
        if let Some(pacer) = &mut self.pacer {
            pacer.refill(now);
            pacer.record_arrival();
        }
        let call = QueuedCall::new(now, arrival);
        if arrival.left < arrival.min_latency {
            return Verdict::Refuse(self.refusal(&call, ErrorKind::Deadline));
        }
        // With a rate limit, calls may wait for the next tick although one may start.
        if self.queue.len() == 0 && self.may_start() {
            self.start(arrival.ticket);
            return Verdict::Admit;
        }
        self.enqueue(call)
    }

    /// Ends a run that took `latency`, and starts and refuses queued calls accordingly.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, latency: Duration) -> Release {
        if let Some(start) = self.running.remove(&ticket) {
            let in_flight = InFlight { start, end: self.running.len() as u32 + 1 };
            self.concurrency.record_run(now, in_flight, latency);
            self.controller.record_run(latency);
        }
        self.release(now)
    }

    /// Ends a call whose caller has cancelled it, or a run that ended without an answer.
    pub fn cancel(&mut self, now: Moment, ticket: Ticket) -> Release {
        if self.running.remove(&ticket).is_none() {
            self.queue.remove(ticket);
        }
        self.release(now)
    }

    /// Refuses queued calls that can no longer meet their deadline, and starts those that a rate
    /// limit now allows. To be called every 10 ms while calls wait.
    pub fn tick(&mut self, now: Moment) -> Release {
        self.release(now)
    }

    /// Current level, to be sent with every answer.
    pub fn level(&mut self, now: Moment) -> Level {
        if self.queue.len() == 0 {
            self.advance(now);
        }
        self.controller.level()
    }

    /// Number of running calls.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.concurrency.limit()
    }

    /// Rate of arrivals as a multiple of the rate limit; zero without a limit.
    pub fn pace_load(&mut self, now: Moment) -> f64 {
        self.pacer.as_mut().map_or(0.0, |pacer| {
            pacer.refill(now);
            pacer.load()
        })
    }

    /// Lowest importance among the queued calls.
    pub fn lowest_queued(&self) -> Option<Importance> {
        self.queue.lowest().map(Rank::importance)
    }

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Description of an invariant that is violated.
    pub fn verify(&self) -> Result<(), String> {
        if self.limit() > self.limits.slots {
            return Err(format!("limit {} exceeds slots {}", self.limit(), self.limits.slots));
        }
        if self.queue.len() > self.limits.queue as usize {
            return Err(format!("queue of {} exceeds {}", self.queue.len(), self.limits.queue));
        }
        if self.pacer.is_none() && self.may_start() && self.queue.len() > 0 {
            return Err(format!("{} calls are queued while a slot is free", self.queue.len()));
        }
        self.queue.verify()
    }

    fn start(&mut self, ticket: Ticket) {
        let in_flight = self.running.len() as u32 + 1;
        self.running.insert(ticket, in_flight);
        if let Some(pacer) = &mut self.pacer {
            pacer.take_token();
        }
    }

    /// Whether a slot is free and the rate limit allows a call.
    fn may_start(&self) -> bool {
        let has_slot = self.running.len() < self.limit() as usize;
        has_slot && self.pacer.as_ref().is_none_or(Pacer::has_token)
    }

    /// Number of calls that may wait.
    fn queue_limit(&self) -> usize {
        let limit = self.limits.queue as usize;
        self.pacer.as_ref().map_or(limit, |pacer| limit.min(pacer.queue_limit()))
    }

    fn advance(&mut self, now: Moment) {
        let load = Load {
            running: self.running.len(),
            limit: self.limit(),
            queued: self.queue.len(),
            queue_limit: self.limits.queue,
        };
        self.controller.advance(now, load);
    }

    /// Lowest importance whose calls may wait.
    fn floor(&self) -> Importance {
        match self.shedding {
            Shedding::ByLevel => self.controller.floor(),
            Shedding::ByQueue => Importance::default(),
        }
    }

    /// Whether the own level admits a call to the queue.
    fn may_wait(&self, call: &QueuedCall) -> bool {
        match self.shedding {
            Shedding::ByLevel => {
                call.rank.importance() >= self.floor()
                    && (call.begun || self.controller.level().admits(call.rank))
            }
            Shedding::ByQueue => true,
        }
    }

    /// Removes the calls whose importance is below the floor.
    fn remove_below_floor(&mut self) -> Vec<QueuedCall> {
        let floor = self.floor();
        let mut below = Vec::new();
        while self.queue.lowest().is_some_and(|lowest| lowest.importance() < floor) {
            below.extend(self.queue.pop_lowest());
        }
        below
    }

    /// Queues the call, evicting a less important one if needed, or refuses it.
    fn enqueue(&mut self, call: QueuedCall) -> Verdict {
        let full = self.queue.len() >= self.queue_limit();
        let may_wait = self.may_wait(&call);
        let rank = call.rank;
        let lowest = self.queue.lowest();
        let outranks = lowest.is_some_and(|lowest| lowest.importance() < rank.importance());
        let may_evict = outranks || (may_wait && lowest.is_some_and(|lowest| lowest < rank));
        if !full && (may_wait || outranks) {
            self.queue.insert(call);
            return Verdict::Queue { evicted: None };
        }
        if !may_evict {
            return Verdict::Refuse(self.refusal(&call, ErrorKind::Overload));
        }
        let evicted = self.queue.pop_lowest();
        self.queue.insert(call);
        let evicted = evicted.map(|call| self.refusal(&call, ErrorKind::Overload));
        Verdict::Queue { evicted }
    }

    fn release(&mut self, now: Moment) -> Release {
        self.advance(now);
        let mut release = Release::default();
        for expired in self.queue.remove_expired(now) {
            release.refuse.push(self.refusal(&expired, ErrorKind::Deadline));
        }
        if let Some(pacer) = &mut self.pacer {
            pacer.refill(now);
        }
        while self.may_start()
            && let Some(next) = self.queue.pop_first()
        {
            self.start(next.ticket);
            release.start.push(next.ticket);
        }
        for below in self.remove_below_floor() {
            release.refuse.push(self.refusal(&below, ErrorKind::Overload));
        }
        release
    }

    fn refusal(&self, call: &QueuedCall, kind: ErrorKind) -> Refusal {
        let position = self.queue.len() as u32 + 1;
        let latency = self.controller.latency().unwrap_or_default();
        let wait = latency * position / self.limit().max(1);
        let paced = self.pacer.as_ref().map_or(Duration::ZERO, |pacer| pacer.wait(position));
        let wait = wait.max(paced);
        let retry_after = retry_after(wait, call.rank.tiebreak());
        Refusal { ticket: call.ticket, kind, retry_after }
    }
}
