//! Reader of the stream of contracts: decides the next action and applies the records read.
//!
//! The caller performs one [`ReadAction`] at a time and reports its result. The reader keeps no
//! records, only the [`ContractState`], so its memory is bounded by that state and one batch. See
//! [contracts](../../../docs/design/contracts.md).

mod batch;

use std::time::Duration;

pub use batch::{LogBatch, LogEntry};

use crate::contract_state::{ContractRecord, ContractState, ContractStateError, Verdict};
use crate::ids::{InstanceId, Offset, PublishId, rendezvous_weight};
use crate::time::Moment;

/// Time for which a read at the end of the log waits for a new record.
pub const LONG_POLL_TIME: Duration = Duration::from_secs(2);

/// Upper bound of the backoff after a first error of the log.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Upper bound of the backoff after any number of errors of the log.
pub const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Minimum time between two pulls of a peer's state while the log fails or records are missing.
pub const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Time that each node waits longer than the one before it in rendezvous order before it appends
/// a record that is due.
pub const APPEND_STAGGER: Duration = Duration::from_secs(2);

/// Time for which the log must have been readable before a reader appends a record that declares
/// expired, unread records void.
///
/// It is much longer than [`BACKOFF_MAX`], so that every live node reads the log again within it
/// and appends its state if that covers more than the snapshots in the log.
pub const RESUME_DELAY: Duration = Duration::from_secs(60);

/// Number of records after a snapshot from which a new one is due; bounds what a new reader has
/// to read.
pub const SNAPSHOT_RECORDS: u64 = 1_024;

/// Next action of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadAction {
    /// Read the log, then call [`LogReader::on_read`] or [`LogReader::on_error`].
    Read {
        /// First offset to read.
        from: Offset,
        /// Longest time for which the log may delay the answer if there is no record yet.
        wait: Duration,
    },
    /// Append to the log, then call [`LogReader::on_append`] or [`LogReader::on_error`].
    Append(ContractRecord),
    /// Request a peer's [`ContractState`], and call [`LogReader::on_peer`] if it answers.
    Pull,
    /// Do nothing until this moment.
    Wait(Moment),
}

/// Record that was read, with the result of applying it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Offset in the stream of contracts.
    pub offset: Offset,
    /// Publish id, if the record is a [`ContractRecord::Publish`].
    pub id: Option<PublishId>,
    /// Result of applying the record.
    pub verdict: Verdict,
}

/// Inconsistency that [`LogReader::verify`] found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReaderError {
    /// The next read would start at a record that the state already covers.
    #[error(
        "the next read starts at offset {next_read}, but the state covers offsets below {next}"
    )]
    Behind {
        /// Offset at which the next read starts.
        next_read: Offset,
        /// First offset that the state does not cover.
        next: Offset,
    },
    /// The state is inconsistent.
    #[error(transparent)]
    State(#[from] ContractStateError),
}

/// Reader of the stream of contracts, with the contracts in force as far as it has read.
#[derive(Debug, Clone)]
pub struct LogReader {
    instance: InstanceId,
    retention: Duration,
    started: Moment,
    state: ContractState,
    /// Offset at which the next read starts; ahead of the state while records are missing.
    next_read: Offset,
    /// Offset at which the read in progress started.
    read_from: Offset,
    /// Start of the log at the last read.
    log_start: Offset,
    /// End of the log at the last read; unknown after an error or an append.
    log_end: Option<Offset>,
    /// Errors of the log since it last answered.
    failures: u32,
    /// Earliest time of the next read or append.
    not_before: Moment,
    /// Earliest time of the next pull.
    next_pull: Moment,
    /// Whether the last action was a pull; if pulls followed each other, slow peers could keep
    /// the reader from reading the log.
    just_pulled: bool,
    /// Time at which the state last covered the whole log.
    last_current: Option<Moment>,
    /// Time since which the log has been read to its end while records are missing.
    gap_since: Option<Moment>,
    /// Newest snapshot in the log that covers all expired records.
    covering_snapshot: Option<SnapshotPosition>,
    /// Snapshot in the log that covers the most records.
    furthest_snapshot: Option<SnapshotPosition>,
    /// Time at which the next snapshot is due.
    snapshot_due: Moment,
}

/// Position of a snapshot record and of the state in it.
#[derive(Debug, Clone, Copy)]
struct SnapshotPosition {
    /// Offset of the record.
    offset: Offset,
    /// First offset that the state does not cover.
    next: Offset,
}

impl LogReader {
    /// Reader at `instance` of a log that keeps records for `retention`.
    pub fn new(now: Moment, instance: InstanceId, retention: Duration) -> Self {
        Self {
            instance,
            retention,
            started: now,
            state: ContractState::new(),
            next_read: Offset(0),
            read_from: Offset(0),
            log_start: Offset(0),
            log_end: None,
            failures: 0,
            not_before: now,
            next_pull: now,
            just_pulled: false,
            last_current: None,
            gap_since: None,
            covering_snapshot: None,
            furthest_snapshot: None,
            snapshot_due: now,
        }
    }

