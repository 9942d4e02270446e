//! Graceful stop: the sealed table of an incarnation, and the successor that answers for it.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::runs::{Entry, final_status, run_status};
use super::{Binding, RunStatus};
use crate::ids::{Incarnation, InstanceId, RequestId};
use crate::outcome::{ErrorKind, Outcome};
use crate::time::Moment;

/// Table that admits nothing more; what runs may still end.
///
/// A process that is paused at any point and wakes up later still holds this type, which cannot
/// admit, so that the successor's answers stay true.
#[derive(Debug)]
pub struct SealedTable<A> {
    instance: InstanceId,
    incarnation: Incarnation,
    floor: u64,
    entries: HashMap<RequestId, Entry<A>>,
}

impl<A: Clone> SealedTable<A> {
    pub(crate) fn new(
        instance: InstanceId,
        incarnation: Incarnation,
        floor: u64,
        entries: HashMap<RequestId, Entry<A>>,
    ) -> Self {
        Self { instance, incarnation, floor, entries }
    }

    /// What the sender of a copy may be told; it is never run.
    ///
    /// `NotRun` is given for every key that is not on record under a window that is held, because
    /// nothing more is admitted.
    pub fn answer(&self, request: RequestId, binding: &Binding) -> RunStatus<A> {
        let foreign = binding.instance != self.instance || binding.incarnation != self.incarnation;
        if foreign || binding.window < self.floor {
            return RunStatus::Unknown(ErrorKind::BindingLost);
        }
        match self.entries.get(&request) {
            Some(entry) => entry.status.clone(),
            None => RunStatus::NotRun(ErrorKind::Draining),
        }
    }

    /// What became of a request under whatever binding; see
    /// [`RunTable::run_status`](super::RunTable::run_status).
    pub fn run_status(&self, request: RequestId) -> Option<RunStatus<A>> {
        run_status(self.entries.get(&request))
    }

    /// Records how a request that was running at the seal ended; see
    /// [`RunTable::finish`](super::RunTable::finish).
    pub fn finish(&mut self, request: RequestId, outcome: Outcome<A>, size: usize) -> bool {
        let Some(entry) = self.entries.get_mut(&request) else { return false };
        if !matches!(entry.status, RunStatus::Running) {
            return false;
        }
        (entry.status, entry.bytes) = final_status(outcome, size, entry.bytes);
        true
    }

    /// Number of requests that are still running.
    pub fn running(&self) -> usize {
        self.entries.values().filter(|entry| matches!(entry.status, RunStatus::Running)).count()
    }

    /// Table for the successor; what still runs is unknown to it.
    pub fn handover(self) -> Handover<A> {
        let mut entries: Vec<_> = self.entries.into_iter().filter_map(handover_entry).collect();
        entries.sort_by_key(|entry| entry.request);
        let Self { instance, incarnation, floor, .. } = self;
        let total = entries.len() as u64;
        Handover { instance, incarnation, floor, total, entries }
    }
}

/// Tombstones stay behind: for the successor, what is absent is not run.
fn handover_entry<A>((request, entry): (RequestId, Entry<A>)) -> Option<HandoverEntry<A>> {
    let answer = match entry.status {
        RunStatus::Done(answer) => Some(answer),
        RunStatus::Running | RunStatus::Unknown(_) => None,
        RunStatus::NotRun(_) => return None,
    };
    Some(HandoverEntry { request, answer })
}

/// Complete table of a sealed incarnation, as it travels to the successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover<A> {
    /// Instance of the sealed incarnation.
    pub instance: InstanceId,
    /// Sealed incarnation.
    pub incarnation: Incarnation,
    /// Oldest window whose keys are in the table.
    pub floor: u64,
    /// Number of entries, so that a part is never taken for the whole.
    pub total: u64,
    /// Requests that ran or may have run, by request id.
    pub entries: Vec<HandoverEntry<A>>,
}

