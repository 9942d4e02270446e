//! Life cycle of the process: starts its services and servers, and drains them at the end.

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
use crate::closing::Closer;
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
/// Longest time that a graceful stop waits, after the last answer, for clients that still read.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);
/// Interval between checks of the calls in flight while draining.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Least time for which a draining node stays up and refuses calls, so that the members stop
/// sending to it before it ends.
const DRAIN_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Time in which the record that this instance left may still reach the log and the members.
const LEAVE_APPEND_TIME: Duration = Duration::from_millis(200);

/// Why the process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket, the runtime or a signal handler could not be set up.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A service that another one needs is not registered.
    #[error("{0}")]
    Registry(#[from] RegistryError),
    /// The log format is unknown.
    #[error("{0}")]
    Format(String),
}

/// Listening sockets of the three servers, bound before anything is announced.
struct Sockets {
    caller: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// Services that this module uses itself.
struct Services {
    registry: Arc<Registry>,
    closer: Arc<Closer>,
    entry: Arc<Entry>,
    executor: Arc<Executor>,
    announcer: Arc<Announcer>,
    handover_sender: HandoverSender,
}

/// Channels from the services to the tasks that use the log.
struct LogChannels {
    hints: mpsc::Receiver<String>,
    appends: mpsc::UnboundedReceiver<MemberRecord>,
}

/// Runs the node until it receives SIGTERM and has drained.
///
/// # Errors
///
/// A [`StartError`] if the node cannot start; a node that has started ends without an error.
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
    let closer = Closer::new(clock, component_logger(&root, "listen"));
    tokio::spawn(closer.clone().report());
    let (services, hints) = build_services(clock, &settings, &sockets, records, closer)?;
    spawn_log_tasks(clock, &settings, &services, LogChannels { hints, appends }, &root)?;
    print_ready(&sockets)?;
    let lifecycle = lifecycle.serve();
    info!(logger, "process: serving"; "instance" => %settings.instance);
    let mut terminate = signal(SignalKind::terminate())?;
    let servers = spawn_servers(sockets, &lifecycle, &services, clock, settings.customer.clone())?;
    terminate.recv().await;
    info!(logger, "process: draining");
    let lifecycle = drain(lifecycle.drain(), &services, clock, &logger).await;
    services.closer.stop();
    let _stopped = lifecycle.stop();
    for server in servers {
        // A server task that was cancelled needs no handling: the process ends.
        let _ = server.await;
    }
    let limit = clock.now() + CLOSE_LIMIT;
    while services.closer.waiting() > 0 && clock.now() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
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
    closer: Arc<Closer>,
) -> Result<(Services, mpsc::Receiver<String>), StartError> {
    let incarnation = new_incarnation();
    let instance = settings.instance.clone();
    let bound_address = sockets.peer.local_addr()?;
    let peer_address = settings.advertised.unwrap_or(bound_address);
    let sender =
        Sender { instance: instance.clone(), incarnation, address: peer_address.to_string() };
    let zone = settings.zone.clone();
    let identity =
        Identity { instance: instance.clone(), incarnation, zone: zone.clone(), peer_address };
    let retention = Duration::from_secs(settings.log_retention_s);
    let (contracts, hints) = Contracts::new(clock, instance.clone(), retention);
    let registry = Arc::new(Registry::default());
    registry.register(settings.values.clone());
    registry.register(closer.clone());
    registry.register(Arc::new(contracts));
    registry.register(Arc::new(Directory::default()));
    registry.register(Arc::new(DownstreamLevels::new(clock, &registry)?));
    registry.register(Arc::new(Links::default()));
    let peer = Peer { instance: instance.clone(), address: sender.address.clone() };
    registry.register(Arc::new(Members::new(clock, peer, zone.clone(), &registry)?));
    registry.register(Arc::new(Runs::default()));
    registry.register(Arc::new(Target::new()));
    registry.register(Arc::new(AdmissionController::new(clock)));
    registry.register(Arc::new(OnceTable::new(clock, instance.clone(), incarnation)));
    registry.register(Arc::new(Attempts::new(clock, incarnation)));
    registry.register(Arc::new(Suspects::new(clock, instance.clone(), &registry)?));
    let executor = Arc::new(Executor::new(clock, &registry)?);
    registry.register(executor.clone());
    registry.register(Arc::new(Metrics::new(&registry)?));
    registry.register(Arc::new(Router::new(clock, sender, zone.clone(), &registry)?));
    registry.register(Arc::new(RequestOwner::new(clock, instance.clone(), &registry)?));
    let entry = Arc::new(Entry::new(clock, settings.customer.clone(), &registry)?);
    registry.register(entry.clone());
    let announcer = Arc::new(Announcer::new(clock, identity, &registry, records)?);
    registry.register(announcer.clone());
    let handover_sender = HandoverSender::new(instance, &registry)?;
    Ok((Services { registry, closer, entry, executor, announcer, handover_sender }, hints))
}

