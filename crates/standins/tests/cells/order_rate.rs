//! Tests of admission by the rate at which an owner gets start orders done, while workers are idle.

use indexmap::IndexMap;
use teaselgap_core::{
    Span,
    job::{
        AdmissionPolicy, Answer, CellConfig, EndKind, FlowLimits, JobId, JobSpec, LogEvent,
        OrderRate, Step, Token,
    },
};
use teaselgap_standins::model::{Link, Model, cell_config};

use crate::fixtures::{
    job_spec, long_running_job, queue, queue_config, service, step, task_id, worker,
};

/// Number of workers in the pool. They have room for six times the starts that the narrow link carries.
const WORKERS: usize = 40;

/// Rate of a narrow link, in megabits per second. It carries about a hundred start orders a second with
/// the payload of these tests.
const NARROW_MBPS: u64 = 2;

const WIDE_MBPS: u64 = 1_000;

const PAYLOAD_BYTES: usize = 2_000;

const TASK_MS: u64 = 640;

/// Latency objective of the jobs, in milliseconds: 1.6 times their two steps, plus 600 ms.
const OBJECTIVE_MS: u64 = 2_648;

/// How many times its objective a job may take before its end is worth nothing.
const OVERDUE_FACTOR: u64 = 3;

/// The time after which a new owner knows its workers, in milliseconds.
const SETTLING_MS: u64 = 4_000;

/// How many jobs a second are three times what the narrow link carries.
const BURST_JOBS_PER_S: u64 = 20;

const BURST_S: u64 = 12;

/// How often the model carries out the owner's actions, in milliseconds.
const TICK_MS: u64 = 5;

/// The job that is at work before a burst begins.
const EARLIER_JOB: JobId = JobId(1 << 32);

/// Returns a job of two steps of eight tasks each.
fn two_step_job() -> JobSpec {
    let second = Step { after: vec![0], ..step(8, 3_200, TASK_MS) };
    JobSpec {
        payload: "x".repeat(PAYLOAD_BYTES),
        ..job_spec(vec![step(8, 3_200, TASK_MS), second])
    }
}

/// Creates a model whose owner passes its calls over a link of this rate.
fn model_with_link(admission: AdmissionPolicy, link_mbps: u64) -> Model {
    let cfg = CellConfig { admission, ..cell_config() };
    let queues = IndexMap::from([(queue(), queue_config())]);
    let workers = (0..WORKERS).map(worker).collect();
    Model::with_link_and_config(Link::new(link_mbps), cfg, service(), queues, workers)
}

/// Creates such a model whose owner has known its workers for a while.
fn settled_model(admission: AdmissionPolicy, link_mbps: u64) -> Model {
    let mut model = model_with_link(admission, link_mbps);
    model.run_for(SETTLING_MS);
    model
}

/// Submits jobs at an even rate, and lets the time pass.
fn submit_steadily(model: &mut Model, spec: &JobSpec, jobs_per_s: u64, seconds: u64) -> Vec<Token> {
    let first = model.now().0;
    let numbers = first..first + jobs_per_s * seconds;
    numbers
        .map(|number| {
            let token = model.submit(JobId(number), &queue(), spec.clone());
            model.run_for(1_000 / jobs_per_s);
            token
        })
        .collect()
}

fn refused(model: &Model, tokens: &[Token]) -> usize {
    let is_refused = |token: &&Token| matches!(model.answer(**token), Some(Answer::Refused { .. }));
    tokens.iter().filter(is_refused).count()
}

/// Returns how long each finished job took, in milliseconds.
fn completion_times(model: &Model) -> Vec<u64> {
    let time = |event: &LogEvent| match event {
        LogEvent::Finished { after, .. } => Some(after.0),
        _ => None,
    };
    model.log_events().iter().filter_map(time).collect()
}

/// What became of the jobs of a burst.
#[derive(Debug)]
struct Outcome {
    submitted: usize,
    refused: usize,
    on_time: usize,
    overdue: usize,
    /// Tasks that were done when the burst ended.
    done_tasks: usize,
    /// How long after the burst the last accepted job ended.
    tail: Span,
}