/// One request of a [`Handover`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry<A> {
    /// Request.
    pub request: RequestId,
    /// Kept answer; none if the outcome is unknown.
    pub answer: Option<A>,
}

/// Why a successor did not take a table over; the outcome of its requests is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// The tables held leave no room.
    #[error("no room for the table")]
    NoRoom,
    /// The table came without some of its entries.
    #[error("the table is not complete")]
    Partial,
}

/// Tables that an instance took over from sealed incarnations, and answers from.
///
/// Memory: at most `keys` entries and as many tables as [`Successor::MAX_TABLES`].
#[derive(Debug)]
pub struct Successor<A> {
    tables: HashMap<InstanceId, Vec<AcceptedTable<A>>>,
    retention: Duration,
    max_entries: usize,
    entry_count: usize,
    table_count: usize,
}

#[derive(Debug)]
struct AcceptedTable<A> {
    incarnation: Incarnation,
    floor: u64,
    accepted_at: Moment,
    answers: HashMap<RequestId, Option<A>>,
}

impl<A: Clone> Successor<A> {
    /// Most tables held at once.
    pub const MAX_TABLES: usize = 64;

    /// Successor that keeps each table for `hold` and at most `keys` entries in all.
    pub fn new(retention: Duration, max_entries: usize) -> Self {
        Self { tables: HashMap::new(), retention, max_entries, entry_count: 0, table_count: 0 }
    }

    /// Takes a table over; taking the same one twice changes nothing.
    pub fn accept(&mut self, now: Moment, handover: Handover<A>) -> Result<(), HandoverError> {
        self.drop_expired(now);
        let Handover { instance, incarnation, floor, total, entries } = handover;
        if entries.len() as u64 != total {
            return Err(HandoverError::Partial);
        }
        if self.find(&instance, incarnation).is_some() {
            return Ok(());
        }
        if self.table_count >= Self::MAX_TABLES
            || self.entry_count + entries.len() > self.max_entries
        {
            return Err(HandoverError::NoRoom);
        }
        let answers: HashMap<_, _> =
            entries.into_iter().map(|entry| (entry.request, entry.answer)).collect();
        self.entry_count += answers.len();
        self.table_count += 1;
        let table = AcceptedTable { incarnation, floor, accepted_at: now, answers };
        self.tables.entry(instance).or_default().push(table);
        Ok(())
    }

    /// What the sender of a copy bound to a sealed incarnation may be told.
    ///
    /// `Done` from a kept answer; `NotRun` for a key that the complete table lacks; `Unknown` for
    /// a request that still ran when the incarnation stopped, for a window that it no longer
    /// held, and for an incarnation whose table is not here.
    pub fn answer(&mut self, now: Moment, request: RequestId, binding: &Binding) -> RunStatus<A> {
        self.drop_expired(now);
        let lost = RunStatus::Unknown(ErrorKind::BindingLost);
        let Some(table) = self.find(&binding.instance, binding.incarnation) else { return lost };
        if binding.window < table.floor {
            return lost;
        }
        match table.answers.get(&request) {
            Some(Some(answer)) => RunStatus::Done(answer.clone()),
            Some(None) => lost,
            None => RunStatus::NotRun(ErrorKind::Draining),
        }
    }

    /// Whether a table of that incarnation is held.
    pub fn holds(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.find(instance, incarnation).is_some()
    }

    fn find(&self, instance: &InstanceId, incarnation: Incarnation) -> Option<&AcceptedTable<A>> {
        self.tables.get(instance)?.iter().find(|table| table.incarnation == incarnation)
    }

    fn drop_expired(&mut self, now: Moment) {
        let retention = self.retention;
        self.tables.retain(|_, tables| {
            tables.retain(|table| now.since(table.accepted_at) < retention);
            !tables.is_empty()
        });
        self.entry_count = self.tables.values().flatten().map(|table| table.answers.len()).sum();
        self.table_count = self.tables.values().map(Vec::len).sum();
    }
}
