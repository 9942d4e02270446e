//! Golden files of whole sessions: each holds a script and the trace that `poplar-core` produces
//! when the script runs on a simulated clock.
//!
//! One file is one session. Lines that start with `#` are comments, `session KIND` selects the
//! interpreter, a line `TIME COMMAND` is a step, and the indented lines below a step are its trace:
//! the decisions of `poplar-core`. [`replay`] regenerates the file; the test compares the result
//! with the file on disk, and `POPLAR_BLESS=1` makes the test overwrite the file. See
//! [golden sessions](../../docs/design/golden-sessions.md).

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

/// Prefix of a trace line that reports a violated invariant; no golden file may contain it.
pub const VIOLATION: &str = "VIOLATION";

/// Error in a line of a script, at which the replay stopped.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {error}: {text}")]
pub struct ScriptError {
    /// Line number, starting at one.
    pub line: usize,
    /// Why the line was rejected.
    pub error: LineError,
    /// Full text of the line.
    pub text: String,
}

/// Reason why a line of a script is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The interpreter has no command of this form, or an argument is not a valid number.
    #[error("unknown command or invalid arguments")]
    InvalidCommand,
    /// The command refers to a node, call, request or other item that does not exist.
    #[error("the command refers to a name that does not exist in the session")]
    UnknownName,
    /// The command is valid, but not in the current state of the session.
    #[error("the command is not allowed in the current state of the session")]
    InvalidState,
    /// The time of the step, or a duration in its command, is not of the form `250ms` or `3s`.
    #[error("invalid time: expected a whole number with the unit ms or s, such as 250ms or 3s")]
    InvalidTime,
    /// The time is before that of the previous step.
    #[error("the time of the step is before that of the previous step")]
    TimeReversed,
    /// The first step comes before `session KIND`, or the kind is unknown.
    #[error("unknown kind of session, or a step before the line `session KIND`")]
    UnknownSession,
}

/// Interpreter of one kind of session.
trait Session {
    /// Executes one step and returns its trace lines. `words` is the command without the time.
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError>;

    /// Returns the trace lines at the end of the session: totals, and violated invariants.
    fn end(&mut self) -> Vec<String>;
}

/// Creates the interpreter for the line `session KIND`.
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

/// Replays the script in `text` and returns the file with a newly generated trace.
///
/// The trace that `text` contains is ignored.
///
/// # Errors
///
/// Returns the first line that is invalid or whose step cannot be executed.
pub fn replay(text: &str) -> Result<String, ScriptError> {
    let mut replay = Replay { session: None, now: Moment::default(), out: String::new() };
    for (idx, line) in text.lines().enumerate() {
        let error = |error| ScriptError { line: idx + 1, error, text: line.to_owned() };
        replay.process_line(line).map_err(error)?;
    }
    replay.end();
    Ok(replay.out)
}

/// Replay in progress.
struct Replay {
    session: Option<Box<dyn Session>>,
    /// Time of the last step.
    now: Moment,
    /// Regenerated file so far.
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

/// Parses a duration in whole milliseconds or seconds, such as `250ms` or `3s`.
fn parse_duration(text: &str) -> Result<Duration, LineError> {
    let parse = |digits: &str| digits.parse().map_err(|_| LineError::InvalidTime);
    if let Some(digits) = text.strip_suffix("ms") {
        return parse(digits).map(Duration::from_millis);
    }
    let digits = text.strip_suffix('s').ok_or(LineError::InvalidTime)?;
    parse(digits).map(Duration::from_secs)
}

/// Parses a numeric argument of a command.
fn parse_number<N: std::str::FromStr>(text: &str) -> Result<N, LineError> {
    text.parse().map_err(|_| LineError::InvalidCommand)
}
