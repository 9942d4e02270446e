//! Sessions of contracts: operators, the log with its faults, and the folds of the nodes.

use std::collections::BTreeMap;
use std::sync::Arc;

use poplar_core::{
    Contract, ContractRecord, ContractState, Goal, Moment, Name, Offset, PublishId, Revision,
    Verdict,
};

use crate::{Fault, Session, VIOLATION, number};

const CUSTOMER: &str = "armor";

/// Session of one customer's contracts.
#[derive(Default)]
pub(crate) struct Contracts {
    log: Vec<ContractRecord>,
    /// First record that the log still has.
    start: usize,
    down: bool,
    /// Names of the acts of publishing, by their number.
    acts: Vec<String>,
    nodes: BTreeMap<String, ContractState>,
    lines: Vec<String>,
}

impl Session for Contracts {
    fn step(&mut self, _now: Moment, words: &[&str]) -> Result<Vec<String>, Fault> {
        match words {
            ["log", "down"] => self.down = true,
            ["log", "up"] => self.down = false,
            ["start", node] => {
                self.nodes.insert((*node).to_owned(), ContractState::new());
                self.lines.push(format!("{node} knows no contract and refuses work as not run"));
            }
            ["publish", act, "base", base] => self.publish(act, number(base)?, true)?,
            ["publish", act, "base", base, "unacknowledged"] => {
                self.publish(act, number(base)?, false)?;
            }
            ["read", node] => self.read(node)?,
            ["pull", node, "from", peer] => self.pull(node, peer)?,
            ["ask", node, "about", act] => self.ask(node, act)?,
            ["snapshot", "by", node] => self.snapshot(node)?,
            ["expire", count] => self.expire(number(count)?),
            _ => return Err(Fault::Command),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        for (name, fold) in &self.nodes {
            let revision = fold.revision(&CUSTOMER.into());
            self.lines.push(format!("{name}: revision {revision}, read up to {}", fold.next()));
            let equal = |other: &&ContractState| other.next() == fold.next() && *other != fold;
            if self.nodes.values().any(|other| equal(&other)) {
                self.lines.push(format!("{VIOLATION}: {name} differs after the same records"));
            }
        }
        std::mem::take(&mut self.lines)
    }
}

impl Contracts {
    fn act(&mut self, act: &str) -> PublishId {
        let known = self.acts.iter().position(|known| known == act);
        let number = known.unwrap_or_else(|| {
            self.acts.push(act.to_owned());
            self.acts.len() - 1
        });
        PublishId(number as u128)
    }

    fn publish(&mut self, act: &str, base: u64, heard: bool) -> Result<(), Fault> {
        if self.down {
            self.lines.push("the log can't be reached: not confirmed".to_owned());
            return Ok(());
        }
        let contract = Contract {
            customer: CUSTOMER.into(),
            goal: Goal::Goodput,
            services: vec![Name::new(act)],
            classes: BTreeMap::new(),
        };
        let (id, base) = (self.act(act), Revision(base));
        self.append(ContractRecord::Publish { id, base, contract: Arc::new(contract) });
        if !heard {
            self.lines.push("the acknowledgement is lost: not confirmed".to_owned());
        }
        Ok(())
    }

    fn append(&mut self, record: ContractRecord) {
        self.lines.push(format!("the log has it at offset {}", self.log.len()));
        self.log.push(record);
    }

    fn snapshot(&mut self, node: &str) -> Result<(), Fault> {
        let state = Box::new(self.nodes.get(node).ok_or(Fault::Name)?.clone());
        self.append(ContractRecord::Snapshot { state });
        Ok(())
    }

    fn expire(&mut self, count: usize) {
        self.start = count.min(self.log.len());
        self.lines.push(format!("the log begins at offset {}", self.start));
    }

    fn read(&mut self, node: &str) -> Result<(), Fault> {
        if self.down {
            self.lines.push(format!("{node} can't read the log and keeps what it has"));
            return Ok(());
        }
        let fold = self.nodes.get_mut(node).ok_or(Fault::Name)?;
        let before = fold.revision(&CUSTOMER.into());
        let from = (fold.next().0 as usize).max(self.start);
        for (offset, record) in self.log.iter().enumerate().skip(from) {
            let verdict = fold.apply(Offset(offset as u64), record);
            let act = match record {
                ContractRecord::Publish { id, .. } => &self.acts[id.0 as usize],
                _ => "snapshot",
            };
            self.lines.push(format!("offset {offset}, {act}: {}", text(&verdict)));
        }
        let after = fold.revision(&CUSTOMER.into());
        self.lines.push(format!("{node} has revision {after} in force"));
        self.never_back(node, before, after);
        Ok(())
    }

    fn pull(&mut self, node: &str, peer: &str) -> Result<(), Fault> {
        let peer_fold = self.nodes.get(peer).ok_or(Fault::Name)?.clone();
        let fold = self.nodes.get_mut(node).ok_or(Fault::Name)?;
        let before = fold.revision(&CUSTOMER.into());
        let taken = fold.adopt(&peer_fold);
        let after = fold.revision(&CUSTOMER.into());
        let how = if taken { "takes over" } else { "passes over" };
        self.lines.push(format!("{node} {how} the state of {peer}: revision {after} in force"));
        self.never_back(node, before, after);
        Ok(())
    }

    fn never_back(&mut self, node: &str, before: Revision, after: Revision) {
        if after < before {
            self.lines.push(format!("{VIOLATION}: {node} went back from {before} to {after}"));
        }
    }

    fn ask(&mut self, node: &str, act: &str) -> Result<(), Fault> {
        let id = self.act(act);
        let fold = self.nodes.get(node).ok_or(Fault::Name)?;
        let word = fold.publish_status(&CUSTOMER.into(), id);
        let accepted = word.accepted.map_or_else(
            || "not accepted here".to_owned(),
            |revision| format!("accepted as revision {revision}"),
        );
        let current = word.current;
        self.lines.push(format!("{node}: {act} is {accepted}; revision {current} is in force"));
        Ok(())
    }
}

fn text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(revision) => format!("accepted as revision {revision}"),
        Verdict::Duplicate(revision) => format!("seen before, accepted as revision {revision}"),
        Verdict::Superseded(revision) => format!("not accepted, revision {revision} came first"),
        Verdict::Malformed(fault) => format!("passed over: {fault}"),
        Verdict::Stale => "read before".to_owned(),
        Verdict::SnapshotTaken => "state taken over".to_owned(),
        Verdict::SnapshotIgnored => "brings nothing new".to_owned(),
        Verdict::Resumed => "state replaced".to_owned(),
        Verdict::ResumeIgnored => "overtaken".to_owned(),
        Verdict::Gap { from, until } => format!("not judged, {from} to {until} are missing"),
    }
}
