//! Runs calls on the local target: the callee's side of a hop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    Binding, ErrorKind, Fingerprint, Handover, ImportanceScale, InstanceId, Level, Moment, Name,
    Outcome, Refusal, RequestId, RunStatus, TargetResult,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::{Answer, CallMeta, CallReply, CallRequest, RunStatusRequest};
use serde_json::{Value, json};

use crate::admission::{AdmissionController, AdmissionRequest};
use crate::attempts::Attempts;
use crate::contracts::{Contracts, Terms};
use crate::levels::DownstreamLevels;
use crate::once_table::{OnceTable, OnceVerdict};
use crate::runs::{Run, Runs};
use crate::suspects::{RunGuard, RunRefusal, Suspects};
use crate::target::Target;

/// Retry-after time of refusals for which no better value is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry-after time while the target is absent or draining: in most cases a stopping node has
/// handed its once-only requests over by then.
const HANDOVER_TIME: Duration = Duration::from_millis(1_000);

/// Service that admits calls and runs them on the local target.
pub(crate) struct Executor {
    clock: Clock,
    contracts: Arc<Contracts>,
    admission: Arc<AdmissionController>,
    levels: Arc<DownstreamLevels>,
    once: Arc<OnceTable>,
    runs: Arc<Runs>,
    attempts: Arc<Attempts>,
    suspects: Arc<Suspects>,
    target: Arc<Target>,
    sealed: AtomicBool,
    in_flight: AtomicU32,
}

/// Result of serving a call.
#[derive(Debug)]
struct ServeResult {
    outcome: Outcome<Answer>,
    /// Retry units that were not spent and go back to the caller.
    units: u32,
    /// Binding for the next send, where this one definitely did not run.
    offer: Option<Binding>,
    /// Only target that may run the request, as it is suspected of crashing targets.
    isolation: Option<InstanceId>,
    /// Whether the run may have crashed its target.
    suspect: bool,
}

/// Terms of a call's class and address of the target that runs it.
#[derive(Debug)]
struct RunContext {
    terms: Terms,
    address: String,
}

