//! The process as a whole: its services, its ends and its life cycle.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use poplar_core::{Incarnation, Name, Peer};
use poplar_kernel::{
    Clock, Draining, Lifecycle, LogFormat, Registry, RegistryError, Serving, component_logger,
    root_logger,
};
use poplar_wire::{MemberRecord, MemberState, Sender};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::admission::AdmissionController;
use crate::announcer::{Announcer, Identity};
use crate::attempts::Attempts;
use crate::contracts::Contracts;
use crate::directory::Directory;
use crate::entry::Entry;
use crate::executor::Executor;
use crate::handover::HandoverSender;
use crate::levels::DownstreamLevels;
use crate::links::Links;
use crate::log_client::LogClient;
use crate::log_sync::LogSync;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::once_table::OnceTable;
use crate::request_owner::RequestOwner;
use crate::router::Router;
use crate::runs::Runs;
use crate::servers::body_reader::BodyReader;
use crate::servers::{admin, caller, listener, peer};
use crate::settings::Settings;
use crate::suspects::Suspects;
use crate::target::{Stage, Target};

/// Longest time that a graceful stop waits for calls in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Pause between looks at the calls in flight while draining.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for which a draining node goes on refusing, so that no member still sends to it.
const DRAIN_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Time for which the word of the leave may still reach the log.
const LEAVE_APPEND_TIME: Duration = Duration::from_millis(200);

/// Why the process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket could not be had.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A service does not find another.
    #[error("{0}")]
    Registry(#[from] RegistryError),
    /// The log format is unknown.
    #[error("{0}")]
    Format(String),
}

/// Sockets of the three ends, bound before anything is announced.
struct Sockets {
    caller: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// Services that the shell itself speaks to.
struct Services {
    registry: Arc<Registry>,
    entry: Arc<Entry>,
    work: Arc<Executor>,
    announcer: Arc<Announcer>,
    leaver: HandoverSender,
}

/// Channels from the services to the tasks that follow the log.
struct LogChannels {
    hints: mpsc::Receiver<String>,
    appends: mpsc::UnboundedReceiver<MemberRecord>,
}

/// Runs the node until it is told to stop.
///
/// # Errors
///
/// Any [`StartError`]; once the node serves, it ends without one.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let format: LogFormat = settings.log_format.parse().map_err(StartError::Format)?;
    let root = root_logger(format);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_node(settings, root))
}

async fn run_node(settings: Settings, root: Logger) -> Result<(), StartError> {
    let logger = component_logger(&root, "process");
    let lifecycle = Lifecycle::start();
    let sockets = bind(&settings).await?;
    let clock = Clock::start();
    let (records, appends) = mpsc::unbounded_channel();
    let (services, hints) = build_services(clock, &settings, &sockets, records)?;
    spawn_log_tasks(clock, &settings, &services, LogChannels { hints, appends }, &root)?;
    print_ready(&sockets)?;
    let lifecycle = lifecycle.serve();
    info!(logger, "process: serving"; "instance" => %settings.instance);
    let mut terminate = signal(SignalKind::terminate())?;
    let servers = spawn_servers(sockets, &lifecycle, &services, clock, settings.customer.clone())?;
    terminate.recv().await;
    info!(logger, "process: draining");
    let lifecycle = drain(lifecycle.drain(), &services, clock, &logger).await;
    let _stopped = lifecycle.stop();
    for server in servers {
        // A cancelled end has nothing left to say.
        let _ = server.await;
    }
    info!(logger, "process: stopped");
    Ok(())
}

async fn bind(settings: &Settings) -> Result<Sockets, StartError> {
    Ok(Sockets {
        caller: TcpListener::bind(settings.caller_address).await?,
        peer: TcpListener::bind(settings.peer_address).await?,
        admin: TcpListener::bind(settings.admin_address).await?,
    })
}

fn build_services(
    clock: Clock,
    settings: &Settings,
    sockets: &Sockets,
    records: mpsc::UnboundedSender<MemberRecord>,
) -> Result<(Services, mpsc::Receiver<String>), StartError> {
    let incarnation = new_incarnation();
    let instance = settings.instance.clone();
    let bound_address = sockets.peer.local_addr()?;
    let peer_address = settings.advertised.unwrap_or(bound_address);
    let own = Sender { instance: instance.clone(), incarnation, address: peer_address.to_string() };
    let zone = settings.zone.clone();
    let identity =
        Identity { instance: instance.clone(), incarnation, zone: zone.clone(), peer_address };
    let retention = Duration::from_secs(settings.log_retention_s);
    let (contracts, hints) = Contracts::new(clock, instance.clone(), retention);
    let registry = Arc::new(Registry::default());
    registry.register(settings.values.clone());
    registry.register(Arc::new(contracts));
    registry.register(Arc::new(Directory::default()));
    registry.register(Arc::new(DownstreamLevels::new(clock, &registry)?));
    registry.register(Arc::new(Links::default()));
    let peer = Peer { instance: instance.clone(), address: own.address.clone() };
    registry.register(Arc::new(Members::new(clock, peer, zone.clone(), &registry)?));
    registry.register(Arc::new(Runs::default()));
    registry.register(Arc::new(Target::new()));
    registry.register(Arc::new(AdmissionController::new(clock)));
    registry.register(Arc::new(OnceTable::new(clock, instance.clone(), incarnation)));
    registry.register(Arc::new(Attempts::new(clock, incarnation)));
    registry.register(Arc::new(Suspects::new(clock, instance.clone(), &registry)?));
    let work = Arc::new(Executor::new(clock, &registry)?);
    registry.register(work.clone());
    registry.register(Arc::new(Metrics::new(&registry)?));
    registry.register(Arc::new(Router::new(clock, own, zone.clone(), &registry)?));
    registry.register(Arc::new(RequestOwner::new(clock, instance.clone(), &registry)?));
    let entry = Arc::new(Entry::new(clock, settings.customer.clone(), &registry)?);
    registry.register(entry.clone());
    let announcer = Arc::new(Announcer::new(clock, identity, &registry, records)?);
    registry.register(announcer.clone());
    let leaver = HandoverSender::new(instance, &registry)?;
    Ok((Services { registry, entry, work, announcer, leaver }, hints))
}

