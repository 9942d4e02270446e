//! Slot time that a request uses at the services it reaches.
//!
//! Each answer carries the slot time of the run and of its nested calls. Only the entry node learns
//! whether the whole request succeeded, and uses the slot times to distinguish useful from wasted
//! work. See [overload](../../docs/design/overload.md).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// Maximum number of services for which the work of one request is kept; bounds the size of
/// answers.
const SERVICES_MAX: usize = 16;

/// Slot time per service; at most 16 services are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkSum {
    services: BTreeMap<Name, Duration>,
}

impl WorkSum {
    /// Adds slot time at `service`, which counts as reached even if `time` is zero.
    pub fn add(&mut self, service: &Name, time: Duration) {
        if let Some(sum) = self.services.get_mut(service) {
            *sum = sum.saturating_add(time);
        } else if self.services.len() < SERVICES_MAX {
            self.services.insert(service.clone(), time);
        }
    }

    /// Adds a call that ran at `service` for `time`, and the work of its `nested` calls.
    pub fn add_call(&mut self, service: &Name, time: Duration, nested: &Self) {
        self.add(service, time);
        nested.iter().for_each(|(service, time)| self.add(service, time));
    }

    /// Services and the slot time at each.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, Duration)> {
        self.services.iter().map(|(service, time)| (service, *time))
    }

    /// Whether `service` was reached.
    pub fn contains(&self, service: &Name) -> bool {
        self.services.contains_key(service)
    }

    /// Whether no service was reached.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}
