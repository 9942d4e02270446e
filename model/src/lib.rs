//! Small specification of the core protocol and its exhaustive checks.
//!
//! The models state the rules a second time and call nothing of `poplar-core`; the conformance
//! tests replay their runs through the real functions. See
//! [contracts](../../docs/design/contracts.md).

mod check;
pub mod contracts;
pub mod once;

pub use check::{Check, Failure, Model, Mutation, Property, Report, Step, check};

/// Every check, in the order in which they run.
pub const CHECKS: &[Check] =
    &[contracts::CHECK, contracts::CHECK_LOSS, once::LEAF, once::CHAIN, once::RERUN];
