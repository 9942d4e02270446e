//! Links to and from other nodes: connection setup, calls, claims, and dispatch of other messages.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use poplar_core::{CallId, LinkId, Moment, Name, Outcome, Rate, TargetLifetime};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use crate::closing::{Closer, ClosingStream};
use crate::proxy::frame::{Call, CallAnswer, CallNumber, Message, StateSummary, TargetResponse};
use crate::proxy::in_flight::InFlightGuard;
use crate::proxy::links::large_frame::{Intake, LargeFrames};
use crate::proxy::links::leases;
use crate::proxy::links::link::{
    AnswerIntake, Link, LinkEnd, LinkError, Outbox, ProtocolVersion, drive, lock,
};
use crate::proxy::links::runs::RunTable;
use crate::proxy::links::traffic::Traffic;
use crate::proxy::locality::Locality;
use crate::proxy::memory::{COUNTED_BYTES, CallerMemory};
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::quotas::Quotas;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::target::local_target::LocalTarget;
use crate::proxy::target::run::{CallSender, Runner};

/// Timeout for establishing a link; allows for a few round trips between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection
/// (`TCP_USER_TIMEOUT`).
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a call whose link broke is claimed from the other node, from the last moment at
/// which that node could be reached. Together with the time until a silent link is closed, this
/// covers a pause of the other process of 4 s without the loss of a run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between two claims of the same call.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of all links; about a third of the time after which a quiet link is
/// pinged.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest interval at which a node tells the sender of large calls that they arrive; a fraction
/// of the time within which a ping must be answered.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);
/// Name of the link protocol in the `Upgrade` field.
const PROTOCOL: &str = "poplar-link";
/// Header with the availability zone of the node that requests a link.
const ZONE_HEADER: &str = "poplar-zone";
/// Header with the address of the node that requests a link.
const NODE_HEADER: &str = "poplar-node";
/// Header with which both ends of a link state their protocol version; the oldest version sends
/// none.
const VERSION_HEADER: &str = "poplar-version";
/// Value of the version header that this node sends.
const VERSION: &str = "3";
/// Value of the version header of nodes that do not support held calls.
const DIGESTS_VERSION: &str = "2";
/// Header with which both ends state features beyond their version. Nodes that do not know a higher
/// version number would fall back to the oldest version.
const FEATURES_HEADER: &str = "poplar-features";
/// Value of the features header of nodes that accept messages about requests that crashed targets.
const CRASHES_FEATURE: &str = "crashes";
/// Second value of that header, of nodes that accept messages about the rate limits of targets.
/// Nodes that do not know it read the first value only.
const LIMITS_FEATURE: &str = "limits";
/// Third value of that header, of nodes that accept messages about the rate limits of workspaces.
const LEASES_FEATURE: &str = "leases";
/// Header with the number that identifies the link in claims.
const LINK_HEADER: &str = "poplar-link";
/// Capacity of the queue of received messages, for all links together.
pub(crate) const RECEIVED_MAX: usize = 4_096;

/// Kernel service that maintains the links.
pub(crate) struct Peers {
    pub(crate) clock: Clock,
    pub(crate) address: Name,
    pub(crate) zone: Name,
    pub(crate) rules: Arc<Rules>,
    pub(crate) roster: Arc<Roster>,
    pub(crate) local_target: Arc<LocalTarget>,
    pub(crate) runner: Arc<Runner>,
    pub(crate) crashes: Arc<CrashRecords>,
    pub(crate) quotas: Arc<Quotas>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) memory: Arc<CallerMemory>,
    /// Bytes of bodies that may be queued for one link.
    pub(crate) backlog_bytes: usize,
    /// Queue for received messages that belong to no call.
    pub(crate) received: mpsc::Sender<ReceivedMessage>,
    pub(crate) logger: Logger,
    pub(crate) links: PeerLinks,
    /// Time of the last [`Peers::check`].
    pub(crate) last_check: Mutex<Moment>,
    pub(crate) runs: RunTable,
    pub(crate) closer: Arc<Closer>,
    /// Number of links that are open, in either direction.
    pub(crate) open_links: AtomicUsize,
    /// Set to close all links.
    pub(crate) shutdown: watch::Sender<bool>,
}

/// Links by the address of the other node.
pub(crate) type PeerLinks = Mutex<HashMap<Name, Arc<PeerLink>>>;

