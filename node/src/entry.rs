//! Calls from outside callers and from the local target: sets the terms of each request and
//! delivers it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    AttemptId, BinderAnswer, Binding, BindingMode, Budget, Call, ErrorKind, Grant, Moment, Name,
    OpenReply, OpenRequest, Outcome, Rank, Repeatability, RequestId, RunLease, binding_mode,
    spread_retry_after,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::{Answer, CallMeta};
use serde_json::{Value, json};

use crate::contracts::{ActiveContract, Contracts, Terms};
use crate::levels::DownstreamLevels;
use crate::metrics::Metrics;
use crate::request_owner::{BindingRequest, CloseRequest, RequestOwner};
use crate::router::{DeliveryResult, OutgoingCall, Router};
use crate::runs::Runs;

/// Base of the retry-after time in refusals by this node itself.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Incoming call, with the terms that its headers state.
#[derive(Debug)]
pub(crate) struct InboundCall {
    /// Customer; `None` stands for the customer of this node.
    pub(crate) customer: Option<Name>,
    pub(crate) class: Name,
    /// Request id; `None` if the caller sent none.
    pub(crate) request: Option<RequestId>,
    /// Time left until the caller's deadline.
    pub(crate) left: Option<Duration>,
    /// Token of the run that makes this call; `None` for a root request.
    pub(crate) parent: Option<RequestId>,
    pub(crate) binding: Option<Binding>,
    /// Whether this is the first send of the request id; `None` if the caller doesn't state it.
    pub(crate) first: Option<bool>,
    pub(crate) body: Bytes,
}

impl InboundCall {
    /// Whether an earlier send may have run.
    ///
    /// If the caller does not state whether this is the first send, a binding means that it is not.
    fn sent_before(&self) -> bool {
        !self.first.unwrap_or(self.binding.is_none())
    }
}

/// Response to an incoming call.
#[derive(Debug)]
pub(crate) struct CallResponse {
    pub(crate) outcome: Outcome<Answer>,
    /// Time after which the caller may retry; `None` if a retry cannot succeed.
    pub(crate) retry_after: Option<Duration>,
    /// Binding with which the caller should send the request next.
    pub(crate) binding: Option<Binding>,
}

/// Service that accepts calls from outside callers and from the local target.
pub(crate) struct Entry {
    clock: Clock,
    customer: Name,
    contracts: Arc<Contracts>,
    request_owner: Arc<RequestOwner>,
    levels: Arc<DownstreamLevels>,
    metrics: Arc<Metrics>,
    runs: Arc<Runs>,
    router: Arc<Router>,
    in_flight: AtomicU32,
    sealed: std::sync::atomic::AtomicBool,
}