/// Counts a call as in flight until it is dropped.
struct InFlightGuard<'a>(&'a AtomicU32);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Executor {
    /// Creates the service with its dependencies from `registry`.
    pub(crate) fn new(clock: Clock, registry: &Registry) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            contracts: registry.find("contracts")?,
            admission: registry.find("admission")?,
            levels: registry.find("levels")?,
            once: registry.find("once")?,
            runs: registry.find("runs")?,
            attempts: registry.find("sends")?,
            suspects: registry.find("suspects")?,
            target: registry.find("target")?,
            sealed: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
        })
    }

    /// Stops admitting calls; running ones can still end.
    pub(crate) fn seal(&self) {
        self.sealed.store(true, Ordering::Release);
        self.once.seal();
    }

    /// Number of calls that have not ended.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves a call of another node or of this node's router.
    pub(crate) async fn serve(self: &Arc<Self>, call: CallRequest) -> CallReply {
        let (request, attempt) = (call.meta.request, call.meta.attempt);
        let (customer, class) = (call.meta.customer.clone(), call.meta.class.clone());
        let context = self.prepare(&call.meta);
        let once = context.as_ref().is_ok_and(|context| !context.terms.class.repeatable);
        let bound = once || call.meta.binding.is_some();
        let served = match bound {
            true => self.serve_bound(call, context).await,
            false => self.serve_unbound(call, context).await,
        };
        let ServeResult { outcome, units, offer, isolation, suspect } = served;
        let revision = self.contracts.revision(&customer);
        let level = self.level(&customer, &class);
        CallReply { request, attempt, outcome, units, level, offer, isolation, suspect, revision }
    }

    /// Level of this node combined with those of the classes that `class` calls.
    fn level(&self, customer: &Name, class: &Name) -> Level {
        let local = self.admission.level();
        let contract = self.contracts.current(customer);
        contract.map_or(local, |contract| self.levels.combined(&contract, class, local))
    }

    /// Returns the status of a send whose connection failed; `Running` if it does not end within
    /// the time that the query allows.
    pub(crate) async fn query_status(&self, query: RunStatusRequest) -> RunStatus<Answer> {
        let status = async {
            match &query.binding {
                None => self.attempts.query_status(&query).await,
                Some(binding) => match self.once.await_end(query.request, binding).await {
                    OnceVerdict::Known(status, _) => status,
                    OnceVerdict::Run => RunStatus::Unknown(ErrorKind::Connection),
                },
            }
        };
        tokio::time::timeout(query.left, status).await.unwrap_or(RunStatus::Running)
    }

    /// Mints a binding to the local target ahead of a once-only call; `None` once sealed.
    pub(crate) fn offer_binding(&self) -> Option<Binding> {
        self.once.offer_binding(None)
    }

    /// Accepts the once-only table of an instance that is leaving; returns whether it was accepted.
    pub(crate) fn accept_handover(&self, handover: Handover<Answer>) -> bool {
        !self.sealed.load(Ordering::Acquire) && self.once.accept_handover(handover).is_ok()
    }

    /// Checks that the target can run calls of this class now, and adopts the contract revision.
    fn prepare(&self, meta: &CallMeta) -> Result<RunContext, ErrorKind> {
        let contract = self.contracts.current(&meta.customer).ok_or(ErrorKind::NoContract)?;
        let terms = contract.terms(&meta.class).ok_or(ErrorKind::UnknownClass)?;
        let scale = || ImportanceScale::derive(&contract.contract);
        self.admission.revise(contract.revision, scale);
        self.once.revise(contract.revision, &contract.contract);
        if self.sealed.load(Ordering::Acquire) {
            return Err(ErrorKind::Draining);
        }
        let announced = self.target.serving(self.clock.now()).ok_or(ErrorKind::NoTarget)?;
        if announced.service != terms.class.service {
            return Err(ErrorKind::UnknownClass);
        }
        Ok(RunContext { terms, address: announced.address })
    }

    /// Serves a repeatable call; it is cancelled if its connection is lost.
    async fn serve_unbound(
        &self,
        call: CallRequest,
        context: Result<RunContext, ErrorKind>,
    ) -> ServeResult {
        let CallRequest { sender, meta, body } = call;
        let units = meta.grant.units;
        let context = match context {
            Ok(context) => context,
            Err(kind) => return ServeResult::refused(kind, units),
        };
        let guard = match self.attempts.begin(&sender, meta.request, meta.attempt) {
            Ok(guard) => guard,
            Err(status) => return ServeResult::new(outcome_of(status), units),
        };
        let _in_flight = self.count();
        let served = self.admit_and_run(meta, body, context).await;
        guard.finish(&served.outcome);
        served
    }

    /// Serves a once-only call; once admitted, it continues even if its connection is lost.
    async fn serve_bound(
        self: &Arc<Self>,
        call: CallRequest,
        context: Result<RunContext, ErrorKind>,
    ) -> ServeResult {
        let CallRequest { meta, body, .. } = call;
        let (request, units, left) = (meta.request, meta.grant.units, meta.left);
        let Some(binding) = meta.binding.clone() else {
            let refused = ServeResult::refused(ErrorKind::BindingNeeded, units);
            return ServeResult { offer: self.once.offer_binding(None), ..refused };
        };
        let context = match context {
            Ok(context) => context,
            Err(kind) => {
                return ServeResult::from_verdict(self.once.refuse(request, &binding, kind), units);
            }
        };
        let max_answer_bytes = context.terms.class.largest_answer as usize;
        match self.once.admit(request, &binding, max_answer_bytes) {
            OnceVerdict::Run => self.run_detached(meta, body, context, binding).await,
            OnceVerdict::Known(RunStatus::Running, _) => {
                let ended = self.once.await_end(request, &binding);
                let lost = OnceVerdict::Known(RunStatus::Unknown(ErrorKind::Deadline), None);
                ServeResult::from_verdict(
                    tokio::time::timeout(left, ended).await.unwrap_or(lost),
                    units,
                )
            }
            known => ServeResult::from_verdict(known, units),
        }
    }

    /// Runs an admitted once-only call in a separate task, so that its answer is recorded even if
    /// the connection is lost.
    async fn run_detached(
        self: &Arc<Self>,
        meta: CallMeta,
        body: Bytes,
        context: RunContext,
        binding: Binding,
    ) -> ServeResult {
        let this = self.clone();
        let run = tokio::spawn(async move {
            let _in_flight = this.count();
            let request = meta.request;
            let served = this.admit_and_run(meta, body, context).await;
            this.once.finish(request, &served.outcome);
            let refused = matches!(served.outcome, Outcome::NotRun { .. });
            ServeResult { offer: this.once.offer_binding(refused.then_some(&binding)), ..served }
        });
        run.await.unwrap_or_else(|_| ServeResult::unknown(ErrorKind::Connection))
    }

    async fn admit_and_run(&self, meta: CallMeta, body: Bytes, context: RunContext) -> ServeResult {
        let units = meta.grant.units;
        let class = &context.terms.class;
        let fingerprint = Fingerprint::of(&meta.class, &body);
        let watched = match self.suspects.admit(&class.service, fingerprint, !class.repeatable) {
            Ok(watched) => watched,
            Err(denied) => return ServeResult::denied(denied, units),
        };
        let permit = match self.admission.acquire(AdmissionRequest::of(&meta)).await {
            Ok(permit) => permit,
            Err(Refusal { kind, retry_after, .. }) => {
                return ServeResult::new(Outcome::NotRun { kind, retry_after }, units);
            }
        };
        let guard = self.runs.open(RequestId(fastrand::u128(..)), meta, self.clock.now());
        let end = self.run(&guard.run, &context, body).await;
        let suspect = self.report_end(&end, watched, &context).await;
        let outcome = end.outcome(DEFAULT_RETRY_AFTER);
        if matches!(outcome, Outcome::Done(_)) {
            permit.finish();
        }
        ServeResult { suspect, ..ServeResult::new(outcome, guard.run.close_budget()) }
    }

    /// Reports an answer or a lost connection to the crash suspects; returns whether the target
    /// crashed.
    async fn report_end(
        &self,
        end: &TargetResult<Answer>,
        watched: RunGuard,
        context: &RunContext,
    ) -> bool {
        let service = &context.terms.class.service;
        match end {
            TargetResult::Answer { .. } => {
                watched.record_success(service);
                false
            }
            TargetResult::ConnectionLost => {
                let crashed = watched.on_connection_lost(service, &context.address).await;
                if crashed {
                    self.target.expire(self.clock.now());
                }
                crashed
            }
            _ => false,
        }
    }

    async fn run(&self, run: &Run, context: &RunContext, body: Bytes) -> TargetResult<Answer> {
        let largest = context.terms.class.largest_answer;
        let exchange = self.target.run(&context.address, &run.meta, run.token(), largest, body);
        let ended = tokio::time::timeout(run.remaining(self.clock.now()), exchange).await;
        match ended {
            Ok(TargetResult::Answer { answer, shed, .. }) => {
                TargetResult::Answer { answer, shed, calls: run.call_count() }
            }
            Ok(end) => end,
            Err(_) => TargetResult::Deadline,
        }
    }

    fn count(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(&self.in_flight)
    }
}