/// Message received over a link, with its sender.
pub(crate) struct ReceivedMessage {
    pub(crate) sender: LinkPeer,
    pub(crate) message: Message,
}

/// Other end of a link.
#[derive(Clone)]
pub(crate) struct LinkPeer {
    /// Address of the node; none if it did not state it.
    pub(crate) node: Option<Name>,
    pub(crate) outbox: Arc<Outbox>,
}

/// Link to one peer. The state stays locked while connecting, so that there is one attempt at a
/// time.
#[derive(Default)]
pub(crate) struct PeerLink {
    state: tokio::sync::Mutex<LinkState>,
}

/// Established link to one peer, or the failure of the last attempt to establish one.
#[derive(Default)]
struct LinkState {
    link: Option<Arc<Link>>,
    failure: Option<FailedConnect>,
}

/// Failed attempt to establish a link.
struct FailedConnect {
    at: Moment,
    error: LinkError,
}

impl LinkState {
    /// The link, unless it is closed.
    fn usable(&self) -> Option<&Arc<Link>> {
        self.link.as_ref().filter(|link| !link.outbox.is_closed())
    }
}

/// Largest number of bytes of bodies that may be queued for one link.
const BACKLOG_BYTES: usize = 32 << 20;
/// Divisor of the memory of the process that gives the bytes that may be queued for one link, if
/// they are fewer: half of the memory for answers of the target.
const BACKLOG_DIVISOR: u64 = 8;

impl Peers {
    /// Bytes of bodies that may be queued for one link of a process that may use `memory` bytes.
    pub(crate) fn backlog_bytes(memory: u64) -> usize {
        usize::try_from(memory / BACKLOG_DIVISOR).unwrap_or(usize::MAX).min(BACKLOG_BYTES)
    }

    /// Sends a call to the node at `peer` and waits for its answer; a call to this node runs
    /// directly.
    ///
    /// # Errors
    ///
    /// `Held`, with the identifier for [`Peers::claim`], if the link of a call that must run only
    /// `once` breaks and the other node supports claims.
    pub(crate) async fn call(
        self: &Arc<Self>,
        peer: &Name,
        call: Call,
        once: bool,
    ) -> Result<CallAnswer, LinkError> {
        if *peer == self.address {
            let answer = self.runner.run(&call, CallSender::Own).await;
            if let Some((lifetime, rate)) = self.refusing_limit(&answer) {
                self.roster.adopt_limit(peer, lifetime, rate);
            }
            return self.hold_for_caller(answer);
        }
        let link = self.get_or_connect(peer).await?;
        if !(once && link.outbox.supports_claims()) {
            return link.send(call)?.answer().await;
        }
        let pending = link.send_held(call)?;
        let id = pending.id();
        let answer = pending.answer().await;
        answer.map_err(|error| match error {
            LinkError::Broken => LinkError::Held(id),
            other => other,
        })
    }

    /// Counts the answer of the local target as held for its caller rather than as read from the
    /// target, so that it does not stand in the way of answers for other nodes.
    fn hold_for_caller(&self, mut answer: CallAnswer) -> Result<CallAnswer, LinkError> {
        if let Outcome::Done(response) = &mut answer.outcome {
            let bytes = response.body.len();
            if bytes >= COUNTED_BYTES {
                let share = self.memory.take(bytes).ok_or(LinkError::Discarded(bytes))?;
                response.share = Some(share);
            }
        }
        Ok(answer)
    }