/// Incarnation of a new process, from the wall clock, because an instance stores nothing.
///
/// The low 8 bits are random, so that a clock that was set back does not repeat a number.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random = u64::from(fastrand::u8(..));
    Incarnation((since.as_micros() as u64) << u8::BITS | random)
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

/// Prints the bound addresses, since a port 0 in the settings lets the system choose.
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
    let closer = services.closer.clone();
    let callers = listener::accept(sockets.caller, lifecycle.watch(), move |socket, graceful| {
        caller::serve_connection(socket, &closer, graceful, entry.clone(), body_reader.clone())
    });
    let peer_services = Arc::new(peer::PeerServices {
        executor: services.executor.clone(),
        contracts: services.registry.find("contracts")?,
        directory: services.registry.find("directory")?,
        members: services.registry.find("members")?,
        suspects: services.registry.find("suspects")?,
        request_owner: services.registry.find("keeper")?,
    });
    tokio::spawn(peer_services.members.clone().run());
    tokio::spawn(services.announcer.clone().watch_lease());
    let closer = services.closer.clone();
    let peers = listener::accept(sockets.peer, lifecycle.watch(), move |socket, graceful| {
        peer::serve_connection(socket, &closer, graceful, peer_services.clone())
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
            // The admin server runs as long as the process; its failure must stop nothing else.
            let _ = poem::Server::new_with_acceptor(acceptor)
                .idle_timeout(admin::IDLE_TIMEOUT)
                .run(routes)
                .await;
        }
    };
    tokio::spawn(admin);
    Ok(vec![tokio::spawn(callers), tokio::spawn(peers)])
}

/// Publishes that the node drains, refuses new calls, waits until none is in flight or the limit
/// is reached, and hands the once-only table to a successor.
async fn drain(
    lifecycle: Lifecycle<Draining>,
    services: &Services,
    clock: Clock,
    logger: &Logger,
) -> Lifecycle<Draining> {
    services.announcer.change_stage(Stage::Draining, MemberState::Draining);
    services.executor.seal();
    services.entry.seal();
    let limit = clock.now() + DRAIN_LIMIT;
    tokio::time::sleep(DRAIN_REFUSAL_TIME).await;
    while has_calls_in_flight(services) && clock.now() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    if has_calls_in_flight(services) {
        warn!(logger, "process: calls cut off by the drain limit"; "calls" => services.executor.in_flight());
    }
    if let Some(service) = services.announcer.service() {
        let successor = services.handover_sender.hand_over(&service).await;
        if let Some(successor) = &successor {
            info!(logger, "process: once-only table handed over"; "successor" => %successor);
        }
        services.announcer.leave(successor);
    }
    tokio::time::sleep(LEAVE_APPEND_TIME).await;
    lifecycle
}

fn has_calls_in_flight(services: &Services) -> bool {
    services.executor.in_flight() + services.entry.in_flight() > 0
}
