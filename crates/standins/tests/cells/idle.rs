//! Tests of workers that have had nothing to do for a while, which are rarely asked for their lists.

use teaselgap_core::job::{JobEnd, JobId, JobState};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step};

const JOB: JobId = JobId(7);

/// How long a task takes, in milliseconds.
const TASK_MS: u64 = 100;

/// Time from the submission of a job until its tasks are known to be done, in milliseconds: they start within
/// 100 ms, and a worker with runs is asked at once for a list, which waits for an end.
const DONE_MS: u64 = 100 + TASK_MS + 400;

/// Time from the submission of a job of lasting tasks until their orders were answered, in milliseconds: the
/// record of their placements is durable first.
const STARTED_MS: u64 = 300;

/// The longest time between two lists of a worker that runs lasting tasks only, in milliseconds: a hold waits
/// there for 1 s, and the next one follows.
const LIST_MS: u64 = 1_000 + 100;

/// Guards against ends that are read only with the hold that was due when the worker was idle, up to 3 s later.
#[test]
fn the_ends_of_tasks_that_start_together_on_an_idle_worker_are_read_at_once() {
    for idle_ms in (3_000..6_000).step_by(250) {
        for tasks in 1..=3 {
            let mut model = new_model(1);
            model.run_for(idle_ms);

            model.submit(JOB, &queue(), job_spec(vec![step(tasks, 3_500, TASK_MS)]));
            let succeeded = Some(JobState::Ended(JobEnd::Succeeded));
            let is_done = model.run_until(DONE_MS, |model| state(model, JOB) == succeeded);

            assert!(is_done, "{tasks} tasks after {idle_ms} ms");
        }
    }
}

/// Guards against lasting tasks of which nothing is known until the hold that was due when the worker was idle:
/// their placements become durable at once, so that each is booked before the first order.
#[test]
fn a_list_shows_lasting_tasks_at_once_that_start_together_on_an_idle_worker() {
    for idle_ms in (3_000..6_000).step_by(500) {
        for tasks in 1..=2 {
            let mut model = new_model(1);
            model.run_for(idle_ms);
            model.submit(JOB, &queue(), long_running_job(tasks, 0));
            model.run_for(STARTED_MS);
            let listed = model.hold_answer_bytes();

            let is_listed = model.run_until(LIST_MS, |model| model.hold_answer_bytes() > listed);

            assert!(is_listed, "{tasks} tasks after {idle_ms} ms");
        }
    }
}
