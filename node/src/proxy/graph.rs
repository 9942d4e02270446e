//! What this node learns of the call graph from the calls that it sees and the answers to them.
//!
//! From what is asked for at it and at other nodes it learns which routes targets call; from the
//! answers it learns the levels of the services, so that a request which would fail deeper down is
//! refused before any work.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    ImportanceScale, InstanceId, Level, LevelMap, Mix, MixSum, Moment, Name, Origins, Rank,
    RouteRule, Share, Sighting, Spell,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};

use super::frame::CallAnswer;

/// Lots, of 65,536 in an importance, by which a level is lowered at each hop back, so that one
/// which services tell each other in a circle dies out.
const HOP_LOTS: u32 = 1_024;

/// Service that holds what was learnt.
#[derive(Debug)]
pub(crate) struct Graph {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    origins: Origins,
    levels: LevelMap,
    /// Routes that the target beside this node calls, and the services that run them.
    callees: HashMap<Name, Name>,
    /// Services of the installation.
    services: usize,
    /// What the target beside this node runs, by importance.
    running: MixSum,
    /// Services that requests are refused for.
    surges: HashMap<Name, Spell>,
}

impl Graph {
    pub(crate) fn new(clock: Clock) -> Self {
        let state = State {
            origins: Origins::default(),
            levels: LevelMap::new(ImportanceScale::new([])),
            callees: HashMap::new(),
            services: 0,
            running: MixSum::default(),
            surges: HashMap::new(),
        };
        Self { clock, state: Mutex::new(state) }
    }

    /// Takes over the importances and the number of services of a new revision.
    pub(crate) fn revise(&self, scale: ImportanceScale, services: usize) {
        let mut state = self.lock();
        state.levels.revise(scale);
        state.services = services;
    }

    /// Takes in a request for `route` that begins at this node, an instance of `service`.
    pub(crate) fn saw(&self, route: &Name, service: &Name) {
        let now = self.clock.now();
        self.lock().origins.saw(now, route, service);
    }

    /// What this node tells others of the requests that it saw or heard of.
    pub(crate) fn sightings(&self) -> Vec<Sighting> {
        let now = self.clock.now();
        self.lock().origins.export(now)
    }

    /// Takes in what another node tells.
    pub(crate) fn heard(&self, told: &[Sighting]) {
        let now = self.clock.now();
        self.lock().origins.merge(now, told);
    }

    /// Takes in what came with an answer of `instance` to a call of `route` to `service`.
    pub(crate) fn learn(
        &self,
        service: &Name,
        instance: &InstanceId,
        route: &Name,
        answer: &CallAnswer,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.levels.learn(now, service, instance, answer.level);
        if state.is_internal(now, route) != Some(true) {
            state.callees.remove(route);
        } else if state.callees.get(route) != Some(service) {
            state.callees.insert(route.clone(), service.clone());
        }
    }

    /// Counts a call that the target beside this node runs until the result is dropped.
    pub(crate) fn begin(&self, mix: Mix) -> Running<'_> {
        self.lock().running.begin(&mix);
        Running { graph: self, mix }
    }

    /// Importances of the requests that a call of `route` from this node may belong to.
    pub(crate) fn mix(&self, route: &RouteRule) -> Mix {
        let state = self.lock();
        let internal = state.is_internal(self.clock.now(), &route.name) == Some(true);
        let mean = state.running.mean().filter(|_| internal);
        mean.unwrap_or_else(|| Mix::of(route.importance))
    }

    /// Whether targets make the calls of `route`, as far as this node knows.
    pub(crate) fn is_internal(&self, route: &Name) -> bool {
        let now = self.clock.now();
        self.lock().is_internal(now, route) == Some(true)
    }

    /// Whether a request of `route` should be refused here, because a service that it may go to,
    /// or one that this service calls, is short of room.
    ///
    /// All shares of a route are refused alike, so that their parts stay what the weights say. A
    /// call of a target is never refused, nor one of a route of which nothing is known.
    pub(crate) fn refuses(&self, service: &Name, route: &RouteRule, rank: Rank) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.is_internal(now, &route.name) != Some(false) {
            return false;
        }
        let admits = |share: &Share| state.levels.median(now, &share.service).admits(rank);
        if route.shares.iter().all(admits) {
            return false;
        }
        match state.surges.get_mut(service) {
            Some(spell) => spell.extend(now),
            None => {
                state.surges.insert(service.clone(), Spell::begin(now));
            }
        }
        true
    }

    /// Time to come back for a caller that is refused for want of room at `service`.
    pub(crate) fn retry_after(&self, service: &Name, rank: Rank) -> Duration {
        let now = self.clock.now();
        let spell = self.lock().surges.get(service).copied().unwrap_or(Spell::begin(now));
        spell.retry_after(now, rank.lot())
    }

    /// Level to send back with an answer: the target's own or that of a service which it calls.
    pub(crate) fn joined(&self, own: Level) -> Level {
        let now = self.clock.now();
        let state = self.lock();
        let deeper =
            state.callees.values().map(|service| state.levels.median(now, service).0).max();
        own.max(Level(deeper.unwrap_or_default().saturating_sub(HOP_LOTS)))
    }

    /// Level of a service as this node knows it.
    pub(crate) fn level(&self, service: &Name) -> Level {
        let now = self.clock.now();
        self.lock().levels.median(now, service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_internal(&self, now: Moment, route: &Name) -> Option<bool> {
        self.origins.is_internal(now, route, self.services)
    }
}

/// Call that runs at the target beside this node.
pub(crate) struct Running<'a> {
    graph: &'a Graph,
    mix: Mix,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.graph.lock().running.end(&self.mix);
    }
}

impl Service for Graph {
    fn name(&self) -> &'static str {
        "call-graph"
    }

    fn dump(&self, now: Moment) -> Value {
        let state = self.lock();
        let callees = state.callees.iter().map(|(route, service)| {
            let level = state.levels.median(now, service);
            (route.to_string(), json!({ "service": service, "level": level }))
        });
        json!({ "callees": callees.collect::<serde_json::Map<_, _>>() })
    }
}
