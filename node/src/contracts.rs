//! Contracts in force at this node, read from the log's stream and shared by every service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    AppliedRecord, ClassTerms, Contract, ContractState, InstanceId, LogBatch, LogReader, Moment,
    Name, PublishId, PublishStatus, ReadAction, Revision,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// Revision hints that may be queued; further ones are dropped, since the log brings the same
/// revisions.
const HINT_CAPACITY: usize = 16;

/// Terms of one class, with the revision of the contract that sets them.
#[derive(Debug, Clone)]
pub(crate) struct Terms {
    pub(crate) revision: Revision,
    pub(crate) class: ClassTerms,
}

/// Contract in force for one customer, with its revision.
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
    /// Creates the service without any contract; `retention` is how long the log keeps a record.
    ///
    /// The returned receiver gets the addresses of nodes that have a later revision in force.
    pub(crate) fn new(
        clock: Clock,
        instance: InstanceId,
        retention: Duration,
    ) -> (Self, mpsc::Receiver<String>) {
        let (hints, hinted) = mpsc::channel(HINT_CAPACITY);
        let reader = Mutex::new(LogReader::new(clock.now(), instance, retention));
        (Self { clock, reader, hints }, hinted)
    }

    /// Next action of the log reader; only the nodes in `live` may append.
    pub(crate) fn poll(&self, live: &[InstanceId]) -> ReadAction {
        self.lock().poll(self.clock.now(), live)
    }

    /// Applies the records of a read and returns the verdict on each.
    pub(crate) fn on_read(&self, batch: &LogBatch) -> Vec<AppliedRecord> {
        self.lock().on_read(self.clock.now(), fastrand::u64(..), batch)
    }

    /// Records that the log acknowledged an append.
    pub(crate) fn on_append(&self) {
        self.lock().on_append(self.clock.now());
    }

    /// Records an error of the log, after which the reader backs off.
    pub(crate) fn on_error(&self) {
        self.lock().on_error(self.clock.now(), fastrand::u64(..));
    }

    /// Adopts a peer's state if it covers more of the log; returns whether it did.
    pub(crate) fn on_peer(&self, peer: &ContractState) -> bool {
        self.lock().on_peer(self.clock.now(), peer)
    }

    /// Queues a pull from the node at `address` if its `revision` is later than the one known here.
    pub(crate) fn on_revision_hint(&self, customer: &Name, revision: Revision, address: &str) {
        if revision > self.revision(customer) {
            // A full channel drops the hint; the next call or reply repeats it.
            let _ = self.hints.try_send(address.to_owned());
        }
    }

    /// Copy of the contract state, for a peer that pulls it.
    pub(crate) fn state(&self) -> ContractState {
        self.lock().state().clone()
    }

    /// Status of the publication `id`, as far as this node has read the log.
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

    /// Time since this node last knew every record of the log, or since it started.
    pub(crate) fn staleness(&self) -> Duration {
        self.lock().staleness(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, LogReader> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActiveContract {
    /// Terms of `class`, or `None` if the contract has no such class.
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
        let state = reader.state();
        let rows: Vec<_> = state
            .customers()
            .filter_map(|customer| state.in_force(customer))
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
            "next_offset": state.next(),
            "stale_ms": reader.staleness(now).as_millis() as u64,
            "in_force": rows,
        })
    }
}
