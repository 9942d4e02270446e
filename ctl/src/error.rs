//! Everything that can end a command early, with its exit code.

use std::io;

use poplar_core::{ContractError, Name, PublishResult};
use poplar_wire::ContractFileError;

/// Why a command did not do what it was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The contract file was refused.
    #[error("{file}: {fault}")]
    Contract { file: String, fault: ContractFileError },
    /// The classes of a contract contradict each other.
    #[error(transparent)]
    InconsistentClasses(#[from] ContractError),
    /// The contract file could not be read.
    #[error("{file}: {source}")]
    File { file: String, source: io::Error },
    /// The contract is not in force, or nothing says whether it is.
    #[error("{result}{}", cause(last_error.as_deref()))]
    NotPublished { result: PublishResult, last_error: Option<Box<Self>> },
    /// The log or a node cannot be reached.
    #[error("{address}: {reason}")]
    Unreachable { address: String, reason: String },
    /// The log or a node holds no contract of the customer.
    #[error("customer {customer} has no contract here")]
    NoContract { customer: Name },
    /// The answer of a log or node is not what this version understands.
    #[error("{address}: unexpected answer: {reason}")]
    UnexpectedAnswer { address: String, reason: String },
    /// Records expired and no snapshot covers them.
    #[error("{address}: the oldest records expired and no snapshot covers them")]
    Expired { address: String },
    /// The contract lacks a service that was asked about.
    #[error("--target: the contract has no service {service}")]
    UnknownService { service: Name },
    /// Standard output cannot be written to.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// Exit code of the command; the table stands in `poplarctl --help`.
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

/// Last error on the way, in brackets.
fn cause(trouble: Option<&CtlError>) -> String {
    trouble.map(|error| format!(" ({error})")).unwrap_or_default()
}
