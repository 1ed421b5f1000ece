//! Tests of when the owner stops a long-running task while others of its step may be unavailable.

use indexmap::IndexMap;
use teaselgap_core::job::{
    DrainMode, EndKind, HoldReport, JobId, ListedRun, LogEvent, TaskId, WorkerId,
};
use teaselgap_standins::model::{Model, WorkerFaults};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, step, task_id};

const JOB: JobId = JobId(7);

/// Creates a model of three workers, each of which runs one task of a long-running step, of which
/// one may be unavailable.
fn model_with_task_on_each_worker() -> Model {
    let mut model = new_model(3);
    model.submit(JOB, &queue(), long_running_job(3, 1));
    model.run_for(3_000);
    model
}

fn drain(model: &mut Model, worker: &str) {
    let drains = IndexMap::from([(worker.into(), DrainMode::WaitForRuns)]);
    model.cell_mut().unwrap().set_drains(drains);
}

/// Returns how often owners have adopted the worker.
fn adoption_count(model: &Model, worker: &str) -> usize {
    let worker: WorkerId = worker.into();
    let is_adoption = |event: &&LogEvent| matches!(event, LogEvent::Worker { worker: id, change: "adopted", .. } if *id == worker);
    model.log_events().iter().filter(is_adoption).count()
}

/// Runs until the worker is adopted once more, to the millisecond.
fn run_until_adopted(model: &mut Model, worker: &str) {
    let count = adoption_count(model, worker);
    while adoption_count(model, worker) == count {
        model.run_for(1);
    }
}

#[test]
fn no_task_is_stopped_while_the_lease_of_another_one_has_not_been_renewed() {
    let mut model = model_with_task_on_each_worker();
    model.kill_owner();
    model.run_for(2_000);
    model.take_over();
    drain(&mut model, "w0");

    // The worker gets one call of the new owner, to which it lists its runs, and no renewal.
    model.run_for(5);
    model.make_unreachable("w1", 30_000);
    model.run_for(3_000);

    assert_eq!(adoption_count(&model, "w1"), 2);
    assert_eq!(model.end_count(EndKind::Stopped), 0);
}

#[test]
fn no_task_is_stopped_soon_after_the_worker_of_another_one_was_adopted() {
    let mut model = model_with_task_on_each_worker();
    model.kill_owner();
    model.make_unreachable("w1", 3_000);
    model.take_over();
    drain(&mut model, "w0");

    // The previous owner may have ordered the worker to stop its run.
    run_until_adopted(&mut model, "w1");
    model.run_for(1_000);
    let stopped_soon = model.end_count(EndKind::Stopped);
    model.run_for(3_000);

    assert_eq!(stopped_soon, 0);
    assert_eq!(model.end_count(EndKind::Stopped), 1);
}

#[test]
fn a_task_that_runs_although_its_start_order_got_no_answer_is_not_stopped() {
    let mut model = new_model(2);
    for id in ["w0", "w1"] {
        model.set_faults(id, WorkerFaults { lost_answers: 1, ..WorkerFaults::default() });
    }

    model.submit(JOB, &queue(), long_running_job(2, 1));
    model.run_for(5_000);

    assert_eq!(model.end_count(EndKind::Stopped), 0);
    assert_eq!((0..2).map(|index| model.start_count(task_id(JOB, index))).max(), Some(1));
}

