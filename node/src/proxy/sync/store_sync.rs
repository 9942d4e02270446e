//! Reads rules and targets from the store, and writes the record of the own target there.
//!
//! A long read returns as soon as there is news, so the store is called as rarely as it can be.
//! When it fails, pauses grow and are drawn at random, because all nodes see the failure at once.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{CrashNews, Moment, Name, Offset, ReadPlan, Reads, TargetRecord, backoff};
use poplar_kernel::Clock;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::proxy::locality::Locality;
use crate::proxy::ports::{NodeConfig, Page, Platform, StoreError, StoreRecord, Stream};
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::target::local_target::LocalTarget;
use crate::proxy::unix_time::unix_time;

/// Longest wait of one read. A store that has fallen silent to this node alone, on a connection that
/// looks alive, is found out after this and the bound on a call; until then others read on trust.
const READ_WAIT: Duration = Duration::from_secs(8);
/// Mean pause after news of targets, so that the changes of a start or a release come in one page.
/// Peers tell each other meanwhile, and the node beside a target that leaves refuses by itself, so
/// that reading later costs a hop at most; reading at once costs a call for each change at each node.
const BATCH_DELAY: Duration = Duration::from_millis(800);

/// Mean pause after the first page of a stream: what was read then mostly names nodes that read
/// for this one, and it need not call the store again.
const FIRST_PAGE_DELAY: Duration = Duration::from_millis(700);
/// Time for which a read may fail before those who rely on this node should look for another; two
/// or three tries.
const FAILURE_TOLERANCE: Duration = Duration::from_millis(600);

/// Beginning of the keys of records that tell which requests ended targets; the rest is the address
/// of the node that wrote it.
const CRASHES_PREFIX: &str = "crashes-";

/// Labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StoreCall {
    call: &'static str,
}

/// Calls that are counted.
const CALL_LABELS: [&str; 6] =
    ["newest_rules", "read_rules", "newest_targets", "read_targets", "publish", "publish_crashes"];

/// Calls to the store by what they ask for.
pub(crate) type StoreCalls = Family<StoreCall, Counter>;

/// Whether the store answers this node, and how often it was called.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    streams: Mutex<[StreamHealth; 2]>,
    calls: StoreCalls,
}

#[derive(Debug, Default, Clone, Copy)]
struct StreamHealth {
    /// Whether a page was read since the reading began.
    page_read: bool,
    /// Since when calls fail.
    failing_since: Option<Moment>,
}

impl StoreHealth {
    /// What was read since the reading began, and does not fail.
    pub(crate) fn current_reads(&self, now: Moment) -> Reads {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = |stream: Stream| {
            let StreamHealth { page_read, failing_since } = streams[stream as usize];
            page_read && failing_since.is_none_or(|since| now.since(since) < FAILURE_TOLERANCE)
        };
        Reads { rules: fresh(Stream::Rules), targets: fresh(Stream::Targets) }
    }

    /// Counters for the metrics.
    pub(crate) fn calls(&self) -> StoreCalls {
        self.calls.clone()
    }

    /// Calls so far, as text: each kind and its number.
    pub(crate) fn call_counts(&self) -> String {
        let counts = CALL_LABELS.map(|call| {
            let count = self.calls.get_or_create(&StoreCall { call }).get();
            format!("{call}={count}")
        });
        counts.join(" ")
    }

    fn record_call(&self, call: &'static str) {
        self.calls.get_or_create(&StoreCall { call }).inc();
    }

    fn record_page(&self, stream: Stream) {
        self.set(stream, |health| *health = StreamHealth { page_read: true, failing_since: None });
    }

    fn record_failure(&self, stream: Stream, now: Moment) {
        self.set(stream, |health| {
            health.failing_since.get_or_insert(now);
        });
    }

    fn reset(&self, stream: Stream) {
        self.set(stream, |health| *health = StreamHealth::default());
    }

    fn set(&self, stream: Stream, change: impl FnOnce(&mut StreamHealth)) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut streams[stream as usize]);
    }
}

