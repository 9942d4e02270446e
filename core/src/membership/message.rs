//! Messages between the members of one service.

use serde::{Deserialize, Serialize};

use super::record::{Change, Entry, Peer};
use crate::ids::InstanceId;

/// Largest number of bytes of changes in one message.
pub(crate) const MAX_CHANGE_BYTES: usize = 1_000;

/// Number of buckets that members are hashed to; a comparison exchanges one hash per bucket.
pub(crate) const BUCKETS: usize = 32;

/// Number of a probe, unique at the member that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProbeId(pub u32);

/// Message between two members; none takes more than 1,200 bytes encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an `Ack`.
    Ping {
        /// Probe of the sender.
        probe: ProbeId,
        /// Hash of the sender's view.
        digest: u32,
        /// Changes for the receiver to apply.
        changes: Vec<Change>,
    },
    /// Requests that the receiver ping a member that does not answer the sender.
    PingRequest {
        /// Probe of the sender.
        probe: ProbeId,
        /// Member to ping.
        target: InstanceId,
    },
    /// Answers a ping, directly or through the member that relayed it.
    Ack {
        /// Probe of the receiver.
        probe: ProbeId,
        /// Hash of the view of the member that was pinged.
        digest: u32,
        /// Changes for the receiver to apply.
        changes: Vec<Change>,
    },
    /// Sends changes that do not wait for the next probe.
    Push {
        /// Changes for the receiver to apply.
        changes: Vec<Change>,
    },
    /// Sends the hashes of the sender's view; the receiver answers with pages of buckets that
    /// differ.
    Compare {
        /// Hash of each bucket of members.
        buckets: Vec<u32>,
    },
    /// Sends members of a bucket whose hashes differ.
    Page {
        /// Index of the bucket.
        bucket: u8,
        /// Live members in the bucket, as many as fit into one message.
        entries: Vec<Entry>,
        /// Whether the receiver answers with its own page of the bucket.
        answer: bool,
    },
}

/// Message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Member to send it to.
    pub to: Peer,
    /// Message to send.
    pub message: Message,
}
