//! Fold of the log's contract records into the contracts in force.
//!
//! Every process that reads the stream of contracts (node, operator's command, model check)
//! judges records with [`ContractState::apply`] and nothing else, so that equal prefixes of the log give
//! equal states. See [contracts](../../docs/design/contracts.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::contract::{Contract, ContractError};
use crate::ids::{Name, Offset, PublishId, Revision};

/// Largest number of customers on one stream of contracts.
pub const MAX_CUSTOMERS: usize = 1_024;

/// Accepted publish ids that are remembered for each customer.
///
/// Forgetting an id is safe: a record is accepted only if its base is the current revision, and
/// the revision has moved past the base of every record that was accepted. The memory only lets
/// a repeated record be told apart from one that lost a race.
pub const MAX_PUBLISHED: usize = 16;

/// Record on the stream of contracts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum ContractRecord {
    /// A revision that an operator publishes; if accepted, it becomes revision `base + 1`.
    Publish {
        /// Act of publishing.
        id: PublishId,
        /// Revision that the operator revised.
        base: Revision,
        /// Contract.
        contract: Arc<Contract>,
    },
    /// State of a fold, appended so that the records it covers may expire.
    Snapshot {
        /// State, which names the first offset that it does not cover.
        state: Box<ContractState>,
    },
    /// State from which every reader goes on after records expired that no reader had read.
    ///
    /// It counts only if it was appended right behind the last record that its author had read,
    /// so that whether it counts shows from the record alone.
    Resume {
        /// Offset that the author expected this record to get.
        expected: Offset,
        /// State that the author held.
        state: Box<ContractState>,
    },
}

/// What the fold says of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The contract is in force as this revision.
    Accepted(Revision),
    /// The same act of publishing was accepted before, as this revision.
    Duplicate(Revision),
    /// The base is not the customer's current revision, which is given.
    Superseded(Revision),
    /// The record can't be judged by any reader; it is passed over.
    Malformed(RecordFault),
    /// The offset was folded before.
    Stale,
    /// A snapshot moved the state up; reading goes on at [`ContractState::next`].
    SnapshotTaken,
    /// A snapshot covers no more than the state does.
    SnapshotIgnored,
    /// The state was replaced, and the records that expired unread are void.
    Resumed,
    /// A resume record that other records had overtaken.
    ResumeIgnored,
    /// Records are missing before this one; nothing was judged.
    Gap {
        /// First missing offset.
        from: Offset,
        /// First offset that is not missing.
        until: Offset,
    },
}

/// Why a record can't be judged.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// The bytes are not a record.
    #[error("the record could not be decoded")]
    Undecodable,
    /// The contract contradicts itself.
    #[error(transparent)]
    Contract(#[from] ContractError),
    /// There is no revision after the base.
    #[error("no revision follows base {0}")]
    BaseOverflow(Revision),
    /// The stream has [`MAX_CUSTOMERS`] customers.
    #[error("the stream holds {MAX_CUSTOMERS} customers and takes no more")]
    TooManyCustomers,
    /// The state in a snapshot or resume record is broken.
    #[error(transparent)]
    State(#[from] ContractStateError),
}

/// What is wrong with a state.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ContractStateError {
    /// The state claims to cover the record that carries it.
    #[error("the state goes up to offset {next} but its record is at {offset}")]
    CoversItself {
        /// First offset that the state does not cover.
        next: Offset,
        /// Offset of the record.
        offset: Offset,
    },
    /// A bounded list holds too much.
    #[error("the state holds more than its bounds allow")]
    TooLarge,
    /// A contract stands under another customer's name.
    #[error("customer {0} holds another customer's contract")]
    ForeignContract(Name),
    /// The remembered publish ids of a customer do not end at the revision in force.
    #[error("customer {0}: the publish ids do not fit the revision in force")]
    PublishedMismatch(Name),
    /// A contract in force contradicts itself.
    #[error(transparent)]
    Contract(#[from] ContractError),
}

/// Contract in force for a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce<'a> {
    /// Revision.
    pub revision: Revision,
    /// Act of publishing that made the revision.
    pub id: PublishId,
    /// Contract.
    pub contract: &'a Arc<Contract>,
}

/// A node's word on one act of publishing; an operator is told "accepted" only with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishStatus {
    /// Revision in force at the node.
    pub current: Revision,
    /// Revision as which the act of publishing was accepted, if the node remembers it.
    pub accepted: Option<Revision>,
}

/// State of a reader of the stream of contracts: what is in force up to an offset.
///
/// Bounded by [`MAX_CUSTOMERS`] contracts with [`MAX_PUBLISHED`] ids each. Two folds with the same
/// [`next`](Self::next) are equal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContractState {
    next: Offset,
    customers: BTreeMap<Name, Entry>,
}

/// Contract in force for one customer, with the acts of publishing that led there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    contract: Arc<Contract>,
    published: Vec<Published>,
}

/// Act of publishing that was accepted.
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

    /// What this reader can say of an act of publishing.
    pub fn publish_status(&self, customer: &Name, id: PublishId) -> PublishStatus {
        let accepted = self.customers.get(customer).and_then(|entry| entry.accepted(id));
        PublishStatus { current: self.revision(customer), accepted }
    }

    /// Judges the record at `offset` and moves the state past it.
    ///
    /// Nothing is judged across a gap: a fold that starts in the middle could accept the loser of
    /// a race. Only a snapshot or a resume record closes a gap, or [`adopt`](Self::adopt).
    pub fn apply(&mut self, offset: Offset, record: &ContractRecord) -> Verdict {
        if offset < self.next {
            return Verdict::Stale;
        }
        match record {
            ContractRecord::Publish { id, base, contract } => {
                self.in_sequence(offset, |fold| fold.publish(*id, *base, contract))
            }
            ContractRecord::Snapshot { state } => self.snapshot(offset, state),
            ContractRecord::Resume { expected, state } => self.resume(offset, *expected, state),
        }
    }

    /// Passes over a record that could not be decoded.
    pub fn skip(&mut self, offset: Offset) -> Verdict {
        if offset < self.next {
            return Verdict::Stale;
        }
        self.in_sequence(offset, |_| Verdict::Malformed(RecordFault::Undecodable))
    }

    /// Takes over the state of a peer if it covers more than this one; returns whether it did.
    ///
    /// The state never moves back in the log, so neither does what is in force.
    pub fn adopt(&mut self, peer: &Self) -> bool {
        let adopted = peer.next > self.next && peer.verify().is_ok();
        if adopted {
            self.clone_from(peer);
        }
        adopted
    }

    /// Checks the bounds and that each customer's entry fits together.
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

    /// Appends, and drops the oldest beyond the bound.
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

/// Offset behind `offset`.
fn next_offset(offset: Offset) -> Offset {
    Offset(offset.0.saturating_add(1))
}
