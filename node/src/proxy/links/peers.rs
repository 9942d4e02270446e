//! Links to the other nodes, and what nodes tell each other over them.

use std::collections::HashMap;
use std::io::ErrorKind;
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
use poplar_core::{CallId, LinkId, Moment, Name, Outcome};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::proxy::frame::{Call, CallAnswer, Message, StateSummary, TargetResponse};
use crate::proxy::links::link::{Link, LinkError, Outbox, ProtocolVersion, drive, lock};
use crate::proxy::links::runs::RunTable;
use crate::proxy::links::traffic::Traffic;
use crate::proxy::locality::Locality;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::target::run::Runner;

/// Time within which a link must be made: a few round trips between availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may go without an acknowledgement before the kernel gives up.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a node is asked what became of a call whose link broke. Together with the time
/// that a silent link lives, a pause of the other process of 4 s costs no run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between two such questions.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between looks at the links; a third of the time after which a quiet one is pinged.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Token of the upgrade to the link protocol.
const PROTOCOL: &str = "poplar-link";
/// Headers that tell the availability zone and the address of the node that asks for a link.
const ZONE_HEADER: &str = "poplar-zone";
const NODE_HEADER: &str = "poplar-node";
/// Header in which both ends of a link tell the version of their messages; a node of an earlier
/// version sends none.
const VERSION_HEADER: &str = "poplar-version";
/// Value of that header.
const VERSION: &str = "3";
/// Value that nodes send which hold no runs.
const DIGESTS_VERSION: &str = "2";
/// Header in which both ends tell what they understand beyond that version, so that nodes which know
/// no later version go on with it.
const FEATURES_HEADER: &str = "poplar-features";
/// Value of nodes that take news of requests which ended targets.
const CRASHES_FEATURE: &str = "crashes";
/// Header with the number by which claims name the link.
const LINK_HEADER: &str = "poplar-link";
/// Messages from all links that may wait to be taken in.
pub(crate) const RECEIVED_MAX: usize = 4_096;

/// Service that keeps the links.
pub(crate) struct Peers {
    pub(crate) clock: Clock,
    pub(crate) address: Name,
    pub(crate) zone: Name,
    pub(crate) rules: Arc<Rules>,
    pub(crate) roster: Arc<Roster>,
    pub(crate) runner: Arc<Runner>,
    pub(crate) crashes: Arc<CrashRecords>,
    pub(crate) traffic: Arc<Traffic>,
    /// Takes what the other ends of links tell apart from calls.
    pub(crate) received: mpsc::Sender<ReceivedMessage>,
    pub(crate) logger: Logger,
    pub(crate) links: PeerLinks,
    pub(crate) runs: RunTable,
}

/// Places for the links, by the address of the other node.
pub(crate) type PeerLinks = Mutex<HashMap<Name, Arc<PeerLink>>>;

/// Message that came over a link, and where it came from.
pub(crate) struct ReceivedMessage {
    pub(crate) sender: LinkPeer,
    pub(crate) message: Message,
}

/// Other end of a link.
#[derive(Clone)]
pub(crate) struct LinkPeer {
    /// Address of the node; none if it did not tell.
    pub(crate) node: Option<Name>,
    pub(crate) outbox: Arc<Outbox>,
}

/// Place for the link to one peer; held while connecting, so that one link is made at a time.
#[derive(Default)]
pub(crate) struct PeerLink {
    state: tokio::sync::Mutex<LinkState>,
}

/// Link to one peer, or how the last attempt to make one failed.
#[derive(Default)]
struct LinkState {
    link: Option<Arc<Link>>,
    failure: Option<FailedConnect>,
}

/// Failed attempt to make a link.
struct FailedConnect {
    at: Moment,
    error: LinkError,
}

impl LinkState {
    /// Link that is in use.
    fn usable(&self) -> Option<&Arc<Link>> {
        self.link.as_ref().filter(|link| !link.outbox.is_closed())
    }
}

