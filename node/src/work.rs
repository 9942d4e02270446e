//! Calls that this node has its own target run: the callee's half of a hop.

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

use crate::contracts::{Contracts, Terms};
use crate::gate::{Entrant, Gate};
use crate::levels::Levels;
use crate::once::{Copy, Once};
use crate::runs::{Run, Runs};
use crate::sends::Sends;
use crate::suspects::{Denied, Suspects, Watched};
use crate::target::Target;

/// Time to come back that a refusal names while nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time after which a node whose target stops has mostly handed its once-only requests over.
const HANDOVER_TIME: Duration = Duration::from_millis(1_000);

/// Service that admits calls and has the target run them.
pub(crate) struct Work {
    clock: Clock,
    contracts: Arc<Contracts>,
    gate: Arc<Gate>,
    levels: Arc<Levels>,
    once: Arc<Once>,
    runs: Arc<Runs>,
    sends: Arc<Sends>,
    suspects: Arc<Suspects>,
    target: Arc<Target>,
    sealed: AtomicBool,
    in_flight: AtomicU32,
}

/// How a call that was served ended.
#[derive(Debug)]
struct Served {
    outcome: Outcome<Answer>,
    /// Retry units that were not spent.
    units: u32,
    /// Binding for the next send, where this one definitely did not run.
    offer: Option<Binding>,
    /// Target that alone may run the request.
    isolation: Option<InstanceId>,
    /// Whether the run may have crashed its target.
    suspect: bool,
}

/// What a call needs so that the target can run it.
#[derive(Debug)]
struct Ready {
    terms: Terms,
    address: String,
}

