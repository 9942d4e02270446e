//! Typed identifiers. Distinct types prevent calls with two identifiers swapped.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Immutable string whose clones share the text; used for all names in the system.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name with the given text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// 32-bit hash that identifies the name where messages must be small.
    pub(crate) fn short_hash(&self) -> u32 {
        xxh3_64(self.0.as_bytes()) as u32
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

/// Defines a newtype over an unsigned integer that prints as that integer.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number! {
    /// Number of one send of a request, unique within the sending node.
    ///
    /// An answer is matched by request id and attempt, so that a late answer to an earlier send is
    /// never mistaken for the answer to a later one.
    AttemptId, u64
}
number! {
    /// Importance of a request class; larger numbers are more important.
    Importance, u8
}
number! {
    /// Number that grows each time an instance starts. Of two reports about an instance, the one
    /// with the larger incarnation is newer.
    Incarnation, u64
}
number! {
    /// Offset of a record in a stream of the platform's log.
    Offset, u64
}
number! {
    /// Number of times that the platform's store has come back from an older copy of its content.
    ///
    /// Offsets of different eras are not comparable: after a return, the store assigns the offsets
    /// behind the copy's end again. See [recovery](../../docs/design/store-recovery.md).
    Era, u64
}
number! {
    /// Revision of a customer's contract or of the routing rules; zero means that none has been
    /// accepted yet.
    Revision, u64
}

/// Name of one instance: a slot on a machine that runs a target and the node beside it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub Name);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl From<&str> for InstanceId {
    fn from(text: &str) -> Self {
        Self(Name::new(text))
    }
}

/// Defines a newtype over 128 bits that is formatted and parsed as 32 hexadecimal digits.
macro_rules! token {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
                if !digits {
                    return Err(ParseIdError);
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| ParseIdError)
            }
        }

        impl From<$name> for String {
            fn from(token: $name) -> Self {
                token.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }
    };
}

/// Error of parsing a 128-bit identifier from text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected 32 hexadecimal digits")]
pub struct ParseIdError;

token! {
    /// Identifier of one request, chosen by the caller or by the entry node.
    RequestId
}
token! {
    /// Identifier of one publication. A repeated append has the same identifier, so that the second
    /// record is ignored.
    PublishId
}

impl RequestId {
    /// Identifier of the call with index `ordinal` that a run of this request makes.
    ///
    /// It is derived from the request's identifier, so that every run of the request gives the call
    /// the same identifier.
    pub fn child(self, ordinal: u32) -> Self {
        let mut bytes = [0; 20];
        bytes[..16].copy_from_slice(&self.0.to_le_bytes());
        bytes[16..].copy_from_slice(&ordinal.to_le_bytes());
        Self(xxh3_128(&bytes))
    }

    /// Hash of the identifier that orders requests of the same importance for admission; uniformly
    /// distributed over 0..=65535 and the same at every hop.
    ///
    /// Overloaded services refuse the requests with the lowest tie-breakers first, so that all of
    /// them refuse the same requests rather than random parts of every request.
    pub fn tiebreak(self) -> u16 {
        (xxh3_64_with_seed(&self.0.to_le_bytes(), 0) >> 48) as u16
    }
}

/// Weight of `owner` for `key` in rendezvous hashing; the owner with the largest weight owns the
/// key.
pub fn rendezvous_weight(key: u128, owner: &str) -> u64 {
    xxh3_64_with_seed(owner.as_bytes(), (key as u64) ^ ((key >> 64) as u64))
}

/// Owner of `key` among `owners` by rendezvous hashing; every node with the same `owners` gets the
/// same result.
pub fn rendezvous_owner<'a>(
    key: u128,
    owners: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    owners.into_iter().max_by_key(|id| (rendezvous_weight(key, id.0.as_str()), *id))
}
