//! Tests of submissions while the store accepts no writes.

use teaselgap_core::job::{Answer, JobEnd, JobId, JobState, Token};
use teaselgap_standins::model::Model;

use crate::fixtures::{job_spec, new_model, queue, state, step, task_id};

fn submit(model: &mut Model, number: u64) -> Token {
    model.submit(JobId(number), &queue(), job_spec(vec![step(2, 2_000, 400)]))
}

/// Creates a model in whose log one job waits in a write that the store does not accept.
fn model_with_stalled_write() -> (Model, Token) {
    let mut model = new_model(2);
    model.set_store_available(false);
    let token = submit(&mut model, 1);
    model.run_for(100);
    (model, token)
}

fn is_refused(model: &Model, token: Token) -> bool {
    matches!(model.answer(token), Some(Answer::Refused { .. }))
}

#[test]
fn a_submission_that_no_write_contains_is_refused_while_the_store_accepts_none() {
    let (mut model, written) = model_with_stalled_write();

    let unwritten = submit(&mut model, 2);
    let submitted_again = submit(&mut model, 2);
    model.run_for(1_300);
    let is_refused = [unwritten, submitted_again].map(|token| is_refused(&model, token));
    let answer_to_written = model.answer(written);
    model.set_store_available(true);
    model.run_for(3_000);

    assert_eq!(is_refused, [true, true]);
    assert_eq!(answer_to_written, None);
    assert_eq!(model.answer(written), Some(Answer::Durable));
    assert_eq!(state(&model, JobId(2)), None);
    assert_eq!(model.start_count(task_id(JobId(2), 0)), 0);
}

#[test]
fn a_refused_submission_is_accepted_when_it_comes_again() {
    let (mut model, _) = model_with_stalled_write();
    submit(&mut model, 2);
    model.run_for(1_300);
    model.set_store_available(true);
    model.run_for(100);

    let again = submit(&mut model, 2);
    model.run_for(100);

    assert_eq!(model.answer(again), Some(Answer::Durable));
}

#[test]
fn submissions_during_a_short_stall_are_accepted_with_the_next_write() {
    let (mut model, _) = model_with_stalled_write();

    let first = submit(&mut model, 2);
    let second = submit(&mut model, 2);
    model.run_for(600);
    model.set_store_available(true);
    model.run_for(20);

    assert_eq!(model.answer(first), Some(Answer::Durable));
    assert_eq!(model.answer(second), Some(Answer::Durable));
}

#[test]
fn a_cancelled_submission_that_no_write_contains_never_runs() {
    let (mut model, _) = model_with_stalled_write();
    let submitted = submit(&mut model, 2);

    let cancelled = model.cancel(JobId(2));
    model.run_for(100);
    model.set_store_available(true);
    model.run_for(2_000);

    assert_ne!(model.answer(cancelled), None);
    assert_ne!(model.answer(submitted), None);
    assert_eq!(model.start_count(task_id(JobId(2), 0)), 0);
}

#[test]
fn submissions_that_no_write_contains_are_handed_over() {
    let mut model = new_model(2);
    submit(&mut model, 1);
    model.run_for(35);
    let token = submit(&mut model, 2);

    model.hand_over();
    model.take_over();
    model.run_for(3_000);

    assert_eq!(model.answer(token), Some(Answer::Durable));
    assert_eq!(
        state(&model, JobId(2)),
        Some(JobState::Ended(teaselgap_core::job::JobEnd::Succeeded))
    );
}

/// Submits jobs of many short tasks, more than a worker lists ends of at a time.
fn submit_many_short_tasks(model: &mut Model) -> Vec<JobId> {
    let jobs: Vec<JobId> = (1..=60).map(JobId).collect();
    for job in &jobs {
        model.submit(*job, &queue(), job_spec(vec![step(20, 400, 300)]));
    }
    model.run_for(30);
    jobs
}

/// Guards against tasks that are run again because a list of ends was cut off (review/1).
#[test]
fn a_task_whose_end_is_not_listed_yet_does_not_run_again() {
    let mut model = new_model(1);
    submit_many_short_tasks(&mut model);

    model.set_store_available(false);
    model.run_for(6_000);
    model.set_store_available(true);
    model.run_for(6_000);

    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_new_owner_runs_no_task_again_whose_end_is_not_listed_yet() {
    let mut model = new_model(1);
    let jobs = submit_many_short_tasks(&mut model);
    model.set_store_available(false);
    model.run_for(5_000);

    model.kill_owner();
    model.run_for(500);
    model.set_store_available(true);
    model.take_over();
    let all_done = |model: &Model| {
        let succeeded = Some(JobState::Ended(JobEnd::Succeeded));
        jobs.iter().all(|job| state(model, *job) == succeeded)
    };
    let is_done = model.run_until(60_000, all_done);

    assert!(is_done);
    assert_eq!(model.violations(), &[] as &[String]);
}
