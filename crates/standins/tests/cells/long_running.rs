//! Tests of long-running tasks around a change of owners. The new owner must neither leave such a
//! task without a run for long nor start it while an earlier run may be alive.

use teaselgap_core::{
    Span, Timestamp,
    job::{JobId, JobSpec, LogEvent},
};
use teaselgap_standins::model::{Model, OWNER_TTL, WorkerFaults, cell_config};

use crate::fixtures::{
    busy_worker, idle_worker, long_running_job, new_model, new_model_with_link, partition, queue,
    task_id,
};

const JOB: JobId = JobId(7);

/// Time after which every lease of an owner that was killed has expired, in milliseconds.
const ALL_LEASES_MS: u64 = 7_000;

/// Time within which an owner that waits for nothing starts a task, in milliseconds.
const START_MS: u64 = 1_000;

/// The most start orders to one worker that wait for their answers.
const MAX_STARTS_PER_WORKER: usize = 3;

/// Size of a payload of which a link of 10 Mbit/s carries few at once.
const PAYLOAD_BYTES: usize = 2_000;

/// Creates a model whose only job has one long-running task, which runs.
fn model_with_one_task(workers: usize) -> Model {
    let mut model = new_model(workers);
    model.run_for(OWNER_TTL.0);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(1_000);
    model
}

fn starts(model: &Model) -> u32 {
    model.start_count(task_id(JOB, 0))
}

/// Returns when the task has started `count` times.
fn nth_start(model: &mut Model, count: u32) -> Option<Timestamp> {
    model.run_until(30_000, |model| starts(model) >= count).then(|| model.now())
}

