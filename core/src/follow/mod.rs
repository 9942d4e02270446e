//! Reader of the stream of contracts: what to do next, and what a read changes.
//!
//! The shell performs one [`ReadAction`] at a time and reports its result. The reader holds no
//! record beyond the fold, so its memory is bounded by the fold and one batch. See
//! [contracts](../../../docs/design/contracts.md).

mod batch;

use std::time::Duration;

pub use batch::{LogBatch, LogEntry};

use crate::fold::{ContractRecord, ContractState, ContractStateError, Verdict};
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
    #[error("reads at {scan} behind its fold at {next}")]
    Behind {
        /// Where the next read starts.
        scan: Offset,
        /// First offset that the fold does not cover.
        next: Offset,
    },
    /// The fold is broken.
    #[error(transparent)]
    Fold(#[from] ContractStateError),
}

/// State of one reader of the stream of contracts.
#[derive(Debug, Clone)]
pub struct LogReader {
    me: InstanceId,
    retention: Duration,
    started: Moment,
    fold: ContractState,
    /// Where the next read starts; ahead of the fold while records are missing.
    scan: Offset,
    /// Where the read under way started.
    asked: Offset,
    /// Bounds of the log as last heard; no end after an error or an append.
    start: Offset,
    end: Option<Offset>,
    failures: u32,
    ready: Moment,
    pull: Moment,
    /// Whether the last action was a pull; two in a row could keep a reader with slow peers from
    /// the log.
    pulled: bool,
    /// When the fold last covered the whole log.
    current: Option<Moment>,
    /// Since when the whole log has been read and records are missing.
    lost: Option<Moment>,
    /// Newest snapshot that covers what expired.
    cover: Option<SeenSnapshot>,
    /// Snapshot that covers most.
    best: Option<SeenSnapshot>,
    /// When the next snapshot is due.
    due: Moment,
}

/// Snapshot that the log still has.
#[derive(Debug, Clone, Copy)]
struct SeenSnapshot {
    offset: Offset,
    next: Offset,
}

impl LogReader {
    /// Reader of a log that keeps records for `retention`.
    pub fn new(now: Moment, me: InstanceId, retention: Duration) -> Self {
        Self {
            me,
            retention,
            started: now,
            fold: ContractState::new(),
            scan: Offset(0),
            asked: Offset(0),
            start: Offset(0),
            end: None,
            failures: 0,
            ready: now,
            pull: now,
            pulled: false,
            current: None,
            lost: None,
            cover: None,
            best: None,
            due: now,
        }
    }

    /// Contracts in force here.
    pub fn state(&self) -> &ContractState {
        &self.fold
    }

    /// Time since this reader last knew every record of the log, or since it started.
    pub fn staleness(&self, now: Moment) -> Duration {
        now.since(self.current.unwrap_or(self.started))
    }

    /// Whether the last read reached the end of the log with nothing missing.
    pub fn is_current(&self) -> bool {
        self.end == Some(self.fold.next())
    }

    /// Whether records are missing between the fold and what was read.
    pub fn has_gap(&self) -> bool {
        self.fold.next() < self.scan
    }

    /// End of the log if all that it still has was read.
    pub fn read_end(&self) -> Option<Offset> {
        self.end.filter(|end| *end == self.scan)
    }

    /// Next action; `live` holds the nodes known to be alive, this one among them if it may append.
    pub fn poll(&mut self, now: Moment, live: &[InstanceId]) -> ReadAction {
        let blocked = self.failures > 0 || self.has_gap();
        let pulls = blocked && !self.pulled && now >= self.pull;
        self.pulled = pulls;
        if pulls {
            self.pull = now + PULL_INTERVAL;
            return ReadAction::Pull;
        }
        if now < self.ready {
            let until = if blocked { self.ready.min(self.pull) } else { self.ready };
            return ReadAction::Wait(until);
        }
        if let Some(record) = self.due_record(now, live) {
            return ReadAction::Append(record);
        }
        self.asked = self.scan;
        ReadAction::Read { from: self.scan, wait: self.read_wait() }
    }

    /// Takes in what a read brought; `draw` is a random number.
    ///
    /// A batch with a hole, or one that ends before where the read started, changes nothing and
    /// counts as an error of the log. One that a peer's fold has overtaken is left aside.
    pub fn on_read(&mut self, now: Moment, draw: u64, batch: &LogBatch) -> Vec<AppliedRecord> {
        if !batch.is_sound(self.asked) {
            self.on_error(now, draw);
            return Vec::new();
        }
        self.failures = 0;
        self.ready = now;
        if self.asked != self.scan {
            self.end = None;
            return Vec::new();
        }
        self.note_bounds(now, batch);
        let judged = self.judge(now, &batch.records);
        self.note_progress(now);
        judged
    }

    /// Notes that an append was acknowledged; it counts only once it is read back.
    pub fn on_append(&mut self, now: Moment) {
        self.failures = 0;
        self.ready = now;
        self.end = None;
    }

    /// Backs off after an error of the log; `draw` is a random number.
    pub fn on_error(&mut self, now: Moment, draw: u64) {
        self.failures = self.failures.saturating_add(1);
        self.ready = now + backoff(self.failures, draw);
        self.end = None;
        self.lost = None;
    }

