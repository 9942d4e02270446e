//! Requests suspected of crashing their targets.
//!
//! Every request in flight at a crash becomes a suspect. A suspect is not re-sent by any node,
//! goes to one target of the service and runs there one at a time. If that run crashes the
//! target too, the request is convicted and refused at once; if it succeeds, the suspicion ends.
//! See [crashing requests](../../docs/design/crashing-requests.md).

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{InstanceId, Name, rendezvous_owner};
use crate::time::Moment;

/// Hash by which a request is known again under another request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// Fingerprint of a request: its class and everything the target is handed, path included.
    pub fn of(class: &Name, request: &[u8]) -> Self {
        Self::of_parts(class, &[request])
    }

    /// Fingerprint of a request whose parts lie apart; two requests agree if all parts do.
    pub fn of_parts(class: &Name, parts: &[&[u8]]) -> Self {
        let seed = xxh3_64_with_seed(class.as_str().as_bytes(), 0);
        Self(parts.iter().fold(seed, |seed, part| xxh3_64_with_seed(part, seed)))
    }

    /// Target that alone gets this request while it is a suspect, among the serving members.
    pub fn isolation_target<'a>(
        self,
        members: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Option<&'a InstanceId> {
        rendezvous_owner(u128::from(self.0), members)
    }
}

/// What is held against a request, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspicionState {
    /// Nothing, or no longer anything.
    Clear,
    /// It was in flight at a crash and has not succeeded since.
    Suspect,
    /// It crashed a target while it ran as the only suspect there.
    Convicted,
}

/// How a run was let in; handed back when the run ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a run that is never ended blocks the other suspects"]
pub enum Permit {
    /// Beside any others.
    Unrestricted,
    /// As the only suspect at the target.
    Isolated,
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SuspectRefusal {
    /// It is refused for good: `NotRun` with the kind `CrashSuspect`.
    #[error("the request crashed its targets")]
    Convicted,
    /// It is a suspect, and another one runs; it may come back.
    #[error("another suspect runs")]
    Busy,
}

/// Standing of one request as nodes of a service tell it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Request.
    pub print: Fingerprint,
    /// Number of changes of the standing so far; the larger one wins, then the graver standing.
    pub version: u32,
    /// Standing.
    pub standing: SuspicionState,
    /// Time until the standing is forgotten; it only falls as the report travels.
    pub left: Duration,
}

#[derive(Debug)]
struct Record {
    version: u32,
    standing: SuspicionState,
    expiry: Moment,
}

/// Place of a record in the order of eviction.
type EvictionRank = (SuspicionState, Moment, Fingerprint);

/// What one node knows about the suspects of one service.
///
/// Holds at most `capacity` requests, each of some 100 bytes, for `memory` after the last change.
/// When it is full, the least grave and oldest record gives way.
#[derive(Debug)]
pub struct SuspectTable {
    retention: Duration,
    capacity: usize,
    records: HashMap<Fingerprint, Record>,
    ranks: BTreeSet<EvictionRank>,
    isolated_run: bool,
}

impl SuspectTable {
    /// Knows nothing yet.
    pub fn new(retention: Duration, capacity: usize) -> Self {
        let (records, ranks) = (HashMap::new(), BTreeSet::new());
        Self { retention, capacity, records, ranks, isolated_run: false }
    }

    /// Number of records, those of cleared requests included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What is held against a request at `now`.
    pub fn state(&self, now: Moment, print: Fingerprint) -> SuspicionState {
        let record = self.records.get(&print).filter(|record| record.expiry > now);
        record.map_or(SuspicionState::Clear, |record| record.standing)
    }

    /// Decides whether a request may start at the target beside this node.
    pub fn admit(&mut self, now: Moment, print: Fingerprint) -> Result<Permit, SuspectRefusal> {
        match self.state(now, print) {
            SuspicionState::Clear => Ok(Permit::Unrestricted),
            SuspicionState::Convicted => Err(SuspectRefusal::Convicted),
            SuspicionState::Suspect if self.isolated_run => Err(SuspectRefusal::Busy),
            SuspicionState::Suspect => {
                self.isolated_run = true;
                Ok(Permit::Isolated)
            }
        }
    }

    /// Ends a run that the target answered: nothing is held against the request any more.
    pub fn record_success(&mut self, now: Moment, print: Fingerprint, permit: Permit) {
        self.release(permit);
        if self.state(now, print) != SuspicionState::Clear {
            self.set_state(now, print, SuspicionState::Clear);
        }
    }

