//! Call graph, learnt from the calls that pass this node and from the answers to them.
//!
//! Each call that the local target makes is attributed to the request that the target runs. Answers
//! report which services a request reached and the admission levels of these services. A request
//! that would be refused deeper in the call graph is refused at its entry, before any work is done.
//! See [overload](../../../../docs/design/overload.md).

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

/// Importance of a call by a target that cannot be attributed to a request. It is the highest one,
/// as work was already done for the request.
const INTERNAL_IMPORTANCE: Importance = Importance(u8::MAX);

/// Service that holds the call graph and decides at the entry which requests are admitted.
#[derive(Debug)]
pub(crate) struct CallGraph {
    clock: Clock,
    /// Service of the local target.
    own_service: Name,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    origins: RouteOrigins,
    levels: LevelMap,
    breaker: RouteBreaker,
    reach: RouteDependencies,
    /// Requests that the local target runs.
    runs: RunningRequests,
    /// Services reached by calls of the local target that could not be attributed to a request, and
    /// when they were last reached.
    unattributed: HashMap<Name, Moment>,
    /// Number of services of the installation.
    service_count: usize,
    /// Current period of refusals of each service that refused requests were sent to.
    shortages: HashMap<Name, Shortage>,
}

/// What the entry of a request found out about its place in the call graph.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    /// Rank for admission: under overload, requests of lower rank are refused first.
    pub(crate) rank: Rank,
    /// Number of requests, by importance, that it represents in the load of the services it
    /// reaches.
    pub(crate) mix: ImportanceMix,
    /// Whether it is a call that a target makes for a request, so that work was already done.
    pub(crate) internal: bool,
    /// Whether it belongs to a request that may have run before.
    pub(crate) repeat: bool,
    /// Identifier of the request at the local target that it belongs to, if known.
    parent: Option<Bytes>,
}

impl CallGraph {
    pub(crate) fn new(clock: Clock, own_service: Name) -> Self {
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
        Self { clock, own_service, state: Mutex::new(state) }
    }

    /// Applies the importances and the number of services of a new revision of the rules.
    pub(crate) fn update_rules(&self, scale: ImportanceScale, service_count: usize) {
        let mut state = self.lock();
        state.levels.revise(scale);
        state.service_count = service_count;
    }

