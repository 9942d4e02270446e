//! One call on its way: its sends, the binding it carries and what may follow each end.

use std::sync::{Mutex, MutexGuard, PoisonError};

use poplar_core::{
    Binding, BindingMode, BoundCall, Budget, Call, CallTerms, ErrorKind, InstanceId, Loan, Moment,
    NextStep, NotRunProof, Observation, Outcome, Rank, Repeatability, Resend, RetriesSpent,
    RunStatus, UnboundCall, bound_resend, next_step,
};
use poplar_wire::{Answer, CallMeta, MemberRecord};

use super::targets::Chosen;
use super::{Delivered, Delivery, Reply, Route, not_run, outcome_of};

/// Binding that the next send is to carry.
enum Ties {
    /// None: any target may run the call.
    Free,
    /// One that is still to be minted here.
    Unbound(UnboundCall),
    /// The one that was minted here last.
    Bound(BoundCall),
    /// The one that an outside caller, its only minter, sent along.
    Given(Binding),
}

/// Call on its way.
pub(super) struct Trip<'a> {
    route: &'a Route,
    call: Delivery,
    budget: &'a Mutex<Budget>,
    sends: Call,
    /// Sends made before this trip.
    sent: u32,
    ties: Ties,
    tried: Vec<InstanceId>,
    /// Whether a send under the present binding ended unknown.
    open: bool,
    deadline: Moment,
    offer: Option<Binding>,
    /// Member that has just answered on a new connection, for the next send.
    prefer: Option<InstanceId>,
    /// Target that alone may run the request.
    isolation: Option<InstanceId>,
    /// Whether a run of the request may have crashed its target.
    suspect: bool,
}

impl<'a> Trip<'a> {
    /// Call with the sends that were made for it before.
    pub(super) fn new(
        route: &'a Route,
        call: Delivery,
        budget: &'a Mutex<Budget>,
        sends: Call,
    ) -> Self {
        let ties = match (&call.rule, &call.meta.binding) {
            (BindingMode::Unbound, _) => Ties::Free,
            (_, Some(binding)) => Ties::Given(binding.clone()),
            (_, None) => Ties::Unbound(UnboundCall::new()),
        };
        let deadline = route.clock.now() + call.meta.left;
        let tried = Vec::new();
        Self {
            route,
            call,
            budget,
            sent: sends.sends(),
            sends,
            ties,
            tried,
            open: false,
            deadline,
            offer: None,
            prefer: None,
            isolation: None,
            suspect: false,
        }
    }

    /// Sends the call until it has an outcome that stays.
    pub(super) async fn run(mut self) -> Delivered {
        let mut last = None;
        loop {
            let Some(mut chosen) = self.next_member().await else {
                let outcome = last.unwrap_or_else(|| self.nobody());
                return self.end(outcome);
            };
            let Ok(loan) = self.lend() else {
                let outcome = last.unwrap_or_else(|| self.spent());
                return self.end(outcome);
            };
            let meta = self.meta(&loan);
            self.tried.push(chosen.member.instance.clone());
            let reply = self.route.send(&mut chosen, meta, self.call.body.clone()).await;
            let outcome = self.settle(loan, reply);
            if !self.may_send_again(&outcome) {
                return self.end(outcome);
            }
            last = Some(outcome);
        }
    }

