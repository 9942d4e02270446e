//! Memory for answers that are held for callers, and the callers' connections; see
//! [memory](../../../docs/design/memory.md).

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    Accepted, ConnectionId, LingerTime, MemoryBudget, MemoryLimits, MemoryUse, Moment, Name, Room,
};
use poplar_kernel::{Clock, Service};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use serde_json::{Value, json};
use slog::{Logger, warn};
use tokio::sync::{Notify, OwnedSemaphorePermit};

use crate::closing::Registration;

/// Divisor of the memory of the process that gives the memory for answers held for callers. It is
/// four times the largest answer that a target's node accepts with the same memory.
const CALLER_MEMORY_DIVISOR: u64 = 4;
/// Size from which on answers count. The kernel takes smaller ones whole from a connection that
/// carries one at a time.
pub(crate) const COUNTED_BYTES: usize = 16 << 10;
/// Time without progress after which a connection may be closed in favour of other answers. A
/// client that reads at all takes some bytes in that time, even at 200 kB/s.
const YIELD_AFTER: Duration = Duration::from_secs(1);
/// Time without progress after which a connection is closed in any case. It is longer than callers
/// wait for an answer, so that those who still wait are not cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks for connections that have reached [`WRITE_TIMEOUT`], and between two log
/// lines.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// File descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// File descriptors for everything besides callers, links and the target: listeners, the runtime,
/// the store, admin connections, and callers' connections that are being closed or refused.
const PROCESS_DESCRIPTORS: usize = 48;
/// Links for each known node, one in each direction.
const LINKS_PER_NODE: usize = 2;
/// Callers' connections that are allowed however few descriptors there are.
const CONNECTIONS_MIN: usize = 8;

/// Reason for which a limit closed or refused something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LimitLabels {
    limit: &'static str,
}

/// What the limits have closed, refused or discarded since the start.
#[derive(Debug)]
struct Counts {
    family: Family<LimitLabels, Counter>,
    /// Connections closed because they took no byte for [`WRITE_TIMEOUT`].
    timeouts: Counter,
    /// Connections closed in favour of other answers.
    yielded: Counter,
    /// Idle or stalled connections closed in favour of new ones.
    replaced: Counter,
    /// New connections refused.
    connections_refused: Counter,
    /// Requests refused before they were sent, because their answer would not fit.
    requests_refused: Counter,
    /// Answers that did not fit and were discarded by the caller's node.
    answers_discarded: Counter,
    /// Answers that did not fit into their link and were discarded beside the target.
    answers_not_sent: Counter,
}

impl Counts {
    /// Counts of which `answers_not_sent` is kept elsewhere.
    fn new(answers_not_sent: Counter) -> Self {
        let family = Family::<LimitLabels, Counter>::default();
        let counter = |limit| family.get_or_create(&LimitLabels { limit }).clone();
        Self {
            timeouts: counter("write-timeout"),
            yielded: counter("connection-yielded"),
            replaced: counter("connection-replaced"),
            connections_refused: counter("connection-refused"),
            requests_refused: counter("request-refused"),
            answers_discarded: counter("answer-discarded"),
            answers_not_sent,
            family,
        }
    }

