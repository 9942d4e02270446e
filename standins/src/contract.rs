//! Contract files that are named on the stand-ins' command lines.

use std::path::Path;

use poplar_core::Contract;
use poplar_wire::{ContractFileError, parse_contract};

/// Error in the value of the `--contract` option.
#[derive(Debug, thiserror::Error)]
pub enum ContractOptionError {
    /// The file could not be read.
    #[error("--contract: {0}")]
    Read(#[from] std::io::Error),
    /// The file is not a valid contract.
    #[error("--contract: {0}")]
    Contract(#[from] ContractFileError),
}

/// Reads and parses a contract file.
pub fn read_contract(path: &Path) -> Result<Contract, ContractOptionError> {
    Ok(parse_contract(&std::fs::read_to_string(path)?)?)
}
