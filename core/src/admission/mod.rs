//! Admission by importance, with levels that travel up the chain.
//!
//! One [`Admission`] stands beside each target. It decides which calls run, wait or are refused,
//! and which rank of call it would refuse next; callers keep that in a [`LevelMap`]. See
//! [overload](../../../docs/design/overload.md).

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
use crate::time::Moment;

use concurrency::{ConcurrencyLimit, InFlight};
pub use level::{Level, Rank};
use level_controller::{LevelController, Load};
pub use map::{LevelMap, LevelSource, RelayedLevel};
use queue::{Queue, QueuedCall};

/// Number of one call at one admission, chosen by the node and unique while the call is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Call that asks to be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the call.
    pub ticket: Ticket,
    /// Importance and lot of the root request.
    pub rank: Rank,
    /// Time since the entry took the root request in.
    pub age: Duration,
    /// Time left until the answer is of no use.
    pub left: Duration,
    /// Time that the run and the way back take at least; see [`crate::RunTimes::expected`].
    pub min_latency: Duration,
    /// Whether targets have already worked for the root request.
    pub begun: bool,
}

/// Call that is refused and has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Number of the call.
    pub ticket: Ticket,
    /// [`ErrorKind::Overload`] or [`ErrorKind::Deadline`].
    pub kind: ErrorKind,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

/// What becomes of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The call goes to the target now.
    Admit,
    /// The call waits; a less important one may have given way to it.
    Queue {
        /// Call that lost its place.
        evicted: Option<Refusal>,
    },
    /// The call is refused at once.
    Refuse(Refusal),
}

/// Queued calls whose wait is over.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Release {
    /// Calls that go to the target now, in this order.
    pub start: Vec<Ticket>,
    /// Calls that are refused.
    pub refuse: Vec<Refusal>,
}

/// How a target that is short of room turns calls away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shedding {
    /// By a level that admission sets itself and tells its callers.
    ByLevel,
    /// Only where the queue is full; who may come at all is decided elsewhere, as by
    /// [`crate::LoadController`]. A call that has come this far waits unless more important ones fill the
    /// queue, since refusing it wastes what was done for its request.
    ByQueue,
}

/// Admission to one target.
///
/// Invariants: at most `limit` calls run and at most `limits.queue` wait, which bounds its
/// memory; nothing waits while a slot is free; a call is refused only if nothing of less
/// importance waits.
#[derive(Debug)]
pub struct Admission {
    limits: TargetLimits,
    shedding: Shedding,
    concurrency: ConcurrencyLimit,
    /// Calls that run, and how many ran once each had started.
    running: BTreeMap<Ticket, u32>,
    queue: Queue,
    controller: LevelController,
}

impl Admission {
    /// Admission to a target that has just announced itself.
    pub fn new(now: Moment, limits: TargetLimits, scale: ImportanceScale) -> Self {
        Self::with_shedding(now, limits, scale, Shedding::ByLevel)
    }

