//! Tests of leases that a restarted worker gets from calls that were meant for its former instance. Each of
//! these names a time of another clock, far ahead of the new one, so that it brings the longest lease.

use indexmap::IndexMap;
use teaselgap_core::job::{DrainMode, JobId, LogEvent};
use teaselgap_standins::model::{ClockDraw, Model, WorkerFaults};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, step, task_id};

/// The longest lease of the workers, in milliseconds. The owner asks for 5.5 s.
const LONGEST_LEASE_MS: u64 = 10_000;

/// Longer than the longest lease on the slowest clock, in milliseconds.
const LONG_MS: u64 = 2 * LONGEST_LEASE_MS;

/// Longer than the time until a new owner has adopted all workers, in milliseconds.
const ADOPTED_MS: u64 = 6_000;

/// How long the store lists the entry of before the restart at most, in milliseconds: longer than the time
/// between two holds of an idle worker.
const KEPT_ENTRY_MS: u64 = 3_500;

const JOB: JobId = JobId(7);

/// Time within which what waits for nothing else is planned and ordered, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// Time within which a worker confirms the stop of an order without an answer, and the run is given up, in
/// milliseconds.
const REFUSED_MS: u64 = 4_000;

const TASKS: u32 = 4;

/// Creates a model of two idle workers that accept long leases. The next instance of `w0` has a clock that is
/// far behind.
fn idle_model() -> Model {
    let mut model = new_model(2);
    model.count_every_start();
    model.set_longest_lease(LONGEST_LEASE_MS);
    model.worker_mut("w0").next_clock = Some(ClockDraw::Behind(1_000_000));
    model.kill_owner();
    model.take_over();
    model.run_for(ADOPTED_MS);
    model
}

/// What finds the new instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FoundBy {
    Order,
    Hold,
}

/// Restarts `w0`, which can be reached again at once, and lets long tasks start there.
fn restart_with_tasks(model: &mut Model, found_by: FoundBy) {
    let kept_ms = match found_by {
        FoundBy::Order => 50,
        FoundBy::Hold => KEPT_ENTRY_MS,
    };
    model.keep_entry("w0", kept_ms);
    model.restart_worker_at("w0", model.wall_ms(), 10);
    model.run_for(10);
    if found_by == FoundBy::Hold {
        assert!(model.run_until(KEPT_ENTRY_MS, has_restarted));
        model.keep_entry("w0", 0);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(TASKS, 4_000, LONG_MS)]));
}

/// Whether an owner has taken a worker for restarted.
fn has_restarted(model: &Model) -> bool {
    let is_restart =
        |event: &LogEvent| matches!(event, LogEvent::Worker { change: "restarted", .. });
    model.log_events().iter().any(is_restart)
}

/// How many starts the tasks have had.
fn starts(model: &Model) -> u32 {
    (0..TASKS).map(|index| model.start_count(task_id(JOB, index))).sum()
}

fn histories<const N: usize>(times_ms: [u64; N]) -> impl Iterator<Item = (FoundBy, u64)> {
    let found_by = [FoundBy::Order, FoundBy::Hold].into_iter();
    found_by.flat_map(move |found_by| times_ms.map(|ms| (found_by, ms)))
}

/// Guards against a task that starts elsewhere while it runs on a worker that is cut off soon after its
/// restart, under a lease that its owner doesn't know of.
#[test]
fn a_call_to_the_former_instance_that_finds_the_new_one_gives_it_the_longest_lease() {
    let cuts = [20, 50, 100, 200, 400, 700, 1_000, 2_000, 4_000];
    for (found_by, cut_ms) in histories(cuts) {
        let mut model = idle_model();

        restart_with_tasks(&mut model, found_by);
        model.run_for(cut_ms);
        model.make_unreachable("w0", 4 * LONG_MS);
        model.run_for(LONG_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{found_by:?} {cut_ms}");
    }
}

/// The same between the answer to the order that finds the instance and that to the hold that confirms it,
/// wherever the new clock starts, with an answer lost and without.
#[test]
fn an_order_that_finds_the_new_instance_gives_it_the_longest_lease() {
    let draws = [
        ClockDraw::Behind(1_000_000),
        ClockDraw::Ahead(1_000_000),
        ClockDraw::Inside(5),
        ClockDraw::Large(0),
    ];
    for (cut_ms, draw) in (30..60).flat_map(|cut_ms| draws.map(|draw| (cut_ms, draw))) {
        for lost_answers in [0, 1] {
            let mut model = idle_model();
            model.worker_mut("w0").next_clock = Some(draw);
            let faults = WorkerFaults { lost_answers, ..WorkerFaults::default() };
            model.set_faults("w0", faults);

            restart_with_tasks(&mut model, FoundBy::Order);
            model.run_for(cut_ms);
            model.make_unreachable("w0", 4 * LONG_MS);
            model.run_for(LONG_MS + LONGEST_LEASE_MS);

            assert_eq!(model.violations(), [] as [&str; 0], "{cut_ms} {draw:?} {lost_answers}");
        }
    }
}

/// The same if another order of the same token comes late, after the worker was cut off.
#[test]
fn a_late_order_gives_the_new_instance_that_another_one_has_found_the_longest_lease() {
    for cut_ms in 30..60 {
        for late_ms in [500, 2_000, 5_000, 9_000] {
            let mut model = idle_model();
            let faults = WorkerFaults { late_orders: 1, late_ms, ..WorkerFaults::default() };
            model.set_faults("w0", faults);

            restart_with_tasks(&mut model, FoundBy::Order);
            model.run_for(cut_ms);
            model.make_unreachable("w0", 4 * LONG_MS);
            model.run_for(2 * LONG_MS);

            assert_eq!(model.violations(), [] as [&str; 0], "{cut_ms} {late_ms}");
        }
    }
}

/// What becomes of a worker before its next instance begins, unheard, the task of a late copy of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unheard {
    /// Nothing.
    Listed,
    /// It has refused the order and may get no other one, so that no run is booked there.
    Drained,
    /// It leaves the store.
    Gone,
}

