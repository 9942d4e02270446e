//! Distinction between communication within an availability zone and across zones.

/// Whether a link or a message stays within the availability zone of this node.
///
/// The order of the variants is the index of the traffic counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Locality {
    /// The other node is in the same zone, or the message is for nodes of this zone only.
    SameZone,
    /// The other node is in another or unknown zone, or the message is for nodes of all zones.
    CrossZone,
}
