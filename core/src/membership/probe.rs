//! State of the probes of the other members, one at a time, and of pings relayed for others.

use std::time::Duration;

use super::message::ProbeId;
use super::record::Peer;
use crate::ids::InstanceId;
use crate::time::Moment;

/// Time from one probe to the next; a member that has not answered by then becomes suspect.
pub(crate) const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// Time after which other members are asked to ping a member that has not answered.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest number of unanswered pings that are relayed for other members.
const MAX_RELAYS: usize = 64;

#[derive(Debug)]
struct Probe {
    id: ProbeId,
    target: InstanceId,
    sent: Moment,
    /// Whether other members were asked to ping the target.
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

/// Action that is due in a tick.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// No action.
    Nothing,
    /// Request other members to ping this one.
    RequestPings(ProbeId, InstanceId),
    /// Start the next probe; holds the target of the last one if that did not answer.
    Next(Option<InstanceId>),
}

/// Current probe, pings relayed for others, and the members still to be probed in this round.
#[derive(Debug)]
pub(crate) struct Probes {
    next_id: u32,
    next_at: Moment,
    current: Option<Probe>,
    relays: Vec<Relay>,
    /// Members still to be probed in this round, the next one last.
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
            let unanswered = self.current.take().filter(|probe| !probe.acked);
            return Due::Next(unanswered.map(|probe| probe.target));
        }
        let waiting = self.current.as_mut().filter(|probe| !probe.acked && !probe.requested);
        let Some(probe) = waiting.filter(|probe| now.since(probe.sent) >= DIRECT_TIMEOUT) else {
            return Due::Nothing;
        };
        probe.requested = true;
        Due::RequestPings(probe.id, probe.target.clone())
    }

    /// Makes a member the target of the next probe.
    pub(crate) fn probe_soon(&mut self, target: &InstanceId) {
        self.round.retain(|instance| instance != target);
        self.round.push(target.clone());
    }

    pub(crate) fn start(&mut self, now: Moment, target: InstanceId) -> ProbeId {
        let id = self.next_probe_id();
        self.current = Some(Probe { id, target, sent: now, requested: false, acked: false });
        id
    }

    /// Cancels the current probe, because this node could not have received the answer.
    pub(crate) fn cancel_current(&mut self) {
        self.current = None;
    }

    /// Allocates a probe id for a ping that is relayed for `origin`; `None` if there are already
    /// [`MAX_RELAYS`].
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

    /// Handles an ack; if it answers a relayed ping, returns where to forward it.
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

/// Ack to forward to the member that requested the ping.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct RelayedAck {
    pub(crate) to: Peer,
    /// Id of the probe at that member.
    pub(crate) probe: ProbeId,
}
