//! Roster of targets: which target runs next to which node, and in which stage it is.
//!
//! Each node writes one record of the target next to it and reads those of all other nodes. The
//! records come from the store and from peers, late and out of order, so [`Roster::merge`] orders
//! them by the target's own start time and sequence number. See
//! [platform](../../docs/design/platform.md).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{InstanceId, Name};

/// Number of ranges of peer addresses by which two rosters are compared. With 32 of them, the
/// transfer of a missing record costs about a thirtieth of the roster and 160 bytes of digests.
const RANGES: usize = 32;

/// Stage of a target, as its record states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Accepts requests.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Has left, or was found to be gone.
    Left,
}

/// Version of a target's record. A later start takes precedence, then a higher sequence number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Age {
    /// Start of the target, in milliseconds of Unix time on the target's own clock.
    pub born: u64,
    /// Sequence number of the record since that start.
    pub sequence: u64,
}

/// Record of the target next to one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Address at which the node next to the target accepts messages from its peers; the record's
    /// key.
    pub peer: Name,
    /// Instance that the target runs as.
    pub instance: InstanceId,
    /// Service that the target runs.
    pub service: Name,
    /// Address at which the target itself listens.
    pub address: Name,
    /// Availability zone of the target.
    pub zone: Name,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Stage of the target.
    pub stage: Stage,
    /// Time for which the target stays slow after its start, counted from the time at which the
    /// record was written.
    pub cold: Duration,
    /// Version of the record.
    pub age: Age,
}

impl TargetRecord {
    fn is_same_lifetime(&self, other: &Self) -> bool {
        self.instance == other.instance && self.age.born == other.age.born
    }

    /// Hash of the key and the instance, and of the age and stage that [`Roster::merge`] compares.
    ///
    /// Nodes exchange sums of these hashes, so the `Debug` texts of [`Age`] and [`Stage`], which
    /// contain their names, must not change.
    fn checksum(&self) -> u64 {
        let Self { peer, instance, age, stage, .. } = self;
        xxh3_64(format!("{peer}|{instance}|{age:?}|{stage:?}").as_bytes())
    }
}

/// Sum of the checksums of the records in each range of addresses, which does not depend on the
/// order of the records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u32; RANGES]);

/// Ranges in which two rosters differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranges(u32);

impl Digest {
    /// Ranges in which the two digests differ.
    pub fn differing(&self, other: &Self) -> Ranges {
        let pairs = self.0.iter().zip(other.0).enumerate();
        Ranges(pairs.fold(0, |bits, (idx, (one, two))| bits | u32::from(*one != two) << idx))
    }

    /// Checksum over all ranges.
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
    /// Whether the set has no range.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

fn range_of(peer: &Name) -> usize {
    (xxh3_64(peer.as_str().as_bytes()) % RANGES as u64) as usize
}

/// Records of the targets of all nodes, by peer address; one for each node until it is removed.
#[derive(Debug, Default)]
pub struct Roster {
    records: BTreeMap<Name, TargetRecord>,
    digest: Digest,
    /// Number of changes so far, by which readers detect a change without comparing records.
    version: u64,
}

impl Roster {
    /// Stores a record if it is newer than the known one; returns whether it did. Of two records
    /// of the same age, the one with the later stage is newer.
    ///
    /// The stage never goes back within a lifetime of a target: a node that has restarted may not
    /// know that its target leaves.
    pub fn merge(&mut self, mut record: TargetRecord) -> bool {
        let known = self.records.get(&record.peer);
        if let Some(known) = known.filter(|known| known.is_same_lifetime(&record)) {
            record.stage = record.stage.max(known.stage);
        }
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

    /// Removes the record of a node that is permanently gone; returns whether there was one.
    pub fn remove(&mut self, peer: &Name) -> bool {
        let Some(record) = self.records.remove(peer) else { return false };
        self.digest.subtract(&record);
        self.version += 1;
        true
    }

    /// Record of the target next to the node at `peer`.
    pub fn get(&self, peer: &Name) -> Option<&TargetRecord> {
        self.records.get(peer)
    }

    /// All records, in the order of the peers' addresses.
    pub fn iter(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Digest of the records, to compare with that of another roster.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Records in the given ranges.
    pub fn in_ranges(&self, ranges: Ranges) -> impl Iterator<Item = &TargetRecord> {
        self.records.values().filter(move |record| ranges.0 >> range_of(&record.peer) & 1 == 1)
    }

    /// Number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
    }
}