/// Lets a burst pass and waits until all accepted jobs have ended.
fn run_burst(model: &mut Model, spec: &JobSpec, jobs_per_s: u64, objective_ms: u64) -> Outcome {
    let tokens = submit_steadily(model, spec, jobs_per_s, BURST_S);
    let (done_tasks, burst_end) = (model.end_count(EndKind::Done), model.now());
    let refused = refused(model, &tokens);
    let accepted = tokens.len() - refused;
    assert!(model.run_until(120_000, |model| completion_times(model).len() == accepted));
    let times = completion_times(model);
    let count = |limit_ms: u64| times.iter().filter(|&&time| time <= limit_ms).count();
    Outcome {
        submitted: tokens.len(),
        refused,
        on_time: count(objective_ms),
        overdue: accepted - count(objective_ms * OVERDUE_FACTOR),
        done_tasks,
        tail: model.now().since(burst_end),
    }
}

fn run_narrow_burst(admission: AdmissionPolicy) -> Outcome {
    let mut model = settled_model(admission, NARROW_MBPS);
    run_burst(&mut model, &two_step_job(), BURST_JOBS_PER_S, OBJECTIVE_MS)
}

#[test]
fn a_burst_beyond_a_narrow_link_makes_no_accepted_job_overdue() {
    let outcome = run_narrow_burst(AdmissionPolicy::ByForecast);

    assert_eq!(outcome.overdue, 0, "{outcome:?}");
    assert!(outcome.refused > 0, "{outcome:?}");
}

/// Guards against a forecast that rests on what a node is expected to carry when it carries less.
#[test]
fn a_link_that_carries_less_than_is_expected_makes_no_job_overdue_once_that_is_measured() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);
    // A quarter of the starts that the link carries with the usual payload.
    let spec = JobSpec { payload: "x".repeat(4 * PAYLOAD_BYTES), ..two_step_job() };
    let first = model.now().0;

    let outcome = run_burst(&mut model, &spec, BURST_JOBS_PER_S, OBJECTIVE_MS);

    // The rate shows within a second.
    let measured_from = JobId(first + BURST_JOBS_PER_S);
    let is_overdue = |event: &&LogEvent| {
        matches!(event, LogEvent::Finished { job, after, .. }
            if *job >= measured_from && after.0 > OBJECTIVE_MS * OVERDUE_FACTOR)
    };
    let overdue = model.log_events().iter().filter(is_overdue).count();
    assert_eq!(overdue, 0, "{outcome:?}");
    assert!(outcome.tail <= Span(10_000), "{outcome:?}");
    // Half of what the link carries in this time, if it carried nothing but start orders.
    let most_starts = 250_000 * 12 / (4 * PAYLOAD_BYTES + 350);
    assert!(outcome.done_tasks >= most_starts / 2, "{outcome:?}");
}

/// Guards against jobs that are accepted before the first of them shows how long they wait.
#[test]
fn jobs_that_arrive_at_once_over_a_narrow_link_end_before_they_are_overdue() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);
    let first = model.now().0;
    let numbers = first..first + 200;
    let tokens: Vec<Token> =
        numbers.map(|number| model.submit(JobId(number), &queue(), two_step_job())).collect();

    model.run_for(30_000);

    let times = completion_times(&model);
    assert_eq!(times.len() + refused(&model, &tokens), tokens.len());
    // Their 80 start orders take the link less than a second.
    assert!(times.len() >= 5, "{} accepted", times.len());
    let slowest = times.into_iter().max();
    assert!(slowest <= Some(OBJECTIVE_MS * OVERDUE_FACTOR), "{slowest:?}");
}

#[test]
fn accepted_jobs_of_a_burst_beyond_a_narrow_link_do_not_wait_long_after_it() {
    let outcome = run_narrow_burst(AdmissionPolicy::ByForecast);

    assert!(outcome.tail <= Span(10_000), "{outcome:?}");
}

/// Guards against refusals of jobs that the link could have carried.
#[test]
fn refusals_for_a_narrow_link_cost_no_start_order() {
    let without_refusals = run_narrow_burst(AdmissionPolicy::AcceptLate);
    let outcome = run_narrow_burst(AdmissionPolicy::ByForecast);

    assert!(
        outcome.done_tasks * 100 >= without_refusals.done_tasks * 95,
        "{outcome:?} {without_refusals:?}"
    );
    assert!(outcome.on_time * 2 > outcome.submitted - outcome.refused, "{outcome:?}");
    assert!(outcome.on_time > without_refusals.on_time, "{outcome:?} {without_refusals:?}");
}

