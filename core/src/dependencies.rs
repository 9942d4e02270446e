//! Which services the requests of a route reach, by the answers to them.
//!
//! The pattern that this answers: a deep service is short of room, and requests that never reach it
//! share an entry, or even their first service, with requests that do. Refusing by the level of the
//! first service alone would turn away the former for the sake of the latter. See
//! [overload](../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use crate::admission::{Level, LevelMap};
use crate::ids::Name;
use crate::time::Moment;

/// Largest number of routes that are followed.
const ROUTES_MAX: usize = 4_096;

/// Highest level that a request meets on its way.
#[derive(Debug, Clone, Default)]
pub struct PathLevel {
    /// Service that stands at it; none if no service is known.
    pub service: Option<Name>,
    /// The level.
    pub level: Level,
    /// Time since the service gave it; none if it never did.
    pub age: Option<Duration>,
}

/// Services that each route was seen to reach beyond its first one.
#[derive(Debug, Default, Serialize)]
pub struct RouteDependencies {
    routes: HashMap<Name, HashMap<Name, Moment>>,
}

impl RouteDependencies {
    /// Time for which an observation counts; long against gaps in a rare route.
    pub const RETENTION: Duration = Duration::from_secs(30);

    /// Takes in that a request of `route` reached `services`.
    pub fn record<'a>(
        &mut self,
        now: Moment,
        route: &Name,
        services: impl IntoIterator<Item = &'a Name>,
    ) {
        if !self.routes.contains_key(route) && self.routes.len() >= ROUTES_MAX {
            return;
        }
        let known = self.routes.entry(route.clone()).or_default();
        for service in services {
            known.insert(service.clone(), now);
        }
    }

    /// Highest level that a request of `route` meets, which goes to one of `first`, and the service
    /// that it is the level of.
    pub fn path_level<'a>(
        &'a self,
        now: Moment,
        route: &Name,
        first: impl IntoIterator<Item = &'a Name>,
        levels: &LevelMap,
    ) -> PathLevel {
        let reached = first.into_iter().chain(self.services(now, route));
        let met = reached.map(|service| (levels.median(now, service), service));
        let Some((level, service)) = met.max_by_key(|(level, _)| *level) else {
            return PathLevel::default();
        };
        PathLevel { service: Some(service.clone()), level, age: levels.age(now, service) }
    }

    /// Services that requests of `route` reach.
    pub fn services(&self, now: Moment, route: &Name) -> impl Iterator<Item = &Name> {
        let known = self.routes.get(route).into_iter().flatten();
        known.filter(move |(_, at)| now.since(**at) < Self::RETENTION).map(|(service, _)| service)
    }
}
