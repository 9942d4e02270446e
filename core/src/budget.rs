//! Retry budget of a request: a number of units shared by its whole call chain.
//!
//! One unit pays for one send of a call that may have been sent before. The holder of units may
//! lend some of them to a child call. The child's answer returns the unspent ones; if the answer is
//! lost, all lent units count as spent. The types that hold units are neither `Clone` nor `Copy`,
//! so that a unit cannot be spent twice in one process. Between processes a unit is carried by
//! exactly one message, and counts as spent if that message is lost. See
//! [retries](../../docs/design/retries.md).

mod decision;
mod ledger;

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

pub use decision::{CallTerms, NextStep, next_step, spread_retry_after};
pub use ledger::{Ledger, LedgerError, OpenReply, OpenRequest, RunLease, budget_owner};

/// Retry units, which have exactly one holder.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
struct Units(u32);

impl Units {
    /// Moves at most `count` units out of `self`.
    fn split(&mut self, count: u32) -> Self {
        let taken = count.min(self.0);
        self.0 -= taken;
        Self(taken)
    }

    fn add(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }
}

/// Wire form of a [`Loan`], sent with the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Retry units that the receiver may spend or lend to its own calls.
    pub units: u32,
    /// Whether an earlier send of this call, or of a call above it in the chain, may have run.
    pub rerun: bool,
}

/// Retry units of one run of a call, held by the entry node or by the node beside the running
/// target.
///
/// If the run may repeat an earlier one, the run's own calls may have been sent before too, and
/// each of them is charged from its first send on. The budget thus bounds the sends per call, not
/// only the decisions to re-send.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    held: Units,
    rerun: bool,
}

impl Budget {
    /// Budget of a request that no node has sent yet, with the number of retries from the contract.
    pub const fn new(retries: u32) -> Self {
        Self { held: Units(retries), rerun: false }
    }

    /// Budget of the run that a received call starts, with the grant of the call.
    ///
    /// Must be called only once per received call.
    pub const fn from_grant(grant: Grant) -> Self {
        Self { held: Units(grant.units), rerun: grant.rerun }
    }

    /// Number of units held now, without those on loan.
    pub const fn units(&self) -> u32 {
        self.held.0
    }

    /// Number of units to lend to each of `siblings` calls that may run in parallel.
    ///
    /// If there are two or more units, one is kept: a lost answer loses every lent unit, and the
    /// holder could not re-send without one.
    pub fn share(&self, siblings: u32) -> u32 {
        let lendable = if self.held.0 > 1 { self.held.0 - 1 } else { self.held.0 };
        lendable.div_ceil(siblings.max(1))
    }

    /// Ends the run and returns the number of units to send back with its answer.
    ///
    /// Loans that have not been returned stay lost: their units count as spent.
    pub const fn close(self) -> u32 {
        self.held.0
    }

    fn spend(&mut self) -> Result<(), RetriesSpent> {
        self.held.0 = self.held.0.checked_sub(1).ok_or(RetriesSpent)?;
        Ok(())
    }
}

/// Error of a send for which no unit is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the retries of this request are spent")]
pub struct RetriesSpent;

/// Units lent to one send of a call, until its answer arrives or is given up.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a loan ends with its answer or counts as spent"]
pub struct Loan {
    units: Units,
    rerun: bool,
}

impl Loan {
    /// Wire form, to be sent in exactly one message.
    pub const fn grant(&self) -> Grant {
        Grant { units: self.units.0, rerun: self.rerun }
    }
}

/// Sends of one call, identified by its request id, to whichever targets.
///
/// Every send goes through [`Self::send`], which charges it to the budget.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    sends: u32,
    ran: bool,
}

impl Call {
    /// Call that this run of its caller has not sent yet.
    pub const fn new() -> Self {
        Self { sends: 0, ran: false }
    }

    /// Whether any send of the call may have run.
    pub const fn may_have_run(&self) -> bool {
        self.ran
    }

    /// Number of sends so far.
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Pays for the next send and lends it at most `units`.
    ///
    /// The first send is free unless `budget` belongs to a run that may repeat an earlier one.
    ///
    /// # Errors
    ///
    /// [`RetriesSpent`] if the send has to be paid for and `budget` holds no unit.
    pub fn send(&mut self, budget: &mut Budget, units: u32) -> Result<Loan, RetriesSpent> {
        if self.sends > 0 || budget.rerun {
            budget.spend()?;
        }
        self.sends = self.sends.saturating_add(1);
        Ok(Loan { units: budget.held.split(units), rerun: self.ran || budget.rerun })
    }

    /// Records the complete answer to the send that `loan` was lent to.
    ///
    /// `returned` is the number of unspent units according to the answer; at most the number lent
    /// is added to `budget`.
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

    /// Gives up the answer to the send that `loan` was lent to: all its units count as spent.
    ///
    /// The loan is consumed, so that a late answer cannot return units.
    pub fn record_loss(&mut self, loan: Loan) {
        drop(loan);
        self.ran = true;
    }
}
