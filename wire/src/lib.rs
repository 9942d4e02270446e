//! Messages and headers between processes: rmp-serde between nodes, JSON towards the platform.
//!
//! This crate holds shapes and codecs only; it opens no socket.

mod binding_text;
mod codec;
mod contract_parser;
mod contract_writer;
mod message;
mod quantity;

pub use codec::{CodecError, HANDOVER_LIMIT_BYTES, MESSAGE_LIMIT_BYTES, decode, encode};
pub use contract_parser::{ContractFileError, FILE_LIMIT_BYTES, parse_contract};
pub use contract_writer::format_contract;
pub use message::{
    Announcement, Answer, CallMeta, CallReply, CallRequest, RunStatusReply, RunStatusRequest,
    Sender, TargetBindingRequest,
};
pub use poplar_core::{ContractRecord, MemberRecord, MemberState};

pub use binding_text::{format_binding, parse_binding};

/// Names of the HTTP headers that callers, targets and nodes exchange.
pub mod header {
    /// Customer whose contract governs the call.
    pub const CUSTOMER: &str = "poplar-customer";
    /// Request class, by its name in the contract.
    pub const CLASS: &str = "poplar-class";
    /// Request id: 32 hexadecimal digits.
    pub const REQUEST_ID: &str = "poplar-request-id";
    /// Time left for the whole answer, in milliseconds.
    pub const DEADLINE: &str = "poplar-deadline-ms";
    /// Token that a target sends back with each further call it makes for a running request.
    pub const PARENT: &str = "poplar-parent";
    /// Binding of a once-only request, as the node handed it out.
    pub const BINDING: &str = "poplar-binding";
    /// `true` on the first send of a once-only request.
    pub const FIRST_SEND: &str = "poplar-first-send";
    /// Outcome: `done`, `not-run` or `unknown`.
    pub const OUTCOME: &str = "poplar-outcome";
    /// Label of the error kind.
    pub const ERROR: &str = "poplar-error";
    /// Time to come back, in milliseconds.
    pub const RETRY_AFTER: &str = "poplar-retry-after-ms";
    /// Target's signal `not-run`: it shed the request before it started it.
    pub const SHED: &str = "poplar-shed";
}