#[test]
fn a_refusal_for_a_narrow_link_is_given_at_once() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);
    submit_steadily(&mut model, &two_step_job(), BURST_JOBS_PER_S, 6);

    let mut refused_at_once = 0;
    for number in 0..40 {
        let token = model.submit(JobId(number), &queue(), two_step_job());
        model.run_for(TICK_MS);
        refused_at_once += refused(&model, &[token]);
        model.run_for(50 - TICK_MS);
    }

    assert!(refused_at_once >= 20, "{refused_at_once} of 40");
}

/// Guards against lines from which the cause of a refusal doesn't show.
#[test]
fn a_refusal_for_a_narrow_link_names_the_start_orders_and_their_rate() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);

    submit_steadily(&mut model, &two_step_job(), BURST_JOBS_PER_S, 6);

    let refusals: Vec<(&str, Span, Option<OrderRate>)> = model
        .log_events()
        .iter()
        .filter_map(|event| match event {
            LogEvent::Refused { reason, wait, order_rate, .. } => {
                Some((*reason, *wait, *order_rate))
            }
            _ => None,
        })
        .collect();
    // No more than the link carries of these orders and nothing else.
    let most = OrderRate(250_000 / (PAYLOAD_BYTES as u64 + 350));
    assert!(!refusals.is_empty());
    for (reason, wait, order_rate) in refusals {
        assert_eq!(reason, "start orders can't keep up");
        assert!(wait > Span(0));
        assert!(order_rate.is_some_and(|rate| rate <= most), "{order_rate:?}");
    }
}

#[test]
fn nothing_is_refused_that_a_narrow_link_carries() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);

    // 64 start orders a second.
    let outcome = run_burst(&mut model, &two_step_job(), 4, OBJECTIVE_MS);

    assert_eq!(outcome.refused, 0, "{outcome:?}");
    assert_eq!(outcome.on_time, outcome.submitted, "{outcome:?}");
}

#[test]
fn nothing_is_refused_that_a_wide_link_carries() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, WIDE_MBPS);

    let outcome = run_burst(&mut model, &two_step_job(), BURST_JOBS_PER_S, OBJECTIVE_MS);

    assert_eq!(outcome.refused, 0, "{outcome:?}");
    assert_eq!(outcome.on_time, outcome.submitted, "{outcome:?}");
}

/// Guards against a forecast that rests on what a node is expected to carry when it carries more.
#[test]
fn nothing_is_refused_that_a_narrow_link_carries_beyond_what_is_expected_of_it() {
    for jobs_per_s in [10, 15, 20] {
        let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);
        let spec = JobSpec { payload: String::new(), ..two_step_job() };

        let outcome = run_burst(&mut model, &spec, jobs_per_s, OBJECTIVE_MS);

        assert_eq!(outcome.refused, 0, "{jobs_per_s} jobs a second: {outcome:?}");
        assert_eq!(outcome.on_time, outcome.submitted, "{jobs_per_s} jobs a second: {outcome:?}");
    }
}

/// Guards against an owner that accepts everything in the first seconds of its term.
#[test]
fn a_new_owner_in_a_burst_beyond_a_narrow_link_makes_no_accepted_job_overdue() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);
    model.kill_owner();
    model.take_over();

    let outcome = run_burst(&mut model, &two_step_job(), BURST_JOBS_PER_S, OBJECTIVE_MS);

    assert_eq!(outcome.overdue, 0, "{outcome:?}");
}

/// Returns how long the task of a job takes to start again after its worker was restarted, in
/// milliseconds, while this many jobs a second arrive.
fn restart_time(spec: JobSpec, jobs_per_s: u64) -> u64 {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);
    model.submit(EARLIER_JOB, &queue(), spec);
    model.run_for(1_000);
    submit_steadily(&mut model, &two_step_job(), jobs_per_s, 6);
    let task = task_id(EARLIER_JOB, 0);
    let mut hosts = (0..WORKERS).map(|number| format!("w{number}"));
    let host = hosts.find(|id| model.worker_mut(id).is_running(task)).unwrap();
    model.restart_worker(&host);
    let begin = model.now();
    let interval_ms = 1_000 / jobs_per_s;
    let mut waited_ms = 0;
    while model.start_count(task) < 2 && waited_ms < 10_000 {
        if waited_ms % interval_ms == 0 {
            model.submit(JobId(begin.0 + waited_ms), &queue(), two_step_job());
        }
        model.run_for(10);
        waited_ms += 10;
    }
    waited_ms
}

