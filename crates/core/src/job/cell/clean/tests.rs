use proptest::{collection::vec, option, prelude::*};

use super::{
    super::{
        super::{
            EndKind, JobSpec, LogWrite, Schedule, Step, StoredSegment, record,
            record::EncodedRecord,
        },
        CellConfig, RecoveredLog, TermClaim,
    },
    *,
};
use crate::{
    Epoch, Span,
    job::{AdmissionPolicy, FlowLimits, LinkRate, LogConfig, QueueConfig},
};

const NOW: (Timestamp, u64) = (Timestamp(1_000_000), 1_700_000_000_000);

/// The number of jobs and of workers in the records.
const THINGS: u64 = 4;

/// The number of tasks of each step of the jobs.
const TASKS: u32 = 3;

fn config() -> CellConfig {
    CellConfig {
        lease: Span(5_500),
        max_lease: Span(6_000),
        stop_timeout: Span(500),
        status_retention: Span(120_000),
        admission: AdmissionPolicy::AcceptLate,
        // Small, so that the copies need several writes.
        log: LogConfig { max_segment_bytes: 1_000, ..LogConfig::default() },
        flow: FlowLimits::new(LinkRate::from_mbps(1_000.0), 1.0),
    }
}

/// Returns a job with a plain step, a gang that saves checkpoints and, depending on the id, three
/// occurrences or a long-running step.
fn spec(id: u64) -> JobSpec {
    let step = Step { count: TASKS, ..Step::default() };
    let gang = Step { gang: true, checkpoints: true, ..step.clone() };
    let third = Step { long_running: !id.is_multiple_of(2), ..step.clone() };
    let schedule = Schedule { first_wall_ms: NOW.1 - 25_000, period: Span(10_000), occurrences: 5 };
    JobSpec {
        payload: format!("payload {id}"),
        steps: vec![step, gang, third],
        schedule: id.is_multiple_of(2).then_some(schedule),
    }
}

/// Returns the settings of the queue of a job; each job has a queue of its own.
fn queue_config(job: u64) -> QueueConfig {
    QueueConfig {
        service: "drums".parse().unwrap(),
        max_attempts: 3,
        stretch_percent: 160,
        target_latency: Span(600 + job),
        priority: 0,
        advice: None,
    }
}

fn accepted(id: u64) -> Record {
    let queue = format!("quotes-{id}").parse().unwrap();
    let settings = Some(QueueSettings::of(&queue_config(id)));
    Record::Accepted { job: JobId(id), queue, spec: spec(id), wall_ms: NOW.1 - 30_000, settings }
}

fn ended() -> impl Strategy<Value = Record> {
    let task = (0..THINGS, 0_u32..3, 0_u32..3, 0..TASKS);
    let how = prop_oneof![
        3 => Just(EndKind::Done),
        2 => Just(EndKind::Failed),
        1 => Just(EndKind::Stopped),
    ];
    (task, 1_u32..6, how, option::of("[a-c]")).prop_map(
        |((job, occurrence, step, index), attempt, how, checkpoint)| {
            let occurrence = if job.is_multiple_of(2) { occurrence } else { 0 };
            let task = TaskId { job: JobId(job), occurrence, step, index };
            Record::Ended { task, attempt, how, checkpoint }
        },
    )
}

/// Returns placements of tasks of the long-running steps.
fn placed() -> impl Strategy<Value = Record> {
    let job = (0..THINGS / 2).prop_map(|half| JobId(2 * half + 1));
    let instance = option::of(1_u64..6);
    (job, 0..TASKS, 1_u32..6, worker(), instance, any::<bool>()).prop_map(
        |(job, index, attempt, worker, instance, is_trial)| Record::Placed {
            address: None,
            instance,
            task: TaskId { job, occurrence: 0, step: 2, index },
            attempt,
            worker,
            is_trial,
        },
    )
}

fn worker() -> impl Strategy<Value = WorkerId> {
    (0..THINGS).prop_map(|number| WorkerId::from(format!("w{number}").as_str()))
}

