//! Members of the services that this node may call.

use std::collections::{BTreeMap, HashMap};
use std::sync::{PoisonError, RwLock};

use poplar_core::{InstanceId, Moment, Name};
use poplar_kernel::Service;
use poplar_wire::{MemberRecord, MemberState};
use serde_json::{Value, json};

/// Service that knows the members.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    by_service: RwLock<BTreeMap<Name, HashMap<InstanceId, MemberRecord>>>,
}

impl Directory {
    /// Takes in a report; of two about one instance the later incarnation and sequence wins.
    pub(crate) fn learn(&self, record: MemberRecord) {
        let mut services = self.by_service.write().unwrap_or_else(PoisonError::into_inner);
        let members = services.entry(record.service.clone()).or_default();
        let known = members.get(&record.instance).map(|m| (m.incarnation, m.sequence));
        if known.is_none_or(|known| (record.incarnation, record.sequence) > known) {
            members.insert(record.instance.clone(), record);
        }
    }

    /// Members of `service` that take work.
    pub(crate) fn serving(&self, service: &Name) -> Vec<MemberRecord> {
        let services = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        let members = services.get(service).into_iter().flat_map(HashMap::values);
        members.filter(|member| member.state == MemberState::Serving).cloned().collect()
    }

    /// Every member known, whatever its state.
    pub(crate) fn all(&self) -> Vec<MemberRecord> {
        let services = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        services.values().flat_map(HashMap::values).cloned().collect()
    }

    /// Number of members known in each state.
    pub(crate) fn counts(&self) -> [(&'static str, usize); 3] {
        let members = self.all();
        let count = |state| members.iter().filter(|member| member.state == state).count();
        [
            ("serving", count(MemberState::Serving)),
            ("draining", count(MemberState::Draining)),
            ("left", count(MemberState::Left)),
        ]
    }

    /// Instances known to take work, of every service.
    pub(crate) fn live(&self) -> Vec<InstanceId> {
        let services = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        let members = services.values().flat_map(HashMap::values);
        let serving = members.filter(|member| member.state == MemberState::Serving);
        serving.map(|member| member.instance.clone()).collect()
    }

    /// Member of `service` with the given instance, whatever its state.
    pub(crate) fn member(&self, service: &Name, instance: &InstanceId) -> Option<MemberRecord> {
        let services = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service)?.get(instance).cloned()
    }
}

impl Service for Directory {
    fn name(&self) -> &'static str {
        "directory"
    }

    fn dump(&self, _now: Moment) -> Value {
        let services = self.by_service.read().unwrap_or_else(PoisonError::into_inner);
        let mut rows: Vec<_> = services.values().flat_map(HashMap::values).collect();
        rows.sort_by(|a, b| (&a.service, &a.instance).cmp(&(&b.service, &b.instance)));
        json!(rows)
    }
}
