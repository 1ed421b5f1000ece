use super::{
    super::super::record::{self, EncodedRecord},
    *,
};
use crate::{Epoch, Span};

const NOW: Timestamp = Timestamp(1_000_000);

const LONGEST_LEASE: Span = Span(10_300);

fn used(instance: Option<u64>, stray_until_ms: Option<u64>) -> Record {
    Record::WorkerUsed { worker: "w0".into(), instance, stray_until_ms, is_copy: false }
}

fn segment(sequence: u64, (epoch, written): (u64, u64), records: &[Record]) -> StoredSegment {
    let encoded: Vec<EncodedRecord> = records.iter().map(EncodedRecord::new).collect();
    let value = record::encode_segment(Epoch(epoch), Span(0), Timestamp(written), &encoded);
    StoredSegment::decode(sequence, &value).unwrap()
}

fn lease(segments: &[StoredSegment]) -> StrayLease {
    InheritedLeases::find(segments, NOW).get(&"w0".into()).unwrap()
}

#[test]
fn a_lease_is_counted_from_the_last_write_of_the_owner_that_knew_of_it() {
    let first = segment(0, (1, 5_000), &[used(Some(7), Some(14_000))]);
    let same_owner = segment(1, (1, 9_000), &[]);
    let later_owner = segment(2, (2, 700_000), &[]);

    let expiry = lease(&[first, same_owner, later_owner]).expiry();

    assert_eq!(expiry, NOW + Span(5_000));
}

#[test]
fn the_latest_record_of_a_worker_counts() {
    let records = [used(Some(7), Some(14_000)), used(Some(8), None)];

    let mut lease = lease(&[segment(0, (1, 5_000), &records)]);
    let times = (NOW, NOW + Span(3));
    let has_changed_for_known = lease.on_answer(8, times, LONGEST_LEASE);

    assert!(has_changed_for_known);
    assert_eq!(lease.expiry(), Timestamp(0));
    assert!(lease.is_final());
}

/// Guards against an instance that may carry out the calls of an earlier owner, and is taken for the one
/// that this owner knew.
#[test]
fn an_instance_that_is_not_on_record_may_have_the_longest_lease() {
    for instance in [None, Some(7)] {
        let mut lease = lease(&[segment(0, (1, 5_000), &[used(instance, None)])]);

        lease.on_answer(8, (NOW, NOW + Span(3)), LONGEST_LEASE);

        assert_eq!(lease.expiry(), NOW + Span(3) + LONGEST_LEASE, "{instance:?}");
        assert!(lease.is_final(), "{instance:?}");
    }
}

#[test]
fn a_record_of_an_earlier_build_names_no_instance() {
    let record: Record = serde_json::from_str(r#"{"worker-used":{"worker":"w0"}}"#).unwrap();

    assert_eq!(record, used(None, None));
}