    /// Claims the answer of a call whose link broke from the node at `peer`, until the node
    /// answers, its process is gone, it was out of reach for `CLAIM_TIMEOUT`, or the deadline has
    /// passed.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        peer: &Name,
        call: CallId,
        deadline: Moment,
    ) -> Result<CallAnswer, LinkError> {
        let claimed = self.poll_claim(peer, call, deadline).await;
        let outcome = claimed.as_ref().ok().map(|answer| &answer.outcome);
        info!(self.logger, "link: call claimed"; "peer" => %peer,
            "outcome" => outcome_label(outcome));
        claimed
    }

    async fn poll_claim(
        self: &Arc<Self>,
        peer: &Name,
        call: CallId,
        deadline: Moment,
    ) -> Result<CallAnswer, LinkError> {
        let limit = || deadline.min(self.clock.now() + CLAIM_TIMEOUT);
        let mut claim_until = limit();
        while self.clock.now() < claim_until {
            let result = match self.get_or_connect(peer).await {
                Ok(link) if link.outbox.supports_claims() => match link.claim(call) {
                    Ok(pending) => {
                        let answer = pending.answer().await;
                        // This link may have broken long after the first one did.
                        claim_until = limit();
                        answer
                    }
                    Err(error) => Err(error),
                },
                // A process of an earlier version has replaced the one that held the run.
                Ok(_) => return Err(LinkError::Broken),
                Err(error) => Err(error),
            };
            match result {
                Ok(answer) => return Ok(answer),
                Err(LinkError::NotListening) => return Err(LinkError::Broken),
                Err(error @ LinkError::Discarded(_)) => return Err(error),
                Err(_) => {}
            }
            tokio::time::sleep(CLAIM_INTERVAL).await;
        }
        Err(LinkError::Broken)
    }

    /// Checks all links once; called every [`CHECK_INTERVAL`].
    pub(crate) fn check(&self) {
        let now = self.clock.now();
        let last_check = std::mem::replace(&mut *lock(&self.last_check), now);
        let stalled = now.since(last_check).saturating_sub(CHECK_INTERVAL * 2);
        self.runs.expire(now);
        let summary = self.state_summary();
        lock(&self.links).retain(|_, peer_link| {
            // A link whose state is locked, or that is referenced elsewhere, is connecting.
            let Ok(state) = peer_link.state.try_lock() else { return true };
            match state.usable() {
                Some(link) => {
                    link.check(now, stalled, summary);
                    true
                }
                None => Arc::strong_count(peer_link) > 1,
            }
        });
    }

    /// Connects to the node at `peer` if necessary, and returns the sending side of the link; none
    /// if the node cannot be reached.
    pub(crate) async fn outbox_to(self: &Arc<Self>, peer: &Name) -> Option<Arc<Outbox>> {
        let link = self.get_or_connect(peer).await.ok()?;
        Some(link.outbox.clone())
    }

    /// As [`Self::outbox_to`], with the reason of a failure.
    pub(crate) async fn connected_outbox(
        self: &Arc<Self>,
        peer: &Name,
    ) -> Result<Arc<Outbox>, LinkError> {
        Ok(self.get_or_connect(peer).await?.outbox.clone())
    }

    async fn get_or_connect(self: &Arc<Self>, peer: &Name) -> Result<Arc<Link>, LinkError> {
        let started = self.clock.now();
        let peer_link = lock(&self.links).entry(peer.clone()).or_default().clone();
        let mut state = peer_link.state.lock().await;
        if let Some(link) = state.usable() {
            return Ok(link.clone());
        }
        // An attempt that failed while this call waited for the lock counts for this call, too.
        if let Some(failure) = state.failure.as_ref().filter(|failure| failure.at > started) {
            return Err(failure.error);
        }
        match self.connect(peer).await {
            Ok(link) => {
                *state = LinkState { link: Some(link.clone()), failure: None };
                Ok(link)
            }
            Err(error) => {
                let at = self.clock.now();
                *state = LinkState { link: None, failure: Some(FailedConnect { at, error }) };
                Err(error)
            }
        }
    }

    /// Establishes a link and starts the task that drives it.
    async fn connect(self: &Arc<Self>, peer: &Name) -> Result<Arc<Link>, LinkError> {
        let id = LinkId(fastrand::u64(..));
        let connecting =
            tokio::time::timeout(CONNECT_TIMEOUT, connect(peer, &self.address, &self.zone, id));
        let (socket, unread, version) = connecting
            .await
            .map_err(|_| LinkError::Unreachable)?
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => LinkError::NotListening,
                _ => LinkError::Unreachable,
            })?;
        info!(self.logger, "link: opened"; "peer" => %peer);
        self.traffic.record_opened();
        let zone = self.roster.zone_of(peer);
        let outbox = self.outbox(zone.as_ref().map(Name::as_str), version);
        if outbox.supports_limits()
            && let Some((lifetime, rate)) = self.roster.stated_limit(peer)
        {
            outbox.push(&Message::StatedLimit(lifetime, rate));
        }
        let link = Arc::new(Link::new(self.clock.now(), id, outbox));
        tokio::spawn(self.clone().drive_outgoing(peer.clone(), link.clone(), socket, unread));
        Ok(link)
    }

    /// Sending side of a link to a node in `zone`.
    fn outbox(&self, zone: Option<&str>, version: ProtocolVersion) -> Outbox {
        let near = zone == Some(self.zone.as_str());
        Outbox::new(
            self.traffic.clone(),
            if near { Locality::SameZone } else { Locality::CrossZone },
            version,
            self.backlog_bytes,
        )
    }

    /// Drives a link that this node established, and processes the messages from the other end.
    async fn drive_outgoing(
        self: Arc<Self>,
        peer: Name,
        link: Arc<Link>,
        socket: TcpStream,
        unread: Bytes,
    ) {
        let sender = LinkPeer { node: Some(peer.clone()), outbox: link.outbox.clone() };
        let handle = |message| {
            link.record_received(self.clock.now());
            match message {
                Message::Answer(number, answer) => link.complete(number, answer.checked()),
                // Applied here, so that it takes effect before the refusal that follows it.
                Message::StatedLimit(lifetime, rate) => {
                    self.roster.adopt_limit(&peer, lifetime, rate);
                }
                other => self.receive(&sender, other),
            }
        };
        let intake = AnswerIntake { link: &link, memory: &self.memory, clock: self.clock };
        let _open = InFlightGuard::begin(&self.open_links);
        drive(socket, &unread, &link.outbox, self.link_end(), intake, handle).await;
        info!(self.logger, "link: lost"; "peer" => %peer, "calls" => link.waiting());
        link.abandon();
    }

    /// Serves a connection on which another node requests a link.
    pub(crate) async fn serve(self: Arc<Self>, socket: TcpStream) {
        set_socket_options(&socket);
        let peers = self.clone();
        let service = service_fn(move |req| {
            let peers = peers.clone();
            async move { Ok::<_, std::convert::Infallible>(peers.accept(req)) }
        });
        // Errors are ignored: they come only from connections that did not become a link.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(self.closer.peer(socket)), service)
            .with_upgrades()
            .await;
    }

    fn accept(self: &Arc<Self>, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut resp = Response::new(Full::new(Bytes::new()));
        if req.headers().get(header::UPGRADE).is_none_or(|token| token != PROTOCOL) {
            *resp.status_mut() = StatusCode::BAD_REQUEST;
            return resp;
        }
        let peers = self.clone();
        let field = |name| req.headers().get(name).and_then(|value| value.to_str().ok());
        let outbox = Arc::new(self.outbox(field(ZONE_HEADER), version(req.headers())));
        let sender = LinkPeer { node: field(NODE_HEADER).map(Name::new), outbox };
        // A node that sends no link number sends no held calls either, so any number will do.
        let number = field(LINK_HEADER).and_then(|text| text.parse().ok());
        let link = LinkId(number.unwrap_or_else(|| fastrand::u64(..)));
        tokio::spawn(async move {
            if let Ok(upgraded) = hyper::upgrade::on(req).await
                && let Some((socket, unread)) = into_accepted(upgraded)
            {
                peers.drive_incoming(socket, unread, sender, link).await;
            }
        });
        *resp.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
        resp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
        resp.headers_mut().insert(header::UPGRADE, HeaderValue::from_static(PROTOCOL));
        resp.headers_mut().insert(VERSION_HEADER, HeaderValue::from_static(VERSION));
        resp.headers_mut().insert(FEATURES_HEADER, HeaderValue::from_static(CRASHES_FEATURE));
        resp.headers_mut().append(FEATURES_HEADER, HeaderValue::from_static(LIMITS_FEATURE));
        resp.headers_mut().append(FEATURES_HEADER, HeaderValue::from_static(LEASES_FEATURE));
        resp
    }

    /// Drives a link that another node established, and runs the calls received over it.
    async fn drive_incoming(
        self: Arc<Self>,
        socket: TcpStream,
        unread: Bytes,
        sender: LinkPeer,
        link: LinkId,
    ) {
        let (outbox, runs) = (sender.outbox.clone(), self.runs.open_link(link, &sender.outbox));
        let run = |call: Box<Call>| {
            let (peers, outbox) = (self.clone(), outbox.clone());
            async move {
                let answer = peers.runner.run(&call, CallSender::Peer).await;
                peers.send_crashes(&call, &answer, &outbox);
                if outbox.supports_limits()
                    && let Some((lifetime, rate)) = peers.refusing_limit(&answer)
                {
                    outbox.push(&Message::StatedLimit(lifetime, rate));
                }
                answer
            }
        };
        let handle = |message| match message {
            Message::Call(number, call) => runs.run(number, run(call)),
            Message::HeldCall(number, call) => runs.run_held(number, self.clock, run(call)),
            Message::Claim(number, call) => runs.claim(number, self.clock, call),
            Message::Cancel(number) => runs.cancel(number),
            // Applied here, so that it takes effect before the calls that follow it.
            Message::StatedLimit(lifetime, rate) => self.local_target.adopt_limit(lifetime, rate),
            other => self.receive(&sender, other),
        };
        let _open = InFlightGuard::begin(&self.open_links);
        let intake = CallIntake { peers: &self, outbox: &outbox, reported_at: self.clock.now() };
        drive(socket, &unread, &outbox, self.link_end(), intake, handle).await;
        runs.close(self.clock.now());
    }

    /// Sends what is known about crashes caused by the request of a call that did not complete to
    /// the caller's node, ahead of the answer: with the answer that node may send the request
    /// elsewhere.
    fn send_crashes(&self, call: &Call, answer: &CallAnswer, outbox: &Outbox) {
        if outbox.supports_crashes() && !matches!(answer.outcome, Outcome::Done(_)) {
            let news = self.crashes.export_request(call.fingerprint());
            if !news.is_empty() {
                outbox.push(&Message::Crashes(news));
            }
        }
    }

    /// Rate limit of the local target if the node refused a call, possibly because of it. The
    /// caller's node needs it to tell a limited target from a service that is short of room.
    fn refusing_limit(&self, answer: &CallAnswer) -> Option<(TargetLifetime, Rate)> {
        let refused = !answer.offered && matches!(answer.outcome, Outcome::NotRun { .. });
        refused.then(|| self.local_target.stated_limit()).flatten()
    }

    /// Processes a message that belongs to no call: answers a ping or a request for tokens, applies
    /// a crash message or granted tokens, and queues any other message, as well as the ping, in
    /// `received`.
    fn receive(self: &Arc<Self>, sender: &LinkPeer, message: Message) {
        let message = match message {
            Message::Lease(number, request) => {
                tokio::spawn(leases::serve(self.clone(), sender.outbox.clone(), number, request));
                return;
            }
            Message::Leased(number, answer) => return self.quotas.complete(number, answer),
            other => other,
        };
        if matches!(message, Message::Ping(_)) {
            sender.outbox.push(&Message::Pong(self.state_summary()));
        }
        // Applied here rather than through the queue, so that it takes effect before an answer that
        // follows it.
        if let Message::Crashes(news) = &message {
            self.crashes.merge(news, sender.outbox.forward_locality());
            return;
        }
        let received = ReceivedMessage { sender: sender.clone(), message };
        if self.received.try_send(received).is_err() {
            warn!(self.logger, "link: message dropped because the queue is full");
        }
    }

    fn link_end(&self) -> LinkEnd {
        LinkEnd { closer: self.closer.clone(), shutdown: self.shutdown.subscribe() }
    }

    /// Number of links that are open, in either direction.
    pub(crate) fn open_links(&self) -> usize {
        self.open_links.load(Ordering::Acquire)
    }

    /// Number of received messages that wait to be processed.
    pub(crate) fn received_queued(&self) -> usize {
        self.received.max_capacity() - self.received.capacity()
    }

    fn state_summary(&self) -> StateSummary {
        StateSummary { revision: self.rules.revision(), targets: self.roster.checksum() }
    }
}

