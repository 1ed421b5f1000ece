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
