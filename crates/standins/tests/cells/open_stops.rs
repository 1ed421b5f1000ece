//! Stops that only empty a worker, while a copy of the task's start order has no answer: the task could start
//! nowhere else before that order has expired.

use indexmap::IndexMap;
use teaselgap_core::job::{DrainMode, EndKind, JobId, JobSpec, Step, WorkerId};
use teaselgap_standins::model::{Model, WorkerFaults};

use crate::fixtures::{
    job_spec, long_running_job, new_model_with_valid_late_orders, queue, step, task_id,
};

const JOB: JobId = JobId(7);

/// When the late copy is carried out, in milliseconds after it was sent.
const LATE_MS: u64 = 8_000;

/// For how long an order without an answer binds its task, in milliseconds, from its last copy on.
const ORDER_LIFETIME_MS: u64 = 15_000;

/// The longest time without a run that a move may cost a task, in milliseconds: a stop, its listing, and the
/// next order.
const MAX_AWAY_MS: u64 = 1_500;

/// How long a worker that leaves still stays, in milliseconds.
const NOTICE_MS: u64 = 3_000;

/// A task that takes longer than each drain and saves its progress.
fn checkpointed_job() -> JobSpec {
    job_spec(vec![Step { checkpoints: true, ..step(1, 3_500, 40_000) }])
}

/// Submits a job of one task to three workers. The first copy of its start order has no answer, and its second
/// one has. Returns the worker that runs the task.
fn run_with_open_order(spec: JobSpec) -> (Model, WorkerId) {
    let mut model = new_model_with_valid_late_orders(3);
    for id in ["w0", "w1", "w2"] {
        let faults = WorkerFaults { late_orders: 1, late_ms: LATE_MS, ..WorkerFaults::default() };
        model.set_faults(id, faults);
    }
    model.submit(JOB, &queue(), spec);
    assert!(model.run_until(1_000, |model| model.ordered_worker(task_id(JOB, 0)).is_some()));
    let worker = model.ordered_worker(task_id(JOB, 0)).expect("an order");
    for id in ["w0", "w1", "w2"].into_iter().filter(|id| *id != worker.as_str()) {
        model.set_faults(id, WorkerFaults::default());
    }
    model.run_for(2_000);
    assert!(is_running(&model));
    (model, worker)
}

fn is_running(model: &Model) -> bool {
    model.workers().any(|worker| worker.is_running(task_id(JOB, 0)))
}

fn drain(model: &mut Model, worker: &WorkerId, mode: DrainMode) {
    let drains = IndexMap::from([(worker.clone(), mode)]);
    model.cell_mut().expect("an owner").set_drains(drains);
}

/// Runs for `ms`, and returns the longest time for which no worker ran the task, in milliseconds.
fn longest_absence(model: &mut Model, ms: u64) -> u64 {
    let (mut longest, mut away) = (0, 0);
    for _ in 0..ms / 10 {
        model.run_for(10);
        away = if is_running(model) { 0 } else { away + 10 };
        longest = longest.max(away);
    }
    longest
}

#[test]
fn a_drain_stops_no_task_that_its_open_start_order_would_keep_away() {
    for mode in [DrainMode::StopCheckpointed, DrainMode::WaitForRuns] {
        let is_lasting = mode == DrainMode::WaitForRuns;
        let spec = if is_lasting { long_running_job(1, 1) } else { checkpointed_job() };
        let (mut model, worker) = run_with_open_order(spec);

        drain(&mut model, &worker, mode);
        let away_ms = longest_absence(&mut model, ORDER_LIFETIME_MS + 3_000);

        assert!(away_ms <= MAX_AWAY_MS, "{mode:?}: away for {away_ms} ms");
        // Once the order has expired, the worker is emptied all the same.
        assert_eq!(model.worker_mut(worker.as_str()).run_count(), 0, "{mode:?}");
        assert_eq!(model.violations(), &[] as &[String], "{mode:?}");
    }
}

/// A gang starts as a whole, so that one member's order keeps all of them away.
#[test]
fn a_drain_stops_no_member_of_a_gang_while_the_start_order_of_another_one_is_open() {
    let gang = Step { gang: true, checkpoints: true, ..step(2, 20_000, 40_000) };
    let mut model = new_model_with_valid_late_orders(3);
    let faults = WorkerFaults { late_orders: 1, late_ms: LATE_MS, ..WorkerFaults::default() };
    model.set_faults("w0", faults);
    model.submit(JOB, &queue(), job_spec(vec![gang]));
    model.run_for(2_000);
    let is_other = |id: &WorkerId| id.as_str() != "w0";
    let other = model.workers().find(|one| one.run_count() > 0 && is_other(&one.entry.id));
    let other = other.expect("the other member's worker").entry.id.clone();
    assert_eq!((model.worker_mut("w0").run_count(), model.sent_copies()), (1, 1));

    drain(&mut model, &other, DrainMode::StopCheckpointed);
    let away_ms = longest_absence(&mut model, ORDER_LIFETIME_MS / 2);

    assert_eq!(away_ms, 0);
    assert_eq!(model.end_count(EndKind::Stopped), 0);
}

/// The promise of a worker's notice outranks the task's wait.
#[test]
fn a_worker_that_leaves_is_emptied_in_time_although_a_start_order_is_open() {
    for spec in [checkpointed_job(), long_running_job(1, 1)] {
        let (mut model, worker) = run_with_open_order(spec);

        model.announce_leave(worker.as_str(), NOTICE_MS);
        model.run_for(NOTICE_MS / 2);
        let stopped_early = model.end_count(EndKind::Stopped);
        model.run_for(NOTICE_MS / 2);

        assert_eq!(stopped_early, 0);
        assert_eq!(model.end_count(EndKind::Stopped), 1);
        assert_eq!(model.worker_mut(worker.as_str()).run_count(), 0);
    }
}

/// All runs are stopped only for a wave that is late, whose promise outranks the task's wait.
#[test]
fn a_late_wave_stops_a_task_although_its_start_order_is_open() {
    for spec in [checkpointed_job(), long_running_job(1, 1)] {
        let (mut model, worker) = run_with_open_order(spec);

        drain(&mut model, &worker, DrainMode::StopAll);
        model.run_for(1_500);

        assert_eq!(model.worker_mut(worker.as_str()).run_count(), 0);
    }
}

/// A run that shows no progress is moved to a faster worker, where it would not start before the order has expired.
#[test]
fn a_slow_run_is_not_moved_while_its_open_start_order_would_keep_it_away() {
    let slow = Step { checkpoints: true, ..step(1, 3_500, 120_000) };
    let (mut model, _) = run_with_open_order(job_spec(vec![slow]));

    let away_ms = longest_absence(&mut model, ORDER_LIFETIME_MS + 3_000);

    assert!(away_ms <= MAX_AWAY_MS, "away for {away_ms} ms");
    // Once the order has expired, it is moved all the same.
    assert!(model.start_count(task_id(JOB, 0)) > 1);
}
