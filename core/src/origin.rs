//! Distinguishes the calls that targets make from the requests of external callers.
//!
//! A call doesn't state whether a target made it. But external callers send requests to the
//! instances of all services, while the calls that targets make for a route enter at the instances
//! of few services. The distinction decides which traffic may be refused: a call belongs to a
//! request for which work was already done.
//!
//! Nodes exchange which routes are requested at the instances of which services. They count
//! requests where they enter, not where they arrive at a target: refusals at entry nodes would hide
//! those callers by which the two kinds are distinguished.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Name;
use crate::time::Moment;

/// Time for which a sighting counts; long compared with the gaps between requests of a rarely used
/// route.
const RETENTION: Duration = Duration::from_secs(30);
/// Time within which sightings reach all nodes; a new route is not classified earlier.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Number of requests at this node after which a route counts as requested, so that a single stray
/// request has no effect.
const MIN_REQUESTS: u32 = 3;
/// Minimum number of services in the installation; with fewer, it proves nothing that a route isn't
/// requested at some of them.
const MIN_SERVICES: usize = 3;
/// Maximum number of sightings that are stored and sent.
const MAX_SIGHTINGS: usize = 512;
/// Time by which a sighting must have become newer before it is sent to the same node again; a
/// third of [`RETENTION`], so that a route that stays in use doesn't expire at other nodes.
const RESEND_INTERVAL: Duration = Duration::from_secs(10);

/// Route that was requested at an instance of a service; both are hashes of names, to keep messages
/// small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    route: u32,
    service: u32,
    /// Whole seconds since the last request, at most 255.
    age: u8,
}

/// Sightings that one peer has, because this node sent them to the peer or received them from it.
#[derive(Debug, Default)]
pub struct PeerSightings(HashMap<(u32, u32), Moment>);

impl PeerSightings {
    /// Records sightings that were received from the peer.
    pub fn record_received(&mut self, now: Moment, received: &[Sighting]) {
        for sighting in received {
            let at = sighting.last_request(now);
            let last = self.0.entry((sighting.route, sighting.service)).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Returns those of `sightings` that are new to the peer, and records them as sent.
    pub fn select_unsent(&mut self, now: Moment, sightings: &[Sighting]) -> Vec<Sighting> {
        self.0.retain(|_, at| now.since(*at) < RETENTION);
        let is_new = |sighting: &&Sighting| {
            let at = self.0.get(&(sighting.route, sighting.service));
            at.is_none_or(|at| sighting.last_request(now).since(*at) >= RESEND_INTERVAL)
        };
        let unsent: Vec<_> = sightings.iter().filter(is_new).copied().collect();
        self.record_received(now, &unsent);
        unsent
    }
}

impl Sighting {
    fn last_request(&self, now: Moment) -> Moment {
        now.before(Duration::from_secs(u64::from(self.age)))
    }
}

/// Callers of one route.
#[derive(Debug)]
struct Route {
    /// Time of the first sighting.
    first_seen: Moment,
    /// Last request at an instance of each service, by hash of the service's name.
    callers: HashMap<u32, Moment>,
}

/// Sightings of this node and those that it received from other nodes.
#[derive(Debug, Default)]
pub struct RouteOrigins {
    routes: HashMap<u32, Route>,
    /// Number of requests at this node by hash of the route's name; a route counts from
    /// [`MIN_REQUESTS`] on.
    local_requests: HashMap<u32, u32>,
}

impl RouteOrigins {
    /// Records a request for `route` that enters at this node, an instance of `service`.
    pub fn record_request(&mut self, now: Moment, route: &Name, service: &Name) {
        let route = route.short_hash();
        let count = self.local_requests.entry(route).or_default();
        *count = count.saturating_add(1);
        if *count >= MIN_REQUESTS {
            self.record(now, route, service.short_hash());
        }
    }

    /// Merges sightings that were received from another node.
    pub fn merge(&mut self, now: Moment, received: &[Sighting]) {
        for sighting in received {
            self.record(sighting.last_request(now), sighting.route, sighting.service);
        }
    }

    /// Sightings to send to other nodes.
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

    /// Whether the requests for `route` come from targets rather than from external callers; `None`
    /// while that can't be decided.
    ///
    /// They come from targets if the route is requested at the instances of at most half of the
    /// installation's `services`.
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

    /// Removes sightings that are too old to count.
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
