//! Owner of request ids: holds the retry budget that a caller's resends share, and the binding of
//! a once-only request whose caller does not keep one.
//!
//! Each request id has one owner among the members of the class's service, whichever entry the
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

/// Path of requests for the retry budget of a request id.
pub(crate) const OPEN_PATH: &str = "/budget/open";
/// Path to which an entry returns a budget.
pub(crate) const CLOSE_PATH: &str = "/budget/close";
/// Path of requests for the binding of a once-only request.
pub(crate) const BINDING_PATH: &str = "/binding";
/// Time for which the budget of a request id is remembered after its last use.
const BUDGET_RETENTION: Duration = Duration::from_secs(60);
/// Time for which the binding of a request id is remembered after it was minted.
const BINDING_RETENTION: Duration = Duration::from_secs(600);
/// Most request ids whose budgets are remembered.
const MAX_BUDGETS: usize = 16_384;
/// Most request ids whose bindings are remembered.
const MAX_BINDINGS: usize = 16_384;
/// Most departed members that are remembered for bindings.
const MAX_DEPARTED: usize = 512;
/// Time within which an owner on another node must answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Message to the owner of a request id.
///
/// A sender that knows only a sample of the service may choose the wrong member. That member knows
/// the whole service and forwards the message once.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Routed<M> {
    /// Service whose members own the request id.
    pub(crate) service: Name,
    /// Request id that selects the owner.
    pub(crate) request: RequestId,
    /// Whether the message has been sent to another node.
    pub(crate) hops: bool,
    /// Whether the first receiver forwarded it, so that this receiver acts as the owner.
    pub(crate) forwarded: bool,
    /// Message for the owner.
    pub(crate) message: M,
}

/// Return of a budget by the entry that used it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CloseRequest {
    /// Request id of the budget.
    pub(crate) request: RequestId,
    /// Run that ended, with the budget that it has left.
    pub(crate) run: RunLease,
}

/// Request for the binding of a once-only request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct BindingRequest {
    /// Service of the request's class.
    pub(crate) service: Name,
    /// Request id.
    pub(crate) request: RequestId,
    /// Whether the caller marked this as the first send of the id.
    pub(crate) first: bool,
}

/// Service that owns request ids and sends requests to the owners of others.
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
    /// Serving members when they were last compared.
    members: BTreeSet<MemberId>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MemberId {
    instance: InstanceId,
    incarnation: Incarnation,
}

impl RequestOwner {
    /// Creates the service with its dependencies from `registry`.
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

    /// Requests the retry budget of a request id from its owner; `None` if no owner can be reached.
    pub(crate) async fn open_budget(&self, service: &Name, open: OpenRequest) -> Option<OpenReply> {
        self.serve_open(first_hop(service, open.request, open)).await
    }

    /// Returns the unspent budget of a run to its owner; a run that is not closed counts as lost.
    pub(crate) async fn close_budget(&self, service: &Name, close: CloseRequest) {
        self.serve_close(first_hop(service, close.request, close)).await;
    }

    /// Requests the binding of a once-only request from its owner; `None` if no owner can be
    /// reached or no target offers a binding.
    pub(crate) async fn find_binding(&self, query: BindingRequest) -> Option<BinderAnswer> {
        let service = query.service.clone();
        self.serve_binding(first_hop(&service, query.request, query)).await
    }

    /// Decides on the budget of a request id that this node owns, or forwards to its owner.
    pub(crate) async fn serve_open(&self, routed: Routed<OpenRequest>) -> Option<OpenReply> {
        if let Some(owner) = self.other_owner(&routed)? {
            return self.exchange(&owner, OPEN_PATH, &routed.forward()).await?;
        }
        let now = self.clock.now();
        let mut state = self.update_members(now, &routed.service);
        Some(state.ledger.open(now, &routed.message))
    }

    /// Records the budget that a run returns, or forwards it to the owner.
    pub(crate) async fn serve_close(&self, routed: Routed<CloseRequest>) {
        match self.other_owner(&routed) {
            Some(Some(owner)) => {
                // If this fails, the run counts as lost, with its units.
                let _: Option<()> = self.exchange(&owner, CLOSE_PATH, &routed.forward()).await;
            }
            Some(None) => {
                let now = self.clock.now();
                let CloseRequest { request, run } = routed.message;
                self.lock().ledger.close(now, request, run);
            }
            None => {}
        }
    }

    /// Binds a request that this node owns, or forwards to its owner.
    pub(crate) async fn serve_binding(
        &self,
        routed: Routed<BindingRequest>,
    ) -> Option<BinderAnswer> {
        if let Some(owner) = self.other_owner(&routed)? {
            return self.exchange(&owner, BINDING_PATH, &routed.forward()).await?;
        }
        let BindingRequest { service, request, first } = routed.message;
        let fresh: Binding = self.router.offer_binding(&service).await?;
        let now = self.clock.now();
        let mut state = self.update_members(now, &service);
        Some(state.binder.bind(now, request, first, fresh))
    }

    /// Owner to which the message must be sent: `Some(None)` if this node should act as the owner,
    /// `None` if no member is serving.
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

    /// Records which members left, since the ownership of request ids moves when they do.
    fn update_members(&self, now: Moment, service: &Name) -> MutexGuard<'_, State> {
        let members = self.directory.serving(service).into_iter();
        let serving: BTreeSet<MemberId> = members
            .map(|member| MemberId { instance: member.instance, incarnation: member.incarnation })
            .collect();
        let mut state = self.lock();
        if state.members != serving {
            let departed: Vec<MemberId> = state.members.difference(&serving).cloned().collect();
            for MemberId { instance, .. } in departed {
                state.binder.member_left(now, &instance);
                state.ledger.member_left(now, &self.local, instance);
            }
            state.members = serving;
        }
        state
    }

    async fn exchange<M, A>(
        &self,
        owner: &MemberRecord,
        path: &'static str,
        message: &M,
    ) -> Option<A>
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
    /// Message for the next member.
    ///
    /// The second hop is the last: two members with different views would otherwise forward the
    /// message to each other forever.
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
