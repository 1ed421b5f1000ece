//! Ways in which a task comes to have no run although a start order for it may still be carried out, or
//! its run goes on.

use teaselgap_core::job::{JobId, TaskId};
use teaselgap_standins::model::WorkerFaults;

use crate::fixtures::{job_spec, new_model_with_valid_late_orders, queue, state, step, task_id};

const JOB: JobId = JobId(7);

fn task() -> TaskId {
    task_id(JOB, 0)
}

/// The lease on the known instance's clock ends after 6.2 s, the order takes effect for up to 15 s, and
/// the next instance, of which the owner has not heard, is not bound by the clock of the one before.
#[test]
fn a_run_whose_order_got_no_answer_is_not_given_up_before_the_order_has_expired() {
    let mut model = new_model_with_valid_late_orders(2);
    model.count_every_start();
    for id in ["w0", "w1"] {
        let faults = WorkerFaults { late_orders: 2, late_ms: 6_800, ..WorkerFaults::default() };
        model.set_faults(id, faults);
    }
    model.run_for(20_000);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 8_000)]));
    assert!(model.run_until(1_000, |model| model.ordered_worker(task()).is_some()));
    let ordered = model.ordered_worker(task()).expect("an order");
    let other = if ordered.as_str() == "w0" { "w1" } else { "w0" };
    // Orders to the other worker are no longer late.
    model.set_faults(other, WorkerFaults::default());
    // The worker crashes and is back, cut off from the owner and the store until the order arrives.
    model.keep_entry(ordered.as_str(), 4_600);
    let wall_ms = model.wall_ms();
    model.restart_worker_at(ordered.as_str(), wall_ms, 6_700);
    model.run_for(30_000);

    let gave_up: Vec<String> = model
        .log_events()
        .iter()
        .map(|event| format!("{event:?}"))
        .filter(|event| event.contains("RunEndedUnreported") || event.contains("Worker {"))
        .collect();
    assert_eq!(model.violations(), [] as [&str; 0], "{gave_up:#?} {:?}", state(&model, JOB));
}

/// By how much clocks may differ on days on which they jump, in milliseconds (RULES.md, ORDER).
const CLOCK_STEP_MS: u64 = 5_000;

/// The record of a handover names times on the old owner's wall clock, and the next owner reads them on
/// its own.
#[test]
fn a_run_is_not_given_up_early_because_the_clocks_of_two_owners_differ() {
    let mut model = new_model_with_valid_late_orders(2);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 12_000)]));
    model.run_for(1_000);
    let at = model.ordered_worker(task()).expect("an order");
    // It keeps running, and its lease lasts for 6 s.
    let now = model.now();
    model.worker_mut(at.as_str()).partition_for(now, 20_000);
    let wall_ms = model.wall_ms() - CLOCK_STEP_MS;
    model.cell_mut().expect("an owner").hand_over(now, wall_ms);
    model.run_for(50);
    model.kill_owner();
    model.take_over();
    model.run_for(30_000);

    assert_eq!(model.violations(), [] as [&str; 0]);
}
