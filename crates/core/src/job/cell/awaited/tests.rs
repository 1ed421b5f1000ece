use super::{
    super::super::{
        AdmissionPolicy, CellConfig, FlowLimits, LinkRate, LogConfig, RecoveredLog,
        record::{self, EncodedRecord},
    },
    *,
};
use crate::Span;

const NOW: Timestamp = Timestamp(1_000_000);

/// When this node has seen the claim of the last term.
const SEEN: Timestamp = Timestamp(995_000);

/// The worst case.
const WORST: Timestamp = Timestamp(1_013_000);

fn used(worker: &str) -> Record {
    Record::WorkerUsed {
        worker: worker.into(),
        instance: None,
        stray_until_ms: None,
        is_copy: false,
    }
}

fn awaited(workers: &[(&str, u64)]) -> Record {
    let worker = |(worker, after_claim_ms): &(&str, u64)| AwaitedWorker {
        worker: (*worker).into(),
        after_claim_ms: *after_claim_ms,
    };
    Record::Awaited { workers: workers.iter().map(worker).collect() }
}

fn segment(sequence: u64, epoch: u64, records: &[Record]) -> StoredSegment {
    let encoded: Vec<EncodedRecord> = records.iter().map(EncodedRecord::new).collect();
    let value = record::encode_segment(Epoch(epoch), Span(0), Timestamp(5_000), &encoded);
    StoredSegment::decode(sequence, &value).unwrap()
}

fn claim() -> TermClaim {
    TermClaim { seen: vec![(Epoch(2), SEEN)], ..TermClaim::unseen(NOW + Span(3_000)) }
}

fn find(segments: &[StoredSegment]) -> Option<LoggedWait> {
    LoggedWait::find(segments, &claim(), NOW)
}

/// What the log says of a worker.
fn expiry(segments: &[StoredSegment], worker: &str) -> Option<Timestamp> {
    find(segments).unwrap().expiry(&worker.into(), WORST)
}

#[test]
fn a_worker_that_the_lost_owner_has_not_used_has_the_worst_case() {
    let segments =
        [segment(0, 1, &[used("w0"), used("w1")]), segment(1, 2, &[awaited(&[("w0", 10_000)])])];

    let of_awaited = expiry(&segments, "w0");
    let of_other = expiry(&segments, "w1");

    assert_eq!(of_awaited, Some(SEEN + Span(10_100)));
    assert_eq!(of_other, None);
}

#[test]
fn a_worker_that_the_lost_owner_has_used_has_less_than_the_worst_case() {
    let records = [awaited(&[("w0", 10_000)]), used("w0"), used("w1")];
    let segments = [segment(0, 1, &[used("w0"), used("w1")]), segment(1, 2, &records)];

    assert_eq!(expiry(&segments, "w0"), Some(WORST));
    assert_eq!(expiry(&segments, "w1"), Some(WORST));
}

/// Guards against a wait that begins anew for a worker whose record the lost owner has only copied.
#[test]
fn a_copied_record_counts_as_a_use_of_its_worker() {
    let copy = Record::WorkerUsed {
        worker: "w0".into(),
        instance: None,
        stray_until_ms: None,
        is_copy: true,
    };
    let records = [awaited(&[("w0", 10_000)]), copy];

    let expiry = expiry(&[segment(0, 2, &records)], "w0");

    assert_eq!(expiry, Some(SEEN + Span(10_100)));
}

#[test]
fn a_time_later_than_the_worst_case_counts() {
    let segments = [segment(0, 2, &[awaited(&[("w0", 900_000)])])];

    assert_eq!(expiry(&segments, "w0"), Some(WORST));
}

/// Guards against a list of a term that another one has followed, which may have granted leases.
#[test]
fn a_list_of_a_term_before_the_last_one_counts() {
    let segments = [segment(0, 2, &[awaited(&[])]), segment(1, 3, &[used("w0")])];

    assert!(find(&segments).is_none());
}

#[test]
fn a_log_without_a_list_is_taken_for_one_with_an_empty_list() {
    assert!(find(&[segment(0, 2, &[used("w0")])]).is_none());
    assert!(find(&[]).is_none());
}

#[test]
fn an_earlier_list_of_the_term_counts() {
    let segments =
        [segment(0, 2, &[awaited(&[("w0", 9_000)])]), segment(1, 2, &[awaited(&[("w0", 5_000)])])];

    assert_eq!(expiry(&segments, "w0"), Some(SEEN + Span(5_050)));
}

#[test]
fn a_claim_that_was_not_seen_counts_from_before_the_reading() {
    let segments = [segment(0, 2, &[awaited(&[("w0", 10_000)])])];

    let wait = LoggedWait::find(&segments, &TermClaim::unseen(NOW), NOW).unwrap();

    assert_eq!(wait.expiry(&"w0".into(), WORST), Some(NOW + Span(10_100)));
}

