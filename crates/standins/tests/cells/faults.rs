//! Regression tests, each of which reproduces a failure that occurred.

use indexmap::IndexMap;
use teaselgap_core::{
    Span, Timestamp,
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
fn a_job_of_two_steps_succeeds() {
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
fn each_step_has_one_event_for_its_placement_and_one_for_its_end() {
    let mut model = new_model(3);
    let second = Step { after: vec![0], ..step(4, 1_000, 300) };

    model.submit(JOB, &queue(), job_spec(vec![step(4, 1_000, 300), second]));
    model.run_until(3_000, |model| state(model, JOB) == SUCCEEDED);

    let placed_counts: Vec<usize> = model
        .log_events()
        .iter()
        .filter_map(|event| match event {
            LogEvent::Placed { tasks, .. } => Some(tasks.len()),
            _ => None,
        })
        .collect();
    let done_runs: Vec<(u32, u32)> = model
        .log_events()
        .iter()
        .filter_map(|event| match event {
            LogEvent::StepDone { step, runs } => Some((step.step, *runs)),
            _ => None,
        })
        .collect();
    assert_eq!(placed_counts, [4, 4]);
    assert_eq!(done_runs, [(0, 4), (1, 4)]);
}

#[test]
fn a_job_submitted_again_after_an_owner_crash_is_not_duplicated() {
    let mut model = new_model(3);
    model.submit(JOB, &queue(), job_spec(vec![step(3, 1_000, 400)]));
    // The job's record is in transit to the store or already there, but the client has no answer.
    model.run_for(36);
    model.kill_owner();
    model.run_for(2_000);
    model.take_over();

    let second_token = model.submit(JOB, &queue(), job_spec(vec![step(3, 1_000, 400)]));
    let done = model.run_until(15_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.answer(second_token), Some(Answer::Durable));
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn adopted_runs_are_not_treated_as_expired() {
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
fn tasks_of_a_partitioned_worker_start_elsewhere_after_its_lease_expired() {
    let mut model = new_model(4);
    model.submit(JOB, &queue(), long_running_job(4, 1));
    model.run_for(2_000);
    let now = model.now();
    let partitioned =
        model.workers().find(|worker| worker.run_count() > 0).unwrap().entry.id.clone();

    model.worker_mut(partitioned.as_str()).partition_for(now, 60_000);
    // The lease, the wait time of a hold, and the hold's timeout.
    model.run_for(5_600 + 1_000 + 1_600);

    let restarted = (0..4).filter(|&index| model.start_count(task_id(JOB, index)) == 2).count();
    assert_eq!(restarted, 1);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_start_order_that_arrives_after_its_timeout_runs_no_task_twice() {
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
fn a_lost_answer_to_a_start_order_runs_no_task_twice() {
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
fn a_worker_that_restarts_under_its_id_gets_its_tasks_again() {
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
fn a_handover_neither_loses_running_tasks_nor_starts_them_again() {
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
fn after_a_handover_the_owner_waits_one_lease_for_a_partitioned_worker() {
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
fn a_run_end_that_is_reported_again_to_a_new_owner_counts_once() {
    let mut model = new_model(1);
    model.worker_mut("w0").task_time = TaskTime::FailsAfter(300);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 300)]));
    // The end is durable, but the worker has not received the confirmation.
    let is_logged = model.run_until(3_000, |model| model.end_count(EndKind::Failed) == 1);
    model.run_for(40);
    model.kill_owner();
    model.run_for(2_000);
    model.worker_mut("w0").task_time = TaskTime::FailsAfter(60_000);

    model.take_over();
    model.run_for(12_000);

    assert!(is_logged);
    assert_ne!(state(&model, JOB), Some(JobState::Ended(JobEnd::Failed)));
}

#[test]
fn a_drain_does_not_stop_a_long_running_task_while_another_one_is_down() {
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
    let drains = IndexMap::from([(busy[1].clone(), DrainMode::WaitForRuns)]);
    model.cell_mut().unwrap().set_drains(drains);
    model.run_for(1_000);

    assert_eq!(model.end_count(EndKind::Stopped), 0);
}

#[test]
fn a_worker_that_a_new_owner_has_not_listed_is_not_reported_as_drained() {
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
fn run_ends_are_confirmed_only_once_they_are_durable() {
    let mut model = new_model(1);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 1_000)]));
    model.run_for(500);
    model.set_store_available(false);
    model.run_for(3_000);
    assert_eq!(model.end_count(EndKind::Done), 1);
    assert_ne!(state(&model, JOB), SUCCEEDED);

    // The next owner can learn of the end only from the worker.
    model.kill_owner();
    model.set_store_available(true);
    model.take_over();
    let done = model.run_until(15_000, |model| state(model, JOB) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.start_count(task_id(JOB, 0)), 1);
}

#[test]
fn cancelling_a_job_stops_its_runs() {
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
fn an_order_that_timed_out_before_a_worker_restart_does_not_run_on_the_new_instance() {
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

#[test]
fn an_order_that_reaches_a_restarted_worker_before_the_owner_does_runs_no_task_twice() {
    for restart_ms in (800..1_400).step_by(20) {
        let mut model = new_model(2);
        // The leases of earlier terms expire.
        model.run_for(10_000);
        let late = WorkerFaults { late_orders: 1, late_ms: 1_400, ..WorkerFaults::default() };
        model.set_faults("w0", late);
        model.submit(JOB, &queue(), job_spec(vec![step(2, 4_000, 650)]));
        // The order has timed out, and the store shows the restart before the worker answers.
        model.run_for(restart_ms);
        let (now, wall_ms) = (model.now(), model.wall_ms());
        model.worker_mut("w0").restart(now, wall_ms);
        model.run_for(20_000);

        assert_eq!(state(&model, JOB), SUCCEEDED);
        assert_eq!(model.violations(), [] as [&str; 0], "restarted after {restart_ms} ms");
    }
}

#[test]
fn a_task_that_starts_on_a_new_worker_instance_of_which_the_owner_does_not_know_runs_once() {
    for restart_ms in (0..500).step_by(20) {
        let mut model = new_model(2);
        model.run_for(10_000 + restart_ms);
        let (now, wall_ms) = (model.now(), model.wall_ms());
        model.worker_mut("w0").restart(now, wall_ms);
        // The worker is back, but the owner has not read the store's list since.
        model.run_for(270);

        model.submit(JOB, &queue(), job_spec(vec![step(2, 4_000, 1_500)]));
        model.run_for(10_000);

        assert_eq!(state(&model, JOB), SUCCEEDED);
        assert_eq!(model.violations(), [] as [&str; 0], "restarted after {restart_ms} ms");
    }
}

/// Returns a worker's report at `clock_ms` of its clock, with an active run or a run end.
fn hold_report(clock_ms: u64, running: Option<ListedRun>, end: Option<RunEnd>) -> HoldReport {
    let (running, ends) = (running.into_iter().collect(), end.into_iter().collect());
    HoldReport { clock_ms, started_wall_ms: 1, running, ends, is_complete: true }
}

#[test]
fn an_outdated_report_does_not_revive_an_ended_run() {
    let mut model = new_model(2);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(2_000);
    let worker = model.workers().find(|one| one.run_count() > 0).unwrap().entry.id.clone();
    let (now, id) = (model.now(), task_id(JOB, 0));
    let clock_ms = model.worker_mut(worker.as_str()).clock(now);
    let listed_run = ListedRun {
        task: id,
        attempt: 1,
        checkpoint: None,
        progress_percent: 100,
        tail_ms_or_cpu: 0,
    };
    let kind = EndKind::Stopped;
    let end = RunEnd { number: 1, task: id, attempt: 1, kind, checkpoint: None };
    let cell = model.cell_mut().unwrap();
    cell.take_actions();

    let latest = hold_report(clock_ms, None, Some(end));
    let outdated = hold_report(clock_ms - 1, Some(listed_run), None);
    cell.on_hold_answer(&worker, now, Some(latest), now);
    cell.on_hold_answer(&worker, now, Some(outdated), now);
    cell.tick(now, now.0);
    let actions = cell.take_actions();

    // The task is placed again, and its earlier run is neither adopted nor stopped.
    let is_placed = |action: &Action| matches!(action, Action::Log(LogEvent::Placed { .. }));
    assert!(actions.iter().any(is_placed));
    assert!(!actions.iter().any(|action| matches!(action, Action::Stop(..))));
}

#[test]
fn the_late_end_of_an_earlier_attempt_does_not_hide_the_present_run() {
    let mut model = new_model(1);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(2_000);
    let (now, id) = (model.now() + Span(10), task_id(JOB, 0));
    let clock_ms = model.worker_mut("w0").clock(now);
    let listed_run = ListedRun {
        task: id,
        attempt: 2,
        checkpoint: None,
        progress_percent: 100,
        tail_ms_or_cpu: 0,
    };
    let kind = EndKind::Stopped;
    let end = RunEnd { number: 1, task: id, attempt: 1, kind, checkpoint: None };
    let cell = model.cell_mut().unwrap();

    // The worker lists no more than some of its ends, so that of the first attempt comes late.
    cell.on_hold_answer(&"w0".into(), now, Some(hold_report(clock_ms, None, None)), now);
    cell.tick(now, now.0);
    let first_actions = cell.take_actions();
    let report = hold_report(clock_ms + 1, Some(listed_run), Some(end));
    cell.on_hold_answer(&"w0".into(), now, Some(report), now);
    cell.tick(now, now.0);
    let actions = cell.take_actions();

    let is_start = |action: &Action| matches!(action, Action::Start(..));
    assert!(first_actions.iter().any(is_start));
    assert!(!actions.iter().any(is_start));
}

#[test]
fn after_a_handover_the_owner_does_not_wait_for_a_partitioned_worker_without_runs() {
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
fn waits_of_consecutive_handovers_do_not_add_up() {
    let mut model = new_model(3);
    let mut second = step(1, 1_000, 300);
    second.after = vec![0];
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, 3_000), second]));
    model.run_for(300);
    let idle = model.workers().find(|worker| worker.run_count() == 0).unwrap().entry.id.clone();
    let now = model.now();
    // The worker is gone, but the store lists it for a while longer.
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
fn a_run_end_during_a_handover_does_not_make_it_count_as_a_crash() {
    for offset in (330..480).step_by(10) {
        let mut model = new_model(3);
        let mut second = step(1, 1_000, 300);
        second.after = vec![0];
        model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 400), second]));
        model.run_for(100);
        let (now, is_idle) = (model.now(), |one: &&ModelWorker| one.run_count() == 0);
        let idle = model.workers().find(is_idle).unwrap().entry.id.clone();
        model.worker_mut(idle.as_str()).partition_for(now, 60_000);
        model.run_for(offset);

        model.hand_over();
        model.take_over();
        let done = model.run_until(2_500, |model| state(model, JOB) == SUCCEEDED);

        assert!(done, "handover {offset} ms later");
        assert_eq!(model.violations(), &[] as &[String]);
    }
}

