//! Slot time that a request takes of the services it reaches.
//!
//! Each answer brings what the run and the calls below it took, so that the entry, which alone
//! learns how the whole request ended, can tell useful work from work that came to nothing. See
//! [overload](../../docs/design/overload.md).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// Largest number of services of which the work of one request is kept; bounds the size of answers.
const SERVICES_MAX: usize = 16;

/// Slot time by service; at most 16 services are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkSum {
    services: BTreeMap<Name, Duration>,
}

impl WorkSum {
    /// Notes that `service` was reached, and adds slot time there.
    pub fn add(&mut self, service: &Name, time: Duration) {
        if let Some(sum) = self.services.get_mut(service) {
            *sum = sum.saturating_add(time);
        } else if self.services.len() < SERVICES_MAX {
            self.services.insert(service.clone(), time);
        }
    }

    /// Adds a call that ran at `service` for `time`, and the work of the calls `below` it.
    pub fn add_call(&mut self, service: &Name, time: Duration, below: &Self) {
        self.add(service, time);
        below.iter().for_each(|(service, time)| self.add(service, time));
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
