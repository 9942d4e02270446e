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
use crate::keeper::{BindingRequest, CloseRequest, Keeper};
use crate::levels::Levels;
use crate::metrics::Metrics;
use crate::route::{Delivered, Delivery, Route};
use crate::runs::Runs;

/// Time to come back that a refusal names while nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Call as it came in, read from the headers.
#[derive(Debug)]
pub(crate) struct Inbound {
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

impl Inbound {
    /// Whether an earlier send may have run, by the caller's word or else by its binding.
    fn sent_before(&self) -> bool {
        !self.first.unwrap_or(self.binding.is_none())
    }
}

/// Answer to a call that came in.
#[derive(Debug)]
pub(crate) struct Outbound {
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
    keeper: Arc<Keeper>,
    levels: Arc<Levels>,
    metrics: Arc<Metrics>,
    runs: Arc<Runs>,
    route: Arc<Route>,
    in_flight: AtomicU32,
    sealed: std::sync::atomic::AtomicBool,
}

struct Taken<'a>(&'a AtomicU32);

impl Drop for Taken<'_> {
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
            keeper: registry.find("keeper")?,
            levels: registry.find("levels")?,
            metrics: registry.find("metrics")?,
            runs: registry.find("runs")?,
            route: registry.find("route")?,
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
    pub(crate) async fn serve(&self, call: Inbound) -> Outbound {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _taken = Taken(&self.in_flight);
        let sent_before = call.sent_before();
        let class = call.class.clone();
        let served = match call.parent {
            Some(token) => self.serve_child(call, token).await,
            None => self.serve_root(call).await,
        };
        let out = served.unwrap_or_else(|kind| refuse(kind, sent_before));
        self.count(class, &out);
        out
    }

    /// Counts the answer; a class that no contract names has one row for all its names.
    fn count(&self, class: Name, out: &Outbound) {
        let contract = self.contracts.current(&self.customer);
        let named = contract.is_some_and(|found| found.contract.classes.contains_key(&class));
        let row = if named { class } else { Name::new("") };
        self.metrics.record_answer(&row, &out.outcome);
    }

    fn terms(&self, call: &Inbound) -> Result<(ActiveContract, Terms), ErrorKind> {
        let customer = call.customer.as_ref().unwrap_or(&self.customer);
        let contract = self.contracts.current(customer).ok_or(ErrorKind::NoContract)?;
        let terms = contract.terms(&call.class).ok_or(ErrorKind::UnknownClass)?;
        Ok((contract, terms))
    }

    async fn serve_root(&self, call: Inbound) -> Result<Outbound, ErrorKind> {
        if self.sealed.load(Ordering::Acquire) {
            let refused = refuse(ErrorKind::Draining, call.sent_before());
            // The binding was not used here: the caller goes on with it at another entry.
            return Ok(Outbound { binding: call.binding, ..refused });
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
            if self.levels.is_doomed(&contract, &call.class, rank) {
                return Err(ErrorKind::Overload);
            }
        }
        if once && binding.is_none() {
            return self.offer(class.service, request, call.first == Some(true)).await;
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
        let delivery = Delivery {
            meta,
            rule: if once { BindingMode::Bound } else { BindingMode::Unbound },
            within: Repeatability::from_once(once),
            service: class.service,
            siblings: 1,
            body: call.body,
        };
        let first = once || call.first == Some(true) || call.request.is_none();
        match first {
            true => Ok(self.deliver_first(delivery, class.retries).await),
            false => self.deliver_again(delivery, class.retries, call.first.is_none()).await,
        }
    }

    /// Binding of a once-only request from its keeper, for the caller to send with.
    async fn offer(
        &self,
        service: Name,
        request: RequestId,
        first: bool,
    ) -> Result<Outbound, ErrorKind> {
        let ask = BindingRequest { service, request, first };
        let answer = match self.keeper.binding(ask.clone()).await {
            Some(answer) => answer,
            // No other binding can be out for an id that was never sent.
            None if first => {
                let fresh = self.route.offer(&ask.service).await;
                BinderAnswer::Bound(fresh.ok_or(ErrorKind::NoTarget)?)
            }
            None => return Err(ErrorKind::NoTarget),
        };
        Ok(match answer {
            BinderAnswer::Bound(binding) => {
                // An earlier send may have run under the same binding.
                let refused = refuse(ErrorKind::BindingNeeded, !first);
                Outbound { binding: Some(binding), ..refused }
            }
            BinderAnswer::NotRun(kind) => refuse(kind, false),
            BinderAnswer::Unknown(kind) => refuse(kind, true),
        })
    }

    /// Delivers the first send of a request.
    ///
    /// Part of the retry bound stays with the keeper of the request id, for the caller's own
    /// re-sends; so nobody has to be asked here.
    async fn deliver_first(&self, delivery: Delivery, retries: u32) -> Outbound {
        let budget = Mutex::new(Budget::new(retries - kept_back(retries)));
        self.route.deliver(delivery, &budget, Call::new()).await.into()
    }

    /// Delivers a send that may not be the first, with what the request's keeper has left.
    ///
    /// `unmarked` says that the caller does not tell first sends from others.
    async fn deliver_again(
        &self,
        delivery: Delivery,
        retries: u32,
        unmarked: bool,
    ) -> Result<Outbound, ErrorKind> {
        let (service, request) = (delivery.service.clone(), delivery.meta.request);
        let ask = OpenRequest {
            request,
            retries: if unmarked { retries } else { kept_back(retries) },
            first: false,
            deadline: delivery.meta.left,
        };
        let run = match self.keeper.open(&service, ask).await {
            Some(OpenReply::Run(run)) => run,
            Some(OpenReply::Running) => return Ok(refuse(ErrorKind::Connection, true)),
            Some(OpenReply::Spent { ran }) => return Ok(refuse(ErrorKind::RetriesSpent, ran)),
            Some(OpenReply::Full) => return Err(ErrorKind::Overload),
            None => return Err(ErrorKind::NoTarget),
        };
        let RunLease { number, budget, call } = run;
        let sends = if unmarked || call.sends() > 0 { call } else { resent_call() };
        let budget = Mutex::new(budget);
        let done = self.route.deliver(delivery, &budget, sends).await;
        let budget = budget.into_inner().unwrap_or_else(PoisonError::into_inner);
        let Delivered { outcome, retry_after, offer, sends } = done;
        let run = RunLease { number, budget, call: sends };
        self.keeper.close(&service, CloseRequest { request, run }).await;
        Ok(Outbound { outcome, retry_after, binding: offer })
    }

    async fn serve_child(&self, call: Inbound, token: RequestId) -> Result<Outbound, ErrorKind> {
        let run = self.runs.find(token).ok_or(ErrorKind::BadRequest)?;
        let parent = &run.meta;
        let call = Inbound { customer: Some(parent.customer.clone()), ..call };
        let (contract, terms) = self.terms(&call)?;
        let class = terms.class;
        let rank = Rank::of(parent.importance, parent.root);
        if self.levels.is_doomed(&contract, &call.class, rank) {
            return Err(ErrorKind::Overload);
        }
        let above = Repeatability::from_once(parent.once);
        let rule = binding_mode(above, class.repeatable, false)?;
        let within = above.for_children(class.repeatable);
        let now = self.clock.now();
        let left = run.left(now);
        let meta = CallMeta {
            customer: parent.customer.clone(),
            revision: terms.revision,
            root: parent.root,
            request: run.next_child(),
            attempt: AttemptId(0),
            class: call.class,
            importance: parent.importance,
            once: within == Repeatability::Once,
            left: call.left.unwrap_or(left).min(left),
            age: parent.age + now.since(run.since),
            depth: parent.depth.saturating_add(1),
            grant: Grant { units: 0, rerun: false },
            binding: None,
        };
        let service = class.service;
        let delivery = Delivery { meta, rule, within, service, siblings: 1, body: call.body };
        Ok(self.route.deliver(delivery, run.budget(), Call::new()).await.into())
    }
}

/// Part of a retry bound that the keeper of the request id holds for the caller's re-sends.
const fn kept_back(retries: u32) -> u32 {
    retries / 2
}

/// Sends of a request whose first send went through another entry, and may have run.
fn resent_call() -> Call {
    let mut call = Call::new();
    if let Ok(loan) = call.send(&mut Budget::new(0), 0) {
        call.record_loss(loan);
    }
    call
}

impl From<Delivered> for Outbound {
    fn from(done: Delivered) -> Self {
        Self { outcome: done.outcome, retry_after: done.retry_after, binding: done.offer }
    }
}

/// Refusal by this node itself.
///
/// A request that was sent before may have run through another entry, so this node cannot say that
/// it did not.
fn refuse(kind: ErrorKind, sent_before: bool) -> Outbound {
    let spread = spread_retry_after(RETRY_AFTER, fastrand::u64(..));
    let retry_after = kind.reply().retryable.then_some(spread);
    let outcome = match sent_before {
        true => Outcome::Unknown { kind },
        false => Outcome::NotRun { kind, retry_after: spread },
    };
    Outbound { outcome, retry_after, binding: None }
}

impl Service for Entry {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "in_flight": self.in_flight(), "sealed": self.sealed.load(Ordering::Acquire) })
    }
}