#[test]
fn a_burst_beyond_a_narrow_link_does_not_delay_a_lost_lasting_task() {
    let without_burst = restart_time(long_running_job(1, 0), 1);

    let in_burst = restart_time(long_running_job(1, 0), BURST_JOBS_PER_S);

    assert!(in_burst <= without_burst + 500, "{in_burst} ms, without a burst {without_burst}");
}

/// Guards against lost work that waits behind all jobs that arrive: its own objective is far away.
#[test]
fn a_burst_beyond_a_narrow_link_does_not_delay_a_lost_task_of_a_long_job() {
    let long_job = job_spec(vec![step(1, 3_200, 30_000)]);
    let without_burst = restart_time(long_job.clone(), 1);

    let in_burst = restart_time(long_job, BURST_JOBS_PER_S);

    assert!(in_burst <= without_burst + 500, "{in_burst} ms, without a burst {without_burst}");
}

/// Guards against starts that wait for their records and then find the window of orders full.
#[test]
fn tasks_of_several_lost_workers_start_again_soon_in_a_burst_beyond_a_narrow_link() {
    const TASKS: u32 = 80;
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS);
    model.submit(EARLIER_JOB, &queue(), job_spec(vec![step(TASKS, 3_200, 60_000)]));
    model.run_for(3_000);
    submit_steadily(&mut model, &two_step_job(), BURST_JOBS_PER_S, 4);
    let tasks = (0..TASKS).map(|index| task_id(EARLIER_JOB, index));
    let hosts = ["w0", "w9", "w18", "w27"];
    let lost: Vec<_> = tasks
        .filter(|task| hosts.iter().any(|host| model.worker_mut(host).is_running(*task)))
        .collect();

    for host in hosts {
        model.restart_worker(host);
    }
    submit_steadily(&mut model, &two_step_job(), BURST_JOBS_PER_S, 4);

    assert!(lost.len() >= 4, "{lost:?}");
    let waiting = lost.iter().filter(|task| model.start_count(**task) < 2).count();
    assert_eq!(waiting, 0, "of {}", lost.len());
}

/// A job of many short tasks, of which the workers could do many at once.
fn many_task_job() -> JobSpec {
    job_spec(vec![step(80, 4_000, 20)])
}

/// Latency objective of such a job, in milliseconds: 1.6 times its only step, plus 600 ms.
const MANY_TASKS_OBJECTIVE_MS: u64 = 632;

/// Creates a model of four workers whose owner waits for the answer to each start order before it
/// gives the next one.
fn model_with_one_order_at_a_time(admission: AdmissionPolicy) -> Model {
    let flow = FlowLimits { max_starts: 1, ..cell_config().flow };
    let cfg = CellConfig { admission, flow, ..cell_config() };
    let queues = IndexMap::from([(queue(), queue_config())]);
    let mut model = Model::with_config(cfg, service(), queues, (0..4).map(worker).collect());
    model.run_for(SETTLING_MS);
    model
}

#[test]
fn one_order_at_a_time_makes_no_accepted_job_overdue_while_workers_are_idle() {
    let mut model = model_with_one_order_at_a_time(AdmissionPolicy::ByForecast);

    let outcome = run_burst(&mut model, &many_task_job(), 5, MANY_TASKS_OBJECTIVE_MS);

    assert_eq!(outcome.overdue, 0, "{outcome:?}");
    assert!(outcome.refused > 0, "{outcome:?}");
}

#[test]
fn refusals_for_one_order_at_a_time_cost_no_start_order() {
    let run = |admission| {
        let mut model = model_with_one_order_at_a_time(admission);
        run_burst(&mut model, &many_task_job(), 5, MANY_TASKS_OBJECTIVE_MS)
    };

    let without_refusals = run(AdmissionPolicy::AcceptLate);
    let outcome = run(AdmissionPolicy::ByForecast);

    assert!(
        outcome.done_tasks * 100 >= without_refusals.done_tasks * 95,
        "{outcome:?} {without_refusals:?}"
    );
}

#[test]
fn nothing_is_refused_that_one_order_at_a_time_carries() {
    let mut model = model_with_one_order_at_a_time(AdmissionPolicy::ByForecast);

    let outcome = run_burst(&mut model, &many_task_job(), 1, MANY_TASKS_OBJECTIVE_MS);

    assert_eq!(outcome.refused, 0, "{outcome:?}");
}
