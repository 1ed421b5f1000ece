//! Tests of what an owner leaves whose term ends while its node lives: the next one waits no longer than that one
//! would have, and each history in which it must wait all the same.

use teaselgap_core::{
    Span, Timestamp,
    job::{Cell, JobId, WorkerId},
};
use teaselgap_standins::model::{Model, OWNER_TTL, WorkerFaults};

use crate::fixtures::{
    busy_worker, job_spec, long_running_job, new_model_with_valid_late_orders, queue, step, task_id,
};

const JOB: JobId = JobId(7);

/// Longer than any wait of an owner, in milliseconds.
const LONG_MS: u64 = 40_000;

/// The longest lease, which is much longer than the one that owners ask for, in milliseconds.
const LONGEST_LEASE_MS: u64 = 10_000;

/// Time within which an owner plans after the last thing that it waits for, in milliseconds.
const PLAN_MS: u64 = 500;

/// Time until an owner has heard all workers that it reaches, and its log is durable, in milliseconds.
const SETTLED_MS: u64 = 1_000;

/// Time from the end of a term until the next owner claims the cell, in milliseconds.
const CLAIM_MS: u64 = 300;

/// Creates a model without jobs, whose owner waits for none before it.
fn model() -> Model {
    let mut model = new_model_with_valid_late_orders(3);
    model.set_longest_lease(LONGEST_LEASE_MS);
    model.run_for(OWNER_TTL.0);
    model.hand_over();
    model.take_over();
    model.run_for(OWNER_TTL.0 + SETTLED_MS);
    model
}

/// Creates a model with a task that lasts, and returns its worker.
fn model_with_lasting_run() -> (Model, WorkerId) {
    let mut model = model();
    model.submit(JOB, &queue(), long_running_job(1, 0));
    model.run_for(SETTLED_MS);
    let busy = busy_worker(&model);
    (model, busy)
}

/// Ends the owner's term while its node lives, and lets another node claim the cell.
fn change_owner(model: &mut Model) {
    model.give_up();
    model.run_for(CLAIM_MS);
    model.take_over();
}

/// When every lease has expired of which the present owner knows.
fn last_expiry(model: &Model) -> Timestamp {
    let end = model.cell().expect("an owner").term_end(model.now());
    end.last_expiry().expect("a lease")
}

/// Lets the owner act until the task has started more than `starts` times. Returns when that was.
fn next_start(model: &mut Model, starts: u32) -> Option<Timestamp> {
    model
        .run_until(LONG_MS, |model| model.start_count(task_id(JOB, 0)) > starts)
        .then(|| model.now())
}

/// Whether the task starts once more, and never while it still runs or after it was done.
fn assert_starts_once_more(model: &mut Model, case: &str) {
    let started_at = next_start(model, model.start_count(task_id(JOB, 0)));
    model.run_for(LONG_MS);

    assert_eq!(model.violations(), [] as [&str; 0], "{case}");
    assert!(started_at.is_some(), "{case}");
}

