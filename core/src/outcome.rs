//! The three outcomes of a call and the complete list of error kinds.
//!
//! A call for which the node stops trying gets its final answer immediately, with a retry delay.
//! See [outcomes](../../docs/design/outcomes.md).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Final outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<A> {
    /// The target ran the request; this is its complete answer, including errors that the target
    /// itself reported.
    Done(A),
    /// The request did not run and no copy of it will run.
    NotRun {
        /// Why it was refused.
        kind: ErrorKind,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is not known.
        kind: ErrorKind,
    },
}

impl<A> Outcome<A> {
    /// Stable names of the outcome and of its error kind; the second is empty for `Done`.
    pub const fn labels(&self) -> (&'static str, &'static str) {
        match self {
            Self::Done(_) => ("done", ""),
            Self::NotRun { kind, .. } => ("not-run", kind.label()),
            Self::Unknown { kind } => ("unknown", kind.label()),
        }
    }
}

/// How a run at a target ended, as observed by the target's node.
///
/// It alone determines the outcome of the run. The outcomes of calls that the run made were
/// returned to the target, whose own answer reflects them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetResult<A> {
    /// No connection to the target could be established, so it received nothing.
    NotConnected,
    /// The connection failed after part of the request may have been sent.
    ConnectionLost,
    /// The deadline passed; the target was asked to cancel.
    Deadline,
    /// The caller cancelled; the target was asked to cancel.
    Cancelled,
    /// The answer was truncated or malformed.
    BadAnswer,
    /// The answer is larger than the contract allows.
    TooLarge,
    /// The complete answer arrived.
    Answer {
        /// Answer, with any HTTP status.
        answer: A,
        /// Value of the shed header, if the target sent one.
        shed: Option<String>,
        /// Number of calls that the run had made.
        calls: u32,
    },
}

/// Whether a target may end an exchange with this HTTP status.
///
/// Statuses from 100 to 199 announce another one, and HTTP has none beyond 599. A caller cannot know
/// what such a status says about its request.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Value of the shed header with which a target reports that it did not start the request.
pub const SHED_NOT_RUN: &str = "not-run";

impl<A> TargetResult<A> {
    /// Outcome of the run; `retry_after` is the retry delay if the outcome is not run.
    ///
    /// An answer with status 503 but without the shed header counts as `Done`, because the target
    /// may have done part of the work before it failed. A shed header on a run that made calls is
    /// not valid, since the run did start.
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
                    // A run that made calls did start.
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
    /// The request could not be parsed.
    BadRequest,
    /// The contract contains no such customer, class or service.
    UnknownClass,
    /// A once-only call was made from a repeatable request.
    OnceInRepeatable,
    /// The node has received no contract yet.
    NoContract,
    /// No target of the service is known that accepts work.
    NoTarget,
    /// Admission refused the call in favour of others.
    Overload,
    /// The target or its node is shutting down.
    Draining,
    /// The request crashed the targets that ran it and is not run again.
    CrashSuspect,
    /// The request has used up its retries.
    RetriesSpent,
    /// The deadline passed.
    Deadline,
    /// The caller disconnected or cancelled.
    Cancelled,
    /// A connection failed or became unresponsive.
    Connection,
    /// The incarnation that alone could run the request is gone, or no longer holds its record.
    BindingLost,
    /// A once-only call carried no binding, or one from a closed window. It was not run; the
    /// answer carries a binding to use.
    BindingNeeded,
    /// The target's answer was incomplete, or was not the answer to this call.
    BadAnswer,
    /// The target's answer is larger than the contract allows.
    AnswerTooLarge,
    /// The request carries no key, or one that belongs to no workspace.
    UnknownKey,
    /// The workspace of the request has used up its rate limit.
    WorkspaceLimit,
}

/// HTTP answer for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorReply {
    /// HTTP status code.
    pub status: u16,
    /// Whether a later retry may succeed, so that the answer carries a retry delay.
    pub retryable: bool,
    /// Human-readable message.
    pub text: &'static str,
}

impl ErrorKind {
    /// All kinds, in the order of the table in the operators' documentation.
    pub const ALL: [Self; 18] = [
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
        Self::UnknownKey,
        Self::WorkspaceLimit,
    ];

    /// HTTP answer for this kind.
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
            Self::UnknownKey => (401, false, "the request carries no valid key"),
            Self::WorkspaceLimit => (429, true, "the workspace exceeds its rate limit"),
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
            Self::UnknownKey => "unknown-key",
            Self::WorkspaceLimit => "workspace-limit",
        }
    }
}
