//! Verification of answers: a truncated, late, swapped or repeated answer is never forwarded.
//!
//! An [`Exchange`] is the state of one connection. It can start a call only while it is idle. Any
//! event after which it is unclear which call the next bytes on the connection belong to consumes
//! the exchange without returning it, so the connection can only be closed. See
//! [outcomes](../../docs/design/outcomes.md).

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{AttemptId, RequestId};
use crate::outcome::ErrorKind;

/// Header that is sent with the body of an answer between two nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Call that the body answers.
    pub request: RequestId,
    /// Send of the call that the body answers.
    pub attempt: AttemptId,
    /// HTTP status code that the target returned.
    pub status: u16,
    /// Length of the body, in bytes.
    pub length: u64,
    /// XXH3 hash of all fields above and the body.
    pub checksum: u64,
}

impl AnswerHead {
    /// Creates the head for `body`; called by the node of the target that returned the body.
    pub fn for_body(request: RequestId, attempt: AttemptId, status: u16, body: &[u8]) -> Self {
        let length = body.len() as u64;
        let head = Self { request, attempt, status, length, checksum: 0 };
        Self { checksum: head.hash(body), ..head }
    }

    /// Hashes the head together with the body, so that a complete body under the head of another
    /// call is detected.
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

/// Send whose answer is awaited, and the largest body accepted for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expected {
    /// Call that was sent.
    pub request: RequestId,
    /// Which send of the call.
    pub attempt: AttemptId,
    /// Length of the largest body that the contract allows, in bytes.
    pub max_length: u64,
}

/// Why an answer is not forwarded. The connection on which it arrived must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// The answer belongs to another call.
    #[error("answer to another request")]
    WrongRequest,
    /// The answer belongs to another send of the same call.
    #[error("answer to another attempt")]
    WrongAttempt,
    /// The body is shorter or longer than the head states.
    #[error("body of {found} bytes, expected {expected}")]
    Length {
        /// Length in the head, in bytes.
        expected: u64,
        /// Length of the received body, in bytes.
        found: u64,
    },
    /// The checksum in the head differs from that of the received head and body.
    #[error("checksum differs")]
    Checksum,
    /// The body is larger than the contract allows.
    #[error("answer is larger than the contract allows")]
    TooLarge,
    /// The answer arrived while no call was waiting for one.
    #[error("answer without a call")]
    Unsolicited,
    /// The caller stopped waiting before an answer arrived.
    #[error("answer was given up")]
    Abandoned,
}

impl AnswerError {
    /// Error kind that is reported to the caller, with the outcome `Unknown`.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::TooLarge => ErrorKind::AnswerTooLarge,
            Self::Abandoned => ErrorKind::Deadline,
            _ => ErrorKind::BadAnswer,
        }
    }
}

/// Complete answer that was verified to belong to the call that waited for it.
///
/// Only [`Exchange::accept`] creates one, so an unverified answer can't be forwarded.
#[derive(Debug, PartialEq, Eq)]
pub struct VerifiedAnswer<B> {
    status: u16,
    body: B,
}

impl<B> VerifiedAnswer<B> {
    /// HTTP status code that the target returned.
    pub const fn status(&self) -> u16 {
        self.status
    }

    /// Body as the target returned it.
    pub fn into_body(self) -> B {
        self.body
    }
}

/// State of an exchange without a pending call; the connection may be reused.
#[derive(Debug, Default)]
pub struct Idle;

/// State of an exchange whose call is waiting for its answer.
#[derive(Debug)]
pub struct Waiting(Expected);

/// Sequence of calls over one connection, one at a time; `S` is [`Idle`] or [`Waiting`].
#[derive(Debug, Default)]
pub struct Exchange<S> {
    state: S,
}

impl Exchange<Idle> {
    /// Creates the exchange of a new connection.
    pub const fn new() -> Self {
        Self { state: Idle }
    }

    /// Starts waiting for the answer to a send.
    pub const fn begin(self, expected: Expected) -> Exchange<Waiting> {
        Exchange { state: Waiting(expected) }
    }

    /// Ends the exchange because bytes arrived while no call was pending, such as a repeated
    /// answer.
    pub fn unsolicited(self) -> AnswerError {
        AnswerError::Unsolicited
    }
}

impl Exchange<Waiting> {
    /// Verifies an answer, and returns it with the exchange, so that the connection can be reused.
    ///
    /// # Errors
    ///
    /// Returns an error and no exchange if the answer is incomplete, too large or not the expected
    /// one.
    pub fn accept<B: AsRef<[u8]>>(
        self,
        head: &AnswerHead,
        body: B,
    ) -> Result<(VerifiedAnswer<B>, Exchange<Idle>), AnswerError> {
        self.state.0.check(head, body.as_ref())?;
        Ok((VerifiedAnswer { status: head.status, body }, Exchange::new()))
    }

    /// Stops waiting. The answer may still arrive, so the exchange is not returned for reuse.
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
