//! Everything that can end a command early, with its exit code.

use std::io;

use poplar_core::{Name, PublishId, Revision};
use poplar_wire::ContractFileError;

/// Why a command did not do what it was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The contract file was refused.
    #[error("{file}: {fault}")]
    Contract { file: String, fault: ContractFileError },
    /// The contract file could not be read.
    #[error("{file}: {source}")]
    File { file: String, source: io::Error },
    /// The customer has a newer revision than the one that was revised.
    #[error(
        "customer {customer} is at revision {current}; look at it with `poplarctl show {customer}` \
         and publish again with `--base {current}`"
    )]
    Superseded { customer: Name, current: Revision },
    /// The log or a node cannot be reached, and nothing was published.
    #[error("{address}: {why}")]
    Unreachable { address: String, why: String },
    /// The append may have taken effect.
    #[error(
        "{address}: {why}; it may have taken effect; run the same command again with `--id {id}`"
    )]
    Unconfirmed { address: String, why: String, id: PublishId },
    /// The log or a node holds no contract of the customer.
    #[error("customer {customer} has no contract here")]
    NoContract { customer: Name },
    /// The answer of a log or node is not what this version understands.
    #[error("{address}: unexpected answer: {why}")]
    Answer { address: String, why: String },
    /// Records expired and no snapshot covers them.
    #[error("{address}: records before offset {start} expired and no snapshot covers them")]
    Expired { address: String, start: u64 },
    /// The contract lacks a service that was asked about.
    #[error("--target: the contract has no service {service}")]
    Service { service: Name },
    /// Standard output cannot be written to.
    #[error("standard output: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// Exit code of the command; the table stands in `poplarctl --help`.
    pub(crate) const fn code(&self) -> u8 {
        match self {
            Self::Output(_) | Self::Service { .. } => 1,
            Self::Contract { .. } | Self::File { .. } => 2,
            Self::Superseded { .. } => 3,
            Self::Unreachable { .. } | Self::Answer { .. } | Self::Expired { .. } => 4,
            Self::Unconfirmed { .. } => 5,
            Self::NoContract { .. } => 6,
        }
    }
}
