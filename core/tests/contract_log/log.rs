//! In-memory log and small contracts for these tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use poplar_core::{
    Contract, ContractRecord, ContractState, Goal, LogBatch, LogEntry, LogReader, Moment, Name,
    Offset, PublishId, ReadAction, Revision,
};

/// Customer of all contracts in these tests.
pub(crate) fn customer() -> Name {
    Name::new("armor")
}

/// Contract with a single service, whose name contains `body`.
pub(crate) fn contract(body: u64) -> Arc<Contract> {
    let services = vec![Name::new(&format!("service-{body}"))];
    Arc::new(Contract {
        customer: customer(),
        goal: Goal::Goodput,
        services,
        classes: BTreeMap::new(),
    })
}

/// Publish record whose contract is derived from the id.
pub(crate) fn publish(id: u128, base: u64) -> ContractRecord {
    let contract = contract(id as u64);
    ContractRecord::Publish { id: PublishId(id), base: Revision(base), contract }
}

/// Log whose records before `start` have expired.
#[derive(Debug, Default)]
pub(crate) struct Log {
    start: usize,
    records: Vec<ContractRecord>,
}

impl Log {
    pub(crate) fn append(&mut self, record: ContractRecord) {
        self.records.push(record);
    }

    pub(crate) fn truncate(&mut self, start: usize) {
        self.start = start.clamp(self.start, self.records.len());
    }

    pub(crate) fn start(&self) -> usize {
        self.start
    }

    pub(crate) fn end(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn records(&self) -> &[ContractRecord] {
        &self.records[self.start..]
    }

    pub(crate) fn read(&self, from: Offset, limit: usize) -> LogBatch {
        let first = self.start.max(from.0 as usize).min(self.end());
        let entries = self.records.iter().enumerate().skip(first).take(limit);
        let records = entries.map(|(offset, record)| LogEntry {
            offset: Offset(offset as u64),
            record: Some(record.clone()),
        });
        LogBatch {
            start: Offset(self.start as u64),
            end: Offset(self.end() as u64),
            records: records.collect(),
        }
    }
}

/// Lets the reader read once if that is its next action; a pull gets no answer.
pub(crate) fn read_once(reader: &mut LogReader, now: Moment, log: &Log, limit: usize) {
    let mut action = reader.poll(now, &[]);
    if action == ReadAction::Pull {
        action = reader.poll(now, &[]);
    }
    if let ReadAction::Read { from, .. } = action {
        reader.on_read(now, 0, &log.read(from, limit));
    }
}

/// State after the records of a log from its first record on.
pub(crate) fn state_of(records: &[ContractRecord]) -> ContractState {
    let mut state = ContractState::new();
    for (offset, record) in records.iter().enumerate() {
        state.apply(Offset(offset as u64), record);
    }
    state
}
