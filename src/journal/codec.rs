//! How segments and snapshots are written: JSON, compressed.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// Compression that costs little time.
const LEVEL: i32 = 1;

/// A value that can't be read back.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CodecError {
    #[error("journal value: {0}")]
    Compression(#[from] std::io::Error),
    #[error("journal value: {0}")]
    Shape(#[from] serde_json::Error),
}

pub(crate) fn encode(value: &impl Serialize) -> Result<Bytes, CodecError> {
    let json = serde_json::to_vec(value)?;
    Ok(zstd::bulk::compress(&json, LEVEL)?.into())
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let json = zstd::stream::decode_all(bytes)?;
    Ok(serde_json::from_slice(&json)?)
}
