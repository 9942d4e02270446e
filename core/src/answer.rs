//! Whole answers only: a short, late, swapped or repeated answer is never forwarded.
//!
//! An [`Exchange`] follows one connection. It can carry a call only while it is idle, and it
//! is used up by everything that leaves doubt about what the next bytes on the connection belong
//! to: no function gives it back then, so the connection can only be closed. See
//! [outcomes](../../docs/design/outcomes.md).

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AttemptId, RequestId};
use crate::outcome::ErrorKind;

/// What travels with the body of an answer between two nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Call that the body answers.
    pub request: RequestId,
    /// Send of the call that the body answers.
    pub attempt: AttemptId,
    /// HTTP status of the target.
    pub status: u16,
    /// Length of the body, in bytes.
    pub length: u64,
    /// Hash over all fields above and the body.
    pub checksum: u64,
}

impl AnswerHead {
    /// Head for `body`, made by the node beside the target that gave it.
    pub fn for_body(request: RequestId, attempt: AttemptId, status: u16, body: &[u8]) -> Self {
        let length = body.len() as u64;
        let head = Self { request, attempt, status, length, checksum: 0 };
        Self { checksum: head.hash(body), ..head }
    }

    /// The head is hashed with the body, so that a whole body under another call's head differs.
    fn hash(&self, body: &[u8]) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.request.0.to_le_bytes());
        hasher.update(&self.attempt.0.to_le_bytes());
        hasher.update(&self.status.to_le_bytes());
        hasher.update(&self.length.to_le_bytes());
        hasher.update(body);
        hasher.digest()
    }
}

/// Send that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expected {
    /// Call that was sent.
    pub request: RequestId,
    /// Send of the call.
    pub attempt: AttemptId,
    /// Largest body that the contract allows, in bytes.
    pub max_length: u64,
}

/// Why an answer is not forwarded. The connection it came on must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// It answers another call.
    #[error("answer to another request")]
    WrongRequest,
    /// It answers another send of the same call.
    #[error("answer to another attempt")]
    WrongAttempt,
    /// Its body is shorter or longer than its head says.
    #[error("body of {found} bytes, expected {expected}")]
    Length {
        /// Length in the head, in bytes.
        expected: u64,
        /// Length of the body, in bytes.
        found: u64,
    },
    /// Head and body do not belong together.
    #[error("checksum differs")]
    Checksum,
    /// It is larger than the contract allows.
    #[error("answer is larger than the contract allows")]
    TooLarge,
    /// It came when no call was waiting.
    #[error("answer without a call")]
    Unsolicited,
    /// The wait for it ended before it came.
    #[error("answer was given up")]
    Abandoned,
}

impl AnswerError {
    /// Error kind that the caller is told, with the outcome `Unknown`.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::TooLarge => ErrorKind::AnswerTooLarge,
            Self::Abandoned => ErrorKind::Deadline,
            _ => ErrorKind::BadAnswer,
        }
    }
}

/// Body that was found whole and to belong to the call that waited for it.
///
/// Only [`Exchange::accept`] makes one, so what is forwarded was checked.
#[derive(Debug, PartialEq, Eq)]
pub struct VerifiedAnswer<B> {
    status: u16,
    body: B,
}

impl<B> VerifiedAnswer<B> {
    /// HTTP status of the target.
    pub const fn status(&self) -> u16 {
        self.status
    }

    /// Body as the target gave it.
    pub fn into_body(self) -> B {
        self.body
    }
}

/// State of an exchange with no call out: the connection may be reused.
#[derive(Debug, Default)]
pub struct Idle;

/// State of an exchange whose call waits for its answer.
#[derive(Debug)]
pub struct Waiting(Expected);

/// Use of one connection by one call after another.
#[derive(Debug, Default)]
pub struct Exchange<S> {
    state: S,
}

impl Exchange<Idle> {
    /// Exchange on a new connection.
    pub const fn new() -> Self {
        Self { state: Idle }
    }

    /// Starts to wait for the answer to a send.
    pub const fn begin(self, expected: Expected) -> Exchange<Waiting> {
        Exchange { state: Waiting(expected) }
    }

    /// Takes note of bytes that came unasked, such as a repeated answer.
    pub fn unsolicited(self) -> AnswerError {
        AnswerError::Unsolicited
    }
}

impl Exchange<Waiting> {
    /// Takes in the answer, and gives the exchange back for reuse only if the answer is whole and
    /// the one expected.
    pub fn accept<B: AsRef<[u8]>>(
        self,
        head: &AnswerHead,
        body: B,
    ) -> Result<(VerifiedAnswer<B>, Exchange<Idle>), AnswerError> {
        self.state.0.check(head, body.as_ref())?;
        Ok((VerifiedAnswer { status: head.status, body }, Exchange::new()))
    }

    /// Ends the wait without an answer; the answer may still come, so the exchange is not given
    /// back.
    pub fn abandon(self) -> AnswerError {
        AnswerError::Abandoned
    }
}

impl Expected {
    fn check(&self, head: &AnswerHead, body: &[u8]) -> Result<(), AnswerError> {
        if head.request != self.request {
            return Err(AnswerError::WrongRequest);
        }
        if head.attempt != self.attempt {
            return Err(AnswerError::WrongAttempt);
        }
        let (expected, found) = (head.length, body.len() as u64);
        if expected != found {
            return Err(AnswerError::Length { expected, found });
        }
        if found > self.max_length {
            return Err(AnswerError::TooLarge);
        }
        if head.checksum != head.hash(body) {
            return Err(AnswerError::Checksum);
        }
        Ok(())
    }
}
