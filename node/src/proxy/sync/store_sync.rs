//! Reads rules, target records and crash records from the store, and writes this node's records.
//!
//! Reads are long polls, which return as soon as there are new records, to call the store rarely.
//! After failures, calls are repeated with growing random pauses, because all nodes see a
//! failure of the store at the same time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    CrashNews, Era, Moment, Name, ReadCall, ReadPlan, Reads, StreamCursor, TargetRecord, backoff,
};
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
use crate::proxy::state::roster::{Roster, is_plausible};
use crate::proxy::state::rules::Rules;
use crate::proxy::target::local_target::LocalTarget;
use crate::proxy::unix_time::unix_time;

/// Longest wait of one read. If the store stops answering only this node, on a connection that
/// looks alive, the node detects it after this time and the timeout of a call. Until then, other
/// nodes rely on it to read for them.
const READ_WAIT: Duration = Duration::from_secs(8);
/// Mean pause after a page with target records, so that the changes of a start or a release arrive
/// in one page. Nodes send each other changes meanwhile, and the node beside a leaving target
/// refuses calls itself, so a late read costs at most one hop. Reading at once would cost a call to
/// the store for each change at each node.
const BATCH_DELAY: Duration = Duration::from_millis(800);

/// Mean pause after the first page of a stream. That page usually names nodes that read the store
/// for this one, so that it need not call the store again.
const FIRST_PAGE_DELAY: Duration = Duration::from_millis(700);
/// Time for which the reads of a stream may fail before this node stops reporting that it reads the
/// stream, so that its subscribers choose another source; two or three attempts.
const FAILURE_TOLERANCE: Duration = Duration::from_millis(600);

/// Prefix of the keys of crash records; the rest of a key is the address of the node that wrote the
/// record.
const CRASHES_PREFIX: &str = "crashes-";

/// Metric labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StoreCall {
    call: &'static str,
}

/// Values of the `call` label.
const CALL_LABELS: [&str; 6] =
    ["newest_rules", "read_rules", "newest_targets", "read_targets", "publish", "publish_crashes"];

/// Counters of the calls to the store, by kind of call.
pub(crate) type StoreCalls = Family<StoreCall, Counter>;

/// Whether reads of each stream succeed, and the number of calls to the store.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    streams: Mutex<[StreamHealth; 2]>,
    calls: StoreCalls,
}

#[derive(Debug, Default, Clone, Copy)]
struct StreamHealth {
    /// Whether a page was read since this node started to read the stream.
    page_read: bool,
    /// Time of the first failure since the last page; none if the last call succeeded.
    failing_since: Option<Moment>,
}

impl StoreHealth {
    /// Streams that this node reads successfully: a page was read since it started to read, and
    /// reads have not failed for longer than [`FAILURE_TOLERANCE`].
    pub(crate) fn current_reads(&self, now: Moment) -> Reads {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let current = |stream: Stream| {
            let StreamHealth { page_read, failing_since } = streams[stream as usize];
            page_read && failing_since.is_none_or(|since| now.since(since) < FAILURE_TOLERANCE)
        };
        Reads { rules: current(Stream::Rules), targets: current(Stream::Targets) }
    }

    /// Counters, to register with the metrics.
    pub(crate) fn calls(&self) -> StoreCalls {
        self.calls.clone()
    }

    /// Number of calls of each kind so far, as text for a log line.
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

/// Keeps the state of this node in step with the store.
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
    /// Which streams this node reads itself instead of receiving their records from other nodes.
    pub(crate) plan: watch::Receiver<ReadPlan>,
    /// Set to true once the records of all targets have been read.
    pub(crate) targets_read: watch::Sender<bool>,
}

impl<P: Platform> StoreSync<P> {
    /// Reads the rules whenever the plan says so; returns when the process exits.
    pub(crate) async fn follow_rules(self: Arc<Self>) {
        self.follow_stream(Stream::Rules, |page| self.apply_rules(page), Duration::ZERO).await;
    }

