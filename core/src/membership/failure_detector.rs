//! Failure detection: pings to other members, and suspicion of those that do not answer.

use std::time::Duration;

use super::gossip::ChangeKind;
use super::message::{Message, Outgoing, ProbeId};
use super::record::{Peer, Verdict, VerdictReport};
use super::view::{Applied, is_lost};
use super::{Membership, SplitMix64};
use crate::ids::InstanceId;
use crate::time::Moment;

/// Time between two ticks from which this node itself is considered to have been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(700);

/// Number of members that are asked to ping one that does not answer.
const PING_REQUESTS: usize = 3;

impl Membership {
    /// After a gap between ticks, cancels the probe and extends the suspicions, because this node
    /// could not have received an answer during the gap.
    pub(super) fn allow_for_gap(&mut self, now: Moment) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap >= FREEZE_THRESHOLD {
            self.probes.cancel_current();
            self.view.extend_suspicions(gap);
        }
    }

    pub(super) fn suspect(&mut self, now: Moment, unanswered: Option<InstanceId>) {
        let Some(entry) = unanswered.and_then(|instance| self.view.get(&instance)) else { return };
        let report = VerdictReport { verdict: Verdict::Suspect, ..entry.report() };
        if self.view.apply_verdict(now, &report) == Applied::Changed {
            self.queue_change(now, &report.instance, ChangeKind::Verdict, true);
        }
    }

    pub(super) fn probe_next(
        &mut self,
        now: Moment,
        rng: &mut SplitMix64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(target) = self.next_of_round(rng) else { return };
        let probe = self.probes.start(now, target.instance.clone());
        self.ping(target, probe, out);
    }

    /// Next member to probe; each round visits every live member once, in a new random order.
    fn next_of_round(&mut self, rng: &mut SplitMix64) -> Option<Peer> {
        if self.probes.round.is_empty() {
            let live = self.live(None).map(|entry| entry.record.instance.clone());
            let mut round: Vec<InstanceId> = live.collect();
            for idx in (1..round.len()).rev() {
                round.swap(idx, rng.below(idx + 1));
            }
            self.probes.round = round;
        }
        while let Some(instance) = self.probes.round.pop() {
            if let Some(entry) = self.view.get(&instance).filter(|entry| entry.is_live()) {
                return Some(entry.record.peer());
            }
        }
        None
    }

    /// Pings lost members too, so that the two sides of a healed partition find each other again.
    /// All live members together ping each lost one on average at most once per probe period.
    pub(super) fn ping_lost(&mut self, rng: &mut SplitMix64, out: &mut Vec<Outgoing>) {
        let counts = self.view.member_counts();
        if counts.lost == 0 || rng.below(counts.lost + counts.live) >= counts.lost {
            return;
        }
        let nth = rng.below(counts.lost);
        let lost = self.view.entries().filter(|entry| is_lost(entry)).nth(nth);
        if let Some(target) = lost.map(|entry| entry.record.peer()) {
            let probe = self.probes.next_probe_id();
            self.ping(target, probe, out);
        }
    }

    fn ping(&mut self, to: Peer, probe: ProbeId, out: &mut Vec<Outgoing>) {
        let changes = self.changes_for(&to.instance, None);
        let message = Message::Ping { probe, digest: self.digest(), changes };
        out.push(Outgoing { to, message });
    }

    pub(super) fn relay_ping(
        &mut self,
        now: Moment,
        from: &Peer,
        origin_probe: ProbeId,
        target: &InstanceId,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(to) = self.view.get(target).map(|entry| entry.record.peer()) else { return };
        if let Some(probe) = self.probes.start_relay(now, from.clone(), origin_probe) {
            self.ping(to, probe, out);
        }
    }

    pub(super) fn request_pings(
        &self,
        probe: ProbeId,
        target: &InstanceId,
        rng: &mut SplitMix64,
        out: &mut Vec<Outgoing>,
    ) {
        for to in self.pick_live(rng, PING_REQUESTS, Some(target)) {
            let message = Message::PingRequest { probe, target: target.clone() };
            out.push(Outgoing { to, message });
        }
    }
}
