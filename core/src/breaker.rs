//! Entry that stops taking in requests of a route of which nearly all fail.
//!
//! The pattern that this answers: something on the way of a route's requests fails them whatever
//! the load, a deep service that turns most calls away, or one so slow that chains of calls miss
//! their time limit. No level tells of it, since nothing is short of room; each request is worked
//! for and then fails, and a caller that may not repeat it gets no second chance. Refused before any
//! work, it does. See [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Weight of one request in the smoothed part that completes.
const SMOOTHING: f64 = 0.1;
/// Part that completes below which a route is throttled; above it, refusals would lose more requests
/// that complete than they save work.
const SUCCESS_MIN: f64 = 0.1;
/// Part of a throttled route's requests that is let in to learn when they complete again.
const TRIAL_FRACTION: f64 = 0.1;
/// Time after which a request is let in whatever its lot, if none was, so that rare routes learn too.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of routes that are followed.
const ROUTES_MAX: usize = 4_096;

/// What became of the requests of one route.
#[derive(Debug, Clone, Copy)]
struct RouteState {
    /// Smoothed part that completes.
    success_rate: f64,
    /// When one was last let in.
    last_admitted: Moment,
}

impl RouteState {
    fn admitted_fraction(&self) -> f64 {
        (self.success_rate / SUCCESS_MIN).clamp(TRIAL_FRACTION, 1.0)
    }
}

/// Circuit breaker of one entry, with a state for each route.
#[derive(Debug, Default)]
pub struct RouteBreaker {
    routes: HashMap<Name, RouteState>,
}

impl RouteBreaker {
    /// Takes in whether a request of `route` that was let in completed.
    pub fn record(&mut self, now: Moment, route: &Name, completed: bool) {
        if !self.routes.contains_key(route) && self.routes.len() >= ROUTES_MAX {
            return;
        }
        let fresh = RouteState { success_rate: 1.0, last_admitted: now };
        let known = self.routes.entry(route.clone()).or_insert(fresh);
        known.success_rate += SMOOTHING * (f64::from(u8::from(completed)) - known.success_rate);
    }

    /// Part of the requests of `route` that is let in; those with the highest lots.
    pub fn admitted_fraction(&self, route: &Name) -> f64 {
        let known = self.routes.get(route);
        known.map_or(1.0, RouteState::admitted_fraction)
    }

    /// Routes that are throttled, and the part of their requests that is let in.
    pub fn throttled(&self) -> impl Iterator<Item = (&Name, f64)> {
        let passing = self.routes.iter().map(|(route, known)| (route, known.admitted_fraction()));
        passing.filter(|(_, passing)| *passing < 1.0)
    }

    /// Whether a request of `route` with this lot is let in.
    pub fn admits(&mut self, now: Moment, route: &Name, lot: u16) -> bool {
        let refused = 1.0 - self.admitted_fraction(route);
        let Some(known) = self.routes.get_mut(route) else { return true };
        let passes = f64::from(lot) >= refused * f64::from(u16::MAX);
        if !passes && now.since(known.last_admitted) < TRIAL_INTERVAL {
            return false;
        }
        known.last_admitted = now;
        true
    }
}