/// Counts a call as in flight until it is dropped.
struct InFlightGuard<'a>(&'a AtomicU32);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Entry {
    /// Creates the service with its dependencies from `registry`.
    pub(crate) fn new(
        clock: Clock,
        customer: Name,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            customer,
            contracts: registry.find("contracts")?,
            request_owner: registry.find("keeper")?,
            levels: registry.find("levels")?,
            metrics: registry.find("metrics")?,
            runs: registry.find("runs")?,
            router: registry.find("route")?,
            in_flight: AtomicU32::new(0),
            sealed: false.into(),
        })
    }

    /// Stops accepting root requests; runs that have not ended can still make calls.
    pub(crate) fn seal(&self) {
        self.sealed.store(true, Ordering::Release);
    }

    /// Number of calls that have no response yet.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves one call and counts its outcome.
    pub(crate) async fn serve(&self, call: InboundCall) -> CallResponse {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _in_flight = InFlightGuard(&self.in_flight);
        let sent_before = call.sent_before();
        let class = call.class.clone();
        let served = match call.parent {
            Some(token) => self.serve_child(call, token).await,
            None => self.serve_root(call).await,
        };
        let out = served.unwrap_or_else(|kind| refuse(kind, sent_before));
        self.count_answer(class, &out);
        out
    }

    /// Counts the response; all classes that the contract does not name share one row.
    fn count_answer(&self, class: Name, out: &CallResponse) {
        let contract = self.contracts.current(&self.customer);
        let named = contract.is_some_and(|found| found.contract.classes.contains_key(&class));
        let row = if named { class } else { Name::new("") };
        self.metrics.record_answer(&row, &out.outcome);
    }

    fn terms(&self, call: &InboundCall) -> Result<(ActiveContract, Terms), ErrorKind> {
        let customer = call.customer.as_ref().unwrap_or(&self.customer);
        let contract = self.contracts.current(customer).ok_or(ErrorKind::NoContract)?;
        let terms = contract.terms(&call.class).ok_or(ErrorKind::UnknownClass)?;
        Ok((contract, terms))
    }

    async fn serve_root(&self, call: InboundCall) -> Result<CallResponse, ErrorKind> {
        if self.sealed.load(Ordering::Acquire) {
            let refused = refuse(ErrorKind::Draining, call.sent_before());
            // The binding was not used here, so the caller keeps it for another entry.
            return Ok(CallResponse { binding: call.binding, ..refused });
        }
        let (contract, terms) = self.terms(&call)?;
        let class = terms.class;
        // A binding makes the request once-only whatever this node's contract says of the class:
        // another entry may have sent a copy under it.
        let once = !class.repeatable || call.binding.is_some();
        if once && call.request.is_none() {
            // Without an id, two sends could not be recognized as the same request.
            return Err(ErrorKind::BadRequest);
        }
        let request = call.request.unwrap_or_else(|| RequestId(fastrand::u128(..)));
        let binding = call.binding;
        if binding.is_none() {
            let rank = Rank::of(class.importance, request);
            if self.levels.would_refuse(&contract, &call.class, rank) {
                return Err(ErrorKind::Overload);
            }
        }
        if once && binding.is_none() {
            return self.offer_binding(class.service, request, call.first == Some(true)).await;
        }
        let meta = CallMeta {
            customer: contract.contract.customer.clone(),
            revision: terms.revision,
            root: request,
            request,
            attempt: AttemptId(0),
            class: call.class,
            importance: class.importance,
            once,
            left: call.left.unwrap_or(class.deadline).min(class.deadline),
            age: Duration::ZERO,
            depth: 0,
            grant: Grant { units: 0, rerun: false },
            binding,
        };
        let outgoing = OutgoingCall {
            meta,
            mode: if once { BindingMode::Bound } else { BindingMode::Unbound },
            repeatability: Repeatability::from_once(once),
            service: class.service,
            siblings: 1,
            body: call.body,
        };
        let first = once || call.first == Some(true) || call.request.is_none();
        match first {
            true => Ok(self.deliver_first(outgoing, class.retries).await),
            false => self.deliver_resend(outgoing, class.retries, call.first.is_none()).await,
        }
    }

    /// Obtains the binding of a once-only request from its owner, for the caller to send with.
    async fn offer_binding(
        &self,
        service: Name,
        request: RequestId,
        first: bool,
    ) -> Result<CallResponse, ErrorKind> {
        let query = BindingRequest { service, request, first };
        let answer = match self.request_owner.find_binding(query.clone()).await {
            Some(answer) => answer,
            // No other binding can exist for an id that was never sent.
            None if first => {
                let fresh = self.router.offer_binding(&query.service).await;
                BinderAnswer::Bound(fresh.ok_or(ErrorKind::NoTarget)?)
            }
            None => return Err(ErrorKind::NoTarget),
        };
        Ok(match answer {
            BinderAnswer::Bound(binding) => {
                // An earlier send may have run under the same binding.
                let refused = refuse(ErrorKind::BindingNeeded, !first);
                CallResponse { binding: Some(binding), ..refused }
            }
            BinderAnswer::NotRun(kind) => refuse(kind, false),
            BinderAnswer::Unknown(kind) => refuse(kind, true),
        })
    }

    /// Delivers the first send of a request.
    ///
    /// Part of the retry bound is reserved at the owner of the request id for the caller's own
    /// resends, so the owner need not be asked here.
    async fn deliver_first(&self, outgoing: OutgoingCall, retries: u32) -> CallResponse {
        let budget = Mutex::new(Budget::new(retries - reserved_retries(retries)));
        self.router.deliver(outgoing, &budget, Call::new()).await.into()
    }

    /// Delivers a send that may not be the first, with the retry units that the request's owner
    /// has left.
    ///
    /// `unmarked` says that the caller does not mark first sends.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overload`] if the owner cannot record another id, [`ErrorKind::NoTarget`] if
    /// no owner can be reached.
    async fn deliver_resend(
        &self,
        outgoing: OutgoingCall,
        retries: u32,
        unmarked: bool,
    ) -> Result<CallResponse, ErrorKind> {
        let (service, request) = (outgoing.service.clone(), outgoing.meta.request);
        let open = OpenRequest {
            request,
            retries: if unmarked { retries } else { reserved_retries(retries) },
            first: false,
            deadline: outgoing.meta.left,
        };
        let run = match self.request_owner.open_budget(&service, open).await {
            Some(OpenReply::Run(run)) => run,
            Some(OpenReply::Running) => return Ok(refuse(ErrorKind::Connection, true)),
            Some(OpenReply::Spent { ran }) => return Ok(refuse(ErrorKind::RetriesSpent, ran)),
            Some(OpenReply::Full) => return Err(ErrorKind::Overload),
            None => return Err(ErrorKind::NoTarget),
        };
        let RunLease { number, budget, call } = run;
        let sends = if unmarked || call.sends() > 0 { call } else { call_with_lost_send() };
        let budget = Mutex::new(budget);
        let result = self.router.deliver(outgoing, &budget, sends).await;
        let budget = budget.into_inner().unwrap_or_else(PoisonError::into_inner);
        let DeliveryResult { outcome, retry_after, offer, sends } = result;
        let run = RunLease { number, budget, call: sends };
        self.request_owner.close_budget(&service, CloseRequest { request, run }).await;
        Ok(CallResponse { outcome, retry_after, binding: offer })
    }

    async fn serve_child(
        &self,
        call: InboundCall,
        token: RequestId,
    ) -> Result<CallResponse, ErrorKind> {
        let run = self.runs.find(token).ok_or(ErrorKind::BadRequest)?;
        let parent = &run.meta;
        let call = InboundCall { customer: Some(parent.customer.clone()), ..call };
        let (contract, terms) = self.terms(&call)?;
        let class = terms.class;
        let rank = Rank::of(parent.importance, parent.root);
        if self.levels.would_refuse(&contract, &call.class, rank) {
            return Err(ErrorKind::Overload);
        }
        let parent_repeatability = Repeatability::from_once(parent.once);
        let mode = binding_mode(parent_repeatability, class.repeatable, false)?;
        let repeatability = parent_repeatability.for_children(class.repeatable);
        let now = self.clock.now();
        let left = run.remaining(now);
        let meta = CallMeta {
            customer: parent.customer.clone(),
            revision: terms.revision,
            root: parent.root,
            request: run.next_call_id(),
            attempt: AttemptId(0),
            class: call.class,
            importance: parent.importance,
            once: repeatability == Repeatability::Once,
            left: call.left.unwrap_or(left).min(left),
            age: parent.age + now.since(run.started_at),
            depth: parent.depth.saturating_add(1),
            grant: Grant { units: 0, rerun: false },
            binding: None,
        };
        let service = class.service;
        let outgoing =
            OutgoingCall { meta, mode, repeatability, service, siblings: 1, body: call.body };
        Ok(self.router.deliver(outgoing, run.budget(), Call::new()).await.into())
    }
}

