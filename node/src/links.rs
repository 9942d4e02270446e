//! Links to other nodes: one HTTP/2 connection each, pinged while calls wait on it.
//!
//! A connection that has gone silent fails within [`PING_INTERVAL`] + [`PING_TIMEOUT`], and the
//! next use opens a new one. See [silent connections](../../docs/design/silent-connections.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use poplar_core::Moment;
use poplar_kernel::Service;
use poplar_wire::MESSAGE_LIMIT_BYTES;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// Interval between pings while calls wait on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time within which a ping must be answered, or else the connection counts as failed.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// HTTP/2 flow-control window of a connection and of each stream, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// Why an exchange with another node failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    /// No connection was established, so the other node has received nothing.
    #[error("no connection to {0}")]
    NotConnected(SocketAddr),
    /// The connection failed after the message may have been sent.
    #[error("connection to {0} failed")]
    Broken(SocketAddr),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] poplar_wire::CodecError),
}

impl LinkError {
    /// Whether the other node has certainly received nothing of the message.
    pub(crate) fn is_undelivered(&self) -> bool {
        matches!(self, Self::NotConnected(_))
    }
}

/// Connection to one peer, established on first use.
#[derive(Default)]
struct PeerConnection {
    /// Locked while connecting, so that only one connection is established at a time.
    sender: tokio::sync::Mutex<Option<SendRequest<Full<Bytes>>>>,
    /// Number of messages without an answer yet.
    pending: AtomicUsize,
}

/// Counts a message as pending until it is dropped.
struct PendingGuard<'a>(&'a PeerConnection);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.pending.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Service that exchanges messages with other nodes.
#[derive(Default)]
pub(crate) struct Links {
    connections: Mutex<HashMap<SocketAddr, Arc<PeerConnection>>>,
}

impl Links {
    /// Sends `message` to `path` at `peer` and waits for the complete answer.
    pub(crate) async fn exchange<M, A>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        message: &M,
    ) -> Result<A, LinkError>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let body = poplar_wire::encode(message)?;
        let connection = self.connection(peer);
        connection.pending.fetch_add(1, Ordering::AcqRel);
        let _pending = PendingGuard(&connection);
        let answer = self.send(&connection, peer, path, body).await;
        if matches!(answer, Err(LinkError::Broken(_))) {
            self.drop_idle();
        }
        Ok(poplar_wire::decode(&answer?)?)
    }

    async fn send(
        &self,
        connection: &PeerConnection,
        peer: SocketAddr,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, LinkError> {
        let mut sender = connection.sender(peer).await?;
        let uri = Uri::builder()
            .scheme("http")
            .authority(peer.to_string())
            .path_and_query(path)
            .build()
            .map_err(|_| LinkError::NotConnected(peer))?;
        let req = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|_| LinkError::NotConnected(peer))?;
        let resp = sender.send_request(req).await.map_err(|_| LinkError::Broken(peer))?;
        let whole = Limited::new(resp.into_body(), MESSAGE_LIMIT_BYTES).collect().await;
        Ok(whole.map_err(|_| LinkError::Broken(peer))?.to_bytes())
    }

    /// Drops the connections without pending messages after a connection failed during an exchange.
    ///
    /// Whatever lost the state of one open connection may have lost that of others, and an idle
    /// connection would reveal this only to the next call.
    fn drop_idle(&self) {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|_, connection| connection.pending.load(Ordering::Acquire) > 0);
    }

    fn connection(&self, peer: SocketAddr) -> Arc<PeerConnection> {
        let mut connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.entry(peer).or_default().clone()
    }
}

impl PeerConnection {
    async fn sender(&self, peer: SocketAddr) -> Result<SendRequest<Full<Bytes>>, LinkError> {
        let mut current = self.sender.lock().await;
        if let Some(sender) = current.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let sender = connect(peer).await?;
        *current = Some(sender.clone());
        Ok(sender)
    }
}

async fn connect(peer: SocketAddr) -> Result<SendRequest<Full<Bytes>>, LinkError> {
    let not_connected = || LinkError::NotConnected(peer);
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
        .await
        .map_err(|_| not_connected())?
        .map_err(|_| not_connected())?;
    socket.set_nodelay(true).map_err(|_| not_connected())?;
    let handshake = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(TokioIo::new(socket));
    let (sender, connection) = handshake.await.map_err(|_| not_connected())?;
    tokio::spawn(async move {
        // Each waiting call receives the error through its own sender.
        let _ = connection.await;
    });
    Ok(sender)
}

impl Service for Links {
    fn name(&self) -> &'static str {
        "links"
    }

    fn dump(&self, _now: Moment) -> Value {
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let mut peers: Vec<_> = connections.keys().map(ToString::to_string).collect();
        peers.sort();
        json!({ "connections": peers })
    }
}