impl Peers {
    /// Has the node at `peer` run a call and waits for its answer.
    ///
    /// If the link of a call that must run `once` breaks, the error names the call for
    /// [`Peers::claim`].
    pub(crate) async fn call(
        self: &Arc<Self>,
        peer: &Name,
        call: Call,
        once: bool,
    ) -> Result<CallAnswer, LinkError> {
        if *peer == self.address {
            return Ok(self.runner.run(&call).await);
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

    /// Asks the node at `peer` what became of a call whose link broke, until it tells or is gone.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        peer: &Name,
        call: CallId,
        deadline: Moment,
    ) -> Result<CallAnswer, LinkError> {
        let claimed = self.poll_claim(peer, call, deadline).await;
        let told = claimed.as_ref().ok().map(|answer| &answer.outcome);
        info!(self.logger, "link: call asked for"; "peer" => %peer, "outcome" => outcome_label(told));
        claimed
    }

    async fn poll_claim(
        self: &Arc<Self>,
        peer: &Name,
        call: CallId,
        deadline: Moment,
    ) -> Result<CallAnswer, LinkError> {
        let limit = deadline.min(self.clock.now() + CLAIM_TIMEOUT);
        while self.clock.now() < limit {
            let asked = match self.get_or_connect(peer).await {
                Ok(link) if link.outbox.supports_claims() => match link.claim(call) {
                    Ok(pending) => pending.answer().await,
                    Err(error) => Err(error),
                },
                // Another process is there, one of an earlier version.
                Ok(_) => return Err(LinkError::Broken),
                Err(error) => Err(error),
            };
            match asked {
                Ok(answer) => return Ok(answer),
                Err(LinkError::NotListening) => return Err(LinkError::Broken),
                Err(_) => {}
            }
            tokio::time::sleep(CLAIM_INTERVAL).await;
        }
        Err(LinkError::Broken)
    }

    /// Checks the links once; due every [`CHECK_INTERVAL`].
    pub(crate) fn check(&self) {
        let now = self.clock.now();
        self.runs.expire(now);
        let known = self.state_summary();
        lock(&self.links).retain(|_, slot| {
            // A slot that is locked or held elsewhere is connecting.
            let Ok(line) = slot.state.try_lock() else { return true };
            match line.usable() {
                Some(link) => {
                    link.check(now, known);
                    true
                }
                None => Arc::strong_count(slot) > 1,
            }
        });
    }

    /// Sending side of the link to the node at `peer`; none if it cannot be reached.
    pub(crate) async fn outbox_to(self: &Arc<Self>, peer: &Name) -> Option<Arc<Outbox>> {
        let link = self.get_or_connect(peer).await.ok()?;
        Some(link.outbox.clone())
    }

    async fn get_or_connect(self: &Arc<Self>, peer: &Name) -> Result<Arc<Link>, LinkError> {
        let asked = self.clock.now();
        let slot = lock(&self.links).entry(peer.clone()).or_default().clone();
        let mut line = slot.state.lock().await;
        if let Some(link) = line.usable() {
            return Ok(link.clone());
        }
        // Whoever waits while an attempt fails shares its end.
        if let Some(missed) = line.failure.as_ref().filter(|missed| missed.at > asked) {
            return Err(missed.error);
        }
        match self.connect(peer).await {
            Ok(link) => {
                *line = LinkState { link: Some(link.clone()), failure: None };
                Ok(link)
            }
            Err(error) => {
                let at = self.clock.now();
                *line = LinkState { link: None, failure: Some(FailedConnect { at, error }) };
                Err(error)
            }
        }
    }

    /// Makes a link.
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
        )
    }

    /// Takes in what the other end of an own link sends.
    async fn drive_outgoing(
        self: Arc<Self>,
        peer: Name,
        link: Arc<Link>,
        socket: TcpStream,
        unread: Bytes,
    ) {
        let sender = LinkPeer { node: Some(peer.clone()), outbox: link.outbox.clone() };
        let take = |message| {
            link.record_received(self.clock.now());
            match message {
                Message::Answer(number, answer) => link.complete(number, *answer),
                other => self.receive(&sender, other),
            }
        };
        drive(socket, &unread, &link.outbox, take).await;
        info!(self.logger, "link: lost"; "peer" => %peer, "calls" => link.waiting());
        link.abandon();
    }

    /// Serves a connection on which another node asks for a link.
    pub(crate) async fn serve(self: Arc<Self>, socket: TcpStream) {
        set_socket_options(&socket);
        let peers = self.clone();
        let service = service_fn(move |req| {
            let peers = peers.clone();
            async move { Ok::<_, std::convert::Infallible>(peers.accept(req)) }
        });
        // A peer that speaks something else is of no further interest.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(socket), service)
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
        let told = |name| req.headers().get(name).and_then(|value| value.to_str().ok());
        let outbox = Arc::new(self.outbox(told(ZONE_HEADER), version(req.headers())));
        let sender = LinkPeer { node: told(NODE_HEADER).map(Name::new), outbox };
        // A node that names no link sends no held calls over it.
        let named = told(LINK_HEADER).and_then(|text| text.parse().ok());
        let link = LinkId(named.unwrap_or_else(|| fastrand::u64(..)));
        tokio::spawn(async move {
            if let Ok(upgraded) = hyper::upgrade::on(req).await
                && let Some((socket, unread)) = into_socket(upgraded)
            {
                peers.drive_incoming(socket, unread, sender, link).await;
            }
        });
        *resp.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
        resp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
        resp.headers_mut().insert(header::UPGRADE, HeaderValue::from_static(PROTOCOL));
        resp.headers_mut().insert(VERSION_HEADER, HeaderValue::from_static(VERSION));
        resp.headers_mut().insert(FEATURES_HEADER, HeaderValue::from_static(CRASHES_FEATURE));
        resp
    }

    /// Runs the calls that come over a link of another node.
    async fn drive_incoming(
        self: Arc<Self>,
        socket: TcpStream,
        unread: Bytes,
        sender: LinkPeer,
        link: LinkId,
    ) {
        let (outbox, served) = (sender.outbox.clone(), self.runs.open_link(link, &sender.outbox));
        let run = |call: Box<Call>| {
            let (peers, outbox) = (self.clone(), outbox.clone());
            async move {
                let answer = peers.runner.run(&call).await;
                peers.send_crashes(&call, &answer, &outbox);
                answer
            }
        };
        let take = |message| match message {
            Message::Call(number, call) => served.run(number, run(call)),
            Message::HeldCall(number, call) => served.run_held(number, self.clock, run(call)),
            Message::Claim(number, call) => served.claim(number, self.clock, call),
            Message::Cancel(number) => served.cancel(number),
            other => self.receive(&sender, other),
        };
        drive(socket, &unread, &outbox, take).await;
        served.close(self.clock.now());
    }

    /// Has the sender of a call know what is held against it before the answer comes, by which it may
    /// send the request elsewhere.
    fn send_crashes(&self, call: &Call, answer: &CallAnswer, outbox: &Outbox) {
        if outbox.supports_crashes() && !matches!(answer.outcome, Outcome::Done(_)) {
            let told = self.crashes.export_request(call.fingerprint());
            if !told.is_empty() {
                outbox.push(&Message::Crashes(told));
            }
        }
    }

    /// Answers a ping and passes on what nodes tell each other apart from calls.
    fn receive(&self, sender: &LinkPeer, message: Message) {
        if matches!(message, Message::Ping(_)) {
            sender.outbox.push(&Message::Pong(self.state_summary()));
        }
        // Taken in before the answer that may follow it.
        if let Message::Crashes(told) = &message {
            self.crashes.merge(told, sender.outbox.forward_reach());
            return;
        }
        let post = ReceivedMessage { sender: sender.clone(), message };
        if self.received.try_send(post).is_err() {
            warn!(self.logger, "link: message dropped as too many wait");
        }
    }

    fn state_summary(&self) -> StateSummary {
        StateSummary { revision: self.rules.revision(), targets: self.roster.checksum() }
    }
}

