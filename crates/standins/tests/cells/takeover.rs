//! Tests of what a new owner waits for, and of what it does meanwhile.

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{DrainMode, EndKind, JobId, LogEvent, Step, TaskId},
};
use teaselgap_standins::model::{Model, OWNER_TTL, cell_config};

use crate::fixtures::{
    idle_worker, job_spec, long_running_job, new_model, partition, queue, step, task_id,
};

const JOB: JobId = JobId(7);

/// Time within which an owner plans after the last thing that it waits for, in milliseconds.
const PLAN_DELAY_MS: u64 = 300;

/// Longest lease that a worker grants, whatever an order asks for, including the allowance for a slow clock.
fn longest_lease() -> Span {
    Span(cell_config().max_lease.0 * 103 / 100)
}

/// Creates a model with a job of two steps. The task of the second step may start 1,200 ms later;
/// until then one worker has no runs and is partitioned. Owners before the model's first one give
/// no more orders.
fn model_with_partitioned_idle_worker() -> Model {
    let mut model = new_model(3);
    model.run_for(OWNER_TTL.0);
    let second = Step { after: vec![0], ..step(1, 1_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 1_200), second]));
    model.run_for(300);
    let idle = idle_worker(&model);
    partition(&mut model, &idle);
    model
}

/// Returns when the second step of the job started.
fn second_step_start(model: &mut Model) -> Option<Timestamp> {
    let second = TaskId { step: 1, ..task_id(JOB, 0) };
    model.run_until(30_000, |model| model.start_count(second) > 0).then(|| model.now())
}

#[test]
fn the_wait_for_an_unreachable_worker_counts_from_the_claim() {
    let mut model = model_with_partitioned_idle_worker();
    model.run_for(500);
    model.kill_owner();
    model.run_for(500);
    let claimed_at = model.now();

    model.take_over_reading_for(4_000);
    let started_at = second_step_start(&mut model);

    let earliest = claimed_at + OWNER_TTL + cell_config().max_lease;
    let latest = claimed_at + OWNER_TTL + longest_lease() + Span(PLAN_DELAY_MS);
    assert!(started_at.is_some_and(|at| at >= earliest), "{started_at:?}, before {earliest}");
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_process_that_takes_its_cell_again_waits_from_the_end_of_its_own_term() {
    let mut model = model_with_partitioned_idle_worker();
    let idle = model.workers().find(|one| one.run_count() == 0).expect("a worker without runs");
    // The process knows each lease that it has granted.
    let earliest = idle.lease_until(model.now());
    model.run_for(500);
    model.give_up();
    let gave_up_at = model.now();
    model.run_for(500);

    model.take_over_again(2_000);
    let started_at = second_step_start(&mut model);

    let latest = gave_up_at + longest_lease() + Span(PLAN_DELAY_MS);
    assert!(started_at.is_some_and(|at| at >= earliest), "{started_at:?}, before {earliest}");
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_short_term_does_not_shorten_the_wait_for_the_owner_before_it() {
    let mut model = model_with_partitioned_idle_worker();
    model.kill_owner();
    model.run_for(500);
    let claimed_at = model.now();
    model.take_over();
    model.run_for(200);
    model.give_up();

    model.take_over_again(300);
    let started_at = second_step_start(&mut model);

    let earliest = claimed_at + OWNER_TTL + cell_config().lease;
    assert!(started_at.is_some_and(|at| at >= earliest), "{started_at:?}, before {earliest}");
}

#[test]
fn a_worker_reported_as_drained_does_not_delay_the_next_owner() {
    let mut model = new_model(3);
    let second = Step { after: vec![0], ..step(1, 1_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 1_200), second]));
    model.run_for(300);
    let idle = idle_worker(&model);

    let drains = IndexMap::from([(idle.clone(), DrainMode::WaitForRuns)]);
    model.cell_mut().unwrap().set_drains(drains);
    let drained = |model: &Model| !model.cell().unwrap().drained_workers().is_empty();
    let is_reported = model.run_until(500, drained);
    // The fleet moves the worker to another pool, and the owner dies.
    partition(&mut model, &idle);
    model.kill_owner();
    model.run_for(500);
    let claimed_at = model.now();
    model.take_over();
    let started_at = second_step_start(&mut model);

    let latest = claimed_at + Span(1_200);
    assert!(is_reported);
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_worker_is_not_reported_as_drained_while_the_store_is_away() {
    let mut model = new_model(2);
    let drains = IndexMap::from([("w0".into(), DrainMode::WaitForRuns)]);

    model.set_store_available(false);
    model.cell_mut().unwrap().set_drains(drains);
    model.run_for(1_000);
    let drained_meanwhile = model.cell().unwrap().drained_workers();
    model.set_store_available(true);
    model.run_for(500);

    assert_eq!(drained_meanwhile, []);
    assert_eq!(model.cell().unwrap().drained_workers(), ["w0".into()]);
}

/// Creates a model with a job of two steps, the second of which can start 1,200 ms after the first.
/// An idle worker was drained and reported as such, and has just been moved to another pool, so
/// that it no longer answers. Its entry in the store has not expired yet.
fn model_with_moved_worker(first_step_ms: u64) -> Model {
    let mut model = new_model(3);
    model.run_for(OWNER_TTL.0);
    let second = Step { after: vec![0], ..step(1, 1_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, first_step_ms), second]));
    model.run_for(300);
    let idle = idle_worker(&model);
    let drains = IndexMap::from([(idle.clone(), DrainMode::WaitForRuns)]);
    model.cell_mut().unwrap().set_drains(drains);
    model.run_until(500, |model| !model.cell().unwrap().drained_workers().is_empty());
    partition(&mut model, &idle);
    model
}

