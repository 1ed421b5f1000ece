//! Tests of waits of the owner of a cell that only an answer could end, against workers that never answer,
//! answer one call in three, or restart before they answer twice.

mod histories;

use teaselgap_core::{
    Span, Timestamp,
    job::{JobEnd, JobId, JobState, Step, TaskId, WorkerId},
};
use teaselgap_standins::model::{Model, OWNER_TTL, cell_config};

use crate::fixtures::{
    busy_worker, idle_worker, job_spec, long_running_job, new_model, queue, state, step, task_id,
};

const JOB: JobId = JobId(7);

/// Time within which an owner plans after the last thing that it waits for, in milliseconds.
const PLAN_DELAY_MS: u64 = 300;

/// Time for which a worker is away as it restarts, in milliseconds.
const AWAY_MS: u64 = 50;

/// The longest time from a claim until each inherited job may start: the owner before gives its last orders,
/// and what they have begun ends with the longest lease on a slow clock.
fn inherited_bound() -> Span {
    Span(OWNER_TTL.0 + longest_lease().0 + PLAN_DELAY_MS)
}

/// The longest lease that a worker grants, on a clock that may be slow.
fn longest_lease() -> Span {
    Span(cell_config().max_lease.0 * 103 / 100)
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

/// The same for a worker that carries out all calls and answers one in three. The answers that count are the
/// first one and one that was asked for once the stops of earlier owners had ended.
#[test]
fn inherited_jobs_wait_no_longer_for_a_worker_that_answers_one_call_in_three() {
    let (mut model, idle) = model_without_owner();
    model.take_over();
    let latest = model.now() + inherited_bound();

    model.answer_one_in(idle.as_str(), 3);
    let has_started = model.run_until(30_000, |model| model.start_count(second_task()) > 0);

    assert!(has_started);
    assert!(model.now() <= latest, "{}, not by {latest}", model.now());
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// A worker that never answers the next owner, and whose entry the store lists for ever.
#[test]
fn inherited_jobs_do_not_wait_for_ever_for_a_silent_worker_that_stays_in_the_store() {
    let (mut model, idle) = model_without_owner();
    model.make_unreachable(idle.as_str(), 600_000);
    model.take_over();
    let latest = model.now() + inherited_bound();

    let has_started = model.run_until(30_000, |model| model.start_count(second_task()) > 0);

    assert!(has_started);
    assert!(model.now() <= latest, "{}, not by {latest}", model.now());
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Time within which each task starts on workers that answer one call in three: nine calls, each with its time
/// limit and the delay before the next one, in milliseconds.
const RARE_ANSWERS_MS: u64 = 9 * (600 + 250);

/// Guards against a start order whose outcome is never known, as the worker answers now and then.
#[test]
fn tasks_of_workers_that_answer_one_call_in_three_end_in_time() {
    let mut model = new_model(3);
    for id in ["w0", "w1", "w2"] {
        model.answer_one_in(id, 3);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(6, 1_000, 300)]));

    let started = |model: &Model| (0..6).all(|index| model.start_count(task_id(JOB, index)) > 0);
    let is_started = model.run_until(RARE_ANSWERS_MS, started);
    let is_done = model
        .run_until(60_000, |model| state(model, JOB) == Some(JobState::Ended(JobEnd::Succeeded)));

    assert!(is_started);
    assert!(is_done);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// The same for the owner after a short term, which has recorded that an instance of the worker may have a lease
/// from a call to another one. That instance has ended.
#[test]
fn inherited_jobs_do_not_wait_for_the_stray_lease_of_an_instance_that_has_ended() {
    const SHORT_TERM_MS: u64 = 1_500;
    let mut held_back = Vec::new();
    for life_ms in (50..600).step_by(25) {
        let (mut model, idle) = model_without_owner();
        model.answer_one_in(idle.as_str(), 3);
        model.take_over();
        let term_end = model.now() + Span(SHORT_TERM_MS);
        restart_until_started(&mut model, &idle, life_ms, term_end);
        model.kill_owner();
        model.take_over();
        let latest = model.now() + inherited_bound();

        let has_started = restart_until_started(&mut model, &idle, life_ms, latest);

        held_back.extend((!has_started).then_some(life_ms));
        assert_eq!(model.violations(), [] as [&str; 0], "{life_ms}");
    }
    assert_eq!(held_back, [] as [u64; 0], "lives in ms");
}
