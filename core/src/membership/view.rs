//! View that one member has of all members of its service.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::message::{BUCKETS, Message, Outgoing};
use super::record::{Change, Entry, MemberState, Verdict, VerdictReport};
use crate::ids::{InstanceId, Name};
use crate::time::Moment;

/// Largest number of members in the view, including those that left or were lost; about 400 bytes
/// each.
pub(crate) const MAX_MEMBERS: usize = 2_048;

/// Time after which this node itself notifies a suspect of the suspicion.
const SUSPECT_QUERY_DELAY: Duration = Duration::from_secs(1);

/// Time that a suspect has to refute the suspicion after that before it counts as lost.
const REFUTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of suspects notified in one tick, so that the loss of an availability zone causes
/// no burst.
const QUERIES_PER_TICK: usize = 3;

/// Time for which a member that left or was lost stays in the view, so that old reports do not add
/// it again and the end of a partition is noticed.
const TOMBSTONE_TIME: Duration = Duration::from_secs(2 * 60 * 60);

/// Result of applying a report to the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Applied {
    /// The view changed; the change should be gossiped.
    Changed,
    /// The report added nothing to the view, or was ignored.
    Unchanged,
    /// The view is newer than the report, so the sender should get the newer entry.
    Stale,
    /// The sender reports a member as lost that is alive in this view; the member should refute it.
    Disputed,
}

#[derive(Debug, Clone)]
struct KnownMember {
    entry: Entry,
    /// Time of the last change of the entry.
    since: Moment,
    /// Time at which this node itself notified the suspect.
    queried: Option<Moment>,
}

impl KnownMember {
    fn query(&mut self, now: Moment) -> Outgoing {
        self.queried = Some(now);
        let changes = vec![Change::Verdict(self.entry.report())];
        Outgoing { to: self.entry.record.peer(), message: Message::Push { changes } }
    }
}

/// Members by instance, with a hash per bucket of members.
#[derive(Debug)]
pub(crate) struct View {
    service: Name,
    members: BTreeMap<InstanceId, KnownMember>,
    buckets: [u32; BUCKETS],
    changes: u64,
}

/// Inconsistency that `View::verify` found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ViewError {
    /// The hash of a bucket does not match its members.
    #[error("the hash of bucket {0} does not match its members")]
    Bucket(usize),
    /// The view has more members than the limit.
    #[error("the view has {0} members, more than the limit of {MAX_MEMBERS}")]
    Count(usize),
}

/// Bucket of members that an instance belongs to.
pub(crate) fn bucket_of(instance: &InstanceId) -> usize {
    (xxh3_64(instance.0.as_str().as_bytes()) % BUCKETS as u64) as usize
}

/// Hash of the part of an entry on which all views must converge; zero if the member is not live.
fn entry_hash(entry: &Entry) -> u32 {
    if !entry.is_live() {
        return 0;
    }
    let mut bytes = Vec::with_capacity(96);
    bytes.extend_from_slice(entry.record.instance.0.as_str().as_bytes());
    bytes.extend_from_slice(&entry.record.incarnation.0.to_le_bytes());
    bytes.extend_from_slice(&entry.record.sequence.to_le_bytes());
    bytes.extend_from_slice(&entry.refutations.to_le_bytes());
    xxh3_64(&bytes) as u32
}

impl View {
    pub(crate) fn new(service: Name) -> Self {
        Self { service, members: BTreeMap::new(), buckets: [0; BUCKETS], changes: 0 }
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&Entry> {
        self.members.get(instance).map(|known| &known.entry)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().map(|known| &known.entry)
    }

    pub(crate) const fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }

    pub(crate) const fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn digest(&self) -> u32 {
        self.buckets
            .iter()
            .enumerate()
            .fold(0, |sum, (idx, hash)| sum ^ hash.rotate_left(idx as u32))
    }

    /// Applies the record and verdict that another node has of a member.
    pub(crate) fn apply_entry(&mut self, now: Moment, entry: &Entry) -> Applied {
        if entry.record.service != self.service || !entry.record.is_bounded() {
            return Applied::Unchanged;
        }
        let Some(known) = self.get(&entry.record.instance) else {
            return self.insert(now, entry.clone());
        };
        let old = &known.record;
        if entry.record.incarnation > old.incarnation {
            self.put(now, entry.clone());
            return Applied::Changed;
        }
        if entry.record.incarnation < old.incarnation {
            return Applied::Stale;
        }
        let record = entry.record.sequence.cmp(&old.sequence);
        if record.is_gt() {
            let known = Entry { record: entry.record.clone(), ..known.clone() };
            self.put(now, known);
        }
        let verdict = self.apply_verdict(now, &entry.report());
        if record.is_gt() || verdict == Applied::Changed {
            return Applied::Changed;
        }
        if record.is_lt() { Applied::Stale } else { verdict }
    }

