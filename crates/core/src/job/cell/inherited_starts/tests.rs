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
