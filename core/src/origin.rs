//! Tells the calls that targets make from the requests of callers outside.
//!
//! Nothing in a call says that a target made it. But callers outside are spread over the instances
//! of all services, while the calls that targets make for a route come from the instances of a few.
//! The distinction decides who may be refused: a call belongs to a request for which work was
//! already done.

use std::collections::HashMap;

use crate::ids::Name;

/// Calls after which the counts of a route are halved, so that a change of the graph shows.
const COUNT_MAX: u32 = 512;
/// Fewest calls from which a route is judged; of callers spread over four services, one is missed
/// by chance once in ten thousand times.
const COUNT_MIN: u32 = 40;
/// Part of a route's calls from which a service counts as one that calls it.
const PART: f64 = 0.03;
/// Fewest services of which the absence of some tells anything.
const SERVICES_MIN: usize = 3;
/// Largest number of routes that are counted.
const ROUTES_MAX: usize = 1_024;

/// Counts of calls by route and by the service on whose instance they began.
#[derive(Debug, Default)]
pub struct Origins {
    routes: HashMap<Name, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    total: u32,
    callers: HashMap<Name, u32>,
}

impl Origins {
    /// Counts a call of `route` that began on an instance of `caller`.
    pub fn count(&mut self, route: &Name, caller: &Name) {
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

    /// Whether targets make the calls of `route`, rather than callers outside; none while too few
    /// calls were seen.
    ///
    /// That is so if at most half of the installation's `services` call it.
    pub fn is_internal(&self, route: &Name, services: usize) -> Option<bool> {
        let counts = self.routes.get(route).filter(|counts| counts.total >= COUNT_MIN)?;
        let least = PART * f64::from(counts.total);
        let callers = counts.callers.values().filter(|count| f64::from(**count) >= least).count();
        Some(services >= SERVICES_MIN && 2 * callers <= services)
    }
}
