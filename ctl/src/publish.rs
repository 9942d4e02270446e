//! Publishes a contract: append, read back, and ask nodes whether it is in force.

use std::collections::hash_map::RandomState;
use std::fmt;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Bytes;
use poplar_core::{Contract, ContractRecord, Name, PublishId, Revision};
use serde::Serialize;

use crate::error::CtlError;
use crate::http::Http;
use crate::log::{ContractLog, Reader};
use crate::node;

/// Pause before an append or a question is repeated.
const PAUSE: Duration = Duration::from_millis(200);

/// What to publish, and where.
#[derive(Debug)]
pub(crate) struct Publication {
    pub(crate) contract: Arc<Contract>,
    /// Revision that the operator revised; the first one needs none.
    pub(crate) base: Option<Revision>,
    /// Act of publishing, if this command repeats an earlier one.
    pub(crate) id: Option<PublishId>,
    /// Admin addresses of the nodes whose word is asked for.
    pub(crate) nodes: Vec<String>,
    /// Time within which log and nodes must have confirmed.
    pub(crate) timeout: Duration,
}

/// Publication that was accepted.
#[derive(Debug, Serialize)]
pub(crate) struct Accepted {
    pub(crate) customer: Name,
    pub(crate) revision: Revision,
    pub(crate) id: PublishId,
    /// Nodes at which it is in force.
    pub(crate) nodes: Vec<String>,
}

/// Publishes, and returns only what the log gave back and every asked node has in force.
pub(crate) async fn publish(
    http: &Http,
    log: ContractLog,
    publication: Publication,
) -> Result<Accepted, CtlError> {
    let deadline = Instant::now() + publication.timeout;
    let customer = publication.contract.customer.clone();
    let mut reader = Reader::new(log.clone());
    reader.catch_up().await?;
    let id = publication.id.unwrap_or_else(fresh_id);
    let revision = match reader.fold().word(&customer, id).accepted {
        Some(revision) => revision,
        None => {
            let base = base(&publication, reader.fold().revision(&customer))?;
            let contract = publication.contract.clone();
            let record = ContractRecord::Publish { id, base, contract };
            append(&log, &mut reader, &customer, &record, id, deadline).await?
        }
    };
    for node in &publication.nodes {
        await_node(http, node, &customer, revision, id, deadline).await?;
    }
    Ok(Accepted { customer, revision, id, nodes: publication.nodes })
}

/// Revision to build on: nobody revises a contract that they have not named.
fn base(publication: &Publication, current: Revision) -> Result<Revision, CtlError> {
    let base = publication.base.unwrap_or_default();
    if base == current {
        return Ok(base);
    }
    let customer = publication.contract.customer.clone();
    Err(CtlError::Superseded { customer, current })
}

/// Appends until the record shows up in the stream; the publish id makes repeats harmless.
async fn append(
    log: &ContractLog,
    reader: &mut Reader,
    customer: &Name,
    record: &ContractRecord,
    id: PublishId,
    deadline: Instant,
) -> Result<Revision, CtlError> {
    let body = serde_json::to_vec(record).map(Bytes::from);
    let body = body.map_err(|error| answer(log.address(), &error.to_string()))?;
    loop {
        let appended = log.append(body.clone()).await;
        let read = reader.catch_up().await;
        let word = reader.fold().word(customer, id);
        if let Some(revision) = word.accepted {
            return Ok(revision);
        }
        let why = match (appended, read) {
            (Ok(()), Ok(_)) => {
                let (customer, current) = (customer.clone(), word.current);
                return Err(CtlError::Superseded { customer, current });
            }
            (Err(error), _) | (_, Err(error)) => error.to_string(),
        };
        if Instant::now() >= deadline {
            return Err(CtlError::Unconfirmed { address: log.address().to_owned(), why, id });
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn await_node(
    http: &Http,
    node: &str,
    customer: &Name,
    revision: Revision,
    id: PublishId,
    deadline: Instant,
) -> Result<(), CtlError> {
    loop {
        let why = match node::state(http, node).await {
            Ok(state) if state.revision(customer) >= revision => return Ok(()),
            Ok(state) => format!("revision {} is in force here", state.revision(customer)),
            Err(error) => error.to_string(),
        };
        if Instant::now() >= deadline {
            return Err(CtlError::Unconfirmed { address: node.to_owned(), why, id });
        }
        tokio::time::sleep(PAUSE).await;
    }
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { customer, revision, id, nodes } = self;
        write!(f, "accepted: customer {customer} revision {revision}, published as {id}")?;
        match nodes.len() {
            0 => f.write_str("; no node was asked whether it is in force"),
            count => write!(f, "; in force at all of {count} nodes asked"),
        }
    }
}

fn answer(address: &str, why: &str) -> CtlError {
    CtlError::Answer { address: address.to_owned(), why: why.to_owned() }
}

/// Identifier from the operating system's randomness, by way of the hasher's keys.
fn fresh_id() -> PublishId {
    let high = RandomState::new().hash_one(0_u8);
    let low = RandomState::new().hash_one(1_u8);
    PublishId((u128::from(high) << 64) | u128::from(low))
}
