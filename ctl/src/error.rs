//! Errors that end a command, with their exit codes.

use std::io;

use poplar_core::{ContractError, Name, PublishResult};
use poplar_wire::ContractFileError;

/// Error that ends a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The file is not a valid contract; `fault` names the line and what is allowed there.
    #[error("{file}: {fault}")]
    Contract { file: String, fault: ContractFileError },
    /// The classes of a contract contradict each other.
    #[error(transparent)]
    InconsistentClasses(#[from] ContractError),
    /// The contract file could not be read.
    #[error("{file}: {source}")]
    File { file: String, source: io::Error },
    /// The publication was not accepted, or its result is not known; `last_error` is the last error
    /// of the log or a node during the command.
    #[error("{result}{}", cause(last_error.as_deref()))]
    NotPublished { result: PublishResult, last_error: Option<Box<Self>> },
    /// A request to the log or a node failed: no connection, no answer in time, an error status, or
    /// an incomplete or too large answer.
    #[error("{address}: {reason}")]
    Unreachable { address: String, reason: String },
    /// The customer has no contract in force, according to the log or node that was read.
    #[error("customer {customer} has no contract in force")]
    NoContract { customer: Name },
    /// The answer of the log or a node is not the JSON document that this version expects.
    #[error("{address}: unexpected answer: {reason}")]
    UnexpectedAnswer { address: String, reason: String },
    /// The oldest records of the log expired and no snapshot covers them, so the contracts in force
    /// cannot be determined.
    #[error("{address}: the oldest records expired and no snapshot covers them")]
    Expired { address: String },
    /// A `--target` option names a service that the contract lacks.
    #[error("--target: the contract has no service {service}")]
    UnknownService { service: Name },
    /// Writing to standard output failed.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// Exit code of the command; `poplarctl --help` lists the codes.
    pub(crate) const fn code(&self) -> u8 {
        match self {
            Self::Output(_) | Self::UnknownService { .. } => 1,
            Self::Contract { .. } | Self::InconsistentClasses(_) | Self::File { .. } => 2,
            Self::NotPublished { result, .. } => match result {
                PublishResult::Accepted { .. } => 0,
                PublishResult::Refused(_) => 2,
                PublishResult::Superseded { .. } | PublishResult::UnknownBase { .. } => 3,
                PublishResult::NotSent => 4,
                PublishResult::NotConfirmed | PublishResult::TooOld { .. } => 5,
            },
            Self::Unreachable { .. } | Self::UnexpectedAnswer { .. } | Self::Expired { .. } => 4,
            Self::NoContract { .. } => 6,
        }
    }
}

/// Formats the last error in brackets, or nothing if there was none.
fn cause(last_error: Option<&CtlError>) -> String {
    last_error.map(|error| format!(" ({error})")).unwrap_or_default()
}