    /// Contracts in force as far as this reader has read.
    pub fn state(&self) -> &ContractState {
        &self.state
    }

    /// Time since the state last covered the whole log, or since the reader started.
    pub fn staleness(&self, now: Moment) -> Duration {
        now.since(self.last_current.unwrap_or(self.started))
    }

    /// Whether the state covers the log up to the end that the last read reported.
    pub fn is_current(&self) -> bool {
        self.log_end == Some(self.state.next())
    }

    /// Whether records are missing between the state and the next read.
    pub fn has_gap(&self) -> bool {
        self.state.next() < self.next_read
    }

    /// End of the log, if the reader has read up to it.
    pub fn read_end(&self) -> Option<Offset> {
        self.log_end.filter(|end| *end == self.next_read)
    }

    /// Next action. `live` lists the nodes known to be alive; this node may append only if it is
    /// among them.
    pub fn poll(&mut self, now: Moment, live: &[InstanceId]) -> ReadAction {
        let blocked = self.failures > 0 || self.has_gap();
        let pull = blocked && !self.just_pulled && now >= self.next_pull;
        self.just_pulled = pull;
        if pull {
            self.next_pull = now + PULL_INTERVAL;
            return ReadAction::Pull;
        }
        if now < self.not_before {
            let until = if blocked { self.not_before.min(self.next_pull) } else { self.not_before };
            return ReadAction::Wait(until);
        }
        if let Some(record) = self.record_to_append(now, live) {
            return ReadAction::Append(record);
        }
        self.read_from = self.next_read;
        ReadAction::Read { from: self.next_read, wait: self.read_wait() }
    }

    /// Applies the records of a read; `random` is a random number for the backoff.
    ///
    /// A batch in which an offset is missing, or whose log ends before the start of the read,
    /// changes nothing and counts as an error of the log. The batch is dropped if a peer's state
    /// was adopted during the read and moved the start of the next one.
    pub fn on_read(&mut self, now: Moment, random: u64, batch: &LogBatch) -> Vec<AppliedRecord> {
        if !batch.is_valid(self.read_from) {
            self.on_error(now, random);
            return Vec::new();
        }
        self.failures = 0;
        self.not_before = now;
        if self.read_from != self.next_read {
            self.log_end = None;
            return Vec::new();
        }
        self.update_bounds(now, batch);
        let applied = self.apply_entries(now, &batch.records);
        self.update_progress(now);
        applied
    }

    /// Records that an append was acknowledged. The record takes effect only once it is read back.
    pub fn on_append(&mut self, now: Moment) {
        self.failures = 0;
        self.not_before = now;
        self.log_end = None;
    }

    /// Backs off after an error of the log; `random` is a random number for the backoff.
    pub fn on_error(&mut self, now: Moment, random: u64) {
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + backoff(self.failures, random);
        self.log_end = None;
        self.gap_since = None;
    }

    /// Adopts a peer's state if it covers more; returns whether it did.
    pub fn on_peer(&mut self, now: Moment, peer: &ContractState) -> bool {
        let adopted = self.state.adopt(peer);
        if adopted {
            self.reposition();
            self.update_progress(now);
        }
        adopted
    }

    /// Checks that the next read does not start before the end of the state, and the state itself.
    pub fn verify(&self) -> Result<(), ReaderError> {
        if self.next_read < self.state.next() {
            return Err(ReaderError::Behind { next_read: self.next_read, next: self.state.next() });
        }
        Ok(self.state.verify()?)
    }

    fn update_bounds(&mut self, now: Moment, batch: &LogBatch) {
        self.log_start = self.log_start.max(batch.start);
        self.log_end = Some(batch.end);
        self.next_read = self.next_read.max(self.log_start);
        self.furthest_snapshot =
            self.furthest_snapshot.filter(|furthest| furthest.offset >= self.log_start);
        if self.covering_snapshot.is_some_and(|covering| covering.next < self.log_start) {
            self.covering_snapshot = None;
            self.snapshot_due = now;
        }
    }

    fn apply_entries(&mut self, now: Moment, records: &[LogEntry]) -> Vec<AppliedRecord> {
        let mut applied = Vec::new();
        for entry in records {
            if entry.offset < self.next_read {
                continue;
            }
            applied.push(self.apply_entry(now, entry));
            if self.next_read <= entry.offset {
                break;
            }
        }
        applied
    }

