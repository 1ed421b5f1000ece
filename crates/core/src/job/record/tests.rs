use super::*;

#[test]
fn a_segment_shows_how_much_longer_earlier_owners_may_give_orders() {
    let value = encode_segment(Epoch(7), Span(2_900), Timestamp(5_000), &[]);

    let segment = StoredSegment::decode(3, &value).unwrap();

    assert_eq!(segment.earlier_orders_left, Span(2_900));
    assert_eq!(segment.written, Timestamp(5_000));
    assert_eq!((segment.epoch, segment.records), (Epoch(7), Vec::new()));
}

#[test]
fn a_segment_of_an_earlier_version_is_read() {
    let segment = StoredSegment::decode(3, br#"{"epoch":7,"records":[]}"#).unwrap();

    assert_eq!(segment.earlier_orders_left, Span(0));
}

#[test]
fn a_segment_without_records_is_no_larger_than_reckoned() {
    let value = encode_segment(Epoch(u64::MAX), Span(u64::MAX), Timestamp(u64::MAX), &[]);

    assert!(value.len() <= EMPTY_SEGMENT_BYTES, "{}", value.len());
}

/// Owners of an earlier and a later build follow each other during a rolling restart.
#[test]
fn a_record_with_a_field_of_a_later_build_is_read_without_it() {
    let record = Record::Accepted {
        job: JobId(7),
        queue: "quotes".parse().unwrap(),
        spec: JobSpec::default(),
        wall_ms: 1_000,
        settings: None,
    };
    let mut stored = serde_json::to_value(&record).unwrap();
    stored["accepted"]["field_of_a_later_build"] = serde_json::json!({"max_attempts": 3});
    let value = format!(r#"{{"epoch":7,"records":[{stored}]}}"#);

    let segment = StoredSegment::decode(3, value.as_bytes()).unwrap();

    assert_eq!(segment.records, [record]);
}