#[test]
fn a_moved_worker_is_not_logged_as_used_again_when_its_drain_ends() {
    let mut model = model_with_moved_worker(8_000);
    // The fleet stops asking for the drain, while the store still lists the worker.
    model.run_for(4_200);
    model.cell_mut().unwrap().set_drains(IndexMap::new());
    model.run_for(500);
    model.kill_owner();
    model.run_for(500);

    model.take_over();
    let second = TaskId { step: 1, ..task_id(JOB, 0) };
    let started = model.run_until(4_000, |model| model.start_count(second) > 0);

    assert!(started);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_moved_worker_that_a_short_term_found_in_the_store_does_not_delay_the_next_owner() {
    let mut model = model_with_moved_worker(3_000);
    model.kill_owner();
    model.run_for(500);
    model.take_over();
    model.run_for(500);
    model.kill_owner();
    model.run_for(500);

    model.take_over();
    let second = TaskId { step: 1, ..task_id(JOB, 0) };
    let started = model.run_until(3_000, |model| model.start_count(second) > 0);

    assert!(started);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Time within which the fleet's owner tells a new owner of the cell which workers to drain, in
/// milliseconds.
const FLEET_DELAY_MS: u64 = 1_000;

/// Issue 39: what one owner promised the fleet, the next one did not know.
#[test]
fn a_worker_that_was_reported_as_drained_gets_no_task_of_a_new_owner_unasked() {
    let mut model = new_model(2);
    let drains = || IndexMap::from([("w0".into(), DrainMode::WaitForRuns)]);
    model.cell_mut().unwrap().set_drains(drains());
    let is_drained = |model: &Model| model.cell().unwrap().drained_workers() == ["w0".into()];
    assert!(model.run_until(5_000, is_drained));

    model.kill_owner();
    model.take_over();
    model.run_for(FLEET_DELAY_MS);
    model.submit(JOB, &queue(), job_spec(vec![step(4, 1_000, 3_000)]));
    model.run_for(FLEET_DELAY_MS);
    let unasked = model.workers().next().unwrap().run_count();
    model.cell_mut().unwrap().set_drains(IndexMap::new());
    model.submit(JobId(8), &queue(), job_spec(vec![step(4, 1_000, 3_000)]));
    model.run_for(FLEET_DELAY_MS);
    let asked = model.workers().next().unwrap().run_count();

    assert_eq!(unasked, 0);
    assert_ne!(asked, 0);
}

#[test]
fn a_worker_that_was_drained_is_used_again_if_the_fleet_stays_silent() {
    let mut model = new_model(1);
    let drains = IndexMap::from([("w0".into(), DrainMode::WaitForRuns)]);
    model.cell_mut().unwrap().set_drains(drains);
    model.run_for(1_000);
    model.kill_owner();
    model.take_over();

    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 300)]));
    let is_started = |model: &Model| model.start_count(task_id(JOB, 0)) > 0;

    assert!(model.run_until(6_000, is_started));
}