    /// Admission that turns calls away in the given manner.
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
        }
    }

    /// Takes over the importances of a new contract revision.
    pub fn revise(&mut self, scale: ImportanceScale) {
        self.controller.revise(scale);
    }

    /// Decides on a call that has just come in.
    pub fn arrive(&mut self, now: Moment, arrival: Arrival) -> Verdict {
        if self.queue.len() == 0 {
            self.advance(now);
        }
        self.controller.record_arrival(arrival.rank);
        let waiting = QueuedCall::new(now, arrival);
        if arrival.left < arrival.min_latency {
            return Verdict::Refuse(self.refusal(&waiting, ErrorKind::Deadline));
        }
        if self.has_room() {
            self.start(arrival.ticket);
            return Verdict::Admit;
        }
        self.enqueue(waiting)
    }

    /// Ends a run that took `latency` and starts what may start now.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, latency: Duration) -> Release {
        if let Some(start) = self.running.remove(&ticket) {
            let in_flight = InFlight { start, end: self.running.len() as u32 + 1 };
            self.concurrency.record_run(now, in_flight, latency);
            self.controller.record_run(latency);
        }
        self.release(now)
    }

    /// Ends a call whose caller is gone, or a run that gave no answer.
    pub fn cancel(&mut self, now: Moment, ticket: Ticket) -> Release {
        if self.running.remove(&ticket).is_none() {
            self.queue.remove(ticket);
        }
        self.release(now)
    }

    /// Drops queued calls that can no longer meet their deadline; due every 10 ms while any wait.
    pub fn tick(&mut self, now: Moment) -> Release {
        self.release(now)
    }

    /// Level that goes back with every answer.
    pub fn level(&mut self, now: Moment) -> Level {
        if self.queue.len() == 0 {
            self.advance(now);
        }
        self.controller.level()
    }

    /// Calls that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Calls that may run at once at present.
    pub fn limit(&self) -> u32 {
        self.concurrency.limit()
    }

    /// Least importance among the calls that wait.
    pub fn lowest_queued(&self) -> Option<Importance> {
        self.queue.lowest().map(Rank::importance)
    }

    /// Checks the invariants and says which one is broken.
    pub fn verify(&self) -> Result<(), String> {
        if self.limit() > self.limits.slots {
            return Err(format!("limit {} exceeds slots {}", self.limit(), self.limits.slots));
        }
        if self.queue.len() > self.limits.queue as usize {
            return Err(format!("{} calls wait, {} may", self.queue.len(), self.limits.queue));
        }
        if self.has_room() && self.queue.len() > 0 {
            return Err(format!("{} calls wait while a slot is free", self.queue.len()));
        }
        self.queue.verify()
    }

    fn start(&mut self, ticket: Ticket) {
        let beside = self.running.len() as u32 + 1;
        self.running.insert(ticket, beside);
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.limit() as usize
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

    /// Least importance that may wait.
    fn floor(&self) -> Importance {
        match self.shedding {
            Shedding::ByLevel => self.controller.floor(),
            Shedding::ByQueue => Importance::default(),
        }
    }

    /// Whether the own level lets a call wait.
    fn may_wait(&self, waiting: &QueuedCall) -> bool {
        match self.shedding {
            Shedding::ByLevel => {
                waiting.rank.importance() >= self.floor()
                    && (waiting.begun || self.controller.level().admits(waiting.rank))
            }
            Shedding::ByQueue => true,
        }
    }

    /// Removes the calls below the importance of which some are refused.
    fn remove_below_floor(&mut self) -> Vec<QueuedCall> {
        let floor = self.floor();
        let mut below = Vec::new();
        while self.queue.lowest().is_some_and(|lowest| lowest.importance() < floor) {
            below.extend(self.queue.pop_lowest());
        }
        below
    }

    /// Queues the call, lets a lesser one give way to it, or refuses it.
    fn enqueue(&mut self, waiting: QueuedCall) -> Verdict {
        let full = self.queue.len() >= self.limits.queue as usize;
        let passes = self.may_wait(&waiting);
        let rank = waiting.rank;
        let lowest = self.queue.lowest();
        let outranks = lowest.is_some_and(|lowest| lowest.importance() < rank.importance());
        let yields = outranks || (passes && lowest.is_some_and(|lowest| lowest < rank));
        if !full && (passes || outranks) {
            self.queue.insert(waiting);
            return Verdict::Queue { evicted: None };
        }
        if !yields {
            return Verdict::Refuse(self.refusal(&waiting, ErrorKind::Overload));
        }
        let evicted = self.queue.pop_lowest();
        self.queue.insert(waiting);
        let evicted = evicted.map(|lesser| self.refusal(&lesser, ErrorKind::Overload));
        Verdict::Queue { evicted }
    }

    fn release(&mut self, now: Moment) -> Release {
        self.advance(now);
        let mut release = Release::default();
        for late in self.queue.remove_expired(now) {
            release.refuse.push(self.refusal(&late, ErrorKind::Deadline));
        }
        while self.has_room()
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

    fn refusal(&self, waiting: &QueuedCall, kind: ErrorKind) -> Refusal {
        let ahead = self.queue.len() as u32 + 1;
        let latency = self.controller.latency().unwrap_or_default();
        let wait = latency * ahead / self.limit().max(1);
        let retry_after = retry_after(wait, waiting.rank.tiebreak());
        Refusal { ticket: waiting.ticket, kind, retry_after }
    }
}