#[test]
fn a_task_that_lasts_does_not_wait_for_orders_that_a_living_owner_of_before_has_not_given() {
    let (mut model, busy) = model_with_lasting_run();
    model.make_unreachable(busy.as_str(), LONG_MS);
    model.run_for(CLAIM_MS);
    let latest = last_expiry(&model) + Span(PLAN_MS);

    change_owner(&mut model);
    let started_at = next_start(&mut model, 1);

    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Each owner that is lost within the wait of the one before would otherwise begin it anew.
#[test]
fn the_wait_for_a_silent_worker_does_not_begin_anew_with_each_term() {
    for terms in 1..=4 {
        let (mut model, busy) = model_with_lasting_run();
        model.make_unreachable(busy.as_str(), LONG_MS);
        model.run_for(CLAIM_MS);
        let latest = last_expiry(&model) + Span(PLAN_MS);

        for _ in 0..terms {
            change_owner(&mut model);
            model.run_for(SETTLED_MS);
        }
        let started_at = next_start(&mut model, 1);

        assert!(started_at.is_some_and(|at| at <= latest), "{terms}: {started_at:?}, {latest}");
        assert_eq!(model.violations(), [] as [&str; 0], "{terms}");
    }
}

/// A process knows its own term, whatever the store says of it.
#[test]
fn a_task_that_lasts_waits_in_vain_only_for_an_owner_that_nobody_hears() {
    let (mut model, busy) = model_with_lasting_run();
    model.let_ended_owners_answer(false);
    model.make_unreachable(busy.as_str(), LONG_MS);
    model.run_for(CLAIM_MS);

    change_owner(&mut model);
    let claimed_at = model.now();
    let started_at = next_start(&mut model, 1);

    let earliest = claimed_at + OWNER_TTL + Span(LONGEST_LEASE_MS);
    assert!(started_at.is_some_and(|at| at >= earliest), "{started_at:?}, before {earliest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Guards what is reported of a worker with a start order under way. It reaches an instance that the owner has not
/// called, which takes it for the longest lease.
#[test]
fn a_start_order_under_way_that_a_restarted_worker_carries_out_late_starts_no_second_run() {
    let lasting = long_running_job(1, 0);
    let short = job_spec(vec![step(1, 4_000, 60_000)]);
    for (spec, late_ms) in [lasting, short]
        .iter()
        .flat_map(|spec| (200..2_800).step_by(200).map(move |late_ms| (spec, late_ms)))
    {
        let mut model = model();
        model.count_every_start();
        for id in ["w0", "w1", "w2"] {
            let faults = WorkerFaults { late_orders: 9, late_ms, ..WorkerFaults::default() };
            model.set_faults(id, faults);
        }
        model.submit(JOB, &queue(), spec.clone());
        model.run_until(SETTLED_MS, |model| model.ordered_worker(task_id(JOB, 0)).is_some());
        let ordered = model.ordered_worker(task_id(JOB, 0)).expect("an order");
        for id in ["w0", "w1", "w2"] {
            model.set_faults(id, WorkerFaults::default());
        }
        model.keep_entry(ordered.as_str(), LONG_MS);
        let wall_ms = model.wall_ms();
        model.restart_worker_at(ordered.as_str(), wall_ms, 50);
        model.make_unreachable(ordered.as_str(), 2 * LONG_MS);

        change_owner(&mut model);
        model.run_for(LONG_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{late_ms}");
        assert!(model.start_count(task_id(JOB, 0)) > 0, "{late_ms}");
    }
}

/// Guards the report of workers without runs: what one has done may be in its list only.
#[test]
fn a_task_whose_end_is_not_durable_is_not_started_again_while_it_counts_on_a_silent_worker() {
    const RUN_MS: u64 = 1_500;
    for silent_ms in (500..5_500).step_by(500) {
        let mut model = model();
        model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, RUN_MS)]));
        model.run_for(SETTLED_MS);
        let busy = busy_worker(&model);
        model.set_store_available(false);
        model.run_for(RUN_MS);
        model.make_unreachable(busy.as_str(), silent_ms);

        change_owner(&mut model);
        model.set_store_available(true);
        model.run_for(LONG_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{silent_ms}");
    }
}

/// Guards against a report of an owner after which another one has ordered.
#[test]
fn the_end_of_a_term_says_nothing_of_orders_of_a_later_one() {
    for life_ms in (100..2_000).step_by(100) {
        let mut model = model();
        change_owner(&mut model);
        model.submit(JOB, &queue(), long_running_job(1, 0));
        model.run_until(SETTLED_MS, |model| model.start_count(task_id(JOB, 0)) > 0);
        model.run_for(life_ms);
        let busy = busy_worker(&model);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);
        model.kill_owner();

        model.take_over();

        assert_starts_once_more(&mut model, &format!("{life_ms}"));
    }
}

/// The same if the later one has only adopted the workers, and renewed their leases.
#[test]
fn the_end_of_a_term_says_nothing_of_leases_that_a_later_one_has_renewed() {
    for life_ms in (100..6_000).step_by(300) {
        let (mut model, busy) = model_with_lasting_run();
        change_owner(&mut model);
        model.run_for(life_ms);
        while !model.cell().is_some_and(Cell::is_log_idle) {
            model.run_for(1);
        }
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);
        model.kill_owner();

        model.take_over();

        assert_starts_once_more(&mut model, &format!("{life_ms}"));
    }
}

/// Guards the report of workers that the ended owner had not heard itself.
#[test]
fn an_owner_that_has_waited_for_a_worker_in_vain_leaves_that_wait_to_the_next_one() {
    for life_ms in (100..2_500).step_by(300) {
        let (mut model, busy) = model_with_lasting_run();
        model.lapse_entry(busy.as_str(), 2 * LONG_MS);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);
        model.kill_owner();
        model.take_over();
        model.run_for(life_ms);

        change_owner(&mut model);

        assert_starts_once_more(&mut model, &format!("{life_ms}"));
    }
}

/// Guards an owner that learns of the end of the term before only after it has renewed leases itself.
#[test]
fn a_report_that_comes_late_or_twice_ends_no_lease_of_the_present_owner() {
    for late_ms in (0..4_000).step_by(400) {
        let (mut model, busy) = model_with_lasting_run();
        model.let_ended_owners_answer(false);
        change_owner(&mut model);
        model.run_for(late_ms);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);
        model.answer_term_ends();
        model.run_for(CLAIM_MS);
        model.answer_term_ends();

        assert_starts_once_more(&mut model, &format!("{late_ms}"));
    }
}
