//! Queue in front of each simulated target: a plain FIFO queue, or the admission of `poplar-core`.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use poplar_core::{
    Admission, AdmissionVerdict, Arrival, ErrorKind, Importance, ImportanceScale, Level, Moment,
    Refusal, Release, TargetLimits, Ticket,
};

/// Overload control used in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// No control: a target queues as many calls as its connections carry, and each hop re-sends
    /// three times at once.
    Naive,
    /// Each target has a queue as long as its number of slots, and each hop re-sends three times
    /// after a random pause.
    Fixed,
    /// The decisions of `poplar-core`.
    Bridge,
}

impl Policy {
    pub(crate) const ALL: [Self; 3] = [Self::Naive, Self::Fixed, Self::Bridge];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Naive => "naive",
            Self::Fixed => "fixed",
            Self::Bridge => "poplarbridge",
        }
    }
}

/// FIFO queue with a fixed number of slots and of queue places.
#[derive(Debug)]
pub(crate) struct Fifo {
    slots: usize,
    queue_limit: usize,
    running: BTreeSet<Ticket>,
    queue: VecDeque<Ticket>,
}

/// Queue in front of one target.
#[derive(Debug)]
pub(crate) enum TargetQueue {
    Fifo(Fifo),
    Core(Box<Admission>),
}

impl TargetQueue {
    pub(crate) fn new(policy: Policy, limits: TargetLimits, scale: ImportanceScale) -> Self {
        let slots = limits.slots as usize;
        let queue_limit = match policy {
            Policy::Naive => limits.connections as usize - slots,
            Policy::Fixed => slots,
            Policy::Bridge => {
                let admission = Admission::new(Moment::default(), limits, scale);
                return Self::Core(Box::new(admission));
            }
        };
        Self::Fifo(Fifo { slots, queue_limit, running: BTreeSet::new(), queue: VecDeque::new() })
    }

    pub(crate) fn arrive(&mut self, now: Moment, call: Arrival) -> AdmissionVerdict {
        match self {
            Self::Core(admission) => admission.arrive(now, call),
            Self::Fifo(fifo) if fifo.running.len() < fifo.slots => {
                fifo.running.insert(call.ticket);
                AdmissionVerdict::Admit
            }
            Self::Fifo(fifo) if fifo.queue.len() < fifo.queue_limit => {
                fifo.queue.push_back(call.ticket);
                AdmissionVerdict::Queue { evicted: None }
            }
            Self::Fifo(_) => {
                let (ticket, kind) = (call.ticket, ErrorKind::Overload);
                AdmissionVerdict::Refuse(Refusal { ticket, kind, retry_after: Duration::ZERO })
            }
        }
    }

    pub(crate) fn finish(&mut self, now: Moment, ticket: Ticket, latency: Duration) -> Release {
        match self {
            Self::Core(admission) => admission.finish(now, ticket, latency),
            Self::Fifo(fifo) => fifo.finish(ticket),
        }
    }

    pub(crate) fn cancel(&mut self, now: Moment, ticket: Ticket) -> Release {
        match self {
            Self::Core(admission) => admission.cancel(now, ticket),
            Self::Fifo(fifo) => fifo.finish(ticket),
        }
    }

    pub(crate) fn tick(&mut self, now: Moment) -> Release {
        match self {
            Self::Core(admission) => admission.tick(now),
            Self::Fifo(_) => Release::default(),
        }
    }

    pub(crate) fn level(&mut self, now: Moment) -> Level {
        match self {
            Self::Core(admission) => admission.level(now),
            Self::Fifo(_) => Level::OPEN,
        }
    }

    /// Returns the least importance among the calls queued in the core's admission; `None` for FIFO
    /// queues, which ignore importance.
    pub(crate) fn lowest_queued(&self) -> Option<Importance> {
        match self {
            Self::Core(admission) => admission.lowest_queued(),
            Self::Fifo(_) => None,
        }
    }

    /// Returns the number of calls that the target runs.
    pub(crate) fn running(&self) -> usize {
        match self {
            Self::Core(admission) => admission.in_flight(),
            Self::Fifo(fifo) => fifo.running.len(),
        }
    }

    /// Returns whether a call that arrived now would run at once.
    pub(crate) fn has_room(&self) -> bool {
        match self {
            Self::Core(admission) => admission.in_flight() < admission.limit() as usize,
            Self::Fifo(fifo) => fifo.running.len() < fifo.slots,
        }
    }
}

impl Fifo {
    fn finish(&mut self, ticket: Ticket) -> Release {
        self.running.remove(&ticket);
        let mut release = Release::default();
        while self.running.len() < self.slots
            && let Some(next) = self.queue.pop_front()
        {
            self.running.insert(next);
            release.start.push(next);
        }
        release
    }
}
