//! Messages between nodes, and the records on the platform's log.

use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    AttemptId, Binding, Grant, Importance, Incarnation, InstanceId, Level, Name, Outcome,
    RequestId, Revision, RunStatus,
};
use serde::{Deserialize, Serialize};

/// Terms under which a call travels, from the entry to the last hop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallMeta {
    /// Customer whose contract governs the call.
    pub customer: Name,
    /// Contract revision that the sender has in force; the receiver pulls it if it lacks it.
    pub revision: Revision,
    /// Request as it came to the entry; decides admission alike at every hop.
    pub root: RequestId,
    /// This call.
    pub request: RequestId,
    /// This send of the call.
    pub attempt: AttemptId,
    /// Class of this call.
    pub class: Name,
    /// Importance of the root request.
    pub importance: Importance,
    /// Whether the root request or any hop above may not be repeated.
    pub once: bool,
    /// Time left until the answer is of no use.
    pub left: Duration,
    /// Time since the entry took the root request in.
    pub age: Duration,
    /// Hops between the entry and this call.
    pub depth: u8,
    /// Retry units lent to this call, and whether it repeats an earlier run.
    pub grant: Grant,
    /// Binding, for a once-only call.
    pub binding: Option<Binding>,
}

/// Node that sends a call, so that the receiver can tell its sends apart and pull from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Instance of the node.
    pub instance: InstanceId,
    /// Incarnation of the node; a restarted node numbers its sends anew.
    pub incarnation: Incarnation,
    /// Address for messages from other nodes, `ip:port`.
    pub address: String,
}

/// Call from one node to the node beside a chosen target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Node that sends.
    pub sender: Sender,
    /// Terms of the call.
    pub meta: CallMeta,
    /// Body for the target.
    pub body: Bytes,
}

/// Answer of the node beside the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReply {
    /// Call that this answers.
    pub request: RequestId,
    /// Send that this answers.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: Outcome<Answer>,
    /// Retry units that come back unspent.
    pub units: u32,
    /// Admission level that a call of this class meets behind the answering node.
    pub level: Level,
    /// Binding for the next send of a once-only call, where this one definitely did not run.
    pub offer: Option<Binding>,
    /// Target that alone may run this request, because it is suspected of crashing targets.
    pub isolation: Option<InstanceId>,
    /// Whether the run may have crashed its target, so that nobody sends the call again.
    pub suspect: bool,
    /// Contract revision that the answering node has in force for the customer.
    pub revision: Revision,
}

/// Question on a new connection: what became of a send whose connection failed?
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatusRequest {
    /// Node that sent the call.
    pub sender: Sender,
    /// Incarnation that the call was sent to.
    pub incarnation: Incarnation,
    /// Call.
    pub request: RequestId,
    /// Send of the call.
    pub attempt: AttemptId,
    /// Binding that the call carried.
    pub binding: Option<Binding>,
    /// Time for which the answer may be waited for while the call runs.
    pub left: Duration,
}

/// Answer to [`RunStatusRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatusReply {
    /// What the node knows of the send.
    pub fate: RunStatus<Answer>,
}

/// Request for a binding to the target beside a node, ahead of a once-only call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetBindingRequest {
    /// Node that asks.
    pub sender: Sender,
}

/// Whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status of the target.
    pub status: u16,
    /// Body.
    pub body: Bytes,
    /// Hash of the body, so that a short or foreign body is never forwarded.
    pub checksum: u64,
}

/// What a target tells its own node about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service of the target.
    pub service: Name,
    /// Address of the target, `ip:port`.
    pub address: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
}
