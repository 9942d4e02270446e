//! Tells the calls that targets make from the requests of callers outside.
//!
//! Nothing in a call says that a target made it. But callers outside are spread over all
//! instances, while a route that only one service calls is seen from that service's instances
//! alone. The distinction decides who may be refused: a call belongs to a request for which work
//! was already done.

use std::collections::HashMap;

use crate::ids::Name;

/// Calls after which the counts of a route are halved, so that a change of the graph shows.
const COUNT_MAX: u32 = 512;
/// Fewest calls from which a route is judged.
const COUNT_MIN: u32 = 24;
/// Part of a route's calls that must come from one service.
const PART: f64 = 0.9;
/// Fewest services that must be seen to call anything before one origin tells anything.
const SERVICES_MIN: usize = 3;
/// Largest number of routes that are counted.
const ROUTES_MAX: usize = 1_024;

/// Counts of calls by route and by the service on whose instance they began.
#[derive(Debug, Default)]
pub struct Origins {
    routes: HashMap<Name, Counts>,
    /// Services from whose instances any call came.
    services: HashMap<Name, u32>,
}

#[derive(Debug, Default)]
struct Counts {
    total: u32,
    callers: HashMap<Name, u32>,
}

impl Origins {
    /// Counts a call of `route` that began on an instance of `caller`.
    pub fn count(&mut self, route: &Name, caller: &Name) {
        if !self.services.contains_key(caller) {
            self.services.insert(caller.clone(), 0);
        }
        if !self.routes.contains_key(route) {
            if self.routes.len() >= ROUTES_MAX {
                return;
            }
            self.routes.insert(route.clone(), Counts::default());
        }
        let Some(counts) = self.routes.get_mut(route) else { return };
        counts.total += 1;
        match counts.callers.get_mut(caller) {
            Some(count) => *count += 1,
            None => {
                counts.callers.insert(caller.clone(), 1);
            }
        }
        if counts.total >= COUNT_MAX {
            counts.callers.values_mut().for_each(|count| *count /= 2);
            counts.total = counts.callers.values().sum();
        }
    }

    /// Whether targets make the calls of `route`, rather than callers outside.
    pub fn is_internal(&self, route: &Name) -> bool {
        let Some(counts) = self.routes.get(route) else { return false };
        let most = counts.callers.values().copied().max().unwrap_or_default();
        counts.total >= COUNT_MIN
            && self.services.len() >= SERVICES_MIN
            && f64::from(most) >= PART * f64::from(counts.total)
    }
}
