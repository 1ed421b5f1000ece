//! Tests of workers that restart under their ids with their wall clocks set back, so that the time by
//! which an instance is named may lie before that of an earlier one or be the same, and of starts that
//! were planned before a list showed a run of their task.

mod alike;
mod property;

use teaselgap_core::{
    Span, Timestamp,
    job::{
        DrainMode, EndKind, HoldReport, JobEnd, JobId, JobState, ListedRun, LogEvent, TaskId,
        WorkerId,
    },
};
use teaselgap_standins::model::{ClockDraw, Model, WorkerFaults};

use crate::fixtures::{job_spec, new_model, queue, state, step, task_id};

const JOB: JobId = JobId(7);

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// The longest time after which a copy of a start order takes effect, in milliseconds.
const ORDER_LIFETIME_MS: u64 = 15_000;

/// The longest lease that a worker of the model grants, on a clock that may be slow, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000 * 103 / 100;

/// Time within which what waits for nothing else is planned, ordered and noted, in milliseconds.
const SETTLE_MS: u64 = 2_000;

/// The longest time for which anything may wait for a worker, in milliseconds.
const MAX_WAIT_MS: u64 = ORDER_LIFETIME_MS + MAX_LEASE_MS + SETTLE_MS;

/// By how much a wall clock is set back, in milliseconds: more than the time between two restarts.
const SET_BACK_MS: u64 = 5_000;

/// Time from a restart until the new instance can be reached, in milliseconds.
const AWAY_MS: u64 = 300;

/// The same for a worker that is back at once.
const SHORT_AWAY_MS: u64 = 50;

/// How long an instance lives before it can be reached, in milliseconds: longer than the one before.
const UNHEARD_LIFE_MS: u64 = 4_000;

/// Time after which a hold that is not answered is repeated, in milliseconds.
const UNHEARD_MS: u64 = 600 + 250;

/// Time after which a copy of a start order is sent, in milliseconds.
const REPEAT_MS: u64 = 60;

/// How late the first copy of a start order arrives, in milliseconds.
const LATE_ORDER_MS: u64 = 4_000;

/// The longest time for which the store lists an entry that was written late, in milliseconds.
const LATE_ENTRY_MS: u64 = 2_000;

/// Interval at which the owner reads the entries, in milliseconds.
const ENTRY_INTERVAL_MS: u64 = 500;

fn task() -> TaskId {
    task_id(JOB, 0)
}

fn runs_at(model: &Model) -> Vec<WorkerId> {
    let running = model.workers().filter(|worker| worker.is_running(task()));
    running.map(|worker| worker.entry.id.clone()).collect()
}

fn is_done(model: &Model) -> bool {
    state(model, JOB) == SUCCEEDED
}

/// Whether an owner has taken a worker for restarted.
fn has_restarted(model: &Model) -> bool {
    let is_restart =
        |event: &LogEvent| matches!(event, LogEvent::Worker { change: "restarted", .. });
    model.log_events().iter().any(is_restart)
}

/// Whether an owner has decided to stop a run.
fn is_stopping(model: &Model) -> bool {
    model.log_events().iter().any(|event| matches!(event, LogEvent::Stopping { .. }))
}

/// Submits a job with one task and returns the worker that has begun it.
fn start_task(model: &mut Model, task_ms: u64) -> WorkerId {
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, task_ms)]));
    assert!(model.run_until(1_000, |model| !runs_at(model).is_empty()));
    runs_at(model).remove(0)
}

/// Restarts a worker whose clock was set back by this much, and waits until it can be reached.
fn restart_set_back(model: &mut Model, id: &str, set_back_ms: u64) {
    let wall_ms = model.wall_ms() - set_back_ms;
    model.restart_worker_at(id, wall_ms, AWAY_MS);
    model.run_for(AWAY_MS);
}

/// Creates a model with this many workers, of which `w0` has restarted, its clock set back by more than
/// the time since its restart before. The owner knows of the first restart.
fn model_with_clock_set_back(workers: usize) -> Model {
    let mut model = new_model(workers);
    model.count_every_start();
    restart_set_back(&mut model, "w0", 0);
    model.run_for(SETTLE_MS);
    restart_set_back(&mut model, "w0", SET_BACK_MS);
    model
}

#[test]
fn the_ends_on_a_worker_that_restarts_with_its_clock_set_back_are_noted() {
    let mut model = model_with_clock_set_back(1);

    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 300)]));
    let done = model.run_until(MAX_WAIT_MS, is_done);

    assert!(done, "{:?}, started {} times", state(&model, JOB), model.start_count(task()));
    assert_eq!(model.start_count(task()), 1);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Guards against a lease that is reckoned on the clock of the instance before: the owner takes it for