    fn apply_entry(&mut self, now: Moment, entry: &LogEntry) -> AppliedRecord {
        let offset = entry.offset;
        let verdict = match &entry.record {
            Some(record) => self.state.apply(offset, record),
            None => self.state.skip(offset),
        };
        self.next_read = Offset(offset.0.saturating_add(1));
        if verdict == Verdict::SnapshotTaken {
            self.reposition();
        }
        let id = match &entry.record {
            Some(ContractRecord::Publish { id, .. }) => Some(*id),
            Some(ContractRecord::Snapshot { state }) => {
                self.record_snapshot(now, SnapshotPosition { offset, next: state.next() });
                None
            }
            _ => None,
        };
        AppliedRecord { offset, id, verdict }
    }

    /// Records the position of a snapshot, and the time at which the next one is due.
    ///
    /// A reader that was current before it read the snapshot knows that it was appended since
    /// then. A reader that never was current does not know the snapshot's age, and renews it
    /// sooner.
    fn record_snapshot(&mut self, now: Moment, snapshot: SnapshotPosition) {
        if self.furthest_snapshot.is_none_or(|furthest| furthest.next < snapshot.next) {
            self.furthest_snapshot = Some(snapshot);
        }
        if snapshot.next < self.log_start
            || self.covering_snapshot.is_some_and(|covering| snapshot.offset <= covering.offset)
        {
            return;
        }
        self.covering_snapshot = Some(snapshot);
        self.snapshot_due = match self.last_current {
            Some(current) => current + self.retention / 4,
            None => now + self.retention / 8,
        };
    }

    /// Continues reading at the end of the state, unless that record has expired.
    fn reposition(&mut self) {
        if self.state.next() >= self.log_start {
            self.next_read = self.state.next();
        }
    }

    fn update_progress(&mut self, now: Moment) {
        if !self.has_gap() {
            self.gap_since = None;
        } else if self.read_end().is_some() {
            self.gap_since.get_or_insert(now);
        }
        if self.is_current() {
            self.last_current = Some(now);
            let covered = self.covering_snapshot.map_or(self.log_start, |covering| covering.next);
            if self.state.next().0.saturating_sub(covered.0) > SNAPSHOT_RECORDS {
                self.snapshot_due = self.snapshot_due.min(now);
            }
        }
    }

    fn read_wait(&self) -> Duration {
        if self.read_end().is_some() { LONG_POLL_TIME } else { Duration::ZERO }
    }

    /// Record that this node should append now, if any.
    fn record_to_append(&self, now: Moment, live: &[InstanceId]) -> Option<ContractRecord> {
        let end = self.read_end()?;
        if self.state.next() == Offset(0) {
            return None;
        }
        let since = if self.has_gap() { self.gap_since? } else { self.snapshot_due };
        let start = since + self.append_delay(live)?;
        if now < start {
            return None;
        }
        let state = Box::new(self.state.clone());
        let offered =
            self.furthest_snapshot.is_some_and(|furthest| furthest.next >= self.state.next());
        if !self.has_gap() || !offered {
            return Some(ContractRecord::Snapshot { state });
        }
        let delay_passed = now >= start + RESUME_DELAY;
        delay_passed.then_some(ContractRecord::Resume { expected: end, state })
    }

    /// Resume record with an empty state, which restarts the stream after its records expired and
    /// no node or snapshot has a state.
    ///
    /// Only an operator's command may append it: a node without a state does not decide for others
    /// that the earlier records are void.
    pub fn restart_record(&self, now: Moment) -> Option<ContractRecord> {
        let expected = self.read_end()?;
        let delay_passed = now >= self.gap_since? + RESUME_DELAY;
        let empty = self.state.next() == Offset(0) && self.furthest_snapshot.is_none();
        let state = Box::new(ContractState::new());
        (delay_passed && empty).then_some(ContractRecord::Resume { expected, state })
    }

    /// Time by which this node delays a due append, by its rank among the live nodes; `None` if
    /// it is not one of them.
    ///
    /// The nodes of higher rank append first, so that normally a single node does. The next ones
    /// follow one by one, so that the record is appended even if the first nodes are down.
    fn append_delay(&self, live: &[InstanceId]) -> Option<Duration> {
        if !live.contains(&self.instance) {
            return None;
        }
        let key =
            u128::from(self.covering_snapshot.map_or(self.log_start, |covering| covering.offset).0);
        let weight = |node: &InstanceId| rendezvous_weight(key, node.0.as_str());
        let mine = weight(&self.instance);
        let ahead = live.iter().filter(|node| weight(node) > mine).count();
        Some(APPEND_STAGGER.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX)))
    }
}

/// Backoff after `failures` consecutive errors, between half a bound and the bound.
///
/// The bound starts at [`BACKOFF_MIN`] and doubles with each error up to [`BACKOFF_MAX`]; the
/// random number `random` decides where in that range the backoff lies.
pub fn backoff(failures: u32, random: u64) -> Duration {
    let doubled = BACKOFF_MIN.saturating_mul(1 << failures.saturating_sub(1).min(16));
    let half = doubled.min(BACKOFF_MAX) / 2;
    let jitter = random % (half.as_micros() as u64 + 1);
    half + Duration::from_micros(jitter)
}