    /// Applies another node's verdict on a member.
    pub(crate) fn apply_verdict(&mut self, now: Moment, report: &VerdictReport) -> Applied {
        let Some(known) = self.get(&report.instance) else { return Applied::Unchanged };
        if report.incarnation != known.record.incarnation {
            let old = report.incarnation < known.record.incarnation;
            return if old { Applied::Stale } else { Applied::Unchanged };
        }
        if known.record.state == MemberState::Left {
            return Applied::Unchanged;
        }
        let current = (known.refutations, known.verdict);
        let reported = (report.refutations, report.verdict);
        if reported.1 == Verdict::Lost && current.1 == Verdict::Alive && reported.0 >= current.0 {
            let entry = Entry { refutations: reported.0, ..known.clone() };
            self.put(now, entry);
            return Applied::Disputed;
        }
        let Some(verdict) = merge_verdict(current, reported) else {
            let outdated =
                reported.0 < current.0 || (reported < current && current.1 == Verdict::Lost);
            return if outdated { Applied::Stale } else { Applied::Unchanged };
        };
        let entry = Entry { refutations: report.refutations, verdict, ..known.clone() };
        self.put(now, entry);
        Applied::Changed
    }

    /// Messages that notify suspects of the suspicion, each suspect once.
    ///
    /// Gossip may miss a few members. A direct message makes the suspect send its refutation to
    /// this node, so that no node counts a member as lost whose refutation did not reach it.
    pub(crate) fn query_suspects(&mut self, now: Moment) -> Vec<Outgoing> {
        let due = |known: &&mut KnownMember| {
            let suspect = known.entry.verdict == Verdict::Suspect && known.queried.is_none();
            suspect && now.since(known.since) >= SUSPECT_QUERY_DELAY
        };
        let suspects = self.members.values_mut().filter(due).take(QUERIES_PER_TICK);
        suspects.map(|known| known.query(now)).collect()
    }

    /// Marks suspects as lost that did not refute the suspicion in time.
    pub(crate) fn confirm_lost(&mut self, now: Moment) {
        let due = |known: &&KnownMember| {
            let queried = known.queried.filter(|_| known.entry.verdict == Verdict::Suspect);
            queried.is_some_and(|queried| now.since(queried) >= REFUTE_TIMEOUT)
        };
        let lost: Vec<Entry> =
            self.members.values().filter(due).map(|known| known.entry.clone()).collect();
        for entry in lost {
            self.put(now, Entry { verdict: Verdict::Lost, ..entry });
        }
    }

    /// Extends the time of every suspect by `span`, during which this node could not receive a
    /// refutation.
    pub(crate) fn extend_suspicions(&mut self, span: Duration) {
        for known in self.members.values_mut() {
            known.since = known.since + span;
            known.queried = known.queried.map(|queried| queried + span);
        }
    }

    /// Removes members that left or were lost at least [`TOMBSTONE_TIME`] ago.
    pub(crate) fn expire_tombstones(&mut self, now: Moment) {
        let before = self.members.len();
        self.members
            .retain(|_, known| known.entry.is_live() || now.since(known.since) < TOMBSTONE_TIME);
        self.changes += u64::from(self.members.len() != before);
    }

    /// Checks the hashes of the buckets and the number of members.
    pub(crate) fn verify(&self) -> Result<(), ViewError> {
        if self.members.len() > MAX_MEMBERS {
            return Err(ViewError::Count(self.members.len()));
        }
        let mut hashes = [0; BUCKETS];
        for entry in self.entries() {
            hashes[bucket_of(&entry.record.instance)] ^= entry_hash(entry);
        }
        let mismatch = hashes.iter().zip(&self.buckets).position(|(a, b)| a != b);
        mismatch.map_or(Ok(()), |idx| Err(ViewError::Bucket(idx)))
    }

    fn insert(&mut self, now: Moment, entry: Entry) -> Applied {
        if self.members.len() >= MAX_MEMBERS {
            return Applied::Unchanged;
        }
        self.put(now, entry);
        Applied::Changed
    }

    pub(crate) fn put(&mut self, now: Moment, entry: Entry) {
        self.changes += 1;
        let bucket = &mut self.buckets[bucket_of(&entry.record.instance)];
        *bucket ^= entry_hash(&entry);
        let instance = entry.record.instance.clone();
        if let Some(old) =
            self.members.insert(instance, KnownMember { entry, since: now, queried: None })
        {
            *bucket ^= entry_hash(&old.entry);
        }
    }

    /// Counts the live and the lost members.
    pub(crate) fn member_counts(&self) -> MemberCounts {
        let live = self.entries().filter(|entry| entry.is_live()).count();
        let lost = self.entries().filter(|entry| is_lost(entry)).count();
        MemberCounts { live, lost }
    }
}

/// Numbers of live and of lost members.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberCounts {
    pub(crate) live: usize,
    pub(crate) lost: usize,
}

/// Whether the member was lost before it reported that it left.
pub(crate) fn is_lost(entry: &Entry) -> bool {
    entry.record.state != MemberState::Left && entry.verdict == Verdict::Lost
}

/// New verdict if `reported` takes precedence over `current`, both with their numbers of
/// refutations.
///
/// A reported loss counts as a suspicion: a node marks a member as lost only if the suspicion was
/// not refuted at this node in time. Otherwise the two sides of a healed partition would make each
/// other mark all members as lost.
fn merge_verdict(current: (u32, Verdict), reported: (u32, Verdict)) -> Option<Verdict> {
    let reported = (reported.0, reported.1.min(Verdict::Suspect));
    (reported > current).then_some(reported.1)
}
