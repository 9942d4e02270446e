//! Sessions of a connection that goes silent, and of the question asked on a new one.

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

/// Session of one caller's node and one target's node.
#[derive(Default)]
pub(crate) struct SendsSession {
    incarnation: u64,
    log: Option<AttemptLog<String>>,
    runs: BTreeMap<u64, u32>,
    refused: Vec<u64>,
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
                self.lines.push(format!("{VIOLATION}: send {attempt} must not have run"));
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
            RunVerdict::Known(fate) => {
                let text = describe(&fate);
                self.lines.push(format!("send {attempt} arrives and is not run: {text}"));
            }
        }
        Ok(())
    }

    fn query(&mut self, now: Moment, attempt: u64, incarnation: u64) -> Result<(), LineError> {
        let (number, sent_to) = (AttemptId(attempt), Incarnation(incarnation));
        let fate = self.log()?.query(now, &sender(), REQUEST, number, sent_to);
        if matches!(fate, RunStatus::NotRun(_)) {
            self.refused.push(attempt);
        }
        self.lines.push(format!("what became of send {attempt}: {}", describe(&fate)));
        Ok(())
    }
}

fn describe(fate: &RunStatus<String>) -> String {
    match fate {
        RunStatus::Running => "running, wait".to_owned(),
        RunStatus::Done(answer) => format!("done ({answer})"),
        RunStatus::NotRun(kind) => format!("not run ({})", kind.label()),
        RunStatus::Unknown(kind) => format!("unknown ({})", kind.label()),
    }
}
