//! Targets that this node knows, and the choice among those of one service.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use poplar_core::{
    Balancer, Choice, Digest, Fingerprint, InstanceId, Moment, Name, Observation, Ranges, Rank,
    Roster as Records, Stage, TargetInfo, TargetLifetime, TargetRecord,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// Target that was chosen for a call.
#[derive(Debug, Clone)]
pub(crate) struct ChosenTarget {
    pub(crate) instance: InstanceId,
    /// Address of the node beside it.
    pub(crate) peer: Name,
}

/// Service that holds the records of all targets.
#[derive(Debug)]
pub(crate) struct Roster {
    clock: Clock,
    zone: Name,
    state: Mutex<State>,
    /// Takes each record that was news.
    changes: mpsc::UnboundedSender<TargetRecord>,
}

#[derive(Debug, Default)]
struct State {
    records: Records,
    choosers: HashMap<Name, Balancer>,
    peers: HashMap<InstanceId, Name>,
}

impl Roster {
    pub(crate) fn new(
        clock: Clock,
        zone: Name,
        changes: mpsc::UnboundedSender<TargetRecord>,
    ) -> Self {
        Self { clock, zone, state: Mutex::default(), changes }
    }

    /// Takes a record in; says whether it was news.
    pub(crate) fn merge(&self, record: TargetRecord) -> bool {
        let mut state = self.lock();
        let before = state.records.get(&record.peer).cloned();
        if !state.records.merge(record.clone()) {
            return false;
        }
        state.update_choosers(&self.zone, before, record.clone());
        // Without a receiver the process is about to end.
        let _ = self.changes.send(record);
        true
    }

    /// Drops the record of a node that is gone for good.
    pub(crate) fn remove(&self, peer: &Name) -> bool {
        let mut state = self.lock();
        if let Some(record) = state.records.get(peer).cloned() {
            state.remove_from_chooser(&record);
        }
        state.records.remove(peer)
    }

    /// Chooses a target of `service` and counts the call as in flight there.
    pub(crate) fn choose(
        &self,
        service: &Name,
        rank: Rank,
        tried: &[InstanceId],
    ) -> Option<ChosenTarget> {
        self.choose_with(service, |chooser, now| {
            chooser.choose(now, rank, fastrand::u64(..), tried)
        })
    }

    /// Chooses the target of `service` that alone gets a request under suspicion, the same at all
    /// nodes that know the same targets, and counts the call as in flight there.
    pub(crate) fn choose_isolated(
        &self,
        service: &Name,
        print: Fingerprint,
        tried: &[InstanceId],
    ) -> Option<ChosenTarget> {
        self.choose_with(service, |chooser, now| chooser.choose_isolated(now, print, tried))
    }

    /// Life of the target at `chosen`; none if another one is known there by now.
    pub(crate) fn life(&self, chosen: &ChosenTarget) -> Option<TargetLifetime> {
        let state = self.lock();
        let record = state.records.get(&chosen.peer);
        let record = record.filter(|record| record.instance == chosen.instance)?;
        Some(TargetLifetime::of(&record.instance, record.age.born))
    }

    /// Takes in what came of a call that [`Self::choose`] gave out.
    pub(crate) fn observe(&self, service: &Name, instance: &InstanceId, observed: Observation) {
        let now = self.clock.now();
        if let Some(chooser) = self.lock().choosers.get_mut(service) {
            chooser.observe(now, instance, observed);
        }
    }

    /// Takes in the load of a target by the word of the node beside it.
    pub(crate) fn report_load(&self, service: &Name, instance: &InstanceId, load: f32) {
        let now = self.clock.now();
        if let Some(chooser) = self.lock().choosers.get_mut(service) {
            chooser.record_load(now, instance, f64::from(load));
        }
    }

    /// Availability zone of the node at `peer`.
    pub(crate) fn zone_of(&self, peer: &Name) -> Option<Name> {
        self.lock().records.get(peer).map(|record| record.zone.clone())
    }

    /// Number of known nodes.
    pub(crate) fn len(&self) -> usize {
        self.lock().records.iter().count()
    }

    /// All records.
    pub(crate) fn records(&self) -> Vec<TargetRecord> {
        self.lock().records.iter().cloned().collect()
    }

    /// Checksum by which two nodes see whether they hold the same records.
    pub(crate) fn checksum(&self) -> u64 {
        self.digest().checksum()
    }

    /// Digest by which two nodes find the records that they do not both hold.
    pub(crate) fn digest(&self) -> Digest {
        self.lock().records.digest()
    }

    /// Records of some ranges of a digest.
    pub(crate) fn records_in(&self, ranges: Ranges) -> Vec<TargetRecord> {
        self.lock().records.in_ranges(ranges).cloned().collect()
    }

    /// Number that grows with each change of the records.
    pub(crate) fn version(&self) -> u64 {
        self.lock().records.version()
    }

    fn choose_with(
        &self,
        service: &Name,
        choose: impl FnOnce(&mut Balancer, Moment) -> Option<Choice>,
    ) -> Option<ChosenTarget> {
        let mut state = self.lock();
        let choice = choose(state.choosers.get_mut(service)?, self.clock.now())?;
        let peer = state.peers.get(&choice.instance)?.clone();
        Some(ChosenTarget { instance: choice.instance, peer })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Carries a change of one record over to the choosers.
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
        let chooser = self
            .choosers
            .entry(record.service.clone())
            .or_insert_with(|| Balancer::new(zone.clone()));
        self.peers.insert(record.instance.clone(), record.peer);
        chooser.add_target(TargetInfo {
            instance: record.instance,
            zone: record.zone,
            slots: record.slots,
            // Calls go over one link to the node beside the target, which alone connects to it.
            connections: u32::MAX,
        });
    }

    fn remove_from_chooser(&mut self, record: &TargetRecord) {
        if let Some(chooser) = self.choosers.get_mut(&record.service) {
            chooser.remove_target(&record.instance);
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
