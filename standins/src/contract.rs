//! Contract files as the stand-ins take them on their command lines.

use std::path::Path;

use poplar_core::Contract;
use poplar_wire::{ContractFileError, parse_contract};

/// Why a contract file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ContractOptionError {
    /// The file could not be read.
    #[error("--contract: {0}")]
    Read(#[from] std::io::Error),
    /// The file is no contract.
    #[error("--contract: {0}")]
    Contract(#[from] ContractFileError),
}

/// Reads a contract file.
pub fn read_contract(path: &Path) -> Result<Contract, ContractOptionError> {
    Ok(parse_contract(&std::fs::read_to_string(path)?)?)
}
