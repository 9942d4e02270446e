//! Contracts in force at this node: the reader of the log's stream, shared by every service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    AppliedRecord, ClassTerms, Contract, ContractState, InstanceId, LogBatch, LogReader, Moment,
    Name, PublishId, PublishStatus, ReadAction, Revision,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// Hints that wait to be followed; further ones are dropped, since the log tells the same.
const HINT_CAPACITY: usize = 16;

/// Terms of one class together with the revision that they come from.
#[derive(Debug, Clone)]
pub(crate) struct Terms {
    pub(crate) revision: Revision,
    pub(crate) class: ClassTerms,
}

/// Contract in force for one customer.
#[derive(Debug, Clone)]
pub(crate) struct ActiveContract {
    pub(crate) revision: Revision,
    pub(crate) contract: Arc<Contract>,
}

/// Service that holds the contracts in force.
#[derive(Debug)]
pub(crate) struct Contracts {
    clock: Clock,
    reader: Mutex<LogReader>,
    hints: mpsc::Sender<String>,
}

impl Contracts {
    /// Service that knows no contract yet; `retention` is how long the log keeps a record.
    ///
    /// The receiver gets the addresses of nodes that have a later revision in force.
    pub(crate) fn new(
        clock: Clock,
        instance: InstanceId,
        retention: Duration,
    ) -> (Self, mpsc::Receiver<String>) {
        let (hints, hinted) = mpsc::channel(HINT_CAPACITY);
        let reader = Mutex::new(LogReader::new(clock.now(), instance, retention));
        (Self { clock, reader, hints }, hinted)
    }

    /// Next action of the reader; `live` are the nodes that may append.
    pub(crate) fn poll(&self, live: &[InstanceId]) -> ReadAction {
        self.lock().poll(self.clock.now(), live)
    }

    /// Takes in what a read brought.
    pub(crate) fn on_read(&self, batch: &LogBatch) -> Vec<AppliedRecord> {
        self.lock().on_read(self.clock.now(), fastrand::u64(..), batch)
    }

    /// Notes that an append was acknowledged.
    pub(crate) fn on_append(&self) {
        self.lock().on_append(self.clock.now());
    }

    /// Notes an error of the log.
    pub(crate) fn on_error(&self) {
        self.lock().on_error(self.clock.now(), fastrand::u64(..));
    }

    /// Takes over a peer's state if it covers more; says whether it did.
    pub(crate) fn on_peer(&self, peer: &ContractState) -> bool {
        self.lock().on_peer(self.clock.now(), peer)
    }

    /// Takes note of the revision that the node at `address` has in force.
    pub(crate) fn on_revision_hint(&self, customer: &Name, revision: Revision, address: &str) {
        if revision > self.revision(customer) {
            // A full channel drops the hint; the next call brings another.
            let _ = self.hints.try_send(address.to_owned());
        }
    }

    /// State, for a peer that lacks it.
    pub(crate) fn state(&self) -> ContractState {
        self.lock().state().clone()
    }

    /// What this node can say of an act of publishing.
    pub(crate) fn publish_status(&self, customer: &Name, id: PublishId) -> PublishStatus {
        self.lock().state().publish_status(customer, id)
    }

    /// Revision in force for `customer`; zero if there is none.
    pub(crate) fn revision(&self, customer: &Name) -> Revision {
        self.lock().state().revision(customer)
    }

    /// Contract in force for `customer`.
    pub(crate) fn current(&self, customer: &Name) -> Option<ActiveContract> {
        let reader = self.lock();
        let found = reader.state().in_force(customer)?;
        Some(ActiveContract { revision: found.revision, contract: found.contract.clone() })
    }

    /// Time since this node last knew every record of the log.
    pub(crate) fn staleness(&self) -> Duration {
        self.lock().staleness(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, LogReader> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActiveContract {
    /// Terms of `class`.
    pub(crate) fn terms(&self, class: &Name) -> Option<Terms> {
        let class = self.contract.classes.get(class)?.clone();
        Some(Terms { revision: self.revision, class })
    }
}

impl Service for Contracts {
    fn name(&self) -> &'static str {
        "contracts"
    }

    fn dump(&self, now: Moment) -> Value {
        let reader = self.lock();
        let fold = reader.state();
        let rows: Vec<_> = fold
            .customers()
            .filter_map(|customer| fold.in_force(customer))
            .map(|found| {
                json!({
                    "customer": found.contract.customer,
                    "revision": found.revision,
                    "publish_id": found.id,
                    "contract": found.contract,
                })
            })
            .collect();
        json!({
            "next_offset": fold.next(),
            "stale_ms": reader.staleness(now).as_millis() as u64,
            "in_force": rows,
        })
    }
}
