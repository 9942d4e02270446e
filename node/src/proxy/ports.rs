//! Interface between the data plane and the platform that it runs on.
//!
//! The types here use the product's own terms; an adapter translates the platform's. See
//! [platform](../../../docs/design/platform.md).

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use poplar_core::{Era, Name, Position, ResendBound, RuleSet};
use tokio::sync::watch;

/// Names of the HTTP headers that callers, targets and nodes of one installation use.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a request; a caller sends each attempt under a new one.
    pub request_id: HeaderName,
    /// Time left until the caller no longer needs the answer, in milliseconds.
    pub deadline: HeaderName,
    /// Only instance that may run the request.
    pub instance: HeaderName,
    /// Service on whose machine the request entered.
    pub caller_service: HeaderName,
    /// Key of the caller's workspace. It is not forwarded.
    pub credential: HeaderName,
    /// Name of the workspace that the request belongs to; set by the node.
    pub workspace: HeaderName,
    /// Set by a target in its answer if it did not start to run the request.
    pub not_run: HeaderName,
    /// Rate limit that a target states in its answers: the number of requests a second that it
    /// takes from all nodes together.
    pub rate_limit: HeaderName,
    /// Set to `1` by a target in its answers if it is leaving.
    pub leaving: HeaderName,
}

/// Stream of keyed records in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Rules, written by operators.
    Rules,
    /// Target records and crash records, written by nodes.
    Targets,
}

/// Record of a stream; it replaces earlier records of the same key.
#[derive(Debug, Clone)]
pub struct StoreRecord {
    /// Key within the stream: for [`Stream::Targets`], it contains the address of the node that
    /// wrote the record.
    pub key: Name,
    /// Encoded value; none if the key was deleted.
    pub value: Option<Bytes>,
}

/// Records of a stream, and the position at which the next read continues.
#[derive(Debug, Clone)]
pub struct Page {
    /// Records that were read; in stream order if [`Platform::read`] returned them.
    pub records: Vec<StoreRecord>,
    /// Position from which the next call of [`Platform::read`] misses no record, in the era that
    /// the store stated with the records.
    pub next: Position,
}

/// Reason for which a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store does not have the requested position; the newest record of each key must be read
    /// instead.
    #[error("the store does not have the requested position")]
    InvalidPosition,
    /// The store refused the call with this HTTP status and did nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// No answer arrived; the store may or may not have executed the call.
    #[error("no answer from the store: {0}")]
    NoResponse(String),
    /// The answer could not be decoded.
    #[error("malformed answer from the store: {0}")]
    Malformed(String),
}

/// Access to the platform's store, and decoding of the rules that operators write there.
pub trait Platform: Send + Sync + 'static {
    /// Latest era that the store has stated in the answer to any call; none before the first one.
    fn era(&self) -> watch::Receiver<Option<Era>>;

    /// Reads the newest record of each key of `stream`.
    fn newest(&self, stream: Stream) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Reads records from the offset of `from` on; waits up to `wait` for the first one. If the
    /// store has changed its era since, the records need not be those that follow.
    fn read(
        &self,
        stream: Stream,
        from: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Appends a record of this node to [`Stream::Targets`]. The call may be repeated after a
    /// failure.
    fn publish(
        &self,
        key: &Name,
        value: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Decodes the rules in a record of [`Stream::Rules`]; none if the record has another purpose.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the record.
    fn decode_rules(&self, record: &StoreRecord) -> Result<Option<RuleSet>, String>;
}

/// Limits that the installation sets for all its nodes.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Limit on the resent requests that a service receives from all nodes together.
    pub resends: ResendBound,
    /// Time from the stop signal until the process is forced to exit.
    pub grace: Duration,
}

/// Identity, addresses and limits of one node.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the node in logs.
    pub node: Name,
    /// Availability zone that the node runs in.
    pub zone: Name,
    /// Service of the target beside the node.
    pub service: Name,
    /// Address of the target beside the node.
    pub target: Name,
    /// Address on which the node accepts requests of callers and calls of its target.
    pub outbound: SocketAddr,
    /// Address at which other nodes connect to this one; it identifies the node.
    pub peer_address: SocketAddr,
    /// Address on which the node accepts the links of other nodes.
    pub peer_listen: SocketAddr,
    /// Address on which metrics and the state dump are served.
    pub admin: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may open, including those of files; none if they are not
    /// limited.
    pub max_fds: Option<usize>,
    /// Limits of the installation.
    pub bounds: Bounds,
}

impl NodeConfig {
    /// Key of the node's record: the address at which other nodes connect to it.
    pub(crate) fn record_key(&self) -> Name {
        Name::new(&self.peer_address.to_string())
    }
}
