//! What this node learns of the call graph from the calls that it sees and the answers to them.
//!
//! A call of the target beside this node is put down to the request that it belongs to. Answers
//! tell which services a request reached and at which levels these stand, so that a request which
//! would fail deeper down is refused before any work. See [overload](../../../../docs/design/overload.md).

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    Importance, ImportanceMix, ImportanceScale, InstanceId, Level, LevelMap, Moment, Name,
    PathLevel, Rank, RelayedLevel, RequestId, RouteBreaker, RouteDependencies, RouteOrigins,
    RouteRule, RunningRequests, Shortage, Sighting, WorkSum,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_128;

use crate::proxy::frame::{Call, CallAnswer};

/// Importance of a call for which work was done already but whose request is not known.
const INTERNAL_IMPORTANCE: Importance = Importance(u8::MAX);

/// Service that holds what was learnt.
#[derive(Debug)]
pub(crate) struct CallGraph {
    clock: Clock,
    /// Service of the target beside this node.
    own_service: Name,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    origins: RouteOrigins,
    levels: LevelMap,
    breaker: RouteBreaker,
    reach: RouteDependencies,
    /// Requests that the target beside this node runs.
    runs: RunningRequests,
    /// Services that calls of unknown requests of this target reached, and when.
    unattributed: HashMap<Name, Moment>,
    /// Services of the installation.
    service_count: usize,
    /// Services that requests are refused for.
    shortages: HashMap<Name, Shortage>,
}

/// Place of a request in the call graph, as its entry found it.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    /// Place in the order of survival.
    pub(crate) rank: Rank,
    /// Requests that it stands for.
    pub(crate) mix: ImportanceMix,
    /// Whether it is a call of a request for which work was done already.
    pub(crate) internal: bool,
    /// Whether it belongs to a request that may have run before.
    pub(crate) repeat: bool,
    /// Request of the target beside this node that it belongs to.
    parent: Option<Bytes>,
}

impl CallGraph {
    pub(crate) fn new(clock: Clock, own: Name) -> Self {
        let state = State {
            origins: RouteOrigins::default(),
            levels: LevelMap::new(ImportanceScale::new([])),
            breaker: RouteBreaker::default(),
            reach: RouteDependencies::default(),
            runs: RunningRequests::default(),
            unattributed: HashMap::new(),
            service_count: 0,
            shortages: HashMap::new(),
        };
        Self { clock, own_service: own, state: Mutex::new(state) }
    }

    /// Takes over the importances and the number of services of a new revision.
    pub(crate) fn update_rules(&self, scale: ImportanceScale, services: usize) {
        let mut state = self.lock();
        state.levels.revise(scale);
        state.service_count = services;
    }

