//! Execution of calls at the node beside their target: checks, admission, the run, and the answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use poplar_core::{
    CallResult, ErrorKind, Fingerprint, InstanceId, Level, Moment, Outcome, PathLevel, StopPlan,
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

/// Retry delay sent with a refusal because the target is leaving, gone or breaking its connections;
/// other targets take over its work.
const LEAVING_RETRY: Duration = Duration::from_millis(100);
/// Retry delay sent when the target itself refused the request.
const SHED_RETRY: Duration = Duration::from_millis(300);
/// Time after the deadline for which the node still waits, as the target may itself answer that the
/// deadline has passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Node that sends a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallSender {
    /// This node, which stops at the same time as the run.
    Own,
    /// Another node, which may answer its caller later than this one can run the call.
    Peer,
}

/// Admits calls to the target beside this node and runs them there.
pub(crate) struct Runner {
    clock: Clock,
    admission: Arc<AdmissionController>,
    local_target: Arc<LocalTarget>,
    client: Arc<TargetClient>,
    graph: Arc<CallGraph>,
    rules: Arc<Rules>,
    crashes: Arc<CrashRecords>,
    decisions: Arc<DecisionLog>,
    /// Error kind with which all further calls are refused, once set.
    refusal: OnceLock<ErrorKind>,
    /// Set when the process begins to stop.
    stop: OnceLock<StopPlan>,
    in_flight: AtomicUsize,
}

impl Runner {
    pub(crate) fn new(
        clock: Clock,
        admission: Arc<AdmissionController>,
        local_target: Arc<LocalTarget>,
        client: Arc<TargetClient>,
        graph: Arc<CallGraph>,
        shared: SharedState,
        decisions: Arc<DecisionLog>,
    ) -> Self {
        let SharedState { rules, crashes, .. } = shared;
        let (refusal, stop, in_flight) = (OnceLock::new(), OnceLock::new(), AtomicUsize::new(0));
        Self {
            clock,
            admission,
            local_target,
            client,
            graph,
            rules,
            crashes,
            decisions,
            refusal,
            stop,
            in_flight,
        }
    }

    /// Refuses all further calls with `kind`; only the first use has an effect.
    pub(crate) fn refuse_calls(&self, kind: ErrorKind) {
        self.refusal.get_or_init(|| kind);
    }

    /// Takes further calls of other nodes only as far as `plan` allows; only the first use has an
    /// effect.
    pub(crate) fn begin_stop(&self, plan: StopPlan) {
        self.stop.get_or_init(|| plan);
    }

    /// Number of calls that have no outcome yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Runs a call; dropping the future cancels the run.
    pub(crate) async fn run(&self, call: &Call, sender: CallSender) -> CallAnswer {
        let _in_flight = InFlightGuard::begin(&self.in_flight);
        let began = self.clock.now();
        let mut log = RunLog { runner: self, call, began, is_written: false };
        let answer = match self.stop.get() {
            Some(plan) if sender == CallSender::Peer && !plan.takes_call(began, call.left) => {
                CallAnswer::refused(ErrorKind::Draining, LEAVING_RETRY)
            }
            _ => self.admit_and_run(call, began).await,
        };
        let (level, load) = self.admission.load_report();
        let told = self.graph.export_levels();
        let answer = CallAnswer { level, told, load: load as f32, ..answer };
        log.write(&answer.outcome, level);
        answer
    }

    async fn admit_and_run(&self, call: &Call, began: Moment) -> CallAnswer {
        if let Some(kind) = self.refusal_kind(&call.instance) {
            return CallAnswer::refused(kind, LEAVING_RETRY);
        }
        let fingerprint = call.fingerprint();
        let entrance = match self.crashes.acquire(fingerprint).await {
            Ok(entrance) => entrance,
            Err(retry_after) => return CallAnswer::refused(ErrorKind::CrashSuspect, retry_after),
        };
        let permit = match self.admission.acquire(admission_request(call)).await {
            Ok(permit) => permit,
            Err(refusal) => return CallAnswer::refused(refusal.kind, refusal.retry_after),
        };
        // The target may have changed while the call waited.
        if let Some(kind) = self.refusal_kind(&call.instance) {
            return CallAnswer::refused(kind, LEAVING_RETRY);
        }
        if let Err(retry_after) = self.crashes.recheck(fingerprint, &entrance) {
            return CallAnswer::refused(ErrorKind::CrashSuspect, retry_after);
        }
        let lifetime = match self.local_target.admit_run(&call.instance) {
            Ok(lifetime) => lifetime,
            Err(kind) => return CallAnswer::refused(kind, LEAVING_RETRY),
        };
        let running = self.graph.begin_run(call);
        let now = self.clock.now();
        let left = call.left.saturating_sub(now.since(began));
        let guard = RunGuard { runner: self, fingerprint, lifetime, began: now, end: None };
        let run = self.client.run(call, &call.instance, left);
        let end = tokio::select! {
            end = tokio::time::timeout(left + DEADLINE_GRACE, run) => {
                end.unwrap_or(TargetResult::Deadline)
            }
            () = self.local_target.wait_replaced(lifetime) => TargetResult::ConnectionLost,
        };
        guard.finish(&end);
        self.record_statement(lifetime, now, &end);
        let offered = !matches!(end, TargetResult::NotConnected);
        let outcome = end.outcome(SHED_RETRY);
        if offered {
            self.admission.record_result(call_result(&outcome));
        }
        if matches!(outcome, Outcome::Done(_)) {
            permit.finish();
        }
        let (ran, work) = running.end();
        CallAnswer { ran, work, ..CallAnswer::new(outcome, offered) }
    }

