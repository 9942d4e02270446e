//! HTTP ends of the node: callers and own target, other nodes, operators.

pub(crate) mod admin;
pub(crate) mod body_reader;
pub(crate) mod caller;
pub(crate) mod listener;
pub(crate) mod peer;
