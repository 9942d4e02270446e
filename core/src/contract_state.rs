//! State machine that turns the log's contract records into the contracts in force.
//!
//! Every process that reads the stream of contracts (node, operator's command, model check)
//! applies records with [`ContractState::apply`] and nothing else, so that equal prefixes of the
//! log give equal states. See [contracts](../../docs/design/contracts.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::{Contract, ContractError};
use crate::ids::{Name, Offset, PublishId, Revision};

/// Largest number of customers on one stream of contracts.
pub const MAX_CUSTOMERS: usize = 1_024;

/// Number of accepted publish ids that are kept for each customer.
///
/// Dropping an older id is safe: a record is accepted only if its base is the current revision,
/// and the current revision is past the base of every record that was accepted. The ids only
/// serve to distinguish a duplicate of an accepted record from a record that lost a race.
pub const MAX_PUBLISHED: usize = 16;

/// Record on the stream of contracts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum ContractRecord {
    /// A revision that an operator publishes; if accepted, it becomes revision `base + 1`.
    Publish {
        /// Identifies the publication; every copy of the record has the same id.
        id: PublishId,
        /// Revision that the contract replaces.
        base: Revision,
        /// Contract to put in force.
        contract: Arc<Contract>,
    },
    /// A reader's state, appended so that the records it covers may expire.
    Snapshot {
        /// State, with the first offset that it does not cover.
        state: Box<ContractState>,
    },
    /// State from which every reader continues after records expired that no reader had read.
    ///
    /// It is valid only if its offset directly follows the last record that its author had read.
    /// Every reader can check that by comparing `expected` with the record's offset.
    Resume {
        /// Offset that the author expected this record to get.
        expected: Offset,
        /// State of the author when it appended the record.
        state: Box<ContractState>,
    },
}

/// Result of applying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The contract is in force as this revision.
    Accepted(Revision),
    /// A record with the same publish id was accepted before, as this revision.
    Duplicate(Revision),
    /// The base is not the customer's current revision, which is given.
    Superseded(Revision),
    /// The record is invalid for every reader and was skipped.
    Malformed(RecordFault),
    /// The state already covers the offset.
    Stale,
    /// The state was replaced by a snapshot that covers more; the next record to apply is at
    /// [`ContractState::next`].
    SnapshotTaken,
    /// The snapshot covers no more than the state does.
    SnapshotIgnored,
    /// The state was replaced by that of a resume record; records that expired unread are void.
    Resumed,
    /// Other records were appended between the author's last read and its resume record.
    ResumeIgnored,
    /// Records are missing before this one; the state did not change.
    Gap {
        /// First missing offset.
        from: Offset,
        /// Offset of the record, which is the first one that is not missing.
        until: Offset,
    },
}

/// Why a record is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// The bytes are not a record.
    #[error("the record could not be decoded")]
    Undecodable,
    /// The contract is inconsistent.
    #[error(transparent)]
    Contract(#[from] ContractError),
    /// The base is the largest revision number.
    #[error("base revision {0} has no successor")]
    BaseOverflow(Revision),
    /// The stream already has [`MAX_CUSTOMERS`] customers, and the record is for another one.
    #[error("the stream of contracts already has {MAX_CUSTOMERS} customers, the maximum")]
    TooManyCustomers,
    /// The state in a snapshot or resume record is invalid.
    #[error(transparent)]
    State(#[from] ContractStateError),
}

/// Why a state is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContractStateError {
    /// The state claims to cover the record that carries it.
    #[error("the state covers offsets below {next}, but the record that carries it is at {offset}")]
    CoversItself {
        /// First offset that the state does not cover.
        next: Offset,
        /// Offset of the record.
        offset: Offset,
    },
    /// The state has more than [`MAX_CUSTOMERS`] customers.
    #[error("the state has more than {MAX_CUSTOMERS} customers, the maximum")]
    TooLarge,
    /// The contract of a customer's entry is that of another customer.
    #[error("the entry of customer {0} has the contract of another customer")]
    ForeignContract(Name),
    /// A customer has no publish id, more than [`MAX_PUBLISHED`], or ids whose revisions do not
    /// increase.
    #[error("customer {0} must have 1 to {MAX_PUBLISHED} publish ids, by increasing revision")]
    PublishedMismatch(Name),
    /// A contract in force is inconsistent.
    #[error(transparent)]
    Contract(#[from] ContractError),
}

/// Contract in force for a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce<'a> {
    /// Revision in force.
    pub revision: Revision,
    /// Publication that created the revision.
    pub id: PublishId,
    /// Contract in this revision.
    pub contract: &'a Arc<Contract>,
}

