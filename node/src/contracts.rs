//! Contracts in force at this node.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use poplar_core::{ClassTerms, Contract, Moment, Name, Revision};
use poplar_kernel::Service;
use serde_json::{Value, json};

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
#[derive(Debug, Default)]
pub(crate) struct Contracts {
    by_customer: RwLock<BTreeMap<Name, InForce>>,
}

impl Contracts {
    /// Puts `contract` in force unless a later revision already is.
    pub(crate) fn put(&self, revision: Revision, contract: Contract) {
        let mut contracts = self.by_customer.write().unwrap_or_else(PoisonError::into_inner);
        let current = contracts.get(&contract.customer).map(|c| c.revision).unwrap_or_default();
        if revision > current {
            let customer = contract.customer.clone();
            contracts.insert(customer, InForce { revision, contract: Arc::new(contract) });
        }
    }

    /// Contract in force for `customer`.
    pub(crate) fn current(&self, customer: &Name) -> Option<InForce> {
        let contracts = self.by_customer.read().unwrap_or_else(PoisonError::into_inner);
        contracts.get(customer).cloned()
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
        let contracts = self.by_customer.read().unwrap_or_else(PoisonError::into_inner);
        let rows = contracts.iter().map(|(customer, c)| {
            json!({ "customer": customer, "revision": c.revision, "contract": *c.contract })
        });
        Value::Array(rows.collect())
    }
}