    /// Takes over a peer's fold if it covers more; returns whether it did.
    pub fn on_peer(&mut self, now: Moment, peer: &ContractState) -> bool {
        let taken = self.fold.adopt(peer);
        if taken {
            self.reposition();
            self.note_progress(now);
        }
        taken
    }

    /// Checks how the positions relate.
    pub fn verify(&self) -> Result<(), ReaderError> {
        if self.scan < self.fold.next() {
            return Err(ReaderError::Behind { scan: self.scan, next: self.fold.next() });
        }
        Ok(self.fold.verify()?)
    }

    fn note_bounds(&mut self, now: Moment, batch: &LogBatch) {
        self.start = self.start.max(batch.start);
        self.end = Some(batch.end);
        self.scan = self.scan.max(self.start);
        self.best = self.best.filter(|best| best.offset >= self.start);
        if self.cover.is_some_and(|cover| cover.next < self.start) {
            self.cover = None;
            self.due = now;
        }
    }

    fn judge(&mut self, now: Moment, records: &[LogEntry]) -> Vec<AppliedRecord> {
        let mut judged = Vec::new();
        for entry in records {
            if entry.offset < self.scan {
                continue;
            }
            judged.push(self.judge_one(now, entry));
            if self.scan <= entry.offset {
                break;
            }
        }
        judged
    }

    fn judge_one(&mut self, now: Moment, entry: &LogEntry) -> AppliedRecord {
        let offset = entry.offset;
        let verdict = match &entry.record {
            Some(record) => self.fold.apply(offset, record),
            None => self.fold.skip(offset),
        };
        self.scan = Offset(offset.0.saturating_add(1));
        if verdict == Verdict::SnapshotTaken {
            self.reposition();
        }
        let id = match &entry.record {
            Some(ContractRecord::Publish { id, .. }) => Some(*id),
            Some(ContractRecord::Snapshot { state }) => {
                self.note_snapshot(now, SeenSnapshot { offset, next: state.next() });
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
    fn note_snapshot(&mut self, now: Moment, seen: SeenSnapshot) {
        if self.best.is_none_or(|best| best.next < seen.next) {
            self.best = Some(seen);
        }
        if seen.next < self.start || self.cover.is_some_and(|cover| seen.offset <= cover.offset) {
            return;
        }
        self.cover = Some(seen);
        self.due = match self.current {
            Some(current) => current + self.retention / 4,
            None => now + self.retention / 8,
        };
    }

    /// Reads on where the fold ends, unless the log no longer has that record.
    fn reposition(&mut self) {
        if self.fold.next() >= self.start {
            self.scan = self.fold.next();
        }
    }

    fn note_progress(&mut self, now: Moment) {
        if !self.has_gap() {
            self.lost = None;
        } else if self.read_end().is_some() {
            self.lost.get_or_insert(now);
        }
        if self.is_current() {
            self.current = Some(now);
            let covered = self.cover.map_or(self.start, |cover| cover.next);
            if self.fold.next().0.saturating_sub(covered.0) > SNAPSHOT_RECORDS {
                self.due = self.due.min(now);
            }
        }
    }

    fn read_wait(&self) -> Duration {
        if self.read_end().is_some() { LONG_POLL_TIME } else { Duration::ZERO }
    }

    /// Record that this node should append now, if any.
    fn due_record(&self, now: Moment, live: &[InstanceId]) -> Option<ContractRecord> {
        let end = self.read_end()?;
        if self.fold.next() == Offset(0) {
            return None;
        }
        let since = if self.has_gap() { self.lost? } else { self.due };
        let start = since + self.turn(live)?;
        if now < start {
            return None;
        }
        let state = Box::new(self.fold.clone());
        let offered = self.best.is_some_and(|best| best.next >= self.fold.next());
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
        let settled = now >= self.lost? + RESUME_DELAY;
        let empty = self.fold.next() == Offset(0) && self.best.is_none();
        let state = Box::new(ContractState::new());
        (settled && empty).then_some(ContractRecord::Resume { expected, state })
    }

    /// Time until it is this node's turn to append, by its rank among the live nodes.
    ///
    /// The others follow one by one, so that the record is appended even if the first are gone.
    fn turn(&self, live: &[InstanceId]) -> Option<Duration> {
        if !live.contains(&self.me) {
            return None;
        }
        let key = u128::from(self.cover.map_or(self.start, |cover| cover.offset).0);
        let weight = |node: &InstanceId| rendezvous_weight(key, node.0.as_str());
        let mine = weight(&self.me);
        let ahead = live.iter().filter(|node| weight(node) > mine).count();
        Some(APPEND_STAGGER.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX)))
    }
}

/// Pause after the given number of errors in a row: doubled each time, half of it jittered.
pub fn backoff(failures: u32, draw: u64) -> Duration {
    let doubled = BACKOFF_MIN.saturating_mul(1 << failures.saturating_sub(1).min(16));
    let half = doubled.min(BACKOFF_MAX) / 2;
    let jitter = draw % (half.as_micros() as u64 + 1);
    half + Duration::from_micros(jitter)
}
