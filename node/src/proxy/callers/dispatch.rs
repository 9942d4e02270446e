//! Dispatch of a request from its entry node: chooses a target, sends the request, and retries on
//! other targets as far as the outcome and the resend budget allow.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    CrashAdmission, ErrorKind, Fingerprint, Importance, InstanceId, Level, Moment, Name,
    Observation, Outcome, ResendBudget, ResendCause, RouteRule, WorkSum,
};
use poplar_kernel::Clock;

use crate::proxy::frame::{Call, CallAnswer, Field, TargetResponse, fingerprint};
use crate::proxy::links::link::LinkError;
use crate::proxy::links::peers::Peers;
use crate::proxy::ports::HeaderNames;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::graph::{CallGraph, RequestContext};
use crate::proxy::state::roster::{ChosenTarget, Roster};
use crate::proxy::statement::TargetStatement;

/// Retry delay sent to a caller whose service has no target; the start of a target takes seconds.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);
/// Largest number of nodes that may refuse a request before the entry node refuses it. Each refusal
/// costs a round trip, and three overloaded nodes are enough evidence that the service is
/// overloaded.
const REFUSALS_MAX: u32 = 3;

/// Request that a caller sent to this entry node.
#[derive(Debug)]
pub(crate) struct InboundRequest {
    /// Identifier that the caller assigned to the request.
    pub(crate) id: Bytes,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// End-to-end header fields, without those that the node sets itself.
    pub(crate) fields: Vec<Field>,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Workspace of the caller; none if it proved none.
    pub(crate) workspace: Option<Name>,
    /// Importance of the request among the requests of all callers.
    pub(crate) importance: Importance,
    /// Moment after which the caller no longer waits for the answer.
    pub(crate) deadline: Moment,
}

/// Sends requests to targets, with retries.
pub(crate) struct Dispatcher {
    pub(crate) clock: Clock,
    pub(crate) header_names: Arc<HeaderNames>,
    /// Service on whose machine the requests originate.
    pub(crate) caller: Name,
    pub(crate) roster: Arc<Roster>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) graph: Arc<CallGraph>,
    pub(crate) crashes: Arc<CrashRecords>,
    pub(crate) resends: Mutex<ResendBudget>,
}

/// Record of the sends of one request so far.
#[derive(Debug, Default)]
pub(crate) struct SendHistory {
    /// Number of targets that may have received any of the request.
    offers: u32,
    /// Number of sends that reached no target, because the node refused or could not be reached.
    refusals: u32,
    /// Why it may already have run at some target. A later refusal does not clear this.
    unknown_kind: Option<ErrorKind>,
    /// Instances that were chosen, in the order of the sends.
    pub(crate) tried: Vec<InstanceId>,
    /// Whether this node had no memory for the answer; a further one would find none either.
    answer_discarded: bool,
    /// Whether the request is a call made on behalf of a request for which work was already done.
    pub(crate) internal: bool,
    /// Slot time by service, as reported with the answers.
    pub(crate) work: WorkSum,
}

