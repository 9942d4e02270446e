//! Records of all known targets, and the choice of a target for each call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Balancer, Choice, Digest, Fingerprint, InstanceId, Moment, Name, Observation, Ranges, Rank,
    Rate, Roster as Records, Stage, StatedLimit, TargetInfo, TargetLifetime, TargetRecord,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::proxy::statement::{LimitStatement, TargetStatement};

/// Longest time for which the start of a target may lie ahead of this node's time of day; clocks
/// differ by seconds. A record from further ahead would hide all later ones.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(24 * 3_600);

/// Whether a record can be that of a target: it names an address that a node can have, and a start
/// that is not in the future. `now` is the time of day.
pub(crate) fn is_plausible(record: &TargetRecord, now: Duration) -> bool {
    let address = record.peer.as_str().parse::<SocketAddr>();
    address.is_ok() && is_plausible_start(record.age.born, now)
}

/// Whether a target may have started at `born`, in milliseconds of Unix time.
pub(crate) fn is_plausible_start(born: u64, now: Duration) -> bool {
    Duration::from_millis(born) <= now + CLOCK_SKEW_MAX
}

/// Target chosen for a call.
#[derive(Debug, Clone)]
pub(crate) struct ChosenTarget {
    pub(crate) instance: InstanceId,
    /// Address of the node beside the target.
    pub(crate) peer: Name,
}

/// Service that holds the records of all targets.
#[derive(Debug)]
pub(crate) struct Roster {
    clock: Clock,
    zone: Name,
    state: Mutex<State>,
    /// Receives each record that was merged and was new.
    changes: mpsc::UnboundedSender<TargetRecord>,
}

#[derive(Debug, Default)]
struct State {
    records: Records,
    balancers: HashMap<Name, Balancer>,
    peers: HashMap<InstanceId, Name>,
    /// Rate limits stated in answers that came to this node, by the address of the node beside the
    /// target.
    limits: HashMap<Name, (TargetLifetime, StatedLimit)>,
}

impl Roster {
    pub(crate) fn new(
        clock: Clock,
        zone: Name,
        changes: mpsc::UnboundedSender<TargetRecord>,
    ) -> Self {
        Self { clock, zone, state: Mutex::default(), changes }
    }

    /// Merges a record; returns whether it was newer than the known one.
    pub(crate) fn merge(&self, record: TargetRecord) -> bool {
        let mut state = self.lock();
        let before = state.records.get(&record.peer).cloned();
        if !state.records.merge(record.clone()) {
            return false;
        }
        state.update_choosers(&self.zone, before, record.clone());
        // Without a receiver the process is about to exit.
        let _ = self.changes.send(record);
        true
    }

    /// Removes the record of the node at `peer`, which the store has deleted; returns whether it
    /// was known.
    pub(crate) fn remove(&self, peer: &Name) -> bool {
        let mut state = self.lock();
        if let Some(record) = state.records.get(peer).cloned() {
            state.remove_from_chooser(&record);
        }
        state.limits.remove(peer);
        state.records.remove(peer)
    }

    /// Chooses a target of `service` and counts the call as in flight there.
    pub(crate) fn choose(
        &self,
        service: &Name,
        rank: Rank,
        tried: &[InstanceId],
    ) -> Option<ChosenTarget> {
        self.choose_with(service, |balancer, now| {
            balancer.choose(now, rank, fastrand::u64(..), tried)
        })
    }

    /// Chooses the target of `service` for a request that is suspected of crashing targets, and
    /// counts the call as in flight there. All nodes that know the same targets choose the same
    /// one.
    pub(crate) fn choose_isolated(
        &self,
        service: &Name,
        fingerprint: Fingerprint,
        tried: &[InstanceId],
    ) -> Option<ChosenTarget> {
        self.choose_with(service, |balancer, now| balancer.choose_isolated(now, fingerprint, tried))
    }

    /// Current life of the chosen target; none if another instance has replaced it since.
    pub(crate) fn life(&self, chosen: &ChosenTarget) -> Option<TargetLifetime> {
        let state = self.lock();
        let record = state.records.get(&chosen.peer);
        let record = record.filter(|record| record.instance == chosen.instance)?;
        Some(TargetLifetime::of(&record.instance, record.age.born))
    }

    /// Records the result of a call for which [`Self::choose`] or [`Self::choose_isolated`] chose
    /// the target.
    pub(crate) fn observe(&self, service: &Name, instance: &InstanceId, observed: Observation) {
        let now = self.clock.now();
        if let Some(balancer) = self.lock().balancers.get_mut(service) {
            balancer.observe(now, instance, observed);
        }
    }

    /// Records the load of a target as the node beside it reports it.
    pub(crate) fn report_load(&self, service: &Name, instance: &InstanceId, load: f32) {
        let now = self.clock.now();
        if let Some(balancer) = self.lock().balancers.get_mut(service) {
            balancer.record_load(now, instance, f64::from(load));
        }
    }

    /// Records what a target stated in an answer to a request sent at `sent`. A target that is
    /// leaving gets no more calls from this node, whatever other nodes report of it.
    pub(crate) fn record_statement(
        &self,
        chosen: &ChosenTarget,
        lifetime: TargetLifetime,
        sent: Moment,
        statement: TargetStatement,
    ) {
        let now = self.clock.now();
        let leaving = {
            let mut state = self.lock();
            if statement.is_empty() && state.limits.is_empty() {
                return;
            }
            let Some(record) = state.records.get(&chosen.peer).cloned() else { return };
            if TargetLifetime::of(&record.instance, record.age.born) != lifetime {
                return;
            }
            if let LimitStatement::Limit(rate) = statement.limit {
                state.record_limit(now, &chosen.peer, lifetime, sent, rate);
            }
            let leaves = statement.leaving && record.stage == Stage::Serving;
            leaves.then_some(TargetRecord { stage: Stage::Draining, ..record })
        };
        if let Some(record) = leaving {
            self.merge(record);
        }
    }

