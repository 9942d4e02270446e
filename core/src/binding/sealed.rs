//! Graceful stop: an incarnation seals its table and hands it over to a successor, which answers
//! re-sends from then on.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::runs::{Entry, final_status, run_status};
use super::{Binding, RunStatus};
use crate::ids::{Incarnation, InstanceId, RequestId};
use crate::outcome::{ErrorKind, Outcome};
use crate::time::Moment;

/// Table that admits no more requests, while those that run may still end.
///
/// The type has no way to admit a request. A process that is paused at any point and resumes after
/// the handover still has this type, so it can't contradict the successor's answers.
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

    /// Status to report to the sender of a copy, which is never run.
    ///
    /// It is `NotRun` for every key without a record under a window that is in the table, because
    /// no more requests are admitted.
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

    /// Status of a request that ran, is running or may have run under any binding; see
    /// [`RunTable::run_status`](super::RunTable::run_status).
    pub fn run_status(&self, request: RequestId) -> Option<RunStatus<A>> {
        run_status(self.entries.get(&request))
    }

    /// Records how a request that was running when the table was sealed ended; see
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

    /// Converts the table for transfer to the successor, for which the outcome of requests that
    /// are still running is unknown.
    pub fn handover(self) -> Handover<A> {
        let mut entries: Vec<_> = self.entries.into_iter().filter_map(handover_entry).collect();
        entries.sort_by_key(|entry| entry.request);
        let Self { instance, incarnation, floor, .. } = self;
        let total = entries.len() as u64;
        Handover { instance, incarnation, floor, total, entries }
    }
}

/// Entry for the successor; `None` for a tombstone, because the successor reports every request
/// without an entry as not run.
fn handover_entry<A>((request, entry): (RequestId, Entry<A>)) -> Option<HandoverEntry<A>> {
    let answer = match entry.status {
        RunStatus::Done(answer) => Some(answer),
        RunStatus::Running | RunStatus::Unknown(_) => None,
        RunStatus::NotRun(_) => return None,
    };
    Some(HandoverEntry { request, answer })
}

/// Complete table of a sealed incarnation, as sent to the successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover<A> {
    /// Instance of the sealed incarnation.
    pub instance: InstanceId,
    /// Incarnation that was sealed.
    pub incarnation: Incarnation,
    /// Oldest window whose keys are in the table.
    pub floor: u64,
    /// Number of entries, by which the successor detects an incomplete table.
    pub total: u64,
    /// Requests that ran or may have run, sorted by request id.
    pub entries: Vec<HandoverEntry<A>>,
}

/// One request of a [`Handover`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverEntry<A> {
    /// Identifier of the request.
    pub request: RequestId,
    /// Answer of the target; `None` if the outcome is unknown.
    pub answer: Option<A>,
}

/// Why a successor did not accept a table; the outcome of the table's requests is then unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HandoverError {
    /// The number of tables or entries would exceed the successor's limit.
    #[error("the tables already accepted leave no room for another one")]
    NoRoom,
    /// The number of entries differs from [`Handover::total`].
    #[error("the number of entries differs from the total that the table states")]
    Partial,
}

/// Tables that an instance accepted from sealed incarnations, from which it answers re-sends.
///
/// Holds at most [`Successor::MAX_TABLES`] tables and a configured number of entries.
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
    /// Maximum number of tables at one time.
    pub const MAX_TABLES: usize = 64;

    /// Creates a successor that keeps each table for `retention` and holds at most `max_entries`
    /// entries over all tables.
    pub fn new(retention: Duration, max_entries: usize) -> Self {
        Self { tables: HashMap::new(), retention, max_entries, entry_count: 0, table_count: 0 }
    }

    /// Accepts a table; accepting the table of the same incarnation again changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the table is incomplete or exceeds the limits; it is then not kept.
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

    /// Status to report to the sender of a copy that is bound to a sealed incarnation.
    ///
    /// It is `Done` if the table holds an answer; `NotRun` for a key that is not in the table;
    /// `Unknown` for a request that was still running when the incarnation stopped or whose outcome
    /// was unknown, for a window that the incarnation had dropped, and for an incarnation whose
    /// table is not here.
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

    /// Whether the table of an incarnation is here.
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
