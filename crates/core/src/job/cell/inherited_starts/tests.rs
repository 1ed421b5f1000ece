use super::{
    super::{
        super::{
            JobId, JobSpec, LogConfig, Step,
            record::{self, EncodedRecord},
        },
        CellConfig, RecoveredLog, TermClaim,
        start_scope::StartScope,
    },
    *,
};
use crate::{
    Epoch, Span,
    job::{AdmissionPolicy, FlowLimits, LinkRate},
};

const NOW: (Timestamp, u64) = (Timestamp(1_000_000), 1_700_000_000_000);

const TASK: TaskId = TaskId { job: JobId(7), occurrence: 0, step: 0, index: 0 };

fn config() -> CellConfig {
    CellConfig {
        lease: Span(5_500),
        max_lease: Span(6_000),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        admission: AdmissionPolicy::AcceptLate,
        log: LogConfig::default(),
        flow: FlowLimits::new(LinkRate::from_mbps(1_000.0), 1.0),
    }
}

fn accepted() -> Record {
    let steps = vec![Step { count: 1, ..Step::default() }];
    let spec = JobSpec { payload: String::new(), steps, schedule: None };
    Record::Accepted {
        job: TASK.job,
        queue: "quotes".parse().unwrap(),
        spec,
        wall_ms: NOW.1,
        settings: None,
    }
}

fn open(attempt: u32, worker: &str, until_ms: u64) -> Record {
    Record::StartOpen { task: TASK, attempt, worker: worker.into(), until_ms }
}

fn segment(sequence: u64, (epoch, written): (u64, u64), records: &[Record]) -> StoredSegment {
    let encoded: Vec<EncodedRecord> = records.iter().map(EncodedRecord::new).collect();
    let value = record::encode_segment(Epoch(epoch), Span(0), Timestamp(written), &encoded);
    StoredSegment::decode(sequence, &value).unwrap()
}

fn recover(segments: Vec<StoredSegment>) -> Cell {
    let recovered = RecoveredLog { next: segments.len() as u64, segments };
    Cell::new(
        config(),
        ("drums".parse().unwrap(), Epoch(9)),
        recovered,
        &TermClaim::unseen(NOW.0),
        NOW,
    )
}

#[test]
fn the_latest_of_a_tasks_open_orders_counts() {
    let records = [accepted(), open(1, "w0", 9_000), open(2, "w1", 9_500), open(3, "w0", 9_900)];

    let cell = recover(vec![segment(0, (1, 5_000), &records)]);

    let job = cell.jobs.get(&TASK.job).unwrap();
    let open = job.task(TASK).unwrap().open_start(NOW.0).unwrap();
    assert_eq!(open.worker.as_str(), "w0");
}

#[test]
fn an_order_expires_by_the_clock_of_the_owner_that_wrote_it() {
    let log = |last_write| {
        let first = segment(0, (1, 5_000), &[accepted(), open(1, "w0", 19_000)]);
        vec![first, segment(1, (1, last_write), &[])]
    };
    let scope_after = |last_write, elapsed| {
        let cell = recover(log(last_write));
        cell.start_scope(TASK, NOW.0 + Span(elapsed)) != StartScope::Anywhere
    };

    assert!(scope_after(18_000, 1_000));
    assert!(!scope_after(18_000, 1_001));
    assert!(!scope_after(19_000, 0));
}

#[test]
fn the_time_between_two_terms_is_not_counted() {
    let first = segment(0, (1, 500_000), &[accepted(), open(1, "w0", 510_000)]);
    let log = vec![first, segment(1, (2, 3_000), &[]), segment(2, (2, 7_000), &[])];

    let cell = recover(log);

    assert_ne!(cell.start_scope(TASK, NOW.0 + Span(6_000)), StartScope::Anywhere);
    assert_eq!(cell.start_scope(TASK, NOW.0 + Span(6_001)), StartScope::Anywhere);
}

/// Guards against tasks that wait in the next term for copies that have long been answered.
#[test]
fn an_order_that_was_settled_is_open_no_more_for_the_next_owner() {
    let open_and_settled = [accepted(), open(1, "w0", 19_000), open(1, "w0", SETTLED)];
    let orders = |last: &[Record]| {
        let first = segment(0, (1, 5_000), &open_and_settled[..2]);
        recover(vec![first, segment(1, (1, 5_100), last)]).inherited_starts
    };

    let settled = orders(&open_and_settled[2..]);
    let settled_elsewhere = orders(&[open(1, "w1", SETTLED)]);
    let other_attempt = orders(&[open(2, "w0", SETTLED)]);

    assert_eq!(settled.tasks().count(), 0);
    assert_eq!(settled_elsewhere.tasks().count(), 1);
    assert_eq!(other_attempt.tasks().count(), 1);
}

/// A lost owner's last orders are in no record, so that the next one may give the same attempt anew.
#[test]
fn an_order_that_was_settled_says_nothing_of_an_earlier_terms() {
    let first = segment(0, (1, 5_000), &[accepted(), open(1, "w0", 19_000)]);
    let second = segment(1, (2, 3_000), &[open(1, "w0", 18_000), open(1, "w0", SETTLED)]);

    let cell = recover(vec![first, second]);

    assert_eq!(cell.inherited_starts.tasks().count(), 1);
}

/// Cleaning of the log merges the orders of a task to a worker into one record.
#[test]
fn an_order_that_is_settled_leaves_others_of_its_task_on_record() {
    let mut cell = recover(vec![segment(0, (1, 5_000), &[accepted(), open(1, "w0", 19_000)])]);

    cell.record_settled_start(&"w0".into(), (TASK, 2), NOW.0);

    let write = cell.take_write(NOW.0 + Span(100)).unwrap();
    let written = StoredSegment::decode(1, &write.value).unwrap().records;
    let of_orders = written.iter().filter_map(|record| match record {
        Record::StartOpen { attempt, until_ms, .. } => Some((*attempt, *until_ms > 0)),
        _ => None,
    });
    assert_eq!(of_orders.collect::<Vec<_>>(), [(2, false), (1, true)]);
}

/// Guards against a next owner that takes an order which has expired for one that was answered: what it has begun may
/// run on.
#[test]
fn an_order_that_expired_long_before_a_handover_is_not_recorded_as_settled() {
    let mut cell = recover(vec![segment(0, (1, 5_000), &[accepted()])]);

    cell.record_open_start(&"w0".into(), (TASK, 1), Timestamp(0), NOW.0);

    let write = cell.take_write(NOW.0 + Span(100)).unwrap();
    let written = StoredSegment::decode(1, &write.value).unwrap().records;
    let is_settled =
        |record: &Record| matches!(record, Record::StartOpen { until_ms: SETTLED, .. });
    assert!(written.iter().any(|record| matches!(record, Record::StartOpen { .. })));
    assert!(!written.iter().any(is_settled));
}
