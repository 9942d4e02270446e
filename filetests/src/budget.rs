//! Sessions of kind `budget`: the retry units of one request, lent along the call chain, lost with
//! unanswered sends, and accounted for in the ledger of the instance that owns the budget.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Budget, Call, ErrorKind, Ledger, Loan, Moment, OpenReply, OpenRequest, Outcome, RequestId,
    RunLease,
};

use crate::{LineError, Session, VIOLATION, parse_number};

/// Deadline of the class; a run that was not closed by then counts as lost.
const DEADLINE: Duration = Duration::from_secs(2);
/// Repeat window of the class: the ledger keeps a request id for this time after its last use.
const REPEAT_WINDOW: Duration = Duration::from_secs(60);

/// Call with the loan for its last send, until that send is answered or lost.
struct SentCall {
    call: Call,
    loan: Option<Loan>,
}

/// Interpreter for one request.
#[derive(Default)]
pub(crate) struct BudgetSession {
    /// Number of retries that the contract allows, in units.
    retries: u32,
    /// Budgets by the name of the node or run that holds them.
    budgets: BTreeMap<String, Budget>,
    calls: BTreeMap<String, SentCall>,
    ledger: Option<Ledger>,
    /// Open runs by entry node.
    runs: BTreeMap<String, RunLease>,
    /// Number of runs that the ledger admitted.
    admitted_runs: u32,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Session for BudgetSession {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        match words {
            ["grant", holder, retries] => {
                self.retries = parse_number(retries)?;
                self.budgets.insert((*holder).to_owned(), Budget::new(self.retries));
                self.lines.push(format!("{holder} holds {retries} units"));
            }
            ["send", call, "from", holder, "lend", units] => {
                self.send(call, holder, parse_number(units)?)?;
            }
            ["receive", call, "at", holder] => self.receive(call, holder)?,
            ["done", call, "at", run, "to", holder] => {
                self.record_answer(call, run, holder, &Outcome::Done(()))?;
            }
            ["refused", call, "at", run, "to", holder] => {
                let kind = ErrorKind::Overload;
                let outcome = Outcome::NotRun { kind, retry_after: Duration::ZERO };
                self.record_answer(call, run, holder, &outcome)?;
            }
            ["lost", call, "to", holder] => self.record_loss(call, holder)?,
            ["keeper", "starts"] => self.ledger = Some(Ledger::new(now, REPEAT_WINDOW, 16)),
            ["open", entry, "first", "retries", retries] => {
                self.open(now, entry, true, parse_number(retries)?)?;
            }
            ["open", entry, "again", "retries", retries] => {
                self.open(now, entry, false, parse_number(retries)?)?;
            }
            ["close", entry] => self.close(now, entry)?,
            _ => return Err(LineError::InvalidCommand),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        if self.ledger.is_some() {
            return self.run_totals();
        }
        let sends: u32 = self.calls.values().map(|sent| sent.call.sends()).sum();
        let resends = sends.saturating_sub(self.calls.len() as u32);
        let retries = self.retries;
        self.lines.push(format!("{sends} sends, {resends} beyond the first ones, bound {retries}"));
        if resends > retries {
            self.lines.push(format!("{VIOLATION}: more re-sends than the contract allows"));
        }
        std::mem::take(&mut self.lines)
    }
}

impl BudgetSession {
    /// Trace lines at the end of a session with a ledger.
    fn run_totals(&self) -> Vec<String> {
        let (runs, retries) = (self.admitted_runs, self.retries);
        let mut lines = vec![format!("{runs} runs were let in, bound {retries} beyond the first")];
        if runs.saturating_sub(1) > retries {
            lines.push(format!("{VIOLATION}: more runs than the contract allows"));
        }
        lines
    }

    fn send(&mut self, name: &str, holder: &str, units: u32) -> Result<(), LineError> {
        let budget = self.budgets.get_mut(holder).ok_or(LineError::UnknownName)?;
        let new_call = || SentCall { call: Call::new(), loan: None };
        let sent = self.calls.entry(name.to_owned()).or_insert_with(new_call);
        let loan = match sent.call.send(budget, units) {
            Ok(loan) => loan,
            Err(spent) => {
                self.lines.push(format!("{name} is not sent: {spent}"));
                return Ok(());
            }
        };
        let (lent, left, sends) = (loan.grant().units, budget.units(), sent.call.sends());
        self.lines
            .push(format!("{name} is sent (send {sends}) with {lent}; {holder} holds {left}"));
        sent.loan = Some(loan);
        Ok(())
    }

    fn receive(&mut self, name: &str, holder: &str) -> Result<(), LineError> {
        let loan = self
            .calls
            .get(name)
            .and_then(|sent| sent.loan.as_ref())
            .ok_or(LineError::InvalidState)?;
        let budget = Budget::from_grant(loan.grant());
        self.lines.push(format!("the run of {name} at {holder} holds {}", budget.units()));
        self.budgets.insert(holder.to_owned(), budget);
        Ok(())
    }

    fn record_answer(
        &mut self,
        name: &str,
        run: &str,
        holder: &str,
        outcome: &Outcome<()>,
    ) -> Result<(), LineError> {
        let returned = self.budgets.remove(run).ok_or(LineError::UnknownName)?.close();
        let sent = self.calls.get_mut(name).ok_or(LineError::UnknownName)?;
        let budget = self.budgets.get_mut(holder).ok_or(LineError::UnknownName)?;
        let loan = sent.loan.take().ok_or(LineError::InvalidState)?;
        sent.call.record_answer(budget, loan, returned, outcome);
        let left = budget.units();
        self.lines.push(format!("{returned} units come back; {holder} holds {left}"));
        Ok(())
    }

    fn record_loss(&mut self, name: &str, holder: &str) -> Result<(), LineError> {
        let sent = self.calls.get_mut(name).ok_or(LineError::UnknownName)?;
        sent.call.record_loss(sent.loan.take().ok_or(LineError::InvalidState)?);
        let left = self.budgets.get(holder).ok_or(LineError::UnknownName)?.units();
        self.lines.push(format!("its units count as spent; {holder} holds {left}"));
        Ok(())
    }

    fn open(
        &mut self,
        now: Moment,
        entry: &str,
        first: bool,
        retries: u32,
    ) -> Result<(), LineError> {
        let request = OpenRequest { request: RequestId(1), retries, first, deadline: DEADLINE };
        self.retries = retries;
        let ledger = self.ledger.as_mut().ok_or(LineError::InvalidState)?;
        let text = match ledger.open(now, &request) {
            OpenReply::Run(run) => {
                let text = format!("{entry} may send, with {} units", run.budget.units());
                self.runs.insert(entry.to_owned(), run);
                self.admitted_runs += 1;
                text
            }
            OpenReply::Running => format!("{entry} answers unknown: another run is out"),
            OpenReply::Spent { ran: true } => format!("{entry} answers unknown: nothing is left"),
            OpenReply::Spent { ran: false } => format!("{entry} answers not run: nothing is left"),
            OpenReply::Full => format!("{entry} answers not run: the keeper is full"),
        };
        self.lines.push(text);
        Ok(())
    }

    fn close(&mut self, now: Moment, entry: &str) -> Result<(), LineError> {
        let run = self.runs.remove(entry).ok_or(LineError::UnknownName)?;
        let left = run.budget.units();
        self.ledger.as_mut().ok_or(LineError::InvalidState)?.close(now, RequestId(1), run);
        self.lines.push(format!("{entry} gives {left} units back to the keeper"));
        Ok(())
    }
}
