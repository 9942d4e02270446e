//! The three outcomes of a call and the closed list of error kinds.
//!
//! A call that was given up on gets its final answer at once, with a time to come back. See
//! [outcomes](../../docs/design/outcomes.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<A> {
    /// The target ran the request and this is its whole answer, errors of its own included.
    Done(A),
    /// The request did not run and no copy of it will run.
    NotRun {
        /// Why it was refused.
        kind: ErrorKind,
        /// Time after which the caller may come back.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why nothing better is known.
        kind: ErrorKind,
    },
}

impl<A> Outcome<A> {
    /// Stable names of the outcome and of its error kind, which is empty if there is none.
    pub const fn labels(&self) -> (&'static str, &'static str) {
        match self {
            Self::Done(_) => ("done", ""),
            Self::NotRun { kind, .. } => ("not-run", kind.label()),
            Self::Unknown { kind } => ("unknown", kind.label()),
        }
    }
}

/// How a run at a target ended, as the node beside it saw it.
///
/// The outcome of the run follows from this alone. The outcomes of the calls that the run itself
/// made are answers to the target, and what it makes of them is in its own answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetResult<A> {
    /// No connection to the target came about, so it was handed nothing.
    NotConnected,
    /// The connection failed after some of the request was handed over.
    ConnectionLost,
    /// The wait ended at the deadline; the target was told to cancel.
    Deadline,
    /// The caller cancelled; the target was told so.
    Cancelled,
    /// The answer was cut short or malformed.
    BadAnswer,
    /// The answer is larger than the contract allows.
    TooLarge,
    /// The answer came whole.
    Answer {
        /// Answer, of whatever status.
        answer: A,
        /// Value of the target's shed header, if it sent one.
        shed: Option<String>,
        /// Number of calls that the run had made.
        calls: u32,
    },
}

/// Value of the shed header with which a target says that it did not start the request.
pub const SHED_NOT_RUN: &str = "not-run";

impl<A> TargetResult<A> {
    /// Outcome of the run; `retry_after` is what a shedding target's callers are told.
    ///
    /// A status of 503 alone is an answer: the target may have done half of the work before.
    pub fn outcome(self, retry_after: Duration) -> Outcome<A> {
        let unknown = |kind| Outcome::Unknown { kind };
        match self {
            Self::NotConnected => Outcome::NotRun { kind: ErrorKind::Connection, retry_after },
            Self::ConnectionLost => unknown(ErrorKind::Connection),
            Self::Deadline => unknown(ErrorKind::Deadline),
            Self::Cancelled => unknown(ErrorKind::Cancelled),
            Self::BadAnswer => unknown(ErrorKind::BadAnswer),
            Self::TooLarge => unknown(ErrorKind::AnswerTooLarge),
            Self::Answer { answer, shed, calls } => {
                if shed.as_deref() != Some(SHED_NOT_RUN) {
                    return Outcome::Done(answer);
                }
                if calls > 0 {
                    // It did start: it made calls.
                    return unknown(ErrorKind::BadAnswer);
                }
                Outcome::NotRun { kind: ErrorKind::Overload, retry_after }
            }
        }
    }
}

/// Every kind of error that a call can end with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request could not be read.
    BadRequest,
    /// The contract names no such customer, class or service.
    UnknownClass,
    /// A once-only call was made from a repeatable request.
    OnceInRepeatable,
    /// The node knows no contract yet.
    NoContract,
    /// No target of the service is known to take work.
    NoTarget,
    /// Admission refused the call in favour of others.
    Overload,
    /// The target or its node is leaving.
    Draining,
    /// The request crashed its targets and is not run again.
    CrashSuspect,
    /// The retry bound of the request is reached.
    RetriesSpent,
    /// The deadline passed.
    Deadline,
    /// The caller is gone or cancelled.
    Cancelled,
    /// A connection failed or went silent.
    Connection,
    /// The instance that alone could run the request is gone.
    BindingLost,
    /// A once-only call without a binding; it was not run, and a binding comes with the answer.
    BindingNeeded,
    /// The target's answer was not whole, or not the answer to this call.
    BadAnswer,
    /// The target's answer is larger than the contract allows.
    AnswerTooLarge,
}

/// How one error kind is told to a caller over HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorReply {
    /// HTTP status code.
    pub status: u16,
    /// Whether coming back later can help, so that the answer carries a time to do so.
    pub retryable: bool,
    /// One sentence for people.
    pub text: &'static str,
}

impl ErrorKind {
    /// Every kind, in the order of the table in the operators' page.
    pub const ALL: [Self; 16] = [
        Self::BadRequest,
        Self::UnknownClass,
        Self::OnceInRepeatable,
        Self::NoContract,
        Self::NoTarget,
        Self::Overload,
        Self::Draining,
        Self::CrashSuspect,
        Self::RetriesSpent,
        Self::Deadline,
        Self::Cancelled,
        Self::Connection,
        Self::BindingLost,
        Self::BindingNeeded,
        Self::BadAnswer,
        Self::AnswerTooLarge,
    ];

    /// The one table from error kind to answer.
    pub const fn reply(self) -> ErrorReply {
        let (status, retryable, text) = match self {
            Self::BadRequest => (400, false, "the request could not be read"),
            Self::UnknownClass => (404, false, "the contract names no such class"),
            Self::OnceInRepeatable => {
                (409, false, "a once-only call may not be made from a repeatable request")
            }
            Self::NoContract => (503, true, "no contract is known here yet"),
            Self::NoTarget => (503, true, "no target of the service takes work"),
            Self::Overload => (503, true, "refused in favour of other work"),
            Self::Draining => (503, true, "the target is leaving"),
            Self::CrashSuspect => (422, false, "the request crashed its targets"),
            Self::RetriesSpent => (429, false, "the retries of the request are spent"),
            Self::Deadline => (504, true, "the deadline passed"),
            Self::Cancelled => (499, false, "the caller is gone"),
            Self::Connection => (502, true, "a connection failed"),
            Self::BindingLost => (410, false, "the instance that held the request is gone"),
            Self::BindingNeeded => (428, true, "send the request again with this binding"),
            Self::BadAnswer => (502, false, "the target's answer was not whole"),
            Self::AnswerTooLarge => (502, false, "the answer is larger than the contract allows"),
        };
        ErrorReply { status, retryable, text }
    }

    /// Stable name of the kind in headers, metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::UnknownClass => "unknown-class",
            Self::OnceInRepeatable => "once-in-repeatable",
            Self::NoContract => "no-contract",
            Self::NoTarget => "no-target",
            Self::Overload => "overload",
            Self::Draining => "draining",
            Self::CrashSuspect => "crash-suspect",
            Self::RetriesSpent => "retries-spent",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Connection => "connection",
            Self::BindingLost => "binding-lost",
            Self::BindingNeeded => "binding-needed",
            Self::BadAnswer => "bad-answer",
            Self::AnswerTooLarge => "answer-too-large",
        }
    }
}