    /// Current values, by label.
    fn values(&self) -> [(&'static str, u64); 7] {
        [
            ("write-timeout", self.timeouts.get()),
            ("connection-yielded", self.yielded.get()),
            ("connection-replaced", self.replaced.get()),
            ("connection-refused", self.connections_refused.get()),
            ("request-refused", self.requests_refused.get()),
            ("answer-discarded", self.answers_discarded.get()),
            ("answer-not-sent", self.answers_not_sent.get()),
        ]
    }
}

/// Kernel service that holds the budget for answers and the callers' connections.
pub(crate) struct CallerMemory {
    clock: Clock,
    logger: Logger,
    bytes: u64,
    /// Descriptors of the process for everything but files; none if they are not limited.
    descriptors: Option<usize>,
    /// Descriptors that callers must leave for other purposes.
    reserved: AtomicUsize,
    /// Most connections that the target has taken at once.
    target_connections: AtomicUsize,
    /// Whether any answer has counted. Until then small answers are not recorded.
    any_counted: AtomicBool,
    state: Mutex<State>,
    counts: Counts,
    held: Gauge,
    expected: Gauge,
    connections: Gauge,
    stalled: Gauge,
}

struct State {
    budget: MemoryBudget,
    /// Notified when a connection must be closed.
    closers: HashMap<ConnectionId, Arc<Notify>>,
    /// Counts at the last log line.
    logged: [(&'static str, u64); 7],
}

impl CallerMemory {
    /// Budget of a process that may use `memory` bytes and `max_fds` file descriptors.
    pub(crate) fn new(
        clock: Clock,
        logger: Logger,
        memory: u64,
        max_fds: Option<usize>,
        answers_not_sent: Counter,
    ) -> Self {
        let bytes = memory / CALLER_MEMORY_DIVISOR;
        let limits = MemoryLimits { bytes, yield_after: YIELD_AFTER, write_timeout: WRITE_TIMEOUT };
        let counts = Counts::new(answers_not_sent);
        let state = State {
            budget: MemoryBudget::new(limits),
            closers: HashMap::new(),
            logged: counts.values(),
        };
        Self {
            clock,
            logger,
            bytes,
            descriptors: max_fds.map(|count| count.saturating_sub(FILE_DESCRIPTORS)),
            reserved: AtomicUsize::new(PROCESS_DESCRIPTORS),
            target_connections: AtomicUsize::new(0),
            any_counted: AtomicBool::new(false),
            state: Mutex::new(state),
            counts,
            held: Gauge::default(),
            expected: Gauge::default(),
            connections: Gauge::default(),
            stalled: Gauge::default(),
        }
    }

    /// Registers a new connection of a caller, in favour of which another one may be closed; none
    /// if it must be closed at once.
    pub(crate) fn open(self: &Arc<Self>) -> Option<CallerConnection> {
        let limit = self.connections_max();
        let mut state = self.lock();
        let id = match state.budget.open(self.clock.now(), limit) {
            Accepted::Opened(id) => id,
            Accepted::Replaces(id, replaced) => {
                self.counts.replaced.inc();
                state.close(&[replaced]);
                id
            }
            Accepted::Refused => {
                self.counts.connections_refused.inc();
                return None;
            }
        };
        let closer = Arc::new(Notify::new());
        state.closers.insert(id, closer.clone());
        Some(CallerConnection { memory: self.clone(), id, closer })
    }

    /// Number of connections of callers that may be open.
    fn connections_max(&self) -> usize {
        let reserved = self.reserved.load(Ordering::Relaxed);
        self.descriptors.map_or(usize::MAX, |descriptors| {
            descriptors.saturating_sub(reserved).max(CONNECTIONS_MIN)
        })
    }

    /// Reserves room for the usual answer of `route` until the request has ended; none if the
    /// request must be refused.
    pub(crate) fn expect(self: &Arc<Self>, route: &Name) -> Option<ExpectedAnswer> {
        if !self.any_counted.load(Ordering::Relaxed) {
            return Some(ExpectedAnswer { memory: self.clone(), bytes: 0 });
        }
        let mut state = self.lock();
        let bytes = state.budget.usual_size(route);
        if bytes < COUNTED_BYTES as u64 {
            return Some(ExpectedAnswer { memory: self.clone(), bytes: 0 });
        }
        let room = state.budget.expect(self.clock.now(), bytes);
        if !self.apply(&mut state, &room) {
            self.counts.requests_refused.inc();
            return None;
        }
        Some(ExpectedAnswer { memory: self.clone(), bytes })
    }

    /// Takes room for an answer of `bytes`; none if it does not fit.
    pub(crate) fn take(self: &Arc<Self>, bytes: usize) -> Option<Arc<AnswerShare>> {
        let bytes = bytes as u64;
        let mut state = self.lock();
        let room = state.budget.take(self.clock.now(), bytes);
        if !self.apply(&mut state, &room) {
            self.counts.answers_discarded.inc();
            return None;
        }
        let share = CallerShare { memory: self.clone(), bytes, connection: OnceLock::new() };
        Some(Arc::new(AnswerShare::Caller(share)))
    }

    /// Records the size of an answer on `route`.
    pub(crate) fn record_size(&self, route: &Name, bytes: usize) {
        if bytes >= COUNTED_BYTES {
            self.any_counted.store(true, Ordering::Relaxed);
        }
        if self.any_counted.load(Ordering::Relaxed) {
            self.lock().budget.record_size(route, bytes as u64);
        }
    }

    /// Closes the connections that have taken no byte for too long, logs what the limits have
    /// closed or refused since the last check, and updates the gauges. The descriptors leave room
    /// for links to `nodes` nodes and for `target_connections`.
    pub(crate) fn check(&self, nodes: usize, target_connections: usize) {
        let before = self.target_connections.fetch_max(target_connections, Ordering::Relaxed);
        let reserved =
            PROCESS_DESCRIPTORS + LINKS_PER_NODE * nodes + before.max(target_connections);
        self.reserved.store(reserved, Ordering::Relaxed);
        let now = self.clock.now();
        let mut state = self.lock();
        let expired = state.budget.expire(now);
        self.counts.timeouts.inc_by(expired.len() as u64);
        state.close(&expired);
        let trimmed = state.budget.trim(self.connections_max());
        self.counts.replaced.inc_by(trimmed.len() as u64);
        state.close(&trimmed);
        let usage = state.budget.usage();
        let values = self.counts.values();
        let before = std::mem::replace(&mut state.logged, values);
        drop(state);
        self.held.set(usage.held as i64);
        self.expected.set(usage.expected as i64);
        self.connections.set(usage.connections as i64);
        self.stalled.set(usage.stalled as i64);
        if before == values {
            return;
        }
        let differences = values.iter().zip(before).filter(|(now, before)| now.1 > before.1);
        let text: Vec<String> = differences
            .map(|((limit, count), (_, before))| format!("{limit}={}", count - before))
            .collect();
        warn!(self.logger, "caller: limits reached"; "since_last" => text.join(" "),
            "held" => usage.held, "expected" => usage.expected, "limit" => self.bytes,
            "connections" => usage.connections, "connections_max" => self.connections_max(),
            "stalled" => usage.stalled, "lingering" => usage.lingering);
    }

    /// Registers the metrics of the limits.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Connections, requests and answers that a limit for callers closed or refused";
        registry.register("caller_limits", help, self.counts.family.clone());
        let help = "Bytes of answers held for callers";
        registry.register_with_unit("answers_held", help, Unit::Bytes, self.held.clone());
        let help = "Bytes of answers expected for requests in progress";
        registry.register_with_unit("answers_expected", help, Unit::Bytes, self.expected.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, self.connections.clone());
        let help = "Connections of callers that take no bytes although there are some to send";
        registry.register("caller_connections_stalled", help, self.stalled.clone());
    }

    /// Closes the connections that give way; returns whether there is room.
    fn apply(&self, state: &mut State, room: &Room) -> bool {
        match room {
            Room::Granted => true,
            Room::Closing(connections) => {
                self.counts.yielded.inc_by(connections.len() as u64);
                state.close(connections);
                true
            }
            Room::Refused => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close(&self, connections: &[ConnectionId]) {
        for closer in connections.iter().filter_map(|id| self.closers.get(id)) {
            closer.notify_one();
        }
    }
}

impl Service for CallerMemory {
    fn name(&self) -> &'static str {
        "caller-memory"
    }

    fn dump(&self, _now: Moment) -> Value {
        let MemoryUse { held, expected, connections, stalled, lingering } =
            self.lock().budget.usage();
        let counts: serde_json::Map<_, _> = self
            .counts
            .values()
            .into_iter()
            .map(|(limit, count)| (limit.to_owned(), json!(count)))
            .collect();
        json!({
            "limit": self.bytes, "held": held, "expected": expected, "connections": connections,
            "connections_max": self.connections_max(), "stalled": stalled,
            "lingering": lingering, "since_start": counts,
        })
    }
}

/// Connection of a caller; dropping it removes it from the budget.
pub(crate) struct CallerConnection {
    memory: Arc<CallerMemory>,
    id: ConnectionId,
    closer: Arc<Notify>,
}

impl CallerConnection {
    /// Number of the connection in its process.
    pub(crate) fn number(&self) -> u64 {
        self.id.number()
    }

    /// Waits until the connection must be closed.
    pub(crate) async fn closing(&self) {
        self.closer.notified().await;
    }

    /// Records that a request has begun.
    pub(crate) fn begin_request(&self) {
        self.memory.lock().budget.begin_request(self.id);
    }

    /// Records that the body of a request is coming in.
    pub(crate) fn begin_receiving(&self) {
        self.memory.lock().budget.begin_receiving(self.memory.clock.now(), self.id);
    }

    /// Records that the body of the request is complete, or is not read any more.
    pub(crate) fn end_receiving(&self) {
        self.memory.lock().budget.end_receiving(self.id);
    }

    /// Records that the request has its answer, which is sent on this connection from now on, and
    /// that `started` requests behind it are in progress. The connection is idle if there are none.
    pub(crate) fn end_request(&self, share: Option<&AnswerShare>, started: usize) {
        let mut state = self.memory.lock();
        if started == 0 {
            state.budget.end_request(self.memory.clock.now(), self.id);
        }
        if let Some(AnswerShare::Caller(share)) = share
            && share.connection.set(self.id).is_ok()
        {
            state.budget.assign(self.id, share.bytes);
        }
    }

    /// Records that the connection took none of the bytes that there are to send.
    pub(crate) fn record_stall(&self) {
        self.memory.lock().budget.record_stall(self.memory.clock.now(), self.id);
    }

    /// Records that the connection took bytes after a stall.
    pub(crate) fn record_progress(&self) {
        self.memory.lock().budget.record_progress(self.id);
    }
}

impl Registration for Arc<CallerConnection> {
    fn begin_linger(&self) -> LingerTime {
        self.memory.lock().budget.begin_linger(self.memory.clock.now(), self.id)
    }

    fn record_unsent(&self, unsent: bool) {
        if unsent { self.record_stall() } else { self.record_progress() }
    }

    async fn closing(&self) {
        CallerConnection::closing(self).await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.closers.remove(&self.id);
        state.budget.close(self.id);
    }
}

/// Room for the answer to a request in progress, returned on drop.
pub(crate) struct ExpectedAnswer {
    memory: Arc<CallerMemory>,
    bytes: u64,
}

impl Drop for ExpectedAnswer {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.lock().budget.cancel_expected(self.bytes);
        }
    }
}

/// Memory that the body of an answer occupies, returned on drop.
#[derive(Debug)]
pub(crate) enum AnswerShare {
    /// Part of the budget for answers held for callers.
    Caller(CallerShare),
    /// Part of the memory for answers read from the target.
    Target {
        /// Bytes of that memory.
        _permit: OwnedSemaphorePermit,
    },
}

impl AnswerShare {
    /// Body that keeps this share until its last copy is dropped, such as when it was written.
    pub(crate) fn attach(self: Arc<Self>, body: Bytes) -> Bytes {
        Bytes::from_owner(SharedBody { body, _share: self })
    }
}

/// Part of the budget for answers held for callers.
pub(crate) struct CallerShare {
    memory: Arc<CallerMemory>,
    bytes: u64,
    /// Connection on which the answer is sent.
    connection: OnceLock<ConnectionId>,
}

impl std::fmt::Debug for CallerShare {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerShare").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl Drop for CallerShare {
    fn drop(&mut self) {
        self.memory.lock().budget.release(self.connection.get().copied(), self.bytes);
    }
}

/// Body with the share that it occupies.
struct SharedBody {
    body: Bytes,
    _share: Arc<AnswerShare>,
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
