//! Small specification of the core protocol and its exhaustive checks.
//!
//! The models specify the rules independently and don't call `poplar-core`; the conformance tests
//! replay runs of the models through the functions of `poplar-core`. See
//! [contracts](../../docs/design/contracts.md).

mod check;
pub mod contracts;
pub mod once;

pub use check::{Check, Failure, Model, Mutation, Property, Report, Step, check};

/// Every check, in the order in which they run.
pub const CHECKS: &[Check] =
    &[contracts::CHECK, contracts::CHECK_LOSS, once::LEAF, once::CHAIN, once::RERUN];
