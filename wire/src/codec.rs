//! Codec of the messages between nodes: MessagePack by rmp-serde.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest message between nodes but for a handover, in bytes; its reader stops there.
pub const MESSAGE_LIMIT_BYTES: usize = 4 << 20;

/// Largest handover of a table of once-only requests, in bytes.
pub const HANDOVER_LIMIT_BYTES: usize = 24 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value cannot be encoded.
    #[error("message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not such a message.
    #[error("message cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message exceeds [`HANDOVER_LIMIT_BYTES`], the larger of the two limits.
    #[error("message of {0} bytes is too large")]
    TooLarge(usize),
}

/// Encodes `message`.
///
/// # Errors
///
/// `Encode` if the value has no MessagePack form.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    Ok(Bytes::from(rmp_serde::to_vec(message)?))
}

/// Decodes a message.
///
/// # Errors
///
/// `TooLarge` above the limit, `Decode` if `bytes` hold something else.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    if bytes.len() > HANDOVER_LIMIT_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(rmp_serde::from_slice(bytes)?)
}
