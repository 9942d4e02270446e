//! State of the installation as this node knows it: rules, targets, crashes, rate limits of workspaces and the
//! call graph.

use std::sync::Arc;

pub(crate) mod crashes;
pub(crate) mod graph;
pub(crate) mod quotas;
pub(crate) mod roster;
pub(crate) mod rules;

/// Handles to the state that this node shares with other nodes, for services that read and update
/// it.
#[derive(Clone)]
pub(crate) struct SharedState {
    pub(crate) rules: Arc<rules::Rules>,
    pub(crate) roster: Arc<roster::Roster>,
    pub(crate) crashes: Arc<crashes::CrashRecords>,
}
