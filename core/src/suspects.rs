//! Requests suspected of crashing the targets that run them.
//!
//! Every request that is in flight when a target crashes becomes a suspect. No node re-sends a
//! suspect. It is sent to one particular target of the service, where at most one suspect runs at
//! a time. If that run crashes the target too, the request is convicted and refused until its
//! record expires; if it succeeds, the request is cleared. See
//! [crashing requests](../../docs/design/crashing-requests.md).

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{InstanceId, Name, rendezvous_owner};
use crate::time::Moment;

/// Hash of a request's content, by which it is recognized under another request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request from its class and everything that the target
    /// receives, path included.
    pub fn of(class: &Name, request: &[u8]) -> Self {
        Self::of_parts(class, &[request])
    }

    /// Computes the fingerprint of a request whose content is given in several parts; two requests
    /// have the same fingerprint if all their parts are equal.
    pub fn of_parts(class: &Name, parts: &[&[u8]]) -> Self {
        let seed = xxh3_64_with_seed(class.as_str().as_bytes(), 0);
        Self(parts.iter().fold(seed, |seed, part| xxh3_64_with_seed(part, seed)))
    }

    /// The only target, among the serving members, to which this request is sent while it is a
    /// suspect; the same for all nodes that know the same members.
    pub fn isolation_target<'a>(
        self,
        members: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Option<&'a InstanceId> {
        rendezvous_owner(u128::from(self.0), members)
    }
}

/// Degree of suspicion against a request, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspicionState {
    /// The request is not under suspicion, or no longer.
    Clear,
    /// The request was in flight at a crash and has not succeeded since.
    Suspect,
    /// The request crashed a target while it ran as the only suspect there.
    Convicted,
}

/// Permission to run a request; returned to the [`SuspectTable`] when the run ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a run that is never ended blocks the other suspects"]
pub enum Permit {
    /// The request may run beside any others.
    Unrestricted,
    /// The request runs as the only suspect at the target.
    Isolated,
}

/// Why a request may not run at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SuspectRefusal {
    /// The request is convicted: `NotRun` with the kind `CrashSuspect`.
    #[error("the request crashed its targets")]
    Convicted,
    /// The request is a suspect, and another suspect is running; it may be retried later.
    #[error("another suspect is running at the target")]
    Busy,
}

/// State of one request, as the nodes of a service send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Number of state changes so far. Of two reports the one with the higher version wins, then
    /// the one with the more severe state.
    pub version: u32,
    /// State of the request.
    pub standing: SuspicionState,
    /// Time until the state expires; it only decreases as the report is passed on.
    pub left: Duration,
}

#[derive(Debug)]
struct Record {
    version: u32,
    state: SuspicionState,
    expiry: Moment,
}

/// Position of a record in the order of eviction; the smallest is evicted first.
type EvictionRank = (SuspicionState, Moment, Fingerprint);

/// Suspects of one service, as known to one node.
///
/// Holds at most `capacity` requests of about 100 bytes each, for `retention` after their last
/// change. When it is full, the least severe and, among those, the oldest record is evicted.
#[derive(Debug)]
pub struct SuspectTable {
    retention: Duration,
    capacity: usize,
    records: HashMap<Fingerprint, Record>,
    ranks: BTreeSet<EvictionRank>,
    isolated_run: bool,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new(retention: Duration, capacity: usize) -> Self {
        let (records, ranks) = (HashMap::new(), BTreeSet::new());
        Self { retention, capacity, records, ranks, isolated_run: false }
    }

    /// Number of records, including those of cleared requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// State of a request at `now`; `Clear` if it has no record or the record has expired.
    pub fn state(&self, now: Moment, fingerprint: Fingerprint) -> SuspicionState {
        let record = self.records.get(&fingerprint).filter(|record| record.expiry > now);
        record.map_or(SuspicionState::Clear, |record| record.state)
    }

    /// Decides whether a request may start at this node's target.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request may not run now.
    pub fn admit(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
    ) -> Result<Permit, SuspectRefusal> {
        match self.state(now, fingerprint) {
            SuspicionState::Clear => Ok(Permit::Unrestricted),
            SuspicionState::Convicted => Err(SuspectRefusal::Convicted),
            SuspicionState::Suspect if self.isolated_run => Err(SuspectRefusal::Busy),
            SuspicionState::Suspect => {
                self.isolated_run = true;
                Ok(Permit::Isolated)
            }
        }
    }

    /// Ends a run that the target answered, and clears the request.
    pub fn record_success(&mut self, now: Moment, fingerprint: Fingerprint, permit: Permit) {
        self.release(permit);
        if self.state(now, fingerprint) != SuspicionState::Clear {
            self.set_state(now, fingerprint, SuspicionState::Clear);
        }
    }