    /// Finds the place of a request that enters here and goes to `service`.
    ///
    /// # Errors
    ///
    /// Time to come back, if the request should not begin because a service that it may reach is
    /// short of room. A call of a target is never refused. All shares of a route are refused
    /// alike, so that their parts stay what the weights say.
    pub(crate) fn admit(
        &self,
        service: &Name,
        route: &RouteRule,
        request: &Bytes,
    ) -> Result<RequestContext, Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.origins.record_request(now, &route.name, &self.own_service);
        let rank = Rank::of(route.importance, RequestId(xxh3_128(request)));
        if let Some(standing) = state.internal_context(now, route, request, rank) {
            return Ok(standing);
        }
        match state.admit(now, route, rank) {
            Some(passed) => {
                let mix = ImportanceMix::sampled(route.importance, passed);
                Ok(RequestContext { rank, mix, internal: false, repeat: false, parent: None })
            }
            None => {
                let fresh = Shortage::begin(now);
                let spell = state.shortages.entry(service.clone()).or_insert(fresh);
                spell.extend(now);
                Err(spell.retry_after(now, rank.tiebreak(), route.objective))
            }
        }
    }

    /// What this node tells others of the requests that it saw or heard of.
    pub(crate) fn export_sightings(&self) -> Vec<Sighting> {
        let now = self.clock.now();
        self.lock().origins.export(now)
    }

    /// Takes in what another node tells.
    pub(crate) fn merge_sightings(&self, told: &[Sighting]) {
        let now = self.clock.now();
        self.lock().origins.merge(now, told);
    }

    /// Takes in what came with an answer of `instance` to a request of `route` to `service`.
    pub(crate) fn record_answer(
        &self,
        service: &Name,
        instance: &InstanceId,
        route: &Name,
        standing: &RequestContext,
        answer: &CallAnswer,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.levels.record(now, service, instance, answer.level);
        for told in &answer.told {
            state.levels.record_relayed(now, told);
        }
        let reached = answer.work.iter().map(|(service, _)| service);
        if !standing.internal {
            state.reach.record(now, route, reached.filter(|reached| *reached != service));
            return;
        }
        if let Some(parent) = &standing.parent {
            state.runs.add_call(parent, service, answer.ran, &answer.work);
        } else {
            let reached = reached.chain([service]);
            state.unattributed.extend(reached.map(|service| (service.clone(), now)));
        }
    }

    /// Counts a call that the target beside this node runs until the result is ended or dropped.
    pub(crate) fn begin_run(&self, call: &Call) -> RunGuard<'_> {
        self.lock().runs.begin(&call.request, call.rank, call.mix.clone(), call.repeat);
        RunGuard { graph: self, id: call.request.clone(), began: self.clock.now() }
    }

    /// Levels of other services to send back with an answer.
    pub(crate) fn export_levels(&self) -> Vec<RelayedLevel> {
        let now = self.clock.now();
        let mut told = self.lock().levels.export(now);
        told.retain(|told| told.service != self.own_service);
        told
    }

    /// Takes in whether a request of `route` that was let in here completed.
    pub(crate) fn record_outcome(&self, route: &Name, completed: bool) {
        let now = self.clock.now();
        self.lock().breaker.record(now, route, completed);
    }

    /// Routes of which nearly all requests fail, and the part of them that is let in.
    pub(crate) fn throttled_routes(&self) -> Vec<(Name, f64)> {
        let state = self.lock();
        state.breaker.throttled().map(|(route, passing)| (route.clone(), passing)).collect()
    }

    /// Highest level that a request of `route` meets, as this node knows it, and the part of the
    /// route's requests that is let in.
    pub(crate) fn barrier(&self, route: &RouteRule) -> (PathLevel, f64) {
        let now = self.clock.now();
        let state = self.lock();
        let barrier = state.barrier(now, route);
        let passing = state.admitted_fraction(route, barrier.level);
        (barrier, passing)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Place of a request that a target makes; none for one that enters from outside.
    fn internal_context(
        &self,
        now: Moment,
        route: &RouteRule,
        request: &Bytes,
        rank: Rank,
    ) -> Option<RequestContext> {
        if let Some((parent, run)) = self.runs.parent(request) {
            let parent = Some(request.slice(..parent.len()));
            let (mix, repeat) = (run.mix.clone(), run.repeat);
            return Some(RequestContext { rank: run.rank, mix, internal: true, repeat, parent });
        }
        if self.origins.is_internal(now, &route.name, self.service_count) != Some(true) {
            return None;
        }
        let mix = self.runs.mean_mix().unwrap_or_else(|| ImportanceMix::of(route.importance));
        let rank = Rank::at(INTERNAL_IMPORTANCE, rank.tiebreak());
        Some(RequestContext { rank, mix, internal: true, repeat: false, parent: None })
    }

    /// Part of the requests of `route` that is let in, if this one is among it.
    fn admit(&mut self, now: Moment, route: &RouteRule, rank: Rank) -> Option<f64> {
        let level = self.barrier(now, route).level;
        let admitted = level.admits(rank) && self.breaker.admits(now, &route.name, rank.tiebreak());
        admitted.then(|| self.admitted_fraction(route, level))
    }

    /// Part of the requests of `route` that is let in. Levels and the breaker both let in the highest
    /// lots, so together they pass the smaller part.
    fn admitted_fraction(&self, route: &RouteRule, level: Level) -> f64 {
        level.pass_fraction(route.importance).min(self.breaker.admitted_fraction(&route.name))
    }

    fn barrier(&self, now: Moment, route: &RouteRule) -> PathLevel {
        let first = route.shares.iter().map(|share| &share.service);
        self.reach.path_level(now, &route.name, first, &self.levels)
    }

    /// Work of a run's own calls; services that calls of unknown requests reached count as reached.
    fn end(&mut self, now: Moment, id: &[u8]) -> WorkSum {
        let mut work = self.runs.end(id);
        self.unattributed.retain(|_, at| now.since(*at) < RouteDependencies::RETENTION);
        self.unattributed.keys().for_each(|service| work.add(service, Duration::ZERO));
        work
    }
}

/// Call that runs at the target beside this node.
pub(crate) struct RunGuard<'a> {
    graph: &'a CallGraph,
    id: Bytes,
    began: Moment,
}

impl RunGuard<'_> {
    /// Ends the run; returns its slot time and the work of its calls.
    pub(crate) fn end(self) -> (Duration, WorkSum) {
        let now = self.graph.clock.now();
        let work = self.graph.lock().end(now, &self.id);
        (now.since(self.began), work)
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.graph.lock().runs.end(&self.id);
    }
}

impl Service for CallGraph {
    fn name(&self) -> &'static str {
        "call-graph"
    }

    fn dump(&self, now: Moment) -> Value {
        let state = self.lock();
        json!({ "levels": state.levels.export(now), "reach": state.reach })
    }
}
