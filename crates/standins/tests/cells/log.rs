//! The log of a cell: its size, and what a new owner recovers from it.

use teaselgap_core::job::{Answer, EndKind, JobEnd, JobId, JobSpec, JobState};
use teaselgap_standins::model::{MAX_VALUE_BYTES, Model, TaskTime, cell_config};

use crate::fixtures::{job_spec, new_model, queue, state, step, task_id};

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// The longest payload that a job may have, in bytes.
const PAYLOAD_BYTES: usize = 4_000;

/// Upper limit for the records of a job in [`large_job`], in bytes.
const JOB_BYTES: usize = PAYLOAD_BYTES + 1_000;

/// Upper limit for the record of an ended job or of a used worker, in bytes.
const SMALL_RECORD_BYTES: usize = 200;

/// Upper limit for what one write adds to the log, in bytes.
const WRITE_BYTES: usize = 128 * 1024;

/// Returns a job of two short tasks with the longest payload.
fn large_job() -> JobSpec {
    let payload = "x".repeat(PAYLOAD_BYTES);
    JobSpec { payload, ..job_spec(vec![step(2, 500, 300)]) }
}

/// Returns the largest size of a log in which at most half is out of date.
fn log_limit(open_jobs: usize, ended_jobs: usize, workers: usize) -> usize {
    let live = open_jobs * JOB_BYTES + (ended_jobs + workers) * SMALL_RECORD_BYTES;
    (2 * live).max(cell_config().log.min_log_bytes) + WRITE_BYTES
}

/// Submits jobs one after the other, `interval_ms` apart, and returns the largest size of the log
/// beyond [`log_limit`] of the `open_jobs` that were not older than two seconds.
fn submit_steadily(model: &mut Model, count: u64, interval_ms: u64) -> usize {
    let open_jobs = usize::try_from(2_000 / interval_ms).unwrap();
    let mut excess = 0;
    for number in 1..=count {
        model.submit(JobId(number), &queue(), large_job());
        model.run_for(interval_ms);
        let limit = log_limit(open_jobs, usize::try_from(number).unwrap(), 4);
        excess = excess.max(model.log_bytes().saturating_sub(limit));
    }
    excess
}

#[test]
fn the_log_stays_bounded_while_jobs_come_and_go() {
    let mut model = new_model(4);

    let excess = submit_steadily(&mut model, 300, 40);
    model.run_for(3_000);

    assert_eq!(excess, 0, "bytes beyond what is live");
    assert!((1..=300).all(|number| state(&model, JobId(number)) == SUCCEEDED));
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_segment_never_exceeds_the_largest_value_of_the_store() {
    let mut model = new_model(4);

    let tokens: Vec<_> =
        (1..=400).map(|number| model.submit(JobId(number), &queue(), large_job())).collect();
    model.run_for(2_000);

    assert_eq!(model.violations(), &[] as &[String]);
    assert!(tokens.iter().all(|&token| model.answer(token) == Some(Answer::Durable)));
    assert!(model.largest_segment_bytes() <= MAX_VALUE_BYTES);
}

fn set_task_time(model: &mut Model, task_time: TaskTime) {
    let ids: Vec<String> = model.workers().map(|worker| worker.entry.id.to_string()).collect();
    for id in ids {
        model.worker_mut(&id).task_time = task_time;
    }
}

fn lose_owner(model: &mut Model) {
    model.kill_owner();
    model.run_for(2_000);
    model.take_over();
}

#[test]
fn a_cleaned_log_tells_a_new_owner_about_every_job() {
    const FAILING: JobId = JobId(1_001);
    const CANCELLED: JobId = JobId(1_002);
    const DONE: JobId = JobId(1_003);
    let mut model = new_model(4);
    model.submit(DONE, &queue(), job_spec(vec![step(2, 500, 100)]));
    model.submit(CANCELLED, &queue(), job_spec(vec![step(2, 500, 60_000)]));
    model.run_for(1_000);
    model.cancel(CANCELLED);
    model.run_for(1_000);
    set_task_time(&mut model, TaskTime::FailsAfter(300));
    model.submit(FAILING, &queue(), job_spec(vec![step(1, 500, 300)]));
    assert!(model.run_until(5_000, |model| model.end_count(EndKind::Failed) == 2));
    set_task_time(&mut model, TaskTime::FailsAfter(30_000));
    assert!(model.run_until(2_000, |model| model.start_count(task_id(FAILING, 0)) == 3));
    set_task_time(&mut model, TaskTime::AsEstimated);
    let oldest_before = model.oldest_segment();
    submit_steadily(&mut model, 100, 40);
    assert!(model.oldest_segment() > oldest_before, "the log was cleaned");

    lose_owner(&mut model);

    assert_eq!(state(&model, DONE), SUCCEEDED);
    assert_eq!(state(&model, CANCELLED), Some(JobState::Ended(JobEnd::Cancelled)));
    assert_eq!(state(&model, FAILING), Some(JobState::Running));
    // The third failure is the last one, so the first two are remembered.
    model.run_for(35_000);
    assert_eq!(state(&model, FAILING), Some(JobState::Ended(JobEnd::Failed)));
    assert_eq!(model.end_count(EndKind::Failed), 3);
    assert!((1..=100).all(|number| state(&model, JobId(number)) == SUCCEEDED));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// Kills the owner while a write that deletes segments is in flight, and checks that the next owner
/// knows all accepted jobs.
fn check_kill_during_cleaning(is_store_available: bool) {
    let mut model = new_model(4);
    submit_steadily(&mut model, 40, 40);
    model.set_store_available(is_store_available);
    let deletes = model.run_until(1_000, Model::is_deleting_segments);
    assert!(deletes, "a write with deletions is in flight");

    model.kill_owner();
    model.set_store_available(true);
    model.run_for(2_000);
    model.take_over();
    model.run_for(15_000);

    assert!((1..=40).all(|number| state(&model, JobId(number)) == SUCCEEDED));
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn an_owner_killed_during_a_cleaning_write_loses_nothing() {
    check_kill_during_cleaning(true);
}

#[test]
fn an_owner_killed_before_a_cleaning_write_arrives_loses_nothing() {
    check_kill_during_cleaning(false);
}

#[test]
fn a_log_without_live_records_shrinks_to_one_write() {
    let mut model = new_model(4);
    submit_steadily(&mut model, 40, 40);
    let retention = cell_config().status_retention;

    model.run_for(retention.0 + 10_000);

    assert!(model.log_bytes() <= log_limit(0, 0, 4), "{} bytes", model.log_bytes());
}
