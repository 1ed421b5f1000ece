//! Tests of how often a task that crashes the workers that start it is started.

use teaselgap_core::job::{JobEnd, JobId, JobState};
use teaselgap_standins::model::{Model, TaskTime};

use crate::fixtures::{job_spec, new_model, queue, state, step, task_id};

/// The job whose task crashes each worker that starts it.
const CRASHING_JOB: JobId = JobId(9_999);

/// Five crashes, each noticed when a lease expires, with all the pauses between them, and as long again.
const LONG_MS: u64 = 120_000;

const FAILED: Option<JobState> = Some(JobState::Ended(JobEnd::Failed));

fn model_with_crashing_job(workers: usize) -> Model {
    let mut model = new_model(workers);
    for number in 0..workers {
        model.worker_mut(&format!("w{number}")).task_time = TaskTime::CrashesOn(CRASHING_JOB);
    }
    model.submit(CRASHING_JOB, &queue(), job_spec(vec![step(1, 2_000, 800)]));
    model
}

/// Guards BUDGET on days that are long enough for every pause.
#[test]
fn a_task_that_crashes_its_workers_is_started_a_third_time_after_its_third_crash() {
    let mut model = model_with_crashing_job(12);

    model.run_for(LONG_MS);

    assert!((3..=5).contains(&model.start_count(task_id(CRASHING_JOB, 0))));
    assert_eq!(state(&model, CRASHING_JOB), FAILED);
    assert_eq!(model.violations(), &[] as &[String]);
}
