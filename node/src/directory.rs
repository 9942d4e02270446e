//! Directory of the members of the services that this node may call.
//!
//! Its memory is bounded whatever the size of the deployment: it holds at most [`MEMBERS_MAX`]
//! records of one service, and records of at most [`SERVICES_MAX`] services.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use poplar_core::{InstanceId, MemberRecord, MemberState, Moment, Name};
use poplar_kernel::Service;
use serde_json::{Value, json};

/// Maximum number of records of one service, those of members that left included.
const MEMBERS_MAX: usize = 512;
/// Maximum number of services with records, and of services that are marked as requested.
const SERVICES_MAX: usize = 2_048;

/// Service that holds the member records.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    services: RwLock<BTreeMap<Name, ServiceMembers>>,
    /// Services whose serving members were looked up.
    requested_services: RwLock<BTreeSet<Name>>,
}

/// Members of one service.
#[derive(Debug, Default)]
struct ServiceMembers {
    records: HashMap<InstanceId, KnownMember>,
    /// Latest sample of the service's instances, if this node follows the service.
    sample: Option<BTreeSet<InstanceId>>,
    /// Grows with each change of the records or the sample.
    version: u64,
}

/// Members that take calls, with the version of their service's entry.
#[derive(Debug)]
pub(crate) struct ServingMembers {
    pub(crate) version: u64,
    pub(crate) members: Vec<MemberRecord>,
}

/// Record of one member, and whether it is suspected.
#[derive(Debug)]
struct KnownMember {
    record: MemberRecord,
    /// Whether failure detection within its service finds it suspect or lost.
    suspected: bool,
}

impl Directory {
    /// Applies a record; of two for one instance, the later incarnation and then sequence wins.
    ///
    /// A record of a new service is dropped beyond [`SERVICES_MAX`], one of a new member beyond
    /// [`MEMBERS_MAX`] unless a member that left can be evicted.
    pub(crate) fn apply_record(&self, record: MemberRecord) {
        let mut services = self.write();
        if services.len() >= SERVICES_MAX && !services.contains_key(&record.service) {
            return;
        }
        services.entry(record.service.clone()).or_default().apply_record(record);
    }

    /// Sets whether failure detection finds a member suspect or lost.
    ///
    /// The flag stays as it is if the record known here has another incarnation.
    pub(crate) fn set_suspected(&self, record: &MemberRecord, suspected: bool) {
        let mut services = self.write();
        let known = services.get_mut(&record.service);
        let known = known.and_then(|group| group.records.get_mut(&record.instance));
        if let Some(known) = known.filter(|known| known.record.incarnation == record.incarnation) {
            known.suspected = suspected;
        }
        if let Some(group) = services.get_mut(&record.service) {
            group.version += 1;
        }
    }

    /// Sets the members to call of a followed service; an empty sample changes nothing.
    pub(crate) fn set_sample(&self, service: &Name, members: &[MemberRecord]) {
        if members.is_empty() {
            return;
        }
        members.iter().for_each(|record| self.apply_record(record.clone()));
        let sample: BTreeSet<_> = members.iter().map(|record| record.instance.clone()).collect();
        if let Some(group) = self.write().get_mut(service) {
            group.version += u64::from(group.sample.as_ref() != Some(&sample));
            group.sample = Some(sample);
        }
    }

    /// Members of `service` that this node may call: serving, not suspected, and in its sample if
    /// there is one. Marks the service as requested.
    pub(crate) fn serving(&self, service: &Name) -> Vec<MemberRecord> {
        self.mark_requested(service);
        self.read().get(service).map(ServiceMembers::serving).unwrap_or_default()
    }

    /// Same members as [`Self::serving`], if anything changed since `version`.
    pub(crate) fn serving_since(&self, service: &Name, version: u64) -> Option<ServingMembers> {
        self.mark_requested(service);
        let services = self.read();
        let group = services.get(service).filter(|group| group.version != version)?;
        Some(ServingMembers { version: group.version, members: group.serving() })
    }