impl ServeResult {
    const fn new(outcome: Outcome<Answer>, units: u32) -> Self {
        Self { outcome, units, offer: None, isolation: None, suspect: false }
    }

    fn denied(denied: RunRefusal, units: u32) -> Self {
        match denied {
            RunRefusal::Convicted => Self::refused(ErrorKind::CrashSuspect, units),
            RunRefusal::Busy => Self { suspect: true, ..Self::refused(ErrorKind::Overload, units) },
            RunRefusal::Elsewhere(target) => {
                let refused = Self::refused(ErrorKind::Overload, units);
                Self { isolation: Some(target), ..refused }
            }
        }
    }

    fn refused(kind: ErrorKind, units: u32) -> Self {
        Self::new(not_run(kind), units)
    }

    fn from_verdict(verdict: OnceVerdict, units: u32) -> Self {
        match verdict {
            OnceVerdict::Known(status, offer) => {
                Self { offer, ..Self::new(outcome_of(status), units) }
            }
            OnceVerdict::Run => Self::unknown(ErrorKind::Connection),
        }
    }

    fn unknown(kind: ErrorKind) -> Self {
        Self::new(Outcome::Unknown { kind }, 0)
    }
}

/// Converts a run status to the outcome that is reported to the sender.
pub(crate) fn outcome_of(status: RunStatus<Answer>) -> Outcome<Answer> {
    match status {
        RunStatus::Done(answer) => Outcome::Done(answer),
        RunStatus::NotRun(kind) => not_run(kind),
        RunStatus::Unknown(kind) => Outcome::Unknown { kind },
        RunStatus::Running => Outcome::Unknown { kind: ErrorKind::Deadline },
    }
}

fn not_run(kind: ErrorKind) -> Outcome<Answer> {
    let retry_after = match kind {
        ErrorKind::NoTarget | ErrorKind::Draining => HANDOVER_TIME,
        _ => DEFAULT_RETRY_AFTER,
    };
    Outcome::NotRun { kind, retry_after }
}

impl Service for Executor {
    fn name(&self) -> &'static str {
        "work"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "in_flight": self.in_flight(), "sealed": self.sealed.load(Ordering::Acquire) })
    }
}