#[test]
fn a_task_whose_start_order_is_late_starts_elsewhere() {
    let mut model = new_model(2);
    for id in ["w0", "w1"] {
        let late = WorkerFaults { late_orders: 1, late_ms: 9_000, ..WorkerFaults::default() };
        model.set_faults(id, late);
    }

    model.submit(JOB, &queue(), long_running_job(2, 1));
    model.run_for(3_500);
    let started = (0..2).filter(|&index| model.start_count(task_id(JOB, index)) == 1).count();
    model.run_for(10_000);

    assert_eq!(started, 2);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Guards against a stop of a task that is at work because its start order was answered too late.
#[test]
fn a_long_running_task_that_started_late_is_not_stopped_once_it_is_at_work() {
    let mut model = new_model(1);
    let late =
        WorkerFaults { late_orders: 1, late_ms: 1_500, lost_stops: 4, ..WorkerFaults::default() };
    model.set_faults("w0", late);
    model.submit(JobId(1), &queue(), long_running_job(1, 0));

    // The order arrives after 1.5 s; until it has, the list of runs shows that it did not, and the
    // stop orders of the next seconds are lost.
    model.run_for(12_000);

    let task = task_id(JobId(1), 0);
    assert_eq!(model.start_count(task), 1);
    assert!(model.workers().any(|worker| worker.is_running(task)));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// Guards against a task that starts elsewhere while its late run is being stopped: the list showed
/// the run, and an earlier stop that arrived late ended it after all.
#[test]
fn a_task_that_started_late_and_is_stopped_after_all_runs_once_at_a_time() {
    for late_ms in [900, 1_400, 1_900] {
        let mut model = new_model(2);
        let late =
            WorkerFaults { late_orders: 2, late_ms, late_stops: 1, ..WorkerFaults::default() };
        model.set_faults("w0", late);
        model.submit(JobId(1), &queue(), job_spec(vec![step(1, 1_000, 2_000)]));
        model.run_for(100);

        // The ends of short tasks have the worker answer holds at once.
        for number in 0..250 {
            model.submit(JobId(100 + number), &queue(), job_spec(vec![step(4, 500, 60)]));
            model.run_for(20);
        }

        let is_taken_for_ended = |event: &&LogEvent| {
            matches!(event, LogEvent::RunEndedUnreported { reason: "run no longer listed", .. })
        };
        assert_eq!(model.log_events().iter().filter(is_taken_for_ended).count(), 0, "{late_ms}");
        assert_eq!(model.violations(), &[] as &[String], "{late_ms}");
    }
}

/// Time that a worker stays after it has announced that it leaves, in milliseconds.
const LEAVES_IN_MS: u64 = 3_000;

/// Interval between two ticks of the owner, in milliseconds.
const TICK_MS: u64 = 5;

/// Creates a model of `workers` workers, on which run twice as many tasks of a long-running step, of
/// which `max_unavailable` may be unavailable.
fn model_with_two_tasks_on_each_worker(workers: u32, max_unavailable: u32) -> Model {
    let mut model = new_model(workers as usize);
    model.submit(JOB, &queue(), long_running_job(2 * workers, max_unavailable));
    model.run_for(5_000);
    model
}

/// Creates such a model of twelve workers, eight of which have announced that they leave.
fn model_with_leaving_workers() -> Model {
    let mut model = model_with_two_tasks_on_each_worker(12, 4);
    for number in 1..9 {
        model.announce_leave(&format!("w{number}"), LEAVES_IN_MS);
    }
    model
}

/// Returns after how many milliseconds the owner of such a model knows which workers leave.
fn notice_ms() -> u64 {
    let mut model = model_with_leaving_workers();
    let announced_at = model.now();
    let is_leave = |event: &LogEvent| matches!(event, LogEvent::Worker { change: "leaving", .. });
    let is_known = model.run_until(1_000, |model| model.log_events().iter().any(is_leave));
    assert!(is_known);
    model.now().since(announced_at).0
}

/// Issue 39: one worker was drained in the tick in which the owner learnt that eight others leave.
#[test]
fn no_task_is_stopped_for_a_drain_when_other_workers_of_its_step_leave() {
    let notice_ms = notice_ms();
    for ticks in 0..20 {
        let offset_ms = notice_ms + 10 * TICK_MS - ticks * TICK_MS;
        let mut model = model_with_leaving_workers();

        model.run_for(offset_ms);
        drain(&mut model, "w0");
        model.run_for(3_000);

        assert_eq!(model.violations(), &[] as &[String], "{offset_ms} of {notice_ms} ms");
    }
}

/// Guards against copies of a stop order that ask nobody: the first ones are lost, and another task
/// has been ended when a later one arrives.
#[test]
fn a_copy_of_a_stop_order_ends_no_task_once_another_one_is_away() {
    for offset_ms in (0..3_000).step_by(100) {
        let mut model = model_with_two_tasks_on_each_worker(4, 1);
        let faults = WorkerFaults { lost_stops: 4, ..WorkerFaults::default() };
        model.set_faults("w0", faults);
        drain(&mut model, "w0");

        model.run_for(offset_ms);
        model.announce_leave("w1", LEAVES_IN_MS);
        model.run_for(LEAVES_IN_MS + 3_000);

        assert_eq!(model.violations(), &[] as &[String], "{offset_ms} ms");
    }
}

/// Lets the owner learn from a list that the first attempt of a task is on this worker, at work.
fn list_at_work(model: &mut Model, worker: &str, task: TaskId) {
    let now = model.now();
    let run =
        ListedRun { task, attempt: 1, checkpoint: None, progress_percent: 100, tail_ms_or_cpu: 0 };
    let (clock_ms, started_wall_ms) = (now.0 + 1, 1);
    let report = HoldReport {
        clock_ms,
        started_wall_ms,
        running: vec![run],
        ends: Vec::new(),
        is_complete: true,
    };
    model.cell_mut().unwrap().on_hold_answer(&worker.into(), now, Some(report), now);
}

/// Guards against a stop of the run that works for the sake of one that does not.
#[test]
fn of_two_runs_of_a_task_the_one_at_work_goes_on() {
    let mut model = new_model(2);
    let task = task_id(JOB, 0);
    model.submit(JOB, &queue(), long_running_job(1, 1));
    model.run_for(200);
    let ordered = model.ordered_worker(task).unwrap();
    let other = if ordered == "w0".into() { "w1" } else { "w0" };

    list_at_work(&mut model, other, task);
    model.run_for(20);

    let stopped = model.log_events().iter().filter_map(|event| match event {
        LogEvent::Stopping { run, .. } => Some(&run.worker),
        _ => None,
    });
    assert_eq!(stopped.collect::<Vec<_>>(), [&ordered]);
}
