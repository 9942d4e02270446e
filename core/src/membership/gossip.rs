//! Queue of the changes that a member gossips.

use std::cmp::Reverse;
use std::time::Duration;

use super::message::MAX_CHANGE_BYTES;
use super::record::{Change, Entry, MemberState, Verdict};
use super::view::View;
use crate::ids::InstanceId;
use crate::time::Moment;

/// Number of members that a new change is pushed to in each of [`PUSH_ROUNDS`] ticks.
pub(crate) const PUSH_FANOUT: u32 = 3;

/// Number of ticks in which a new change is pushed.
const PUSH_ROUNDS: u32 = 2;

/// Rate at which the push budget is refilled, in bytes of changes a second.
const PUSH_BYTES_PER_SECOND: u64 = 1_500;

/// Largest push budget: bytes of changes that a member may push in one burst.
const PUSH_BURST_BYTES: u64 = 16_384;

/// Time for which a change that is not urgent is gossiped; members that it did not reach get it
/// when they compare views.
const GOSSIP_TIME: Duration = Duration::from_secs(10);

/// Part of the push budget that is reserved for urgent changes, in bytes.
const URGENT_RESERVE: u64 = PUSH_BURST_BYTES / 2;

/// What a gossiped change contains.
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
    /// Number of ticks in which the change is still to be pushed.
    rounds_left: u32,
    /// Number of messages in which the change is still to be sent.
    sends_left: u32,
}

/// Queue of changes, one per member, the urgent ones first and then those with the most sends left.
///
/// A change is urgent if it decides whether a member gets requests: a suspicion, its refutation,
/// draining, leaving. The queue stores only the member's instance, and reads the change from the
/// view when it is sent, so that the newest state goes out.
#[derive(Debug)]
pub(crate) struct GossipQueue {
    pending: Vec<PendingChange>,
    /// Bytes of changes that may be pushed now.
    budget: u64,
    last_refill: Moment,
}

impl GossipQueue {
    pub(crate) const fn new(now: Moment) -> Self {
        Self { pending: Vec::new(), budget: PUSH_BURST_BYTES, last_refill: now }
    }

    /// Queues the change of a member.
    ///
    /// A change that is not urgent is queued only if `gossip` is set; without gossip, the other
    /// members get it when they compare views.
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
        // Twice the logarithm of the number of members reaches all of them with high probability.
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

    /// Appends as many queued changes to `changes` as fit into one message.
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

    /// Changes to push to [`PUSH_FANOUT`] members in this tick; none if the budget is used up.
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
