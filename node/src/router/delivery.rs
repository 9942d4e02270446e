//! One call on its way: its sends, the binding it carries and what may follow each end.

use std::sync::{Mutex, MutexGuard, PoisonError};

use poplar_core::{
    Binding, BindingMode, BoundCall, Budget, Call, CallTerms, ErrorKind, InstanceId, Loan, Moment,
    NextStep, NotRunProof, Observation, Outcome, Rank, Repeatability, Resend, RetriesSpent,
    RunStatus, UnboundCall, bound_resend, next_step,
};
use poplar_wire::{Answer, CallMeta, MemberRecord};

use super::targets::ChosenMember;
use super::{DeliveryResult, OutgoingCall, Router, SendResult, not_run, outcome_of};

/// Binding that the next send is to carry.
enum BindingState {
    /// None: any target may run the call.
    NotRequired,
    /// One that is still to be minted here.
    Unbound(UnboundCall),
    /// The one that was minted here last.
    Bound(BoundCall),
    /// The one that an outside caller, its only minter, sent along.
    FromCaller(Binding),
}

/// Call on its way.
pub(super) struct CallDelivery<'a> {
    router: &'a Router,
    call: OutgoingCall,
    budget: &'a Mutex<Budget>,
    sends: Call,
    /// Sends made before this trip.
    prior_sends: u32,
    binding_state: BindingState,
    tried: Vec<InstanceId>,
    /// Whether a send under the present binding ended unknown.
    has_unknown: bool,
    deadline: Moment,
    offer: Option<Binding>,
    /// Member that has just answered on a new connection, for the next send.
    preferred: Option<InstanceId>,
    /// Target that alone may run the request.
    isolation: Option<InstanceId>,
    /// Whether a run of the request may have crashed its target.
    suspect: bool,
}

impl<'a> CallDelivery<'a> {
    /// Call with the sends that were made for it before.
    pub(super) fn new(
        router: &'a Router,
        call: OutgoingCall,
        budget: &'a Mutex<Budget>,
        sends: Call,
    ) -> Self {
        let binding_state = match (&call.mode, &call.meta.binding) {
            (BindingMode::Unbound, _) => BindingState::NotRequired,
            (_, Some(binding)) => BindingState::FromCaller(binding.clone()),
            (_, None) => BindingState::Unbound(UnboundCall::new()),
        };
        let deadline = router.clock.now() + call.meta.left;
        let tried = Vec::new();
        Self {
            router,
            call,
            budget,
            prior_sends: sends.sends(),
            sends,
            binding_state,
            tried,
            has_unknown: false,
            deadline,
            offer: None,
            preferred: None,
            isolation: None,
            suspect: false,
        }
    }

    /// Sends the call until it has an outcome that stays.
    pub(super) async fn run(mut self) -> DeliveryResult {
        let mut last = None;
        loop {
            let Some(mut chosen) = self.next_member().await else {
                let outcome = last.unwrap_or_else(|| self.no_member_outcome());
                return self.finish(outcome);
            };
            let Ok(loan) = self.take_loan() else {
                let outcome = last.unwrap_or_else(|| self.retries_spent_outcome());
                return self.finish(outcome);
            };
            let meta = self.meta(&loan);
            self.tried.push(chosen.member.instance.clone());
            let result = self.router.send(&mut chosen, meta, self.call.body.clone()).await;
            let outcome = self.record_result(loan, result);
            if !self.may_send_again(&outcome) {
                return self.finish(outcome);
            }
            last = Some(outcome);
        }
    }

