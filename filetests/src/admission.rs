//! Sessions of admission at one target.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Admission, AdmissionVerdict, Arrival, Importance, ImportanceScale, Moment, Rank, Refusal,
    Release, TargetLimits, Ticket,
};

use crate::{Fault, Session, VIOLATION, duration, number};

/// Session of one target.
#[derive(Default)]
pub(crate) struct Target {
    admission: Option<Admission>,
    calls: Vec<String>,
    importances: BTreeMap<Ticket, Importance>,
    lines: Vec<String>,
}

impl Session for Target {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, Fault> {
        match words {
            ["target", "slots", slots, "importances", steps @ ..] => {
                let steps = steps.iter().map(|step| number(step).map(Importance));
                let scale = ImportanceScale::new(steps.collect::<Result<Vec<_>, _>>()?);
                let limits = TargetLimits::derive(number(slots)?, 100);
                let TargetLimits { cold, queue, .. } = limits;
                self.lines.push(format!("{cold} may run while cold, {queue} may wait"));
                self.admission = Some(Admission::new(now, limits, scale));
            }
            ["arrive", call, "importance", importance, "left", left] => {
                self.arrive(now, call, number(importance)?, duration(left)?, false)?;
            }
            ["arrive", call, "importance", importance, "left", left, "paid"] => {
                self.arrive(now, call, number(importance)?, duration(left)?, true)?;
            }
            ["finish", call, "after", latency] => {
                let (ticket, latency) = (self.ticket(call)?, duration(latency)?);
                let release = self.admission()?.finish(now, ticket, latency);
                self.released(&release);
            }
            ["cancel", call] => {
                let ticket = self.ticket(call)?;
                let release = self.admission()?.cancel(now, ticket);
                self.released(&release);
            }
            ["tick"] => {
                let release = self.admission()?.tick(now);
                self.released(&release);
            }
            _ => return Err(Fault::Command),
        }
        if let Err(fault) = self.admission()?.verify() {
            self.lines.push(format!("{VIOLATION}: {fault}"));
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        let Some(admission) = &self.admission else { return Vec::new() };
        vec![format!("{} run, {} wait", admission.in_flight(), admission.queued())]
    }
}

impl Target {
    fn admission(&mut self) -> Result<&mut Admission, Fault> {
        self.admission.as_mut().ok_or(Fault::State)
    }

    fn ticket(&self, call: &str) -> Result<Ticket, Fault> {
        let idx = self.calls.iter().position(|known| known == call).ok_or(Fault::Name)?;
        Ok(Ticket(idx as u64))
    }

    fn name(&self, ticket: Ticket) -> &str {
        &self.calls[ticket.0 as usize]
    }

    fn arrive(
        &mut self,
        now: Moment,
        call: &str,
        importance: u8,
        left: Duration,
        paid: bool,
    ) -> Result<(), Fault> {
        let ticket = Ticket(self.calls.len() as u64);
        self.calls.push(call.to_owned());
        self.importances.insert(ticket, Importance(importance));
        // Later calls have the lower lot, so that equals give way from the last one on.
        let lot = u16::MAX - self.calls.len() as u16;
        let rank = Rank::at(Importance(importance), lot);
        let (age, rest) = (Duration::ZERO, Duration::from_millis(10));
        let arrival = Arrival { ticket, rank, age, left, min_latency: rest, begun: paid };
        match self.admission()?.arrive(now, arrival) {
            AdmissionVerdict::Admit => self.lines.push(format!("{call} runs")),
            AdmissionVerdict::Queue { evicted } => {
                self.lines.push(format!("{call} waits"));
                evicted.iter().for_each(|refusal| self.refused(refusal));
            }
            AdmissionVerdict::Refuse(refusal) => self.refused(&refusal),
        }
        Ok(())
    }

    fn released(&mut self, release: &Release) {
        for ticket in &release.start {
            let line = format!("{} runs", self.name(*ticket));
            self.lines.push(line);
        }
        release.refuse.iter().for_each(|refusal| self.refused(refusal));
    }

    fn refused(&mut self, refusal: &Refusal) {
        let name = self.name(refusal.ticket).to_owned();
        let label = refusal.kind.label();
        self.lines.push(format!("{name} is refused as not run ({label}), at once"));
        let lowest = self.admission.as_ref().and_then(Admission::lowest_queued);
        let own = self.importances[&refusal.ticket];
        if label == "overload" && lowest.is_some_and(|lowest| lowest < own) {
            self.lines.push(format!("{VIOLATION}: less important work waits"));
        }
    }
}
