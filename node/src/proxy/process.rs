//! The data plane as a whole: its services, its ends and its life cycle.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poplar_core::{ErrorKind, Moment, ReadPlan, ReadPlanner, ResendBudget};
use poplar_kernel::{Clock, Lifecycle, Registry, Serving, component_logger};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::accept::accept;
use super::decisions::DecisionLog;
use super::metrics::Metrics;
use super::report;
use crate::admission::AdmissionController;
use crate::proxy::callers::dispatch::Dispatcher;
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::callers::serve::CallerServer;
use crate::proxy::links::runs::RunTable;
use crate::proxy::links::traffic::Traffic;
use crate::proxy::state::SharedState;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::graph::CallGraph;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::target::client::TargetClient;
use crate::proxy::target::local_target::LocalTarget;
use crate::proxy::target::run::Runner;

use super::admin::{self, Admin};
use super::ports::{HeaderNames, NodeConfig, Platform};
use crate::proxy::links::peers::{CHECK_INTERVAL, PeerLinks, Peers, RECEIVED_MAX};
use crate::proxy::sync::peer_sync::{PeerSync, PlanView};
use crate::proxy::sync::store_sync::{StoreHealth, StoreSync};

/// Time for which a stopping node goes on serving: callers take two missed readiness checks, one
/// second apart, to turn away from it.
const READINESS_DELAY: Duration = Duration::from_millis(2_200);
/// Time beyond that for which calls of the own target are still taken.
const CALL_DRAIN_TIME: Duration = Duration::from_millis(600);
/// Part of the grace time after which a stopping node ends whatever is left; the rest is for the
/// end of the process on a slow machine.
const GRACE_FRACTION: f64 = 0.88;
/// Pause between looks at the calls in flight while draining.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Why the data plane could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be listened on.
    #[error("listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
}

/// Data plane of one node.
pub struct Proxy {
    clock: Clock,
    node_config: Arc<NodeConfig>,
    logger: Logger,
    lifecycle: Lifecycle<Serving>,
    local_target: Arc<LocalTarget>,
    rules: Arc<Rules>,
    callers: Arc<CallerServer>,
    runner: Arc<Runner>,
    traffic: Arc<Traffic>,
    targets_read: watch::Receiver<bool>,
}

impl Proxy {
    /// Starts the data plane; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// `Listen` if an address of `site` is taken.
    pub async fn start<P: Platform>(
        site: NodeConfig,
        dialect: HeaderNames,
        platform: P,
        root: &Logger,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let (site, dialect) = (Arc::new(site), Arc::new(dialect));
        let lifecycle = Lifecycle::start();
        let (outbound, peer, scrapes) = (
            listen(site.outbound).await?,
            listen(site.peer_listen).await?,
            listen(site.admin).await?,
        );
        let registry = Arc::new(Registry::default());
        let rules = Arc::new(Rules::new());
        let gate = Arc::new(AdmissionController::new(clock));
        let (changed, changes) = mpsc::unbounded_channel();
        let roster = Arc::new(Roster::new(clock, site.zone.clone(), changed));
        let (crashed, crash_news) = mpsc::unbounded_channel();
        let crashes = Arc::new(CrashRecords::new(clock, component_logger(root, "crash"), crashed));
        let known =
            SharedState { rules: rules.clone(), roster: roster.clone(), crashes: crashes.clone() };
        let (sender, read) = watch::channel(false);
        let target = component_logger(root, "target");
        let exchange =
            TargetClient::new(clock, dialect.clone(), site.target.clone(), site.memory_bytes);
        let exchange = Arc::new(exchange);
        let own = Arc::new(LocalTarget::new(
            clock,
            site.clone(),
            target,
            gate.clone(),
            exchange.clone(),
            known.clone(),
            read.clone(),
        ));
        let graph = Arc::new(CallGraph::new(clock, site.service.clone()));
        let decisions = Arc::new(DecisionLog::new(clock, component_logger(root, "request")));
        let runner = Arc::new(Runner::new(
            clock,
            gate.clone(),
            own.clone(),
            exchange,
            graph.clone(),
            known,
            decisions.clone(),
        ));
        let traffic = Arc::new(Traffic::default());
        let (posts, posted) = mpsc::channel(RECEIVED_MAX);
        let peers = Arc::new(Peers {
            clock,
            address: site.record_key(),
            zone: site.zone.clone(),
            rules: rules.clone(),
            roster: roster.clone(),
            runner: runner.clone(),
            crashes: crashes.clone(),
            traffic: traffic.clone(),
            received: posts,
            logger: component_logger(root, "link"),
            links: PeerLinks::default(),
            runs: RunTable::default(),
        });
        let account = Arc::new(EntryStats::default());
        let health = Arc::new(StoreHealth::default());
        let metrics = Metrics::new(
            gate.clone(),
            roster.clone(),
            rules.clone(),
            &decisions,
            &account,
            &traffic,
            &health,
        );
        let metrics = Arc::new(metrics);
        let trips = Dispatcher {
            clock,
            caller: site.service.clone(),
            roster: roster.clone(),
            peers: peers.clone(),
            graph: graph.clone(),
            crashes: crashes.clone(),
            resends: Mutex::new(ResendBudget::new(site.bounds.resends)),
        };
        let callers = Arc::new(CallerServer {
            clock,
            header_names: dialect,
            rules: rules.clone(),
            dispatcher: trips,
            metrics: metrics.clone(),
            stats: account.clone(),
            decisions,
            body_reader: CallerServer::body_reader(site.memory_bytes),
            closing: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            shutdown: watch::Sender::new(false),
        });
        registry.register(rules.clone());
        registry.register(gate.clone());
        registry.register(roster.clone());
        registry.register(own.clone());
        registry.register(peers.clone());
        registry.register(metrics.clone());
        registry.register(graph.clone());
        registry.register(crashes.clone());
        let (plan, plans) = watch::channel(ReadPlan::default());
        registry.register(Arc::new(PlanView(plans.clone())));
        let news = PeerSync {
            clock,
            own_address: site.record_key(),
            zone: site.zone.clone(),
            rules: rules.clone(),
            roster: roster.clone(),
            graph: graph.clone(),
            peers: peers.clone(),
            local_target: own.clone(),
            health: health.clone(),
            crashes: crashes.clone(),
            readers: ReadPlanner::new(site.record_key(), site.zone.clone()),
            plan,
            logger: component_logger(root, "news"),
            state: Default::default(),
        };
        tokio::spawn(news.run(posted, changes, crash_news));
        spawn_store_sync(StoreSync {
            clock,
            platform: Arc::new(platform),
            node_config: site.clone(),
            rules: rules.clone(),
            roster,
            local_target: own.clone(),
            crashes,
            logger: component_logger(root, "store"),
            health: health.clone(),
            plan: plans,
            targets_read: sender,
        });
        tokio::spawn(apply_rules(rules.clone(), gate.clone(), graph.clone()));
        tokio::spawn(check_links(peers.clone()));
        tokio::spawn(report::run(
            gate.clone(),
            graph.clone(),
            account.clone(),
            traffic.clone(),
            health,
            component_logger(root, "load"),
        ));
        let ends = component_logger(root, "listen");
        tokio::spawn(accept(peer, peers, Peers::serve, ends.clone()));
        tokio::spawn(accept(outbound, callers.clone(), CallerServer::serve, ends));
        tokio::spawn(admin::serve(scrapes, Admin { clock, registry, metrics }));
        let logger = component_logger(root, "process");
        info!(logger, "process: started"; "node" => %site.node, "service" => %site.service);
        let lifecycle = lifecycle.serve();
        Ok(Self {
            clock,
            node_config: site,
            logger,
            lifecycle,
            local_target: own,
            rules,
            callers,
            runner,
            traffic,
            targets_read: read,
        })
    }

