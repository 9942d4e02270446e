//! Refusal levels: those of the local target, and those that other nodes sent with their answers.
//!
//! A refusal level applies to requests that reach a service through calls, while its targets refuse
//! calls whatever the load. See [overload](../../../../docs/design/overload.md).

use std::collections::HashMap;
use std::time::Duration;

use poplar_core::{
    ImportanceScale, InstanceId, Level, LevelMap, LevelSource, Moment, Name, PathLevel,
    RefusalController, RelayedLevel, RouteDependencies, RouteRule,
};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use serde_json::{Value, json};

use crate::proxy::frame::Call;

/// Time for which the level of an instance counts in the level of its service. It spans the answers
/// of several instances, so that one instance that refuses alone does not count for its service.
const LEVEL_TIME: Duration = Duration::from_millis(400);

/// Label of the counter of refused requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabel {
    route: String,
}

/// Requests refused at this entry by a refusal level, by route.
pub(crate) type RefusedFamily = Family<RouteLabel, Counter>;

/// Requests of one route that a refusal level refused since the last report.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefusedRoute {
    /// Number of refused requests.
    pub(crate) refused: u32,
    /// Fraction of the route's requests that was admitted at the last refusal.
    pub(crate) passing: f64,
}

/// Refusal levels that one node knows.
#[derive(Debug)]
pub(crate) struct RefusalLevels {
    own: RefusalController,
    known: LevelMap,
    routes: HashMap<Name, RefusedRoute>,
    counter: RefusedFamily,
}

impl RefusalLevels {
    /// No refusals known; `ratio` is the number of repeats per call that the retry budget allows.
    pub(crate) fn new(now: Moment, ratio: f64) -> Self {
        Self {
            own: RefusalController::new(now, ratio),
            known: LevelMap::with_fresh_time(ImportanceScale::new([]), LEVEL_TIME),
            routes: HashMap::new(),
            counter: RefusedFamily::default(),
        }
    }

    pub(crate) fn revise(&mut self, scale: ImportanceScale) {
        self.known.revise(scale);
    }

    /// Records whether the local target refused a call.
    pub(crate) fn record_result(&mut self, now: Moment, call: &Call, refused: bool) {
        self.own.record(now, refused, call.begun.then_some(&call.mix));
    }

    /// Records the levels sent with an answer of `instance` of `service`. An answer without a level
    /// of that instance states that it is open.
    pub(crate) fn record_answer(
        &mut self,
        now: Moment,
        service: &Name,
        instance: &InstanceId,
        levels: &[RelayedLevel],
    ) {
        let source = LevelSource::of(instance);
        let is_own = |level: &&RelayedLevel| level.service == *service && level.source == source;
        let own = levels.iter().find(is_own).map_or(Level::OPEN, |level| level.level);
        self.known.record(now, service, instance, own);
        for level in levels.iter().filter(|level| !is_own(level)) {
            self.known.record_relayed(now, level);
        }
    }

    /// Levels to send with an answer of `instance`, the local target, which belongs to `service`.
    pub(crate) fn export(
        &mut self,
        now: Moment,
        service: &Name,
        instance: &InstanceId,
    ) -> Vec<RelayedLevel> {
        let mut levels = self.known.export(now);
        levels.retain(|level| level.service != *service);
        let level = self.own.level(now);
        if level > Level::OPEN {
            let source = LevelSource::of(instance);
            levels.push(RelayedLevel { service: service.clone(), source, level, age: 0 });
        }
        levels
    }

    /// Highest level among the services that requests of `route` reach through calls.
    pub(crate) fn path_level(
        &self,
        now: Moment,
        route: &RouteRule,
        reach: &RouteDependencies,
    ) -> PathLevel {
        reach.path_level(now, &route.name, [], &self.known)
    }

    /// Whether targets of `service` refuse calls, or did so until recently.
    pub(crate) fn is_refusing(&self, now: Moment, service: &Name) -> bool {
        self.known.was_raised(now, service)
    }

    /// Counts a request of `route` that a refusal level refused while it admitted the fraction
    /// `passing`.
    pub(crate) fn record_refused(&mut self, route: &Name, passing: f64) {
        let fresh = RefusedRoute { refused: 0, passing };
        let known = self.routes.entry(route.clone()).or_insert(fresh);
        known.refused += 1;
        known.passing = passing;
        self.counter.get_or_create(&RouteLabel { route: route.to_string() }).inc();
    }

    /// Returns the requests refused since the previous call, by route, and resets their counts.
    pub(crate) fn take_refused(&mut self) -> HashMap<Name, RefusedRoute> {
        std::mem::take(&mut self.routes)
    }

    /// Fraction of the calls sent to the local target that it refused.
    pub(crate) fn refused_fraction(&self) -> f64 {
        self.own.refused_fraction()
    }

    /// Counter of refused requests, for registration with the metrics.
    pub(crate) fn counter(&self) -> RefusedFamily {
        self.counter.clone()
    }

    pub(crate) fn dump(&self, now: Moment) -> Value {
        json!({ "refused": self.own.refused_fraction(), "levels": self.known.export(now) })
    }
}
