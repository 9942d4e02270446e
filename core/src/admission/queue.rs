//! Queue of the calls that wait for a slot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Importance;
use crate::time::Moment;

use super::level::Rank;
use super::{Arrival, Ticket};

/// Call that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) rank: Rank,
    pub(crate) paid: bool,
    /// Microseconds since an origin before the process's own, so that older requests sort first.
    born: i64,
    /// Last moment at which starting the call is of use.
    latest: Moment,
}

/// Order in which waiting calls start: importance, work already paid for, age of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    importance: Reverse<Importance>,
    paid: Reverse<bool>,
    born: i64,
    ticket: Ticket,
}

/// Order in which waiting calls give way: importance, work not yet paid for, lot, youngest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Yield {
    importance: Importance,
    paid: bool,
    rank: Rank,
    born: Reverse<i64>,
    ticket: Ticket,
}

/// Order in which waiting calls become useless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    latest: Moment,
    ticket: Ticket,
}

/// Waiting calls under three orders; all four collections hold the same tickets.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    calls: BTreeMap<Ticket, Waiting>,
    turns: BTreeSet<Turn>,
    yields: BTreeSet<Yield>,
    expiries: BTreeSet<Expiry>,
}

impl Waiting {
    pub(crate) fn new(now: Moment, arrival: Arrival) -> Self {
        let age = i64::try_from(arrival.age.as_micros()).unwrap_or(i64::MAX);
        let born = i64::try_from(now.as_micros()).unwrap_or(i64::MAX).saturating_sub(age);
        let latest = now + arrival.left.saturating_sub(arrival.rest);
        Self { ticket: arrival.ticket, rank: arrival.rank, paid: arrival.paid, born, latest }
    }

    fn turn(&self) -> Turn {
        let importance = Reverse(self.rank.importance());
        Turn { importance, paid: Reverse(self.paid), born: self.born, ticket: self.ticket }
    }

    fn yields(&self) -> Yield {
        Yield {
            importance: self.rank.importance(),
            paid: self.paid,
            rank: self.rank,
            born: Reverse(self.born),
            ticket: self.ticket,
        }
    }

    fn expiry(&self) -> Expiry {
        Expiry { latest: self.latest, ticket: self.ticket }
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn insert(&mut self, waiting: Waiting) {
        self.remove(waiting.ticket);
        self.turns.insert(waiting.turn());
        self.yields.insert(waiting.yields());
        self.expiries.insert(waiting.expiry());
        self.calls.insert(waiting.ticket, waiting);
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.calls.remove(&ticket)?;
        self.turns.remove(&waiting.turn());
        self.yields.remove(&waiting.yields());
        self.expiries.remove(&waiting.expiry());
        Some(waiting)
    }

    /// Rank of the call that gives way first.
    pub(crate) fn lowest(&self) -> Option<Rank> {
        self.yields.first().map(|first| first.rank)
    }

    pub(crate) fn pop_lowest(&mut self) -> Option<Waiting> {
        let ticket = self.yields.first()?.ticket;
        self.remove(ticket)
    }

    pub(crate) fn pop_first(&mut self) -> Option<Waiting> {
        let ticket = self.turns.first()?.ticket;
        self.remove(ticket)
    }

    /// Removes the calls that can no longer meet their deadline.
    pub(crate) fn take_late(&mut self, now: Moment) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some(first) = self.expiries.first().copied()
            && first.latest < now
        {
            late.extend(self.remove(first.ticket));
        }
        late
    }

    pub(crate) fn verify(&self) -> Result<(), String> {
        let len = self.calls.len();
        let orders = [self.turns.len(), self.yields.len(), self.expiries.len()];
        if orders.iter().any(|order| *order != len) {
            return Err(format!("{len} calls wait but the orders hold {orders:?}"));
        }
        Ok(())
    }
}