    /// Target beside the node, for what it says of itself.
    pub fn local_target(&self) -> Arc<LocalTarget> {
        self.local_target.clone()
    }

    /// Whether callers should send their requests here, as a question to ask again and again.
    pub fn readiness(&self) -> impl Fn() -> bool + Send + Sync + 'static {
        let (rules, callers, read) =
            (self.rules.clone(), self.callers.clone(), self.targets_read.clone());
        move || {
            let closing = callers.closing.load(Ordering::Acquire);
            !closing && *read.borrow() && rules.current().is_some()
        }
    }

    /// Serves what is under way, turns callers away, and returns when the process may end.
    pub async fn stop(self) {
        let Self { clock, node_config: site, logger, lifecycle, callers, runner, traffic, .. } =
            self;
        let in_flight = || callers.in_flight() + runner.in_flight();
        let began = clock.now();
        info!(logger, "process: stopping"; "in_flight" => in_flight());
        callers.closing.store(true, Ordering::Release);
        let lifecycle = lifecycle.drain();
        tokio::time::sleep(READINESS_DELAY).await;
        runner.refuse_calls(ErrorKind::Draining);
        // The target still makes the calls of what it runs.
        wait_until(clock, began + READINESS_DELAY + CALL_DRAIN_TIME, || runner.in_flight() == 0)
            .await;
        callers.refusing.store(true, Ordering::Release);
        callers.shutdown.send_replace(true);
        // An answer counts as given only when it has left the process.
        let unsent = || callers.open_connections() + usize::from(traffic.unwritten() > 0);
        let limit = began + site.bounds.grace.mul_f64(GRACE_FRACTION);
        wait_until(clock, limit, || in_flight() + unsent() == 0).await;
        if in_flight() + unsent() > 0 {
            warn!(logger, "process: calls cut off by the end of the grace time";
                "calls" => in_flight(), "unsent" => unsent());
        }
        lifecycle.stop();
        info!(logger, "process: stopped");
    }
}

/// Waits until something is done, but not beyond `limit`.
async fn wait_until(clock: Clock, limit: Moment, done: impl Fn() -> bool) {
    while !done() && clock.now() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Starts the tasks that follow the store.
fn spawn_store_sync<P: Platform>(follower: StoreSync<P>) {
    let follower = Arc::new(follower);
    tokio::spawn(follower.clone().follow_rules());
    tokio::spawn(follower.clone().follow_targets());
    tokio::spawn(follower.clone().publish_crashes());
    tokio::spawn(follower.publish_target());
}

/// Carries each revision of the rules over to admission.
async fn apply_rules(rules: Arc<Rules>, gate: Arc<AdmissionController>, graph: Arc<CallGraph>) {
    let mut watch = rules.watch();
    while watch.changed().await.is_ok() {
        if let Some(held) = rules.current() {
            gate.revise(held.rules.revision, || held.importance_scale());
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

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}
