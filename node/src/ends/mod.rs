//! HTTP ends of the node: callers and own target, other nodes, operators.

pub(crate) mod admin;
pub(crate) mod caller;
pub(crate) mod intake;
pub(crate) mod listener;
pub(crate) mod peer;