    /// Ends a run that was cancelled or never started; it says nothing about the request.
    pub fn release(&mut self, permit: Permit) {
        if permit == Permit::Isolated {
            self.isolated_run = false;
        }
    }

    /// Takes in that the target crashed while these runs were in flight.
    ///
    /// Only the run that was alone is convicted: of the others each may be a bystander, however
    /// often a popular request happens to be in flight.
    pub fn record_crash(
        &mut self,
        now: Moment,
        runs: impl IntoIterator<Item = (Fingerprint, Permit)>,
    ) {
        self.drop_expired(now);
        for (print, permit) in runs {
            let standing = match permit {
                Permit::Isolated => SuspicionState::Convicted,
                Permit::Unrestricted => SuspicionState::Suspect,
            };
            self.release(permit);
            self.set_state(now, print, standing.max(self.state(now, print)));
        }
    }

    /// At most `limit` reports for another node, the gravest and latest first.
    pub fn export(&self, now: Moment, limit: usize) -> Vec<SuspectReport> {
        let live = self.ranks.iter().rev().filter(|(_, expiry, _)| *expiry > now);
        live.take(limit).filter_map(|(_, _, print)| self.report(now, *print)).collect()
    }

    /// Takes in reports of another node; they may come in any order and more than once.
    pub fn merge(&mut self, now: Moment, reports: &[SuspectReport]) {
        self.drop_expired(now);
        for report in reports {
            let known = self.report(now, report.print);
            let known = known.map_or((0, SuspicionState::Clear), |own| (own.version, own.standing));
            if (report.version, report.standing) > known && !report.left.is_zero() {
                let expiry = now + report.left.min(self.retention);
                let (version, standing) = (report.version, report.standing);
                self.insert(report.print, Record { version, standing, expiry });
            }
        }
    }

    /// Checks that the order of eviction agrees with the records and the bound holds.
    pub fn verify(&self) -> Result<(), SuspectTableError> {
        let (records, ranks) = (self.records.len(), self.ranks.len());
        if records != ranks || records > self.capacity {
            return Err(SuspectTableError::CountMismatch { records, ranks });
        }
        let lost = self.records.iter().find(|(print, record)| {
            let rank = (record.standing, record.expiry, **print);
            !self.ranks.contains(&rank)
        });
        lost.map_or(Ok(()), |(print, _)| Err(SuspectTableError::MissingRank(*print)))
    }

    fn report(&self, now: Moment, print: Fingerprint) -> Option<SuspectReport> {
        let record = self.records.get(&print).filter(|record| record.expiry > now)?;
        let Record { version, standing, expiry } = *record;
        Some(SuspectReport { print, version, standing, left: expiry.since(now) })
    }

    fn set_state(&mut self, now: Moment, print: Fingerprint, standing: SuspicionState) {
        let version = self.records.get(&print).map_or(0, |record| record.version);
        let expiry = now + self.retention;
        self.insert(print, Record { version: version.saturating_add(1), standing, expiry });
    }

    fn insert(&mut self, print: Fingerprint, record: Record) {
        self.remove(print);
        self.ranks.insert((record.standing, record.expiry, print));
        self.records.insert(print, record);
        while self.records.len() > self.capacity {
            let Some(&(_, _, weakest)) = self.ranks.first() else { return };
            self.remove(weakest);
        }
    }

    fn remove(&mut self, print: Fingerprint) {
        if let Some(old) = self.records.remove(&print) {
            self.ranks.remove(&(old.standing, old.expiry, print));
        }
    }

    fn drop_expired(&mut self, now: Moment) {
        let expired = self.ranks.iter().filter(|(_, expiry, _)| *expiry <= now);
        for (_, _, print) in expired.copied().collect::<Vec<EvictionRank>>() {
            self.remove(print);
        }
    }
}

/// Inconsistency that [`SuspectTable::verify`] found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SuspectTableError {
    /// Records and ranks differ in number or exceed the capacity.
    #[error("{records} records, {ranks} ranks")]
    CountMismatch {
        /// Number of records.
        records: usize,
        /// Number of ranks.
        ranks: usize,
    },
    /// A record has no rank of its own.
    #[error("request {0} has no rank")]
    MissingRank(Fingerprint),
}
