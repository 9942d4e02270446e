//! Changes that a node still passes on.

use std::cmp::Reverse;
use std::time::Duration;

use super::message::CHANGE_BYTES;
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
const SPREAD_TIME: Duration = Duration::from_secs(10);

/// Part of the burst that is kept for urgent changes, in bytes.
const URGENT_BYTES: u64 = PUSH_BURST_BYTES / 2;

/// Shape in which a change is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Shape {
    /// The verdict alone.
    Verdict,
    /// Record and verdict.
    Full,
}

#[derive(Debug)]
struct Pending {
    instance: InstanceId,
    shape: Shape,
    urgent: bool,
    since: Moment,
    rounds: u32,
    sends: u32,
}

/// Queue of changes, one per member, the urgent and then the least sent ones first.
///
/// Urgent is what takes work away from a member or gives it back: a suspicion, its refutation,
/// draining, leaving.
/// A change is kept by the name of its member and read from the view when it is sent, so that
/// the newest word goes out.
#[derive(Debug)]
pub(crate) struct Spread {
    pending: Vec<Pending>,
    allowance: u64,
    refreshed: Moment,
}

impl Spread {
    pub(crate) const fn new(now: Moment) -> Self {
        Self { pending: Vec::new(), allowance: PUSH_BURST_BYTES, refreshed: now }
    }

    /// Queues a change in a group of `members`.
    ///
    /// What is not urgent is queued only if `spread`; all nodes fetch it sooner or later.
    pub(crate) fn add(
        &mut self,
        now: Moment,
        view: &View,
        instance: &InstanceId,
        shape: Shape,
        spread: bool,
    ) {
        let urgent = view.get(instance).is_some_and(is_urgent);
        if !urgent && !spread {
            return;
        }
        let old = self.pending.iter().position(|pending| pending.instance == *instance);
        let old = old.map(|idx| self.pending.remove(idx).shape);
        let shape = old.map_or(shape, |old| old.max(shape));
        let members = view.census().live;
        // Twice the logarithm reaches all members with high probability.
        let sends = PUSH_FANOUT * PUSH_ROUNDS + 2 * (usize::BITS - members.leading_zeros());
        let instance = instance.clone();
        let rounds = PUSH_ROUNDS;
        self.pending.push(Pending { instance, shape, urgent, since: now, rounds, sends });
        self.pending.sort_by_key(Pending::order);
    }

    /// Changes for one message: `changes`, then those that are spreading.
    pub(crate) fn carry(&mut self, view: &View, mut changes: Vec<Change>) -> Vec<Change> {
        let taken: usize = changes.iter().map(Change::bytes).sum();
        let mut room = CHANGE_BYTES.saturating_sub(taken);
        self.pending.sort_by_key(Pending::order);
        for pending in &mut self.pending {
            let Some(change) = pending.change(view) else { continue };
            if change.bytes() > room {
                break;
            }
            room -= change.bytes();
            pending.sends -= 1;
            changes.push(change);
        }
        self.pending.retain(|pending| pending.sends > 0);
        changes
    }

    /// Changes to push to `PUSH_FANOUT` members in this tick; none if the allowance is used up.
    pub(crate) fn push(&mut self, now: Moment, view: &View) -> Vec<Change> {
        self.refill(now);
        self.pending.retain(|pending| pending.urgent || now.since(pending.since) < SPREAD_TIME);
        let mut room = CHANGE_BYTES as u64;
        let mut changes = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.rounds > 0) {
            let Some(change) = pending.change(view) else { continue };
            let bytes = change.bytes() as u64;
            let cost = bytes * u64::from(PUSH_FANOUT);
            let kept = if pending.urgent { 0 } else { URGENT_BYTES };
            if bytes > room || cost + kept > self.allowance {
                break;
            }
            room -= bytes;
            self.allowance -= cost;
            pending.rounds -= 1;
            pending.sends = pending.sends.saturating_sub(PUSH_FANOUT);
            changes.push(change);
        }
        self.pending.retain(|pending| pending.sends > 0);
        changes
    }

    fn refill(&mut self, now: Moment) {
        let micros = u64::try_from(now.since(self.refreshed).as_micros()).unwrap_or(u64::MAX);
        let earned = micros.saturating_mul(PUSH_BYTES_PER_SECOND) / 1_000_000;
        if earned > 0 {
            self.allowance = self.allowance.saturating_add(earned).min(PUSH_BURST_BYTES);
            self.refreshed = self.refreshed
                + Duration::from_micros(earned.saturating_mul(1_000_000) / PUSH_BYTES_PER_SECOND);
        }
    }
}

fn is_urgent(entry: &Entry) -> bool {
    let refuted = entry.refutations > 0;
    entry.record.state != MemberState::Serving || entry.verdict != Verdict::Alive || refuted
}

impl Pending {
    const fn order(&self) -> (bool, Reverse<u32>) {
        (!self.urgent, Reverse(self.sends))
    }

    fn change(&self, view: &View) -> Option<Change> {
        let entry = view.get(&self.instance)?;
        Some(match self.shape {
            Shape::Full => Change::Full(Box::new(entry.clone())),
            Shape::Verdict => Change::Verdict(entry.report()),
        })
    }
}