#[test]
fn a_task_starts_at_once_although_another_worker_is_unreachable() {
    let mut model = model_with_one_task(3);
    let idle = idle_worker(&model);
    partition(&mut model, &idle);
    model.kill_owner();
    model.run_for(ALL_LEASES_MS);
    let claimed_at = model.now();

    model.take_over();
    let started_at = nth_start(&mut model, 2);

    let latest = claimed_at + Span(START_MS);
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_new_task_starts_at_once_although_a_worker_is_unreachable() {
    let mut model = new_model(3);
    model.run_for(OWNER_TTL.0);
    let idle = idle_worker(&model);
    partition(&mut model, &idle);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    // The job is durable, but no record of its placement is.
    model.run_for(42);
    model.kill_owner();
    model.run_for(500);
    let claimed_at = model.now();

    model.take_over();
    let started_at = nth_start(&mut model, 1);

    let latest = claimed_at + Span(START_MS);
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
}

#[test]
fn a_task_whose_worker_is_unreachable_waits_for_its_lease() {
    let mut model = model_with_one_task(3);
    let busy = busy_worker(&model);
    partition(&mut model, &busy);
    model.kill_owner();
    model.run_for(500);
    let claimed_at = model.now();

    model.take_over();
    let started_at = nth_start(&mut model, 2);

    let earliest = claimed_at + OWNER_TTL + cell_config().lease;
    assert!(started_at.is_some_and(|at| at >= earliest), "{started_at:?}, before {earliest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn an_order_of_the_previous_owner_that_arrives_late_runs_no_task_twice() {
    for late_ms in [200, 1_500, 2_900] {
        for unreachable in [false, true] {
            let mut model = new_model(2);
            model.run_for(OWNER_TTL.0);
            let late = WorkerFaults { late_orders: 1, late_ms, ..WorkerFaults::default() };
            model.set_faults("w0", late);
            model.set_faults("w1", late);
            model.submit(JOB, &queue(), long_running_job(1, 1));
            model.run_for(100);
            model.kill_owner();
            if unreachable {
                model.make_unreachable("w0", 20_000);
                model.make_unreachable("w1", 20_000);
            }

            model.take_over();
            let started_at = nth_start(&mut model, 1);
            model.run_for(30_000);

            assert!(started_at.is_some(), "{late_ms} ms late, unreachable: {unreachable}");
            assert_eq!(model.violations(), [] as [&str; 0]);
        }
    }
}

/// Begins the term of a new owner and returns how many of the job's two tasks have started in the
/// time in which they must.
fn tasks_started_by_next_owner(model: &mut Model) -> usize {
    model.take_over();
    model.run_for(START_MS);
    let started = (0..2).filter(|&index| model.start_count(task_id(JOB, index)) > 0).count();
    model.run_for(10_000);
    started
}

#[test]
fn an_owner_that_dies_while_it_places_a_task_neither_loses_it_nor_runs_it_twice() {
    for offset_ms in 0..120 {
        let mut model = new_model(3);
        model.run_for(OWNER_TTL.0);
        let token = model.submit(JOB, &queue(), long_running_job(2, 1));
        model.run_for(offset_ms);
        model.kill_owner();
        let is_accepted = model.answer(token).is_some();
        model.run_for(300);

        let started = tasks_started_by_next_owner(&mut model);

        assert!(!is_accepted || started == 2, "{started} started, killed after {offset_ms} ms");
        assert_eq!(model.violations(), [] as [&str; 0]);
    }
}

#[test]
fn an_owner_that_dies_while_it_places_a_task_does_not_leave_an_unknown_run() {
    for offset_ms in 30..120 {
        let mut model = new_model(3);
        model.run_for(OWNER_TTL.0);
        model.submit(JOB, &queue(), long_running_job(1, 1));
        model.run_for(offset_ms);
        model.kill_owner();
        // An order that was just sent arrives.
        model.run_for(5);
        let busy = model.workers().find(|worker| worker.run_count() > 0);
        if let Some(busy) = busy.map(|worker| worker.entry.id.clone()) {
            partition(&mut model, &busy);
        }

        model.take_over();
        let started_at = nth_start(&mut model, 1);

        assert!(started_at.is_some());
        model.run_for(12_000);
        assert_eq!(model.violations(), [] as [&str; 0], "killed after {offset_ms} ms");
    }
}

#[test]
fn a_task_is_not_started_before_its_placement_is_durable() {
    let mut model = new_model(1);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    // The job is durable, but no record of its placement is.
    model.run_for(42);
    model.set_store_available(false);
    model.run_for(300);
    let starts_at_first = starts(&model);

    // The task is withdrawn and then placed on the same worker again.
    let (now, wall_ms) = (model.now(), model.wall_ms());
    model.worker_mut("w0").restart(now, wall_ms);
    model.run_for(5_000);
    let starts_after_restart = starts(&model);
    model.set_store_available(true);
    model.run_for(300);

    assert_eq!((starts_at_first, starts_after_restart, starts(&model)), (0, 0, 1));
}

#[test]
fn a_task_whose_worker_restarts_while_there_is_no_owner_starts_at_once() {
    let mut model = model_with_one_task(3);
    let (idle, busy) = (idle_worker(&model), busy_worker(&model));
    partition(&mut model, &idle);
    model.kill_owner();
    model.run_for(500);
    let (now, wall_ms) = (model.now(), model.wall_ms());
    model.worker_mut(busy.as_str()).restart(now, wall_ms);
    model.run_for(1_500);
    let claimed_at = model.now();

    model.take_over();
    let started_at = nth_start(&mut model, 2);

    let latest = claimed_at + Span(START_MS);
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_handover_while_a_task_is_being_placed_neither_loses_it_nor_runs_it_twice() {
    for offset_ms in 0..120 {
        let mut model = new_model(3);
        model.run_for(OWNER_TTL.0);
        let token = model.submit(JOB, &queue(), long_running_job(2, 1));
        model.run_for(offset_ms);

        model.hand_over();
        let is_accepted = model.answer(token).is_some();
        let started = tasks_started_by_next_owner(&mut model);

        assert!(!is_accepted || started == 2, "{started} started, handed over at {offset_ms} ms");
        assert_eq!(model.violations(), [] as [&str; 0]);
    }
}

#[test]
fn a_task_that_fails_while_the_store_is_away_starts_again() {
    let mut model = model_with_one_task(3);
    let busy = busy_worker(&model);
    model.set_store_available(false);
    model.run_for(200);
    let now = model.now();

    model.worker_mut(busy.as_str()).fail_endless_runs(now);
    let started_at = nth_start(&mut model, 2);

    let latest = now + Span(START_MS);
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
}

/// Returns how many tasks each `placed` event since the model began names.
fn placed_counts(model: &Model) -> Vec<usize> {
    let placed_count = |event: &LogEvent| match event {
        LogEvent::Placed { tasks, .. } => Some(tasks.len()),
        _ => None,
    };
    model.log_events().iter().filter_map(placed_count).collect()
}

#[test]
fn tasks_whose_placements_become_durable_together_share_a_placed_event() {
    let mut model = new_model(4);

    model.submit(JOB, &queue(), long_running_job(4, 1));
    model.run_for(1_000);

    assert_eq!(placed_counts(&model), [4]);
}

#[test]
fn a_task_is_logged_as_placed_when_its_order_is_sent() {
    let mut model = new_model(4);
    model.submit(JOB, &queue(), long_running_job(4, 1));
    // The job is durable, but no record of its placement is.
    model.run_for(42);
    model.set_store_available(false);
    model.run_for(1_000);
    let before = placed_counts(&model).len();

    model.set_store_available(true);
    model.run_for(1_000);

    let starts = (0..4).map(|index| model.start_count(task_id(JOB, index)) as usize).sum::<usize>();
    assert_eq!(before, 0);
    assert_eq!(placed_counts(&model).iter().sum::<usize>(), starts);
}

#[test]
fn orders_whose_placements_become_durable_together_keep_to_the_window() {
    let mut model = new_model_with_link(100, 10);
    let tasks = 200;
    let job = JobSpec { payload: "x".repeat(PAYLOAD_BYTES), ..long_running_job(tasks, 1) };

    model.submit(JOB, &queue(), job);
    model.run_for(3_000);

    let limits = model.flow_limits();
    let orders_in_window = limits.max_start_bytes.div_ceil(PAYLOAD_BYTES as u64);
    let most_orders = limits.max_starts.min(usize::try_from(orders_in_window).unwrap());
    assert!(model.max_starts_in_flight() <= most_orders, "{}", model.max_starts_in_flight());
    let started = (0..tasks).filter(|&index| model.start_count(task_id(JOB, index)) == 1).count();
    assert_eq!(started, tasks as usize);
}

#[test]
fn one_worker_gets_few_orders_for_long_running_tasks_at_once() {
    let mut model = new_model(1);

    model.submit(JOB, &queue(), long_running_job(7, 1));
    model.run_for(2_000);
    let while_placed = model.max_starts_in_flight();
    let (now, wall_ms) = (model.now(), model.wall_ms());
    model.worker_mut("w0").restart(now, wall_ms);
    model.run_for(5_000);

    assert!(while_placed <= MAX_STARTS_PER_WORKER, "{while_placed} in flight");
    let most = model.max_starts_in_flight();
    assert!(most <= MAX_STARTS_PER_WORKER, "{most} in flight after a restart");
    assert!((0..7).all(|index| model.start_count(task_id(JOB, index)) == 2));
}
