//! What is in force for a customer, and what led there.

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

/// Contract in force for a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct ContractInForce {
    pub(crate) customer: Name,
    pub(crate) revision: Revision,
    pub(crate) publish_id: PublishId,
    pub(crate) contract: Contract,
}

/// Everything that was published for a customer and is still kept by the log.
#[derive(Debug, Serialize)]
pub(crate) struct History(Vec<HistoryEntry>);

/// One record of a history.
#[derive(Debug, Serialize)]
struct HistoryEntry {
    offset: Offset,
    publish_id: PublishId,
    base: Revision,
    verdict: String,
}

/// Looks up the contract in force.
pub(crate) async fn show(
    http: &HttpClient,
    source: &Source,
    customer: &Name,
) -> Result<ContractInForce, CtlError> {
    let found =
        all_in_force(http, source).await?.into_iter().find(|shown| shown.customer == *customer);
    found.ok_or_else(|| CtlError::NoContract { customer: customer.clone() })
}

/// Every contract in force.
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

/// Every contract in force by a fold.
pub(crate) fn in_force(fold: &ContractState) -> Vec<ContractInForce> {
    let found = fold.customers().filter_map(|customer| {
        let found = fold.in_force(customer)?;
        Some(ContractInForce {
            customer: customer.clone(),
            revision: found.revision,
            publish_id: found.id,
            contract: found.contract.as_ref().clone(),
        })
    });
    found.collect()
}

/// Reads what was published for a customer.
pub(crate) async fn history(log: ContractLog, customer: &Name) -> Result<History, CtlError> {
    let entries = Reader::new(log).catch_up().await?;
    Ok(History(entries.into_iter().filter_map(|entry| history_entry(entry, customer)).collect()))
}

fn history_entry(item: AppliedEntry, customer: &Name) -> Option<HistoryEntry> {
    let Some(ContractRecord::Publish { id, base, contract }) = item.entry.record else {
        return None;
    };
    let verdict = verdict_text(&item.applied.verdict);
    let line = HistoryEntry { offset: item.entry.offset, publish_id: id, base, verdict };
    (contract.customer == *customer).then_some(line)
}

/// Verdict on a publish record in words.
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
        for line in &self.0 {
            let HistoryEntry { offset, publish_id, base, verdict } = line;
            // The newtypes' own text ignores a width.
            let (offset, base) = (offset.to_string(), base.to_string());
            let publish_id = publish_id.to_string();
            write!(f, "\n{offset:<10}{publish_id:<34}{base:<6}{verdict}")?;
        }
        Ok(())
    }
}
