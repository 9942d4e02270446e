//! A call beside its target: checked, admitted, run, and its outcome told.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use poplar_core::{
    Barrier, ErrorKind, Fingerprint, InstanceId, Life, Moment, Outcome, Stage, TargetEnd, Treatment,
};
use poplar_kernel::Clock;

use crate::gate::{Entrant, Gate};

use crate::proxy::decisions::{Decision, Decisions};
use crate::proxy::frame::{Call, CallAnswer, WholeReply};
use crate::proxy::in_flight::InFlight;
use crate::proxy::state::SharedState;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::graph::CallGraph;
use crate::proxy::state::rules::Rules;
use crate::proxy::target::exchange::Exchange;
use crate::proxy::target::own::Own;

/// Time to come back for a caller that met a target which is leaving: the others take its work.
const LEAVING_RETRY: Duration = Duration::from_millis(100);
/// Time to come back for a caller whose target turned the request away.
const SHED_RETRY: Duration = Duration::from_millis(300);
/// Time beyond the deadline for which the target's own word on it may still come.
const LAST_WORD: Duration = Duration::from_millis(50);

/// Runs calls at the target beside this node.
pub(crate) struct Runner {
    clock: Clock,
    gate: Arc<Gate>,
    own: Arc<Own>,
    exchange: Arc<Exchange>,
    graph: Arc<CallGraph>,
    rules: Arc<Rules>,
    crashes: Arc<CrashRecords>,
    decisions: Arc<Decisions>,
    /// Why no further call is taken, once the node stops.
    sealed: OnceLock<ErrorKind>,
    in_flight: AtomicUsize,
}

impl Runner {
    pub(crate) fn new(
        clock: Clock,
        gate: Arc<Gate>,
        own: Arc<Own>,
        exchange: Arc<Exchange>,
        graph: Arc<CallGraph>,
        known: SharedState,
        decisions: Arc<Decisions>,
    ) -> Self {
        let SharedState { rules, crashes, .. } = known;
        let (sealed, in_flight) = (OnceLock::new(), AtomicUsize::new(0));
        Self { clock, gate, own, exchange, graph, rules, crashes, decisions, sealed, in_flight }
    }

    /// Refuses all further calls.
    pub(crate) fn seal(&self, kind: ErrorKind) {
        self.sealed.get_or_init(|| kind);
    }

    /// Calls without an outcome yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Runs a call; dropping the future cancels the run.
    pub(crate) async fn run(&self, call: &Call) -> CallAnswer {
        let _in_flight = InFlight::begin(&self.in_flight);
        let began = self.clock.now();
        let answer = self.admit(call, began).await;
        let (level, load) = self.gate.surge();
        let told = self.graph.export_levels();
        let answer = CallAnswer { level, told, load: load as f32, ..answer };
        self.decisions.write(&answer.outcome, || Decision {
            request: call.request.clone(),
            route: call.route.clone(),
            print: call.print(),
            place: "target",
            revision: self.rules.revision().0,
            tried: call.instance.to_string(),
            barrier: Barrier { service: None, level, age: Some(Duration::ZERO) },
            passing: 1.0,
            took: self.clock.now().since(began),
        });
        answer
    }

