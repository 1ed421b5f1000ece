//! The time that a caller has left, as gRPC carries it between nodes.

#[cfg(test)]
mod tests;

use teaselgap_core::Span;
use tonic::metadata::MetadataMap;

/// The metadata field with the time that the caller of an RPC waits: up to eight digits and a unit.
const TIMEOUT_FIELD: &str = "grpc-timeout";

/// Returns how long the caller of an RPC waits for the answer; `None` if it doesn't say.
pub(super) fn caller_timeout(metadata: &MetadataMap) -> Option<Span> {
    parse_timeout(metadata.get(TIMEOUT_FIELD)?.to_str().ok()?)
}

fn parse_timeout(text: &str) -> Option<Span> {
    let (value, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let value: u64 = value.parse().ok()?;
    let millis = match unit {
        "H" => value.checked_mul(3_600_000)?,
        "M" => value.checked_mul(60_000)?,
        "S" => value.checked_mul(1_000)?,
        "m" => value,
        "u" => value / 1_000,
        "n" => value / 1_000_000,
        _ => return None,
    };
    Some(Span(millis))
}
