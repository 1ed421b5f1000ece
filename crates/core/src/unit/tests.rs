use super::*;

#[test]
fn spans_and_sizes_round_trip_through_text() {
    for text in ["250ms", "30s", "5m", "2h", "28d", "0ms"] {
        assert_eq!(text.parse::<Span>().unwrap().to_string(), text);
    }
    for text in ["1B", "64KiB", "3MiB", "2GiB"] {
        assert_eq!(text.parse::<ByteSize>().unwrap().to_string(), text);
    }
}

#[test]
fn an_overflowing_span_is_rejected() {
    assert!("99999999999999999999d".parse::<Span>().is_err());
    assert!("999999999999999999d".parse::<Span>().is_err());
}

#[test]
fn a_budget_is_the_share_of_the_period_outside_the_availability() {
    let target: Availability = "99.9%".parse().unwrap();

    assert_eq!(target.budget("28d".parse().unwrap()), Span(2_419_200));
}
