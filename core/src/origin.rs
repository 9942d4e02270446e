//! Tells the calls that targets make from the requests of callers outside.
//!
//! Nothing in a call says that a target made it. But callers outside are spread over the instances
//! of all services, while the calls that targets make for a route begin at the instances of a few.
//! The distinction decides who may be refused: a call belongs to a request for which work was
//! already done.
//!
//! Nodes tell each other which routes are asked for at the instances of which services. What is
//! counted is what is asked for, not what arrives at a target: refusals at entries would hide the
//! very callers that tell the two apart.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Name;
use crate::time::Moment;

/// Time for which a sighting counts; long against gaps in a rare route.
const MEMORY: Duration = Duration::from_secs(30);
/// Time in which sightings reach all nodes; before, nothing is said of a route.
const SPREAD: Duration = Duration::from_secs(2);
/// Requests after which a route counts as asked for, so that a stray one says nothing.
const SIGHTINGS_MIN: u32 = 3;
/// Fewest services of which the absence of some tells anything.
const SERVICES_MIN: usize = 3;
/// Largest number of sightings that are kept and told.
const SIGHTINGS_MAX: usize = 512;

/// Route that was asked for at an instance of a service; both by hash, to keep messages small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    route: u32,
    service: u32,
    /// Whole seconds since the last request.
    age: u8,
}

/// Sightings of one node and those that others told it of.
#[derive(Debug, Default)]
pub struct Origins {
    /// Last request, by route and service.
    seen: HashMap<(u32, u32), Moment>,
    /// When a route was first heard of.
    first: HashMap<u32, Moment>,
    /// Requests at this node that do not count yet.
    own: HashMap<u32, u32>,
}

impl Origins {
    /// Takes in a request for `route` that begins at this node, an instance of `service`.
    pub fn saw(&mut self, now: Moment, route: &Name, service: &Name) {
        let route = hash(route);
        let count = self.own.entry(route).or_default();
        *count = count.saturating_add(1);
        if *count >= SIGHTINGS_MIN {
            self.note(now, route, hash(service));
        }
    }

    /// Takes in what another node tells.
    pub fn merge(&mut self, now: Moment, told: &[Sighting]) {
        for sighting in told {
            let age = Duration::from_secs(u64::from(sighting.age));
            let at = Moment::default() + now.since(Moment::default()).saturating_sub(age);
            self.note(at, sighting.route, sighting.service);
        }
    }

    /// What this node tells others.
    pub fn export(&mut self, now: Moment) -> Vec<Sighting> {
        self.forget(now);
        let rows = self.seen.iter().take(SIGHTINGS_MAX).map(|((route, service), at)| {
            let age = now.since(*at).as_secs().min(u64::from(u8::MAX)) as u8;
            Sighting { route: *route, service: *service, age }
        });
        rows.collect()
    }

    /// Whether targets make the calls of `route`, rather than callers outside; none while that
    /// cannot be told.
    ///
    /// That is so if at most half of the installation's `services` ask for it.
    pub fn is_internal(&self, now: Moment, route: &Name, services: usize) -> Option<bool> {
        let route = hash(route);
        let known = self.first.get(&route).is_some_and(|first| now.since(*first) >= SPREAD);
        if !known || services < SERVICES_MIN {
            return None;
        }
        let rows = self.seen.iter().filter(|((other, _), _)| *other == route);
        let callers = rows.filter(|(_, at)| now.since(**at) < MEMORY).count();
        Some(callers > 0 && 2 * callers <= services)
    }

    fn note(&mut self, at: Moment, route: u32, service: u32) {
        if self.seen.len() >= SIGHTINGS_MAX && !self.seen.contains_key(&(route, service)) {
            return;
        }
        self.first.entry(route).or_insert(at);
        let last = self.seen.entry((route, service)).or_insert(at);
        *last = at.max(*last);
    }

    /// Drops what is too old to count.
    fn forget(&mut self, now: Moment) {
        self.seen.retain(|_, at| now.since(*at) < MEMORY);
        let seen = &self.seen;
        self.first.retain(|route, _| seen.keys().any(|(other, _)| other == route));
        let first = &self.first;
        self.own.retain(|route, count| *count < SIGHTINGS_MIN || first.contains_key(route));
        if self.own.len() > SIGHTINGS_MAX {
            self.own.clear();
        }
    }
}

fn hash(name: &Name) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}
