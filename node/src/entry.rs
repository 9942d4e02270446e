//! Calls as callers and the own target hand them in: where a request gets its terms.

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

/// Time to come back that a refusal names while nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Call as it came in, read from the headers.
#[derive(Debug)]
pub(crate) struct InboundCall {
    /// Customer; the node's own where the call names none.
    pub(crate) customer: Option<Name>,
    pub(crate) class: Name,
    pub(crate) request: Option<RequestId>,
    pub(crate) left: Option<Duration>,
    pub(crate) parent: Option<RequestId>,
    pub(crate) binding: Option<Binding>,
    /// Whether this is the first send of the request id; `None` if the caller doesn't say.
    pub(crate) first: Option<bool>,
    pub(crate) body: Bytes,
}

impl InboundCall {
    /// Whether an earlier send may have run, by the caller's word or else by its binding.
    fn sent_before(&self) -> bool {
        !self.first.unwrap_or(self.binding.is_none())
    }
}

/// Answer to a call that came in.
#[derive(Debug)]
pub(crate) struct CallResponse {
    pub(crate) outcome: Outcome<Answer>,
    /// Time after which the caller may come back, where that can help.
    pub(crate) retry_after: Option<Duration>,
    /// Binding that the caller is to send the request with.
    pub(crate) binding: Option<Binding>,
}

/// Service that takes calls in.
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

struct InFlightGuard<'a>(&'a AtomicU32);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Entry {
    /// Service that finds what it needs in `registry`.
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

    /// Takes no new root request from now on; calls of runs that have not ended go on.
    pub(crate) fn seal(&self) {
        self.sealed.store(true, Ordering::Release);
    }

    /// Calls that came in and have no answer yet.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves one call from its coming in to its answer.
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

    /// Counts the answer; a class that no contract names has one row for all its names.
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
            // The binding was not used here: the caller goes on with it at another entry.
            return Ok(CallResponse { binding: call.binding, ..refused });
        }
        let (contract, terms) = self.terms(&call)?;
        let class = terms.class;
        // A binding counts whatever this node's contract says of the class: another entry may
        // have sent a copy under it.
        let once = !class.repeatable || call.binding.is_some();
        if once && call.request.is_none() {
            // Two sends could not be told to be the same request.
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

    /// Binding of a once-only request from its keeper, for the caller to send with.
    async fn offer_binding(
        &self,
        service: Name,
        request: RequestId,
        first: bool,
    ) -> Result<CallResponse, ErrorKind> {
        let ask = BindingRequest { service, request, first };
        let answer = match self.request_owner.find_binding(ask.clone()).await {
            Some(answer) => answer,
            // No other binding can be out for an id that was never sent.
            None if first => {
                let fresh = self.router.offer_binding(&ask.service).await;
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
    /// Part of the retry bound stays with the keeper of the request id, for the caller's own
    /// re-sends; so nobody has to be asked here.
    async fn deliver_first(&self, outgoing: OutgoingCall, retries: u32) -> CallResponse {
        let budget = Mutex::new(Budget::new(retries - reserved_retries(retries)));
        self.router.deliver(outgoing, &budget, Call::new()).await.into()
    }

    /// Delivers a send that may not be the first, with what the request's keeper has left.
    ///
    /// `unmarked` says that the caller does not tell first sends from others.
    async fn deliver_resend(
        &self,
        outgoing: OutgoingCall,
        retries: u32,
        unmarked: bool,
    ) -> Result<CallResponse, ErrorKind> {
        let (service, request) = (outgoing.service.clone(), outgoing.meta.request);
        let ask = OpenRequest {
            request,
            retries: if unmarked { retries } else { reserved_retries(retries) },
            first: false,
            deadline: outgoing.meta.left,
        };
        let run = match self.request_owner.open_budget(&service, ask).await {
            Some(OpenReply::Run(run)) => run,
            Some(OpenReply::Running) => return Ok(refuse(ErrorKind::Connection, true)),
            Some(OpenReply::Spent { ran }) => return Ok(refuse(ErrorKind::RetriesSpent, ran)),
            Some(OpenReply::Full) => return Err(ErrorKind::Overload),
            None => return Err(ErrorKind::NoTarget),
        };
        let RunLease { number, budget, call } = run;
        let sends = if unmarked || call.sends() > 0 { call } else { call_with_lost_send() };
        let budget = Mutex::new(budget);
        let done = self.router.deliver(outgoing, &budget, sends).await;
        let budget = budget.into_inner().unwrap_or_else(PoisonError::into_inner);
        let DeliveryResult { outcome, retry_after, offer, sends } = done;
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

/// Part of a retry bound that the keeper of the request id holds for the caller's re-sends.
const fn reserved_retries(retries: u32) -> u32 {
    retries / 2
}

/// Sends of a request whose first send went through another entry, and may have run.
fn call_with_lost_send() -> Call {
    let mut call = Call::new();
    if let Ok(loan) = call.send(&mut Budget::new(0), 0) {
        call.record_loss(loan);
    }
    call
}

impl From<DeliveryResult> for CallResponse {
    fn from(done: DeliveryResult) -> Self {
        Self { outcome: done.outcome, retry_after: done.retry_after, binding: done.offer }
    }
}

/// Refusal by this node itself.
///
/// A request that was sent before may have run through another entry, so this node cannot say that
/// it did not.
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
