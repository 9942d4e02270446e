//! Changes that a node still passes on.

use std::cmp::Reverse;
use std::time::Duration;

use super::message::MAX_CHANGE_BYTES;
use super::record::{Change, Entry, MemberState, Verdict};
use super::view::View;
use crate::ids::InstanceId;
use crate::time::Moment;

/// Members that a new change is pushed to at once, in each of [`PUSH_ROUNDS`] ticks.
pub(crate) const PUSH_FANOUT: u32 = 3;

/// Ticks in which a new change is pushed.
const PUSH_ROUNDS: u32 = 2;

/// Rate of the bytes of changes that a node pushes in the long run, in bytes a second.
const PUSH_BYTES_PER_SECOND: u64 = 1_500;

/// Bytes of changes that a node may push in one burst.
const PUSH_BURST_BYTES: u64 = 16_384;

/// Time for which a change that is not urgent is passed on; nodes that it did not reach fetch it
/// when they compare views.
const GOSSIP_TIME: Duration = Duration::from_secs(10);

/// Part of the burst that is kept for urgent changes, in bytes.
const URGENT_RESERVE: u64 = PUSH_BURST_BYTES / 2;

/// Shape in which a change is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChangeKind {
    /// The verdict alone.
    Verdict,
    /// Record and verdict.
    Full,
}

#[derive(Debug)]
struct PendingChange {
    instance: InstanceId,
    kind: ChangeKind,
    urgent: bool,
    since: Moment,
    rounds_left: u32,
    sends_left: u32,
}

/// Queue of changes, one per member, the urgent and then the least sent ones first.
///
/// Urgent is what takes work away from a member or gives it back: a suspicion, its refutation,
/// draining, leaving.
/// A change is kept by the name of its member and read from the view when it is sent, so that
/// the newest word goes out.
#[derive(Debug)]
pub(crate) struct GossipQueue {
    pending: Vec<PendingChange>,
    budget: u64,
    last_refill: Moment,
}

impl GossipQueue {
    pub(crate) const fn new(now: Moment) -> Self {
        Self { pending: Vec::new(), budget: PUSH_BURST_BYTES, last_refill: now }
    }

    /// Queues a change in a group of `members`.
    ///
    /// What is not urgent is queued only if `spread`; all nodes fetch it sooner or later.
    pub(crate) fn add(
        &mut self,
        now: Moment,
        view: &View,
        instance: &InstanceId,
        kind: ChangeKind,
        gossip: bool,
    ) {
        let urgent = view.get(instance).is_some_and(is_urgent);
        if !urgent && !gossip {
            return;
        }
        let old = self.pending.iter().position(|pending| pending.instance == *instance);
        let old = old.map(|idx| self.pending.remove(idx).kind);
        let kind = old.map_or(kind, |old| old.max(kind));
        let members = view.member_counts().live;
        // Twice the logarithm reaches all members with high probability.
        let sends_left = PUSH_FANOUT * PUSH_ROUNDS + 2 * (usize::BITS - members.leading_zeros());
        let instance = instance.clone();
        let rounds_left = PUSH_ROUNDS;
        self.pending.push(PendingChange {
            instance,
            kind,
            urgent,
            since: now,
            rounds_left,
            sends_left,
        });
        self.pending.sort_by_key(PendingChange::order);
    }

    /// Changes for one message: `changes`, then those that are spreading.
    pub(crate) fn piggyback(&mut self, view: &View, mut changes: Vec<Change>) -> Vec<Change> {
        let used: usize = changes.iter().map(Change::bytes).sum();
        let mut space = MAX_CHANGE_BYTES.saturating_sub(used);
        self.pending.sort_by_key(PendingChange::order);
        for pending in &mut self.pending {
            let Some(change) = pending.change(view) else { continue };
            if change.bytes() > space {
                break;
            }
            space -= change.bytes();
            pending.sends_left -= 1;
            changes.push(change);
        }
        self.pending.retain(|pending| pending.sends_left > 0);
        changes
    }

    /// Changes to push to `PUSH_FANOUT` members in this tick; none if the allowance is used up.
    pub(crate) fn push(&mut self, now: Moment, view: &View) -> Vec<Change> {
        self.refill(now);
        self.pending.retain(|pending| pending.urgent || now.since(pending.since) < GOSSIP_TIME);
        let mut space = MAX_CHANGE_BYTES as u64;
        let mut changes = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.rounds_left > 0) {
            let Some(change) = pending.change(view) else { continue };
            let bytes = change.bytes() as u64;
            let cost = bytes * u64::from(PUSH_FANOUT);
            let reserve = if pending.urgent { 0 } else { URGENT_RESERVE };
            if bytes > space || cost + reserve > self.budget {
                break;
            }
            space -= bytes;
            self.budget -= cost;
            pending.rounds_left -= 1;
            pending.sends_left = pending.sends_left.saturating_sub(PUSH_FANOUT);
            changes.push(change);
        }
        self.pending.retain(|pending| pending.sends_left > 0);
        changes
    }

    fn refill(&mut self, now: Moment) {
        let micros = u64::try_from(now.since(self.last_refill).as_micros()).unwrap_or(u64::MAX);
        let earned = micros.saturating_mul(PUSH_BYTES_PER_SECOND) / 1_000_000;
        if earned > 0 {
            self.budget = self.budget.saturating_add(earned).min(PUSH_BURST_BYTES);
            self.last_refill = self.last_refill
                + Duration::from_micros(earned.saturating_mul(1_000_000) / PUSH_BYTES_PER_SECOND);
        }
    }
}

fn is_urgent(entry: &Entry) -> bool {
    let refuted = entry.refutations > 0;
    entry.record.state != MemberState::Serving || entry.verdict != Verdict::Alive || refuted
}

impl PendingChange {
    const fn order(&self) -> (bool, Reverse<u32>) {
        (!self.urgent, Reverse(self.sends_left))
    }

    fn change(&self, view: &View) -> Option<Change> {
        let entry = view.get(&self.instance)?;
        Some(match self.kind {
            ChangeKind::Full => Change::Full(Box::new(entry.clone())),
            ChangeKind::Verdict => Change::Verdict(entry.report()),
        })
    }
}
