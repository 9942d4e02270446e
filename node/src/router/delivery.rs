//! Delivery of one call: its sends, its binding and whether it is resent.

use std::sync::{Mutex, MutexGuard, PoisonError};

use poplar_core::{
    Binding, BindingMode, BoundCall, Budget, Call, CallTerms, ErrorKind, InstanceId, Loan, Moment,
    NextStep, NotRunProof, Observation, Outcome, Rank, Repeatability, Resend, RetriesSpent,
    RunStatus, UnboundCall, bound_resend, next_step,
};
use poplar_wire::{Answer, CallMeta, MemberRecord};

use super::targets::ChosenMember;
use super::{DeliveryResult, OutgoingCall, Router, SendResult, not_run, outcome_of};

/// Binding that the next send will carry.
enum BindingState {
    /// No binding: any target may run the call.
    NotRequired,
    /// Binding that this node has yet to mint.
    Unbound(UnboundCall),
    /// Binding that this node minted last.
    Bound(BoundCall),
    /// Binding that came with the call from an outside caller, who alone may mint the next one.
    FromCaller(Binding),
}

/// Call during its delivery.
pub(super) struct CallDelivery<'a> {
    router: &'a Router,
    call: OutgoingCall,
    budget: &'a Mutex<Budget>,
    sends: Call,
    /// Number of sends before this delivery.
    prior_sends: u32,
    binding_state: BindingState,
    tried: Vec<InstanceId>,
    /// Whether a send under the current binding ended with an unknown outcome.
    has_unknown: bool,
    deadline: Moment,
    offer: Option<Binding>,
    /// Member that has just answered a status query on a new connection; it gets the next send.
    preferred: Option<InstanceId>,
    /// Only target that may run the request, as it is suspected of crashing targets.
    isolation: Option<InstanceId>,
    /// Whether a run of the request may have crashed its target.
    suspect: bool,
}

impl<'a> CallDelivery<'a> {
    /// Creates the delivery of a call for which `sends` were made before.
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

    /// Sends the call until its outcome is final.
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

    /// Member for the next send; a call that needs a binding is bound to it first.
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

    /// Chooses a member that was not tried.
    fn choose(&self) -> Option<ChosenMember<'a>> {
        let meta = &self.call.meta;
        let rank = Rank::of(meta.importance, meta.root);
        let router = self.router;
        router.targets.choose(&router.directory, &self.call.service, rank, &self.tried)
    }

    /// Mints the binding for the next send, to the preferred member or a chosen one.
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
            let offered = self.router.request_binding(&chosen.member).await;
            if offered.is_some() && self.try_bind(&chosen.member) {
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
        let terms = &self.call.meta;
        let left = self.remaining();
        CallMeta {
            left,
            age: terms.age + terms.left.saturating_sub(left),
            attempt: self.router.next_attempt(),
            grant: loan.grant(),
            binding: self.binding().cloned(),
            ..terms.clone()
        }
    }

    /// Charges the budget for the next send and takes the units that travel with it.
    fn take_loan(&mut self) -> Result<Loan, RetriesSpent> {
        let mut budget = lock(self.budget);
        let share = budget.share(self.call.siblings);
        self.sends.send(&mut budget, share)
    }

    /// Records the result of a send and returns its outcome.
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
    /// It does not cover earlier sends under the same binding: an outside caller may have made some
    /// through another entry.
    fn undelivered_outcome(&self) -> Outcome<Answer> {
        let kind = ErrorKind::Connection;
        match self.binding_state {
            BindingState::FromCaller(_) => Outcome::Unknown { kind },
            BindingState::Bound(_) if self.has_unknown => Outcome::Unknown { kind },
            _ => not_run(kind),
        }
    }

    /// Decides whether the call is sent again after `outcome`.
    fn may_send_again(&mut self, outcome: &Outcome<Answer>) -> bool {
        // Returns early in the most frequent case, which needs no further lookups.
        if matches!(outcome, Outcome::Done(_)) {
            return false;
        }
        let resend_allowed = matches!(self.next_step(outcome.clone()), NextStep::Resend);
        if matches!(self.binding_state, BindingState::NotRequired) {
            return resend_allowed;
        }
        let funded = lock(self.budget).units() > 0 && !self.remaining().is_zero();
        match (bound_resend(&status_of(outcome)), &self.binding_state) {
            (Resend::Never, _) => false,
            (Resend::SameBinding, _) => {
                self.has_unknown = true;
                funded
            }
            // Only the outside caller, who mints the bindings, may use the next one.
            (Resend::NextBinding, BindingState::FromCaller(_)) => false,
            (Resend::NextBinding, _) => resend_allowed && self.release(),
        }
    }

    /// Next step after `outcome`, by the decision that all holders of a call share.
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

    /// Final answer for `outcome`, even if another send would be allowed.
    fn final_step(&self, outcome: Outcome<Answer>) -> NextStep<Answer> {
        let (ran, left) = (self.earlier_send_may_have_run(), self.remaining());
        let terms = CallTerms { once: true, ran, suspect: false, elsewhere: false, units: 0, left };
        next_step(outcome, &terms, fastrand::u64(..))
    }

    /// Whether an earlier send than the one that was reported not run may have run.
    ///
    /// Always false for a bound call: its not-run status covers every send under the binding.
    fn earlier_send_may_have_run(&self) -> bool {
        matches!(self.binding_state, BindingState::NotRequired) && self.sends.may_have_run()
    }

    /// Releases the call for the next binding after the current one was confirmed not run.
    ///
    /// Returns whether the call was bound and is released.
    fn release(&mut self) -> bool {
        let BindingState::Bound(bound) =
            std::mem::replace(&mut self.binding_state, BindingState::NotRequired)
        else {
            return false;
        };
        let proof = NotRunProof::Confirmed(bound.binding().clone());
        let (binding_state, released) = match bound.release(&proof) {
            Ok(unbound) => (BindingState::Unbound(unbound), true),
            Err(bound) => (BindingState::Bound(bound), false),
        };
        // The not-run status also settles the unknown outcomes under the last binding.
        self.has_unknown &= !released;
        self.binding_state = binding_state;
        released
    }

    /// Outcome if the retry budget cannot pay for a send.
    fn retries_spent_outcome(&self) -> Outcome<Answer> {
        let kind = ErrorKind::RetriesSpent;
        if self.sends.may_have_run() { Outcome::Unknown { kind } } else { not_run(kind) }
    }

    /// Outcome if no member can receive the next send.
    fn no_member_outcome(&self) -> Outcome<Answer> {
        match self.binding_state {
            BindingState::Bound(_) | BindingState::FromCaller(_) => {
                Outcome::Unknown { kind: ErrorKind::BindingLost }
            }
            BindingState::NotRequired | BindingState::Unbound(_) => not_run(ErrorKind::NoTarget),
        }
    }

    /// Whether the service has a target that was not tried.
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

    /// Ends the delivery; an offered binding goes back only with the not-run outcome that it came
    /// with.
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

/// Returns the whole loan of a send that did not run to the budget.
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