/// expired while the run goes on.
#[test]
fn a_run_on_a_worker_whose_clock_was_set_back_is_not_started_elsewhere() {
    let mut model = model_with_clock_set_back(2);
    model.make_unreachable("w1", SETTLE_MS);
    model.run_for(SETTLE_MS - AWAY_MS);

    let worker = start_task(&mut model, 2 * MAX_LEASE_MS);
    model.run_for(SETTLE_MS);
    // One hold renews the lease, and its answer is lost.
    model.delay_answers(worker.as_str(), [2 * UNHEARD_MS]);
    let done = model.run_until(MAX_WAIT_MS, is_done);

    assert_eq!(worker.as_str(), "w0");
    assert_eq!(model.violations(), [] as [&str; 0]);
    assert!(done, "{:?}, started {} times", state(&model, JOB), model.start_count(task()));
}

/// A new owner reads an entry of the instance before, which names a later time, and hears the living
/// one.
#[test]
fn a_new_owner_that_reads_an_entry_of_before_the_clock_was_set_back_hears_the_living_instance() {
    let mut model = model_with_clock_set_back(1);
    assert!(model.write_earlier_entry("w0", 1, LATE_ENTRY_MS));
    model.kill_owner();
    model.take_over();

    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 300)]));
    let done = model.run_until(MAX_WAIT_MS, is_done);

    assert!(done, "{:?}, started {} times", state(&model, JOB), model.start_count(task()));
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// A new owner knows the living instance from its entry when one of the instance before, which names a
/// later time, is written late.
#[test]
fn a_late_entry_that_names_a_later_time_than_the_living_instance_is_no_restart() {
    let mut model = model_with_clock_set_back(2);
    model.kill_owner();
    model.take_over();
    model.run_for(SETTLE_MS);
    model.submit(JOB, &queue(), job_spec(vec![step(8, 3_500, 3_000)]));
    model.run_for(SETTLE_MS);

    assert!(model.write_earlier_entry("w0", 1, LATE_ENTRY_MS));
    let done = model.run_until(MAX_WAIT_MS, is_done);

    assert_eq!(model.violations(), [] as [&str; 0]);
    assert!(done, "{:?}", state(&model, JOB));
}

/// The clock is set back by exactly the time between the starts of the two instances.
#[test]
fn an_instance_that_names_the_same_start_as_the_one_before_is_told_from_it() {
    let mut model = new_model(1);
    model.count_every_start();
    model.submit(JobId(1), &queue(), job_spec(vec![step(3, 3_500, 300)]));
    model.run_for(SETTLE_MS);
    let started_wall_ms = model.workers().next().expect("a worker").entry.started_wall_ms;

    model.restart_worker_at("w0", started_wall_ms, AWAY_MS);
    model.run_for(AWAY_MS);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 300)]));
    let done = model.run_until(MAX_WAIT_MS, is_done);

    assert_eq!(model.violations(), [] as [&str; 0]);
    assert_eq!(model.start_count(task()), 1);
    assert!(done, "{:?}", state(&model, JOB));
}

/// The clock of the later instance doesn't go back if it is heard later in its life than the one before;
/// but it shows less than that one's would.
#[test]
fn an_instance_that_names_the_same_start_is_told_from_a_short_life_before() {
    let mut model = new_model(1);
    model.count_every_start();
    model.restart_worker_at("w0", model.wall_ms(), SHORT_AWAY_MS);
    model.run_for(2 * ENTRY_INTERVAL_MS);
    model.submit(JobId(1), &queue(), job_spec(vec![step(1, 3_500, 100)]));
    model.run_for(ENTRY_INTERVAL_MS);
    let started_wall_ms = model.worker_mut("w0").entry.started_wall_ms;

    model.restart_worker_at("w0", started_wall_ms, SHORT_AWAY_MS);
    model.make_unreachable("w0", UNHEARD_LIFE_MS);
    model.run_for(UNHEARD_LIFE_MS + SETTLE_MS);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 100)]));
    let done = model.run_until(MAX_WAIT_MS, is_done);

    assert_eq!(model.violations(), [] as [&str; 0]);
    assert!(done, "{:?}", state(&model, JOB));
}

/// Guards against a task that runs again after it was done: the number by which the owner confirms ends
/// of one instance made the next one forget an end that the owner had not seen. The hold that confirmed
/// is lost with the first, and the next one leaves because an order was lost, too.
#[test]
fn the_number_of_an_end_of_one_instance_confirms_no_end_of_the_next() {
    for restart_ms in (0..500).step_by(20) {
        let mut model = new_model(1);
        model.count_every_start();
        model.submit(JobId(1), &queue(), job_spec(vec![step(1, 3_500, 5_000)]));
        model.submit(JobId(2), &queue(), job_spec(vec![step(1, 3_500, 300)]));
        model.run_until(SETTLE_MS, |model| model.end_count(EndKind::Done) == 1);
        model.run_for(restart_ms);

        model.keep_entry("w0", LATE_ENTRY_MS);
        model.restart_worker_at("w0", model.wall_ms(), SHORT_AWAY_MS);
        model.submit(JobId(3), &queue(), job_spec(vec![step(1, 3_500, 300)]));
        model.run_for(SHORT_AWAY_MS);
        model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 200)]));
        let done = model.run_until(MAX_WAIT_MS, is_done);

        assert_eq!(model.violations(), [] as [&str; 0], "{restart_ms}");
        assert!(done, "{restart_ms}");
    }
}

