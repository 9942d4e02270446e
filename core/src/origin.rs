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

use crate::ids::Name;
use crate::time::Moment;

/// Time for which a sighting counts; long against gaps in a rare route.
const RETENTION: Duration = Duration::from_secs(30);
/// Time in which sightings reach all nodes; before, nothing is said of a route.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Requests after which a route counts as asked for, so that a stray one says nothing.
const MIN_REQUESTS: u32 = 3;
/// Fewest services of which the absence of some tells anything.
const MIN_SERVICES: usize = 3;
/// Largest number of sightings that are kept and told.
const MAX_SIGHTINGS: usize = 512;
/// Time by which a sighting must have become newer to be told again to the same node; a third of
/// [`MEMORY`], so that what goes on is not forgotten elsewhere.
const RESEND_INTERVAL: Duration = Duration::from_secs(10);

/// Route that was asked for at an instance of a service; both by hash, to keep messages small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    route: u32,
    service: u32,
    /// Whole seconds since the last request.
    age: u8,
}

/// Sightings that one other node has, from this node or by its own word.
#[derive(Debug, Default)]
pub struct PeerSightings(HashMap<(u32, u32), Moment>);

impl PeerSightings {
    /// Takes in what the other node told.
    pub fn record_received(&mut self, now: Moment, told: &[Sighting]) {
        for sighting in told {
            let at = sighting.last_request(now);
            let last = self.0.entry((sighting.route, sighting.service)).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Leaves of `sightings` what is news to the other node, and counts it as told.
    pub fn select_unsent(&mut self, now: Moment, sightings: &[Sighting]) -> Vec<Sighting> {
        self.0.retain(|_, at| now.since(*at) < RETENTION);
        let is_news = |sighting: &&Sighting| {
            let at = self.0.get(&(sighting.route, sighting.service));
            at.is_none_or(|at| sighting.last_request(now).since(*at) >= RESEND_INTERVAL)
        };
        let news: Vec<_> = sightings.iter().filter(is_news).copied().collect();
        self.record_received(now, &news);
        news
    }
}

impl Sighting {
    fn last_request(&self, now: Moment) -> Moment {
        now.before(Duration::from_secs(u64::from(self.age)))
    }
}

/// What is known of one route.
#[derive(Debug)]
struct Route {
    /// When it was first heard of.
    first_seen: Moment,
    /// Last request at an instance of each service.
    callers: HashMap<u32, Moment>,
}

/// Sightings of one node and those that others told it of.
#[derive(Debug, Default)]
pub struct RouteOrigins {
    routes: HashMap<u32, Route>,
    /// Requests at this node that do not count yet.
    local_requests: HashMap<u32, u32>,
}

impl RouteOrigins {
    /// Takes in a request for `route` that begins at this node, an instance of `service`.
    pub fn record_request(&mut self, now: Moment, route: &Name, service: &Name) {
        let route = route.short_hash();
        let count = self.local_requests.entry(route).or_default();
        *count = count.saturating_add(1);
        if *count >= MIN_REQUESTS {
            self.record(now, route, service.short_hash());
        }
    }

    /// Takes in what another node tells.
    pub fn merge(&mut self, now: Moment, told: &[Sighting]) {
        for sighting in told {
            self.record(sighting.last_request(now), sighting.route, sighting.service);
        }
    }

    /// What this node tells others.
    pub fn export(&mut self, now: Moment) -> Vec<Sighting> {
        self.drop_expired(now);
        let mut rows = Vec::new();
        for (route, known) in &self.routes {
            rows.extend(known.callers.iter().map(|(service, at)| {
                let age = now.since(*at).as_secs().min(u64::from(u8::MAX)) as u8;
                Sighting { route: *route, service: *service, age }
            }));
        }
        rows
    }

    /// Whether targets make the calls of `route`, rather than callers outside; none while that
    /// cannot be told.
    ///
    /// That is so if at most half of the installation's `services` ask for it.
    pub fn is_internal(&self, now: Moment, route: &Name, services: usize) -> Option<bool> {
        let known = self.routes.get(&route.short_hash())?;
        if now.since(known.first_seen) < PROPAGATION_TIME || services < MIN_SERVICES {
            return None;
        }
        let callers = known.callers.values().filter(|at| now.since(**at) < RETENTION).count();
        Some(callers > 0 && 2 * callers <= services)
    }

    fn record(&mut self, at: Moment, route: u32, service: u32) {
        let known =
            self.routes.get(&route).is_some_and(|known| known.callers.contains_key(&service));
        if !known && self.sightings() >= MAX_SIGHTINGS {
            return;
        }
        let fresh = || Route { first_seen: at, callers: HashMap::new() };
        let known = self.routes.entry(route).or_insert_with(fresh);
        let last = known.callers.entry(service).or_insert(at);
        *last = at.max(*last);
    }

    fn sightings(&self) -> usize {
        self.routes.values().map(|known| known.callers.len()).sum()
    }

    /// Drops what is too old to count.
    fn drop_expired(&mut self, now: Moment) {
        self.routes.retain(|_, known| {
            known.callers.retain(|_, at| now.since(*at) < RETENTION);
            !known.callers.is_empty()
        });
        let routes = &self.routes;
        self.local_requests
            .retain(|route, count| *count < MIN_REQUESTS || routes.contains_key(route));
        if self.local_requests.len() > MAX_SIGHTINGS {
            self.local_requests.clear();
        }
    }
}