/// Returns start orders that are open for longer than the cleaning takes.
fn start_open() -> impl Strategy<Value = Record> {
    let task = (0..THINGS, 0..TASKS);
    (task, 1_u32..6, worker(), 3_000_u64..15_000).prop_map(
        |((job, index), attempt, worker, until_ms)| {
            let task = TaskId { job: JobId(job), occurrence: 0, step: 0, index };
            Record::StartOpen { task, attempt, worker, until_ms }
        },
    )
}

fn finished() -> impl Strategy<Value = Record> {
    let end = prop_oneof![Just(JobEnd::Succeeded), Just(JobEnd::Failed), Just(JobEnd::Cancelled)];
    (0..THINGS, end, any::<bool>()).prop_map(|(job, end, has_queue)| Record::Finished {
        job: JobId(job),
        queue: has_queue.then(|| format!("quotes-{job}").parse().unwrap()),
        end,
        wall_ms: NOW.1 - 500,
    })
}

fn log_record() -> impl Strategy<Value = Record> {
    prop_oneof![
        3 => (0..THINGS).prop_map(accepted),
        24 => ended(),
        6 => placed(),
        3 => start_open(),
        1 => finished(),
        2 => (worker(), prop::option::of(1_u64..9), prop::option::of(0_u64..40_000)).prop_map(
            |(worker, instance, stray_until_ms)| Record::WorkerUsed {
                worker,
                instance,
                stray_until_ms,
                is_copy: false,
            },
        ),
        1 => worker().prop_map(|worker| Record::WorkerGone { worker }),
    ]
}

/// Drops records that no owner writes: a second acceptance of a job, and whatever follows its end.
fn without_impossible(records: Vec<Record>) -> Vec<Record> {
    let mut accepted_jobs = Vec::new();
    let mut ended_jobs = Vec::new();
    let mut is_possible = |record: &Record| match record {
        Record::Accepted { job, .. } if accepted_jobs.contains(job) => false,
        Record::Accepted { job, .. } => {
            accepted_jobs.push(*job);
            true
        }
        Record::Ended { task, .. } | Record::Placed { task, .. } => !ended_jobs.contains(&task.job),
        Record::Finished { job, .. } if ended_jobs.contains(job) => false,
        Record::Finished { job, .. } if accepted_jobs.contains(job) => {
            ended_jobs.push(*job);
            true
        }
        Record::Finished { .. } => false,
        _ => true,
    };
    records.into_iter().filter(|record| is_possible(record)).collect()
}

fn segment(sequence: u64, records: &[Record]) -> StoredSegment {
    let encoded: Vec<EncodedRecord> = records.iter().map(EncodedRecord::new).collect();
    let value = record::encode_segment(Epoch(1), Span(0), Timestamp(0), &encoded);
    StoredSegment::decode(sequence, &value).unwrap()
}

fn recover(segments: &[StoredSegment]) -> Cell {
    let next = segments.last().map_or(0, |last| last.sequence + 1);
    let recovered = RecoveredLog { next, segments: segments.to_vec() };
    Cell::new(
        config(),
        ("drums".parse().unwrap(), Epoch(2)),
        recovered,
        &TermClaim::unseen(NOW.0),
        NOW,
    )
}

/// What a log says about a job. Once a part of the job is done, its tasks no longer matter.
fn describe_job(id: JobId, job: &Job) -> String {
    let Job { queue, end: Some(end), ended_wall_ms, .. } = job else {
        let header = (&job.queue, &job.spec, job.arrived_wall_ms, job.arrived, job.has_started);
        let occurrences: Vec<_> = job.occurrences.iter().map(describe_occurrence).collect();
        return format!("{id} {header:?} {occurrences:?}");
    };
    format!("{id} {queue} {end:?} at {ended_wall_ms}")
}

fn describe_occurrence(occurrence: &Occurrence) -> (u32, Vec<String>) {
    let describe_task = |task: &Task| match task {
        Task { is_done: true, .. } => "done".to_owned(),
        Task { attempt, failures, failed_attempts, checkpoint, placement, .. } => {
            let worker = placement.as_ref().map(|placement| &placement.worker);
            format!("{attempt} {failures} {failed_attempts:?} {checkpoint:?} {worker:?}")
        }
    };
    let steps = occurrence.steps.iter();
    let describe_step = |step: &StepState| {
        let tasks: Vec<String> = step.tasks.iter().map(describe_task).collect();
        format!("{} open: {tasks:?}", step.open_tasks)
    };
    (occurrence.number, steps.map(describe_step).collect())
}

