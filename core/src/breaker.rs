//! Circuit breaker of an entry node, which refuses requests of a route of which nearly all fail.
//!
//! A service on the path of a route's requests may make them fail at any load, because it refuses
//! most calls or is so slow that chains of calls exceed their time limit. No admission level shows
//! this, since no service is overloaded. Each such request causes work before it fails, and a
//! caller that must not repeat a request that may have run cannot retry it. A request that is
//! refused before any work can be retried. See [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Weight of one request in the smoothed success rate.
const SMOOTHING: f64 = 0.1;
/// Success rate below which a route is throttled. Above it, the requests lost by refusing ones that
/// would succeed outweigh the work saved.
const SUCCESS_MIN: f64 = 0.1;
/// Minimum fraction of a throttled route's requests that is admitted, to detect when they succeed
/// again.
const TRIAL_FRACTION: f64 = 0.1;
/// Time without an admitted request after which the next one is admitted whatever its tie-breaker,
/// so that the recovery of routes with little traffic is detected too.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of routes with a state.
const ROUTES_MAX: usize = 4_096;

/// State of one route.
#[derive(Debug, Clone, Copy)]
struct RouteState {
    /// Smoothed fraction of the admitted requests that complete.
    success_rate: f64,
    /// When a request was last admitted.
    last_admitted: Moment,
}

impl RouteState {
    fn admitted_fraction(&self) -> f64 {
        (self.success_rate / SUCCESS_MIN).clamp(TRIAL_FRACTION, 1.0)
    }
}

/// Circuit breaker of one entry node, with a state for each of at most 4,096 routes.
#[derive(Debug, Default)]
pub struct RouteBreaker {
    routes: HashMap<Name, RouteState>,
}

impl RouteBreaker {
    /// Records whether an admitted request of `route` completed.
    pub fn record(&mut self, now: Moment, route: &Name, completed: bool) {
        if !self.routes.contains_key(route) && self.routes.len() >= ROUTES_MAX {
            return;
        }
        let fresh = RouteState { success_rate: 1.0, last_admitted: now };
        let known = self.routes.entry(route.clone()).or_insert(fresh);
        known.success_rate += SMOOTHING * (f64::from(u8::from(completed)) - known.success_rate);
    }

    /// Fraction of the requests of `route` that is admitted: those with the highest tie-breakers.
    pub fn admitted_fraction(&self, route: &Name) -> f64 {
        let known = self.routes.get(route);
        known.map_or(1.0, RouteState::admitted_fraction)
    }

    /// Throttled routes and the fraction of their requests that is admitted.
    pub fn throttled(&self) -> impl Iterator<Item = (&Name, f64)> {
        let fractions = self.routes.iter().map(|(route, known)| (route, known.admitted_fraction()));
        fractions.filter(|(_, fraction)| *fraction < 1.0)
    }

    /// Whether a request of `route` with this tie-breaker is admitted; if so, records the time.
    pub fn admits(&mut self, now: Moment, route: &Name, tiebreak: u16) -> bool {
        let refused = 1.0 - self.admitted_fraction(route);
        let Some(known) = self.routes.get_mut(route) else { return true };
        let passes = f64::from(tiebreak) >= refused * f64::from(u16::MAX);
        if !passes && now.since(known.last_admitted) < TRIAL_INTERVAL {
            return false;
        }
        known.last_admitted = now;
        true
    }
}