    /// Ends a run that was cancelled or never started; the state of the request doesn't change.
    pub fn release(&mut self, permit: Permit) {
        if permit == Permit::Isolated {
            self.isolated_run = false;
        }
    }

    /// Records that the target crashed while these runs were in flight.
    ///
    /// Only an isolated run is convicted. Each of the others may be a bystander, no matter how
    /// often a popular request happens to be in flight at a crash.
    pub fn record_crash(
        &mut self,
        now: Moment,
        runs: impl IntoIterator<Item = (Fingerprint, Permit)>,
    ) {
        self.drop_expired(now);
        for (fingerprint, permit) in runs {
            let state = match permit {
                Permit::Isolated => SuspicionState::Convicted,
                Permit::Unrestricted => SuspicionState::Suspect,
            };
            self.release(permit);
            self.set_state(now, fingerprint, state.max(self.state(now, fingerprint)));
        }
    }

    /// Returns at most `limit` reports for another node, the most severe first and among those the
    /// latest.
    pub fn export(&self, now: Moment, limit: usize) -> Vec<SuspectReport> {
        let live = self.ranks.iter().rev().filter(|(_, expiry, _)| *expiry > now);
        live.take(limit).filter_map(|(_, _, fingerprint)| self.report(now, *fingerprint)).collect()
    }

    /// Merges reports of another node, which may arrive in any order and repeatedly.
    pub fn merge(&mut self, now: Moment, reports: &[SuspectReport]) {
        self.drop_expired(now);
        for report in reports {
            let known = self.report(now, report.print);
            let known =
                known.map_or((0, SuspicionState::Clear), |known| (known.version, known.standing));
            if (report.version, report.standing) > known && !report.left.is_zero() {
                let expiry = now + report.left.min(self.retention);
                let (version, state) = (report.version, report.standing);
                self.insert(report.print, Record { version, state, expiry });
            }
        }
    }

    /// Checks that the eviction order agrees with the records and that the capacity is not
    /// exceeded. For tests.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub fn verify(&self) -> Result<(), SuspectTableError> {
        let (records, ranks) = (self.records.len(), self.ranks.len());
        if records != ranks || records > self.capacity {
            return Err(SuspectTableError::CountMismatch { records, ranks });
        }
        let unranked = self.records.iter().find(|(fingerprint, record)| {
            let rank = (record.state, record.expiry, **fingerprint);
            !self.ranks.contains(&rank)
        });
        unranked
            .map_or(Ok(()), |(fingerprint, _)| Err(SuspectTableError::MissingRank(*fingerprint)))
    }

    fn report(&self, now: Moment, fingerprint: Fingerprint) -> Option<SuspectReport> {
        let record = self.records.get(&fingerprint).filter(|record| record.expiry > now)?;
        let Record { version, state, expiry } = *record;
        Some(SuspectReport {
            print: fingerprint,
            version,
            standing: state,
            left: expiry.since(now),
        })
    }

    fn set_state(&mut self, now: Moment, fingerprint: Fingerprint, state: SuspicionState) {
        let version = self.records.get(&fingerprint).map_or(0, |record| record.version);
        let expiry = now + self.retention;
        self.insert(fingerprint, Record { version: version.saturating_add(1), state, expiry });
    }

    fn insert(&mut self, fingerprint: Fingerprint, record: Record) {
        self.remove(fingerprint);
        self.ranks.insert((record.state, record.expiry, fingerprint));
        self.records.insert(fingerprint, record);
        while self.records.len() > self.capacity {
            let Some(&(_, _, weakest)) = self.ranks.first() else { return };
            self.remove(weakest);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(old) = self.records.remove(&fingerprint) {
            self.ranks.remove(&(old.state, old.expiry, fingerprint));
        }
    }

    fn drop_expired(&mut self, now: Moment) {
        let expired = self.ranks.iter().filter(|(_, expiry, _)| *expiry <= now);
        for (_, _, fingerprint) in expired.copied().collect::<Vec<EvictionRank>>() {
            self.remove(fingerprint);
        }
    }
}

/// Inconsistency that [`SuspectTable::verify`] found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SuspectTableError {
    /// Records and ranks differ in number or exceed the capacity.
    #[error("{records} records and {ranks} ranks: numbers differ or exceed the capacity")]
    CountMismatch {
        /// Number of records.
        records: usize,
        /// Number of ranks.
        ranks: usize,
    },
    /// A record has no rank in the eviction order.
    #[error("request {0} has no rank in the eviction order")]
    MissingRank(Fingerprint),
}