/// What a log says about jobs, the queues of open ones and workers, in an order that does not depend on
/// the log's.
fn describe(cell: &Cell) -> Vec<String> {
    let jobs = cell.jobs.iter().map(|(id, job)| describe_job(*id, job));
    let workers = cell.inherited_workers.keys().map(WorkerId::to_string);
    let starts = cell.inherited_starts.tasks().map(|(worker, task)| format!("{task} at {worker}"));
    let open_queues = cell.jobs.open().map(|(_, job)| &job.queue);
    let settings = open_queues.map(|queue| format!("{queue} {:?}", cell.queue_settings(queue)));
    let mut lines: Vec<String> = jobs.chain(workers).chain(starts).chain(settings).collect();
    lines.sort();
    lines.dedup();
    lines
}

/// Copies everything whose first record is in the oldest segment. Returns the writes that follow.
fn clean_oldest_segment(cell: &mut Cell) -> Vec<LogWrite> {
    let end = cell.log.oldest_segment_end().expect("at least two segments");
    while let Some(key) = cell.live.first_until(end) {
        cell.copy_forward(&key, NOW.0);
    }
    cell.log.delete_oldest_segment(NOW.0);
    std::iter::from_fn(|| {
        let write = cell.log.take_write(NOW.0 + Span(1_000))?;
        cell.log.on_written(write.sequence);
        Some(write)
    })
    .collect()
}

proptest! {
    #[test]
    fn a_log_describes_the_same_state_during_and_after_cleaning(
        records in vec(log_record(), 2..80),
        split_percent in 0_usize..100,
    ) {
        let records = without_impossible(records);
        let (old, new) = records.split_at(records.len() * split_percent / 100);
        let mut log = vec![segment(0, old), segment(1, new)];
        let mut cell = recover(&log);
        let expected = describe(&cell);

        let writes = clean_oldest_segment(&mut cell);

        // The owner may be lost after any of the writes.
        for LogWrite { sequence, value, deletes } in writes {
            log.retain(|segment| !deletes.contains(&segment.sequence));
            log.push(StoredSegment::decode(sequence, &value).unwrap());
            prop_assert_eq!(&describe(&recover(&log)), &expected);
        }
        prop_assert!(log.iter().all(|segment| segment.sequence != 0));
    }
}

#[test]
fn the_state_of_a_job_with_many_tasks_is_split_over_several_records() {
    let step = Step { count: 10_000, ..Step::default() };
    let spec = JobSpec { payload: String::new(), steps: vec![step], schedule: None };
    let queue = "quotes".parse().unwrap();
    let mut job = Job::new(queue, spec.into(), 0, Timestamp(0));
    job.add_due_occurrences(0);
    for task in &mut job.occurrences[0].steps[0].tasks {
        task.attempt = 1;
        task.checkpoint = Some("0123456789abcdef".into());
    }

    let records = job_records(JobId(1), &job, None);

    let sizes = records.iter().map(|record| EncodedRecord::new(record).len());
    assert!(sizes.max().unwrap() < LogConfig::default().max_segment_bytes / 4);
    assert!(records.len() > 10_000 / TASKS_PER_RECORD);
}

#[test]
fn the_estimated_size_of_a_job_does_not_grow_with_its_failures() {
    let records: Vec<Record> = (1..10_000)
        .map(|attempt| Record::Ended {
            task: TaskId { job: JobId(1), occurrence: 0, step: 2, index: 0 },
            attempt,
            how: EndKind::Failed,
            checkpoint: None,
        })
        .collect();
    let log = [segment(0, &[accepted(1)]), segment(1, &records)];

    let cell = recover(&log);

    let first = EncodedRecord::new(&accepted(1)).len();
    assert!(cell.live.bytes <= 4 * (first + OPEN_TASK_BYTES), "{} bytes", cell.live.bytes);
}

#[test]
fn the_number_of_an_unreadable_segment_is_not_used_again() {
    let mut recovered = RecoveredLog::default();

    let result = recovered.add_segment(7, b"not a segment");

    assert!(result.is_err());
    assert_eq!(recovered, RecoveredLog { next: 8, segments: Vec::new() });
}