impl Service for Peers {
    fn name(&self) -> &'static str {
        "links"
    }

    fn dump(&self, _now: Moment) -> Value {
        let slots = lock(&self.links);
        let rows = slots.iter().map(|(peer, slot)| {
            let line = slot.state.try_lock().ok();
            let waiting = line.and_then(|line| Some(line.link.as_ref()?.waiting()));
            (peer.to_string(), json!(waiting))
        });
        Value::Object(rows.collect())
    }
}

async fn connect(
    peer: &Name,
    own: &Name,
    zone: &Name,
    id: LinkId,
) -> std::io::Result<(TcpStream, Bytes, ProtocolVersion)> {
    let socket = TcpStream::connect(peer.as_str()).await?;
    set_socket_options(&socket);
    let (mut sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // The error reaches the request through its sender.
        let _ = driver.with_upgrades().await;
    });
    let req = Request::builder()
        .uri("/")
        .header(header::HOST, peer.as_str())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, PROTOCOL)
        .header(ZONE_HEADER, zone.as_str())
        .header(NODE_HEADER, own.as_str())
        .header(VERSION_HEADER, VERSION)
        .header(FEATURES_HEADER, CRASHES_FEATURE)
        .header(LINK_HEADER, id.0)
        .body(Empty::<Bytes>::new())
        .map_err(std::io::Error::other)?;
    let resp = sender.send_request(req).await.map_err(std::io::Error::other)?;
    let version = version(resp.headers());
    let upgraded = hyper::upgrade::on(resp).await.map_err(std::io::Error::other)?;
    let (socket, unread) = into_socket(upgraded)
        .ok_or_else(|| std::io::Error::other("the upgrade kept its socket"))?;
    Ok((socket, unread, version))
}

/// Outcome in the log.
fn outcome_label(outcome: Option<&Outcome<TargetResponse>>) -> &'static str {
    match outcome {
        Some(Outcome::Done(_)) => "done",
        Some(Outcome::NotRun { .. }) => "not-run",
        Some(Outcome::Unknown { .. }) | None => "unknown",
    }
}

/// Version that the other end speaks, by the headers of the upgrade.
fn version(headers: &HeaderMap) -> ProtocolVersion {
    let crashes = headers.get(FEATURES_HEADER).is_some_and(|told| told == CRASHES_FEATURE);
    match headers.get(VERSION_HEADER).map(HeaderValue::as_bytes) {
        Some(told) if told == VERSION.as_bytes() && crashes => ProtocolVersion::Crashes,
        Some(told) if told == VERSION.as_bytes() => ProtocolVersion::Claims,
        Some(told) if told == DIGESTS_VERSION.as_bytes() => ProtocolVersion::Digests,
        _ => ProtocolVersion::FullRosters,
    }
}

fn into_socket(upgraded: Upgraded) -> Option<(TcpStream, Bytes)> {
    let parts = upgraded.downcast::<TokioIo<TcpStream>>().ok()?;
    Some((parts.io.into_inner(), parts.read_buf))
}

/// Sets what keeps latency low and finds a dead peer.
fn set_socket_options(socket: &TcpStream) {
    // Both only help; a socket without them still works.
    let _ = socket.set_nodelay(true);
    let _ = SockRef::from(socket).set_tcp_user_timeout(Some(ACK_TIMEOUT));
}
