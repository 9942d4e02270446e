//! Contracts in force at this node: the fold of the log's stream, shared by every service.

use std::sync::{Arc, PoisonError, RwLock};

use poplar_core::{
    ClassTerms, Contract, ContractRecord, Fold, Moment, Name, Offset, PublishId, Revision, Verdict,
    Word,
};
use poplar_kernel::Service;
use serde_json::{Value, json};
use tokio::sync::watch;

/// Terms of one class together with the revision that they come from.
#[derive(Debug, Clone)]
pub(crate) struct Terms {
    pub(crate) revision: Revision,
    pub(crate) class: ClassTerms,
}

/// Contract in force for one customer.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    pub(crate) revision: Revision,
    pub(crate) contract: Arc<Contract>,
}

/// Service that holds the contracts in force.
#[derive(Debug)]
pub(crate) struct Contracts {
    fold: RwLock<Fold>,
    moved: watch::Sender<Offset>,
}

impl Contracts {
    /// Service that knows no contract yet.
    pub(crate) fn new() -> Self {
        Self { fold: RwLock::new(Fold::new()), moved: watch::Sender::new(Offset::default()) }
    }

    /// Judges the record at `offset`; `None` stands for one that could not be decoded.
    pub(crate) fn take(&self, offset: Offset, record: Option<&ContractRecord>) -> Verdict {
        let mut fold = self.fold.write().unwrap_or_else(PoisonError::into_inner);
        let verdict = match record {
            Some(record) => fold.apply(offset, record),
            None => fold.skip(offset),
        };
        self.moved.send_replace(fold.next());
        verdict
    }

    /// Takes over a peer's state if it covers more; says whether it did.
    pub(crate) fn adopt(&self, peer: &Fold) -> bool {
        let mut fold = self.fold.write().unwrap_or_else(PoisonError::into_inner);
        let taken = fold.adopt(peer);
        self.moved.send_replace(fold.next());
        taken
    }

    /// Channel that tells each move of the fold.
    pub(crate) fn moves(&self) -> watch::Receiver<Offset> {
        self.moved.subscribe()
    }

    /// State, for a peer that lacks it and for snapshots.
    pub(crate) fn fold(&self) -> Fold {
        self.read().clone()
    }

    /// First offset that is not folded yet.
    pub(crate) fn next(&self) -> Offset {
        self.read().next()
    }

    /// What this node can say of an act of publishing.
    pub(crate) fn word(&self, customer: &Name, id: PublishId) -> Word {
        self.read().word(customer, id)
    }

    /// Contract in force for `customer`.
    pub(crate) fn current(&self, customer: &Name) -> Option<InForce> {
        let fold = self.read();
        let found = fold.in_force(customer)?;
        Some(InForce { revision: found.revision, contract: found.contract.clone() })
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, Fold> {
        self.fold.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InForce {
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

    fn dump(&self, _now: Moment) -> Value {
        let fold = self.read();
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
        json!({ "next_offset": fold.next(), "in_force": rows })
    }
}
