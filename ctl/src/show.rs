//! Shows the contract in force for a customer and the history of its publications.

use std::fmt;

use poplar_core::{
    Contract, ContractRecord, ContractState, Name, Offset, PublishId, Revision, Verdict,
};
use poplar_wire::format_contract;
use serde::Serialize;

use crate::error::CtlError;
use crate::http::HttpClient;
use crate::log::{AppliedEntry, ContractLog, Reader};
use crate::node;
use crate::options::Source;

/// Contract in force for a customer; its [`Display`](fmt::Display) text is a contract file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct ContractInForce {
    pub(crate) customer: Name,
    pub(crate) revision: Revision,
    pub(crate) publish_id: PublishId,
    pub(crate) contract: Contract,
}

/// Publications for one customer whose records the log still has, oldest first.
#[derive(Debug, Serialize)]
pub(crate) struct History(Vec<HistoryEntry>);

/// One publication in a history.
#[derive(Debug, Serialize)]
struct HistoryEntry {
    offset: Offset,
    publish_id: PublishId,
    base: Revision,
    verdict: String,
}

/// Reads the contract in force for a customer.
///
/// # Errors
///
/// `NoContract` if the customer has none.
pub(crate) async fn show(
    http: &HttpClient,
    source: &Source,
    customer: &Name,
) -> Result<ContractInForce, CtlError> {
    let found =
        all_in_force(http, source).await?.into_iter().find(|found| found.customer == *customer);
    found.ok_or_else(|| CtlError::NoContract { customer: customer.clone() })
}

/// Reads every contract in force from the log or a node.
pub(crate) async fn all_in_force(
    http: &HttpClient,
    source: &Source,
) -> Result<Vec<ContractInForce>, CtlError> {
    match source {
        Source::Log { log } => {
            let mut reader = Reader::new(ContractLog::new(http.clone(), log));
            reader.catch_up().await?;
            Ok(in_force(reader.state()))
        }
        Source::Node { node } => Ok(node::read_state(http, node).await?.into_contracts()),
    }
}

/// Returns every contract in force in a state.
pub(crate) fn in_force(state: &ContractState) -> Vec<ContractInForce> {
    let contracts = state.customers().filter_map(|customer| {
        let found = state.in_force(customer)?;
        Some(ContractInForce {
            customer: customer.clone(),
            revision: found.revision,
            publish_id: found.id,
            contract: found.contract.as_ref().clone(),
        })
    });
    contracts.collect()
}

/// Reads the publications for a customer from the log.
pub(crate) async fn history(log: ContractLog, customer: &Name) -> Result<History, CtlError> {
    let entries = Reader::new(log).catch_up().await?;
    Ok(History(entries.into_iter().filter_map(|entry| history_entry(entry, customer)).collect()))
}

fn history_entry(applied: AppliedEntry, customer: &Name) -> Option<HistoryEntry> {
    let Some(ContractRecord::Publish { id, base, contract }) = applied.entry.record else {
        return None;
    };
    let verdict = verdict_text(&applied.applied.verdict);
    let entry = HistoryEntry { offset: applied.entry.offset, publish_id: id, base, verdict };
    (contract.customer == *customer).then_some(entry)
}

/// Text that the history prints for the verdict on a publish record.
fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(revision) => format!("accepted as revision {revision}"),
        Verdict::Duplicate(revision) => format!("repeats revision {revision}"),
        Verdict::Superseded(revision) => format!("refused, revision {revision} was current"),
        Verdict::Malformed(fault) => format!("refused, {fault}"),
        Verdict::Gap { .. } => "not judged, records before it expired".to_owned(),
        Verdict::Stale => "covered by a snapshot".to_owned(),
        Verdict::SnapshotTaken
        | Verdict::SnapshotIgnored
        | Verdict::Resumed
        | Verdict::ResumeIgnored => "state of the log".to_owned(),
    }
}

impl fmt::Display for ContractInForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# revision {}, published as {}", self.revision, self.publish_id)?;
        f.write_str(format_contract(&self.contract).trim_end())
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<10}{:<34}{:<6}verdict", "offset", "publish id", "base")?;
        for entry in &self.0 {
            let HistoryEntry { offset, publish_id, base, verdict } = entry;
            // The `Display` implementations of these types ignore a width.
            let (offset, base) = (offset.to_string(), base.to_string());
            let publish_id = publish_id.to_string();
            write!(f, "\n{offset:<10}{publish_id:<34}{base:<6}{verdict}")?;
        }
        Ok(())
    }
}
