//! Retry budget: one quantity for the whole chain, moved and never copied.
//!
//! A unit pays for one send of a call that may have been sent before. Whoever holds units may lend
//! some of them to a child call; the child's answer brings the unspent ones back, and a lost
//! answer counts as all spent. The types here are neither `Clone` nor `Copy`, so the compiler
//! rules out that a unit is spent twice in one process; between processes a unit travels in one
//! message and counts as spent when that message is lost. See
//! [retries](../../docs/design/retries.md).

mod decision;
mod ledger;

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

pub use decision::{CallTerms, NextStep, next_step, spread_retry_after};
pub use ledger::{Ledger, LedgerError, OpenReply, OpenRequest, RunLease, budget_owner};

/// Retry units that exactly one holder owns.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
struct Units(u32);

impl Units {
    /// Takes at most `count` units out of `self`.
    fn split(&mut self, count: u32) -> Self {
        let taken = count.min(self.0);
        self.0 -= taken;
        Self(taken)
    }

    fn add(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }
}

/// Wire form of a loan, as it travels with the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Retry units that the receiver may spend or lend on.
    pub units: u32,
    /// Whether an earlier send of this call, or of one above it, may have run.
    pub rerun: bool,
}

/// Units that one run of a call holds, at the entry or at the node beside the running target.
///
/// In a run that repeats an earlier one the run's own calls may have been sent before as well, so
/// each of them is charged from its first send on. Hence the bound is on sends per call, not only
/// on decisions to re-send.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    held: Units,
    rerun: bool,
}

impl Budget {
    /// Budget of a request that no node has sent yet, from the contract's retry bound.
    pub const fn new(retries: u32) -> Self {
        Self { held: Units(retries), rerun: false }
    }

    /// Budget of a run that was started by a call with this grant.
    ///
    /// Must be called once per received call.
    pub const fn from_grant(grant: Grant) -> Self {
        Self { held: Units(grant.units), rerun: grant.rerun }
    }

    /// Units held now, without those on loan.
    pub const fn units(&self) -> u32 {
        self.held.0
    }

    /// Units to lend to each of `siblings` calls that may still run side by side.
    ///
    /// One unit stays behind where there are two, since a lost answer takes every lent unit with
    /// it and the holder could no longer re-send.
    pub fn share(&self, siblings: u32) -> u32 {
        let lendable = if self.held.0 > 1 { self.held.0 - 1 } else { self.held.0 };
        lendable.div_ceil(siblings.max(1))
    }

    /// Ends the run and gives the units that go back with its answer.
    ///
    /// Loans that are still out stay out: their units count as spent.
    pub const fn close(self) -> u32 {
        self.held.0
    }

    fn spend(&mut self) -> Result<(), RetriesSpent> {
        self.held.0 = self.held.0.checked_sub(1).ok_or(RetriesSpent)?;
        Ok(())
    }
}

/// Error of a send that nothing is left to pay for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the retries of this request are spent")]
pub struct RetriesSpent;

/// Units that travel with one send of a call until its answer comes or is given up.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a loan ends with its answer or counts as spent"]
pub struct Loan {
    units: Units,
    rerun: bool,
}

impl Loan {
    /// Wire form, for exactly one message.
    pub const fn grant(&self) -> Grant {
        Grant { units: self.units.0, rerun: self.rerun }
    }
}

/// Sends of one distinct call: the request id it has, whichever targets it goes to.
///
/// Every send goes through [`Self::send`], which charges it as the bound demands.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    sends: u32,
    ran: bool,
}

impl Call {
    /// Call that was not sent yet by this run of its caller.
    pub const fn new() -> Self {
        Self { sends: 0, ran: false }
    }

    /// Whether some send of the call may have run.
    pub const fn may_have_run(&self) -> bool {
        self.ran
    }

    /// Sends so far.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Pays for the next send and lends it at most `units`.
    ///
    /// The first send is free unless `budget` belongs to a run that repeats an earlier one.
    pub fn send(&mut self, budget: &mut Budget, units: u32) -> Result<Loan, RetriesSpent> {
        if self.sends > 0 || budget.rerun {
            budget.spend()?;
        }
        self.sends = self.sends.saturating_add(1);
        Ok(Loan { units: budget.held.split(units), rerun: self.ran || budget.rerun })
    }

    /// Takes in the whole answer to the send that `loan` travelled with.
    ///
    /// `returned` is what the answer says is unspent; more than was lent is not believed.
    pub fn record_answer<A>(
        &mut self,
        budget: &mut Budget,
        loan: Loan,
        returned: u32,
        outcome: &Outcome<A>,
    ) {
        self.ran |= !matches!(outcome, Outcome::NotRun { .. });
        budget.held.add(Units(returned.min(loan.units.0)));
    }

    /// Gives up on the answer to the send that `loan` travelled with: all its units are spent.
    ///
    /// The loan is gone afterwards, so a late answer has nothing to bring units back to.
    pub fn record_loss(&mut self, loan: Loan) {
        drop(loan);
        self.ran = true;
    }
}