    async fn admit(&self, call: &Call, began: Moment) -> CallAnswer {
        if let Some(kind) = self.unfit(&call.instance) {
            return CallAnswer::refused(kind, LEAVING_RETRY);
        }
        let print = call.print();
        let entrance = match self.crashes.acquire(print).await {
            Ok(entrance) => entrance,
            Err(retry_after) => return CallAnswer::refused(ErrorKind::CrashSuspect, retry_after),
        };
        let permit = match self.gate.enter(entrant(call)).await {
            Ok(permit) => permit,
            Err(refusal) => return CallAnswer::refused(refusal.kind, refusal.retry_after),
        };
        // The target may have changed while the call waited.
        if let Some(kind) = self.unfit(&call.instance) {
            return CallAnswer::refused(kind, LEAVING_RETRY);
        }
        if let Err(retry_after) = self.crashes.recheck(print, &entrance) {
            return CallAnswer::refused(ErrorKind::CrashSuspect, retry_after);
        }
        let life = match self.own.hand(&call.instance) {
            Ok(life) => life,
            Err(kind) => return CallAnswer::refused(kind, LEAVING_RETRY),
        };
        let running = self.graph.begin_run(call);
        let now = self.clock.now();
        let left = call.left.saturating_sub(now.since(began));
        let watched = Watched { runner: self, print, life, began: now, end: None };
        let run = self.exchange.run(call, &call.instance, left);
        let end = tokio::select! {
            end = tokio::time::timeout(left + LAST_WORD, run) => end.unwrap_or(TargetEnd::Deadline),
            () = self.own.replaced(life) => TargetEnd::Broken,
        };
        watched.ended(&end);
        let offered = !matches!(end, TargetEnd::NotConnected);
        let outcome = end.outcome(SHED_RETRY);
        if offered {
            self.gate.treated(treatment(&outcome));
        }
        if matches!(outcome, Outcome::Done(_)) {
            permit.finish();
        }
        let (ran, work) = running.end();
        CallAnswer { ran, work, ..CallAnswer::new(outcome, offered) }
    }

    /// Why the target beside this node cannot run a call that was meant for `instance`.
    fn unfit(&self, instance: &InstanceId) -> Option<ErrorKind> {
        if let Some(kind) = self.sealed.get() {
            return Some(*kind);
        }
        match self.own.target() {
            None => Some(ErrorKind::NoTarget),
            Some((own, _)) if own != *instance => Some(ErrorKind::NoTarget),
            Some((_, Stage::Serving)) => None,
            Some(_) => Some(ErrorKind::Draining),
        }
    }
}

/// Run of whose end others may have to know, also when its caller leaves.
struct Watched<'a> {
    runner: &'a Runner,
    print: Fingerprint,
    life: Life,
    began: Moment,
    end: Option<End>,
}

/// What the end of a run says of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It has run the request.
    Alive { served: bool },
    /// It has not run the request, perhaps because another life has begun there.
    Refused,
    /// It may have ended.
    Broken,
    /// Nothing came from it.
    Silent,
    /// It was handed nothing.
    Unoffered,
}

impl Watched<'_> {
    fn ended(mut self, end: &TargetEnd<WholeReply>) {
        self.end = Some(match end {
            TargetEnd::Answer { shed: Some(_), .. } => End::Refused,
            TargetEnd::Answer { answer, .. } => End::Alive { served: !answer.is_failure() },
            TargetEnd::BadAnswer | TargetEnd::TooLarge => End::Alive { served: false },
            TargetEnd::Broken => End::Broken,
            TargetEnd::Deadline | TargetEnd::Cancelled => End::Silent,
            TargetEnd::NotConnected => End::Unoffered,
        });
    }
}

impl Drop for Watched<'_> {
    fn drop(&mut self) {
        let Self { runner, print, life, began, end } = self;
        match end.unwrap_or(End::Silent) {
            End::Alive { served } => {
                runner.own.answered();
                if served {
                    runner.crashes.record_success(*print);
                }
            }
            End::Refused => runner.own.refused(),
            End::Broken => runner.own.broken(*print, *life, *began),
            End::Silent => runner.own.unanswered(*print, *life, *began),
            End::Unoffered => {}
        }
    }
}

/// How the target treated a call that it was handed.
fn treatment(outcome: &Outcome<WholeReply>) -> Treatment {
    match outcome {
        Outcome::Done(whole) if !whole.is_failure() => Treatment::Served,
        Outcome::Done(_) | Outcome::NotRun { .. } | Outcome::Unknown { .. } => Treatment::Failed,
    }
}

/// Call as admission takes it.
fn entrant(call: &Call) -> Entrant {
    Entrant {
        class: call.route.clone(),
        rank: call.rank,
        age: Duration::ZERO,
        left: call.left,
        paid: call.begun,
        mix: call.mix.clone(),
    }
}
