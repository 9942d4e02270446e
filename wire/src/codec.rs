//! Encodes and decodes the messages between nodes as MessagePack, with rmp-serde.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest message between nodes other than a handover, in bytes; readers of a message body stop at
/// this size.
pub const MESSAGE_LIMIT_BYTES: usize = 4 << 20;

/// Largest handover message, which carries an instance's table of once-only requests, in bytes.
pub const HANDOVER_LIMIT_BYTES: usize = 24 << 20;

/// Failure to encode or decode a message.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value has no MessagePack form.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a message of the expected type.
    #[error("message cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message exceeds [`HANDOVER_LIMIT_BYTES`], the larger of the two limits.
    #[error("message of {0} bytes exceeds the limit of {HANDOVER_LIMIT_BYTES} bytes")]
    TooLarge(usize),
}

/// Encodes `message` as MessagePack; structs become arrays of their fields in declaration order.
///
/// # Errors
///
/// `Encode` if `message` has no MessagePack form.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    Ok(Bytes::from(rmp_serde::to_vec(message)?))
}

/// Decodes a message that [`encode`] produced.
///
/// # Errors
///
/// `TooLarge` if `bytes` exceed [`HANDOVER_LIMIT_BYTES`], `Decode` if they are not a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > HANDOVER_LIMIT_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}