#[test]
fn a_worker_that_was_drained_and_removed_does_not_delay_the_next_owner() {
    let mut model = new_model(3);
    let second = Step { after: vec![0], ..step(1, 2_000, 300) };
    model.submit(JOB, &queue(), job_spec(vec![step(1, 2_000, 900), second]));
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
fn the_next_owner_waits_for_a_drained_worker_that_is_used_again() {
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

/// Guards against a copy of a start order that arrives after another copy was answered and the
/// worker has restarted.
#[test]
fn a_late_copy_of_an_answered_start_order_starts_nothing_in_the_next_worker_instance() {
    // The copy arrives at various times after the new instance can be reached.
    for (restart_ms, late_ms) in (0..40).map(|step| (1_200 + step * 7, 1_510 + step * 15)) {
        let mut model = new_model(2);
        for id in ["w0", "w1"] {
            let faults = WorkerFaults { late_orders: 1, late_ms, ..WorkerFaults::default() };
            model.set_faults(id, faults);
        }
        model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 4_000)]));
        model.run_for(restart_ms);
        assert_eq!(model.start_count(task_id(JOB, 0)), 1);

        model.restart_worker("w0");
        let done = model.run_until(25_000, |model| state(model, JOB) == SUCCEEDED);

        assert!(done, "{restart_ms} {late_ms}");
        assert_eq!(model.violations(), &[] as &[String], "{restart_ms} {late_ms}");
    }
}

/// Guards a worker that starts whatever it is told to start against more than its shrunken capacity.
#[test]
fn a_worker_whose_capacity_shrinks_gets_no_order_that_does_not_fit() {
    let mut model = new_model(1);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 10_000, 3_000)]));
    model.run_for(500);

    model.worker_mut("w0").entry.capacity.cpu_milli = 16_000;
    model.run_for(600);
    model.submit(JobId(8), &queue(), job_spec(vec![step(1, 10_000, 300)]));
    model.run_for(1_000);
    let starts_while_full = model.start_count(task_id(JobId(8), 0));
    let is_refused = |event: &LogEvent| matches!(event, LogEvent::StartFailed { .. });
    let was_refused = model.log_events().iter().any(is_refused);
    let done = model.run_until(5_000, |model| state(model, JobId(8)) == SUCCEEDED);

    assert_eq!((starts_while_full, was_refused), (0, false));
    assert!(done);
}
