//! Calls as callers and the own target hand them in: where a request gets its terms.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{AttemptId, Binding, Budget, ErrorKind, Grant, Moment, Name, Outcome, RequestId};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::{Answer, CallMeta};
use serde_json::{Value, json};

use crate::contracts::{Contracts, Terms};
use crate::route::{Delivery, Route};
use crate::runs::{Run, Runs};

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
    pub(crate) body: Bytes,
}

/// Answer to a call that came in.
#[derive(Debug)]
pub(crate) struct Outbound {
    pub(crate) outcome: Outcome<Answer>,
    /// Binding that the caller is to send the request with.
    pub(crate) binding: Option<Binding>,
}

/// Service that takes calls in.
pub(crate) struct Entry {
    clock: Clock,
    customer: Name,
    contracts: Arc<Contracts>,
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
        let terms = match self.terms(&call) {
            Ok(terms) => terms,
            Err(kind) => return refuse(kind),
        };
        match call.parent {
            Some(token) => match self.runs.find(token) {
                Some(run) => self.serve_child(call, terms, &run).await,
                None => refuse(ErrorKind::BadRequest),
            },
            None if self.sealed.load(Ordering::Acquire) => refuse(ErrorKind::Draining),
            None => self.serve_root(call, terms).await,
        }
    }

    fn customer<'a>(&'a self, call: &'a Inbound) -> &'a Name {
        call.customer.as_ref().unwrap_or(&self.customer)
    }

    fn terms(&self, call: &Inbound) -> Result<Terms, ErrorKind> {
        let contract = self.contracts.current(self.customer(call)).ok_or(ErrorKind::NoContract)?;
        contract.terms(&call.class).ok_or(ErrorKind::UnknownClass)
    }

    async fn serve_root(&self, call: Inbound, terms: Terms) -> Outbound {
        let class = &terms.class;
        let once = !class.repeatable;
        if once && call.binding.is_none() {
            let Some(binding) = self.route.bind(&class.service) else {
                return refuse(ErrorKind::NoTarget);
            };
            return Outbound { binding: Some(binding), ..refuse(ErrorKind::BindingNeeded) };
        }
        let request = call.request.unwrap_or_else(draw_request);
        let left = call.left.unwrap_or(class.deadline).min(class.deadline);
        let meta = CallMeta {
            customer: self.customer(&call).clone(),
            revision: terms.revision,
            root: request,
            request,
            attempt: AttemptId(0),
            class: call.class,
            importance: class.importance,
            once,
            left,
            age: Duration::ZERO,
            depth: 0,
            grant: Grant { units: 0, rerun: false },
            binding: call.binding.filter(|_| once),
        };
        let service = class.service.clone();
        let delivery = Delivery { meta, service, siblings: 1, body: call.body };
        let budget = Mutex::new(Budget::grant(class.retries));
        let outcome = self.route.deliver(delivery, &budget).await;
        Outbound { outcome, binding: None }
    }

    async fn serve_child(&self, call: Inbound, terms: Terms, run: &Run) -> Outbound {
        let class = &terms.class;
        let parent = &run.meta;
        if !parent.once && !class.repeatable {
            return refuse(ErrorKind::OnceInRepeatable);
        }
        let now = self.clock.now();
        let left = run.deadline.since(now);
        let binding = if class.repeatable { None } else { self.route.bind(&class.service) };
        let meta = CallMeta {
            customer: parent.customer.clone(),
            revision: terms.revision,
            root: parent.root,
            request: run.next_child(),
            attempt: AttemptId(0),
            class: call.class,
            importance: parent.importance,
            once: parent.once,
            left: call.left.unwrap_or(left).min(left),
            age: parent.age + now.since(run.since),
            depth: parent.depth.saturating_add(1),
            grant: Grant { units: 0, rerun: false },
            binding,
        };
        let service = class.service.clone();
        let delivery = Delivery { meta, service, siblings: 1, body: call.body };
        let outcome = self.route.deliver(delivery, run.budget()).await;
        Outbound { outcome, binding: None }
    }
}

fn refuse(kind: ErrorKind) -> Outbound {
    Outbound { outcome: Outcome::NotRun { kind, retry_after: RETRY_AFTER }, binding: None }
}

fn draw_request() -> RequestId {
    RequestId(fastrand::u128(..))
}

impl Service for Entry {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "in_flight": self.in_flight(), "sealed": self.sealed.load(Ordering::Acquire) })
    }
}
