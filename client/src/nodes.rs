//! The nodes that a client may send to, and which of them it passes over for a while.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use poplar_core::Moment;

/// Time for which a node that refused a connection or said that it is leaving is passed over.
const AVOID_DURATION: Duration = Duration::from_secs(2);

/// Nodes of one deployment; clones share what is known of them.
#[derive(Debug, Clone)]
pub(crate) struct Nodes(Arc<[Node]>);

/// One node.
#[derive(Debug)]
pub(crate) struct Node {
    /// Caller address, `ip:port`.
    pub(crate) address: String,
    /// Microseconds of the moment until which it is passed over.
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

    /// Node for a turn: the first one from there on that is not passed over, or else the turn's
    /// own.
    pub(crate) fn pick(&self, now: Moment, position: usize) -> Option<&Node> {
        let count = self.0.len();
        let rotation = self.0.iter().cycle().skip(position.checked_rem(count)?).take(count);
        let usable = |node: &&Node| node.avoided_until.load(Ordering::Relaxed) <= now.as_micros();
        rotation.clone().find(usable).or_else(|| rotation.clone().next())
    }
}

impl Node {
    /// Passes over this node for a while.
    pub(crate) fn avoid(&self, now: Moment) {
        self.avoided_until.store((now + AVOID_DURATION).as_micros(), Ordering::Relaxed);
    }
}