    /// Services whose serving members were looked up.
    pub(crate) fn requested_services(&self) -> Vec<Name> {
        let requested = self.requested_services.read().unwrap_or_else(PoisonError::into_inner);
        requested.iter().cloned().collect()
    }

    /// Every record of one service.
    pub(crate) fn records_of(&self, service: &Name) -> Vec<MemberRecord> {
        let services = self.read();
        let group = services.get(service);
        group.into_iter().flat_map(ServiceMembers::records).cloned().collect()
    }

    /// Every record, whatever its state.
    pub(crate) fn all_records(&self) -> Vec<MemberRecord> {
        self.read().values().flat_map(ServiceMembers::records).cloned().collect()
    }

    /// Number of members in each state.
    pub(crate) fn counts_by_state(&self) -> [(&'static str, usize); 3] {
        let members = self.all_records();
        let count = |state| members.iter().filter(|member| member.state == state).count();
        [
            ("serving", count(MemberState::Serving)),
            ("draining", count(MemberState::Draining)),
            ("left", count(MemberState::Left)),
        ]
    }

    /// Instances of every service whose record says that they are serving.
    pub(crate) fn serving_instances(&self) -> Vec<InstanceId> {
        let members = self.all_records().into_iter();
        let serving = members.filter(|member| member.state == MemberState::Serving);
        serving.map(|member| member.instance).collect()
    }

    /// Record of `instance` in `service`, whatever its state.
    pub(crate) fn member(&self, service: &Name, instance: &InstanceId) -> Option<MemberRecord> {
        let services = self.read();
        services.get(service)?.records.get(instance).map(|known| known.record.clone())
    }

    fn mark_requested(&self, service: &Name) {
        let known = {
            let requested = self.requested_services.read().unwrap_or_else(PoisonError::into_inner);
            requested.contains(service) || requested.len() >= SERVICES_MAX
        };
        if !known {
            let mut requested =
                self.requested_services.write().unwrap_or_else(PoisonError::into_inner);
            requested.insert(service.clone());
        }
    }

    fn read(&self) -> RwLockReadGuard<'_, BTreeMap<Name, ServiceMembers>> {
        self.services.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, BTreeMap<Name, ServiceMembers>> {
        self.services.write().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceMembers {
    fn apply_record(&mut self, record: MemberRecord) {
        let known = self.records.get(&record.instance);
        let version = known.map(|known| (known.record.incarnation, known.record.sequence));
        if version.is_some_and(|version| (record.incarnation, record.sequence) <= version) {
            return;
        }
        let same = version.is_some_and(|(incarnation, _)| incarnation == record.incarnation);
        let suspected = same && known.is_some_and(|known| known.suspected);
        if known.is_none() && self.records.len() >= MEMBERS_MAX && !self.evict_departed() {
            return;
        }
        self.version += 1;
        self.records.insert(record.instance.clone(), KnownMember { record, suspected });
    }

    /// Evicts the member with the oldest incarnation among those that left; returns whether there
    /// was one.
    fn evict_departed(&mut self) -> bool {
        let left = self.records().filter(|record| record.state == MemberState::Left);
        let oldest = left.min_by_key(|record| record.incarnation);
        let oldest = oldest.map(|record| record.instance.clone());
        oldest.is_some_and(|instance| self.records.remove(&instance).is_some())
    }

    fn serving(&self) -> Vec<MemberRecord> {
        let usable = |known: &&KnownMember| {
            let includes = |sample: &BTreeSet<_>| sample.contains(&known.record.instance);
            let sampled = self.sample.as_ref().is_none_or(includes);
            known.record.state == MemberState::Serving && !known.suspected && sampled
        };
        let usable = self.records.values().filter(usable);
        usable.map(|known| known.record.clone()).collect()
    }

    fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values().map(|known| &known.record)
    }
}

impl Service for Directory {
    fn name(&self) -> &'static str {
        "directory"
    }

    fn dump(&self, _now: Moment) -> Value {
        let mut rows = self.all_records();
        rows.sort_by(|a, b| (&a.service, &a.instance).cmp(&(&b.service, &b.instance)));
        json!(rows)
    }
}
