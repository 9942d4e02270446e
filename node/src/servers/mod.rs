//! HTTP servers of the node: for callers and the local target, for other nodes, and for operators.

pub(crate) mod admin;
pub(crate) mod body_reader;
pub(crate) mod caller;
pub(crate) mod listener;
pub(crate) mod peer;