/// Call in flight, counted until it is dropped.
struct Counted<'a>(&'a AtomicU32);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Work {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(clock: Clock, registry: &Registry) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            contracts: registry.find("contracts")?,
            gate: registry.find("admission")?,
            levels: registry.find("levels")?,
            once: registry.find("once")?,
            runs: registry.find("runs")?,
            sends: registry.find("sends")?,
            suspects: registry.find("suspects")?,
            target: registry.find("target")?,
            sealed: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
        })
    }

    /// Takes nothing new from now on; what runs may still end.
    pub(crate) fn seal(&self) {
        self.sealed.store(true, Ordering::Release);
        self.once.seal();
    }

    /// Calls that have not ended.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Serves one call.
    pub(crate) async fn serve(self: &Arc<Self>, call: CallRequest) -> CallReply {
        let (request, attempt) = (call.meta.request, call.meta.attempt);
        let (customer, class) = (call.meta.customer.clone(), call.meta.class.clone());
        let ready = self.ready(&call.meta);
        let once = ready.as_ref().is_ok_and(|ready| !ready.terms.class.repeatable);
        let bound = once || call.meta.binding.is_some();
        let served = match bound {
            true => self.serve_bound(call, ready).await,
            false => self.serve_free(call, ready).await,
        };
        let Served { outcome, units, offer, isolation, suspect } = served;
        let revision = self.contracts.revision(&customer);
        let level = self.level(&customer, &class);
        CallReply { request, attempt, outcome, units, level, offer, isolation, suspect, revision }
    }

    /// Level that a call of `class` meets here or below.
    fn level(&self, customer: &Name, class: &Name) -> Level {
        let own = self.gate.level();
        let contract = self.contracts.current(customer);
        contract.map_or(own, |contract| self.levels.joined(&contract, class, own))
    }

    /// Tells what became of a send whose connection failed; `Running` if it has not ended in time.
    pub(crate) async fn ask(&self, ask: RunStatusRequest) -> RunStatus<Answer> {
        let fate = async {
            match &ask.binding {
                None => self.sends.ask(&ask).await,
                Some(binding) => match self.once.join(ask.request, binding).await {
                    Copy::Known(fate, _) => fate,
                    Copy::Run => RunStatus::Unknown(ErrorKind::Connection),
                },
            }
        };
        tokio::time::timeout(ask.left, fate).await.unwrap_or(RunStatus::Running)
    }

    /// Binding to the target beside this node, ahead of a once-only call.
    pub(crate) fn offer(&self) -> Option<Binding> {
        self.once.offer(None)
    }

    /// Takes over the table of an instance that leaves; says whether it did.
    pub(crate) fn succeed(&self, handover: Handover<Answer>) -> bool {
        !self.sealed.load(Ordering::Acquire) && self.once.succeed(handover).is_ok()
    }

    /// Whether the target can run calls of this kind now.
    fn ready(&self, meta: &CallMeta) -> Result<Ready, ErrorKind> {
        let contract = self.contracts.current(&meta.customer).ok_or(ErrorKind::NoContract)?;
        let terms = contract.terms(&meta.class).ok_or(ErrorKind::UnknownClass)?;
        let scale = || ImportanceScale::derive(&contract.contract);
        self.gate.revise(contract.revision, scale);
        self.once.revise(contract.revision, &contract.contract);
        if self.sealed.load(Ordering::Acquire) {
            return Err(ErrorKind::Draining);
        }
        let announced = self.target.serving(self.clock.now()).ok_or(ErrorKind::NoTarget)?;
        if announced.service != terms.class.service {
            return Err(ErrorKind::UnknownClass);
        }
        Ok(Ready { terms, address: announced.address })
    }

    /// Serves a repeatable call; it is cancelled with its connection.
    async fn serve_free(&self, call: CallRequest, ready: Result<Ready, ErrorKind>) -> Served {
        let CallRequest { sender, meta, body } = call;
        let units = meta.grant.units;
        let ready = match ready {
            Ok(ready) => ready,
            Err(kind) => return Served::refused(kind, units),
        };
        let open = match self.sends.begin(&sender, meta.request, meta.attempt) {
            Ok(open) => open,
            Err(fate) => return Served::new(outcome_of(fate), units),
        };
        let _counted = self.count();
        let served = self.admit_and_run(meta, body, ready).await;
        open.finish(&served.outcome);
        served
    }

    /// Serves a once-only call; once admitted it goes on even if its connection is lost.
    async fn serve_bound(
        self: &Arc<Self>,
        call: CallRequest,
        ready: Result<Ready, ErrorKind>,
    ) -> Served {
        let CallRequest { meta, body, .. } = call;
        let (request, units, left) = (meta.request, meta.grant.units, meta.left);
        let Some(binding) = meta.binding.clone() else {
            let refused = Served::refused(ErrorKind::BindingNeeded, units);
            return Served { offer: self.once.offer(None), ..refused };
        };
        let ready = match ready {
            Ok(ready) => ready,
            Err(kind) => return Served::known(self.once.refuse(request, &binding, kind), units),
        };
        let room = ready.terms.class.largest_answer as usize;
        match self.once.admit(request, &binding, room) {
            Copy::Run => self.run_detached(meta, body, ready, binding).await,
            Copy::Known(RunStatus::Running, _) => {
                let ended = self.once.join(request, &binding);
                let lost = Copy::Known(RunStatus::Unknown(ErrorKind::Deadline), None);
                Served::known(tokio::time::timeout(left, ended).await.unwrap_or(lost), units)
            }
            known => Served::known(known, units),
        }
    }

    /// Runs an admitted once-only call in a task of its own, so that its answer is kept.
    async fn run_detached(
        self: &Arc<Self>,
        meta: CallMeta,
        body: Bytes,
        ready: Ready,
        binding: Binding,
    ) -> Served {
        let this = self.clone();
        let run = tokio::spawn(async move {
            let _counted = this.count();
            let request = meta.request;
            let served = this.admit_and_run(meta, body, ready).await;
            this.once.finish(request, &served.outcome);
            let refused = matches!(served.outcome, Outcome::NotRun { .. });
            Served { offer: this.once.offer(refused.then_some(&binding)), ..served }
        });
        run.await.unwrap_or_else(|_| Served::lost(ErrorKind::Connection))
    }

    async fn admit_and_run(&self, meta: CallMeta, body: Bytes, ready: Ready) -> Served {
        let units = meta.grant.units;
        let class = &ready.terms.class;
        let print = Fingerprint::of(&meta.class, &body);
        let watched = match self.suspects.admit(&class.service, print, !class.repeatable) {
            Ok(watched) => watched,
            Err(denied) => return Served::denied(denied, units),
        };
        let permit = match self.gate.enter(Entrant::of(&meta)).await {
            Ok(permit) => permit,
            Err(Refusal { kind, retry_after, .. }) => {
                return Served::new(Outcome::NotRun { kind, retry_after }, units);
            }
        };
        let open = self.runs.open(RequestId(fastrand::u128(..)), meta, self.clock.now());
        let end = self.run(&open.run, &ready, body).await;
        let suspect = self.note_end(&end, watched, &ready).await;
        let outcome = end.outcome(RETRY_AFTER);
        if matches!(outcome, Outcome::Done(_)) {
            permit.finish();
        }
        Served { suspect, ..Served::new(outcome, open.run.close()) }
    }

    /// Tells what the end of a run says of its request; true if its target crashed.
    async fn note_end(&self, end: &TargetResult<Answer>, watched: Watched, ready: &Ready) -> bool {
        let service = &ready.terms.class.service;
        match end {
            TargetResult::Answer { .. } => {
                watched.succeeded(service);
                false
            }
            TargetResult::ConnectionLost => {
                let crashed = watched.broken(service, &ready.address).await;
                if crashed {
                    self.target.expire(self.clock.now());
                }
                crashed
            }
            _ => false,
        }
    }

    async fn run(&self, run: &Run, ready: &Ready, body: Bytes) -> TargetResult<Answer> {
        let largest = ready.terms.class.largest_answer;
        let work = self.target.run(&ready.address, &run.meta, run.token(), largest, body);
        let ended = tokio::time::timeout(run.left(self.clock.now()), work).await;
        match ended {
            Ok(TargetResult::Answer { answer, shed, .. }) => {
                TargetResult::Answer { answer, shed, calls: run.calls() }
            }
            Ok(end) => end,
            Err(_) => TargetResult::Deadline,
        }
    }

    fn count(&self) -> Counted<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Counted(&self.in_flight)
    }
}

