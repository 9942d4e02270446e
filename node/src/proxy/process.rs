//! Assembly of the data plane: starts its services, listeners and tasks, and drains them on stop.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poplar_core::{ErrorKind, Moment, ReadPlan, ReadPlanner, ResendBudget, StopPlan};
use poplar_kernel::{Clock, Lifecycle, Registry, Serving, component_logger};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::accept::accept;
use super::admin::{self, Admin};
use super::decisions::DecisionLog;
use super::memory::{self, CallerMemory};
use super::metrics::Metrics;
use super::ports::{HeaderNames, NodeConfig, Platform};
use super::report;
use crate::admission::AdmissionController;
use crate::closing::Closer;
use crate::proxy::callers::dispatch::Dispatcher;
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::callers::read_ahead::ReadAheadTotals;
use crate::proxy::callers::serve::CallerServer;
use crate::proxy::links::peers::{CHECK_INTERVAL, PeerLinks, Peers, RECEIVED_MAX};
use crate::proxy::links::runs::RunTable;
use crate::proxy::links::traffic::Traffic;
use crate::proxy::state::SharedState;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::graph::CallGraph;
use crate::proxy::state::quotas::{self, Quotas};
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::sync::peer_sync::{PeerSync, PlanView};
use crate::proxy::sync::store_sync::{StoreHealth, StoreSync};
use crate::proxy::target::client::TargetClient;
use crate::proxy::target::health_check::HealthCheck;
use crate::proxy::target::local_target::LocalTarget;
use crate::proxy::target::run::Runner;

/// Time for which a stopping node keeps serving after it reports that it is not ready. Callers stop
/// using a node after two failed readiness checks, one second apart.
const READINESS_DELAY: Duration = Duration::from_millis(2_200);
/// Longest time after [`READINESS_DELAY`] for which calls that the local target makes are still
/// accepted.
const CALL_DRAIN_TIME: Duration = Duration::from_millis(600);
/// Fraction of the grace time after which a stopping node gives up the requests that are still in
/// flight, and answers their callers that the outcome is unknown.
const GIVE_UP_FRACTION: f64 = 0.85;
/// Longest time for which a stopping node waits for the other nodes to close their links, counted
/// from [`StopPlan::run_end`].
const LINK_CLOSE_TIME: Duration = Duration::from_millis(100);
/// Interval at which the calls in flight are checked while draining.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Reason for which the data plane cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Binding a listener to an address failed.
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
}

/// Running data plane of one node.
pub struct Proxy {
    clock: Clock,
    node_config: Arc<NodeConfig>,
    logger: Logger,
    lifecycle: Lifecycle<Serving>,
    local_target: Arc<LocalTarget>,
    rules: Arc<Rules>,
    callers: Arc<CallerServer>,
    peers: Arc<Peers>,
    closer: Arc<Closer>,
    runner: Arc<Runner>,
    traffic: Arc<Traffic>,
    targets_read: watch::Receiver<bool>,
}