/// Takes in large calls. While they arrive, it tells their sender so: a ping of that node waits
/// behind them, and it would take a long transfer for silence.
struct CallIntake<'a> {
    peers: &'a Peers,
    outbox: &'a Outbox,
    reported_at: Moment,
}

impl LargeFrames for CallIntake<'_> {
    fn admit(&mut self, _answered: Option<CallNumber>, _len: usize) -> Intake {
        Intake::Read(None)
    }

    fn record_progress(&mut self) {
        let now = self.peers.clock.now();
        if now.since(self.reported_at) >= PROGRESS_INTERVAL {
            self.reported_at = now;
            self.outbox.push(&Message::Pong(self.peers.state_summary()));
        }
    }
}

impl Service for Peers {
    fn name(&self) -> &'static str {
        "links"
    }

    fn dump(&self, _now: Moment) -> Value {
        let links = lock(&self.links);
        let rows = links.iter().map(|(peer, peer_link)| {
            let state = peer_link.state.try_lock().ok();
            let waiting = state.and_then(|state| Some(state.link.as_ref()?.waiting()));
            (peer.to_string(), json!(waiting))
        });
        Value::Object(rows.collect())
    }
}

async fn connect(
    peer: &Name,
    address: &Name,
    zone: &Name,
    id: LinkId,
) -> std::io::Result<(TcpStream, Bytes, ProtocolVersion)> {
    let socket = TcpStream::connect(peer.as_str()).await?;
    set_socket_options(&socket);
    let (mut sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // The request's future returns the same error.
        let _ = driver.with_upgrades().await;
    });
    let req = Request::builder()
        .uri("/")
        .header(header::HOST, peer.as_str())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, PROTOCOL)
        .header(ZONE_HEADER, zone.as_str())
        .header(NODE_HEADER, address.as_str())
        .header(VERSION_HEADER, VERSION)
        .header(FEATURES_HEADER, CRASHES_FEATURE)
        .header(FEATURES_HEADER, LIMITS_FEATURE)
        .header(FEATURES_HEADER, LEASES_FEATURE)
        .header(LINK_HEADER, id.0)
        .body(Empty::<Bytes>::new())
        .map_err(std::io::Error::other)?;
    let resp = sender.send_request(req).await.map_err(std::io::Error::other)?;
    let version = version(resp.headers());
    let upgraded = hyper::upgrade::on(resp).await.map_err(std::io::Error::other)?;
    let (socket, unread) = into_socket(upgraded)
        .ok_or_else(|| std::io::Error::other("the upgraded connection is not a TCP stream"))?;
    Ok((socket, unread, version))
}