    /// Records what the target stated about itself, if it answered.
    fn record_statement(
        &self,
        lifetime: TargetLifetime,
        sent: Moment,
        end: &TargetResult<TargetResponse>,
    ) {
        let TargetResult::Answer { answer, .. } = end else { return };
        if let Some(statement) = self.client.statement(answer) {
            self.local_target.record_statement(lifetime, sent, statement);
        }
    }

    /// Error kind with which to refuse a call for `instance`, if the target beside this node cannot
    /// run it.
    fn refusal_kind(&self, instance: &InstanceId) -> Option<ErrorKind> {
        self.refusal.get().copied().or_else(|| self.local_target.refusal_kind(instance))
    }
}

/// Log line of a call. If its future is dropped before it has an outcome, because its caller
/// cancelled or its link ended, the log says so.
struct RunLog<'a> {
    runner: &'a Runner,
    call: &'a Call,
    began: Moment,
    is_written: bool,
}

impl RunLog<'_> {
    /// Writes the line for `outcome`, at the admission level `level`.
    fn write(&mut self, outcome: &Outcome<TargetResponse>, level: Level) {
        self.is_written = true;
        let Self { runner, call, began, .. } = self;
        runner.decisions.write(outcome, || Decision {
            request: call.request.clone(),
            route: call.route.clone(),
            workspace: None,
            fingerprint: Some(call.fingerprint()),
            place: "target",
            revision: runner.rules.revision().0,
            tried: call.instance.to_string(),
            path_level: PathLevel { service: None, level, age: Some(Duration::ZERO) },
            passing: 1.0,
            took: runner.clock.now().since(*began),
        });
    }
}

impl Drop for RunLog<'_> {
    fn drop(&mut self) {
        if !self.is_written {
            let (level, _) = self.runner.admission.load_report();
            self.write(&Outcome::Unknown { kind: ErrorKind::Cancelled }, level);
        }
    }
}

/// Reports how a run ended to the local target and the crash records, even if the run's future is
/// dropped because the caller cancelled.
struct RunGuard<'a> {
    runner: &'a Runner,
    fingerprint: Fingerprint,
    lifetime: TargetLifetime,
    began: Moment,
    end: Option<RunEnd>,
}

/// What the end of a run implies about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// The target ran the request; `served` if it did not fail it.
    Answered { served: bool },
    /// The target did not run the request, possibly because it has been restarted.
    Refused,
    /// The connection broke, so the target may have ended.
    Broken,
    /// No answer came before the deadline or the cancellation.
    Unanswered,
    /// Nothing of the request was sent to the target.
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
        let Self { runner, fingerprint, lifetime, began, end } = self;
        match end.unwrap_or(RunEnd::Unanswered) {
            RunEnd::Answered { served } => {
                runner.local_target.record_answer();
                if served {
                    runner.crashes.record_success(*fingerprint);
                }
            }
            RunEnd::Refused => runner.local_target.record_refusal(),
            RunEnd::Broken => runner.local_target.record_broken(*fingerprint, *lifetime, *began),
            RunEnd::Unanswered => {
                runner.local_target.record_unanswered(*fingerprint, *lifetime, *began)
            }
            RunEnd::NotSent => {}
        }
    }
}

/// Whether the target served or failed a call that was sent to it.
fn call_result(outcome: &Outcome<TargetResponse>) -> CallResult {
    match outcome {
        Outcome::Done(response) if !response.is_failure() => CallResult::Served,
        Outcome::Done(_) | Outcome::NotRun { .. } | Outcome::Unknown { .. } => CallResult::Failed,
    }
}

/// Converts a call into the form in which admission takes it.
fn admission_request(call: &Call) -> AdmissionRequest {
    AdmissionRequest {
        class: call.route.clone(),
        rank: call.rank,
        age: Duration::ZERO,
        left: call.left,
        begun: call.begun,
        mix: call.mix.clone(),
    }
}
