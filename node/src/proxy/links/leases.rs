//! Leases of tokens between nodes: requests to the owner of a workspace's limit, and answers to
//! those of other nodes.

use std::sync::Arc;
use std::time::Duration;

use poplar_core::{
    LEASE_TIMEOUT, LeaseAnswer, LeaseRequest, LeaseToken, LimitedWorkspace, Name, PeerFailure,
    RELAY_TIMEOUT, TOKEN_WAIT,
};

use crate::proxy::frame::{LeaseNumber, Message};
use crate::proxy::links::link::{LinkError, Outbox};
use crate::proxy::links::peers::Peers;
use crate::proxy::state::quotas::{Ask, LeaseAction, Requested};

/// Takes a token of a workspace for one request.
///
/// # Errors
///
/// The time after which the caller may return, if the workspace has no token.
pub(crate) async fn take(
    peers: &Arc<Peers>,
    name: &Name,
    workspace: LimitedWorkspace,
) -> Result<LeaseToken, Duration> {
    let (requested, ask) = peers.quotas.request(workspace);
    if let Some(ask) = ask {
        tokio::spawn(lease(peers.clone(), ask));
    }
    let result = match requested {
        Requested::Granted(token) => Ok(token),
        Requested::Refused(wait) => Err(wait),
        Requested::Waiting(id, receiver) => {
            match tokio::time::timeout(TOKEN_WAIT, receiver).await {
                Ok(Ok(result)) => result,
                _ => {
                    peers.quotas.give_up(workspace.hash, id);
                    Err(TOKEN_WAIT)
                }
            }
        }
    };
    result.inspect_err(|wait| peers.quotas.record_refusal(name, workspace.hash, *wait))
}

/// Requests tokens from the candidates in turn, and again for as long as more are needed.
async fn lease(peers: Arc<Peers>, ask: Ask) {
    let mut next = Some(ask);
    while let Some(ask) = next {
        let mut answer = None;
        for peer in &ask.candidates {
            let result = if peer == peers.quotas.own() {
                Ok(answer_request(&peers, ask.request).await)
            } else {
                exchange(&peers, peer, ask.request, LEASE_TIMEOUT).await
            };
            match result {
                Ok(LeaseAnswer::NoRules) | Err(_) => {}
                Ok(given) => {
                    answer = Some((peer.clone(), given));
                    break;
                }
            }
        }
        next = peers.quotas.settle(&ask, answer);
    }
}

/// Answers a request for tokens of another node.
pub(crate) async fn serve(
    peers: Arc<Peers>,
    outbox: Arc<Outbox>,
    number: LeaseNumber,
    request: LeaseRequest,
) {
    let answer = answer_request(&peers, request).await;
    outbox.push(&Message::Leased(number, answer));
}

/// Answers a request from the own bucket, or by the node that it is passed on to.
async fn answer_request(peers: &Arc<Peers>, request: LeaseRequest) -> LeaseAnswer {
    loop {
        match peers.quotas.answer(&request) {
            LeaseAction::Answer(answer) => return answer,
            LeaseAction::Relay(peer) => {
                let relayed = LeaseRequest { relayed: true, ..request };
                // A failure is recorded, so the next decision differs.
                if let Ok(answer) = exchange(peers, &peer, relayed, RELAY_TIMEOUT).await {
                    return answer;
                }
            }
        }
    }
}

/// Sends a request for tokens to another node and waits for the answer.
async fn exchange(
    peers: &Arc<Peers>,
    peer: &Name,
    request: LeaseRequest,
    limit: Duration,
) -> Result<LeaseAnswer, PeerFailure> {
    let (number, receiver) = peers.quotas.begin_exchange();
    let answered = async {
        let outbox = peers.connected_outbox(peer).await.map_err(|error| match error {
            LinkError::NotListening => PeerFailure::Gone,
            _ => PeerFailure::Silent,
        })?;
        if !outbox.supports_leases() {
            return Err(PeerFailure::Gone);
        }
        if !outbox.push(&Message::Lease(number, request)) {
            return Err(PeerFailure::Silent);
        }
        receiver.await.map_err(|_| PeerFailure::Silent)
    };
    let result = tokio::time::timeout(limit, answered).await;
    let result = result.unwrap_or(Err(PeerFailure::Silent));
    // A node that has no rules yet grants nothing, as if no process listened there.
    let result = match result {
        Ok(LeaseAnswer::NoRules) => Err(PeerFailure::Gone),
        other => other,
    };
    peers.quotas.end_exchange(number);
    peers.quotas.record_exchange(peer, result.err());
    result
}
