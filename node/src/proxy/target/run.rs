//! A call beside its target: checked, admitted, run, and its outcome told.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use poplar_core::{
    CallResult, ErrorKind, Fingerprint, InstanceId, Moment, Outcome, PathLevel, Stage,
    TargetLifetime, TargetResult,
};
use poplar_kernel::Clock;

use crate::admission::{AdmissionController, AdmissionRequest};

use crate::proxy::decisions::{Decision, DecisionLog};
use crate::proxy::frame::{Call, CallAnswer, TargetResponse};
use crate::proxy::in_flight::InFlightGuard;
use crate::proxy::state::SharedState;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::graph::CallGraph;
use crate::proxy::state::rules::Rules;
use crate::proxy::target::client::TargetClient;
use crate::proxy::target::local_target::LocalTarget;

/// Time to come back for a caller that met a target which is leaving: the others take its work.
const LEAVING_RETRY: Duration = Duration::from_millis(100);
/// Time to come back for a caller whose target turned the request away.
const SHED_RETRY: Duration = Duration::from_millis(300);
/// Time beyond the deadline for which the target's own word on it may still come.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Runs calls at the target beside this node.
pub(crate) struct Runner {
    clock: Clock,
    gate: Arc<AdmissionController>,
    local_target: Arc<LocalTarget>,
    client: Arc<TargetClient>,
    graph: Arc<CallGraph>,
    rules: Arc<Rules>,
    crashes: Arc<CrashRecords>,
    decisions: Arc<DecisionLog>,
    /// Why no further call is taken, once the node stops.
    refusal: OnceLock<ErrorKind>,
    in_flight: AtomicUsize,
}

impl Runner {
    pub(crate) fn new(
        clock: Clock,
        gate: Arc<AdmissionController>,
        local_target: Arc<LocalTarget>,
        client: Arc<TargetClient>,
        graph: Arc<CallGraph>,
        known: SharedState,
        decisions: Arc<DecisionLog>,
    ) -> Self {
        let SharedState { rules, crashes, .. } = known;
        let (refusal, in_flight) = (OnceLock::new(), AtomicUsize::new(0));
        Self {
            clock,
            gate,
            local_target,
            client,
            graph,
            rules,
            crashes,
            decisions,
            refusal,
            in_flight,
        }
    }

    /// Refuses all further calls.
    pub(crate) fn refuse_calls(&self, kind: ErrorKind) {
        self.refusal.get_or_init(|| kind);
    }

    /// Calls without an outcome yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Runs a call; dropping the future cancels the run.
    pub(crate) async fn run(&self, call: &Call) -> CallAnswer {
        let _in_flight = InFlightGuard::begin(&self.in_flight);
        let began = self.clock.now();
        let answer = self.admit(call, began).await;
        let (level, load) = self.gate.load_report();
        let told = self.graph.export_levels();
        let answer = CallAnswer { level, told, load: load as f32, ..answer };
        self.decisions.write(&answer.outcome, || Decision {
            request: call.request.clone(),
            route: call.route.clone(),
            fingerprint: call.fingerprint(),
            place: "target",
            revision: self.rules.revision().0,
            tried: call.instance.to_string(),
            barrier: PathLevel { service: None, level, age: Some(Duration::ZERO) },
            passing: 1.0,
            took: self.clock.now().since(began),
        });
        answer
    }