impl Dispatcher {
    /// Sends a request to targets until one runs it or no further send is allowed, and returns its
    /// outcome.
    ///
    /// `history` records the sends, and stays valid when the caller drops this future.
    pub(crate) async fn dispatch(
        &self,
        route: &RouteRule,
        request: &InboundRequest,
        history: &mut SendHistory,
    ) -> Outcome<TargetResponse> {
        let Some(service) = route.pick(fastrand::u32(..)) else {
            return not_run(ErrorKind::NoTarget, NO_TARGET_RETRY);
        };
        let context = match self.graph.admit(service, route, request.importance, &request.id) {
            Ok(context) => context,
            Err(retry_after) => return not_run(ErrorKind::Overload, retry_after),
        };
        history.internal = context.internal;
        let mut last = not_run(ErrorKind::NoTarget, NO_TARGET_RETRY);
        loop {
            let chosen = match self.crashes.restriction(|| self.fingerprint(route, request)) {
                CrashAdmission::Unrestricted => {
                    self.roster.choose(service, context.rank, &history.tried)
                }
                CrashAdmission::Isolated => self.roster.choose_isolated(
                    service,
                    self.fingerprint(route, request),
                    &history.tried,
                ),
                CrashAdmission::Refused(left) => {
                    last = not_run(ErrorKind::CrashSuspect, left);
                    break;
                }
            };
            let Some(chosen) = chosen else { break };
            history.tried.push(chosen.instance.clone());
            if history.tried.len() == 1 {
                self.record_first_send(service, &context);
            }
            let call = self.build_call(route, request, &chosen, &context, history);
            let once = !route.is_idempotent();
            let fingerprint = || self.fingerprint(route, request);
            let answer = self.send(service, &chosen, &context, call, once, fingerprint).await;
            let offered = answer.as_ref().map_or(true, |answer| answer.offered);
            history.offers += u32::from(offered);
            history.refusals += u32::from(!offered);
            last = match answer {
                Ok(answer) => {
                    history.work.add_call(service, answer.ran, &answer.work);
                    answer.outcome
                }
                Err(kind) => {
                    history.answer_discarded = kind == ErrorKind::AnswerTooLarge;
                    Outcome::Unknown { kind }
                }
            };
            if let Outcome::Unknown { kind } = &last {
                history.unknown_kind = Some(*kind);
            }
            let again = self.may_retry(route, request, history, &last);
            if !(again && self.spend_resend_budget(service, &context, history, &last)) {
                break;
            }
        }
        match (last, history.unknown_kind) {
            (Outcome::NotRun { .. }, Some(kind)) => Outcome::Unknown { kind },
            (last, _) => last,
        }
    }

    /// Hash that identifies the request when it is sent again under another identifier.
    pub(crate) fn fingerprint(&self, route: &RouteRule, request: &InboundRequest) -> Fingerprint {
        fingerprint(&route.name, &self.caller, &request.method, &request.path, &request.body)
    }

    /// Whether the request may be sent to a further target, apart from the resend budget.
    fn may_retry(
        &self,
        route: &RouteRule,
        request: &InboundRequest,
        history: &SendHistory,
        last: &Outcome<TargetResponse>,
    ) -> bool {
        let retryable = match last {
            Outcome::Done(_) => false,
            Outcome::NotRun { kind: ErrorKind::Deadline | ErrorKind::CrashSuspect, .. } => false,
            Outcome::NotRun { .. } => true,
            Outcome::Unknown { kind: ErrorKind::Deadline | ErrorKind::Cancelled } => false,
            Outcome::Unknown { .. } => route.is_idempotent(),
        };
        retryable
            && !history.answer_discarded
            && history.offers < route.attempts
            && history.refusals < REFUSALS_MAX
            && self.clock.now() < request.deadline
    }

    /// Spends resend budget of `service` for one more send; false if the budget is exhausted.
    ///
    /// A request that no target has received yet needs no budget.
    fn spend_resend_budget(
        &self,
        service: &Name,
        context: &RequestContext,
        history: &SendHistory,
        last: &Outcome<TargetResponse>,
    ) -> bool {
        if history.offers == 0 {
            return true;
        }
        let cause = match last {
            Outcome::NotRun { .. } if history.unknown_kind.is_none() => ResendCause::Shed,
            _ if context.internal => ResendCause::Call,
            _ => ResendCause::Request,
        };
        self.resends().try_spend(self.clock.now(), service, self.roster.len(), cause)
    }

    fn record_first_send(&self, service: &Name, context: &RequestContext) {
        let (now, mut resends) = (self.clock.now(), self.resends());
        resends.record_first(now, service);
        if context.repeat {
            resends.record_repeat(now, service);
        }
    }

