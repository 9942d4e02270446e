//! Services that the requests of a route reach, as learned from their answers.
//!
//! When a service at the end of a chain is overloaded, requests that never reach it may share an
//! entry node, or even their first service, with requests that do. Refusing requests by the level
//! of the first service alone would refuse the former because of the latter. See
//! [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use crate::admission::{Level, LevelMap};
use crate::ids::Name;
use crate::time::Moment;

/// Maximum number of routes for which services are recorded.
const ROUTES_MAX: usize = 4_096;

/// Highest admission level among the services that a request reaches.
#[derive(Debug, Clone, Default)]
pub struct PathLevel {
    /// Service with that level; `None` if no service of the route is known.
    pub service: Option<Name>,
    /// The highest level.
    pub level: Level,
    /// Age of the service's newest level; `None` if no level of it is known.
    pub age: Option<Duration>,
}

/// Services that the requests of each route were recently observed to reach.
#[derive(Debug, Default, Serialize)]
pub struct RouteDependencies {
    routes: HashMap<Name, HashMap<Name, Moment>>,
}

impl RouteDependencies {
    /// Time for which an observation is valid; longer than the gaps between requests of a route
    /// with little traffic.
    pub const RETENTION: Duration = Duration::from_secs(30);

    /// Records that a request of `route` reached `services`.
    pub fn record<'a>(
        &mut self,
        now: Moment,
        route: &Name,
        services: impl IntoIterator<Item = &'a Name>,
    ) {
        if !self.routes.contains_key(route) && self.routes.len() >= ROUTES_MAX {
            return;
        }
        let reached = self.routes.entry(route.clone()).or_default();
        for service in services {
            reached.insert(service.clone(), now);
        }
    }

    /// Highest level that applies to a request of `route`: of the services `first`, to one of which
    /// the request is sent, and of those that requests of the route reach.
    pub fn path_level<'a>(
        &'a self,
        now: Moment,
        route: &Name,
        first: impl IntoIterator<Item = &'a Name>,
        levels: &LevelMap,
    ) -> PathLevel {
        let reached = first.into_iter().chain(self.services(now, route));
        let candidates = reached.map(|service| (levels.median(now, service), service));
        let Some((level, service)) = candidates.max_by_key(|(level, _)| *level) else {
            return PathLevel::default();
        };
        PathLevel { service: Some(service.clone()), level, age: levels.age(now, service) }
    }

    /// Services that requests of `route` were observed to reach within [`Self::RETENTION`].
    pub fn services(&self, now: Moment, route: &Name) -> impl Iterator<Item = &Name> {
        let known = self.routes.get(route).into_iter().flatten();
        known.filter(move |(_, at)| now.since(**at) < Self::RETENTION).map(|(service, _)| service)
    }
}
