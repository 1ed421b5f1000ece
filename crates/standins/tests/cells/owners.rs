//! Tests of two owners of a cell at once: an earlier one still acts, as far as it is permitted, when a
//! later one has claimed the cell. Every order dies by itself before the earliest moment at which
//! anybody else may start the task.

mod property;

use teaselgap_core::{
    Span,
    job::{Cell, JobId, WorkerId},
};
use teaselgap_standins::model::{Afterlife, Model, OWNER_TTL, cell_config};

use crate::fixtures::{
    busy_worker, job_spec, new_model_with_valid_late_orders, queue, step, task_id,
};

const JOB: JobId = JobId(7);

/// Longer than any wait of an owner, in milliseconds.
const LONG_MS: u64 = 15_000;

/// Time until an owner has heard all workers that it reaches, and its log is durable, in milliseconds.
const SETTLED_MS: u64 = 300;

/// Time until an owner has read the list of workers, and has written nothing yet, in milliseconds.
const LIST_MS: u64 = 10;

/// Time within which an owner plans after the last thing that it waits for, in milliseconds.
const PLAN_MS: u64 = 300;

/// The least rate of a worker's clock, in percent of true time.
const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// An owner that acts for as long as it may.
const PERMITTED: Afterlife = Afterlife { acts_for_ms: LONG_MS, paused_ms: 0, late_ms: 0 };

/// Creates a model with a task that runs for longer than the test takes. Owners before the model's first
/// one give no more orders.
fn model_with_run() -> (Model, WorkerId) {
    let mut model = new_model_with_valid_late_orders(3);
    model.run_for(OWNER_TTL.0);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, 60_000)]));
    model.run_for(SETTLED_MS);
    let busy = busy_worker(&model);
    (model, busy)
}

/// Runs until all records are durable, and no longer, so that the owner hasn't ordered anything since.
fn run_until_durable(model: &mut Model) {
    while !model.cell().is_some_and(Cell::is_log_idle) {
        model.run_for(1);
    }
}

/// Whether the task starts elsewhere in time, and never while it still runs on its first worker.
fn assert_starts_once_more(model: &mut Model, case: &str) {
    let starts_again = model.run_until(LONG_MS, |model| model.start_count(task_id(JOB, 0)) > 1);

    assert!(starts_again, "{case}");
    assert_eq!(model.violations(), [] as [&str; 0], "{case}");
}

#[test]
fn the_wait_for_an_owner_is_not_ended_by_the_restart_of_a_later_one() {
    for (is_logged, life_ms) in [(true, 100), (true, 1_000), (false, 0), (false, 1_000)] {
        let (mut model, busy) = model_with_run();
        model.cut_off_owner(PERMITTED);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);

        model.set_store_available(is_logged);
        model.take_over();
        model.run_for(life_ms);
        model.kill_owner();
        model.set_store_available(true);
        model.take_over_after_restart();

        assert_starts_once_more(&mut model, &format!("{is_logged}, {life_ms}"));
    }
}

#[test]
fn the_wait_for_an_owner_is_not_ended_by_the_handover_of_a_later_one() {
    for life_ms in [100, 1_000, 2_500] {
        let (mut model, busy) = model_with_run();
        model.cut_off_owner(PERMITTED);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);

        model.take_over();
        model.run_for(life_ms);
        model.hand_over();
        model.take_over_after_restart();

        assert_starts_once_more(&mut model, &format!("{life_ms}"));
    }
}

#[test]
fn an_owner_that_has_written_nothing_is_not_left_out_of_the_wait_after_a_handover() {
    for life_ms in (0..1_000).step_by(100) {
        let (mut model, busy) = model_with_run();
        model.hand_over();
        model.take_over();
        // It has read the list of workers, and its first write doesn't get through.
        model.run_for(LIST_MS);
        model.set_store_available(false);
        model.run_for(life_ms);
        model.cut_off_owner(PERMITTED);
        model.set_store_available(true);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);

        model.take_over();

        assert_starts_once_more(&mut model, &format!("{life_ms}"));
    }
}

#[test]
fn a_lease_renewed_in_a_handover_after_the_next_claim_is_not_taken_for_expired() {
    for paused_ms in (0..1_500).step_by(100) {
        let (mut model, busy) = model_with_run();
        model.cut_off_owner_in_handover(Afterlife { paused_ms, ..PERMITTED });
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);

        model.take_over();

        assert_starts_once_more(&mut model, &format!("{paused_ms}"));
    }
}

/// Guards the allowance for the renewals that follow the record of a handover: the latest lease may be
/// nearly a hold old when the record is made.
#[test]
fn a_lease_renewed_in_a_short_handover_is_not_counted_from_the_hold_before_it() {
    for write_ms in (50..1_500).step_by(50) {
        let (mut model, busy) = model_with_run();
        model.hand_over_writing_for(write_ms);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);

        model.take_over();

        assert_starts_once_more(&mut model, &format!("{write_ms}"));
    }
}

#[test]
fn an_order_of_an_earlier_owner_that_is_late_is_not_carried_out_after_the_wait() {
    for late_ms in (0..9_000).step_by(500) {
        let mut model = new_model_with_valid_late_orders(3);
        model.run_for(OWNER_TTL.0);
        model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, 60_000)]));
        run_until_durable(&mut model);
        model.cut_off_owner(Afterlife { late_ms, ..PERMITTED });
        for id in ["w0", "w1"] {
            model.make_unreachable(id, 2 * LONG_MS);
        }

        model.take_over();
        let starts = model.run_until(LONG_MS, |model| model.start_count(task_id(JOB, 0)) > 0);
        model.run_for(LONG_MS);

        assert!(starts, "{late_ms}");
        assert_eq!(model.violations(), [] as [&str; 0], "{late_ms}");
    }
}

