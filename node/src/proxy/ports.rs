//! What the data plane needs from the platform that it runs on.
//!
//! Everything here is in the product's own terms; an adapter translates. See
//! [platform](../../../docs/design/platform.md).

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use poplar_core::{Name, Offset, ResendBound, RuleSet};

/// Names of the headers that callers, targets and nodes of one installation use.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a request; one for each attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds until the answer is of no use.
    pub deadline: HeaderName,
    /// Instance that alone may run the request.
    pub instance: HeaderName,
    /// Service on whose machine the request began.
    pub caller_service: HeaderName,
    /// Set by a target that did not start the request.
    pub not_run: HeaderName,
}

/// Stream of records in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stream {
    /// Configurations that operators write.
    Rules,
    /// Records of targets that the nodes write.
    Targets,
}

/// Record of a stream; of each key the newest one counts.
#[derive(Debug, Clone)]
pub struct StoreRecord {
    /// Key.
    pub key: Name,
    /// Value; none if the key was dropped.
    pub value: Option<Bytes>,
}

/// Records of a stream and where to read on.
#[derive(Debug, Clone)]
pub struct Page {
    /// Records in the order of the stream.
    pub records: Vec<StoreRecord>,
    /// Offset after the last record that this page covers.
    pub next_offset: Offset,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The records asked for are gone; read the newest of each key instead.
    #[error("the records asked for are no longer kept")]
    Truncated,
    /// The store refused the call and did nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// No answer came; the call may have been done.
    #[error("no answer from the store: {0}")]
    NoResponse(String),
    /// The answer could not be read.
    #[error("unreadable answer from the store: {0}")]
    Malformed(String),
}

/// The platform's store, and what the operator writes there.
pub trait Platform: Send + Sync + 'static {
    /// Newest record of each key of `stream`.
    fn newest(&self, stream: Stream) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Records from `from` on; waits up to `wait` for the first.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Writes a record of this node among those of the targets; repeating it does no harm.
    fn publish(
        &self,
        key: &Name,
        value: Bytes,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Rules in a record of [`Stream::Rules`]; none if it holds something else.
    ///
    /// # Errors
    ///
    /// What is wrong with the record, in one sentence.
    fn decode_rules(&self, record: &StoreRecord) -> Result<Option<RuleSet>, String>;
}

/// Bounds that the installation sets for the behaviour of the nodes.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Sends beyond the first that a service may get from all nodes together.
    pub resends: ResendBound,
    /// Time from a stop signal to the forced end.
    pub grace: Duration,
}

/// Where one node stands and what it listens on.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the node in logs.
    pub node: Name,
    /// Availability zone.
    pub zone: Name,
    /// Service of the target beside the node.
    pub service: Name,
    /// Address of the target.
    pub target: Name,
    /// Address for callers and the target's own calls.
    pub outbound: SocketAddr,
    /// Address at which other nodes reach this one.
    pub peer_address: SocketAddr,
    /// Address on which their messages are listened for.
    pub peer_listen: SocketAddr,
    /// Address for metrics and the state dump.
    pub admin: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Bounds of the installation.
    pub bounds: Bounds,
}

impl NodeConfig {
    /// Key of the node's record: the address at which its peers reach it.
    pub(crate) fn record_key(&self) -> Name {
        Name::new(&self.peer_address.to_string())
    }
}
