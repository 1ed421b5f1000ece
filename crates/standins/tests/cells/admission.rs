//! Tests of admission by forecast: overloads, bursts that a growing pool can do, and refusals.

use indexmap::IndexMap;
use teaselgap_core::{
    Span,
    job::{
        AdmissionPolicy, Answer, CellConfig, DrainMode, JobId, JobSpec, LogEvent, Outlook,
        Schedule, Token,
    },
};
use teaselgap_standins::model::{Model, TaskTime, cell_config};

use crate::fixtures::{
    WORKER_CPU_MILLI, job_spec, long_running_job, queue, queue_config, service, step, worker,
};

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

/// Creates a model whose owner has known its workers for a while and refuses jobs by forecast.
fn settled_model(workers: usize) -> Model {
    settled_model_with(AdmissionPolicy::ByForecast, workers)
}

fn settled_model_with(admission: AdmissionPolicy, workers: usize) -> Model {
    let mut model = unsettled_model_with(admission, workers);
    model.run_for(SETTLING_MS);
    model
}

fn unsettled_model_with(admission: AdmissionPolicy, workers: usize) -> Model {
    let cfg = CellConfig { admission, ..cell_config() };
    let queues = IndexMap::from([(queue(), queue_config())]);
    let mut model = Model::with_config(cfg, service(), queues, (0..workers).map(worker).collect());
    model.run_for(300);
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
        Some(Answer::Refused { retry_after, .. }) => Some(retry_after),
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

/// What became of the jobs of an overload.
#[derive(Debug)]
struct Outcome {
    refused: usize,
    on_time: usize,
    /// How long the slowest accepted job took, in milliseconds.
    slowest_ms: u64,
}

/// Submits for 20 s twice as many jobs as the workers can do, at intervals that vary by up to
/// `jitter_ms` either way, and waits until all accepted ones have ended.
fn run_overload(admission: AdmissionPolicy, workers: usize, jitter_ms: u64) -> Outcome {
    let mut model = settled_model_with(admission, workers);
    let interval_ms = TASK_MS / (2 * workers as u64);
    let end = model.now() + Span(20_000);
    let mut jobs = Vec::new();
    let mut random = 1_u64;
    while model.now() < end {
        jobs.extend(submit_steadily(&mut model, 1, 1));
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let pause_ms =
            (interval_ms + (random >> 33) % (2 * jitter_ms + 1)).saturating_sub(jitter_ms);
        model.run_for(pause_ms.saturating_sub(1));
    }
    let refused = refusals(&model, &jobs).len();
    let accepted = jobs.len() - refused;
    assert!(model.run_until(60_000, |model| completion_times(model).len() == accepted));
    let times = completion_times(&model);
    Outcome {
        refused,
        on_time: times.iter().filter(|&&time| time <= OBJECTIVE_MS).count(),
        slowest_ms: times.into_iter().max().unwrap_or(0),
    }
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
fn in_an_overload_as_many_jobs_end_on_time_as_without_refusals() {
    for jitter_ms in [0, 10, 30] {
        let without_refusals = run_overload(AdmissionPolicy::AcceptLate, 4, jitter_ms);
        let outcome = run_overload(AdmissionPolicy::ByForecast, 4, jitter_ms);

        assert!(outcome.refused > 0, "{outcome:?}");
        assert!(outcome.slowest_ms <= OBJECTIVE_MS * OVERDUE_FACTOR, "{outcome:?}");
        assert!(outcome.on_time >= without_refusals.on_time, "{outcome:?} {without_refusals:?}");
    }
}

#[test]
fn in_an_overload_of_a_large_pool_each_accepted_job_ends_while_it_is_worth_something() {
    let outcome = run_overload(AdmissionPolicy::ByForecast, 20, 0);

    // The workers do 25 jobs a second for 20 s.
    assert!(outcome.slowest_ms <= OBJECTIVE_MS * OVERDUE_FACTOR, "{outcome:?}");
    assert!(outcome.on_time >= 500, "{outcome:?}");
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
fn nothing_is_refused_while_more_workers_are_announced() {
    let mut model = settled_model(2);
    let now = model.now();
    model.cell_mut().unwrap().expect_workers(now);

    // Two workers do two and a half of these jobs in a second, five times as many twelve.
    let jobs = submit_steadily(&mut model, 100, 2_500);

    assert_eq!(refusals(&model, &jobs), []);
}

#[test]
fn nothing_is_refused_while_a_new_owner_may_not_know_its_workers() {
    let mut model = unsettled_model_with(AdmissionPolicy::ByForecast, 10);
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

/// Guards against refusals that keep the pool small, and a small pool that keeps refusing.
#[test]
fn refused_jobs_count_as_load_so_that_the_pool_can_grow() {
    let mut model = settled_model(4);
    let before = model.cell().unwrap().load(model.now());

    let jobs = submit_steadily(&mut model, 50, 6_000);
    let after = model.cell().unwrap().load(model.now());

    assert!(refusals(&model, &jobs).len() > jobs.len() / 4);
    assert_eq!(after.arrived_jobs - before.arrived_jobs, jobs.len() as u64);
}

#[test]
fn a_refused_job_that_is_submitted_again_counts_as_load_once() {
    let mut model = settled_model(4);
    let before = model.cell().unwrap().load(model.now());

    let jobs = submit_steadily(&mut model, 50, 6_000);
    let first_refused =
        jobs.iter().find(|(_, token)| matches!(model.answer(*token), Some(Answer::Refused { .. })));
    let (job, _) = *first_refused.expect("a refused job");
    for _ in 0..10 {
        model.submit(job, &queue(), whole_worker_job());
        model.run_for(5);
    }
    let after = model.cell().unwrap().load(model.now());

    assert_eq!(after.arrived_jobs - before.arrived_jobs, jobs.len() as u64);
}

/// Processor capacity of this many workers, in thousandths of a core.
fn capacity_of(workers: u64) -> u64 {
    workers * WORKER_CPU_MILLI
}

/// Replays a burst for which the pool grows from three workers to ten, the most that the fleet can
/// give, while twice as many jobs arrive as ten workers can do. More workers are announced all the
/// time, as the fleet moves VMs in a burst.
fn run_burst_of_growing_pool() -> Outcome {
    let mut model = settled_model(10);
    drain(&mut model, 3..10);
    model.run_for(2_000);
    let outlook =
        Outlook { coming_milli: capacity_of(10), most_milli: capacity_of(10), lead: Span(2_000) };
    let mut jobs = Vec::new();
    for tick in 0..60 {
        if tick == 10 {
            drain(&mut model, 0..0);
        }
        let now = model.now();
        let cell = model.cell_mut().unwrap();
        cell.expect_workers(now);
        cell.set_outlook(outlook, now);
        jobs.extend(submit_steadily(&mut model, 40, 200));
    }
    let refused = refusals(&model, &jobs).len();
    let accepted = jobs.len() - refused;
    assert!(model.run_until(60_000, |model| completion_times(model).len() == accepted));
    let times = completion_times(&model);
    let on_time = times.iter().filter(|&&time| time <= OBJECTIVE_MS).count();
    Outcome { refused, on_time, slowest_ms: times.into_iter().max().unwrap_or(0) }
}

#[test]
fn in_a_burst_beyond_what_the_fleet_can_give_most_accepted_jobs_are_on_time() {
    let outcome = run_burst_of_growing_pool();
    let accepted = 300 - outcome.refused;

    // Ten workers do 125 of the 300 jobs in the ten seconds for which all of them are there.
    assert!(outcome.on_time * 2 > accepted, "{outcome:?}");
    assert!(outcome.on_time * 2 > 125, "{outcome:?}");
    assert!(outcome.slowest_ms <= OBJECTIVE_MS * OVERDUE_FACTOR, "{outcome:?}");
}
