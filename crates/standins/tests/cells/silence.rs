//! Tests of waits of the owner of a cell that only an answer could end, against workers that never answer,
//! answer one call in three, or restart before they answer twice.

use teaselgap_core::{
    Span, Timestamp,
    job::{JobId, Step, TaskId, WorkerId},
};
use teaselgap_standins::model::{Model, OWNER_TTL, cell_config};

use crate::fixtures::{
    busy_worker, idle_worker, job_spec, long_running_job, new_model, queue, step, task_id,
};

const JOB: JobId = JobId(7);

/// Time within which an owner plans after the last thing that it waits for, in milliseconds.
const PLAN_DELAY_MS: u64 = 300;

/// Time for which a worker is away as it restarts, in milliseconds.
const AWAY_MS: u64 = 50;

/// The longest time from a claim until each inherited job may start: the owner before gives its last orders,
/// and what they have begun ends with the longest lease on a slow clock.
fn inherited_bound() -> Span {
    Span(OWNER_TTL.0 + cell_config().max_lease.0 * 103 / 100 + PLAN_DELAY_MS)
}

/// The task that starts once the first step of the job is done.
fn second_task() -> TaskId {
    TaskId { step: 1, ..task_id(JOB, 0) }
}

/// Creates a model with a job of two steps whose owner is lost in the first one. Returns a worker that runs
/// nothing.
fn model_without_owner() -> (Model, WorkerId) {
    let mut model = new_model(3);
    model.run_for(OWNER_TTL.0);
    let second = Step { after: vec![0], ..step(1, 1_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 1_200), second]));
    model.run_for(300);
    let idle = idle_worker(&model);
    model.kill_owner();
    (model, idle)
}

/// Restarts a worker again and again, each time after `life_ms`, until the second step starts or `until` is over.
fn restart_until_started(model: &mut Model, id: &WorkerId, life_ms: u64, until: Timestamp) -> bool {
    let has_started = |model: &Model| model.start_count(second_task()) > 0;
    while !has_started(model) && model.now() < until {
        let wall_ms = model.wall_ms();
        model.restart_worker_at(id.as_str(), wall_ms, AWAY_MS);
        model.run_until(AWAY_MS + life_ms, has_started);
    }
    has_started(model)
}

/// Guards against an owner that holds back every inherited job for a worker that answers and restarts before the
/// stops of earlier owners have ended there, again and again.
#[test]
fn inherited_jobs_do_not_wait_for_a_worker_that_restarts_again_and_again() {
    let mut held_back = Vec::new();
    for life_ms in (50..2_000).step_by(50) {
        let (mut model, idle) = model_without_owner();
        model.take_over();
        let latest = model.now() + inherited_bound();

        let has_started = restart_until_started(&mut model, &idle, life_ms, latest);

        held_back.extend((!has_started).then_some(life_ms));
        assert_eq!(model.violations(), [] as [&str; 0], "{life_ms}");
    }
    assert_eq!(held_back, [] as [u64; 0], "lives in ms");
}

/// Guards against a task that lasts and whose delay begins anew with each restart of the worker on which it ran
/// in an earlier term.
#[test]
fn a_task_that_lasts_does_not_wait_for_its_worker_of_before_that_restarts_again_and_again() {
    let mut held_back = Vec::new();
    for life_ms in (50..2_000).step_by(50) {
        let mut model = new_model(3);
        model.run_for(OWNER_TTL.0);
        model.submit(JOB, &queue(), long_running_job(1, 0));
        model.run_for(2_000);
        let former = busy_worker(&model);
        model.kill_owner();
        model.take_over();
        let latest = model.now() + inherited_bound();

        let runs_elsewhere = |model: &Model| {
            model.workers().any(|one| one.entry.id != former && one.is_running(task_id(JOB, 0)))
        };
        while !runs_elsewhere(&model) && model.now() < latest {
            let wall_ms = model.wall_ms();
            model.restart_worker_at(former.as_str(), wall_ms, AWAY_MS);
            model.run_until(AWAY_MS + life_ms, runs_elsewhere);
        }

        held_back.extend((!runs_elsewhere(&model)).then_some(life_ms));
        assert_eq!(model.violations(), [] as [&str; 0], "{life_ms}");
    }
    assert_eq!(held_back, [] as [u64; 0], "lives in ms");
}
