//! Workspaces: the callers that share one set of keys, one importance and one rate limit.
//!
//! A caller proves by a key that it belongs to a workspace. Nodes store and exchange only digests
//! of keys, so that a memory or state dump of a node reveals none. See
//! [workspaces](../../docs/design/workspaces.md).

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::ids::{Importance, Name};

/// Size of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key.
///
/// Keys are looked up by digest. How long a comparison of two digests takes depends on the digests
/// only, and a caller cannot choose the digest of its key, so the time reveals nothing about the
/// stored keys.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digest of a key as a caller sends it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest: a weak key could be found from it by trying.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Limit on the requests of a workspace at all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRate {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that may be sent at once after a pause, in addition to the rate.
    pub burst: f64,
}

/// Callers that share keys and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, which is unique within a revision.
    pub name: Name,
    /// Digests of the keys that are valid in this revision.
    pub keys: Vec<KeyDigest>,
    /// Importance of its requests, which replaces that of their route; none to use the route's.
    pub importance: Option<Importance>,
    /// Limit on its requests; none if it has no limit.
    pub rate: Option<WorkspaceRate>,
}

/// Reason for which a list of workspaces is rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WorkspaceError {
    /// Two workspaces have the same name.
    #[error("workspace {0} is defined twice")]
    DuplicateName(Name),
    /// A key belongs to two workspaces, so that the workspace of its requests is ambiguous.
    #[error("workspaces {0} and {1} share a key")]
    SharedKey(Name, Name),
}

/// Index that finds the workspace of a key; built once for each revision.
///
/// The cost of a lookup is independent of the number of keys.
#[derive(Debug, Default)]
pub struct WorkspaceIndex {
    /// Indexes into the list of workspaces.
    keys: HashMap<KeyDigest, usize>,
}

impl WorkspaceIndex {
    /// Builds the index of `workspaces`.
    ///
    /// # Errors
    ///
    /// [`WorkspaceError`] if a name or a key occurs in two workspaces.
    pub fn new(workspaces: &[Workspace]) -> Result<Self, WorkspaceError> {
        let mut names = HashMap::new();
        let mut keys = HashMap::new();
        for (idx, workspace) in workspaces.iter().enumerate() {
            if names.insert(&workspace.name, idx).is_some() {
                return Err(WorkspaceError::DuplicateName(workspace.name.clone()));
            }
            for key in &workspace.keys {
                match keys.entry(*key) {
                    Entry::Vacant(entry) => {
                        entry.insert(idx);
                    }
                    Entry::Occupied(entry) if *entry.get() == idx => {}
                    Entry::Occupied(entry) => {
                        let other = workspaces[*entry.get()].name.clone();
                        return Err(WorkspaceError::SharedKey(other, workspace.name.clone()));
                    }
                }
            }
        }
        Ok(Self { keys })
    }

    /// Index into the list of workspaces of the one that holds `key`.
    pub fn find(&self, key: &KeyDigest) -> Option<usize> {
        self.keys.get(key).copied()
    }
}
