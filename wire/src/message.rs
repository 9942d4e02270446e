//! Messages between nodes, and the announcement that a target sends to its node.

use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    AttemptId, Binding, Grant, Importance, Incarnation, InstanceId, Level, Name, Outcome,
    RequestId, Revision, RunStatus,
};
use serde::{Deserialize, Serialize};

/// Metadata sent with a call on every hop, from the entry node to the last target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallMeta {
    /// Customer whose contract governs the call.
    pub customer: Name,
    /// Contract revision in force at the sender; a receiver that lacks it fetches it.
    pub revision: Revision,
    /// Identifier of the root request, which the entry node received. Admission derives its
    /// tiebreak from it, so that every hop decides alike.
    pub root: RequestId,
    /// Identifier of this call.
    pub request: RequestId,
    /// Number of this send of the call.
    pub attempt: AttemptId,
    /// Class of this call, by its name in the contract.
    pub class: Name,
    /// Importance of the root request.
    pub importance: Importance,
    /// Whether this call, or any call above it up to the root request, must not be repeated.
    pub once: bool,
    /// Time left until the deadline of the call.
    pub left: Duration,
    /// Time since the entry node accepted the root request.
    pub age: Duration,
    /// Depth of this call in the call tree; 0 for the root request.
    pub depth: u8,
    /// Retry units lent to this call, and whether an earlier send may have run.
    pub grant: Grant,
    /// Binding of a once-only call, if the sender has one.
    pub binding: Option<Binding>,
}

/// Node that sends a call. The receiver uses it to tell apart the sends of different nodes and to
/// fetch missing contracts from the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Instance of the node.
    pub instance: InstanceId,
    /// Incarnation of the node; a restarted node starts numbering its sends again.
    pub incarnation: Incarnation,
    /// Address for messages from other nodes, `ip:port`.
    pub address: String,
}

/// Call from one node to the node of the chosen target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Node that sends the call.
    pub sender: Sender,
    /// Metadata of the call.
    pub meta: CallMeta,
    /// Request body, passed to the target unchanged.
    pub body: Bytes,
}

/// Answer of the target's node to a [`CallRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReply {
    /// Call that this reply belongs to.
    pub request: RequestId,
    /// Send of the call that this reply belongs to.
    pub attempt: AttemptId,
    /// Outcome of the send.
    pub outcome: Outcome<Answer>,
    /// Retry units of the grant that were not spent and are returned.
    pub units: u32,
    /// Admission level that calls of this class meet at the answering node or further down the call
    /// graph.
    pub level: Level,
    /// Binding for the next send of a once-only call, if this send definitely did not run.
    pub offer: Option<Binding>,
    /// The only target that may run this request, if it is suspected of crashing targets.
    pub isolation: Option<InstanceId>,
    /// Whether the call must not be sent again, because it may have crashed its target or because
    /// it is suspected of crashing targets and another suspect is running.
    pub suspect: bool,
    /// Contract revision in force for the customer at the answering node.
    pub revision: Revision,
}

/// Asks, on a new connection, for the status of a send whose connection failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatusRequest {
    /// Node that sent the call.
    pub sender: Sender,
    /// Incarnation of the node that the call was sent to.
    pub incarnation: Incarnation,
    /// Call whose status is requested.
    pub request: RequestId,
    /// Send of the call whose status is requested.
    pub attempt: AttemptId,
    /// Binding that the call carried, if any.
    pub binding: Option<Binding>,
    /// Time for which the receiver may wait for the call to end before it answers that the call is
    /// still running.
    pub left: Duration,
}

/// Answer to [`RunStatusRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatusReply {
    /// Status of the send, as the answering node knows it.
    pub fate: RunStatus<Answer>,
}

/// Requests a binding to the target of the receiving node, before a once-only call is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetBindingRequest {
    /// Node that requests the binding.
    pub sender: Sender,
}

/// Whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status that the target returned.
    pub status: u16,
    /// Whole body that the target returned.
    pub body: Bytes,
    /// XXH3 hash of the body; a truncated body or the body of another answer does not match it and
    /// is never forwarded.
    pub checksum: u64,
}

/// Announcement that a target sends to its own node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service of the target.
    pub service: Name,
    /// Address of the target, `ip:port`.
    pub address: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
}
