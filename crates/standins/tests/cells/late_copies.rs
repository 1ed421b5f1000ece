//! Start orders that a worker carries out late, in an instance of which the owner hasn't heard.

use indexmap::IndexMap;
use teaselgap_core::{
    Span, Timestamp,
    job::{DrainMode, JobEnd, JobId, JobState, TaskId, WorkerId},
};
use teaselgap_standins::model::{Model, WorkerFaults};

use crate::fixtures::{job_spec, new_model_with_valid_late_orders, queue, state, step, task_id};

const JOB: JobId = JobId(7);

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// When late orders are carried out, in milliseconds after they were sent.
const LATE_MS: u64 = 8_000;

/// Time from the restart of a worker until it can be reached, in milliseconds.
const AWAY_MS: u64 = 300;

/// How long a worker is down, in milliseconds: the owner has noticed it.
const DOWN_MS: u64 = 4_000;

/// Time within which a restarted worker confirms the stops of orders of before, in milliseconds.
const REFUSED_MS: u64 = 2_000;

/// Time after which an owner knows which of its orders are open, in milliseconds.
const KNOWN_MS: u64 = 800;

/// The longest time between two calls to a worker that doesn't answer, in milliseconds.
const CALL_INTERVAL_MS: u64 = 600 + 250;

/// Time from the order to the end of all that it leads to, in milliseconds.
const REST_MS: u64 = 30_000;

fn task() -> TaskId {
    task_id(JOB, 0)
}

/// Creates a model of two workers, the first `late_orders` orders to each of which are carried out after
/// `late_ms`. Submits a job of one task, which lasts `task_ms`, and returns the worker that was ordered
/// to start it, and when.
fn order_late(late_orders: u32, late_ms: u64, task_ms: u64) -> (Model, WorkerId, Timestamp) {
    let mut model = new_model_with_valid_late_orders(2);
    for id in ["w0", "w1"] {
        let faults = WorkerFaults { late_orders, late_ms, ..WorkerFaults::default() };
        model.set_faults(id, faults);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, task_ms)]));
    assert!(model.run_until(1_000, |model| model.ordered_worker(task()).is_some()));
    let (worker, at) = (model.ordered_worker(task()).expect("an order"), model.now());
    let other = if worker.as_str() == "w0" { "w1" } else { "w0" };
    model.set_faults(other, WorkerFaults::default());
    (model, worker, at)
}

/// Lets no further attempt start on a worker.
fn use_no_more(model: &mut Model, worker: &WorkerId) {
    let drains = IndexMap::from([(worker.clone(), DrainMode::WaitForRuns)]);
    model.cell_mut().expect("an owner").set_drains(drains);
}

/// Lets a worker crash and return, so that its next instance can be reached at `reachable`.
fn return_at(model: &mut Model, worker: &WorkerId, reachable: Timestamp) {
    let left = reachable.since(model.now()).0;
    model.run_for(left - DOWN_MS - AWAY_MS);
    model.lose_worker(worker.as_str());
    model.run_for(DOWN_MS);
    model.restart_worker(worker.as_str());
}