/// Restarts a worker that has answered no copy of the order of a task, and cuts it off. Both copies come late.
fn begin_unheard(case: Unheard, late_ms: u64) {
    let mut model = idle_model();
    for id in ["w0", "w1"] {
        let faults = WorkerFaults { late_orders: 2, late_ms, ..WorkerFaults::default() };
        model.set_faults(id, faults);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, LONG_MS)]));
    let task = task_id(JOB, 0);
    assert!(model.run_until(1_000, |model| model.ordered_worker(task).is_some()));
    let worker = model.ordered_worker(task).unwrap();
    let other = if worker.as_str() == "w0" { "w1" } else { "w0" };
    model.set_faults(other, WorkerFaults::default());
    if case == Unheard::Drained {
        let drains = IndexMap::from([(worker.clone(), DrainMode::WaitForRuns)]);
        model.cell_mut().expect("an owner").set_drains(drains);
        model.run_for(REFUSED_MS);
    }
    model.run_for(100);

    model.worker_mut(worker.as_str()).next_clock = Some(ClockDraw::Behind(1_000_000));
    if case == Unheard::Gone {
        model.lapse_entry(worker.as_str(), 3 * LONG_MS);
    } else {
        model.keep_entry(worker.as_str(), 3 * LONG_MS);
    }
    model.restart_worker_at(worker.as_str(), model.wall_ms(), 10);
    model.make_unreachable(worker.as_str(), 3 * LONG_MS);
    model.run_for(2 * LONG_MS);

    assert_eq!(model.violations(), [] as [&str; 0], "{case:?} {late_ms}");
}

/// Guards against a task that starts elsewhere while it runs in an instance that its owner never hears, in which
/// a late copy of its order has begun it.
#[test]
fn a_late_copy_of_an_order_gives_an_instance_that_nobody_hears_the_longest_lease() {
    for late_ms in [1_000, 4_000, 6_000, 8_000, 10_000, 12_000, 14_000] {
        begin_unheard(Unheard::Listed, late_ms);
    }
}

/// The same if the instance of before has refused the order, so that no run is booked on the worker.
#[test]
fn a_late_copy_of_a_refused_order_gives_an_instance_that_nobody_hears_the_longest_lease() {
    for late_ms in [6_000, 8_000, 10_000, 12_000, 14_000] {
        begin_unheard(Unheard::Drained, late_ms);
    }
}

/// The same if the instance writes no entry, and that of the one before leaves the store.
#[test]
fn a_late_copy_of_an_order_gives_an_instance_that_the_store_never_lists_the_longest_lease() {
    for late_ms in [1_000, 4_000, 6_000, 8_000, 10_000, 12_000, 14_000] {
        begin_unheard(Unheard::Gone, late_ms);
    }
}

