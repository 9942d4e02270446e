//! Queue of the calls that wait for a slot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Importance;
use crate::time::Moment;

use super::level::Rank;
use super::{Arrival, Ticket};

/// Call that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueuedCall {
    pub(crate) ticket: Ticket,
    pub(crate) rank: Rank,
    pub(crate) begun: bool,
    /// Microseconds since an origin before the process's own, so that older requests sort first.
    request_start: i64,
    /// Last moment at which starting the call is of use.
    latest_start: Moment,
}

/// Order in which waiting calls start: importance, work already paid for, age of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StartKey {
    importance: Reverse<Importance>,
    begun: Reverse<bool>,
    request_start: i64,
    ticket: Ticket,
}

/// Order in which waiting calls give way: importance, work not yet paid for, lot, youngest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    importance: Importance,
    begun: bool,
    rank: Rank,
    request_start: Reverse<i64>,
    ticket: Ticket,
}

/// Order in which waiting calls become useless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryKey {
    latest_start: Moment,
    ticket: Ticket,
}

/// Waiting calls under three orders; all four collections hold the same tickets.
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

    pub(crate) fn insert(&mut self, waiting: QueuedCall) {
        self.remove(waiting.ticket);
        self.start_order.insert(waiting.start_key());
        self.eviction_order.insert(waiting.eviction_key());
        self.expiry_order.insert(waiting.expiry_key());
        self.calls.insert(waiting.ticket, waiting);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<QueuedCall> {
        let waiting = self.calls.remove(&ticket)?;
        self.start_order.remove(&waiting.start_key());
        self.eviction_order.remove(&waiting.eviction_key());
        self.expiry_order.remove(&waiting.expiry_key());
        Some(waiting)
    }

    /// Rank of the call that gives way first.
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
        let mut late = Vec::new();
        while let Some(first) = self.expiry_order.first().copied()
            && first.latest_start < now
        {
            late.extend(self.remove(first.ticket));
        }
        late
    }

    pub(crate) fn verify(&self) -> Result<(), String> {
        let len = self.calls.len();
        let orders = [self.start_order.len(), self.eviction_order.len(), self.expiry_order.len()];
        if orders.iter().any(|order| *order != len) {
            return Err(format!("{len} calls wait but the orders hold {orders:?}"));
        }
        Ok(())
    }
}