    /// Admits a request that enters at this node and goes to `service`, and determines its context.
    ///
    /// A call that a target makes is always admitted. Refusals are independent of which service of
    /// a weighted split the request goes to, so that the split keeps the configured weights.
    ///
    /// # Errors
    ///
    /// Time after which the caller may retry, if the request is refused: a service that it may
    /// reach is overloaded, or nearly all requests of the route fail.
    pub(crate) fn admit(
        &self,
        service: &Name,
        route: &RouteRule,
        importance: Importance,
        request: &Bytes,
    ) -> Result<RequestContext, Duration> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.origins.record_request(now, &route.name, &self.own_service);
        let rank = Rank::of(importance, RequestId(xxh3_128(request)));
        if let Some(context) = state.internal_context(now, route, request, rank) {
            return Ok(context);
        }
        match state.admit(now, route, rank) {
            Some(fraction) => {
                let mix = ImportanceMix::sampled(importance, fraction);
                Ok(RequestContext { rank, mix, internal: false, repeat: false, parent: None })
            }
            None => {
                let fresh = Shortage::begin(now);
                let shortage = state.shortages.entry(service.clone()).or_insert(fresh);
                shortage.extend(now);
                Err(shortage.retry_after(now, rank.tiebreak(), route.objective))
            }
        }
    }

    /// Sightings to send to other nodes: which routes are requested at instances of which services,
    /// as this node saw itself or received.
    pub(crate) fn export_sightings(&self) -> Vec<Sighting> {
        let now = self.clock.now();
        self.lock().origins.export(now)
    }

    /// Merges sightings that another node sent.
    pub(crate) fn merge_sightings(&self, received: &[Sighting]) {
        let now = self.clock.now();
        self.lock().origins.merge(now, received);
    }

    /// Records the levels and the work reported with an answer of `instance` of `service` to a
    /// request of `route`.
    pub(crate) fn record_answer(
        &self,
        service: &Name,
        instance: &InstanceId,
        route: &Name,
        context: &RequestContext,
        answer: &CallAnswer,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.levels.record(now, service, instance, answer.level);
        for level in &answer.told {
            state.levels.record_relayed(now, level);
        }
        let reached = answer.work.iter().map(|(service, _)| service);
        if !context.internal {
            state.reach.record(now, route, reached.filter(|reached| *reached != service));
            return;
        }
        if let Some(parent) = &context.parent {
            state.runs.add_call(parent, service, answer.ran, &answer.work);
        } else {
            let reached = reached.chain([service]);
            state.unattributed.extend(reached.map(|service| (service.clone(), now)));
        }
    }

    /// Registers a call that the local target starts to run, until the guard is ended or dropped.
    pub(crate) fn begin_run(&self, call: &Call) -> RunGuard<'_> {
        self.lock().runs.begin(&call.request, call.rank, call.mix.clone(), call.repeat);
        RunGuard { graph: self, id: call.request.clone(), began: self.clock.now() }
    }

    /// Levels of services other than that of the local target, to send with an answer.
    pub(crate) fn export_levels(&self) -> Vec<RelayedLevel> {
        let now = self.clock.now();
        let mut levels = self.lock().levels.export(now);
        levels.retain(|level| level.service != self.own_service);
        levels
    }

    /// Records whether a request of `route` that was admitted here completed.
    pub(crate) fn record_outcome(&self, route: &Name, completed: bool) {
        let now = self.clock.now();
        self.lock().breaker.record(now, route, completed);
    }

    /// Routes that are throttled because nearly all of their requests fail, and the fraction of
    /// their requests that is admitted.
    pub(crate) fn throttled_routes(&self) -> Vec<(Name, f64)> {
        let state = self.lock();
        state.breaker.throttled().map(|(route, passing)| (route.clone(), passing)).collect()
    }

    /// Highest known level among the services that a request of `route` reaches, and the fraction
    /// of the route's requests of this importance that is admitted.
    pub(crate) fn path_level(&self, route: &RouteRule, importance: Importance) -> (PathLevel, f64) {
        let now = self.clock.now();
        let state = self.lock();
        let path_level = state.path_level(now, route);
        let fraction = state.admitted_fraction(route, importance, path_level.level);
        (path_level, fraction)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Context of a request that a target makes; none for one of a caller outside the installation,
    /// or while the two cannot be distinguished.
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

    /// Decides whether a request is admitted; returns the fraction of the route's requests that is
    /// admitted, or none if this one is refused.
    fn admit(&mut self, now: Moment, route: &RouteRule, rank: Rank) -> Option<f64> {
        let level = self.path_level(now, route).level;
        let admitted = level.admits(rank) && self.breaker.admits(now, &route.name, rank.tiebreak());
        admitted.then(|| self.admitted_fraction(route, rank.importance(), level))
    }

    /// Fraction of the requests of `route` that is admitted. The level and the breaker both admit
    /// the requests with the highest tiebreaks, so together they admit the smaller of their
    /// fractions.
    fn admitted_fraction(&self, route: &RouteRule, importance: Importance, level: Level) -> f64 {
        level.pass_fraction(importance).min(self.breaker.admitted_fraction(&route.name))
    }

    fn path_level(&self, now: Moment, route: &RouteRule) -> PathLevel {
        let first = route.shares.iter().map(|share| &share.service);
        self.reach.path_level(now, &route.name, first, &self.levels)
    }

    /// Ends a run and returns the work of its calls. Services reached by unattributed calls are
    /// included without work, as the run may have reached them.
    fn end(&mut self, now: Moment, id: &[u8]) -> WorkSum {
        let mut work = self.runs.end(id);
        self.unattributed.retain(|_, at| now.since(*at) < RouteDependencies::RETENTION);
        self.unattributed.keys().for_each(|service| work.add(service, Duration::ZERO));
        work
    }
}

/// Registration of a call that runs at the local target; dropping it ends the run.
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
