//! Probes of the other members, one at a time.

use std::time::Duration;

use super::message::ProbeId;
use super::record::Peer;
use crate::ids::InstanceId;
use crate::time::Moment;

/// Time from one probe to the next; a probe without an answer by then raises a suspicion.
pub(crate) const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// Time for a direct answer, after which other members are asked to ping.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest number of pings under way for other members.
const MAX_RELAYS: usize = 64;

#[derive(Debug)]
struct Probe {
    id: ProbeId,
    target: InstanceId,
    sent: Moment,
    requested: bool,
    acked: bool,
}

#[derive(Debug)]
struct Relay {
    id: ProbeId,
    origin: Peer,
    origin_probe: ProbeId,
    sent: Moment,
}

/// What is due in a tick.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Nothing.
    Nothing,
    /// Others are to ping this member.
    RequestPings(ProbeId, InstanceId),
    /// The next probe; the last one's target is named if it did not answer.
    Next(Option<InstanceId>),
}

/// Probe under way, pings for others, and the round of members still to be probed.
#[derive(Debug)]
pub(crate) struct Probes {
    next_id: u32,
    next_at: Moment,
    current: Option<Probe>,
    relays: Vec<Relay>,
    pub(crate) round: Vec<InstanceId>,
}

impl Probes {
    pub(crate) const fn new(first: Moment) -> Self {
        Self { next_id: 0, next_at: first, current: None, relays: Vec::new(), round: Vec::new() }
    }

    pub(crate) fn next_probe_id(&mut self) -> ProbeId {
        self.next_id = self.next_id.wrapping_add(1);
        ProbeId(self.next_id)
    }

    pub(crate) fn due(&mut self, now: Moment) -> Due {
        if now >= self.next_at {
            self.next_at = now + PROBE_PERIOD;
            let silent = self.current.take().filter(|probe| !probe.acked);
            return Due::Next(silent.map(|probe| probe.target));
        }
        let waiting = self.current.as_mut().filter(|probe| !probe.acked && !probe.requested);
        let Some(probe) = waiting.filter(|probe| now.since(probe.sent) >= DIRECT_TIMEOUT) else {
            return Due::Nothing;
        };
        probe.requested = true;
        Due::RequestPings(probe.id, probe.target.clone())
    }

    /// Puts a member first in the round.
    pub(crate) fn probe_soon(&mut self, target: &InstanceId) {
        self.round.retain(|instance| instance != target);
        self.round.push(target.clone());
    }

    pub(crate) fn start(&mut self, now: Moment, target: InstanceId) -> ProbeId {
        let id = self.next_probe_id();
        self.current = Some(Probe { id, target, sent: now, requested: false, acked: false });
        id
    }

    /// Drops the probe under way; this node could not have heard the answer.
    pub(crate) fn cancel_current(&mut self) {
        self.current = None;
    }

    /// Notes a ping that was sent for another member.
    pub(crate) fn start_relay(
        &mut self,
        now: Moment,
        origin: Peer,
        origin_probe: ProbeId,
    ) -> Option<ProbeId> {
        self.relays.retain(|relay| now.since(relay.sent) < PROBE_PERIOD);
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let id = self.next_probe_id();
        self.relays.push(Relay { id, origin, origin_probe, sent: now });
        Some(id)
    }

    /// Takes in an answer; gives the member that asked for the ping, with its own number of it.
    pub(crate) fn on_ack(&mut self, id: ProbeId) -> Option<RelayedAck> {
        if let Some(probe) = self.current.as_mut().filter(|probe| probe.id == id) {
            probe.acked = true;
            return None;
        }
        let idx = self.relays.iter().position(|relay| relay.id == id)?;
        let relay = self.relays.swap_remove(idx);
        Some(RelayedAck { to: relay.origin, probe: relay.origin_probe })
    }
}

/// Answer to pass on to the member that asked for a ping.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct RelayedAck {
    pub(crate) to: Peer,
    pub(crate) probe: ProbeId,
}
