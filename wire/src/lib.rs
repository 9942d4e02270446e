//! Messages and headers between processes: MessagePack between nodes, JSON towards the platform.
//!
//! This crate only defines message types and codecs; it opens no socket.

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
    /// Time left until the whole answer must have arrived, in milliseconds.
    pub const DEADLINE: &str = "poplar-deadline-ms";
    /// Token of a running request; the target echoes it in its answer and in each call that it
    /// makes for the request.
    pub const PARENT: &str = "poplar-parent";
    /// Binding of a once-only request; a caller returns it exactly as the node issued it.
    pub const BINDING: &str = "poplar-binding";
    /// `true` if no earlier send of the request can have run, as on its first send, else `false`.
    pub const FIRST_SEND: &str = "poplar-first-send";
    /// Outcome: `done`, `not-run` or `unknown`.
    pub const OUTCOME: &str = "poplar-outcome";
    /// Label of the error kind of an outcome other than `done`.
    pub const ERROR: &str = "poplar-error";
    /// Time after which the caller may send the request again, in milliseconds.
    pub const RETRY_AFTER: &str = "poplar-retry-after-ms";
    /// Set by a target, with value `not-run`, if it shed the request before starting it.
    pub const SHED: &str = "poplar-shed";
}