    fn resends(&self) -> MutexGuard<'_, ResendBudget> {
        self.resends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a call to the node beside the chosen target.
    ///
    /// # Errors
    ///
    /// The error kind for an unknown outcome, if the call may have run but no answer came, or none
    /// that this node had memory for.
    async fn send(
        &self,
        service: &Name,
        chosen: &ChosenTarget,
        context: &RequestContext,
        call: Call,
        once: bool,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Result<CallAnswer, ErrorKind> {
        let (route, deadline) = (call.route.clone(), self.clock.now() + call.left);
        let guard =
            SendGuard { dispatcher: self, service, instance: &chosen.instance, observation: None };
        let (sent, lifetime) = (self.clock.now(), self.roster.life(chosen));
        let answer = self.peers.call(&chosen.peer, call, once).await;
        let took = self.clock.now().since(sent);
        guard.finish(match &answer {
            // Admission levels decide what entry nodes refuse. The choice of a target uses the
            // reported load instead, so the observation carries no level.
            Ok(CallAnswer { outcome: Outcome::Done(_), .. }) => {
                Observation::Done { latency: took, level: Level::OPEN }
            }
            Ok(CallAnswer { outcome: Outcome::NotRun { kind, .. }, .. })
                if means_no_target(*kind) =>
            {
                Observation::Unreachable
            }
            Ok(_) => Observation::Refused { level: Level::OPEN },
            Err(LinkError::Discarded(_)) => Observation::Done { latency: took, level: Level::OPEN },
            Err(_) => Observation::Unreachable,
        });
        let answer = match answer {
            // The target is already reported as unreachable, so other calls avoid it during the
            // claim.
            Err(LinkError::Held(id)) => self.peers.claim(&chosen.peer, id, deadline).await,
            answer => answer,
        };
        match answer {
            Ok(mut answer) => {
                if let Outcome::Done(response) = &answer.outcome {
                    self.peers.memory.record_size(&route, response.body.len());
                }
                if matches!(&answer.outcome, Outcome::Done(response) if !response.is_failure()) {
                    self.crashes.record_success_if_marked(fingerprint);
                }
                if let (Outcome::Done(response), Some(lifetime)) = (&answer.outcome, lifetime)
                    && let Some(statement) = TargetStatement::of(response, &self.header_names)
                {
                    self.roster.record_statement(chosen, lifetime, sent, statement);
                }
                if self.roster.is_limited_alone(service, chosen) {
                    answer.level = Level::OPEN;
                }
                self.graph.record_answer(service, &chosen.instance, &route, context, &answer);
                self.roster.report_load(service, &chosen.instance, answer.load);
                Ok(answer)
            }
            Err(LinkError::Unreachable | LinkError::NotListening) => {
                let kind = ErrorKind::Connection;
                Ok(CallAnswer::refused(kind, NO_TARGET_RETRY))
            }
            Err(LinkError::Discarded(bytes)) => {
                self.peers.memory.record_size(&route, bytes);
                Err(ErrorKind::AnswerTooLarge)
            }
            Err(LinkError::Broken | LinkError::Held(_)) => {
                if let Some(lifetime) = lifetime {
                    self.crashes.record_crash(fingerprint(), lifetime, sent, self.clock.now());
                }
                Err(ErrorKind::Connection)
            }
        }
    }

    fn build_call(
        &self,
        route: &RouteRule,
        request: &InboundRequest,
        chosen: &ChosenTarget,
        context: &RequestContext,
        history: &SendHistory,
    ) -> Call {
        Call {
            request: request.id.clone(),
            route: route.name.clone(),
            caller: self.caller.clone(),
            instance: chosen.instance.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            fields: request.fields.clone(),
            rank: context.rank,
            mix: context.mix.clone(),
            begun: context.internal,
            repeat: context.repeat || history.offers > 0,
            left: request.deadline.since(self.clock.now()),
            body: request.body.clone(),
        }
    }
}

/// Reports to the roster how a send ended; a send whose future is dropped counts as given up.
struct SendGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a Name,
    instance: &'a InstanceId,
    observation: Option<Observation>,
}

impl SendGuard<'_> {
    fn finish(mut self, observation: Observation) {
        self.observation = Some(observation);
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        let observation = self.observation.unwrap_or(Observation::GivenUp);
        self.dispatcher.roster.observe(self.service, self.instance, observation);
    }
}

fn not_run(kind: ErrorKind, retry_after: Duration) -> Outcome<TargetResponse> {
    Outcome::NotRun { kind, retry_after }
}

/// Whether a refusal means that the node has no target that takes calls.
fn means_no_target(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Connection | ErrorKind::NoTarget | ErrorKind::Draining)
}