/// Name of a claim's outcome in the log.
fn outcome_label(outcome: Option<&Outcome<TargetResponse>>) -> &'static str {
    match outcome {
        Some(Outcome::Done(_)) => "done",
        Some(Outcome::NotRun { .. }) => "not-run",
        Some(Outcome::Unknown { .. }) | None => "unknown",
    }
}

/// Protocol version of the other end, from the headers of the upgrade.
fn version(headers: &HeaderMap) -> ProtocolVersion {
    let supports =
        |feature: &str| headers.get_all(FEATURES_HEADER).iter().any(|value| value == feature);
    let (crashes, limits) = (supports(CRASHES_FEATURE), supports(LIMITS_FEATURE));
    let leases = supports(LEASES_FEATURE);
    match headers.get(VERSION_HEADER).map(HeaderValue::as_bytes) {
        Some(value) if value == VERSION.as_bytes() && crashes && limits && leases => {
            ProtocolVersion::Leases
        }
        Some(value) if value == VERSION.as_bytes() && crashes && limits => ProtocolVersion::Limits,
        Some(value) if value == VERSION.as_bytes() && crashes => ProtocolVersion::Crashes,
        Some(value) if value == VERSION.as_bytes() => ProtocolVersion::Claims,
        Some(value) if value == DIGESTS_VERSION.as_bytes() => ProtocolVersion::Digests,
        _ => ProtocolVersion::FullRosters,
    }
}

/// Socket of a link that another node has requested, with the bytes read behind the request.
fn into_accepted(upgraded: Upgraded) -> Option<(TcpStream, Bytes)> {
    let parts = upgraded.downcast::<TokioIo<ClosingStream>>().ok()?;
    Some((parts.io.into_inner().into_socket()?, parts.read_buf))
}

fn into_socket(upgraded: Upgraded) -> Option<(TcpStream, Bytes)> {
    let parts = upgraded.downcast::<TokioIo<TcpStream>>().ok()?;
    Some((parts.io.into_inner(), parts.read_buf))
}

/// Sets `TCP_NODELAY` for low latency, and `TCP_USER_TIMEOUT` to detect a dead peer.
fn set_socket_options(socket: &TcpStream) {
    // Errors are ignored because the link works without these options.
    let _ = socket.set_nodelay(true);
    let _ = SockRef::from(socket).set_tcp_user_timeout(Some(ACK_TIMEOUT));
}