    /// Member for the next send; a once-only call is bound to it first.
    async fn next_member(&mut self) -> Option<ChosenMember<'a>> {
        let preferred = self.preferred.take();
        let service = &self.call.service;
        let named = match &self.binding_state {
            BindingState::Unbound(_) => return self.bind(preferred).await,
            BindingState::NotRequired => match self.isolation.as_ref().or(preferred.as_ref()) {
                None => return self.choose(),
                Some(target) => self.router.directory.member(service, target),
            },
            BindingState::Bound(bound) => self.router.bound_member(service, bound.binding()).await,
            BindingState::FromCaller(binding) => self.router.bound_member(service, binding).await,
        };
        named.map(ChosenMember::bound)
    }

    /// Member that is to get the next send, none of those that were tried.
    fn choose(&self) -> Option<ChosenMember<'a>> {
        let meta = &self.call.meta;
        let rank = Rank::of(meta.importance, meta.root);
        let router = self.router;
        router.targets.choose(&router.directory, &self.call.service, rank, &self.tried)
    }

    /// Mints the binding for the next send.
    async fn bind(&mut self, mut prefer: Option<InstanceId>) -> Option<ChosenMember<'a>> {
        loop {
            let preferred = prefer
                .take()
                .and_then(|instance| self.router.directory.member(&self.call.service, &instance));
            let mut chosen = match preferred {
                Some(member) => ChosenMember::bound(member),
                None => self.choose()?,
            };
            if self.try_bind(&chosen.member) {
                return Some(chosen);
            }
            let asked = self.router.request_binding(&chosen.member).await;
            if asked.is_some() && self.try_bind(&chosen.member) {
                return Some(chosen);
            }
            chosen.observe(Observation::Unreachable);
            self.tried.push(chosen.member.instance.clone());
        }
    }

    fn try_bind(&mut self, member: &MemberRecord) -> bool {
        let Some(offered) = self.router.recent_offer(member) else { return false };
        match std::mem::replace(&mut self.binding_state, BindingState::NotRequired) {
            BindingState::Unbound(unbound) => {
                self.binding_state = BindingState::Bound(unbound.adopt(offered));
                true
            }
            other => {
                self.binding_state = other;
                false
            }
        }
    }

    /// Terms of the next send.
    fn meta(&self, loan: &Loan) -> CallMeta {
        let first = &self.call.meta;
        let left = self.remaining();
        CallMeta {
            left,
            age: first.age + first.left.saturating_sub(left),
            attempt: self.router.next_attempt(),
            grant: loan.grant(),
            binding: self.binding().cloned(),
            ..first.clone()
        }
    }

    /// Pays for the next send.
    fn take_loan(&mut self) -> Result<Loan, RetriesSpent> {
        let mut budget = lock(self.budget);
        let share = budget.share(self.call.siblings);
        self.sends.send(&mut budget, share)
    }

    /// Takes in how a send ended, and gives its outcome as far as it is known.
    fn record_result(&mut self, loan: Loan, result: SendResult) -> Outcome<Answer> {
        let mut budget = lock(self.budget);
        match result {
            SendResult::Complete(reply) => {
                self.sends.record_answer(&mut budget, loan, reply.units, &reply.outcome);
                self.offer = reply.offer;
                self.isolation = reply.isolation;
                self.suspect |= reply.suspect;
                reply.outcome
            }
            SendResult::NotDelivered => {
                let outcome = self.undelivered_outcome();
                return_loan(&mut self.sends, &mut budget, loan, &outcome);
                outcome
            }
            SendResult::NoAnswer => {
                self.sends.record_loss(loan);
                Outcome::Unknown { kind: ErrorKind::Connection }
            }
            SendResult::Queried(RunStatus::NotRun(kind)) => {
                self.preferred = self.tried.pop();
                let outcome = not_run(kind);
                return_loan(&mut self.sends, &mut budget, loan, &outcome);
                outcome
            }
            SendResult::Queried(status) => {
                self.sends.record_loss(loan);
                outcome_of(status)
            }
        }
    }

    /// Outcome of a send that never left this process.
    ///
    /// It says nothing about earlier sends under the same binding: an outside caller may have made
    /// some through another entry.
    fn undelivered_outcome(&self) -> Outcome<Answer> {
        let kind = ErrorKind::Connection;
        match self.binding_state {
            BindingState::FromCaller(_) => Outcome::Unknown { kind },
            BindingState::Bound(_) if self.has_unknown => Outcome::Unknown { kind },
            _ => not_run(kind),
        }
    }

    /// Decides whether another send follows one that ended with `outcome`.
    fn may_send_again(&mut self, outcome: &Outcome<Answer>) -> bool {
        // Most sends end here, and nothing else has to be looked up for them.
        if matches!(outcome, Outcome::Done(_)) {
            return false;
        }
        let worth_resending = matches!(self.next_step(outcome.clone()), NextStep::Resend);
        if matches!(self.binding_state, BindingState::NotRequired) {
            return worth_resending;
        }
        let funded = lock(self.budget).units() > 0 && !self.remaining().is_zero();
        match (bound_resend(&status_of(outcome)), &self.binding_state) {
            (Resend::Never, _) => false,
            (Resend::SameBinding, _) => {
                self.has_unknown = true;
                funded
            }
            // Only the caller that mints the bindings may take the next one.
            (Resend::NextBinding, BindingState::FromCaller(_)) => false,
            (Resend::NextBinding, _) => worth_resending && self.release(),
        }
    }

    /// What follows `outcome`, by the one decision that every holder of a call shares.
    fn next_step(&self, outcome: Outcome<Answer>) -> NextStep<Answer> {
        let terms = CallTerms {
            once: self.call.repeatability == Repeatability::Once,
            ran: self.earlier_send_may_have_run(),
            suspect: self.suspect,
            elsewhere: self.has_untried_target(),
            units: lock(self.budget).units(),
            left: self.remaining(),
        };
        next_step(outcome, &terms, fastrand::u64(..))
    }

    /// Final answer for `outcome`, although another send might have been worth its unit.
    fn final_step(&self, outcome: Outcome<Answer>) -> NextStep<Answer> {
        let (ran, left) = (self.earlier_send_may_have_run(), self.remaining());
        let terms = CallTerms { once: true, ran, suspect: false, elsewhere: false, units: 0, left };
        next_step(outcome, &terms, fastrand::u64(..))
    }

    /// Whether an earlier send than the one that a not run is about may have run.
    ///
    /// For a bound call a not run speaks for every send under the binding.
    fn earlier_send_may_have_run(&self) -> bool {
        matches!(self.binding_state, BindingState::NotRequired) && self.sends.may_have_run()
    }

    /// Gives the call free for the next binding, after the last one was told not run.
    fn release(&mut self) -> bool {
        let BindingState::Bound(bound) =
            std::mem::replace(&mut self.binding_state, BindingState::NotRequired)
        else {
            return false;
        };
        let evidence = NotRunProof::Confirmed(bound.binding().clone());
        let (binding_state, released) = match bound.release(&evidence) {
            Ok(unbound) => (BindingState::Unbound(unbound), true),
            Err(bound) => (BindingState::Bound(bound), false),
        };
        // What the last binding left open is settled by the word that it did not run.
        self.has_unknown &= !released;
        self.binding_state = binding_state;
        released
    }

    /// Outcome when nothing is left to pay for a send.
    fn retries_spent_outcome(&self) -> Outcome<Answer> {
        let kind = ErrorKind::RetriesSpent;
        if self.sends.may_have_run() { Outcome::Unknown { kind } } else { not_run(kind) }
    }

    fn no_member_outcome(&self) -> Outcome<Answer> {
        match self.binding_state {
            BindingState::Bound(_) | BindingState::FromCaller(_) => {
                Outcome::Unknown { kind: ErrorKind::BindingLost }
            }
            BindingState::NotRequired | BindingState::Unbound(_) => not_run(ErrorKind::NoTarget),
        }
    }

    /// Whether a target that was not tried may take the call.
    fn has_untried_target(&self) -> bool {
        let router = self.router;
        router.targets.has_other(&router.directory, &self.call.service, &self.tried)
    }

    fn binding(&self) -> Option<&Binding> {
        match &self.binding_state {
            BindingState::NotRequired | BindingState::Unbound(_) => None,
            BindingState::Bound(bound) => Some(bound.binding()),
            BindingState::FromCaller(binding) => Some(binding),
        }
    }

    fn remaining(&self) -> std::time::Duration {
        self.deadline.since(self.router.clock.now())
    }

    /// Ends the trip; an offer goes back only with the not run that it belongs to.
    fn finish(self, outcome: Outcome<Answer>) -> DeliveryResult {
        self.router
            .metrics
            .record_resends(u64::from(self.sends.sends().saturating_sub(self.prior_sends.max(1))));
        let from_caller = matches!(self.binding_state, BindingState::FromCaller(_));
        let refused = matches!(outcome, Outcome::NotRun { .. });
        let offer = self.offer.clone().filter(|_| from_caller && refused);
        match self.final_step(outcome.clone()) {
            NextStep::Final { outcome, retry_after } => {
                DeliveryResult { outcome, retry_after, offer, sends: self.sends }
            }
            NextStep::Resend => {
                DeliveryResult { outcome, retry_after: None, offer, sends: self.sends }
            }
        }
    }
}

fn lock(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes the whole loan back from a send that reached nobody.
fn return_loan(sends: &mut Call, budget: &mut Budget, loan: Loan, outcome: &Outcome<Answer>) {
    let units = loan.grant().units;
    sends.record_answer(budget, loan, units, outcome);
}

fn status_of(outcome: &Outcome<Answer>) -> RunStatus<()> {
    match outcome {
        Outcome::Done(_) => RunStatus::Done(()),
        Outcome::NotRun { kind, .. } => RunStatus::NotRun(*kind),
        Outcome::Unknown { kind } => RunStatus::Unknown(*kind),
    }
}
