//! Rate limits of workspaces over all nodes.
//!
//! Each workspace has an owner node that holds its token bucket ([`QuotaOwner`]). Entry nodes lease
//! tokens from the owner in small batches ([`EntryQuotas`]). See
//! [workspace limits](../../../docs/design/workspace-limits.md), which also derives the bound that
//! the constants of these modules keep.

mod bucket;
mod entry;
mod members;
mod owner;
mod reach;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

pub use entry::{EntryQuotas, LeaseToken, Settlement, TokenResult};
pub use members::{QuotaMembers, Ranking};
pub use owner::{Answerer, QuotaOwner};
pub use reach::{PeerFailure, Reachability};

use crate::ids::Name;
use crate::workspace::WorkspaceRate;

/// Hash of a workspace's name, which identifies it in messages. 64 bits keep the probability that
/// two of 10,000 workspaces share a hash below 1e-11.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceHash(u64);

impl WorkspaceHash {
    /// Hash of the workspace with this name.
    pub fn of(name: &Name) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

/// Workspace with a rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitedWorkspace {
    /// Hash of its name.
    pub hash: WorkspaceHash,
    /// Its limit.
    pub rate: WorkspaceRate,
}

/// Request of an entry node for tokens. The order of the fields is the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Workspace whose tokens are requested.
    pub workspace: WorkspaceHash,
    /// Number of tokens.
    pub wanted: u32,
    /// Number of requests that the entry node has refused since its previous request for tokens.
    pub refused: u32,
    /// Whether the request is passed on by a node that was asked for the tokens. The receiver
    /// answers it itself, so that no request circulates.
    pub relayed: bool,
}

/// Answer to a [`LeaseRequest`]. Variant names and the order of fields are the wire format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// Tokens that the entry node may spend.
    #[serde(rename = "g")]
    Granted(TokenGrant),
    /// The rules of the answering node define no limit for the workspace.
    #[serde(rename = "u")]
    Unlimited,
    /// The answering node has no rules, so it cannot tell whether there is a limit.
    #[serde(rename = "n")]
    NoRules,
}

/// Tokens granted, and when more can be granted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Number of tokens.
    pub tokens: u32,
    /// Time until the next token, in milliseconds; zero if all wanted tokens are granted.
    pub ready_ms: u32,
    /// Time until the requests refused so far can have been served, in milliseconds.
    pub queue_ms: u32,
}

/// Time after which leased tokens expire, counted by the entry node from its request for them.
///
/// The requests of a window of 5 s spend tokens that were granted within 5.4 s, which is within the
/// tolerance of a tenth. Longer leases would exceed it under sustained overload.
pub const LEASE_TIME: Duration = Duration::from_millis(400);

/// Time for which a request waits for a token.
pub const TOKEN_WAIT: Duration = Duration::from_millis(300);

/// Time for which an entry node waits for the answer of the owner before it asks the second node;
/// half of [`TOKEN_WAIT`], so that both can answer.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a node waits for the answer to a request that it passes on; shorter than
/// [`LEASE_TIMEOUT`], so that it can answer itself afterwards.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(100);

/// Whole milliseconds, rounded up so that a delay is never stated too short.
fn ceil_millis(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
