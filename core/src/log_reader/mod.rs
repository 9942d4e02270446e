//! Reader of the stream of contracts: what to do next, and what a read changes.
//!
//! The shell performs one [`ReadAction`] at a time and reports its result. The reader holds no
//! record beyond the fold, so its memory is bounded by the fold and one batch. See
//! [contracts](../../../docs/design/contracts.md).

mod batch;

use std::time::Duration;

pub use batch::{LogBatch, LogEntry};

use crate::contract_state::{ContractRecord, ContractState, ContractStateError, Verdict};
use crate::ids::{InstanceId, Offset, PublishId, rendezvous_weight};
use crate::time::Moment;

/// Time for which a read at the end of the log waits for a record.
pub const LONG_POLL_TIME: Duration = Duration::from_secs(2);

/// Shortest pause after an error of the log.
pub const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest pause after errors of the log.
pub const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Pause between two pulls from peers while the log can't be used.
pub const PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Lead of each node over the next one in rendezvous order when something has to be appended.
pub const APPEND_STAGGER: Duration = Duration::from_secs(2);

/// Time for which the log is readable before records that expired unread are given up.
///
/// Within it every node that is alive finds the log again ([`BACKOFF_MAX`]) and appends its state
/// if it covers more than what the log offers.
pub const RESUME_DELAY: Duration = Duration::from_secs(60);

/// Records between two snapshots, so that a new reader has a bounded way to go.
pub const SNAPSHOT_RECORDS: u64 = 1_024;

/// What the shell does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadAction {
    /// Read the log, then call [`LogReader::on_read`] or [`LogReader::on_error`].
    Read {
        /// First offset wanted.
        from: Offset,
        /// Time for which the log may hold the read until a record comes.
        wait: Duration,
    },
    /// Append to the log, then call [`LogReader::on_append`] or [`LogReader::on_error`].
    Append(ContractRecord),
    /// Ask a peer for its fold, and call [`LogReader::on_peer`] if it answers.
    Pull,
    /// Do nothing until this moment.
    Wait(Moment),
}

/// Record that a read brought, as judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Offset.
    pub offset: Offset,
    /// Act of publishing, if the record is one.
    pub id: Option<PublishId>,
    /// Verdict.
    pub verdict: Verdict,
}

/// What is wrong with a reader.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReaderError {
    /// The reader would read records that it has folded.
    #[error(
        "next read at offset {next_read} lies before offset {next}, the end of the contract state"
    )]
    Behind {
        /// Where the next read starts.
        next_read: Offset,
        /// First offset that the fold does not cover.
        next: Offset,
    },
    /// The fold is broken.
    #[error(transparent)]
    State(#[from] ContractStateError),
}

/// State of one reader of the stream of contracts.
#[derive(Debug, Clone)]
pub struct LogReader {
    instance: InstanceId,
    retention: Duration,
    started: Moment,
    state: ContractState,
    /// Where the next read starts; ahead of the fold while records are missing.
    next_read: Offset,
    /// Where the read under way started.
    read_from: Offset,
    /// Bounds of the log as last heard; no end after an error or an append.
    log_start: Offset,
    log_end: Option<Offset>,
    failures: u32,
    not_before: Moment,
    next_pull: Moment,
    /// Whether the last action was a pull; two in a row could keep a reader with slow peers from
    /// the log.
    just_pulled: bool,
    /// When the fold last covered the whole log.
    last_current: Option<Moment>,
    /// Since when the whole log has been read and records are missing.
    gap_since: Option<Moment>,
    /// Newest snapshot that covers what expired.
    covering_snapshot: Option<SnapshotPosition>,
    /// Snapshot that covers most.
    furthest_snapshot: Option<SnapshotPosition>,
    /// When the next snapshot is due.
    snapshot_due: Moment,
}

/// Snapshot that the log still has.
#[derive(Debug, Clone, Copy)]
struct SnapshotPosition {
    offset: Offset,
    next: Offset,
}

impl LogReader {
    /// Reader of a log that keeps records for `retention`.
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

    /// Contracts in force here.
    pub fn state(&self) -> &ContractState {
        &self.state
    }

    /// Time since this reader last knew every record of the log, or since it started.
    pub fn staleness(&self, now: Moment) -> Duration {
        now.since(self.last_current.unwrap_or(self.started))
    }

    /// Whether the last read reached the end of the log with nothing missing.
    pub fn is_current(&self) -> bool {
        self.log_end == Some(self.state.next())
    }

    /// Whether records are missing between the fold and what was read.
    pub fn has_gap(&self) -> bool {
        self.state.next() < self.next_read
    }

    /// End of the log if all that it still has was read.
    pub fn read_end(&self) -> Option<Offset> {
        self.log_end.filter(|end| *end == self.next_read)
    }

    /// Next action; `live` holds the nodes known to be alive, this one among them if it may append.
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

    /// Takes in what a read brought; `draw` is a random number.
    ///
    /// A batch with a hole, or one that ends before where the read started, changes nothing and
    /// counts as an error of the log. One that a peer's fold has overtaken is left aside.
    pub fn on_read(&mut self, now: Moment, random: u64, batch: &LogBatch) -> Vec<AppliedRecord> {
        if !batch.is_sound(self.read_from) {
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

    /// Notes that an append was acknowledged; it counts only once it is read back.
    pub fn on_append(&mut self, now: Moment) {
        self.failures = 0;
        self.not_before = now;
        self.log_end = None;
    }

    /// Backs off after an error of the log; `draw` is a random number.
    pub fn on_error(&mut self, now: Moment, random: u64) {
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + backoff(self.failures, random);
        self.log_end = None;
        self.gap_since = None;
    }

    /// Takes over a peer's fold if it covers more; returns whether it did.
    pub fn on_peer(&mut self, now: Moment, peer: &ContractState) -> bool {
        let adopted = self.state.adopt(peer);
        if adopted {
            self.reposition();
            self.update_progress(now);
        }
        adopted
    }

    /// Checks how the positions relate.
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

    /// Remembers a snapshot, and when the next one is due.
    ///
    /// The snapshot is no older than the time since this reader was last current. The age of one
    /// that was there before the reader came is unknown, so it is renewed sooner.
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

    /// Reads on where the fold ends, unless the log no longer has that record.
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
        let settled = now >= start + RESUME_DELAY;
        settled.then_some(ContractRecord::Resume { expected: end, state })
    }

    /// Record that starts the stream anew when its history expired and no node holds a state.
    ///
    /// Only an operator's command may append it; a node without a state never speaks for others.
    pub fn restart_record(&self, now: Moment) -> Option<ContractRecord> {
        let expected = self.read_end()?;
        let settled = now >= self.gap_since? + RESUME_DELAY;
        let empty = self.state.next() == Offset(0) && self.furthest_snapshot.is_none();
        let state = Box::new(ContractState::new());
        (settled && empty).then_some(ContractRecord::Resume { expected, state })
    }

    /// Time until it is this node's turn to append, by its rank among the live nodes.
    ///
    /// The others follow one by one, so that the record is appended even if the first are gone.
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

/// Pause after the given number of errors in a row: doubled each time, half of it jittered.
pub fn backoff(failures: u32, random: u64) -> Duration {
    let doubled = BACKOFF_MIN.saturating_mul(1 << failures.saturating_sub(1).min(16));
    let half = doubled.min(BACKOFF_MAX) / 2;
    let jitter = random % (half.as_micros() as u64 + 1);
    half + Duration::from_micros(jitter)
}
