//! Tests of how often a task that crashes the workers that start it is started.

use proptest::prelude::*;
use teaselgap_core::job::{JobEnd, JobId, JobSpec, JobState, LogEvent, Step};
use teaselgap_standins::model::{Model, TaskTime, WorkerFaults};

use crate::fixtures::{
    busy_worker, job_spec, long_running_job, new_model, queue, state, step, task_id,
};

/// The job whose task crashes each worker that starts it.
const CRASHING_JOB: JobId = JobId(9_999);

/// Five crashes, each noticed when a lease expires, with all the pauses between them, and as long again.
const LONG_MS: u64 = 120_000;

/// A run that is watched is known to have survived its start by then: lists have to prove it alive for
/// 80 ms, and come every 60 ms.
const KNOWN_SURVIVAL_MS: u64 = 200;

/// The longest time between two starts of a task that loses its workers.
const RESTART_MS: u64 = 30_000;

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

const FAILED: Option<JobState> = Some(JobState::Ended(JobEnd::Failed));

/// Creates a model in which a task of this job crashes its worker `delay_ms` after its start.
fn model_with_crashing(workers: usize, spec: JobSpec, delay_ms: u64) -> Model {
    let mut model = new_model(workers);
    for number in 0..workers {
        let task_time = TaskTime::CrashesAfter(CRASHING_JOB, delay_ms);
        model.worker_mut(&format!("w{number}")).task_time = task_time;
    }
    model.submit(CRASHING_JOB, &queue(), spec);
    model
}

fn single_task(ms: u64) -> JobSpec {
    job_spec(vec![step(1, 2_000, ms)])
}

/// Runs until a sound task has started once more; returns whether it has.
fn starts_again(model: &mut Model, job: JobId) -> bool {
    let starts = model.start_count(task_id(job, 0));
    model.run_until(RESTART_MS, |model| model.start_count(task_id(job, 0)) > starts)
}

/// Lets a sound task start, and restarts its worker at once, this many times.
fn crash_at_start(model: &mut Model, job: JobId, times: usize) {
    for _ in 0..times {
        assert!(starts_again(model, job));
        let worker = busy_worker(model);
        model.restart_worker(worker.as_str());
    }
}