impl Proxy {
    /// Binds the listeners and starts the tasks of the data plane; must be called within a Tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] if a listener cannot be bound to an address of `config`.
    pub async fn start<P: Platform>(
        config: NodeConfig,
        header_names: HeaderNames,
        platform: P,
        root: &Logger,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let (config, header_names) = (Arc::new(config), Arc::new(header_names));
        let lifecycle = Lifecycle::start();
        let (outbound_listener, peer_listener, admin_listener) = (
            listen(config.outbound).await?,
            listen(config.peer_listen).await?,
            listen(config.admin).await?,
        );
        let registry = Arc::new(Registry::default());
        let rules = Arc::new(Rules::new());
        let admission = Arc::new(AdmissionController::new(clock));
        let (record_sender, record_changes) = mpsc::unbounded_channel();
        let roster = Arc::new(Roster::new(clock, config.zone.clone(), record_sender));
        let (crash_sender, crash_broadcasts) = mpsc::unbounded_channel();
        let crashes =
            Arc::new(CrashRecords::new(clock, component_logger(root, "crash"), crash_sender));
        let shared =
            SharedState { rules: rules.clone(), roster: roster.clone(), crashes: crashes.clone() };
        let (targets_read_sender, targets_read) = watch::channel(false);
        let target_logger = component_logger(root, "target");
        let target_client = TargetClient::new(
            clock,
            header_names.clone(),
            config.target.clone(),
            config.memory_bytes,
        );
        let target_client = Arc::new(target_client);
        let own = Arc::new(LocalTarget::new(
            clock,
            config.clone(),
            target_logger,
            admission.clone(),
            target_client.clone(),
            shared.clone(),
            targets_read.clone(),
        ));
        let health_check = HealthCheck {
            service: config.service.clone(),
            rules: rules.clone(),
            client: target_client.clone(),
            local_target: own.clone(),
        };
        tokio::spawn(health_check.run());
        let graph = Arc::new(CallGraph::new(clock, config.service.clone()));
        let decisions = Arc::new(DecisionLog::new(clock, component_logger(root, "request")));
        let runner = Arc::new(Runner::new(
            clock,
            admission.clone(),
            own.clone(),
            target_client,
            graph.clone(),
            shared,
            decisions.clone(),
        ));
        let traffic = Arc::new(Traffic::default());
        let memory = CallerMemory::new(
            clock,
            component_logger(root, "caller"),
            config.memory_bytes,
            config.max_fds,
            traffic.not_sent(),
        );
        let memory = Arc::new(memory);
        let closer = Closer::new(clock, component_logger(root, "listen"));
        tokio::spawn(closer.clone().report());
        tokio::spawn(check_memory(memory.clone(), roster.clone(), admission.clone()));
        let (received, received_messages) = mpsc::channel(RECEIVED_MAX);
        let quotas = Arc::new(Quotas::new(
            clock,
            config.record_key(),
            rules.clone(),
            roster.clone(),
            component_logger(root, "quota"),
        ));
        let peers = Arc::new(Peers {
            clock,
            address: config.record_key(),
            zone: config.zone.clone(),
            rules: rules.clone(),
            roster: roster.clone(),
            local_target: own.clone(),
            runner: runner.clone(),
            crashes: crashes.clone(),
            quotas: quotas.clone(),
            traffic: traffic.clone(),
            memory: memory.clone(),
            backlog_bytes: Peers::backlog_bytes(config.memory_bytes),
            received,
            logger: component_logger(root, "link"),
            links: PeerLinks::default(),
            last_check: Mutex::new(clock.now()),
            runs: RunTable::new(config.memory_bytes),
            closer: closer.clone(),
            open_links: AtomicUsize::new(0),
            shutdown: watch::Sender::new(false),
        });
        let entry_stats = Arc::new(EntryStats::default());
        let health = Arc::new(StoreHealth::default());
        let metrics = Metrics::new(
            admission.clone(),
            roster.clone(),
            rules.clone(),
            &decisions,
            &entry_stats,
            &traffic,
            &health,
        );
        metrics.register_quotas(&quotas);
        metrics.extend(|registry| memory.register(registry));
        metrics.extend(|registry| closer.register(registry));
        let metrics = Arc::new(metrics);
        let read_ahead =
            ReadAheadTotals::new(config.memory_bytes, component_logger(root, "listen"));
        let read_ahead = Arc::new(read_ahead);
        metrics.add_read_ahead(&read_ahead);
        let dispatcher = Dispatcher {
            clock,
            header_names: header_names.clone(),
            caller: config.service.clone(),
            roster: roster.clone(),
            peers: peers.clone(),
            graph: graph.clone(),
            crashes: crashes.clone(),
            resends: Mutex::new(ResendBudget::new(config.bounds.resends)),
        };
        let callers = Arc::new(CallerServer {
            clock,
            header_names,
            rules: rules.clone(),
            dispatcher,
            metrics: metrics.clone(),
            stats: entry_stats.clone(),
            decisions,
            body_reader: CallerServer::body_reader(config.memory_bytes),
            read_ahead: read_ahead.clone(),
            memory: memory.clone(),
            closer: closer.clone(),
            closing: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            shutdown: watch::Sender::new(false),
            given_up: watch::Sender::new(false),
        });
        registry.register(rules.clone());
        registry.register(admission.clone());
        registry.register(roster.clone());
        registry.register(own.clone());
        registry.register(peers.clone());
        registry.register(metrics.clone());
        registry.register(graph.clone());
        registry.register(crashes.clone());
        registry.register(read_ahead);
        registry.register(memory.clone());
        registry.register(closer.clone());
        registry.register(quotas.clone());
        let (plan, plan_receiver) = watch::channel(ReadPlan::default());
        registry.register(Arc::new(PlanView(plan_receiver.clone())));
        let peer_sync = PeerSync {
            clock,
            own_address: config.record_key(),
            zone: config.zone.clone(),
            rules: rules.clone(),
            roster: roster.clone(),
            graph: graph.clone(),
            peers: peers.clone(),
            local_target: own.clone(),
            health: health.clone(),
            crashes: crashes.clone(),
            readers: ReadPlanner::new(config.record_key(), config.zone.clone()),
            plan,
            logger: component_logger(root, "news"),
            state: Default::default(),
        };
        tokio::spawn(peer_sync.run(received_messages, record_changes, crash_broadcasts));
        spawn_store_sync(StoreSync {
            clock,
            platform: Arc::new(platform),
            node_config: config.clone(),
            rules: rules.clone(),
            roster,
            local_target: own.clone(),
            crashes,
            logger: component_logger(root, "store"),
            health: health.clone(),
            plan: plan_receiver,
            targets_read: targets_read_sender,
        });
        tokio::spawn(apply_rules(rules.clone(), admission.clone(), graph.clone()));
        tokio::spawn(check_links(peers.clone()));
        tokio::spawn(tick_quotas(quotas));
        tokio::spawn(report::run(
            admission.clone(),
            graph.clone(),
            entry_stats.clone(),
            health,
            peers.clone(),
            callers.clone(),
            component_logger(root, "load"),
        ));
        let listen_logger = component_logger(root, "listen");
        tokio::spawn(accept(peer_listener, peers.clone(), Peers::serve, listen_logger.clone()));
        tokio::spawn(accept(
            outbound_listener,
            callers.clone(),
            CallerServer::serve,
            listen_logger,
        ));
        tokio::spawn(admin::serve(admin_listener, Admin { clock, registry, metrics }));
        let logger = component_logger(root, "process");
        info!(logger, "process: started"; "node" => %config.node, "service" => %config.service);
        let lifecycle = lifecycle.serve();
        Ok(Self {
            clock,
            node_config: config,
            logger,
            lifecycle,
            local_target: own,
            rules,
            callers,
            peers,
            closer,
            runner,
            traffic,
            targets_read,
        })
    }

