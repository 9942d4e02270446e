//! Reads the state of a node from its admin address.

use std::time::Duration;

use poplar_core::{Contract, Name, PublishId, Revision};
use serde::Deserialize;
use serde_json::Value;

use crate::error::CtlError;
use crate::http::HttpClient;
use crate::show::ContractInForce;

/// State dump of a node; only the contracts in force are decoded.
#[derive(Debug)]
pub(crate) struct NodeState {
    /// The whole dump as JSON.
    pub(crate) dump: Value,
    in_force: Vec<InForce>,
}

/// Entry for one customer under `contracts.in_force` in the state dump.
#[derive(Debug, Deserialize)]
struct InForce {
    customer: Name,
    revision: Revision,
    publish_id: PublishId,
    contract: Contract,
}

impl NodeState {
    /// Returns the contracts in force at the node.
    pub(crate) fn into_contracts(self) -> Vec<ContractInForce> {
        let contracts = self.in_force.into_iter().map(|entry| {
            let InForce { customer, revision, publish_id, contract } = entry;
            ContractInForce { customer, revision, publish_id, contract }
        });
        contracts.collect()
    }
}

/// Reads the state dump of the node at an admin address, `ip:port`.
pub(crate) async fn read_state(http: &HttpClient, address: &str) -> Result<NodeState, CtlError> {
    let dump: Value = http.get(address, "/state", Duration::ZERO).await?;
    let rows = dump.pointer("/contracts/in_force").cloned().unwrap_or_default();
    let in_force = serde_json::from_value(rows).map_err(|error| CtlError::UnexpectedAnswer {
        address: address.into(),
        reason: error.to_string(),
    })?;
    Ok(NodeState { dump, in_force })
}
