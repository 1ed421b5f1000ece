//! The encoding of segments, snapshots and histories: JSON compressed by zstd.

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

/// The zstd level; low levels cost little CPU time.
const COMPRESSION_LEVEL: i32 = 1;

/// A journal value can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CodecError {
    #[error("cannot encode or decode a journal value: {0}")]
    Compression(#[from] std::io::Error),
    #[error("cannot encode or decode a journal value: {0}")]
    Json(#[from] serde_json::Error),
}

pub(crate) fn encode(value: &impl Serialize) -> Result<Bytes, CodecError> {
    let json = serde_json::to_vec(value)?;
    Ok(zstd::bulk::compress(&json, COMPRESSION_LEVEL)?.into())
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let json = zstd::stream::decode_all(bytes)?;
    Ok(serde_json::from_slice(&json)?)
}
