//! Tests of waits on the fleet's owner and on the store that no answer may come to.

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch,
    job::{Cell, DrainMode, InstructionNumber, JobId, JobState},
};
use teaselgap_standins::model::{Model, cell_config};

use crate::fixtures::{job_spec, new_model, queue, state, step, task_id};

const JOB: JobId = JobId(7);

fn has_jobs(model: &Model) -> bool {
    model.cell().is_some_and(Cell::has_jobs)
}

/// Guards against a cell that no route names and that gets owners for ever.
#[test]
fn a_cell_without_a_route_counts_as_needed_after_its_last_job_is_forgotten() {
    let mut model = new_model(2);
    assert!(!has_jobs(&model));
    model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 500)]));
    model.set_queues(IndexMap::new());

    let is_forgotten =
        model.run_until(cell_config().status_retention.0 + 5_000, |model| !has_jobs(model));

    assert!(is_forgotten);
}

/// Guards against accepted jobs that stand still because nobody takes over the cell that holds them.
#[test]
fn a_cell_without_a_route_counts_as_unneeded_while_it_takes_its_jobs_over() {
    let mut model = new_model(2);
    model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 60_000)]));
    model.run_for(200);
    model.set_queues(IndexMap::new());

    model.kill_owner();
    model.take_over();

    assert!(has_jobs(&model));
}

/// The epoch of the fleet's owner.
const FLEET_EPOCH: Epoch = Epoch(5);

/// Lets the fleet's owner say that the only worker is to be drained.
fn drain_only_worker(model: &mut Model) {
    let now = model.now();
    let drains = IndexMap::from([("w0".into(), DrainMode::WaitForRuns)]);
    let instruction = (FLEET_EPOCH, InstructionNumber(2));
    assert!(model.cell_mut().unwrap().instruct(instruction, drains, now));
}

fn is_reported_drained(model: &Model) -> bool {
    model.cell().is_some_and(|cell| !cell.drained_workers().is_empty())
}

/// Guards against jobs that stand still because the fleet's owner is lost for ever after it has asked for
/// drains.
#[test]
fn a_worker_stays_drained_for_ever_after_the_owner_of_the_fleet_is_lost() {
    let mut model = new_model(1);
    drain_only_worker(&mut model);
    assert!(model.run_until(1_000, is_reported_drained));
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 500)]));

    let has_started = model.run_until(10_000, |model| state(model, JOB) == Some(JobState::Running));

    assert!(has_started);
    assert!(!is_reported_drained(&model));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// Guards against an order of the fleet's owner that ends tasks, as it rests on the last report.
#[test]
fn a_drained_worker_is_used_while_an_order_that_rests_on_its_report_may_take_effect() {
    // An order whose call gets no answer may be carried out later.
    let order_effect_ms = 800 + 1_500 + 1_000 + 1_500 + 3_000;
    let mut model = new_model(1);
    drain_only_worker(&mut model);
    assert!(model.run_until(1_000, is_reported_drained));
    drain_only_worker(&mut model);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 500)]));

    model.run_for(order_effect_ms);

    assert_eq!(model.start_count(task_id(JOB, 0)), 0);
}

/// Guards against drains that never end because some instructions of the fleet's owner are lost.
#[test]
fn a_drain_is_given_up_while_one_instruction_in_three_arrives() {
    let mut model = new_model(1);
    let all_instructions_ms = 1_000;
    drain_only_worker(&mut model);
    assert!(model.run_until(1_000, is_reported_drained));
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 500)]));

    let mut stays_drained = true;
    for _ in 0..5 {
        drain_only_worker(&mut model);
        model.run_for(3 * all_instructions_ms);
        stays_drained &= is_reported_drained(&model);
    }

    assert!(stays_drained);
    assert_eq!(model.start_count(task_id(JOB, 0)), 0);
}

/// Guards against an order that ends tasks: an instruction that was delayed, and comes after a later one of
/// the same owner, says that a worker may be used which was reported as drained meanwhile.
#[test]
fn a_late_instruction_does_not_end_the_drain_that_a_later_one_asks_for() {
    let mut model = new_model(1);
    drain_only_worker(&mut model);
    assert!(model.run_until(1_000, is_reported_drained));
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 500)]));
    let late = (FLEET_EPOCH, InstructionNumber(1));

    let now = model.now();
    let is_accepted = model.cell_mut().unwrap().instruct(late, IndexMap::new(), now);
    model.run_for(2_000);

    assert!(!is_accepted);
    assert!(is_reported_drained(&model));
    assert_eq!(model.start_count(task_id(JOB, 0)), 0);
}