    async fn admit(&self, call: &Call, began: Moment) -> CallAnswer {
        if let Some(kind) = self.refusal_kind(&call.instance) {
            return CallAnswer::refused(kind, LEAVING_RETRY);
        }
        let print = call.fingerprint();
        let entrance = match self.crashes.acquire(print).await {
            Ok(entrance) => entrance,
            Err(retry_after) => return CallAnswer::refused(ErrorKind::CrashSuspect, retry_after),
        };
        let permit = match self.gate.acquire(entrant(call)).await {
            Ok(permit) => permit,
            Err(refusal) => return CallAnswer::refused(refusal.kind, refusal.retry_after),
        };
        // The target may have changed while the call waited.
        if let Some(kind) = self.refusal_kind(&call.instance) {
            return CallAnswer::refused(kind, LEAVING_RETRY);
        }
        if let Err(retry_after) = self.crashes.recheck(print, &entrance) {
            return CallAnswer::refused(ErrorKind::CrashSuspect, retry_after);
        }
        let life = match self.local_target.admit_run(&call.instance) {
            Ok(life) => life,
            Err(kind) => return CallAnswer::refused(kind, LEAVING_RETRY),
        };
        let running = self.graph.begin_run(call);
        let now = self.clock.now();
        let left = call.left.saturating_sub(now.since(began));
        let watched = RunGuard { runner: self, print, life, began: now, end: None };
        let run = self.client.run(call, &call.instance, left);
        let end = tokio::select! {
            end = tokio::time::timeout(left + DEADLINE_GRACE, run) => end.unwrap_or(TargetResult::Deadline),
            () = self.local_target.wait_replaced(life) => TargetResult::ConnectionLost
        };
        watched.finish(&end);
        let offered = !matches!(end, TargetResult::NotConnected);
        let outcome = end.outcome(SHED_RETRY);
        if offered {
            self.gate.record_result(treatment(&outcome));
        }
        if matches!(outcome, Outcome::Done(_)) {
            permit.finish();
        }
        let (ran, work) = running.end();
        CallAnswer { ran, work, ..CallAnswer::new(outcome, offered) }
    }

    /// Why the target beside this node cannot run a call that was meant for `instance`.
    fn refusal_kind(&self, instance: &InstanceId) -> Option<ErrorKind> {
        if let Some(kind) = self.refusal.get() {
            return Some(*kind);
        }
        match self.local_target.target() {
            None => Some(ErrorKind::NoTarget),
            Some((own, _)) if own != *instance => Some(ErrorKind::NoTarget),
            Some((_, Stage::Serving)) => None,
            Some(_) => Some(ErrorKind::Draining),
        }
    }
}

/// Run of whose end others may have to know, also when its caller leaves.
struct RunGuard<'a> {
    runner: &'a Runner,
    print: Fingerprint,
    life: TargetLifetime,
    began: Moment,
    end: Option<RunEnd>,
}

/// What the end of a run says of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// It has run the request.
    Answered { served: bool },
    /// It has not run the request, perhaps because another life has begun there.
    Refused,
    /// It may have ended.
    Broken,
    /// Nothing came from it.
    Unanswered,
    /// It was handed nothing.
    NotSent,
}

impl RunGuard<'_> {
    fn finish(mut self, end: &TargetResult<TargetResponse>) {
        self.end = Some(match end {
            TargetResult::Answer { shed: Some(_), .. } => RunEnd::Refused,
            TargetResult::Answer { answer, .. } => {
                RunEnd::Answered { served: !answer.is_failure() }
            }
            TargetResult::BadAnswer | TargetResult::TooLarge => RunEnd::Answered { served: false },
            TargetResult::ConnectionLost => RunEnd::Broken,
            TargetResult::Deadline | TargetResult::Cancelled => RunEnd::Unanswered,
            TargetResult::NotConnected => RunEnd::NotSent,
        });
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let Self { runner, print, life, began, end } = self;
        match end.unwrap_or(RunEnd::Unanswered) {
            RunEnd::Answered { served } => {
                runner.local_target.record_answer();
                if served {
                    runner.crashes.record_success(*print);
                }
            }
            RunEnd::Refused => runner.local_target.record_refusal(),
            RunEnd::Broken => runner.local_target.record_broken(*print, *life, *began),
            RunEnd::Unanswered => runner.local_target.record_unanswered(*print, *life, *began),
            RunEnd::NotSent => {}
        }
    }
}

/// How the target treated a call that it was handed.
fn treatment(outcome: &Outcome<TargetResponse>) -> CallResult {
    match outcome {
        Outcome::Done(whole) if !whole.is_failure() => CallResult::Served,
        Outcome::Done(_) | Outcome::NotRun { .. } | Outcome::Unknown { .. } => CallResult::Failed,
    }
}

/// Call as admission takes it.
fn entrant(call: &Call) -> AdmissionRequest {
    AdmissionRequest {
        class: call.route.clone(),
        rank: call.rank,
        age: Duration::ZERO,
        left: call.left,
        begun: call.begun,
        mix: call.mix.clone(),
    }
}
