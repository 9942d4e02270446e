//! Choice of targets per service, from what this node observes of its own calls.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use poplar_core::{
    Balancer, Incarnation, InstanceId, MemberRecord, Moment, Name, Observation, Rank, TargetInfo,
};
use poplar_kernel::Clock;

use crate::directory::Directory;

/// Calls that this node may have in flight to a target, as a multiple of the target's slots.
///
/// All calls to a target's node share one connection; this limit keeps one caller from filling
/// the target's queue.
const CALLS_PER_SLOT: u32 = 4;

/// Balancers by service, updated from the directory.
#[derive(Debug)]
pub(super) struct Targets {
    clock: Clock,
    zone: Name,
    groups: Mutex<HashMap<Name, Group>>,
}

#[derive(Debug)]
struct Group {
    version: u64,
    balancer: Balancer,
    members: BTreeMap<InstanceId, MemberRecord>,
}

/// Member that receives a send; the call counts as in flight there if the balancer chose it.
pub(super) struct ChosenMember<'a> {
    pub(super) member: MemberRecord,
    in_flight: Option<InFlightCall<'a>>,
}

/// Call in flight; recorded as given up if it is dropped before a result was observed.
struct InFlightCall<'a> {
    targets: &'a Targets,
    service: Name,
    instance: InstanceId,
    observed: bool,
}

impl Targets {
    /// Creates an empty set for a node in the availability zone `zone`.
    pub(super) fn new(clock: Clock, zone: Name) -> Self {
        Self { clock, zone, groups: Mutex::default() }
    }

    /// Chooses a member of `service` that is not in `tried`.
    pub(super) fn choose(
        &self,
        directory: &Directory,
        service: &Name,
        rank: Rank,
        tried: &[InstanceId],
    ) -> Option<ChosenMember<'_>> {
        let now = self.clock.now();
        let mut groups = self.lock();
        let group = self.group(&mut groups, directory, service);
        let choice = group.balancer.choose(now, rank, fastrand::u64(..), tried)?;
        let member = group.members.get(&choice.instance).cloned();
        let in_flight = InFlightCall {
            targets: self,
            service: service.clone(),
            instance: choice.instance,
            observed: false,
        };
        drop(groups);
        Some(ChosenMember { member: member?, in_flight: Some(in_flight) })
    }

    /// Whether `service` has a serving member that is not in `tried`.
    pub(super) fn has_other(
        &self,
        directory: &Directory,
        service: &Name,
        tried: &[InstanceId],
    ) -> bool {
        let mut groups = self.lock();
        let group = self.group(&mut groups, directory, service);
        group.members.keys().any(|instance| !tried.contains(instance))
    }

    fn group<'a>(
        &self,
        groups: &'a mut HashMap<Name, Group>,
        directory: &Directory,
        service: &Name,
    ) -> &'a mut Group {
        let group = groups.entry(service.clone()).or_insert_with(|| Group {
            version: 0,
            balancer: Balancer::new(self.zone.clone()),
            members: BTreeMap::new(),
        });
        if let Some(changed) = directory.serving_since(service, group.version) {
            group.version = changed.version;
            group.update_members(changed.members);
        }
        group
    }

    fn observe(&self, now: Moment, service: &Name, instance: &InstanceId, observed: Observation) {
        if let Some(group) = self.lock().get_mut(service) {
            group.balancer.observe(now, instance, observed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Group>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Group {
    /// Replaces the members by those that serve now; a new incarnation starts without history.
    fn update_members(&mut self, members: Vec<MemberRecord>) {
        let members: BTreeMap<_, _> =
            members.into_iter().map(|member| (member.instance.clone(), member)).collect();
        let incarnation = |members: &BTreeMap<InstanceId, MemberRecord>, instance| {
            members.get(instance).map(|member: &MemberRecord| member.incarnation)
        };
        for instance in self.members.keys() {
            if incarnation(&members, instance).is_none() {
                self.balancer.remove_target(instance);
            }
        }
        for (instance, member) in &members {
            let known: Option<Incarnation> = incarnation(&self.members, instance);
            if known != Some(member.incarnation) {
                self.balancer.add_target(target_info(member));
            }
        }
        self.members = members;
    }
}

impl ChosenMember<'_> {
    /// Member that a binding names. The balancer did not choose it, so the call is not counted.
    pub(super) const fn bound(member: MemberRecord) -> Self {
        Self { member, in_flight: None }
    }

    /// Reports the result of the send to the balancer; only the first one counts.
    pub(super) fn observe(&mut self, observed: Observation) {
        if let Some(in_flight) = self.in_flight.as_mut() {
            in_flight.observe(observed);
        }
    }
}

impl InFlightCall<'_> {
    fn observe(&mut self, observed: Observation) {
        if !std::mem::replace(&mut self.observed, true) {
            let now = self.targets.clock.now();
            self.targets.observe(now, &self.service, &self.instance, observed);
        }
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        self.observe(Observation::GivenUp);
    }
}

fn target_info(member: &MemberRecord) -> TargetInfo {
    TargetInfo {
        instance: member.instance.clone(),
        zone: member.zone.clone(),
        slots: member.slots.max(1),
        connections: member.slots.max(1).saturating_mul(CALLS_PER_SLOT),
    }
}
