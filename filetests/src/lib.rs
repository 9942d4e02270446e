//! Golden files of whole sessions: a script and the trace of the real `core` on a fake clock.
//!
//! One file is one session. Lines that start with `#` are for the reader, `session KIND` names the
//! interpreter, a line `TIME COMMAND` is a step, and the indented lines below a step are what
//! `poplar-core` decided. [`replay`] writes the file anew; the test compares it with the old one
//! and `POPLAR_BLESS=1` overwrites it. See [golden sessions](../../docs/design/golden-sessions.md).

mod admission;
mod answers;
mod budget;
mod contracts;
mod members;
mod once;
mod sends;
mod suspects;

use std::time::Duration;

use poplar_core::Moment;

/// Marks a line that breaks what must always hold; no golden file may contain it.
pub const VIOLATION: &str = "VIOLATION";

/// Why a script could not be replayed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {error}: {text}")]
pub struct ScriptError {
    /// Number of the line, from one.
    pub line: usize,
    /// What is wrong with it.
    pub error: LineError,
    /// The line.
    pub text: String,
}

/// What is wrong with a line of a script.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The interpreter has no such command, or not with these words.
    #[error("no such command")]
    InvalidCommand,
    /// The command names something that is not there.
    #[error("no such name")]
    UnknownName,
    /// The command cannot be carried out in this state.
    #[error("not possible now")]
    InvalidState,
    /// The line does not start with a time such as `250ms` or `3s`.
    #[error("no time")]
    InvalidTime,
    /// The time is before that of the last step.
    #[error("time goes back")]
    TimeReversed,
    /// The first step comes before `session KIND`, or the kind is unknown.
    #[error("no such kind of session")]
    UnknownSession,
}

/// Interpreter of one kind of session.
trait Session {
    /// Carries one step out and says, line by line, what was decided.
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError>;

    /// Lines at the end of the session: sums, and what must always hold.
    fn end(&mut self) -> Vec<String>;
}

fn new_session(kind: &str) -> Result<Box<dyn Session>, LineError> {
    match kind {
        "admission" => Ok(Box::new(admission::AdmissionSession::default())),
        "answers" => Ok(Box::new(answers::AnswersSession::default())),
        "budget" => Ok(Box::new(budget::BudgetSession::default())),
        "contracts" => Ok(Box::new(contracts::ContractsSession::default())),
        "members" => Ok(Box::new(members::MembersSession::default())),
        "once" => Ok(Box::new(once::OnceSession::default())),
        "sends" => Ok(Box::new(sends::SendsSession::default())),
        "suspects" => Ok(Box::new(suspects::SuspectsSession::default())),
        _ => Err(LineError::UnknownSession),
    }
}

/// Replays a session and returns its file with the trace as it is now.
pub fn replay(text: &str) -> Result<String, ScriptError> {
    let mut replay = Replay { session: None, now: Moment::default(), out: String::new() };
    for (idx, line) in text.lines().enumerate() {
        let error = |fault| ScriptError { line: idx + 1, error: fault, text: line.to_owned() };
        replay.process_line(line).map_err(error)?;
    }
    replay.end();
    Ok(replay.out)
}

/// Session under way, with the file as written so far.
struct Replay {
    session: Option<Box<dyn Session>>,
    now: Moment,
    out: String,
}

impl Replay {
    fn process_line(&mut self, line: &str) -> Result<(), LineError> {
        if line.starts_with(' ') || line == "end" {
            return Ok(());
        }
        self.out.push_str(line);
        self.out.push('\n');
        if line.is_empty() || line.starts_with('#') {
            return Ok(());
        }
        if let Some(kind) = line.strip_prefix("session ") {
            self.session = Some(new_session(kind)?);
            return Ok(());
        }
        self.run_step(line)
    }

    fn run_step(&mut self, line: &str) -> Result<(), LineError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (time, command) = words.split_first().ok_or(LineError::InvalidCommand)?;
        let at = Moment::default() + parse_duration(time)?;
        if at < self.now {
            return Err(LineError::TimeReversed);
        }
        self.now = at;
        let session = self.session.as_mut().ok_or(LineError::UnknownSession)?;
        let lines = session.step(at, command)?;
        self.push_indented(lines);
        Ok(())
    }

    fn end(&mut self) {
        let lines = self.session.as_mut().map(|session| session.end()).unwrap_or_default();
        self.out.push_str("end\n");
        self.push_indented(lines);
    }

    fn push_indented(&mut self, lines: Vec<String>) {
        for line in lines {
            self.out.push_str("    ");
            self.out.push_str(&line);
            self.out.push('\n');
        }
    }
}

/// Duration from its text, such as `250ms` or `3s`.
fn parse_duration(text: &str) -> Result<Duration, LineError> {
    let parse = |digits: &str| digits.parse().map_err(|_| LineError::InvalidTime);
    if let Some(digits) = text.strip_suffix("ms") {
        return parse(digits).map(Duration::from_millis);
    }
    let digits = text.strip_suffix('s').ok_or(LineError::InvalidTime)?;
    parse(digits).map(Duration::from_secs)
}

/// Number from its text.
fn parse_number<N: std::str::FromStr>(text: &str) -> Result<N, LineError> {
    text.parse().map_err(|_| LineError::InvalidCommand)
}
