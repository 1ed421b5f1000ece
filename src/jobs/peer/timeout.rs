//! The time that a caller has left, as gRPC carries it between nodes.

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_unit_is_converted_to_milliseconds() {
        let texts = ["2S", "700m", "1500000u", "3000000n", "1M"];

        let parsed = texts.map(parse_timeout);

        assert_eq!(parsed, [2_000, 700, 1_500, 3, 60_000].map(|ms| Some(Span(ms))));
    }

    #[test]
    fn a_malformed_timeout_is_ignored() {
        assert_eq!(["", "m", "5", "xm", "5é"].map(parse_timeout), [None; 5]);
    }
}
