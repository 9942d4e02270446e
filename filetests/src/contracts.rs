//! Sessions of kind `contracts`: operators that publish, the log with its faults, and the contract
//! states that the nodes derive from it.

use std::collections::BTreeMap;
use std::sync::Arc;

use poplar_core::{
    Contract, ContractRecord, ContractState, Goal, Moment, Name, Offset, PublishId, Revision,
    Verdict,
};

use crate::{LineError, Session, VIOLATION, parse_number};

const CUSTOMER: &str = "armor";

/// Interpreter for the contracts of one customer.
#[derive(Default)]
pub(crate) struct ContractsSession {
    log: Vec<ContractRecord>,
    /// Offset of the first record that the log retains.
    log_start: usize,
    /// Whether the log is unreachable.
    log_down: bool,
    /// Names of the publications; the index is the publish id.
    publications: Vec<String>,
    nodes: BTreeMap<String, ContractState>,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Session for ContractsSession {
    fn step(&mut self, _now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        match words {
            ["log", "down"] => self.log_down = true,
            ["log", "up"] => self.log_down = false,
            ["start", node] => {
                self.nodes.insert((*node).to_owned(), ContractState::new());
                self.lines.push(format!("{node} knows no contract and refuses work as not run"));
            }
            ["publish", publication, "base", base] => {
                self.publish(publication, parse_number(base)?, true)?
            }
            ["publish", publication, "base", base, "unacknowledged"] => {
                self.publish(publication, parse_number(base)?, false)?;
            }
            ["read", node] => self.read(node)?,
            ["pull", node, "from", peer] => self.pull(node, peer)?,
            ["ask", node, "about", publication] => self.query_status(node, publication)?,
            ["snapshot", "by", node] => self.snapshot(node)?,
            ["expire", count] => self.truncate_log(parse_number(count)?),
            _ => return Err(LineError::InvalidCommand),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        for (name, state) in &self.nodes {
            let revision = state.revision(&CUSTOMER.into());
            self.lines.push(format!("{name}: revision {revision}, read up to {}", state.next()));
            let equal = |other: &&ContractState| other.next() == state.next() && *other != state;
            if self.nodes.values().any(|other| equal(&other)) {
                self.lines.push(format!("{VIOLATION}: {name} differs after the same records"));
            }
        }
        std::mem::take(&mut self.lines)
    }
}

impl ContractsSession {
    /// Publish id of a publication; allocated when the name is first used.
    fn publish_id(&mut self, publication: &str) -> PublishId {
        let known = self.publications.iter().position(|known| known == publication);
        let number = known.unwrap_or_else(|| {
            self.publications.push(publication.to_owned());
            self.publications.len() - 1
        });
        PublishId(number as u128)
    }

    fn publish(
        &mut self,
        publication: &str,
        base: u64,
        acknowledged: bool,
    ) -> Result<(), LineError> {
        if self.log_down {
            self.lines.push("the log can't be reached: not confirmed".to_owned());
            return Ok(());
        }
        let contract = Contract {
            customer: CUSTOMER.into(),
            goal: Goal::Goodput,
            services: vec![Name::new(publication)],
            classes: BTreeMap::new(),
        };
        let (id, base) = (self.publish_id(publication), Revision(base));
        self.append(ContractRecord::Publish { id, base, contract: Arc::new(contract) });
        if !acknowledged {
            self.lines.push("the acknowledgement is lost: not confirmed".to_owned());
        }
        Ok(())
    }

    fn append(&mut self, record: ContractRecord) {
        self.lines.push(format!("the log has it at offset {}", self.log.len()));
        self.log.push(record);
    }

    fn snapshot(&mut self, node: &str) -> Result<(), LineError> {
        let state = Box::new(self.nodes.get(node).ok_or(LineError::UnknownName)?.clone());
        self.append(ContractRecord::Snapshot { state });
        Ok(())
    }

    /// Drops the records before offset `count`, as log retention does.
    fn truncate_log(&mut self, count: usize) {
        self.log_start = count.min(self.log.len());
        self.lines.push(format!("the log begins at offset {}", self.log_start));
    }

    fn read(&mut self, node: &str) -> Result<(), LineError> {
        if self.log_down {
            self.lines.push(format!("{node} can't read the log and keeps what it has"));
            return Ok(());
        }
        let state = self.nodes.get_mut(node).ok_or(LineError::UnknownName)?;
        let before = state.revision(&CUSTOMER.into());
        let from = (state.next().0 as usize).max(self.log_start);
        for (offset, record) in self.log.iter().enumerate().skip(from) {
            let verdict = state.apply(Offset(offset as u64), record);
            let label = match record {
                ContractRecord::Publish { id, .. } => &self.publications[id.0 as usize],
                _ => "snapshot",
            };
            self.lines.push(format!("offset {offset}, {label}: {}", describe(&verdict)));
        }
        let after = state.revision(&CUSTOMER.into());
        self.lines.push(format!("{node} has revision {after} in force"));
        self.check_monotonic(node, before, after);
        Ok(())
    }

    fn pull(&mut self, node: &str, peer: &str) -> Result<(), LineError> {
        let peer_state = self.nodes.get(peer).ok_or(LineError::UnknownName)?.clone();
        let state = self.nodes.get_mut(node).ok_or(LineError::UnknownName)?;
        let before = state.revision(&CUSTOMER.into());
        let adopted = state.adopt(&peer_state);
        let after = state.revision(&CUSTOMER.into());
        let how = if adopted { "takes over" } else { "passes over" };
        self.lines.push(format!("{node} {how} the state of {peer}: revision {after} in force"));
        self.check_monotonic(node, before, after);
        Ok(())
    }

    /// Reports a violation if the revision in force at a node decreased.
    fn check_monotonic(&mut self, node: &str, before: Revision, after: Revision) {
        if after < before {
            self.lines
                .push(format!("{VIOLATION}: {node} went back from revision {before} to {after}"));
        }
    }

    fn query_status(&mut self, node: &str, publication: &str) -> Result<(), LineError> {
        let id = self.publish_id(publication);
        let state = self.nodes.get(node).ok_or(LineError::UnknownName)?;
        let status = state.publish_status(&CUSTOMER.into(), id);
        let accepted = status.accepted.map_or_else(
            || "not accepted here".to_owned(),
            |revision| format!("accepted as revision {revision}"),
        );
        let current = status.current;
        self.lines
            .push(format!("{node}: {publication} is {accepted}; revision {current} is in force"));
        Ok(())
    }
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(revision) => format!("accepted as revision {revision}"),
        Verdict::Duplicate(revision) => format!("seen before, accepted as revision {revision}"),
        Verdict::Superseded(revision) => format!("not accepted, revision {revision} came first"),
        Verdict::Malformed(error) => format!("passed over: {error}"),
        Verdict::Stale => "read before".to_owned(),
        Verdict::SnapshotTaken => "state taken over".to_owned(),
        Verdict::SnapshotIgnored => "brings nothing new".to_owned(),
        Verdict::Resumed => "state replaced".to_owned(),
        Verdict::ResumeIgnored => "overtaken".to_owned(),
        Verdict::Gap { from, until } => format!("not judged, {from} to {until} are missing"),
    }
}