#[test]
fn an_earlier_owner_of_the_fleet_has_no_say_once_a_later_one_has_spoken() {
    let mut model = new_model(1);
    let cell = model.cell_mut().unwrap();

    let accepted = [Epoch(3), Epoch(3), Epoch(5), Epoch(3)].map(|epoch| cell.accept_fleet(epoch));

    assert_eq!(accepted, [true, true, true, false]);
}

/// Time that the last write of an owner takes whose link is full, in milliseconds.
const SLOW_WRITE_MS: u64 = 1_400;

/// Time that reading the log takes an owner with a slow link, from its claim on, in milliseconds.
const SLOW_READ_MS: u64 = 4_000;

/// Issue 42: leases were renewed neither while a cell was handed over nor while the next owner read
/// the log, and lapsed one after the other.
#[test]
fn no_lease_lapses_while_a_cell_is_handed_over_over_slow_links() {
    let mut model = new_model(8);
    model.submit(JOB, &queue(), long_running_job(16, 2));
    model.run_for(5_000);

    model.hand_over_writing_for(SLOW_WRITE_MS);
    model.take_over_reading_for(SLOW_READ_MS);
    model.run_for(5_000);

    assert_eq!(model.end_count(EndKind::Lapsed), 0);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// The record of a handover allows for the renewals that follow it.
#[test]
fn a_task_whose_lease_was_renewed_during_a_handover_starts_elsewhere_only_once_it_has_lapsed() {
    for phase_ms in (0..1_000).step_by(50) {
        let mut model = new_model(3);
        model.submit(JOB, &queue(), long_running_job(6, 2));
        model.run_for(5_000 + phase_ms);

        model.hand_over_writing_for(SLOW_WRITE_MS);
        partition(&mut model, &"w0".into());
        model.take_over();
        model.run_for(12_000);

        let is_running = |index| model.workers().any(|one| one.is_running(task_id(JOB, index)));
        assert!((0..6).all(is_running), "{phase_ms}");
        assert_eq!(model.violations(), [] as [&str; 0], "{phase_ms}");
    }
}

/// Workers whose runs last answer holds late. Nothing inherited starts before each has listed its runs
/// once more.
#[test]
fn a_new_owner_does_not_wait_for_holds_that_wait_for_ends() {
    let mut model = new_model(3);
    model.run_for(OWNER_TTL.0);
    model.submit(JobId(1), &queue(), long_running_job(3, 1));
    let second = Step { after: vec![0], ..step(1, 1_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 1_200), second]));
    model.run_for(1_100);
    model.kill_owner();
    model.run_for(500);

    model.take_over();
    let taken_over_at = model.now();
    let started_at = second_step_start(&mut model);

    let latest = taken_over_at + Span(cell_config().stop_timeout.0 + PLAN_DELAY_MS);
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// A worker without runs that has answered the next owner, and is cut off from it before all stops of earlier
/// owners have ended there. The store goes on to list it.
#[test]
fn inherited_jobs_do_not_wait_for_ever_for_a_worker_that_is_adopted_and_then_cut_off() {
    let mut model = new_model(3);
    model.run_for(OWNER_TTL.0);
    let second = Step { after: vec![0], ..step(1, 1_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 1_200), second]));
    model.run_for(300);
    let idle = idle_worker(&model);
    model.kill_owner();
    model.take_over();
    let seen = model.log_events().len();
    let id = idle.clone();
    let is_adopted = move |event: &LogEvent| matches!(event, LogEvent::Worker { change: "adopted", worker, .. } if *worker == id);
    assert!(model.run_until(6_000, |model| model.log_events()[seen..].iter().any(&is_adopted)));
    let claimed_at = model.now();

    model.cut_owner_off_from(idle.as_str());
    let started_at = second_step_start(&mut model);

    let latest = claimed_at + OWNER_TTL + longest_lease() + Span(PLAN_DELAY_MS);
    assert!(started_at.is_some_and(|at| at <= latest), "{started_at:?}, not by {latest}");
    assert_eq!(model.violations(), [] as [&str; 0]);
}
