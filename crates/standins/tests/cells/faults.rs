//! Failures that were met, each with the test that failed on it.

use indexmap::IndexMap;
use teaselgap_core::{
    Timestamp,
    job::{
        Action, Answer, DrainMode, EndKind, HoldReport, JobEnd, JobId, JobState, ListedRun,
        LogEvent, RunEnd, Step,
    },
};
use teaselgap_standins::model::{ModelWorker, TaskTime, WorkerFaults};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step, task_id};

const JOB: JobId = JobId(7);
const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

#[test]
fn a_job_of_two_steps_is_done_in_order() {
    let mut model = new_model(3);
    let mut second = step(4, 1_000, 300);
    second.after = vec![0];

    let token = model.submit(JOB, &queue(), job_spec(vec![step(4, 1_000, 300), second]));
    let done = model.run_until(3_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.answer(token), Some(Answer::Durable));
    assert_eq!(model.end_count(EndKind::Done), 8);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn an_owner_killed_between_acceptance_and_answer_leaves_one_job() {
    let mut model = new_model(3);
    model.submit(JOB, &queue(), job_spec(vec![step(3, 1_000, 400)]));
    // The record is on its way to the store, or there; nobody has been told.
    model.run_for(36);
    model.kill_owner();
    model.run_for(2_000);
    model.take_over();

    let again = model.submit(JOB, &queue(), job_spec(vec![step(3, 1_000, 400)]));
    let done = model.run_until(15_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.answer(again), Some(Answer::Durable));
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn an_adopted_run_is_not_taken_for_lapsed() {
    let mut model = new_model(3);
    model.submit(JOB, &queue(), long_running_job(3, 1));
    model.run_for(2_000);
    model.kill_owner();
    model.run_for(2_000);

    model.take_over();
    model.run_for(20_000);

    for index in 0..3 {
        assert_eq!(model.start_count(task_id(JOB, index)), 1);
    }
}

#[test]
fn a_dark_workers_tasks_start_elsewhere_once_their_lease_has_run_out() {
    let mut model = new_model(4);
    model.submit(JOB, &queue(), long_running_job(4, 1));
    model.run_for(2_000);
    let now = model.now();
    let dark = model.workers().find(|worker| worker.run_count() > 0).unwrap().entry.id.clone();

    model.worker_mut(dark.as_str()).partition_for(now, 60_000);
    // The lease, what a hold waits, and its timeout.
    model.run_for(5_600 + 1_000 + 1_600);

    let restarted = (0..4).filter(|&index| model.start_count(task_id(JOB, index)) == 2).count();
    assert_eq!(restarted, 1);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn an_order_carried_out_late_after_it_was_given_up_runs_nothing_twice() {
    let mut model = new_model(2);
    for id in ["w0", "w1"] {
        model.set_faults(
            id,
            WorkerFaults { late_orders: 2, late_ms: 3_000, ..WorkerFaults::default() },
        );
    }

    model.submit(JOB, &queue(), job_spec(vec![step(4, 1_000, 2_500)]));
    let done = model.run_until(20_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_lost_answer_to_a_start_runs_nothing_twice() {
    let mut model = new_model(2);
    for id in ["w0", "w1"] {
        model.set_faults(id, WorkerFaults { lost_answers: 3, ..WorkerFaults::default() });
    }

    model.submit(JOB, &queue(), job_spec(vec![step(6, 1_000, 2_500)]));
    let done = model.run_until(20_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_worker_reborn_under_its_id_gets_its_tasks_again() {
    let mut model = new_model(1);
    model.submit(JOB, &queue(), job_spec(vec![step(3, 1_000, 3_000)]));
    model.run_for(1_000);
    let (now, wall_ms) = (model.now(), model.wall_ms());

    model.worker_mut("w0").restart(now, wall_ms);
    let done = model.run_until(10_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.start_count(task_id(JOB, 0)), 2);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_planned_stop_with_tasks_running_loses_none_and_starts_none_twice() {
    let mut model = new_model(3);
    model.submit(JOB, &queue(), job_spec(vec![step(6, 1_000, 2_000)]));
    model.run_for(500);

    model.hand_over();
    model.take_over();
    let done = model.run_until(5_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    for index in 0..6 {
        assert_eq!(model.start_count(task_id(JOB, index)), 1);
    }
}

#[test]
fn after_a_planned_stop_a_dark_worker_is_waited_for_one_lease() {
    let mut model = new_model(3);
    model.submit(JOB, &queue(), long_running_job(3, 1));
    model.run_for(2_000);
    let now = model.now();
    model.worker_mut("w1").partition_for(now, 60_000);

    model.hand_over();
    model.take_over();
    let restarted = |model: &teaselgap_standins::model::Model| {
        (0..3).any(|index| model.start_count(task_id(JOB, index)) == 2)
    };
    let in_time = model.run_until(6_500, restarted);

    assert!(in_time);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn an_end_that_is_listed_again_to_a_new_owner_is_counted_once() {
    let mut model = new_model(1);
    model.worker_mut("w0").task_time = TaskTime::FailsAfter(300);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 300)]));
    // The end is durable, but the worker has not heard that.
    let durable = model.run_until(3_000, |model| model.end_count(EndKind::Failed) == 1);
    model.run_for(40);
    model.kill_owner();
    model.run_for(2_000);
    model.worker_mut("w0").task_time = TaskTime::FailsAfter(60_000);

    model.take_over();
    model.run_for(12_000);

    assert!(durable);
    assert_ne!(state(&model, JOB), Some(JobState::Ended(JobEnd::Failed)));
}

#[test]
fn a_task_that_lasts_is_stopped_for_its_worker_only_while_the_others_are_at_work() {
    let mut model = new_model(3);
    model.submit(JOB, &queue(), long_running_job(2, 1));
    model.run_for(3_000);
    let busy: Vec<_> = model
        .workers()
        .filter(|worker| worker.run_count() > 0)
        .map(|worker| worker.entry.id.clone())
        .collect();
    let now = model.now();

    model.worker_mut(busy[0].as_str()).partition_for(now, 4_000);
    model.run_for(2_800);
    let vacate = IndexMap::from([(busy[1].clone(), DrainMode::WaitForRuns)]);
    model.cell_mut().unwrap().set_drains(vacate);
    model.run_for(1_000);

    assert_eq!(model.end_count(EndKind::Stopped), 0);
}

#[test]
fn a_worker_that_a_new_owner_has_not_found_is_not_reported_as_empty() {
    let mut model = new_model(2);
    model.submit(JOB, &queue(), long_running_job(2, 1));
    model.run_for(2_000);
    model.hand_over();

    model.take_over();
    let cell = model.cell_mut().unwrap();
    cell.set_drains(IndexMap::from([("w0".into(), DrainMode::WaitForRuns)]));

    assert_eq!(cell.drained_workers(), []);
}

#[test]
fn ends_are_confirmed_only_once_they_are_durable() {
    let mut model = new_model(1);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 1_000)]));
    model.run_for(500);
    model.set_store_available(false);
    model.run_for(3_000);
    assert_eq!(model.end_count(EndKind::Done), 1);
    assert_ne!(state(&model, JOB), SUCCEEDED);

    // Another owner learns of the end from the worker alone.
    model.kill_owner();
    model.set_store_available(true);
    model.take_over();
    let done = model.run_until(15_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.start_count(task_id(JOB, 0)), 1);
}

#[test]
fn a_cancelled_job_is_gone_from_its_workers() {
    let mut model = new_model(2);
    model.submit(JOB, &queue(), long_running_job(2, 1));
    model.run_for(1_000);

    let token = model.cancel(JOB);
    model.run_for(1_500);

    assert_eq!(model.answer(token), Some(Answer::Durable));
    assert_eq!(state(&model, JOB), Some(JobState::Ended(JobEnd::Cancelled)));
    assert!(model.workers().all(|worker| worker.run_count() == 0));
    assert!(model.now() > Timestamp(0));
}

#[test]
fn an_order_given_up_before_a_worker_started_anew_does_not_run_in_its_new_life() {
    let mut model = new_model(3);
    model.submit(JobId(1), &queue(), job_spec(vec![step(2, 4_000, 200)]));
    model.run_for(50);
    let late = WorkerFaults { late_orders: 1, late_ms: 2_500, ..WorkerFaults::default() };
    model.set_faults("w2", late);
    model.submit(JOB, &queue(), job_spec(vec![step(2, 4_000, 200)]));
    model.run_for(706);
    let (now, wall_ms) = (model.now(), model.wall_ms());

    model.worker_mut("w2").restart(now, wall_ms);
    model.run_for(4_500);

    assert_eq!(model.start_count(task_id(JOB, 0)), 1);
    assert_eq!(model.violations(), &[] as &[String]);
}

/// A worker's list at a time of its clock: one run, or its end.
fn list(clock_ms: u64, running: Option<ListedRun>, end: Option<RunEnd>) -> HoldReport {
    let (running, ends) = (running.into_iter().collect(), end.into_iter().collect());
    HoldReport { clock_ms, started_wall_ms: 1, running, ends }
}

#[test]
fn a_list_that_is_overtaken_by_the_end_of_a_run_does_not_bring_it_back() {
    let mut model = new_model(2);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(2_000);
    let worker = model.workers().find(|one| one.run_count() > 0).unwrap().entry.id.clone();
    let (now, name) = (model.now(), task_id(JOB, 0));
    let row = ListedRun { task: name, attempt: 1, checkpoint: None, percent: 100, gauge: 0 };
    let how = EndKind::Stopped;
    let end = RunEnd { number: 1, task: name, attempt: 1, how, checkpoint: None };
    let cell = model.cell_mut().unwrap();
    cell.take_actions();

    cell.on_hold_answer(&worker, now, Some(list(60_000, None, Some(end))), now);
    cell.on_hold_answer(&worker, now, Some(list(59_999, Some(row), None)), now);
    cell.tick(now, now.0);
    let actions = cell.take_actions();

    // The task starts again, and the run of before is neither adopted nor stopped.
    let placed = |action: &Action| matches!(action, Action::Log(LogEvent::Placed { .. }));
    assert!(actions.iter().any(placed));
    assert!(!actions.iter().any(|action| matches!(action, Action::Stop(..))));
}

#[test]
fn after_a_planned_stop_a_worker_on_which_nothing_ran_is_not_waited_for() {
    let mut model = new_model(3);
    let mut second = step(1, 1_000, 300);
    second.after = vec![0];
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 600), second]));
    model.run_for(300);
    let idle = model.workers().find(|worker| worker.run_count() == 0).unwrap().entry.id.clone();
    let now = model.now();
    model.worker_mut(idle.as_str()).partition_for(now, 60_000);

    model.hand_over();
    model.take_over();
    let done = model.run_until(2_500, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn planned_stops_one_after_the_other_do_not_add_up_their_waits() {
    let mut model = new_model(3);
    let mut second = step(1, 1_000, 300);
    second.after = vec![0];
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 3_000), second]));
    model.run_for(300);
    let idle = model.workers().find(|worker| worker.run_count() == 0).unwrap().entry.id.clone();
    let now = model.now();
    // It is gone, and the store goes on listing it for a while.
    model.worker_mut(idle.as_str()).partition_for(now, 60_000);

    for _ in 0..2 {
        model.hand_over();
        model.take_over();
        model.run_for(1_200);
    }
    let done = model.run_until(2_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn an_end_that_comes_during_a_planned_stop_does_not_make_it_an_unplanned_one() {
    for offset in (330..480).step_by(10) {
        let mut model = new_model(3);
        let mut second = step(1, 1_000, 300);
        second.after = vec![0];
        model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 400), second]));
        model.run_for(100);
        let (now, idle) = (model.now(), |one: &&ModelWorker| one.run_count() == 0);
        let idle = model.workers().find(idle).unwrap().entry.id.clone();
        model.worker_mut(idle.as_str()).partition_for(now, 60_000);
        model.run_for(offset);

        model.hand_over();
        model.take_over();
        let done = model.run_until(2_500, |model| state(model, JOB) == SUCCEEDED);

        assert!(done, "stopped {offset} ms later");
        assert_eq!(model.violations(), &[] as &[String]);
    }
}

