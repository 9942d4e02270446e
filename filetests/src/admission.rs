//! Sessions of kind `admission`: the calls that arrive at one target.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Admission, AdmissionVerdict, Arrival, Importance, ImportanceScale, Moment, Rank, Refusal,
    Release, TargetLimits, Ticket,
};

use crate::{LineError, Session, VIOLATION, parse_duration, parse_number};

/// Interpreter for one target, created by its first command `target`.
#[derive(Default)]
pub(crate) struct AdmissionSession {
    admission: Option<Admission>,
    /// Names of the calls that arrived; the index is the number of the ticket.
    calls: Vec<String>,
    importances: BTreeMap<Ticket, Importance>,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Session for AdmissionSession {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        match words {
            ["target", "slots", slots, "importances", steps @ ..] => {
                let steps = steps.iter().map(|step| parse_number(step).map(Importance));
                let scale = ImportanceScale::new(steps.collect::<Result<Vec<_>, _>>()?);
                let limits = TargetLimits::derive(parse_number(slots)?, 100);
                let TargetLimits { cold, queue, .. } = limits;
                self.lines.push(format!("{cold} may run while cold, {queue} may wait"));
                self.admission = Some(Admission::new(now, limits, scale));
            }
            ["arrive", call, "importance", importance, "left", left] => {
                self.arrive(now, call, parse_number(importance)?, parse_duration(left)?, false)?;
            }
            ["arrive", call, "importance", importance, "left", left, "paid"] => {
                self.arrive(now, call, parse_number(importance)?, parse_duration(left)?, true)?;
            }
            ["finish", call, "after", latency] => {
                let (ticket, latency) = (self.ticket(call)?, parse_duration(latency)?);
                let release = self.admission()?.finish(now, ticket, latency);
                self.trace_release(&release);
            }
            ["cancel", call] => {
                let ticket = self.ticket(call)?;
                let release = self.admission()?.cancel(now, ticket);
                self.trace_release(&release);
            }
            ["tick"] => {
                let release = self.admission()?.tick(now);
                self.trace_release(&release);
            }
            _ => return Err(LineError::InvalidCommand),
        }
        if let Err(error) = self.admission()?.verify() {
            self.lines.push(format!("{VIOLATION}: {error}"));
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        let Some(admission) = &self.admission else { return Vec::new() };
        vec![format!("{} run, {} wait", admission.in_flight(), admission.queued())]
    }
}

impl AdmissionSession {
    fn admission(&mut self) -> Result<&mut Admission, LineError> {
        self.admission.as_mut().ok_or(LineError::InvalidState)
    }

    fn ticket(&self, call: &str) -> Result<Ticket, LineError> {
        let idx =
            self.calls.iter().position(|known| known == call).ok_or(LineError::UnknownName)?;
        Ok(Ticket(idx as u64))
    }

    fn call_name(&self, ticket: Ticket) -> &str {
        &self.calls[ticket.0 as usize]
    }

    fn arrive(
        &mut self,
        now: Moment,
        call: &str,
        importance: u8,
        left: Duration,
        paid: bool,
    ) -> Result<(), LineError> {
        let ticket = Ticket(self.calls.len() as u64);
        self.calls.push(call.to_owned());
        self.importances.insert(ticket, Importance(importance));
        // A later call gets a smaller tie-breaker, so that among calls of the same importance the
        // last one is evicted first.
        let tiebreak = u16::MAX - self.calls.len() as u16;
        let rank = Rank::at(Importance(importance), tiebreak);
        let (age, min_latency) = (Duration::ZERO, Duration::from_millis(10));
        let arrival = Arrival { ticket, rank, age, left, min_latency, begun: paid };
        match self.admission()?.arrive(now, arrival) {
            AdmissionVerdict::Admit => self.lines.push(format!("{call} runs")),
            AdmissionVerdict::Queue { evicted } => {
                self.lines.push(format!("{call} waits"));
                evicted.iter().for_each(|refusal| self.trace_refusal(refusal));
            }
            AdmissionVerdict::Refuse(refusal) => self.trace_refusal(&refusal),
        }
        Ok(())
    }

    fn trace_release(&mut self, release: &Release) {
        for ticket in &release.start {
            let line = format!("{} runs", self.call_name(*ticket));
            self.lines.push(line);
        }
        release.refuse.iter().for_each(|refusal| self.trace_refusal(refusal));
    }

    fn trace_refusal(&mut self, refusal: &Refusal) {
        let name = self.call_name(refusal.ticket).to_owned();
        let label = refusal.kind.label();
        self.lines.push(format!("{name} is refused as not run ({label}), at once"));
        let lowest = self.admission.as_ref().and_then(Admission::lowest_queued);
        let importance = self.importances[&refusal.ticket];
        if label == "overload" && lowest.is_some_and(|lowest| lowest < importance) {
            self.lines.push(format!("{VIOLATION}: less important work waits"));
        }
    }
}
