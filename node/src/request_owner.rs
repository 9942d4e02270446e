//! Keeper of request ids: the retry budget that a caller's re-sends share, and the binding of a
//! once-only request whose caller keeps none.
//!
//! Each request id has one keeper among the members of the class's service, whichever entry the
//! caller sends to. See [retries](../../docs/design/retries.md) and
//! [at most once](../../docs/design/at-most-once.md).

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Binder, BinderAnswer, BinderLimits, Binding, Incarnation, InstanceId, Ledger, MemberRecord,
    Moment, Name, OpenReply, OpenRequest, RequestId, RunLease, budget_owner,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::directory::Directory;
use crate::links::Links;
use crate::router::Router;

/// Path of questions for the budget of a request.
pub(crate) const OPEN_PATH: &str = "/budget/open";
/// Path at which a budget is given back.
pub(crate) const CLOSE_PATH: &str = "/budget/close";
/// Path of questions for the binding of a request.
pub(crate) const BINDING_PATH: &str = "/binding";
/// Time for which the budget of a request id is remembered after its last use.
const BUDGET_RETENTION: Duration = Duration::from_secs(60);
/// Time for which the binding of a request id is remembered after it was minted.
const BINDING_RETENTION: Duration = Duration::from_secs(600);
/// Most request ids whose budgets are kept.
const MAX_BUDGETS: usize = 16_384;
/// Most request ids whose bindings are kept.
const MAX_BINDINGS: usize = 16_384;
/// Most members remembered after they left.
const MAX_DEPARTED: usize = 512;
/// Time within which a keeper answers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Message to the keeper of a request id.
///
/// A sender that sees only a sample of the service may name the wrong member; that one knows all
/// and passes the message on, once.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Routed<M> {
    pub(crate) service: Name,
    pub(crate) request: RequestId,
    /// Whether the message has left the node that it came to.
    pub(crate) hops: bool,
    /// Whether it was passed on, so that its receiver decides.
    pub(crate) forwarded: bool,
    pub(crate) message: M,
}

/// Budget that an entry gives back.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CloseRequest {
    pub(crate) request: RequestId,
    pub(crate) run: RunLease,
}

/// Question for the binding of a once-only request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BindingRequest {
    pub(crate) service: Name,
    pub(crate) request: RequestId,
    /// Whether the caller marked this as the first send of the id.
    pub(crate) first: bool,
}

/// Service that keeps request ids, and asks the keepers of others.
pub(crate) struct RequestOwner {
    clock: Clock,
    local: InstanceId,
    directory: Arc<Directory>,
    links: Arc<Links>,
    router: Arc<Router>,
    state: Mutex<State>,
}

struct State {
    ledger: Ledger,
    binder: Binder,
    /// Members of the own service when last looked at.
    members: BTreeSet<MemberId>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MemberId {
    instance: InstanceId,
    incarnation: Incarnation,
}

impl RequestOwner {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(
        clock: Clock,
        local: InstanceId,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        let now = clock.now();
        let limits = BinderLimits {
            keys: MAX_BINDINGS,
            departed: MAX_DEPARTED,
            retention: BINDING_RETENTION,
        };
        let state = State {
            ledger: Ledger::new(now, BUDGET_RETENTION, MAX_BUDGETS),
            binder: Binder::new(now, local.clone(), limits),
            members: BTreeSet::new(),
        };
        Ok(Self {
            clock,
            local,
            directory: registry.find("directory")?,
            links: registry.find("links")?,
            router: registry.find("route")?,
            state: Mutex::new(state),
        })
    }

    /// Asks the keeper of a request for its budget; `None` if there is no keeper to be reached.
    pub(crate) async fn open_budget(&self, service: &Name, ask: OpenRequest) -> Option<OpenReply> {
        self.serve_open(first_hop(service, ask.request, ask)).await
    }

    /// Gives the keeper back what a run left; a run that is not closed counts as lost.
    pub(crate) async fn close_budget(&self, service: &Name, close: CloseRequest) {
        self.serve_close(first_hop(service, close.request, close)).await;
    }

