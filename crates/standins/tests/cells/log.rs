//! The log of a cell: its size, and what a new owner recovers from it.

use teaselgap_core::job::{Answer, JobEnd, JobId, JobSpec, JobState};
use teaselgap_standins::model::{MAX_VALUE_BYTES, Model};

use crate::fixtures::{job_spec, new_model, queue, state, step};

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// The longest payload that a job may have, in bytes.
const PAYLOAD_BYTES: usize = 4_000;

/// Upper limit for the records of a job in [`large_job`], in bytes.
const JOB_BYTES: usize = PAYLOAD_BYTES + 1_000;

/// Upper limit for the record of an ended job or of a used worker, in bytes.
const SMALL_RECORD_BYTES: usize = 200;

/// The log may have this size whatever is live.
const LOG_FLOOR_BYTES: usize = 256 * 1024;

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
    (2 * live).max(LOG_FLOOR_BYTES) + WRITE_BYTES
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
