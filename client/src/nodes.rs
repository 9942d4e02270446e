//! Nodes that a client may send to, and which of them it avoids for a while.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use poplar_core::Moment;

/// Time for which a node is avoided after it could not be connected to, or after it reported that
/// it is draining or lacks the contract.
const AVOID_DURATION: Duration = Duration::from_secs(2);

/// Nodes of one deployment; clones share which nodes are avoided.
#[derive(Debug, Clone)]
pub(crate) struct Nodes(Arc<[Node]>);

/// Node with the time until which it is avoided.
#[derive(Debug)]
pub(crate) struct Node {
    /// Caller address, `ip:port`.
    pub(crate) address: String,
    /// Moment until which the node is avoided, in microseconds since the clock's origin.
    avoided_until: AtomicU64,
}

impl Nodes {
    pub(crate) fn new(addresses: Vec<String>) -> Self {
        let nodes = addresses.into_iter();
        Self(nodes.map(|address| Node { address, avoided_until: AtomicU64::new(0) }).collect())
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the first node from `position` on, modulo the number of nodes, that is not avoided;
    /// the node at `position` if all are avoided, and `None` if the list is empty.
    pub(crate) fn pick(&self, now: Moment, position: usize) -> Option<&Node> {
        let count = self.0.len();
        let rotation = self.0.iter().cycle().skip(position.checked_rem(count)?).take(count);
        let usable = |node: &&Node| node.avoided_until.load(Ordering::Relaxed) <= now.as_micros();
        rotation.clone().find(usable).or_else(|| rotation.clone().next())
    }
}

impl Node {
    /// Avoids this node for [`AVOID_DURATION`] from `now`.
    pub(crate) fn avoid(&self, now: Moment) {
        self.avoided_until.store((now + AVOID_DURATION).as_micros(), Ordering::Relaxed);
    }
}
