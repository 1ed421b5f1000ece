//! Tests of queues whose tasks may run only on workers that the advice service allows.

use teaselgap_core::job::{JobEnd, JobId, JobState, LogEvent, Step, StepId};
use teaselgap_standins::model::Model;

use crate::fixtures::{job_spec, new_model_with_advice, queue, state, step};

const JOB: JobId = JobId(1);

fn is_done(model: &Model) -> bool {
    state(model, JOB) == Some(JobState::Ended(JobEnd::Succeeded))
}

fn two_steps() -> Vec<Step> {
    vec![step(4, 2_000, 400), Step { after: vec![0], ..step(4, 2_000, 400) }]
}

#[test]
fn tasks_run_only_on_workers_that_the_advice_service_allows() {
    let mut model = new_model_with_advice(4, &["w1", "w3"]);

    model.submit(JOB, &queue(), job_spec(two_steps()));
    let done = model.run_until(3_000, is_done);

    let is_placed_elsewhere = |event: &&LogEvent| match event {
        LogEvent::Placed { tasks, .. } => {
            tasks.iter().any(|task| !["w1", "w3"].contains(&task.worker.as_str()))
        }
        _ => false,
    };
    assert!(done);
    assert_eq!(model.log_events().iter().find(is_placed_elsewhere), None);
}

#[test]
fn advice_is_requested_once_per_step_and_before_the_previous_step_is_done() {
    let mut model = new_model_with_advice(4, &["w1"]);

    model.submit(JOB, &queue(), job_spec(two_steps()));
    model.run_for(300);
    let early_requests = model.advice_request_count();
    model.run_until(3_000, is_done);

    assert_eq!((early_requests, model.advice_request_count()), (2, 2));
}

#[test]
fn a_step_waits_until_the_advice_service_answers() {
    let mut model = new_model_with_advice(2, &["w0"]);
    model.set_advice_available(false);

    model.submit(JOB, &queue(), job_spec(vec![step(2, 2_000, 400)]));
    model.run_for(2_000);
    let early_starts = model.start_count(StepId { job: JOB, occurrence: 0, step: 0 }.task(0));
    model.set_advice_available(true);
    let done = model.run_until(3_000, is_done);

    assert_eq!(early_starts, 0);
    assert!(done);
}

#[test]
fn expired_tickets_are_requested_again() {
    let mut model = new_model_with_advice(1, &["w0"]);

    // The tasks run one at a time, together for longer than a ticket is valid.
    model.submit(JOB, &queue(), job_spec(vec![step(6, 32_000, 900)]));
    let done = model.run_until(8_000, is_done);

    assert!(done);
    assert!((2..=4).contains(&model.advice_request_count()), "{}", model.advice_request_count());
    assert_eq!(model.violations(), [] as [&str; 0]);
}
