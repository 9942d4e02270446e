//! Messages between the members of one service.

use serde::{Deserialize, Serialize};

use super::record::{Change, Entry, Peer};
use crate::ids::InstanceId;

/// Bytes of changes that one message carries at most.
pub(crate) const MAX_CHANGE_BYTES: usize = 1_000;

/// Number of groups of members whose hashes are compared one by one.
pub(crate) const BUCKETS: usize = 32;

/// Number of a probe within the node that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProbeId(pub u32);

/// Message between two members; none takes more than 1,200 bytes encoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an `Ack`.
    Ping {
        /// Probe.
        probe: ProbeId,
        /// Hash of the sender's view.
        digest: u32,
        /// Changes to take in.
        changes: Vec<Change>,
    },
    /// Asks the receiver to ping a member that the sender gets no answer from.
    PingRequest {
        /// Probe of the sender.
        probe: ProbeId,
        /// Member to ping.
        target: InstanceId,
    },
    /// Says that the pinged member answered.
    Ack {
        /// Probe of the receiver.
        probe: ProbeId,
        /// Hash of the sender's view.
        digest: u32,
        /// Changes to take in.
        changes: Vec<Change>,
    },
    /// Brings changes that should not wait for a probe.
    Push {
        /// Changes to take in.
        changes: Vec<Change>,
    },
    /// Gives the hashes of the sender's view, group by group.
    Compare {
        /// Hash of each group of members.
        buckets: Vec<u32>,
    },
    /// Gives members of a group whose hashes differ.
    Page {
        /// Group.
        bucket: u8,
        /// Members of the group, as many as one message holds.
        entries: Vec<Entry>,
        /// Whether the receiver sends its members of the group back.
        answer: bool,
    },
}

/// Message on its way out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: Peer,
    /// Message.
    pub message: Message,
}
