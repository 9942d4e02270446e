//! Metrics of the process, in the Prometheus text format.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use poplar_core::{Moment, Name, Outcome};
use poplar_kernel::{Registry as Services, RegistryError, Service};
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::{Value, json};

use crate::admission::AdmissionController;
use crate::closing::Closer;
use crate::contracts::Contracts;
use crate::directory::Directory;
use crate::executor::Executor;

/// Labels of the counter of answered calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    class: String,
    outcome: &'static str,
    error: &'static str,
}

/// Label of the gauge of members.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

/// Service that counts answers and resends, and reads gauges from other services at each scrape.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    resends: Counter,
    gauges: Gauges,
    contracts: Arc<Contracts>,
    directory: Arc<Directory>,
    admission: Arc<AdmissionController>,
    executor: Arc<Executor>,
}

/// Gauges that are set when the metrics are read.
#[derive(Default)]
struct Gauges {
    in_flight: Gauge,
    queued: Gauge,
    limit: Gauge,
    level: Gauge,
    members: Family<StateLabels, Gauge>,
    revision: Gauge,
    log_lag: Gauge<f64, AtomicU64>,
}

impl Metrics {
    /// Finds the services whose gauges it reads in `services`.
    pub(crate) fn new(services: &Services) -> Result<Self, RegistryError> {
        let answers = Family::default();
        let resends = Counter::default();
        let gauges = Gauges::default();
        let mut registry = Registry::with_prefix("poplar");
        registry.register("calls", "Calls that got their final answer here", answers.clone());
        registry.register("resends", "Sends beyond the first of each call", resends.clone());
        gauges.register(&mut registry);
        services.find::<Closer>("closing")?.register(&mut registry);
        Ok(Self {
            registry,
            answers,
            resends,
            gauges,
            contracts: services.find("contracts")?,
            directory: services.find("directory")?,
            admission: services.find("admission")?,
            executor: services.find("work")?,
        })
    }

    /// Counts the final answer to a call of `class`.
    pub(crate) fn record_answer<A>(&self, class: &Name, outcome: &Outcome<A>) {
        let (outcome, error) = outcome.labels();
        let labels = AnswerLabels { class: class.to_string(), outcome, error };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts `sends` of a call beyond its first.
    pub(crate) fn record_resends(&self, sends: u64) {
        self.resends.inc_by(sends);
    }

    /// Metrics as text; the gauge of the contract revision is that of `customer`.
    pub(crate) fn text(&self, customer: &Name) -> String {
        self.update_gauges(customer);
        let mut text = String::new();
        // Writing into a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn update_gauges(&self, customer: &Name) {
        let load = self.admission.load();
        self.gauges.in_flight.set(i64::from(self.executor.in_flight()));
        self.gauges.queued.set(load.queued as i64);
        self.gauges.limit.set(i64::from(load.limit));
        self.gauges.level.set(u32::from(load.level.rank()).into());
        self.gauges.revision.set(self.contracts.revision(customer).0 as i64);
        self.gauges.log_lag.set(self.contracts.staleness().as_secs_f64());
        for (state, count) in self.directory.counts_by_state() {
            self.gauges.members.get_or_create(&StateLabels { state }).set(count as i64);
        }
    }
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let gauge = |registry: &mut Registry, name, help, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge(registry, "in_flight", "Calls at the target beside this node", &self.in_flight);
        gauge(registry, "queued", "Calls that wait for the target", &self.queued);
        gauge(registry, "limit", "Calls that the target may run at once", &self.limit);
        gauge(registry, "level", "Rank below which calls are refused", &self.level);
        gauge(registry, "contract_revision", "Revision in force", &self.revision);
        registry.register("members", "Members known, by state", self.members.clone());
        let help = "Time since every record of the log of contracts was known";
        registry.register_with_unit("log_lag", help, Unit::Seconds, self.log_lag.clone());
    }
}

impl Service for Metrics {
    fn name(&self) -> &'static str {
        "metrics"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "resends": self.resends.get() })
    }
}