/// Guards BUDGET on days that are long enough for every pause.
#[test]
fn a_task_that_crashes_its_workers_is_started_a_third_time_after_its_third_crash() {
    let mut model = model_with_crashing(12, single_task(800), 10);

    model.run_for(LONG_MS);

    assert!((3..=5).contains(&model.start_count(task_id(CRASHING_JOB, 0))));
    assert_eq!(state(&model, CRASHING_JOB), FAILED);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_gang_of_which_a_member_crashes_its_workers_is_given_up() {
    let gang = Step { gang: true, ..step(3, 2_000, 800) };
    let mut model = model_with_crashing(12, job_spec(vec![gang]), 10);

    model.run_for(LONG_MS);

    assert!((3..=5).contains(&model.start_count(task_id(CRASHING_JOB, 0))));
    assert_eq!(state(&model, CRASHING_JOB), FAILED);
}

#[test]
fn a_task_that_lasts_and_crashes_its_workers_is_given_up_however_small_the_pool_is() {
    for workers in 1..5 {
        let mut model = model_with_crashing(workers, long_running_job(1, 0), 10);

        model.run_for(LONG_MS);

        let starts = model.start_count(task_id(CRASHING_JOB, 0));
        assert!((3..=5).contains(&starts), "{workers} workers: {starts} starts");
        assert_eq!(state(&model, CRASHING_JOB), FAILED, "{workers} workers");
    }
}

/// Guards the count against tasks that start together again and again, of which some have lost more
/// workers than others.
#[test]
fn each_of_many_tasks_that_crash_the_same_workers_is_counted() {
    const JOBS: u64 = 8;
    for workers in 2..6 {
        let mut model = model_with_crashing(workers, single_task(800), 10);
        for number in 1..JOBS {
            model.run_for(1_900);
            model.submit(JobId(CRASHING_JOB.0 + number), &queue(), single_task(800));
        }

        model.run_for(2 * LONG_MS);

        for number in 0..JOBS {
            let starts = model.start_count(task_id(JobId(CRASHING_JOB.0 + number), 0));
            assert!((1..=5).contains(&starts), "{workers} workers, {number}: {starts} starts");
        }
    }
}

/// Guards a sound task whose trial's worker is gone for good: that says nothing about the task.
#[test]
fn a_task_is_tried_once_more_if_the_worker_of_its_trial_never_returns() {
    let mut model = new_model(12);
    let job = JobId(1);
    model.submit(job, &queue(), single_task(2_000));
    crash_at_start(&mut model, job, 3);

    assert!(starts_again(&mut model, job));
    let worker = busy_worker(&model);
    model.lose_worker(worker.as_str());
    let is_started = starts_again(&mut model, job);
    let done = model.run_until(5_000, |model| state(model, job) == SUCCEEDED);

    assert!(is_started);
    assert!(done, "{:?}", state(&model, job));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// Guards against a third trial of a task none of whose trials had a known outcome.
#[test]
fn a_task_both_of_whose_trials_were_lost_for_good_is_given_up() {
    let mut model = new_model(12);
    let job = JobId(1);
    model.submit(job, &queue(), single_task(2_000));
    crash_at_start(&mut model, job, 3);

    for _ in 0..2 {
        assert!(starts_again(&mut model, job));
        let worker = busy_worker(&model);
        model.lose_worker(worker.as_str());
    }
    let is_started = starts_again(&mut model, job);

    assert!(!is_started);
    assert_eq!(state(&model, job), FAILED);
}

/// Guards a sound task against cuts that begin as it starts: a cut is no crash.
#[test]
fn a_task_whose_workers_are_cut_off_as_it_starts_is_not_given_up() {
    let mut model = new_model(12);
    let job = JobId(1);
    model.submit(job, &queue(), single_task(8_000));

    for _ in 0..8 {
        assert!(starts_again(&mut model, job));
        let worker = model.ordered_worker(task_id(job, 0)).expect("an order to start the task");
        let now = model.now();
        model.worker_mut(worker.as_str()).partition_for(now, 7_000);
    }
    let done = model.run_until(60_000, |model| state(model, job) == SUCCEEDED);

    assert!(done, "{:?}", state(&model, job));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// Guards against crashes that are held against a task although it has been at work since.
#[test]
fn a_run_that_survives_its_start_clears_the_crashes_before_it_also_for_the_next_owner() {
    let mut model = new_model(12);
    let job = JobId(1);
    model.submit(job, &queue(), single_task(3_000));

    for crashes in [3, 2, 2] {
        crash_at_start(&mut model, job, crashes);
        assert!(starts_again(&mut model, job));
        model.run_for(KNOWN_SURVIVAL_MS + 100);
        model.kill_owner();
        model.run_for(500);
        model.take_over();
        model.restart_worker(busy_worker(&model).as_str());
    }
    let done = model.run_until(90_000, |model| state(model, job) == SUCCEEDED);

    assert!(done, "{:?}", state(&model, job));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// A change of owners.
#[derive(Clone, Copy, Debug)]
enum OwnerChange {
    /// The owner is lost, and the next one claims the cell after this time, in milliseconds.
    Lost(u64),
    HandedOver,
}

fn owner_change() -> impl Strategy<Value = OwnerChange> {
    prop_oneof![(500_u64..3_000).prop_map(OwnerChange::Lost), Just(OwnerChange::HandedOver)]
}

fn change_owner(model: &mut Model, change: OwnerChange) {
    match change {
        OwnerChange::Lost(ms) => {
            model.kill_owner();
            model.run_for(ms);
        }
        OwnerChange::HandedOver => model.hand_over(),
    }
    model.take_over();
}

/// Guards the count against crashes each of which is lost with the owner before it is noticed.
#[test]
fn three_crashes_that_no_owner_has_noticed_cost_no_start_too_many() {
    let mut model = model_with_crashing(2, single_task(800), 0);

    for (after_ms, change) in [
        (2_513, OwnerChange::HandedOver),
        (5_852, OwnerChange::Lost(500)),
        (8_665, OwnerChange::Lost(500)),
    ] {
        model.run_for(after_ms);
        change_owner(&mut model, change);
    }
    model.run_for(LONG_MS);

    let starts = model.start_count(task_id(CRASHING_JOB, 0));
    assert!((3..=5).contains(&starts), "{starts} starts");
}

/// Guards a sound task against a start that its owner had not made as a trial, and that the next owner
/// counts as one because its job is of an earlier term. The worker restarts once more as the next owner
/// has heard it, which is how the next owner knows of a crash.
#[test]
fn a_start_that_was_not_made_as_a_trial_gives_no_task_up_after_a_change_of_owners() {
    for (change, heard_ms) in changes_and_times() {
        let mut model = new_model(6);
        let job = JobId(1);
        model.submit(job, &queue(), single_task(2_000));
        crash_at_start(&mut model, job, 2);
        assert!(starts_again(&mut model, job));
        let worker = busy_worker(&model);

        model.restart_worker(worker.as_str());
        change_owner(&mut model, change);
        model.run_for(heard_ms);
        model.restart_worker(worker.as_str());
        let done = model.run_until(LONG_MS, |model| state(model, job) == SUCCEEDED);

        assert!(done, "{change:?}, {heard_ms}: {:?}", state(&model, job));
        assert_eq!(model.violations(), &[] as &[String], "{change:?}, {heard_ms}");
    }
}

/// Changes of owners, with the times after them until a worker restarts, in milliseconds.
fn changes_and_times() -> impl Iterator<Item = (OwnerChange, u64)> {
    let changes = [OwnerChange::Lost(500), OwnerChange::Lost(3_000), OwnerChange::HandedOver];
    changes.into_iter().flat_map(|change| (100..2_000).step_by(100).map(move |ms| (change, ms)))
}

/// Guards a sound task against a start that its owner planned as it handed over: the order never left,
/// and the worker goes on.
#[test]
fn a_start_whose_order_never_left_counts_as_no_loss_of_its_worker() {
    let mut model = new_model(4);
    let job = JobId(1_000);
    model.submit(job, &queue(), long_running_job(3, 3));
    for (number, tasks, ms, pause_ms) in [(1, 2, 1_368, 381), (2, 1, 100, 123)] {
        submit(&mut model, number, (tasks, ms), pause_ms);
    }
    model.delay_answers("w0", [139, 33, 0, 258, 449]);
    submit(&mut model, 3, (3, 1_000), 864);

    restart_at_once(&mut model, "w0", 644);
    submit(&mut model, 4, (1, 117), 572);
    restart_at_once(&mut model, "w1", 50);
    submit(&mut model, 5, (1, 817), 765);
    change_owner(&mut model, OwnerChange::HandedOver);
    submit(&mut model, 6, (2, 772), 777);
    restart_at_once(&mut model, "w0", 1_335);
    model.run_for(LONG_MS);

    assert_eq!(state(&model, job), Some(JobState::Running));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// Guards a task that has lost a worker against a start that is withheld for ever, as it takes the one
/// place of a worker that was too slow itself.
#[test]
fn a_task_that_has_lost_a_worker_starts_on_one_that_was_too_slow() {
    let mut model = new_model(4);
    let job = JobId(3);
    model.submit(JobId(1_000), &queue(), long_running_job(3, 3));
    submit(&mut model, 1, (2, 100), 630);
    restart_at_once(&mut model, "w2", 50);
    submit(&mut model, 2, (2, 100), 943);
    restart_at_once(&mut model, "w1", 134);
    submit(&mut model, job.0, (5, 429), 124);
    model.make_unreachable("w3", 1_714);
    submit(&mut model, 4, (3, 1_070), 1_018);
    model.make_unreachable("w0", 4_131);
    submit(&mut model, 5, (4, 677), 1_246);
    let now = model.now();
    model.worker_mut("w3").partition_for(now, 2_191);

    let done = model.run_until(RESTART_MS, |model| state(model, job) == SUCCEEDED);

    assert!(done, "{:?}", state(&model, job));
}

/// Submits a job of this many tasks, each of which takes `ms`, and waits.
fn submit(model: &mut Model, number: u64, (tasks, ms): (u32, u64), pause_ms: u64) {
    model.submit(JobId(number), &queue(), job_spec(vec![step(tasks, 4_000, ms)]));
    model.run_for(pause_ms);
}

/// Restarts a worker that can't be reached for this time.
fn restart_at_once(model: &mut Model, id: &str, away_ms: u64) {
    let wall_ms = model.wall_ms();
    model.restart_worker_at(id, wall_ms, away_ms);
}

/// Guards the count against a first loss that is on record while no later attempt is: the next owner
/// would give the next one the same number, and take its loss for the one that it knows.
#[test]
fn the_first_attempt_after_a_change_of_owner_is_not_taken_for_the_one_that_was_lost() {
    let mut model = model_with_crashing(3, single_task(800), 0);
    let faults = WorkerFaults { lost_answers: 2, ..WorkerFaults::default() };
    model.set_faults("w2", faults);
    for after_ms in [1_000, 8_665] {
        model.run_for(after_ms);
        change_owner(&mut model, OwnerChange::Lost(500));
    }
    let is_loss = |event: &LogEvent| matches!(event, LogEvent::RunLost { .. });
    assert!(model.run_until(LONG_MS, |model| model.log_events().iter().any(is_loss)));

    model.run_for(1_000);
    change_owner(&mut model, OwnerChange::Lost(500));
    model.run_for(LONG_MS);

    let starts = model.start_count(task_id(CRASHING_JOB, 0));
    assert!((3..=5).contains(&starts), "{starts} starts");
    assert_eq!(state(&model, CRASHING_JOB), FAILED);
}

/// Guards the count against owners that are lost in the moment in which they note a loss or start the
/// task: nothing of it is on record.
#[test]
fn owners_that_are_lost_as_they_start_a_task_cost_no_start_too_many() {
    let mut model = model_with_crashing(2, single_task(800), 0);
    let is_loss = |event: &LogEvent| matches!(event, LogEvent::RunLost { .. });
    assert!(model.run_until(LONG_MS, |model| model.log_events().iter().any(is_loss)));
    change_owner(&mut model, OwnerChange::Lost(500));
    for _ in 0..2 {
        let placed = |model: &Model| {
            let is_placed = |event: &&LogEvent| matches!(event, LogEvent::Placed { .. });
            model.log_events().iter().filter(is_placed).count()
        };
        let before = placed(&model);
        assert!(model.run_until(LONG_MS, |model| placed(model) > before));
        change_owner(&mut model, OwnerChange::Lost(500));
    }

    model.run_for(LONG_MS);

    let starts = model.start_count(task_id(CRASHING_JOB, 0));
    assert!((3..=5).contains(&starts), "{starts} starts");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn a_task_that_is_alive_after_its_start_is_never_given_up(
        crashes in prop::collection::vec(
            (KNOWN_SURVIVAL_MS..1_500, any::<bool>(), prop::option::of(owner_change())),
            1..10,
        ),
        workers in 2_usize..12,
    ) {
        let mut model = new_model(workers);
        let job = JobId(1);
        model.submit(job, &queue(), single_task(2_000));
        for (alive_ms, is_answer_lost, change) in crashes {
            prop_assert!(starts_again(&mut model, job), "{:?}", state(&model, job));
            model.run_for(alive_ms);
            let worker = busy_worker(&model);
            model.restart_worker(worker.as_str());
            if is_answer_lost {
                let faults = WorkerFaults { lost_answers: 1, ..WorkerFaults::default() };
                model.set_faults(worker.as_str(), faults);
            }
            if let Some(change) = change {
                change_owner(&mut model, change);
            }
        }

        let done = model.run_until(RESTART_MS, |model| state(model, job) == SUCCEEDED);

        prop_assert!(done, "{:?}", state(&model, job));
        prop_assert_eq!(model.violations(), &[] as &[String]);
    }

    #[test]
    fn a_task_that_crashes_its_workers_is_never_started_a_third_time_after_its_third_crash(
        delay_ms in 0_u64..40,
        workers in 2_usize..12,
        // Each may come before the loss that the owner would have noted.
        early_changes in prop::collection::vec((1_000_u64..15_000, owner_change()), 0..=2),
        changes in prop::collection::vec((1_000_u64..15_000, owner_change()), 0..6),
        lost_answers in prop::collection::vec(any::<bool>(), 12),
    ) {
        let mut model = model_with_crashing(workers, single_task(800), delay_ms);
        for number in (0..workers).filter(|number| lost_answers[*number]) {
            let faults = WorkerFaults { lost_answers: 2, ..WorkerFaults::default() };
            model.set_faults(&format!("w{number}"), faults);
        }
        for (after_ms, change) in early_changes {
            model.run_for(after_ms);
            change_owner(&mut model, change);
        }
        let is_loss = |event: &LogEvent| matches!(event, LogEvent::RunLost { .. });
        model.run_until(LONG_MS, |model| model.log_events().iter().any(is_loss));
        for (after_ms, change) in changes {
            model.run_for(after_ms);
            change_owner(&mut model, change);
        }

        let is_given_up =
            model.run_until(LONG_MS, |model| state(model, CRASHING_JOB) == FAILED);
        model.run_for(RESTART_MS);

        let starts = model.start_count(task_id(CRASHING_JOB, 0));
        prop_assert!(is_given_up, "{} starts", starts);
        prop_assert!((3..=5).contains(&starts), "{} starts", starts);
    }
}