impl Served {
    const fn new(outcome: Outcome<Answer>, units: u32) -> Self {
        Self { outcome, units, offer: None, isolation: None, suspect: false }
    }

    fn denied(denied: Denied, units: u32) -> Self {
        match denied {
            Denied::Convicted => Self::refused(ErrorKind::CrashSuspect, units),
            Denied::Busy => Self { suspect: true, ..Self::refused(ErrorKind::Overload, units) },
            Denied::Elsewhere(target) => {
                let refused = Self::refused(ErrorKind::Overload, units);
                Self { isolation: Some(target), ..refused }
            }
        }
    }

    fn refused(kind: ErrorKind, units: u32) -> Self {
        Self::new(not_run(kind), units)
    }

    fn known(copy: Copy, units: u32) -> Self {
        match copy {
            Copy::Known(fate, offer) => Self { offer, ..Self::new(outcome_of(fate), units) },
            Copy::Run => Self::lost(ErrorKind::Connection),
        }
    }

    fn lost(kind: ErrorKind) -> Self {
        Self::new(Outcome::Unknown { kind }, 0)
    }
}

/// Outcome that a sender is told for a fate.
pub(crate) fn outcome_of(fate: RunStatus<Answer>) -> Outcome<Answer> {
    match fate {
        RunStatus::Done(answer) => Outcome::Done(answer),
        RunStatus::NotRun(kind) => not_run(kind),
        RunStatus::Unknown(kind) => Outcome::Unknown { kind },
        RunStatus::Running => Outcome::Unknown { kind: ErrorKind::Deadline },
    }
}

fn not_run(kind: ErrorKind) -> Outcome<Answer> {
    let retry_after = match kind {
        ErrorKind::NoTarget | ErrorKind::Draining => HANDOVER_TIME,
        _ => RETRY_AFTER,
    };
    Outcome::NotRun { kind, retry_after }
}

impl Service for Work {
    fn name(&self) -> &'static str {
        "work"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({ "in_flight": self.in_flight(), "sealed": self.sealed.load(Ordering::Acquire) })
    }
}