    /// Reads target records and crash records whenever the plan says so; returns when the process
    /// exits.
    pub(crate) async fn follow_targets(self: Arc<Self>) {
        self.follow_stream(Stream::Targets, |page| self.apply_targets(page), BATCH_DELAY).await;
    }

    /// Logs each return of the store from an older copy; returns when the process exits.
    pub(crate) async fn log_eras(self: Arc<Self>) {
        let mut eras = self.platform.era();
        let mut known: Option<Era> = *eras.borrow_and_update();
        while eras.changed().await.is_ok() {
            let era = *eras.borrow_and_update();
            if let (Some(before), Some(now)) = (known, era) {
                warn!(self.logger, "store: came back from an older copy";
                    "era_before" => before.0, "era" => now.0);
            }
            known = era;
        }
    }

    /// Writes the record of the local target to the store whenever it changes, and repeats the
    /// write until it succeeds.
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

    /// Writes the refused requests to the store whenever this node has seen one of them crash a
    /// target, and repeats the write until it succeeds.
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
                warn!(self.logger, "store: record not encoded"; "call" => call, "error" => %error);
                None
            }
        }
    }

    /// Writes a record once, and waits for the backoff after a failure; returns whether the write
    /// succeeded.
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
                pause_after_failure(failures).await;
                false
            }
        }
    }

    /// Reads a stream while the plan includes it; returns when the plan's sender is dropped.
    async fn follow_stream(&self, stream: Stream, apply: impl Fn(&Page), batch_delay: Duration) {
        let mut plan = self.plan.clone();
        loop {
            if plan.wait_for(|plan| self.must_read(plan, stream)).await.is_err() {
                return;
            }
            tokio::select! {
                () = self.read_stream(stream, &apply, batch_delay) => {}
                () = self.wait_while_required(&mut plan, stream) => {}
            }
            self.health.reset(stream);
            info!(self.logger, "store: reading stopped"; "stream" => ?stream);
        }
    }

    /// Whether this node must read a stream itself: the plan includes it, or it has not read the
    /// records of targets yet, without which it is not ready, whoever else reads them.
    fn must_read(&self, plan: &ReadPlan, stream: Stream) -> bool {
        plan_includes(plan, stream) || (stream == Stream::Targets && !*self.targets_read.borrow())
    }

    /// Waits as long as this node must read a stream itself, as [`Self::must_read`] says.
    async fn wait_while_required(&self, plan: &mut watch::Receiver<ReadPlan>, stream: Stream) {
        if stream == Stream::Targets {
            // The sender is a field of this value.
            let _ = self.targets_read.subscribe().wait_for(|read| *read).await;
        }
        // Without a sender the process is about to exit.
        let _ = plan.wait_for(|plan| !plan_includes(plan, stream)).await;
    }

    /// Reads a stream until it is cancelled.
    async fn read_stream(&self, stream: Stream, apply: impl Fn(&Page), batch_delay: Duration) {
        let mut cursor = StreamCursor::default();
        let mut failures = 0;
        loop {
            let call = cursor.next_call();
            self.health.record_call(call_label(stream, call));
            let page = tokio::select! {
                // The answer to this call itself may state a later era.
                biased;
                page = self.read(stream, call) => page,
                () = self.wait_outdated(&cursor) => Err(StoreError::InvalidPosition),
            };
            match page {
                Ok(page) => {
                    if !cursor.on_page(self.era(), call, page.next) {
                        info!(self.logger, "store: records of another era discarded";
                            "stream" => ?stream, "era" => page.next.era.0);
                        self.after_discard(stream, call, &mut failures).await;
                        continue;
                    }
                    if failures > 0 {
                        info!(self.logger, "store: reachable again"; "stream" => ?stream);
                    }
                    failures = 0;
                    apply(&page);
                    self.health.record_page(stream);
                    let first = call == ReadCall::Newest;
                    if first || !page.records.is_empty() {
                        let pause =
                            if first { batch_delay.max(FIRST_PAGE_DELAY) } else { batch_delay };
                        // Jitter, because new records wake all readers at the same moment.
                        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                    }
                }
                Err(StoreError::InvalidPosition) => {
                    info!(self.logger, "store: position not valid any more"; "stream" => ?stream);
                    cursor.on_invalid();
                    self.after_discard(stream, call, &mut failures).await;
                }
                Err(error) => {
                    cursor.on_failure();
                    self.health.record_failure(stream, self.clock.now());
                    self.log_failure("read", failures, &error);
                    pause_after_failure(&mut failures).await;
                }
            }
        }
    }

    /// Counts a failure if the discarded answer was to a read of the newest records: parts of the
    /// store are in different eras, and the next call is the same one.
    async fn after_discard(&self, stream: Stream, call: ReadCall, failures: &mut u32) {
        if call == ReadCall::Newest {
            self.health.record_failure(stream, self.clock.now());
            pause_after_failure(failures).await;
        }
    }

    async fn read(&self, stream: Stream, call: ReadCall) -> Result<Page, StoreError> {
        match call {
            ReadCall::Newest => self.platform.newest(stream).await,
            ReadCall::Follow(from) => self.platform.read(stream, from, READ_WAIT).await,
            ReadCall::Verify(from) => self.platform.read(stream, from, Duration::ZERO).await,
        }
    }

    /// Latest era that the store has stated; zero if it has stated none.
    fn era(&self) -> Era {
        self.platform.era().borrow().unwrap_or_default()
    }

    /// Waits until the store states an era later than that of the position of `cursor`.
    async fn wait_outdated(&self, cursor: &StreamCursor) {
        let mut era = self.platform.era();
        let outdated = era.wait_for(|era| cursor.is_outdated(era.unwrap_or_default()));
        if outdated.await.is_err() {
            // The platform does not state eras any more, so none is outdated.
            std::future::pending().await
        }
    }

    fn apply_rules(&self, page: &Page) {
        for record in &page.records {
            match self.platform.decode_rules(record) {
                Ok(Some(rules)) => {
                    let revision = rules.revision;
                    let installed = self.rules.install(self.clock.now(), rules);
                    info!(self.logger, "rules: read"; "revision" => revision.0, "in_force" => installed);
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
            let key = self.node_config.record_key();
            let records = self.roster.records();
            if let Some(record) = records.iter().find(|record| record.peer == key) {
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
            Ok(target) if target.peer == record.key && is_plausible(&target, unix_time()) => {
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
            // If the wall clock was set back, the record counts as written just now.
            Ok((written, crashes)) => {
                let crashes = crashes.aged(unix_time().saturating_sub(written));
                // The readers of the other zones read the record from the store as well.
                self.crashes.merge(&crashes, Locality::SameZone);
            }
            Err(error) => {
                warn!(self.logger, "crashes: record ignored"; "key" => %record.key, "error" => %error);
            }
        }
    }

    /// Logs the first failure of a series; repeated failures are not logged.
    fn log_failure(&self, call: &'static str, failures: u32, error: &StoreError) {
        if failures == 0 {
            warn!(self.logger, "store: call failed"; "call" => call, "error" => %error);
        }
    }
}

fn plan_includes(plan: &ReadPlan, stream: Stream) -> bool {
    match stream {
        Stream::Rules => plan.reads.rules,
        Stream::Targets => plan.reads.targets,
    }
}

/// Counts a failed call, and waits for the backoff.
async fn pause_after_failure(failures: &mut u32) {
    tokio::time::sleep(backoff(*failures, fastrand::u64(..))).await;
    *failures += 1;
}

/// Label of a read in the metrics.
fn call_label(stream: Stream, call: ReadCall) -> &'static str {
    match (stream, call) {
        (Stream::Rules, ReadCall::Newest) => "newest_rules",
        (Stream::Rules, ReadCall::Follow(_) | ReadCall::Verify(_)) => "read_rules",
        (Stream::Targets, ReadCall::Newest) => "newest_targets",
        (Stream::Targets, ReadCall::Follow(_) | ReadCall::Verify(_)) => "read_targets",
    }
}
