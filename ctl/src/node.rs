//! What a node says of itself on its admin address.

use std::time::Duration;

use poplar_core::{Contract, Name, PublishId, Revision};
use serde::Deserialize;
use serde_json::Value;

use crate::error::CtlError;
use crate::http::HttpClient;
use crate::show::ContractInForce;

/// State dump of a node; only what the commands need is read by name.
#[derive(Debug)]
pub(crate) struct NodeState {
    /// Whole dump.
    pub(crate) dump: Value,
    in_force: Vec<InForce>,
}

/// Contract in force at a node.
#[derive(Debug, Deserialize)]
struct InForce {
    customer: Name,
    revision: Revision,
    publish_id: PublishId,
    contract: Contract,
}

impl NodeState {
    /// Contracts in force.
    pub(crate) fn into_contracts(self) -> Vec<ContractInForce> {
        let shown = self.in_force.into_iter().map(|found| {
            let InForce { customer, revision, publish_id, contract } = found;
            ContractInForce { customer, revision, publish_id, contract }
        });
        shown.collect()
    }
}

/// Reads the state of the node at an admin address.
pub(crate) async fn read_state(http: &HttpClient, address: &str) -> Result<NodeState, CtlError> {
    let dump: Value = http.get(address, "/state", Duration::ZERO).await?;
    let rows = dump.pointer("/contracts/in_force").cloned().unwrap_or_default();
    let in_force = serde_json::from_value(rows).map_err(|error| CtlError::UnexpectedAnswer {
        address: address.into(),
        reason: error.to_string(),
    })?;
    Ok(NodeState { dump, in_force })
}
