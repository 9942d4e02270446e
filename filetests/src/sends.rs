//! Sessions of kind `sends`: a connection that stops responding, and the query over a new one for
//! the status of the sends on the old one.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    AttemptId, AttemptLimits, AttemptLog, Incarnation, Moment, Outcome, RequestId, RunStatus,
    RunVerdict, SenderId,
};

use crate::{LineError, Session, VIOLATION, parse_number};

const LIMITS: AttemptLimits =
    AttemptLimits { senders: 4, sends: 64, retention: Duration::from_secs(10) };
const REQUEST: RequestId = RequestId(1);

/// Interpreter for the node of one caller and the node of one target.
#[derive(Default)]
pub(crate) struct SendsSession {
    /// Current incarnation of the target's node.
    incarnation: u64,
    log: Option<AttemptLog<String>>,
    /// Number of runs by attempt.
    runs: BTreeMap<u64, u32>,
    /// Attempts for which a query returned that they did not run.
    refused: Vec<u64>,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Session for SendsSession {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        match words {
            ["start", "target"] => {
                self.incarnation += 1;
                self.log = Some(AttemptLog::new(Incarnation(self.incarnation), LIMITS));
                self.lines.push(format!("the target's node is incarnation {}", self.incarnation));
            }
            ["arrive", attempt] => self.arrive(now, parse_number(attempt)?)?,
            ["finish", attempt, answer] => {
                let attempt = AttemptId(parse_number(attempt)?);
                let done = Outcome::Done((*answer).to_owned());
                self.log()?.finish(now, &sender(), attempt, done);
            }
            ["silent", attempt] => {
                let text = "on a connection that went silent";
                self.lines.push(format!("send {attempt} or its answer is {text}"));
            }
            ["ask", attempt, "of", incarnation] => {
                self.query(now, parse_number(attempt)?, parse_number(incarnation)?)?;
            }
            _ => return Err(LineError::InvalidCommand),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        for (attempt, runs) in &self.runs {
            self.lines.push(format!("send {attempt}: {runs} runs"));
            if self.refused.contains(attempt) || *runs > 1 {
                self.lines.push(format!(
                    "{VIOLATION}: send {attempt} ran twice or after a not-run answer"
                ));
            }
        }
        std::mem::take(&mut self.lines)
    }
}

fn sender() -> SenderId {
    SenderId { instance: "caller".into(), incarnation: Incarnation(1) }
}

impl SendsSession {
    fn log(&mut self) -> Result<&mut AttemptLog<String>, LineError> {
        self.log.as_mut().ok_or(LineError::InvalidState)
    }

    fn arrive(&mut self, now: Moment, attempt: u64) -> Result<(), LineError> {
        match self.log()?.begin(now, &sender(), REQUEST, AttemptId(attempt)) {
            RunVerdict::Run => {
                *self.runs.entry(attempt).or_default() += 1;
                self.lines.push(format!("send {attempt} arrives and runs"));
            }
            RunVerdict::Known(status) => {
                let text = describe(&status);
                self.lines.push(format!("send {attempt} arrives and is not run: {text}"));
            }
        }
        Ok(())
    }

    fn query(&mut self, now: Moment, attempt: u64, incarnation: u64) -> Result<(), LineError> {
        let (attempt_id, sent_to) = (AttemptId(attempt), Incarnation(incarnation));
        let status = self.log()?.query(now, &sender(), REQUEST, attempt_id, sent_to);
        if matches!(status, RunStatus::NotRun(_)) {
            self.refused.push(attempt);
        }
        self.lines.push(format!("what became of send {attempt}: {}", describe(&status)));
        Ok(())
    }
}

fn describe(status: &RunStatus<String>) -> String {
    match status {
        RunStatus::Running => "running, wait".to_owned(),
        RunStatus::Done(answer) => format!("done ({answer})"),
        RunStatus::NotRun(kind) => format!("not run ({})", kind.label()),
        RunStatus::Unknown(kind) => format!("unknown ({})", kind.label()),
    }
}
