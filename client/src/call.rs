//! Calls and answers of the client API.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{Name, RequestId};

/// Request that a caller sends to a deployment.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier of the request; every send carries the same one.
    pub request: RequestId,
    /// Customer whose contract governs the call.
    pub customer: Name,
    /// Request class, by its name in the contract.
    pub class: Name,
    /// Time, from the start of the call, within which the whole answer is useful.
    pub deadline: Duration,
    /// Largest number of sends, including the first. Sends that only obtained a binding, or whose
    /// binding came back unused, do not count.
    pub max_sends: u32,
    /// Request body, passed to the target unchanged.
    pub body: Bytes,
}

impl Call {
    /// Default of [`max_sends`](Self::max_sends).
    pub const DEFAULT_SENDS: u32 = 4;

    /// Creates a call of `class` with a random identifier and an empty body.
    pub fn new(customer: &str, class: &str, deadline: Duration) -> Self {
        Self {
            request: random_request_id(),
            customer: Name::new(customer),
            class: Name::new(class),
            deadline,
            max_sends: Self::DEFAULT_SENDS,
            body: Bytes::new(),
        }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the identifier, for a caller that keeps its own identifiers across restarts.
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request = request;
        self
    }
}

/// Whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status that the target returned.
    pub status: u16,
    /// Whole body that the target returned.
    pub body: Bytes,
}

/// Draws a random identifier; `RandomState` seeds its hash keys from the operating system's
/// randomness.
fn random_request_id() -> RequestId {
    let high = RandomState::new().hash_one(0_u8);
    let low = RandomState::new().hash_one(1_u8);
    RequestId((u128::from(high) << 64) | u128::from(low))
}