fn config() -> CellConfig {
    CellConfig {
        lease: Span(6_000),
        max_lease: Span(10_000),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        log: LogConfig::default(),
        admission: AdmissionPolicy::AcceptLate,
        flow: FlowLimits::new(LinkRate::from_mbps(1_000.0), 1.0),
    }
}

/// A cell whose claim was sent 2 s ago, and whose log shows a use of `w0` by a term before.
fn waiting_cell() -> Cell {
    let recovered = RecoveredLog { next: 1, segments: vec![segment(0, 1, &[used("w0")])] };
    let sent = Timestamp(NOW.0 - 2_000);
    let claim = TermClaim { sent, ..TermClaim::unseen(NOW + Span(1_000)) };
    let term = ("drums".parse().unwrap(), Epoch(2));
    Cell::new(config(), term, recovered, &claim, (NOW, NOW.0))
}

fn first_records(cell: &mut Cell) -> Vec<Record> {
    let write = cell.take_write(NOW + Span(100)).unwrap();
    StoredSegment::decode(write.sequence, &write.value).unwrap().records
}

/// Builds that don't know the list skip its segment.
#[test]
fn the_list_is_not_the_first_record_or_shares_its_segment() {
    let mut cell = waiting_cell();
    cell.record(used("w1"), NOW, None);

    let records = first_records(&mut cell);

    assert_eq!(records, [awaited(&[("w0", 2_000 + 1_000 + 10_300)])]);
}

#[test]
fn the_wait_is_over_before_the_last_worker_has_expired() {
    let mut cell = waiting_cell();
    let expiry = NOW + Span(1_000 + 10_300);

    cell.tick(Timestamp(expiry.0 - 1), expiry.0 - 1);
    let before = cell.inherited_wait_end();
    cell.tick(expiry, expiry.0);
    cell.tick(expiry + Span(50), expiry.0 + 50);

    assert_eq!(before, None);
    assert_eq!(cell.inherited_wait_end(), Some(expiry));
}

#[test]
fn an_earlier_end_of_the_wait_is_not_recorded_again() {
    let mut cell = waiting_cell();
    let first = first_records(&mut cell);
    cell.on_segment_written(1, NOW + Span(110));

    cell.on_predecessor_ended(Epoch(1), NOW);
    let second = first_records(&mut cell);

    assert_eq!(first, [awaited(&[("w0", 2_000 + 1_000 + 10_300)])]);
    assert_eq!(second, [awaited(&[("w0", 2_000 + 10_300)])]);
}

/// An earlier build writes no list, and the cleaning of the log may have deleted it.
#[test]
fn a_worker_is_not_waited_for_after_a_term_without_a_list() {
    let segments = vec![segment(0, 1, &[used("w0")]), segment(1, 2, &[])];
    let recovered = RecoveredLog { next: 2, segments };
    let claim = TermClaim { sent: NOW, ..TermClaim::unseen(NOW + Span(3_000)) };
    let term = ("drums".parse().unwrap(), Epoch(3));

    let mut cell = Cell::new(config(), term, recovered, &claim, (NOW, NOW.0));

    assert_eq!(first_records(&mut cell), [awaited(&[("w0", 3_000 + 10_300)])]);
}

/// Guards against a copy of an old record that the next owner takes for a use by the lost one.
#[test]
fn a_worker_whose_old_record_the_cleaning_copies_keeps_its_time_after_the_owner_is_lost() {
    let old = segment(0, 1, &[used("w0")]);
    let recovered = RecoveredLog { next: 1, segments: vec![old] };
    let claim = TermClaim { sent: NOW, ..TermClaim::unseen(NOW + Span(3_000)) };
    let term = ("drums".parse().unwrap(), Epoch(2));
    let mut lost = Cell::new(config(), term, recovered, &claim, (NOW, NOW.0));
    let first = lost.take_write(NOW + Span(100)).unwrap();
    lost.on_segment_written(first.sequence, NOW + Span(110));
    let end = lost.log.oldest_segment_end().unwrap();
    let key = lost.live.first_until(end).unwrap();
    lost.copy_forward(&key, NOW + Span(120));
    lost.log.delete_oldest_segment(NOW + Span(120));
    let second = lost.take_write(NOW + Span(300)).unwrap();
    let writes = [first, second];
    let segments: Vec<StoredSegment> =
        writes.map(|write| StoredSegment::decode(write.sequence, &write.value).unwrap()).into();
    let later = NOW + Span(8_000);
    let seen = vec![(Epoch(2), NOW + Span(10))];
    let claim = TermClaim { sent: later, seen, earlier_orders_end: later + Span(3_000) };
    let recovered = RecoveredLog { next: segments.last().unwrap().sequence + 1, segments };

    let term = ("drums".parse().unwrap(), Epoch(3));
    let next = Cell::new(config(), term, recovered, &claim, (later, later.0));

    // 13.3 s after the first claim on this node's clock, and not after the second.
    let expected = NOW + Span(10 + 13_300 + 133);
    assert_eq!(next.inherited_workers.get(&WorkerId::from("w0")), Some(&expected));
}
