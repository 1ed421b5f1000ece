//! Tests of workers that have had nothing to do for a while, which are rarely asked for their lists.

use teaselgap_core::job::{JobEnd, JobId, JobState};

use crate::fixtures::{job_spec, new_model, queue, state, step};

const JOB: JobId = JobId(7);

/// How long a task takes, in milliseconds.
const TASK_MS: u64 = 100;

/// Time from the submission of a job until its tasks are known to be done, in milliseconds: they start within
/// 100 ms, and a worker with runs is asked at once for a list, which waits for an end.
const DONE_MS: u64 = 100 + TASK_MS + 400;

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