/// Part of a retry bound that the owner of the request id reserves for the caller's resends.
const fn reserved_retries(retries: u32) -> u32 {
    retries / 2
}

/// Send history of a request whose first send went through another entry and may have run.
fn call_with_lost_send() -> Call {
    let mut call = Call::new();
    if let Ok(loan) = call.send(&mut Budget::new(0), 0) {
        call.record_loss(loan);
    }
    call
}

impl From<DeliveryResult> for CallResponse {
    fn from(result: DeliveryResult) -> Self {
        Self { outcome: result.outcome, retry_after: result.retry_after, binding: result.offer }
    }
}

/// Response to a call that this node itself refuses.
///
/// A request that was sent before may have run through another entry, so its outcome is unknown
/// rather than not run.
fn refuse(kind: ErrorKind, sent_before: bool) -> CallResponse {
    let spread = spread_retry_after(DEFAULT_RETRY_AFTER, fastrand::u64(..));
    let retry_after = kind.reply().retryable.then_some(spread);
    let outcome = match sent_before {
        true => Outcome::Unknown { kind },
        false => Outcome::NotRun { kind, retry_after: spread },
    };
    CallResponse { outcome, retry_after, binding: None }
}

impl Service for Entry {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "in_flight": self.in_flight(), "sealed": self.sealed.load(Ordering::Acquire) })
    }
}
