//! Metrics of the data plane in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poplar_core::{Moment, Name, Outcome};
use poplar_kernel::Service;
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use serde_json::{Value, json};

use super::decisions::DecisionLog;
use crate::admission::AdmissionController;
use crate::proxy::callers::end_cause::{EndCause, EndLabels};
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::callers::read_ahead::ReadAheadTotals;
use crate::proxy::links::traffic::Traffic;
use crate::proxy::state::quotas::Quotas;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::sync::store_sync::StoreHealth;

/// Upper bounds of the latency histogram's buckets, in seconds. They range from the latency of one
/// hop to the longest timeouts that operators set.
const LATENCY_BOUNDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Labels of the counter of answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    route: String,
    outcome: &'static str,
    error: &'static str,
}

/// Label of the latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// Kernel service that holds the metrics registry.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<AnswerLabels, Counter>,
    latency: Family<RouteLabels, Histogram, fn() -> Histogram>,
    unanswered: Family<EndLabels, Counter>,
    gauges: Gauges,
    admission: Arc<AdmissionController>,
    roster: Arc<Roster>,
    rules: Arc<Rules>,
}

/// Gauges that are updated when the metrics are scraped.
#[derive(Default)]
struct Gauges {
    queued: Gauge,
    limit: Gauge,
    rate_limit: Gauge<f64, AtomicU64>,
    level: Gauge,
    targets: Gauge,
    revision: Gauge,
}

impl Metrics {
    pub(crate) fn new(
        admission: Arc<AdmissionController>,
        roster: Arc<Roster>,
        rules: Arc<Rules>,
        decisions: &DecisionLog,
        stats: &EntryStats,
        traffic: &Traffic,
        health: &StoreHealth,
    ) -> Self {
        let mut registry = Registry::with_prefix("poplar");
        let requests = Family::<AnswerLabels, Counter>::default();
        let latency: Family<RouteLabels, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(histogram);
        let gauges = Gauges::default();
        registry.register("requests", "Requests answered here", requests.clone());
        let help = "Time from the head of a request to its answer";
        registry.register_with_unit("request", help, Unit::Seconds, latency.clone());
        let unanswered = Family::<EndLabels, Counter>::default();
        let help = "Connections of callers that ended with requests unanswered, by who closed them";
        registry.register("unanswered_connections", help, unanswered.clone());
        let help = "Log lines about requests that the bound left out";
        registry.register("log_lines_dropped", help, decisions.dropped());
        let help = "Slot time of requests that ended here, with that of their calls";
        registry.register_with_unit("work", help, Unit::Seconds, stats.work_counters());
        let help = "Bytes handed to links to other nodes";
        registry.register_with_unit("links_sent", help, Unit::Bytes, traffic.family());
        let help = "Bytes queued on links to other nodes and not written yet";
        registry.register_with_unit(
            "links_unwritten",
            help,
            Unit::Bytes,
            traffic.unwritten_gauge(),
        );
        let help = "Answers that their link to another node had no room for";
        registry.register("links_answers_not_sent", help, traffic.not_sent());
        registry.register("store_calls", "Calls to the store", health.calls());
        gauges.register(&mut registry);
        let registry = Mutex::new(registry);
        Self { registry, requests, latency, unanswered, gauges, admission, roster, rules }
    }

    /// Adds the metrics of another part.
    pub(crate) fn extend(&self, register: impl FnOnce(&mut Registry)) {
        register(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Adds the counters of requests that are read ahead.
    pub(crate) fn add_read_ahead(&self, read_ahead: &ReadAheadTotals) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let help = "Requests started before the ones in front of them were answered";
        registry.register("read_ahead_started", help, read_ahead.started());
        let help = "Requests started ahead whose connection ended before their turn";
        registry.register("read_ahead_cancelled", help, read_ahead.cancelled());
        let help = "Times that a limit stopped the reading ahead on a connection";
        registry.register("read_ahead_limited", help, read_ahead.limited());
    }

    /// Adds the metrics of the rate limits of workspaces.
    pub(crate) fn register_quotas(&self, quotas: &Quotas) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let help = "Requests refused here because of the limit of their workspace";
        registry.register("workspace_refused", help, quotas.refused_counters());
        let help = "Tokens in the buckets of workspaces that this node holds";
        registry.register("workspace_tokens", help, quotas.owned_gauges());
    }

    /// Records the final outcome of a request and its latency.
    pub(crate) fn record_answer<A>(&self, route: &Name, outcome: &Outcome<A>, took: Duration) {
        let (outcome, error) = outcome.labels();
        let labels = AnswerLabels { route: route.to_string(), outcome, error };
        self.requests.get_or_create(&labels).inc();
        let labels = RouteLabels { route: route.to_string() };
        self.latency.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Records that a caller's connection ended with requests unanswered.
    pub(crate) fn record_connection_end(&self, cause: EndCause) {
        self.unanswered.get_or_create(&cause.labels()).inc();
    }

    /// Updates the gauges and renders all metrics.
    pub(crate) fn render(&self) -> String {
        let load = self.admission.load();
        self.gauges.queued.set(load.queued as i64);
        self.gauges.limit.set(i64::from(load.limit));
        self.gauges.rate_limit.set(load.rate.map_or(f64::NAN, f64::from));
        self.gauges.level.set(u32::from(load.level.rank()).into());
        self.gauges.targets.set(self.roster.len() as i64);
        self.gauges.revision.set(self.rules.revision().0 as i64);
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        registry.register("queued", "Calls that wait for the target", self.queued.clone());
        registry.register("limit", "Calls that the target may run at once", self.limit.clone());
        let help = "Calls a second that the target states it takes; not a number if it states none";
        registry.register("rate_limit", help, self.rate_limit.clone());
        registry.register("level", "Rank below which calls are refused", self.level.clone());
        registry.register("targets", "Targets known", self.targets.clone());
        registry.register("revision", "Revision of the rules in force", self.revision.clone());
    }
}

impl Service for Metrics {
    fn name(&self) -> &'static str {
        "metrics"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({})
    }
}

fn histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS)
}