/// What a node reports about one publication; an operator's command reports "accepted" only if
/// a node confirms it this way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishStatus {
    /// Revision in force at the node.
    pub current: Revision,
    /// Revision as which the publication was accepted, if the node still has its id.
    pub accepted: Option<Revision>,
}

/// Contracts in force after all records up to an offset of the stream of contracts.
///
/// Bounded by [`MAX_CUSTOMERS`] contracts with [`MAX_PUBLISHED`] ids each. Two states with the
/// same [`next`](Self::next) are equal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContractState {
    next: Offset,
    customers: BTreeMap<Name, Entry>,
}

/// Contract in force for one customer, with the latest accepted publications.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    contract: Arc<Contract>,
    published: Vec<Published>,
}

/// Publication that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Published {
    id: PublishId,
    revision: Revision,
}

impl ContractState {
    /// State before the first record of the stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// First offset that the state does not cover.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Contract in force for a customer.
    pub fn in_force(&self, customer: &Name) -> Option<InForce<'_>> {
        let entry = self.customers.get(customer)?;
        let Published { id, revision } = *entry.published.last()?;
        Some(InForce { revision, id, contract: &entry.contract })
    }

    /// Customers with a contract in force, in the order of their names.
    pub fn customers(&self) -> impl Iterator<Item = &Name> {
        self.customers.keys()
    }

    /// Revision in force for a customer; zero if there is none.
    pub fn revision(&self, customer: &Name) -> Revision {
        self.in_force(customer).map_or(Revision(0), |found| found.revision)
    }

    /// Status of a publication according to this state.
    pub fn publish_status(&self, customer: &Name, id: PublishId) -> PublishStatus {
        let accepted = self.customers.get(customer).and_then(|entry| entry.accepted(id));
        PublishStatus { current: self.revision(customer), accepted }
    }

    /// Applies the record at `offset` and moves the state past it.
    ///
    /// A record behind a gap is not applied: without the missing records, the state could accept
    /// a publication that lost a race. Only a snapshot, a resume record or
    /// [`adopt`](Self::adopt) closes a gap.
    pub fn apply(&mut self, offset: Offset, record: &ContractRecord) -> Verdict {
        if offset < self.next {
            return Verdict::Stale;
        }
        match record {
            ContractRecord::Publish { id, base, contract } => {
                self.in_sequence(offset, |state| state.publish(*id, *base, contract))
            }
            ContractRecord::Snapshot { state } => self.snapshot(offset, state),
            ContractRecord::Resume { expected, state } => self.resume(offset, *expected, state),
        }
    }

    /// Moves the state past a record that could not be decoded.
    pub fn skip(&mut self, offset: Offset) -> Verdict {
        if offset < self.next {
            return Verdict::Stale;
        }
        self.in_sequence(offset, |_| Verdict::Malformed(RecordFault::Undecodable))
    }

    /// Replaces this state by a peer's valid state that covers more; returns whether it did.
    ///
    /// The state never moves back in the log, and so neither do the contracts in force.
    pub fn adopt(&mut self, peer: &Self) -> bool {
        let adopted = peer.next > self.next && peer.verify().is_ok();
        if adopted {
            self.clone_from(peer);
        }
        adopted
    }

    /// Checks the bounds and the consistency of each customer's entry.
    pub fn verify(&self) -> Result<(), ContractStateError> {
        if self.customers.len() > MAX_CUSTOMERS {
            return Err(ContractStateError::TooLarge);
        }
        self.customers.iter().try_for_each(|(customer, entry)| entry.verify(customer))
    }

    fn in_sequence(&mut self, offset: Offset, apply: impl FnOnce(&mut Self) -> Verdict) -> Verdict {
        if offset > self.next {
            return Verdict::Gap { from: self.next, until: offset };
        }
        let verdict = apply(self);
        self.next = next_offset(offset);
        verdict
    }

    fn publish(&mut self, id: PublishId, base: Revision, contract: &Arc<Contract>) -> Verdict {
        let status = self.publish_status(&contract.customer, id);
        if let Some(revision) = status.accepted {
            return Verdict::Duplicate(revision);
        }
        if base != status.current {
            return Verdict::Superseded(status.current);
        }
        match self.accept(id, base, contract) {
            Ok(revision) => Verdict::Accepted(revision),
            Err(fault) => Verdict::Malformed(fault),
        }
    }

    fn accept(
        &mut self,
        id: PublishId,
        base: Revision,
        contract: &Arc<Contract>,
    ) -> Result<Revision, RecordFault> {
        contract.verify()?;
        let revision = base.0.checked_add(1).map(Revision);
        let revision = revision.ok_or(RecordFault::BaseOverflow(base))?;
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&contract.customer)
        {
            return Err(RecordFault::TooManyCustomers);
        }
        let entry = self.customers.entry(contract.customer.clone());
        let entry = entry.or_insert_with(|| Entry::new(contract));
        entry.contract = contract.clone();
        entry.push_published(Published { id, revision });
        Ok(revision)
    }

    fn snapshot(&mut self, offset: Offset, state: &Self) -> Verdict {
        if let Err(fault) = state.verify_embedded(offset) {
            return self.in_sequence(offset, |_| Verdict::Malformed(fault.into()));
        }
        if self.adopt(state) {
            return Verdict::SnapshotTaken;
        }
        self.in_sequence(offset, |_| Verdict::SnapshotIgnored)
    }

    fn resume(&mut self, offset: Offset, expected: Offset, state: &Self) -> Verdict {
        if let Err(fault) = state.verify_embedded(offset) {
            return self.in_sequence(offset, |_| Verdict::Malformed(fault.into()));
        }
        if expected != offset {
            return self.in_sequence(offset, |_| Verdict::ResumeIgnored);
        }
        self.clone_from(state);
        self.next = next_offset(offset);
        Verdict::Resumed
    }

    fn verify_embedded(&self, offset: Offset) -> Result<(), ContractStateError> {
        if self.next > offset {
            return Err(ContractStateError::CoversItself { next: self.next, offset });
        }
        self.verify()
    }
}

impl Entry {
    fn new(contract: &Arc<Contract>) -> Self {
        Self { contract: contract.clone(), published: Vec::new() }
    }

    fn accepted(&self, id: PublishId) -> Option<Revision> {
        let found = self.published.iter().find(|published| published.id == id);
        found.map(|published| published.revision)
    }

    /// Appends a publication, and drops the oldest if there are already [`MAX_PUBLISHED`].
    fn push_published(&mut self, published: Published) {
        if self.published.len() >= MAX_PUBLISHED {
            self.published.remove(0);
        }
        self.published.push(published);
    }

    fn verify(&self, customer: &Name) -> Result<(), ContractStateError> {
        if self.contract.customer != *customer {
            return Err(ContractStateError::ForeignContract(customer.clone()));
        }
        let increasing = self.published.windows(2).all(|pair| pair[0].revision < pair[1].revision);
        let bounded = (1..=MAX_PUBLISHED).contains(&self.published.len());
        if !increasing || !bounded {
            return Err(ContractStateError::PublishedMismatch(customer.clone()));
        }
        Ok(self.contract.verify()?)
    }
}

/// Offset that directly follows `offset`.
fn next_offset(offset: Offset) -> Offset {
    Offset(offset.0.saturating_add(1))
}
