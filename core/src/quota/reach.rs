//! Which nodes answer requests for tokens.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Time after a failure before the node is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How a request for tokens failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// No process listens at the node's address, or it cannot lease, so it grants no tokens.
    Gone,
    /// The node did not answer; it may still grant tokens to other nodes.
    Silent,
}

#[derive(Debug)]
struct Failing {
    failure: PeerFailure,
    since: Moment,
    last: Moment,
}

/// Nodes that did not answer.
#[derive(Debug, Default)]
pub struct Reachability(HashMap<Name, Failing>);

impl Reachability {
    /// Records an answer of `peer`.
    pub fn record_answer(&mut self, peer: &Name) {
        self.0.remove(peer);
    }

    /// Records that `peer` gave no answer.
    pub fn record_failure(&mut self, now: Moment, peer: &Name, failure: PeerFailure) {
        let fresh = || Failing { failure, since: now, last: now };
        let failing = self.0.entry(peer.clone()).or_insert_with(fresh);
        if failing.failure != failure {
            *failing = fresh();
        }
        failing.last = now;
    }

    /// Whether `peer` answers, as far as known, or should be tried again.
    pub fn may_ask(&self, now: Moment, peer: &Name) -> bool {
        self.0.get(peer).is_none_or(|failing| now.since(failing.last) >= RETRY_INTERVAL)
    }

    /// How the last request to `peer` failed, and since when requests fail this way.
    pub fn failure(&self, peer: &Name) -> Option<(PeerFailure, Moment)> {
        self.0.get(peer).map(|failing| (failing.failure, failing.since))
    }
}