    /// Asks the keeper of a request for its binding; `None` if there is none to be had.
    pub(crate) async fn find_binding(&self, ask: BindingRequest) -> Option<BinderAnswer> {
        let service = ask.service.clone();
        self.serve_binding(first_hop(&service, ask.request, ask)).await
    }

    /// Decides on the budget of a request that this node keeps, or has its keeper decide.
    pub(crate) async fn serve_open(&self, routed: Routed<OpenRequest>) -> Option<OpenReply> {
        if let Some(owner) = self.other_owner(&routed)? {
            return self.ask(&owner, OPEN_PATH, &routed.forward()).await?;
        }
        let now = self.clock.now();
        let mut state = self.update_members(now, &routed.service);
        Some(state.ledger.open(now, &routed.message))
    }

    /// Takes back what a run left, or passes it on to the keeper.
    pub(crate) async fn serve_close(&self, routed: Routed<CloseRequest>) {
        match self.other_owner(&routed) {
            Some(Some(owner)) => {
                // A run that is not closed counts as lost, with its units.
                let _: Option<()> = self.ask(&owner, CLOSE_PATH, &routed.forward()).await;
            }
            Some(None) => {
                let now = self.clock.now();
                let CloseRequest { request, run } = routed.message;
                self.lock().ledger.close(now, request, run);
            }
            None => {}
        }
    }

    /// Gives the binding of a request that this node keeps, or has its keeper give it.
    pub(crate) async fn serve_binding(
        &self,
        routed: Routed<BindingRequest>,
    ) -> Option<BinderAnswer> {
        if let Some(owner) = self.other_owner(&routed)? {
            return self.ask(&owner, BINDING_PATH, &routed.forward()).await?;
        }
        let BindingRequest { service, request, first } = routed.message;
        let fresh: Binding = self.router.offer_binding(&service).await?;
        let now = self.clock.now();
        let mut state = self.update_members(now, &service);
        Some(state.binder.bind(now, request, first, fresh))
    }

    /// Keeper that the message should go to, if it isn't this node; `None` if there is no keeper.
    fn other_owner<M>(&self, routed: &Routed<M>) -> Option<Option<MemberRecord>> {
        if routed.forwarded {
            return Some(None);
        }
        let members = self.directory.serving(&routed.service);
        let ids = members.iter().map(|member| &member.instance);
        let instance = budget_owner(routed.request, ids)?.clone();
        if instance == self.local {
            return Some(None);
        }
        members.into_iter().find(|member| member.instance == instance).map(Some)
    }

    /// Notes which members came and went, since ids move between keepers with them.
    fn update_members(&self, now: Moment, service: &Name) -> MutexGuard<'_, State> {
        let members = self.directory.serving(service).into_iter();
        let seen: BTreeSet<MemberId> = members
            .map(|member| MemberId { instance: member.instance, incarnation: member.incarnation })
            .collect();
        let mut state = self.lock();
        if state.members != seen {
            let gone: Vec<MemberId> = state.members.difference(&seen).cloned().collect();
            for MemberId { instance, .. } in gone {
                state.binder.member_left(now, &instance);
                state.ledger.member_left(now, &self.local, instance);
            }
            state.members = seen;
        }
        state
    }

    async fn ask<M, A>(&self, owner: &MemberRecord, path: &'static str, message: &M) -> Option<A>
    where
        M: Serialize,
        A: serde::de::DeserializeOwned,
    {
        let peer = owner.address.parse().ok()?;
        let exchange = self.links.exchange(peer, path, message);
        tokio::time::timeout(REPLY_TIMEOUT, exchange).await.ok()?.ok()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<M> Routed<M> {
    /// Message as the one member that is asked next gets it.
    ///
    /// The second hop is the last: two members with different views would pass it on for good.
    fn forward(self) -> Self {
        let forwarded = self.hops;
        Self { forwarded, hops: true, ..self }
    }
}

fn first_hop<M>(service: &Name, request: RequestId, message: M) -> Routed<M> {
    Routed { service: service.clone(), request, hops: false, forwarded: false, message }
}

impl Service for RequestOwner {
    fn name(&self) -> &'static str {
        "keeper"
    }

    fn dump(&self, _now: Moment) -> Value {
        let state = self.lock();
        json!({ "budgets": state.ledger.len(), "bindings": state.binder.len() })
    }
}