#[test]
fn a_worker_that_was_emptied_and_taken_away_does_not_hold_up_the_next_owner() {
    let mut model = new_model(3);
    let later = Step { after: vec![0], ..step(1, 2_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 2_000, 900), later]));
    model.run_for(100);
    let idle = model.workers().find(|worker| worker.run_count() == 0).unwrap().entry.id.clone();
    model.cell_mut().unwrap().set_drains(IndexMap::from([(idle.clone(), DrainMode::WaitForRuns)]));
    model.run_for(200);
    let now = model.now();
    model.worker_mut(idle.as_str()).partition_for(now, 60_000);
    model.run_for(200);
    model.kill_owner();
    model.run_for(500);

    model.take_over();
    let done = model.run_until(1_500, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_worker_that_was_emptied_and_is_used_after_all_is_waited_for_again() {
    let mut model = new_model(1);
    model.cell_mut().unwrap().set_drains(IndexMap::from([("w0".into(), DrainMode::WaitForRuns)]));
    model.run_for(200);
    model.cell_mut().unwrap().set_drains(IndexMap::new());
    model.submit(JOB, &queue(), job_spec(vec![step(1, 2_000, 3_000)]));
    model.run_for(500);
    let now = model.now();
    model.worker_mut("w0").partition_for(now, 20_000);
    model.kill_owner();

    model.take_over();
    model.run_for(3_000);
    let cell = model.cell_mut().unwrap();
    cell.set_drains(IndexMap::from([("w0".into(), DrainMode::WaitForRuns)]));

    assert_eq!(model.start_count(task_id(JOB, 0)), 1);
    assert_eq!(model.cell().unwrap().drained_workers(), []);
}
