//! The shared record of targets: which target stands at which node, and in which state.
//!
//! Each node writes one record about the target beside it and reads those of all others. Records
//! arrive late and out of order, from the store and from peers, so that [`Roster::merge`] decides
//! by the target's own start time and sequence. See [platform](../../docs/design/platform.md).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceId, Name};

/// Ranges of peer addresses for which two rosters are compared; with 32 of them a record that one
/// side lacks costs a thirtieth of the roster and 160 bytes of digests.
const RANGES: usize = 32;

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

impl TargetRecord {
    /// Hash of what [`Roster::merge`] decides by.
    fn checksum(&self) -> u64 {
        let Self { peer, instance, age, stage, .. } = self;
        xxh3_64(format!("{peer}|{instance}|{age:?}|{stage:?}").as_bytes())
    }
}

/// Sums over the records of each range of addresses; they don't depend on the records' order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u32; RANGES]);

/// Ranges in which two rosters differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges(u32);

impl Digest {
    /// Ranges in which `other` differs.
    pub fn differing(&self, other: &Self) -> Ranges {
        let pairs = self.0.iter().zip(other.0).enumerate();
        Ranges(pairs.fold(0, |bits, (idx, (one, two))| bits | u32::from(*one != two) << idx))
    }

    /// One number for all ranges.
    pub fn checksum(&self) -> u64 {
        self.0.iter().fold(0, |sum: u64, part| sum.rotate_left(5) ^ u64::from(*part))
    }

    fn add(&mut self, record: &TargetRecord) {
        let sum = &mut self.0[range_of(&record.peer)];
        *sum = sum.wrapping_add(record.checksum() as u32);
    }

    fn subtract(&mut self, record: &TargetRecord) {
        let sum = &mut self.0[range_of(&record.peer)];
        *sum = sum.wrapping_sub(record.checksum() as u32);
    }
}

impl Ranges {
    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

fn range_of(peer: &Name) -> usize {
    (xxh3_64(peer.as_str().as_bytes()) % RANGES as u64) as usize
}

/// Records of all nodes, by peer address; one per node that was ever seen.
#[derive(Debug, Default)]
pub struct Roster {
    records: BTreeMap<Name, TargetRecord>,
    digest: Digest,
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
        self.digest.add(&record);
        if let Some(before) = self.records.insert(record.peer.clone(), record) {
            self.digest.subtract(&before);
        }
        self.version += 1;
        true
    }

    /// Drops the record of a node that is gone for good.
    pub fn remove(&mut self, peer: &Name) -> bool {
        let Some(record) = self.records.remove(peer) else { return false };
        self.digest.subtract(&record);
        self.version += 1;
        true
    }

    /// Record of the target beside the node at `peer`.
    pub fn get(&self, peer: &Name) -> Option<&TargetRecord> {
        self.records.get(peer)
    }

    /// All records, in the order of the peers' addresses.
    pub fn iter(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Digest by which two rosters are compared.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Records of the given ranges.
    pub fn in_ranges(&self, ranges: Ranges) -> impl Iterator<Item = &TargetRecord> {
        self.records.values().filter(move |record| ranges.0 >> range_of(&record.peer) & 1 == 1)
    }

    /// Number that grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }
}