    /// Target beside the node, to which the platform adapter passes the target's announcements.
    pub fn local_target(&self) -> Arc<LocalTarget> {
        self.local_target.clone()
    }

    /// Returns a function that reports whether callers should send requests to this node now: it
    /// has rules, has read the records of targets and is not stopping.
    pub fn readiness(&self) -> impl Fn() -> bool + Send + Sync + 'static {
        let (rules, callers, targets_read) =
            (self.rules.clone(), self.callers.clone(), self.targets_read.clone());
        move || {
            let closing = callers.closing.load(Ordering::Acquire);
            !closing && *targets_read.borrow() && rules.current().is_some()
        }
    }

    /// Closer of the node's connections, for further servers beside it.
    pub fn closer(&self) -> Arc<Closer> {
        self.closer.clone()
    }

    /// Drains the node: reports that it is not ready, serves until callers have left, refuses new
    /// calls and waits for those in flight. Returns when the process may exit.
    pub async fn stop(self) {
        let Self {
            clock,
            node_config: config,
            logger,
            lifecycle,
            callers,
            peers,
            closer,
            runner,
            traffic,
            ..
        } = self;
        let in_flight = || callers.in_flight() + runner.in_flight();
        let began = clock.now();
        info!(logger, "process: stopping"; "in_flight" => in_flight());
        callers.closing.store(true, Ordering::Release);
        let plan = StopPlan::new(began, config.bounds.grace);
        runner.begin_stop(plan);
        let lifecycle = lifecycle.drain();
        tokio::time::sleep(READINESS_DELAY).await;
        runner.refuse_calls(ErrorKind::Draining);
        // Requests that the target still runs may need further calls.
        wait_until(clock, began + READINESS_DELAY + CALL_DRAIN_TIME, || runner.in_flight() == 0)
            .await;
        callers.refusing.store(true, Ordering::Release);
        callers.shutdown.send_replace(true);
        closer.stop();
        // An answer counts as sent only once it has been written to its socket.
        let unsent = || callers.open_connections() + usize::from(traffic.unwritten() > 0);
        // Callers whose connections are being closed may still read.
        let left = || in_flight() + unsent() + closer.waiting();
        let give_up = began + config.bounds.grace.mul_f64(GIVE_UP_FRACTION);
        wait_until(clock, give_up, || left() == 0).await;
        if callers.in_flight() > 0 {
            warn!(logger, "process: requests given up at the end of the grace time";
                "requests" => callers.in_flight());
            callers.given_up.send_replace(true);
        }
        // Connections on which an answer is still unsent are closed then, too.
        wait_until(clock, plan.run_end(), || left() == 0).await;
        if left() > 0 {
            warn!(logger, "process: calls cut off by the end of the grace time";
                "calls" => in_flight(), "unsent" => unsent(), "closing" => closer.waiting());
        }
        peers.shutdown.send_replace(true);
        let open = || peers.open_links() + closer.waiting();
        wait_until(clock, plan.run_end() + LINK_CLOSE_TIME, || open() == 0).await;
        lifecycle.stop();
        info!(logger, "process: stopped");
    }
}

