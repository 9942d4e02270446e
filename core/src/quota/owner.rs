//! Decisions of a node that is asked for tokens.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::members::Ranking;
use super::reach::{PeerFailure, Reachability};
use super::{LeaseRequest, TokenGrant, WorkspaceHash, ceil_millis};
use crate::ids::Name;
use crate::time::Moment;
use crate::workspace::WorkspaceRate;

/// Time for which the second node in the order grants nothing after the owner became silent. The
/// owner may still grant tokens to other nodes; a node that is cut off from most others stops
/// within this time.
const TAKEOVER_DELAY: Duration = Duration::from_millis(2_500);
/// Time for which a new owner passes requests on to its predecessor, and for which that one answers
/// them itself: the time within which all nodes learn of a change.
const HANDOVER_TIME: Duration = Duration::from_millis(2_500);
/// Time without requests after which a bucket may be dropped, in addition to the time in which it
/// becomes full.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Who answers a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answerer {
    /// The node that was asked, from its own bucket.
    Own,
    /// Another node, to which the request is passed on.
    Relay(Name),
    /// Nobody for this time, because another node may still grant tokens.
    Hold(Duration),
}

#[derive(Debug, Default)]
struct Owned {
    bucket: Option<Bucket>,
    /// When the node began to pass requests on as a new owner.
    relaying_since: Option<Moment>,
    /// When the owner last passed on a request.
    delegated: Option<Moment>,
    asked: Moment,
}

/// Buckets of one node, and its decisions about who answers.
#[derive(Debug)]
pub struct QuotaOwner {
    own: Name,
    owned: HashMap<WorkspaceHash, Owned>,
}

impl QuotaOwner {
    /// State of the node with address `own`.
    pub fn new(own: Name) -> Self {
        Self { own, owned: HashMap::new() }
    }

    /// Who answers a request. `settled` tells whether this node has been the owner for a whole
    /// window and its process has run for as long.
    ///
    /// If [`Answerer::Relay`] fails, the failure is recorded in `reach` and the question asked
    /// again.
    pub fn answerer(
        &mut self,
        now: Moment,
        request: &LeaseRequest,
        ranking: &Ranking,
        settled: bool,
        reach: &Reachability,
    ) -> Answerer {
        let owned = self.owned.entry(request.workspace).or_default();
        owned.asked = now;
        if request.relayed {
            owned.delegated = Some(now);
            return Answerer::Own;
        }
        if owned.delegated.is_some_and(|at| now.since(at) < HANDOVER_TIME) {
            return Answerer::Own;
        }
        let Some(first) = &ranking.first else { return Answerer::Own };
        if *first != self.own {
            return successor_answerer(now, first, reach);
        }
        if owned.bucket.is_some() || settled {
            return Answerer::Own;
        }
        let since = *owned.relaying_since.get_or_insert(now);
        match ranking.predecessor(&self.own) {
            Some(peer) if now.since(since) < HANDOVER_TIME && reach.may_ask(now, peer) => {
                Answerer::Relay(peer.clone())
            }
            _ => Answerer::Own,
        }
    }

    /// Answers a request from the own bucket. A bucket starts full only if the node is `settled` as
    /// the owner, and holds the burst only if the node is the owner.
    pub fn grant(
        &mut self,
        now: Moment,
        request: &LeaseRequest,
        limit: WorkspaceRate,
        ranking: &Ranking,
        settled: bool,
    ) -> TokenGrant {
        let is_owner = ranking.first.as_ref() == Some(&self.own);
        let owned = self.owned.entry(request.workspace).or_default();
        owned.asked = now;
        owned.relaying_since = None;
        let bucket = owned.bucket.get_or_insert_with(|| match settled {
            true => Bucket::full(now, limit),
            false => Bucket::fresh(now, limit, is_owner),
        });
        bucket.set_limit(now, limit);
        bucket.grant(now, request.wanted, request.refused)
    }

    /// Answer while nobody grants tokens for `time`.
    pub fn hold(time: Duration) -> TokenGrant {
        let wait = ceil_millis(time);
        TokenGrant { tokens: 0, ready_ms: wait, queue_ms: wait }
    }

    /// Drops all buckets, because the process was suspended or cut off and another node may have
    /// granted tokens meanwhile.
    pub fn clear(&mut self) {
        self.owned.clear();
    }

    /// Drops buckets that no node has asked for a long time.
    pub fn drop_idle(&mut self, now: Moment) {
        self.owned.retain(|_, owned| now.since(owned.asked) < IDLE_TIME);
    }

    /// Tokens in each bucket.
    pub fn tokens(&self, now: Moment) -> impl Iterator<Item = (WorkspaceHash, u32)> + '_ {
        let bucket = move |owned: &Owned| owned.bucket.as_ref().map(|bucket| bucket.tokens(now));
        self.owned.iter().filter_map(move |(key, owned)| Some((*key, bucket(owned)?)))
    }
}

/// Who answers at a node that is not the owner.
fn successor_answerer(now: Moment, owner: &Name, reach: &Reachability) -> Answerer {
    if reach.may_ask(now, owner) {
        return Answerer::Relay(owner.clone());
    }
    match reach.failure(owner) {
        Some((PeerFailure::Silent, since)) if now.since(since) < TAKEOVER_DELAY => {
            Answerer::Hold(TAKEOVER_DELAY.saturating_sub(now.since(since)))
        }
        _ => Answerer::Own,
    }
}
