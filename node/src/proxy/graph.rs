//! What this node learns of the call graph from the calls that it sees and the answers to them.
//!
//! Beside a target it learns which routes other targets call; at an entry it learns the levels of
//! the services, so that a request which would fail deeper down is refused before any work.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    ImportanceScale, InstanceId, Level, LevelMap, Mix, MixSum, Moment, Name, Origins, Rank,
    RouteRule, Share, Spell,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};

use super::frame::CallAnswer;

/// Lots, of 65,536 in an importance, by which a level is lowered at each hop back, so that one
/// which services tell each other in a circle dies out.
const HOP_LOTS: u32 = 1_024;

/// Who calls a route.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Calls {
    /// Callers outside.
    External,
    /// Targets, the one beside this node among them; the route leads to this service.
    Internal(Name),
}

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
    /// Routes by whether targets call them, by the word of the nodes that run them.
    routes: HashMap<Name, Calls>,
    /// What the target beside this node runs, by importance.
    running: MixSum,
    /// Services that requests are refused for.
    surges: HashMap<Name, Spell>,
}

impl Calls {
    /// Service that the target beside this node calls.
    fn callee(&self) -> Option<&Name> {
        match self {
            Self::External => None,
            Self::Internal(service) => Some(service),
        }
    }
}

impl Graph {
    pub(crate) fn new(clock: Clock) -> Self {
        let state = State {
            origins: Origins::default(),
            levels: LevelMap::new(ImportanceScale::new([])),
            routes: HashMap::new(),
            running: MixSum::default(),
            surges: HashMap::new(),
        };
        Self { clock, state: Mutex::new(state) }
    }

    /// Takes over the importances of a new revision.
    pub(crate) fn revise(&self, scale: ImportanceScale) {
        self.lock().levels.revise(scale);
    }

    /// Counts a call that came to the target beside this node; says whether a target made it, if
    /// that can be told. `services` is the number of services of the installation.
    pub(crate) fn arrived(&self, route: &Name, caller: &Name, services: usize) -> Option<bool> {
        let mut state = self.lock();
        state.origins.count(route, caller);
        state.origins.is_internal(route, services)
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
        let Some(internal) = answer.internal else { return };
        let calls = if internal { Calls::Internal(service.clone()) } else { Calls::External };
        if state.routes.get(route) != Some(&calls) {
            state.routes.insert(route.clone(), calls);
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
        let internal = matches!(state.routes.get(&route.name), Some(Calls::Internal(_)));
        let mean = state.running.mean().filter(|_| internal);
        mean.unwrap_or_else(|| Mix::of(route.importance))
    }

    /// Whether targets make the calls of `route`, as far as this node knows.
    pub(crate) fn is_internal(&self, route: &Name) -> bool {
        matches!(self.lock().routes.get(route), Some(Calls::Internal(_)))
    }

    /// Whether a request of `route` should be refused here, because a service that it may go to,
    /// or one that this service calls, is short of room.
    ///
    /// All shares of a route are refused alike, so that their parts stay what the weights say. A
    /// call of a target is never refused, nor one of a route of which nothing is known.
    pub(crate) fn refuses(&self, service: &Name, route: &RouteRule, rank: Rank) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.routes.get(&route.name) != Some(&Calls::External) {
            return false;
        }
        let admits = |share: &Share| state.levels.level(now, &share.service).admits(rank);
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
        let callees = state.routes.values().filter_map(Calls::callee);
        let deeper = callees.map(|service| state.levels.level(now, service).0).max();
        own.max(Level(deeper.unwrap_or_default().saturating_sub(HOP_LOTS)))
    }

    /// Level of a service as this node knows it.
    pub(crate) fn level(&self, service: &Name) -> Level {
        let now = self.clock.now();
        self.lock().levels.level(now, service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
        let internal = state.routes.iter().filter_map(|(route, calls)| {
            let service = calls.callee()?;
            let level = state.levels.level(now, service);
            Some((route.to_string(), json!({ "service": service, "level": level })))
        });
        json!({ "internal_routes": internal.collect::<serde_json::Map<_, _>>() })
    }
}