/// Follows the store.
pub(crate) struct StoreSync<P> {
    pub(crate) clock: Clock,
    pub(crate) platform: Arc<P>,
    pub(crate) node_config: Arc<NodeConfig>,
    pub(crate) rules: Arc<Rules>,
    pub(crate) roster: Arc<Roster>,
    pub(crate) local_target: Arc<LocalTarget>,
    pub(crate) crashes: Arc<CrashRecords>,
    pub(crate) logger: Logger,
    pub(crate) health: Arc<StoreHealth>,
    /// What this node reads, rather than having it from others.
    pub(crate) plan: watch::Receiver<ReadPlan>,
    /// Set once the records of all targets were read.
    pub(crate) targets_read: watch::Sender<bool>,
}

impl<P: Platform> StoreSync<P> {
    /// Follows the rules for ever.
    pub(crate) async fn follow_rules(self: Arc<Self>) {
        self.follow_stream(Stream::Rules, |page| self.apply_rules(page), Duration::ZERO).await;
    }

    /// Follows the records of targets for ever.
    pub(crate) async fn follow_targets(self: Arc<Self>) {
        self.follow_stream(Stream::Targets, |page| self.apply_targets(page), BATCH_DELAY).await;
    }

    /// Writes the record of the own target whenever it changes, until the store has it.
    pub(crate) async fn publish_target(self: Arc<Self>) {
        let key = self.node_config.record_key();
        loop {
            self.local_target.changed().await;
            let mut failures = 0;
            while let Some(record) = self.local_target.record() {
                let Some(value) = self.encode("publish", &record) else { break };
                if !self.write("publish", &key, value, &mut failures).await {
                    continue;
                }
                self.local_target.record_stored(&record);
                if self.local_target.record().is_some_and(|now| now == record) {
                    break;
                }
            }
        }
    }

    /// Writes which requests must stay refused, whenever this node has seen one crash another target.
    pub(crate) async fn publish_crashes(self: Arc<Self>) {
        let key = Name::new(&format!("{CRASHES_PREFIX}{}", self.node_config.record_key()));
        loop {
            self.crashes.wait_persistent_change().await;
            let mut failures = 0;
            let current = || (unix_time(), self.crashes.export_persistent());
            while let Some(value) = self.encode("publish_crashes", &current()) {
                if self.write("publish_crashes", &key, value, &mut failures).await {
                    break;
                }
            }
        }
    }

    fn encode(&self, call: &'static str, record: &impl Serialize) -> Option<Bytes> {
        match rmp_serde::to_vec(record) {
            Ok(value) => Some(Bytes::from(value)),
            Err(error) => {
                warn!(self.logger, "store: record not written"; "call" => call, "error" => %error);
                None
            }
        }
    }

    /// Tries once to write a record, and pauses after a failure; says whether the store has it.
    async fn write(
        &self,
        call: &'static str,
        key: &Name,
        value: Bytes,
        failures: &mut u32,
    ) -> bool {
        self.health.record_call(call);
        match self.platform.publish(key, value).await {
            Ok(()) => {
                *failures = 0;
                true
            }
            Err(error) => {
                self.log_failure(call, *failures, &error);
                tokio::time::sleep(backoff(*failures, fastrand::u64(..))).await;
                *failures += 1;
                false
            }
        }
    }

    /// Follows a stream for ever, with pauses while others read for this node.
    async fn follow_stream(&self, stream: Stream, take: impl Fn(&Page), gather: Duration) {
        let mut plan = self.plan.clone();
        loop {
            if plan.wait_for(|plan| plan_includes(plan, stream)).await.is_err() {
                return;
            }
            tokio::select! {
                () = self.read_stream(stream, &take, gather) => {}
                _ = plan.wait_for(|plan| !plan_includes(plan, stream)) => {}
            }
            self.health.reset(stream);
            info!(self.logger, "store: reading stopped"; "stream" => ?stream);
        }
    }

