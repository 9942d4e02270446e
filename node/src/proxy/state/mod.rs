//! What the node knows: rules, targets and the call graph.

use std::sync::Arc;

pub(crate) mod crashes;
pub(crate) mod graph;
pub(crate) mod roster;
pub(crate) mod rules;

/// What this node knows, for those who both use it and add to it.
#[derive(Clone)]
pub(crate) struct SharedState {
    pub(crate) rules: Arc<rules::Rules>,
    pub(crate) roster: Arc<roster::Roster>,
    pub(crate) crashes: Arc<crashes::CrashRecords>,
}
