//! What this node learns of the call graph from the calls that it sees and the answers to them.
//!
//! Beside a target it learns which routes other targets call; at an entry it learns the levels of
//! the services, so that a request which would fail deeper down is refused before any work.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    ImportanceScale, InstanceId, Level, LevelMap, Moment, Name, Origins, Rank, Spell,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};

use super::frame::CallAnswer;

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
    /// Routes that targets call, by the word of the nodes that run them.
    internal: HashSet<Name>,
    /// Services that the target beside this node calls.
    callees: BTreeSet<Name>,
    /// Services that requests are refused for.
    surges: HashMap<Name, Spell>,
}

impl Graph {
    pub(crate) fn new(clock: Clock) -> Self {
        let state = State {
            origins: Origins::default(),
            levels: LevelMap::new(ImportanceScale::new([])),
            internal: HashSet::new(),
            callees: BTreeSet::new(),
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
        match answer.internal {
            Some(true) if !state.internal.contains(route) => {
                state.internal.insert(route.clone());
                state.callees.insert(service.clone());
            }
            Some(false) => {
                state.internal.remove(route);
            }
            Some(true) | None => {}
        }
    }

    /// Whether targets make the calls of `route`, as far as this node knows.
    pub(crate) fn is_internal(&self, route: &Name) -> bool {
        self.lock().internal.contains(route)
    }

    /// Whether a request should be refused here, because `service` or one that it calls is short
    /// of room; a call of a target never is.
    pub(crate) fn refuses(&self, service: &Name, route: &Name, rank: Rank) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.internal.contains(route) || state.levels.level(now, service).admits(rank) {
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
        state.levels.joined(now, own, &state.callees)
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

impl Service for Graph {
    fn name(&self) -> &'static str {
        "call-graph"
    }

    fn dump(&self, now: Moment) -> Value {
        let state = self.lock();
        let levels: serde_json::Map<_, _> = state
            .callees
            .iter()
            .map(|name| (name.to_string(), json!(state.levels.level(now, name))))
            .collect();
        json!({ "internal_routes": state.internal.iter().collect::<Vec<_>>(), "callees": levels })
    }
}