/// A copy of the order was answered, and its run is done long before the worker crashes.
#[test]
fn a_copy_that_is_carried_out_in_the_next_instance_starts_no_task_whose_end_was_confirmed() {
    let (mut model, worker, ordered) = order_late(1, LATE_MS, 500);
    model.count_every_start();

    return_at(&mut model, &worker, ordered + Span(LATE_MS));
    model.run_for(REST_MS);

    assert_eq!(state(&model, JOB), SUCCEEDED);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// No copy of the order was answered, the worker has confirmed its stop, and the next attempt is done
/// elsewhere.
#[test]
fn a_copy_of_an_earlier_attempt_starts_no_task_whose_end_was_confirmed_by_another_worker() {
    let (mut model, worker, ordered) = order_late(2, LATE_MS, 500);
    model.count_every_start();
    use_no_more(&mut model, &worker);

    return_at(&mut model, &worker, ordered + Span(LATE_MS));
    model.run_for(REST_MS);

    assert_eq!(state(&model, JOB), SUCCEEDED);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// The second instance has refused the order, the next attempt is done elsewhere, and the copies reach the third one.
#[test]
fn an_order_that_a_second_instance_refused_starts_no_done_task_in_the_third() {
    let (mut model, worker, ordered) = order_late(2, LATE_MS, 300);
    model.count_every_start();
    use_no_more(&mut model, &worker);
    model.run_for(200);
    model.restart_worker(worker.as_str());
    model.run_for(REFUSED_MS);

    return_at(&mut model, &worker, ordered + Span(LATE_MS));
    model.run_for(REST_MS);

    assert_eq!(state(&model, JOB), SUCCEEDED);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// The next attempt runs elsewhere when the copies reach the next instance, right after its first call.
/// Starts before that call don't count.
#[test]
fn a_stop_reaches_the_next_instance_no_later_than_its_first_hold() {
    for late_ms in (LATE_MS..LATE_MS + CALL_INTERVAL_MS).step_by(5) {
        let (mut model, worker, ordered) = order_late(2, late_ms, 12_000);
        use_no_more(&mut model, &worker);

        // The owner hears of the next instance by its answer.
        model.keep_entry(worker.as_str(), REST_MS);
        return_at(&mut model, &worker, ordered + Span(LATE_MS));
        model.run_for(2 * CALL_INTERVAL_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{late_ms}");
    }
}

/// The answer to the second copy is lost, and a list shows its run before the owner stops waiting for
/// both; the first copy is late.
#[test]
fn a_copy_is_not_taken_for_answered_because_a_list_shows_the_run_of_another() {
    for task_ms in (50..1_500).step_by(50) {
        let mut model = new_model_with_valid_late_orders(2);
        for id in ["w0", "w1"] {
            let faults = WorkerFaults {
                late_orders: 1,
                lost_answers: 1,
                late_ms: LATE_MS,
                ..WorkerFaults::default()
            };
            model.set_faults(id, faults);
        }
        model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, task_ms)]));
        assert!(model.run_until(1_000, |model| model.ordered_worker(task()).is_some()));
        let (worker, ordered) = (model.ordered_worker(task()).expect("an order"), model.now());
        let other = if worker.as_str() == "w0" { "w1" } else { "w0" };
        model.set_faults(other, WorkerFaults::default());
        model.count_every_start();

        return_at(&mut model, &worker, ordered + Span(LATE_MS));
        model.run_for(REST_MS);

        assert_eq!(state(&model, JOB), SUCCEEDED, "{task_ms}");
        assert_eq!(model.violations(), [] as [&str; 0], "{task_ms}");
    }
}

/// Loses the owner once it knows that the order is open. The next one must not use `drained`.
fn change_owner(model: &mut Model, drained: &WorkerId) {
    model.run_for(KNOWN_MS);
    model.kill_owner();
    model.take_over();
    use_no_more(model, drained);
}

#[test]
fn an_order_that_was_under_way_in_a_handover_starts_no_done_task_in_the_next_instance() {
    let (mut model, worker, ordered) = order_late(2, LATE_MS, 500);
    model.count_every_start();
    model.hand_over();
    model.take_over();
    use_no_more(&mut model, &worker);

    return_at(&mut model, &worker, ordered + Span(LATE_MS));
    model.run_for(REST_MS);

    assert_eq!(state(&model, JOB), SUCCEEDED);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn an_open_order_of_the_owner_before_the_last_starts_no_done_task_in_the_next_instance() {
    let (mut model, worker, ordered) = order_late(2, LATE_MS, 500);
    model.count_every_start();
    change_owner(&mut model, &worker);
    change_owner(&mut model, &worker);

    return_at(&mut model, &worker, ordered + Span(LATE_MS));
    model.run_for(REST_MS);

    assert_eq!(state(&model, JOB), SUCCEEDED);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_run_goes_on_under_the_next_owner_although_a_copy_of_its_order_is_open() {
    let (mut model, worker, _) = order_late(1, LATE_MS, 5_000);
    change_owner(&mut model, &worker);

    model.run_for(REST_MS);

    assert_eq!(state(&model, JOB), SUCCEEDED);
    assert_eq!(model.start_count(task()), 1);
}
