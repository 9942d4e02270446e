//! Queue of calls that wait for a free slot of the target.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Importance;
use crate::time::Moment;

use super::level::Rank;
use super::{Arrival, Ticket};

/// Call in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueuedCall {
    pub(crate) ticket: Ticket,
    pub(crate) rank: Rank,
    pub(crate) begun: bool,
    /// Start of the root request on this process's clock, in microseconds; negative if the request
    /// is older than the clock's origin.
    request_start: i64,
    /// Latest time at which a run can start and still meet the deadline.
    latest_start: Moment,
}

/// Order in which queued calls start: most important first, then those whose request targets have
/// already worked for, then the oldest request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StartKey {
    importance: Reverse<Importance>,
    begun: Reverse<bool>,
    request_start: i64,
    ticket: Ticket,
}

/// Order in which queued calls are evicted: least important first, then those whose request no
/// target has worked for, then the lowest tie-breaker, then the youngest request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    importance: Importance,
    begun: bool,
    rank: Rank,
    request_start: Reverse<i64>,
    ticket: Ticket,
}

/// Order in which queued calls can no longer meet their deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryKey {
    latest_start: Moment,
    ticket: Ticket,
}

/// Queued calls with an index for each of the three orders. All four collections hold the same
/// tickets.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    calls: BTreeMap<Ticket, QueuedCall>,
    start_order: BTreeSet<StartKey>,
    eviction_order: BTreeSet<EvictionKey>,
    expiry_order: BTreeSet<ExpiryKey>,
}

impl QueuedCall {
    pub(crate) fn new(now: Moment, arrival: Arrival) -> Self {
        let age = i64::try_from(arrival.age.as_micros()).unwrap_or(i64::MAX);
        let request_start = i64::try_from(now.as_micros()).unwrap_or(i64::MAX).saturating_sub(age);
        let latest_start = now + arrival.left.saturating_sub(arrival.min_latency);
        Self {
            ticket: arrival.ticket,
            rank: arrival.rank,
            begun: arrival.begun,
            request_start,
            latest_start,
        }
    }

    fn start_key(&self) -> StartKey {
        let importance = Reverse(self.rank.importance());
        StartKey {
            importance,
            begun: Reverse(self.begun),
            request_start: self.request_start,
            ticket: self.ticket,
        }
    }

    fn eviction_key(&self) -> EvictionKey {
        EvictionKey {
            importance: self.rank.importance(),
            begun: self.begun,
            rank: self.rank,
            request_start: Reverse(self.request_start),
            ticket: self.ticket,
        }
    }

    fn expiry_key(&self) -> ExpiryKey {
        ExpiryKey { latest_start: self.latest_start, ticket: self.ticket }
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn insert(&mut self, call: QueuedCall) {
        self.remove(call.ticket);
        self.start_order.insert(call.start_key());
        self.eviction_order.insert(call.eviction_key());
        self.expiry_order.insert(call.expiry_key());
        self.calls.insert(call.ticket, call);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<QueuedCall> {
        let call = self.calls.remove(&ticket)?;
        self.start_order.remove(&call.start_key());
        self.eviction_order.remove(&call.eviction_key());
        self.expiry_order.remove(&call.expiry_key());
        Some(call)
    }

    /// Rank of the call that is evicted first.
    pub(crate) fn lowest(&self) -> Option<Rank> {
        self.eviction_order.first().map(|first| first.rank)
    }

    pub(crate) fn pop_lowest(&mut self) -> Option<QueuedCall> {
        let ticket = self.eviction_order.first()?.ticket;
        self.remove(ticket)
    }

    pub(crate) fn pop_first(&mut self) -> Option<QueuedCall> {
        let ticket = self.start_order.first()?.ticket;
        self.remove(ticket)
    }

    /// Removes the calls that can no longer meet their deadline.
    pub(crate) fn remove_expired(&mut self, now: Moment) -> Vec<QueuedCall> {
        let mut expired = Vec::new();
        while let Some(first) = self.expiry_order.first().copied()
            && first.latest_start < now
        {
            expired.extend(self.remove(first.ticket));
        }
        expired
    }

    pub(crate) fn verify(&self) -> Result<(), String> {
        let len = self.calls.len();
        let indexes = [self.start_order.len(), self.eviction_order.len(), self.expiry_order.len()];
        if indexes.iter().any(|index| *index != len) {
            return Err(format!("{len} calls are queued, but the indexes hold {indexes:?}"));
        }
        Ok(())
    }
}