/// Guards against a restarted worker that gets no start while the store accepts no writes.
#[test]
fn a_task_that_lasts_runs_again_on_a_restarted_worker_while_the_store_is_away() {
    let mut model = new_model(2);
    model.run_for(12_000);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(3_000);
    model.set_store_available(false);
    model.run_for(200);

    for id in ["w0", "w1"] {
        model.restart_worker(id);
    }
    let runs = |model: &Model| model.workers().any(|worker| worker.run_count() > 0);
    let runs_again = model.run_until(8_000, runs);

    assert!(runs_again);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Guards against a wait for the longest lease that has no end.
#[test]
fn a_task_on_a_worker_cut_off_after_its_restart_runs_again_after_the_longest_lease() {
    for (found_by, cut_ms) in histories([400, 1_000]) {
        let mut model = idle_model();

        restart_with_tasks(&mut model, found_by);
        model.run_for(cut_ms);
        model.make_unreachable("w0", 8 * LONG_MS);
        model.run_for(LONGEST_LEASE_MS * 103 / 100 + SETTLE_MS);

        assert!(starts(&model) > TASKS, "{found_by:?} {cut_ms}: {}", starts(&model));
        assert_eq!(model.violations(), [] as [&str; 0], "{found_by:?} {cut_ms}");
    }
}

/// Plays a lost owner and a worker that is cut off from the next one before that has called it.
fn lose_owner_and_worker((found_by, kill_ms): (FoundBy, u64), cut_ms: u64) {
    let mut model = idle_model();

    restart_with_tasks(&mut model, found_by);
    model.run_for(kill_ms);
    model.kill_owner();
    model.run_for(cut_ms);
    model.make_unreachable("w0", 4 * LONG_MS);
    model.run_for(200);
    model.take_over();
    model.run_for(LONG_MS);

    assert_eq!(model.violations(), [] as [&str; 0], "{found_by:?} {kill_ms} {cut_ms}");
}

/// Guards against a task that starts elsewhere while it runs, because the next owner reckons with the leases
/// that owners ask for.
#[test]
fn the_next_owner_knows_which_workers_may_have_the_longest_lease() {
    for found in histories([100, 150, 200, 400, 1_000, 2_000]) {
        for cut_ms in [0, 300, 600, 2_000, 4_000] {
            lose_owner_and_worker(found, cut_ms);
        }
    }
}

/// The same if the record of the new instance isn't durable when its owner is lost. No task starts there in
/// its knowledge, but the orders that find the instance begin their runs.
#[test]
fn the_next_owner_knows_it_although_the_record_of_the_instance_was_lost() {
    for kill_ms in [45, 60, 75] {
        for cut_ms in [0, 100] {
            lose_owner_and_worker((FoundBy::Order, kill_ms), cut_ms);
        }
    }
}

/// The same if a third owner follows after the worker has left the store, and has been silent for longer than a
/// lease that owners ask for.
#[test]
fn the_owner_after_the_next_one_knows_it_of_a_worker_that_has_left_the_store() {
    for second_term_ms in [5_500, 6_000, 6_500, 7_000, 7_500] {
        let mut model = idle_model();

        restart_with_tasks(&mut model, FoundBy::Order);
        model.run_for(60);
        model.kill_owner();
        model.make_unreachable("w0", 4 * LONG_MS);
        model.run_for(200);
        model.take_over_after_restart();
        model.run_for(100);
        model.lapse_entry("w0", 4 * LONG_MS);
        model.run_for(second_term_ms);
        model.kill_owner();
        model.take_over();
        model.run_for(LONG_MS);

        assert_eq!(model.violations(), [] as [&str; 0], "{second_term_ms}");
    }
}

/// The same if the next owner is heard by the worker before that is cut off.
#[test]
fn the_next_owner_knows_it_of_workers_that_it_has_adopted() {
    for (found_by, kill_ms) in histories([60, 100, 200, 400, 1_000, 2_000]) {
        for cut_ms in [50, 300, 600, 2_000] {
            let mut model = idle_model();

            restart_with_tasks(&mut model, found_by);
            model.run_for(kill_ms);
            model.kill_owner();
            model.run_for(200);
            model.take_over();
            model.run_for(cut_ms);
            model.make_unreachable("w0", 4 * LONG_MS);
            model.run_for(LONG_MS);

            assert_eq!(model.violations(), [] as [&str; 0], "{found_by:?} {kill_ms} {cut_ms}");
        }
    }
}

/// The same after a handover while an order to the new instance is under way, for tasks that last: they wait
/// for no open order.
#[test]
fn the_next_owner_knows_it_after_a_handover_beside_an_order_for_a_task_that_lasts() {
    let mut broken = Vec::new();
    let mut began = 0;
    for handover_ms in 60..=80 {
        let mut model = idle_model();

        model.keep_entry("w0", 50);
        model.restart_worker_at("w0", model.wall_ms(), 10);
        model.run_for(10);
        model.submit(JOB, &queue(), long_running_job(TASKS, TASKS));
        model.run_for(handover_ms);
        model.hand_over();
        let is_busy =
            model.workers().any(|one| one.entry.id.as_str() == "w0" && one.run_count() > 0);
        began += u32::from(is_busy);
        model.make_unreachable("w0", 4 * LONG_MS);
        model.take_over();
        model.run_for(LONG_MS);

        if !model.violations().is_empty() {
            broken.push((handover_ms, model.violations().to_vec()));
        }
    }

    println!("{} broken, {began} with runs at w0 at the handover", broken.len());
    assert!(began > 0);
    assert!(broken.is_empty(), "{broken:?}");
}