/// Polls until `done` returns true or `limit` is reached.
async fn wait_until(clock: Clock, limit: Moment, done: impl Fn() -> bool) {
    while !done() && clock.now() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Starts the tasks that read from the store and write to it.
fn spawn_store_sync<P: Platform>(store_sync: StoreSync<P>) {
    let store_sync = Arc::new(store_sync);
    tokio::spawn(store_sync.clone().follow_rules());
    tokio::spawn(store_sync.clone().follow_targets());
    tokio::spawn(store_sync.clone().publish_crashes());
    tokio::spawn(store_sync.clone().log_eras());
    tokio::spawn(store_sync.publish_target());
}

/// Applies each new revision of the rules to admission and to the call graph.
async fn apply_rules(
    rules: Arc<Rules>,
    admission: Arc<AdmissionController>,
    graph: Arc<CallGraph>,
) {
    let mut watch = rules.watch();
    while watch.changed().await.is_ok() {
        if let Some(held) = rules.current() {
            admission.revise(held.rules.revision, || held.importance_scale());
            graph.update_rules(held.importance_scale(), held.rules.services.len());
        }
    }
}

async fn check_links(peers: Arc<Peers>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        peers.check();
    }
}

/// Keeps callers within the memory and the descriptors of the process.
async fn check_memory(
    memory: Arc<CallerMemory>,
    roster: Arc<Roster>,
    admission: Arc<AdmissionController>,
) {
    loop {
        memory.check(roster.len(), admission.load().limit as usize);
        tokio::time::sleep(memory::CHECK_INTERVAL).await;
    }
}

async fn tick_quotas(quotas: Arc<Quotas>) {
    loop {
        tokio::time::sleep(quotas::TICK).await;
        quotas.tick();
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}
