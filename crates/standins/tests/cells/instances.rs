//! Tests of statements about the instances of a worker that restarts under its id. Entries in the
//! store and answers may name any instance, in any order.

mod history;
mod truth;

use proptest::prelude::*;
use teaselgap_core::{
    Span,
    job::{Action, HoldReport, JobEnd, JobId, JobState, LogEvent, Step},
};
use teaselgap_standins::model::{ClockDraw, Model, ModelWorker, WorkerFaults};

use crate::fixtures::{job_spec, new_model, queue, state, step, task_id};

const JOB: JobId = JobId(7);

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// How long the store lists an entry of before a restart, in milliseconds: the rest of an outage of
/// the store and the time to the worker's next heartbeat.
const EARLIER_ENTRY_MS: u64 = 4_500;

/// Draws where the clock of an instance starts.
fn clock_draw() -> impl Strategy<Value = ClockDraw> {
    prop_oneof![
        (0_u64..9_000_000).prop_map(ClockDraw::Small),
        (0_u64..9_000_000).prop_map(ClockDraw::Large),
        (0_u64..9_000_000).prop_map(ClockDraw::Ahead),
        (0_u64..9_000_000).prop_map(ClockDraw::Behind),
        (0_u64..100).prop_map(ClockDraw::Inside),
    ]
}

/// Returns how often the owners have taken a worker for restarted.
fn restart_count(model: &Model) -> usize {
    let is_restart =
        |event: &&LogEvent| matches!(event, LogEvent::Worker { change: "restarted", .. });
    model.log_events().iter().filter(is_restart).count()
}

/// Creates a model in which `w0` has restarted while the store lists its entry of before, and has got
/// tasks since.
fn model_with_earlier_entry() -> Model {
    let mut model = new_model(3);
    model.submit(JobId(1), &queue(), job_spec(vec![step(6, 4_000, 4_000)]));
    model.run_for(600);
    model.keep_entry("w0", EARLIER_ENTRY_MS);
    model.restart_worker("w0");
    model.run_for(1_800);
    model.submit(JOB, &queue(), job_spec(vec![step(9, 4_000, 4_000)]));
    model
}

/// Guards against runs that are written off, and started elsewhere while they go on, because the
/// store still lists the worker's entry of before its restart.
#[test]
fn an_entry_of_before_a_restart_does_not_count_as_another_restart() {
    let mut model = model_with_earlier_entry();

    let done = model.run_until(20_000, |model| state(model, JOB) == SUCCEEDED);

    assert_eq!(model.violations(), [] as [&str; 0]);
    assert_eq!(restart_count(&model), 1);
    assert!(done);
}

#[test]
fn an_entry_of_before_a_restart_misleads_no_later_owner() {
    for takeover_ms in (100..EARLIER_ENTRY_MS).step_by(300) {
        let mut model = model_with_earlier_entry();
        model.run_for(takeover_ms);
        model.kill_owner();

        model.take_over();
        let done = model.run_until(30_000, |model| state(model, JOB) == SUCCEEDED);

        assert_eq!(model.violations(), [] as [&str; 0], "{takeover_ms}");
        // Each owner may learn once of the restart.
        assert!(restart_count(&model) <= 2, "{takeover_ms}");
        assert!(done, "{takeover_ms}");
    }
}

/// Returns the answer of an instance that started at this time and runs nothing.
fn report(started_wall_ms: u64, clock_ms: u64) -> HoldReport {
    let (running, ends) = (Vec::new(), Vec::new());
    HoldReport { clock_ms, started_wall_ms, running, ends, is_complete: true }
}

/// Guards against a task that starts on a worker of another kind than it needs: a worker may be of
/// another kind after a restart, which only its new entry tells.
#[test]
fn a_restarted_worker_runs_no_task_that_needs_a_label_before_its_new_entry_is_read() {
    let mut model = new_model(1);
    model.keep_entry("w0", EARLIER_ENTRY_MS);
    model.restart_worker("w0");
    let labels = ["b".to_owned(), "rack-0".to_owned()];
    model.worker_mut("w0").entry.labels = labels.into();
    let label = Some("a".to_owned());
    model.submit(JobId(1), &queue(), job_spec(vec![Step { label, ..step(1, 4_000, 300) }]));
    model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, 300)]));

    let done = model.run_until(EARLIER_ENTRY_MS, |model| state(model, JOB) == SUCCEEDED);
    model.run_for(2 * EARLIER_ENTRY_MS);

    assert!(done, "a task that needs no label waits for the entry");
    assert_eq!(model.start_count(task_id(JobId(1), 0)), 0);
}

