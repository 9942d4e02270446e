//! A call and its answer as the caller sees them.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{Name, RequestId};

/// Request to a deployment.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier; every send of this request carries the same one.
    pub request: RequestId,
    /// Customer whose contract governs the call.
    pub customer: Name,
    /// Class, by its name in the contract.
    pub class: Name,
    /// Time within which the whole answer is of use.
    pub deadline: Duration,
    /// Largest number of sends, the first included.
    pub max_sends: u32,
    /// Body for the target.
    pub body: Bytes,
}

impl Call {
    /// Sends that a call makes unless it says otherwise.
    pub const DEFAULT_SENDS: u32 = 4;

    /// Call of `class` with a fresh identifier and an empty body.
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

    /// The same call with this body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// The same call with this identifier, for a caller that keeps its own across restarts.
    pub fn with_request(mut self, request: RequestId) -> Self {
        self.request = request;
        self
    }
}

/// Whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status of the target.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Identifier from the operating system's randomness, by way of the hasher's keys.
fn random_request_id() -> RequestId {
    let high = RandomState::new().hash_one(0_u8);
    let low = RandomState::new().hash_one(1_u8);
    RequestId((u128::from(high) << 64) | u128::from(low))
}
