//! A request's trip from its entry to its answer: choice of a target, sends, and what follows
//! from each.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{
    CrashAdmission, ErrorKind, Fingerprint, InstanceId, Level, Moment, Name, Observation, Outcome,
    ResendBudget, ResendCause, RouteRule, WorkSum,
};
use poplar_kernel::Clock;

use crate::proxy::frame::{Call, CallAnswer, Field, TargetResponse, fingerprint};
use crate::proxy::links::link::LinkError;
use crate::proxy::links::peers::Peers;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::graph::{CallGraph, RequestContext};
use crate::proxy::state::roster::{ChosenTarget, Roster};

/// Time to come back for a caller whose service has no target: a start takes seconds.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);
/// Nodes that may refuse a request before it is refused at the entry; a refusal costs a round
/// trip, and three nodes that are all short of room say enough about the service.
const REFUSALS_MAX: u32 = 3;

/// Request as the entry took it in.
#[derive(Debug)]
pub(crate) struct InboundRequest {
    /// Identifier that the caller gave.
    pub(crate) id: Bytes,
    /// Method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// Header fields that travel on.
    pub(crate) fields: Vec<Field>,
    /// Body.
    pub(crate) body: Bytes,
    /// Moment at which the answer is of no use any more.
    pub(crate) deadline: Moment,
}

/// Follows requests over their sends.
pub(crate) struct Dispatcher {
    pub(crate) clock: Clock,
    /// Service on whose machine the requests begin.
    pub(crate) caller: Name,
    pub(crate) roster: Arc<Roster>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) graph: Arc<CallGraph>,
    pub(crate) crashes: Arc<CrashRecords>,
    pub(crate) resends: Mutex<ResendBudget>,
}

/// What a trip has spent so far.
#[derive(Debug, Default)]
pub(crate) struct SendHistory {
    /// Targets that may have been handed the request.
    offers: u32,
    /// Nodes that refused it.
    refusals: u32,
    /// Why it may have run somewhere already; a later refusal does not undo that.
    unknown_kind: Option<ErrorKind>,
    /// Instances that were chosen, in order.
    pub(crate) tried: Vec<InstanceId>,
    /// Whether it is a call of a request for which work was done already.
    pub(crate) begun: bool,
    /// Work that answers told of.
    pub(crate) work: WorkSum,
}

impl Dispatcher {
    /// Brings a request to a target and its answer back.
    ///
    /// `spent` tells where it went, also when the caller gives up on this future.
    pub(crate) async fn dispatch(
        &self,
        route: &RouteRule,
        taken: &InboundRequest,
        spent: &mut SendHistory,
    ) -> Outcome<TargetResponse> {
        let Some(service) = route.pick(fastrand::u32(..)) else {
            return not_run(ErrorKind::NoTarget, NO_TARGET_RETRY);
        };
        let standing = match self.graph.admit(service, route, &taken.id) {
            Ok(standing) => standing,
            Err(retry_after) => return not_run(ErrorKind::Overload, retry_after),
        };
        spent.begun = standing.internal;
        let mut last = not_run(ErrorKind::NoTarget, NO_TARGET_RETRY);
        loop {
            let chosen = match self.crashes.restriction(|| self.fingerprint(route, taken)) {
                CrashAdmission::Unrestricted => {
                    self.roster.choose(service, standing.rank, &spent.tried)
                }
                CrashAdmission::Isolated => self.roster.choose_isolated(
                    service,
                    self.fingerprint(route, taken),
                    &spent.tried,
                ),
                CrashAdmission::Refused(left) => {
                    last = not_run(ErrorKind::CrashSuspect, left);
                    break;
                }
            };
            let Some(chosen) = chosen else { break };
            spent.tried.push(chosen.instance.clone());
            if spent.tried.len() == 1 {
                self.record_first_send(service, &standing);
            }
            let call = self.build_call(route, taken, &chosen, &standing, spent);
            let once = !route.is_idempotent();
            let print = || self.fingerprint(route, taken);
            let answer = self.send(service, &chosen, &standing, call, once, print).await;
            let offered = answer.as_ref().map_or(true, |answer| answer.offered);
            spent.offers += u32::from(offered);
            spent.refusals += u32::from(!offered);
            last = match answer {
                Ok(answer) => {
                    spent.work.add_call(service, answer.ran, &answer.work);
                    answer.outcome
                }
                Err(kind) => Outcome::Unknown { kind },
            };
            if let Outcome::Unknown { kind } = &last {
                spent.unknown_kind = Some(*kind);
            }
            let again = self.may_retry(route, taken, spent, &last);
            if !(again && self.spend_resend_budget(service, &standing, spent, &last)) {
                break;
            }
        }
        match (last, spent.unknown_kind) {
            (Outcome::NotRun { .. }, Some(kind)) => Outcome::Unknown { kind },
            (last, _) => last,
        }
    }

    /// Hash by which the request is known again under another identifier.
    pub(crate) fn fingerprint(&self, route: &RouteRule, taken: &InboundRequest) -> Fingerprint {
        fingerprint(&route.name, &self.caller, &taken.method, &taken.path, &taken.body)
    }