    /// Member for the next send; a once-only call is bound to it first.
    async fn next_member(&mut self) -> Option<Chosen<'a>> {
        let prefer = self.prefer.take();
        let service = &self.call.service;
        let named = match &self.ties {
            Ties::Unbound(_) => return self.bind(prefer).await,
            Ties::Free => match self.isolation.as_ref().or(prefer.as_ref()) {
                None => return self.choose(),
                Some(target) => self.route.directory.member(service, target),
            },
            Ties::Bound(bound) => self.route.bound_member(service, bound.binding()).await,
            Ties::Given(binding) => self.route.bound_member(service, binding).await,
        };
        named.map(Chosen::bound)
    }

    /// Member that is to get the next send, none of those that were tried.
    fn choose(&self) -> Option<Chosen<'a>> {
        let meta = &self.call.meta;
        let rank = Rank::of(meta.importance, meta.root);
        let route = self.route;
        route.targets.choose(&route.directory, &self.call.service, rank, &self.tried)
    }

    /// Mints the binding for the next send.
    async fn bind(&mut self, mut prefer: Option<InstanceId>) -> Option<Chosen<'a>> {
        loop {
            let preferred = prefer
                .take()
                .and_then(|instance| self.route.directory.member(&self.call.service, &instance));
            let mut chosen = match preferred {
                Some(member) => Chosen::bound(member),
                None => self.choose()?,
            };
            if self.try_bind(&chosen.member) {
                return Some(chosen);
            }
            let asked = self.route.ask_binding(&chosen.member).await;
            if asked.is_some() && self.try_bind(&chosen.member) {
                return Some(chosen);
            }
            chosen.observe(Observation::Unreachable);
            self.tried.push(chosen.member.instance.clone());
        }
    }

    fn try_bind(&mut self, member: &MemberRecord) -> bool {
        let Some(heard) = self.route.heard(member) else { return false };
        match std::mem::replace(&mut self.ties, Ties::Free) {
            Ties::Unbound(unbound) => {
                self.ties = Ties::Bound(unbound.adopt(heard));
                true
            }
            other => {
                self.ties = other;
                false
            }
        }
    }

    /// Terms of the next send.
    fn meta(&self, loan: &Loan) -> CallMeta {
        let first = &self.call.meta;
        let left = self.left();
        CallMeta {
            left,
            age: first.age + first.left.saturating_sub(left),
            attempt: self.route.next_attempt(),
            grant: loan.grant(),
            binding: self.binding().cloned(),
            ..first.clone()
        }
    }

    /// Pays for the next send.
    fn lend(&mut self) -> Result<Loan, RetriesSpent> {
        let mut budget = hold(self.budget);
        let share = budget.share(self.call.siblings);
        self.sends.send(&mut budget, share)
    }

    /// Takes in how a send ended, and gives its outcome as far as it is known.
    fn settle(&mut self, loan: Loan, reply: Reply) -> Outcome<Answer> {
        let mut budget = hold(self.budget);
        match reply {
            Reply::Whole(reply) => {
                self.sends.record_answer(&mut budget, loan, reply.units, &reply.outcome);
                self.offer = reply.offer;
                self.isolation = reply.isolation;
                self.suspect |= reply.suspect;
                reply.outcome
            }
            Reply::Unseen => {
                let outcome = self.unseen();
                return_loan(&mut self.sends, &mut budget, loan, &outcome);
                outcome
            }
            Reply::Lost => {
                self.sends.record_loss(loan);
                Outcome::Unknown { kind: ErrorKind::Connection }
            }
            Reply::Asked(RunStatus::NotRun(kind)) => {
                self.prefer = self.tried.pop();
                let outcome = not_run(kind);
                return_loan(&mut self.sends, &mut budget, loan, &outcome);
                outcome
            }
            Reply::Asked(fate) => {
                self.sends.record_loss(loan);
                outcome_of(fate)
            }
        }
    }

    /// Outcome of a send that never left this process.
    ///
    /// It says nothing about earlier sends under the same binding: an outside caller may have made
    /// some through another entry.
    fn unseen(&self) -> Outcome<Answer> {
        let kind = ErrorKind::Connection;
        match self.ties {
            Ties::Given(_) => Outcome::Unknown { kind },
            Ties::Bound(_) if self.open => Outcome::Unknown { kind },
            _ => not_run(kind),
        }
    }

    /// Decides whether another send follows one that ended with `outcome`.
    fn may_send_again(&mut self, outcome: &Outcome<Answer>) -> bool {
        // Most sends end here, and nothing else has to be looked up for them.
        if matches!(outcome, Outcome::Done(_)) {
            return false;
        }
        let worth = matches!(self.next_step(outcome.clone()), NextStep::Resend);
        if matches!(self.ties, Ties::Free) {
            return worth;
        }
        let funded = hold(self.budget).units() > 0 && !self.left().is_zero();
        match (bound_resend(&fate_of(outcome)), &self.ties) {
            (Resend::Never, _) => false,
            (Resend::SameBinding, _) => {
                self.open = true;
                funded
            }
            // Only the caller that mints the bindings may take the next one.
            (Resend::NextBinding, Ties::Given(_)) => false,
            (Resend::NextBinding, _) => worth && self.release(),
        }
    }

    /// What follows `outcome`, by the one decision that every holder of a call shares.
    fn next_step(&self, outcome: Outcome<Answer>) -> NextStep<Answer> {
        let terms = CallTerms {
            once: self.call.within == Repeatability::Once,
            ran: self.ran(),
            suspect: self.suspect,
            elsewhere: self.elsewhere(),
            units: hold(self.budget).units(),
            left: self.left(),
        };
        next_step(outcome, &terms, fastrand::u64(..))
    }

    /// Final answer for `outcome`, although another send might have been worth its unit.
    fn final_step(&self, outcome: Outcome<Answer>) -> NextStep<Answer> {
        let (ran, left) = (self.ran(), self.left());
        let terms = CallTerms { once: true, ran, suspect: false, elsewhere: false, units: 0, left };
        next_step(outcome, &terms, fastrand::u64(..))
    }

    /// Whether an earlier send than the one that a not run is about may have run.
    ///
    /// For a bound call a not run speaks for every send under the binding.
    fn ran(&self) -> bool {
        matches!(self.ties, Ties::Free) && self.sends.may_have_run()
    }

    /// Gives the call free for the next binding, after the last one was told not run.
    fn release(&mut self) -> bool {
        let Ties::Bound(bound) = std::mem::replace(&mut self.ties, Ties::Free) else {
            return false;
        };
        let evidence = NotRunProof::Confirmed(bound.binding().clone());
        let (ties, released) = match bound.release(&evidence) {
            Ok(unbound) => (Ties::Unbound(unbound), true),
            Err(bound) => (Ties::Bound(bound), false),
        };
        // What the last binding left open is settled by the word that it did not run.
        self.open &= !released;
        self.ties = ties;
        released
    }

    /// Outcome when nothing is left to pay for a send.
    fn spent(&self) -> Outcome<Answer> {
        let kind = ErrorKind::RetriesSpent;
        if self.sends.may_have_run() { Outcome::Unknown { kind } } else { not_run(kind) }
    }

    fn nobody(&self) -> Outcome<Answer> {
        match self.ties {
            Ties::Bound(_) | Ties::Given(_) => Outcome::Unknown { kind: ErrorKind::BindingLost },
            Ties::Free | Ties::Unbound(_) => not_run(ErrorKind::NoTarget),
        }
    }

    /// Whether a target that was not tried may take the call.
    fn elsewhere(&self) -> bool {
        let route = self.route;
        route.targets.has_other(&route.directory, &self.call.service, &self.tried)
    }

    fn binding(&self) -> Option<&Binding> {
        match &self.ties {
            Ties::Free | Ties::Unbound(_) => None,
            Ties::Bound(bound) => Some(bound.binding()),
            Ties::Given(binding) => Some(binding),
        }
    }

    fn left(&self) -> std::time::Duration {
        self.deadline.since(self.route.clock.now())
    }

    /// Ends the trip; an offer goes back only with the not run that it belongs to.
    fn end(self, outcome: Outcome<Answer>) -> Delivered {
        self.route
            .metrics
            .record_resends(u64::from(self.sends.sends().saturating_sub(self.sent.max(1))));
        let given = matches!(self.ties, Ties::Given(_));
        let refused = matches!(outcome, Outcome::NotRun { .. });
        let offer = self.offer.clone().filter(|_| given && refused);
        match self.final_step(outcome.clone()) {
            NextStep::Final { outcome, retry_after } => {
                Delivered { outcome, retry_after, offer, sends: self.sends }
            }
            NextStep::Resend => Delivered { outcome, retry_after: None, offer, sends: self.sends },
        }
    }
}

fn hold(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes the whole loan back from a send that reached nobody.
fn return_loan(sends: &mut Call, budget: &mut Budget, loan: Loan, outcome: &Outcome<Answer>) {
    let units = loan.grant().units;
    sends.record_answer(budget, loan, units, outcome);
}

fn fate_of(outcome: &Outcome<Answer>) -> RunStatus<()> {
    match outcome {
        Outcome::Done(_) => RunStatus::Done(()),
        Outcome::NotRun { kind, .. } => RunStatus::NotRun(*kind),
        Outcome::Unknown { kind } => RunStatus::Unknown(*kind),
    }
}