/// Creates a model with a second owner, in which the first order to start a task is still on its way
/// and a copy of it has begun the task. Returns the worker and when the order arrives.
fn model_with_late_order() -> (Model, WorkerId, Timestamp) {
    let mut model = new_model(3);
    model.count_every_start();
    for id in ["w0", "w1", "w2"] {
        let late_ms = LATE_ORDER_MS;
        let faults = WorkerFaults { late_orders: 1, late_ms, ..WorkerFaults::default() };
        model.set_faults(id, faults);
    }
    // The store has listed each worker's entry long after the worker started.
    model.run_for(ORDER_LIFETIME_MS);
    let arrival = model.now() + Span(LATE_ORDER_MS);
    let worker = start_task(&mut model, 8_000);
    model.kill_owner();
    model.take_over();
    (model, worker, arrival)
}

/// Guards against the start that a crash of the worker had made the owner plan elsewhere, while its
/// record was written. The list that showed the run had it stopped, and the start left all the same.
#[test]
fn a_planned_start_does_not_leave_once_a_list_has_shown_a_run_of_its_task() {
    let (mut model, worker, arrival) = model_with_late_order();
    let away_ms = UNHEARD_MS - 200;
    model.run_for(arrival.0 - away_ms - 100 - model.now().0);

    // A hold is lost, and then the order of the earlier owner reaches the new instance first.
    model.restart_worker_at(worker.as_str(), model.wall_ms(), away_ms);
    model.run_until(2 * ENTRY_INTERVAL_MS, has_restarted);
    model.set_store_available(false);
    model.run_until(2 * UNHEARD_MS, |model| is_stopping(model) || is_done(model));
    model.set_store_available(true);
    let done = model.run_until(MAX_WAIT_MS, is_done);

    assert_eq!(model.violations(), [] as [&str; 0]);
    assert!(done, "{:?}", state(&model, JOB));
}

/// Creates a model in which a start order has just left that is not answered.
fn model_with_unanswered_order() -> (Model, WorkerId) {
    let mut model = new_model(2);
    for id in ["w0", "w1"] {
        let faults = WorkerFaults { lost_answers: 1, ..WorkerFaults::default() };
        model.set_faults(id, faults);
    }
    let worker = start_task(&mut model, 3_000);
    (model, worker)
}

#[test]
fn a_copy_of_a_start_order_leaves_if_the_order_is_not_answered() {
    let (mut model, _) = model_with_unanswered_order();

    model.run_for(2 * REPEAT_MS);

    assert_eq!(model.sent_copies(), 1);
}

#[test]
fn no_copy_of_a_start_order_leaves_while_its_run_is_being_stopped() {
    let mut model = new_model(1);
    // The order is still on its way, and no stop is answered, so the run stays booked.
    let late_ms = LATE_ORDER_MS;
    let faults = WorkerFaults { late_orders: 1, late_ms, lost_stops: 9, ..WorkerFaults::default() };
    model.set_faults("w0", faults);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 3_000)]));
    assert!(model.run_until(1_000, |model| model.ordered_worker(task()).is_some()));

    let drains = [("w0".into(), DrainMode::StopAll)].into_iter().collect();
    model.cell_mut().expect("an owner").set_drains(drains);
    model.run_for(2 * REPEAT_MS);

    assert!(is_stopping(&model));
    assert_eq!(model.sent_copies(), 0);
}

#[test]
fn no_copy_of_a_start_order_leaves_after_the_stop_of_its_run() {
    let (mut model, _) = model_with_unanswered_order();

    model.cancel(JOB);
    model.run_for(2 * REPEAT_MS);

    assert_eq!(model.sent_copies(), 0);
}

#[test]
fn no_copy_of_a_start_order_leaves_after_a_list_has_shown_another_run_of_its_task() {
    let (mut model, ordered) = model_with_unanswered_order();
    let other = if ordered.as_str() == "w0" { "w1" } else { "w0" };
    let now = model.now();

    let listed = ListedRun {
        task: task(),
        attempt: 1,
        checkpoint: None,
        progress_percent: 10,
        tail_ms_or_cpu: 0,
    };
    let report = HoldReport {
        clock_ms: now.0 + 1,
        started_wall_ms: 1,
        running: vec![listed],
        ends: Vec::new(),
        is_complete: true,
    };
    let cell = model.cell_mut().expect("an owner");
    cell.on_hold_answer(&other.into(), now, Some(report), now + Span(1));
    model.run_for(2 * REPEAT_MS);

    assert_eq!(model.sent_copies(), 0);
}
