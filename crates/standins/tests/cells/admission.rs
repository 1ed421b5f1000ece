//! Tests of admission by forecast: overloads, bursts that a growing pool can do, and refusals.

use teaselgap_core::{
    Span,
    job::{Answer, DrainMode, JobId, JobSpec, LogEvent, Schedule, Token},
};
use teaselgap_standins::model::{Model, TaskTime};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, step};

/// Time that a task of these tests takes, in milliseconds.
const TASK_MS: u64 = 800;

/// Latency objective of the jobs of these tests, in milliseconds: 1.6 times their only step, plus
/// 600 ms.
const OBJECTIVE_MS: u64 = 1_880;

/// How many times its objective a job may take before its end is worth nothing.
const OVERDUE_FACTOR: u64 = 3;

/// The time after which a new owner knows its workers, in milliseconds.
const SETTLING_MS: u64 = 4_000;

/// Returns a job whose two tasks fill a worker for `TASK_MS`.
fn whole_worker_job() -> JobSpec {
    job_spec(vec![step(2, 16_000, TASK_MS)])
}

/// Creates a model whose owner has known its workers for a while.
fn settled_model(workers: usize) -> Model {
    let mut model = new_model(workers);
    model.run_for(SETTLING_MS);
    model
}

/// Submits a job every `interval_ms` for `duration_ms`. Returns the jobs with their tokens.
fn submit_steadily(model: &mut Model, interval_ms: u64, duration_ms: u64) -> Vec<(JobId, Token)> {
    let first = model.now().0;
    let numbers = first..first + duration_ms / interval_ms;
    numbers
        .map(|number| {
            let token = model.submit(JobId(number), &queue(), whole_worker_job());
            model.run_for(interval_ms);
            (JobId(number), token)
        })
        .collect()
}

fn refusals(model: &Model, jobs: &[(JobId, Token)]) -> Vec<Span> {
    let refusal = |token: Token| match model.answer(token) {
        Some(Answer::Refused { retry_after }) => Some(retry_after),
        _ => None,
    };
    jobs.iter().filter_map(|(_, token)| refusal(*token)).collect()
}

/// Returns how long each finished job took, in milliseconds.
fn completion_times(model: &Model) -> Vec<u64> {
    let time = |event: &LogEvent| match event {
        LogEvent::Finished { after, .. } => Some(after.0),
        _ => None,
    };
    model.log_events().iter().filter_map(time).collect()
}

/// Drains the workers with these numbers, or none.
fn drain(model: &mut Model, numbers: std::ops::Range<usize>) {
    let drains = numbers.map(|number| (format!("w{number}").as_str().into(), DrainMode::StopAll));
    model.cell_mut().unwrap().set_drains(drains.collect());
}

#[test]
fn in_an_overload_each_accepted_job_ends_while_it_is_worth_something() {
    let mut model = settled_model(4);

    // Four workers do five of these jobs in a second, and ten arrive.
    let jobs = submit_steadily(&mut model, 100, 20_000);
    let accepted = jobs.len() - refusals(&model, &jobs).len();
    let all_done = model.run_until(40_000, |model| completion_times(model).len() == accepted);
    let times = completion_times(&model);
    let on_time = times.iter().filter(|&&time| time <= OBJECTIVE_MS).count();

    assert!(all_done);
    let slowest = times.into_iter().max();
    assert!(slowest <= Some(OBJECTIVE_MS * OVERDUE_FACTOR), "{slowest:?}");
    // As many as the workers can do in that time, as without refusals.
    assert!(on_time > 100, "{on_time} of {accepted} accepted");
}

#[test]
fn callers_refused_in_an_overload_come_back_in_different_seconds_within_their_time() {
    let mut model = settled_model(4);

    let jobs = submit_steadily(&mut model, 100, 10_000);
    let refusals = refusals(&model, &jobs);
    let seconds: std::collections::BTreeSet<u64> =
        refusals.iter().map(|span| span.0.div_ceil(1_000)).collect();

    assert!(refusals.len() >= 20, "{}", refusals.len());
    assert!(seconds.len() >= 2, "{seconds:?}");
    assert!(seconds.iter().all(|seconds| (1..=6).contains(seconds)), "{seconds:?}");
}

#[test]
fn long_running_and_scheduled_jobs_are_never_refused_for_a_backlog() {
    let mut model = settled_model(4);
    let jobs = submit_steadily(&mut model, 100, 8_000);
    let schedule =
        Schedule { first_wall_ms: model.wall_ms() + 10_000, period: Span(1_000), occurrences: 2 };
    let scheduled_job = JobSpec { schedule: Some(schedule), ..whole_worker_job() };

    let scheduled = model.submit(JobId(1), &queue(), scheduled_job);
    let long_running = model.submit(JobId(2), &queue(), long_running_job(2, 1));
    model.run_for(1_000);

    assert!(!refusals(&model, &jobs).is_empty());
    assert_eq!(model.answer(scheduled), Some(Answer::Durable));
    assert_eq!(model.answer(long_running), Some(Answer::Durable));
}

#[test]
fn nothing_is_refused_in_a_burst_for_which_earlier_workers_come_back() {
    let mut model = settled_model(10);
    drain(&mut model, 2..10);
    model.run_for(2_000);

    // Ten workers do twelve of these jobs in a second; two do two and a half.
    let mut jobs = submit_steadily(&mut model, 100, 2_000);
    drain(&mut model, 0..0);
    jobs.extend(submit_steadily(&mut model, 100, 3_000));

    assert_eq!(refusals(&model, &jobs), []);
}

#[test]
fn nothing_is_refused_while_a_new_owner_may_not_know_its_workers() {
    let mut model = new_model(10);
    drain(&mut model, 2..10);
    model.kill_owner();
    model.take_over();
    model.run_for(100);

    let jobs = submit_steadily(&mut model, 50, 2_000);

    assert_eq!(refusals(&model, &jobs), []);
}

#[test]
fn a_job_that_can_be_on_time_is_accepted_behind_a_backlog_of_late_ones() {
    let mut model = settled_model(4);
    // The tasks take five times as long as declared, so that many accepted jobs are late.
    for number in 0..4 {
        model.worker_mut(&format!("w{number}")).task_time = TaskTime::Percent(500);
    }
    submit_steadily(&mut model, 100, 3_000);
    for number in 0..4 {
        model.worker_mut(&format!("w{number}")).task_time = TaskTime::AsEstimated;
    }
    model.run_for(8_000);

    let token = model.submit(JobId(1), &queue(), whole_worker_job());
    model.run_for(200);

    assert_eq!(model.answer(token), Some(Answer::Durable));
}