#[test]
fn a_worker_whose_entry_has_lapsed_is_not_left_out_of_the_wait_of_the_next_owner() {
    for lapsed_ms in [1_900, 2_100, 4_000] {
        let (mut model, busy) = model_with_run();
        model.lapse_entry(busy.as_str(), lapsed_ms);
        model.run_for(lapsed_ms - 200);
        model.cut_off_owner(PERMITTED);
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);

        model.take_over();

        assert_starts_once_more(&mut model, &format!("{lapsed_ms}"));
    }
}

#[test]
fn an_order_on_an_old_reading_of_a_slow_clock_does_not_outlast_the_wait() {
    for age_ms in (0..3_600).step_by(50) {
        let mut model = new_model_with_valid_late_orders(2);
        for id in ["w0", "w1"] {
            model.worker_mut(id).clock_percent = 98;
        }
        model.run_for(OWNER_TTL.0 + 3_000);
        for id in ["w0", "w1"] {
            model.make_unreachable(id, age_ms);
        }
        model.run_for(age_ms);
        model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, 60_000)]));
        if !model.run_until(SETTLED_MS, |model| model.start_count(task_id(JOB, 0)) > 0) {
            continue;
        }
        let busy = busy_worker(&model);
        model.kill_owner();
        model.make_unreachable(busy.as_str(), 2 * LONG_MS);

        model.take_over_after_restart();

        assert_starts_once_more(&mut model, &format!("{age_ms}"));
    }
}

/// A run that is being stopped is in no list.
#[test]
fn a_run_that_an_earlier_owner_stops_is_not_taken_for_ended() {
    for gap_ms in (2_200..2_600).step_by(10) {
        let mut model = new_model_with_valid_late_orders(3);
        model.run_for(OWNER_TTL.0);
        model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, 60_000)]));
        run_until_durable(&mut model);
        // Its start order gets no answer in time, so it stops what that may have begun.
        model.cut_off_owner(Afterlife { late_ms: 1_650, ..PERMITTED });
        let ordered = model.ordered_worker(task_id(JOB, 0)).expect("a start order");
        model.run_for(gap_ms);
        // The next owner starts the task on another worker.
        model.announce_leave(ordered.as_str(), 2 * LONG_MS);

        model.take_over();

        model.run_for(LONG_MS);
        assert!(model.start_count(task_id(JOB, 0)) > 0, "{gap_ms}");
        assert_eq!(model.violations(), [] as [&str; 0], "{gap_ms}");
    }
}

/// Kills the owner, and returns how long its task waits after the restart of its node.
fn wait_after_restart(model: &mut Model, busy: &WorkerId) -> Span {
    model.make_unreachable(busy.as_str(), 2 * LONG_MS);
    model.kill_owner();
    let restarted_at = model.now();
    model.take_over_after_restart();
    assert_starts_once_more(model, "");
    model.now().since(restarted_at)
}

/// Whether a task whose owner restarts, while no other one is in doubt, waits as long as any lease that the worker
/// may have got, which the next owner doesn't hear, and no longer.
fn assert_waits_for_longest_lease(waited: Span) {
    let longest_lease = cell_config().max_lease.0;
    let earliest = Span(longest_lease * 100 / SLOWEST_CLOCK_PERCENT);
    let latest = Span(longest_lease * 103 / 100 + PLAN_MS);
    assert!(waited >= earliest, "{waited}, before {earliest}");
    assert!(waited <= latest, "{waited}, not by {latest}");
}

/// The waits above must not slow down the restart of a node where nothing is in doubt.
#[test]
fn an_owner_that_restarts_long_after_its_claim_is_not_waited_for() {
    let (mut model, busy) = model_with_run();
    model.run_for(OWNER_TTL.0);

    let waited = wait_after_restart(&mut model, &busy);

    assert_waits_for_longest_lease(waited);
}

/// A log in which nothing is written for long says, too, that no other owner is in doubt.
#[test]
fn an_owner_that_has_had_nothing_to_write_is_not_waited_for_longer() {
    let (mut model, busy) = model_with_run();
    model.kill_owner();
    model.take_over();
    model.run_for(OWNER_TTL.0 + SETTLED_MS);

    let waited = wait_after_restart(&mut model, &busy);

    assert_waits_for_longest_lease(waited);
}

/// The next owner has adopted the worker and renews its leases; the earlier one knows of neither.
#[test]
fn a_lease_that_the_next_owner_renews_is_not_taken_for_expired_by_the_earlier_one() {
    const OTHER_JOB: JobId = JobId(8);
    for silent_ms in (2_000..5_300).step_by(100) {
        let (mut model, busy) = model_with_run();
        model.run_for(SETTLED_MS);
        // The younger run is suspected when the worker is lost; only the other one may start at once.
        model.submit(OTHER_JOB, &queue(), job_spec(vec![step(3, 500, 60_000)]));
        model.run_for(SETTLED_MS);
        model.cut_owner_off_from(busy.as_str());
        model.run_for(silent_ms);
        for other in ["w0", "w1", "w2"].iter().filter(|id| busy.as_str() != **id) {
            model.make_unreachable(other, 2 * LONG_MS);
        }
        model.cut_off_owner(PERMITTED);

        model.take_over();
        model.run_for(OWNER_TTL.0);

        assert_eq!(model.violations(), [] as [&str; 0], "{silent_ms}");
    }
}
