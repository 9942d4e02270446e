//! The shared record of targets: which target stands at which node, and in which state.
//!
//! Each node writes one record about the target beside it and reads those of all others. Records
//! arrive late and out of order, from the store and from peers, so that [`Roster::merge`] decides
//! by the target's own start time and sequence. See [platform](../../docs/design/platform.md).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Name};

/// Stage of a target by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Takes work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Has left, or was found gone.
    Left,
}

/// Place of a statement in the life of a target: a later start wins, then a later statement.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Age {
    /// Start of the target, in milliseconds of Unix time on the target's own clock.
    pub born: u64,
    /// Number of the statement since that start.
    pub sequence: u64,
}

/// What is known about the target beside one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Address at which the node beside the target takes messages of its peers; the record's key.
    pub peer: Name,
    /// Instance.
    pub instance: InstanceId,
    /// Service that it runs.
    pub service: Name,
    /// Address at which the target itself listens.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Stage.
    pub stage: Stage,
    /// Time for which it stays slow after its start, counted from when the record was written.
    pub cold: Duration,
    /// Place in the life of the target.
    pub age: Age,
}

/// Records of all nodes, by peer address; one per node that was ever seen.
#[derive(Debug, Default)]
pub struct Roster {
    records: BTreeMap<Name, TargetRecord>,
    /// Grows with each change, so that readers notice one cheaply.
    version: u64,
}

impl Roster {
    /// Takes a record in; says whether it was news.
    pub fn merge(&mut self, record: TargetRecord) -> bool {
        let known = self.records.get(&record.peer);
        if known.is_some_and(|known| (known.age, known.stage) >= (record.age, record.stage)) {
            return false;
        }
        self.records.insert(record.peer.clone(), record);
        self.version += 1;
        true
    }

    /// Drops the record of a node that is gone for good.
    pub fn forget(&mut self, peer: &Name) -> bool {
        let known = self.records.remove(peer).is_some();
        self.version += u64::from(known);
        known
    }

    /// Record of the target beside the node at `peer`.
    pub fn get(&self, peer: &Name) -> Option<&TargetRecord> {
        self.records.get(peer)
    }

    /// All records, in the order of the peers' addresses.
    pub fn iter(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Number that grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }
}