    /// Whether a further target may get the request, as far as the request itself goes.
    fn may_retry(
        &self,
        route: &RouteRule,
        taken: &InboundRequest,
        spent: &SendHistory,
        last: &Outcome<TargetResponse>,
    ) -> bool {
        let may_repeat = match last {
            Outcome::Done(_) => false,
            Outcome::NotRun { kind: ErrorKind::Deadline | ErrorKind::CrashSuspect, .. } => false,
            Outcome::NotRun { .. } => true,
            Outcome::Unknown { kind: ErrorKind::Deadline | ErrorKind::Cancelled } => false,
            Outcome::Unknown { .. } => route.is_idempotent(),
        };
        may_repeat
            && spent.offers < route.attempts
            && spent.refusals < REFUSALS_MAX
            && self.clock.now() < taken.deadline
    }

    /// Whether the shared bound allows a further target to be handed the request.
    fn spend_resend_budget(
        &self,
        service: &Name,
        standing: &RequestContext,
        spent: &SendHistory,
        last: &Outcome<TargetResponse>,
    ) -> bool {
        if spent.offers == 0 {
            return true;
        }
        let cause = match last {
            Outcome::NotRun { .. } if spent.unknown_kind.is_none() => ResendCause::Shed,
            _ if standing.internal => ResendCause::Call,
            _ => ResendCause::Request,
        };
        self.resends().try_spend(self.clock.now(), service, self.roster.len(), cause)
    }

    fn record_first_send(&self, service: &Name, standing: &RequestContext) {
        let (now, mut resends) = (self.clock.now(), self.resends());
        resends.record_first(now, service);
        if standing.repeat {
            resends.record_repeat(now, service);
        }
    }

    fn resends(&self) -> MutexGuard<'_, ResendBudget> {
        self.resends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a call to the node beside the chosen target; the error says why nothing is known.
    async fn send(
        &self,
        service: &Name,
        chosen: &ChosenTarget,
        standing: &RequestContext,
        call: Call,
        once: bool,
        print: impl FnOnce() -> Fingerprint,
    ) -> Result<CallAnswer, ErrorKind> {
        let (route, deadline) = (call.route.clone(), self.clock.now() + call.left);
        let watched =
            SendGuard { dispatcher: self, service, instance: &chosen.instance, observed: None };
        let (sent, life) = (self.clock.now(), self.roster.life(chosen));
        let answer = self.peers.call(&chosen.peer, call, once).await;
        let took = self.clock.now().since(sent);
        watched.finish(match &answer {
            // Levels tell entries what to refuse; which target to choose follows from the load.
            Ok(CallAnswer { outcome: Outcome::Done(_), .. }) => {
                Observation::Done { latency: took, level: Level::OPEN }
            }
            Ok(CallAnswer { outcome: Outcome::NotRun { kind, .. }, .. })
                if means_no_target(*kind) =>
            {
                Observation::Unreachable
            }
            Ok(_) => Observation::Refused { level: Level::OPEN },
            Err(_) => Observation::Unreachable,
        });
        let answer = match answer {
            // Others are not sent there meanwhile.
            Err(LinkError::Held(id)) => self.peers.claim(&chosen.peer, id, deadline).await,
            answer => answer,
        };
        match answer {
            Ok(answer) => {
                if matches!(&answer.outcome, Outcome::Done(whole) if !whole.is_failure()) {
                    self.crashes.record_success_if_marked(print);
                }
                self.graph.record_answer(service, &chosen.instance, &route, standing, &answer);
                self.roster.report_load(service, &chosen.instance, answer.load);
                Ok(answer)
            }
            Err(LinkError::Unreachable | LinkError::NotListening) => {
                let kind = ErrorKind::Connection;
                Ok(CallAnswer::refused(kind, NO_TARGET_RETRY))
            }
            Err(LinkError::Broken | LinkError::Held(_)) => {
                if let Some(life) = life {
                    self.crashes.record_crash(print(), life, sent, self.clock.now());
                }
                Err(ErrorKind::Connection)
            }
        }
    }

    fn build_call(
        &self,
        route: &RouteRule,
        taken: &InboundRequest,
        chosen: &ChosenTarget,
        standing: &RequestContext,
        spent: &SendHistory,
    ) -> Call {
        Call {
            request: taken.id.clone(),
            route: route.name.clone(),
            caller: self.caller.clone(),
            instance: chosen.instance.clone(),
            method: taken.method.clone(),
            path: taken.path.clone(),
            fields: taken.fields.clone(),
            rank: standing.rank,
            mix: standing.mix.clone(),
            begun: standing.internal,
            repeat: standing.repeat || spent.offers > 0,
            left: taken.deadline.since(self.clock.now()),
            body: taken.body.clone(),
        }
    }
}

/// Send whose end is told to the roster, also when its caller leaves.
struct SendGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a Name,
    instance: &'a InstanceId,
    observed: Option<Observation>,
}

impl SendGuard<'_> {
    fn finish(mut self, observed: Observation) {
        self.observed = Some(observed);
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        let observed = self.observed.unwrap_or(Observation::GivenUp);
        self.dispatcher.roster.observe(self.service, self.instance, observed);
    }
}

fn not_run(kind: ErrorKind, retry_after: Duration) -> Outcome<TargetResponse> {
    Outcome::NotRun { kind, retry_after }
}

/// Whether a refusal says that there is no target to run anything.
fn means_no_target(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Connection | ErrorKind::NoTarget | ErrorKind::Draining)
}