    async fn read_stream(&self, stream: Stream, take: impl Fn(&Page), gather: Duration) {
        let mut next: Option<Offset> = None;
        let mut failures = 0;
        loop {
            self.health.record_call(call_label(stream, next));
            let page = match next {
                None => self.platform.newest(stream).await,
                Some(from) => self.platform.read(stream, from, READ_WAIT).await,
            };
            match page {
                Ok(page) => {
                    if failures > 0 {
                        info!(self.logger, "store: regained"; "stream" => ?stream);
                    }
                    failures = 0;
                    take(&page);
                    self.health.record_page(stream);
                    let first = next.replace(page.next_offset).is_none();
                    if first || !page.records.is_empty() {
                        let pause = if first { gather.max(FIRST_PAGE_DELAY) } else { gather };
                        // Spread, because the news wakes all readers at the same moment.
                        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                    }
                }
                Err(StoreError::Truncated) => next = None,
                Err(error) => {
                    self.health.record_failure(stream, self.clock.now());
                    self.log_failure("read", failures, &error);
                    tokio::time::sleep(backoff(failures, fastrand::u64(..))).await;
                    failures += 1;
                }
            }
        }
    }

    fn apply_rules(&self, page: &Page) {
        for record in &page.records {
            match self.platform.decode_rules(record) {
                Ok(Some(rules)) => {
                    let revision = rules.revision;
                    let taken = self.rules.install(self.clock.now(), rules);
                    info!(self.logger, "rules: read"; "revision" => revision.0, "in_force" => taken);
                }
                Ok(None) => {}
                Err(error) => {
                    warn!(self.logger, "rules: record ignored"; "key" => %record.key,
                        "error" => error);
                }
            }
        }
    }

    fn apply_targets(&self, page: &Page) {
        for record in &page.records {
            self.apply_target(record);
        }
        if !*self.targets_read.borrow() {
            let own = self.node_config.record_key();
            let records = self.roster.records();
            if let Some(record) = records.iter().find(|record| record.peer == own) {
                self.local_target.adopt(record, true);
            }
            self.targets_read.send_replace(true);
        }
    }

    fn apply_target(&self, record: &StoreRecord) {
        let Some(value) = &record.value else {
            self.roster.remove(&record.key);
            return;
        };
        if record.key.as_str().starts_with(CRASHES_PREFIX) {
            self.apply_crashes(record, value);
            return;
        }
        match rmp_serde::from_slice::<TargetRecord>(value) {
            Ok(target) if target.peer == record.key => {
                if self.roster.merge(target.clone()) {
                    info!(self.logger, "roster: changed"; "instance" => %target.instance,
                        "service" => %target.service, "stage" => ?target.stage,
                        "born" => target.age.born, "sequence" => target.age.sequence);
                }
            }
            Ok(_) | Err(_) => {
                warn!(self.logger, "roster: record ignored"; "key" => %record.key);
            }
        }
    }

    fn apply_crashes(&self, record: &StoreRecord, value: &[u8]) {
        match rmp_serde::from_slice::<(Duration, CrashNews)>(value) {
            // A clock that was set back makes what was written no older than just now.
            Ok((written, told)) => {
                let told = told.aged(unix_time().saturating_sub(written));
                // The readers of the other zones have it from the store as well.
                self.crashes.merge(&told, Locality::SameZone);
            }
            Err(error) => {
                warn!(self.logger, "crashes: record ignored"; "key" => %record.key, "error" => %error);
            }
        }
    }

    /// Logs the first failure of a row; the others follow from it.
    fn log_failure(&self, what: &'static str, failures: u32, error: &StoreError) {
        if failures == 0 {
            warn!(self.logger, "store: lost"; "call" => what, "error" => %error);
        }
    }
}

fn plan_includes(plan: &ReadPlan, stream: Stream) -> bool {
    match stream {
        Stream::Rules => plan.reads.rules,
        Stream::Targets => plan.reads.targets,
    }
}

/// Name of a read in the metrics.
fn call_label(stream: Stream, from: Option<Offset>) -> &'static str {
    match (stream, from) {
        (Stream::Rules, None) => "newest_rules",
        (Stream::Rules, Some(_)) => "read_rules",
        (Stream::Targets, None) => "newest_targets",
        (Stream::Targets, Some(_)) => "read_targets",
    }
}