    /// Takes over a rate limit that the node at `peer` reports of its target. It counts until an
    /// answer of the target comes to this node.
    pub(crate) fn adopt_limit(&self, peer: &Name, lifetime: TargetLifetime, rate: Rate) {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.limits.get_mut(peer).filter(|(known, _)| *known == lifetime);
        if let Some((_, limit)) = known {
            limit.adopt(now, rate);
            return;
        }
        let mut limit = StatedLimit::default();
        limit.adopt(now, rate);
        state.limits.insert(peer.clone(), (lifetime, limit));
    }

    /// Whether the chosen target states a rate limit while another one of `service` is known to
    /// have room. The level of such a target tells nothing about the service.
    pub(crate) fn is_limited_alone(&self, service: &Name, chosen: &ChosenTarget) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let limited =
            state.limits.get(&chosen.peer).is_some_and(|(_, limit)| limit.rate().is_some());
        let balancer = state.balancers.get(service);
        limited && balancer.is_some_and(|known| known.has_room_beside(now, &chosen.instance))
    }

    /// Rate limit that the target beside the node at `peer` last stated to this node.
    pub(crate) fn stated_limit(&self, peer: &Name) -> Option<(TargetLifetime, Rate)> {
        let state = self.lock();
        let (lifetime, limit) = state.limits.get(peer)?;
        Some((*lifetime, limit.rate()?))
    }

    /// Availability zone of the node at `peer`; none if the node is not known.
    pub(crate) fn zone_of(&self, peer: &Name) -> Option<Name> {
        self.lock().records.get(peer).map(|record| record.zone.clone())
    }

    /// Number of known target records, one for each node.
    pub(crate) fn len(&self) -> usize {
        self.lock().records.iter().count()
    }

    /// All records.
    pub(crate) fn records(&self) -> Vec<TargetRecord> {
        self.lock().records.iter().cloned().collect()
    }

    /// Checksum over all records, by which two nodes detect whether they hold the same ones.
    pub(crate) fn checksum(&self) -> u64 {
        self.digest().checksum()
    }

    /// Digest of all records, by which two nodes find the ranges in which their records differ.
    pub(crate) fn digest(&self) -> Digest {
        self.lock().records.digest()
    }

    /// Records in the given ranges of a digest.
    pub(crate) fn records_in(&self, ranges: Ranges) -> Vec<TargetRecord> {
        self.lock().records.in_ranges(ranges).cloned().collect()
    }

    /// Version of the records; it grows with each change.
    pub(crate) fn version(&self) -> u64 {
        self.lock().records.version()
    }

    /// Chooses a target with `choose` and looks up the address of its node.
    fn choose_with(
        &self,
        service: &Name,
        choose: impl FnOnce(&mut Balancer, Moment) -> Option<Choice>,
    ) -> Option<ChosenTarget> {
        let mut state = self.lock();
        let choice = choose(state.balancers.get_mut(service)?, self.clock.now())?;
        let peer = state.peers.get(&choice.instance)?.clone();
        Some(ChosenTarget { instance: choice.instance, peer })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Updates the choosers after one record was added or changed.
    fn update_choosers(&mut self, zone: &Name, before: Option<TargetRecord>, record: TargetRecord) {
        let same = before.as_ref().is_some_and(|before| {
            before.instance == record.instance
                && before.age.born == record.age.born
                && before.slots == record.slots
        });
        if let Some(before) = before.filter(|before| !same || before.stage != record.stage) {
            self.remove_from_chooser(&before);
        } else if same {
            return;
        }
        if record.stage != Stage::Serving {
            return;
        }
        let balancer = self
            .balancers
            .entry(record.service.clone())
            .or_insert_with(|| Balancer::new(zone.clone()));
        self.peers.insert(record.instance.clone(), record.peer);
        balancer.add_target(TargetInfo {
            instance: record.instance,
            zone: record.zone,
            slots: record.slots,
            // Not limited here: calls go over one link to the node beside the target, and only that
            // node opens connections to the target.
            connections: u32::MAX,
        });
    }

    /// Records the rate limit in an answer, if the target states or has stated any.
    fn record_limit(
        &mut self,
        now: Moment,
        peer: &Name,
        lifetime: TargetLifetime,
        sent: Moment,
        rate: Option<Rate>,
    ) {
        let known = self.limits.get(peer).filter(|(known, _)| *known == lifetime);
        let mut limit = known.map_or_else(StatedLimit::default, |(_, limit)| *limit);
        limit.record_answer(now, sent, rate);
        if limit.rate().is_some() {
            self.limits.insert(peer.clone(), (lifetime, limit));
        } else {
            // Without an entry, a limit that the node beside the target reports counts again.
            self.limits.remove(peer);
        }
    }

    /// Removes the instance of a record from the targets that calls may choose.
    fn remove_from_chooser(&mut self, record: &TargetRecord) {
        if let Some(balancer) = self.balancers.get_mut(&record.service) {
            balancer.remove_target(&record.instance);
        }
        self.peers.remove(&record.instance);
    }
}

impl Service for Roster {
    fn name(&self) -> &'static str {
        "roster"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "targets": self.records() })
    }
}