/// Incarnation of a new process: an instance keeps nothing, so the wall clock stands in.
///
/// The low bits are drawn, so that a clock that was set back does not give a number twice.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let drawn = u64::from(fastrand::u8(..));
    Incarnation((since.as_micros() as u64) << u8::BITS | drawn)
}

fn spawn_log_tasks(
    clock: Clock,
    settings: &Settings,
    services: &Services,
    channels: LogChannels,
    root: &Logger,
) -> Result<(), StartError> {
    let log_client = LogClient::new(settings.log_address);
    let peers = settings.peers.clone();
    let logger = component_logger(root, "log");
    let log_sync = LogSync::new(clock, log_client, peers, &services.registry, logger)?;
    tokio::spawn(log_sync.clone().sync_contracts());
    tokio::spawn(log_sync.clone().pull_hinted(channels.hints));
    tokio::spawn(log_sync.clone().sync_members());
    tokio::spawn(log_sync.append_members(channels.appends));
    Ok(())
}

fn print_ready(sockets: &Sockets) -> Result<(), StartError> {
    let caller = sockets.caller.local_addr()?;
    let peer = sockets.peer.local_addr()?;
    let admin = sockets.admin.local_addr()?;
    println!("ready caller={caller} peer={peer} admin={admin}");
    Ok(())
}

fn spawn_servers(
    sockets: Sockets,
    lifecycle: &Lifecycle<Serving>,
    services: &Services,
    clock: Clock,
    customer: Name,
) -> Result<Vec<tokio::task::JoinHandle<()>>, StartError> {
    let entry = services.entry.clone();
    let body_reader = BodyReader::new(caller::BODY_MEMORY_BYTES);
    let callers = listener::accept(sockets.caller, lifecycle.watch(), move |socket, graceful| {
        caller::serve_connection(socket, graceful, entry.clone(), body_reader.clone())
    });
    let served = Arc::new(peer::PeerServices {
        work: services.work.clone(),
        contracts: services.registry.find("contracts")?,
        directory: services.registry.find("directory")?,
        members: services.registry.find("members")?,
        suspects: services.registry.find("suspects")?,
        keeper: services.registry.find("keeper")?,
    });
    tokio::spawn(served.members.clone().run());
    tokio::spawn(services.announcer.clone().watch_lease());
    let peers = listener::accept(sockets.peer, lifecycle.watch(), move |socket, graceful| {
        peer::serve_connection(socket, graceful, served.clone())
    });
    let admin = admin::Admin {
        clock,
        registry: services.registry.clone(),
        announcer: services.announcer.clone(),
        contracts: services.registry.find("contracts")?,
        metrics: services.registry.find("metrics")?,
        customer,
    };
    let routes = admin::routes(admin);
    let admin = async move {
        if let Ok(acceptor) = poem::listener::TcpAcceptor::from_tokio(sockets.admin) {
            // The admin end lives as long as the process; its error ends nothing else.
            let _ = poem::Server::new_with_acceptor(acceptor)
                .idle_timeout(admin::IDLE_TIMEOUT)
                .run(routes)
                .await;
        }
    };
    tokio::spawn(admin);
    Ok(vec![tokio::spawn(callers), tokio::spawn(peers)])
}

/// Refuses new work, tells the members, and waits until nothing is in flight.
async fn drain(
    lifecycle: Lifecycle<Draining>,
    services: &Services,
    clock: Clock,
    logger: &Logger,
) -> Lifecycle<Draining> {
    services.announcer.change_stage(Stage::Draining, MemberState::Draining);
    services.work.seal();
    services.entry.seal();
    let limit = clock.now() + DRAIN_LIMIT;
    tokio::time::sleep(DRAIN_REFUSAL_TIME).await;
    while has_calls_in_flight(services) && clock.now() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    if has_calls_in_flight(services) {
        warn!(logger, "process: calls cut off by the drain limit"; "calls" => services.work.in_flight());
    }
    if let Some(service) = services.announcer.service() {
        let successor = services.leaver.hand_over(&service).await;
        if let Some(successor) = &successor {
            info!(logger, "process: once-only table handed over"; "successor" => %successor);
        }
        services.announcer.leave(successor);
    }
    tokio::time::sleep(LEAVE_APPEND_TIME).await;
    lifecycle
}

fn has_calls_in_flight(services: &Services) -> bool {
    services.work.in_flight() + services.entry.in_flight() > 0
}