/// Guards against a task that runs again after it was done, because a number by which the owner
/// confirms ends of one instance made the next one forget an end that the owner had not seen.
#[test]
fn an_end_on_an_instance_of_which_the_owner_does_not_know_is_not_confirmed_unseen() {
    for restart_ms in (0..3_000).step_by(100) {
        for task_ms in [20, 100, 300] {
            let mut model = new_model(1);
            model.submit(JobId(1), &queue(), job_spec(vec![step(3, 4_000, 100)]));
            model.run_for(3_000 + restart_ms);
            model.keep_entry("w0", EARLIER_ENTRY_MS);
            model.restart_worker("w0");
            // The worker is back, and no hold has reached it yet.
            model.run_for(310);

            model.submit(JOB, &queue(), job_spec(vec![step(2, 4_000, task_ms)]));
            let done = model.run_until(20_000, |model| state(model, JOB) == SUCCEEDED);

            assert_eq!(model.violations(), [] as [&str; 0], "{restart_ms} {task_ms}");
            assert!(done, "{restart_ms} {task_ms}");
        }
    }
}

/// Guards against a task that starts elsewhere while its order may reach the new instance of its
/// worker, because an earlier instance had confirmed the stop.
#[test]
fn a_stop_that_an_earlier_instance_confirmed_does_not_count_for_the_next() {
    let mut model = new_model(1);
    let faults = WorkerFaults { lost_answers: 2, ..WorkerFaults::default() };
    model.set_faults("w0", faults);
    model.submit(JOB, &queue(), job_spec(vec![step(1, 4_000, 4_000)]));
    model.run_for(200);
    let (sent, known_since, listed) =
        (model.now(), model.now() + Span(1), model.now() + Span(2_000));
    model.run_for(1);
    let now = model.now();
    let cell = model.cell_mut().expect("an owner");
    cell.on_hold_answer(&"w0".into(), now, Some(report(2, 1)), now);
    let restarted = cell.take_actions();

    cell.on_stop_answer(&"w0".into(), (task_id(JOB, 0), 1), true, (sent, known_since));
    let (running, ends) = (Vec::new(), Vec::new());
    let report =
        HoldReport { clock_ms: 2_001, started_wall_ms: 2, running, ends, is_complete: true };
    cell.on_hold_answer(&"w0".into(), listed, Some(report), listed);
    let actions = cell.take_actions();

    let is_restart = |action: &Action| {
        matches!(action, Action::Log(LogEvent::Worker { change: "restarted", .. }))
    };
    assert!(restarted.iter().any(is_restart));
    let is_end =
        |action: &Action| matches!(action, Action::Log(LogEvent::RunEndedUnreported { .. }));
    assert!(!actions.iter().any(is_end));
}

/// Guards against a task that starts elsewhere while it runs: by chance the clock of the next instance goes on
/// just where that of the one before ended, and its entry ends what the instance before ran.
#[test]
fn a_run_in_an_instance_that_only_its_entry_names_is_not_ended_by_that_entry() {
    for restart_ms in (0..3_000).step_by(100) {
        let mut model = new_model(2);
        model.count_every_start();
        model.run_for(11_000 + restart_ms);
        model.worker_mut("w0").next_clock = Some(ClockDraw::Inside(0));
        model.keep_entry("w0", 500);
        model.restart_worker_at("w0", model.wall_ms(), 10);
        model.run_for(10);

        model.submit(JOB, &queue(), job_spec(vec![step(4, 4_000, 12_000)]));
        let run_all =
            |model: &Model| model.workers().map(ModelWorker::run_count).sum::<usize>() == 4;
        assert!(model.run_until(500, run_all), "{restart_ms}");
        model.run_for(2);
        model.make_unreachable("w0", 20_000);
        model.run_for(20_000);

        assert_eq!(model.violations(), [] as [&str; 0], "{restart_ms}");
    }
}
