//! Tests of tasks that crash the workers that start them.

use teaselgap_core::job::{JobEnd, JobId, JobState, TaskId};
use teaselgap_standins::model::{Model, TaskTime};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step, task_id};

/// The job whose task crashes each worker that starts it.
const CRASHING_JOB: JobId = JobId(9_999);

/// The most starts of such a task: it may not be started three times more once three workers have
/// crashed under it.
const MAX_STARTS: u32 = 5;

const FAILED: Option<JobState> = Some(JobState::Ended(JobEnd::Failed));

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// Longer than three crashes take, each of which is noticed when a lease expires.
const GIVE_UP_MS: u64 = 30_000;

fn model_with_crashing_job(workers: usize) -> Model {
    let mut model = new_model(workers);
    for number in 0..workers {
        model.worker_mut(&format!("w{number}")).task_time = TaskTime::CrashesOn(CRASHING_JOB);
    }
    model.submit(CRASHING_JOB, &queue(), job_spec(vec![step(1, 2_000, 800)]));
    model
}

/// Submits a job of four tasks every 200 ms for this time. Returns the jobs.
fn submit_steadily(model: &mut Model, duration_ms: u64) -> Vec<JobId> {
    let jobs: Vec<JobId> = (0..duration_ms / 200).map(JobId).collect();
    for job in &jobs {
        model.submit(*job, &queue(), job_spec(vec![step(4, 2_000, 800)]));
        model.run_for(200);
    }
    jobs
}

/// Guards against a task that is started again and again and crashes worker after worker.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut model = model_with_crashing_job(12);

    let is_given_up = model.run_until(GIVE_UP_MS, |model| state(model, CRASHING_JOB) == FAILED);
    model.run_for(GIVE_UP_MS);

    assert!(is_given_up);
    let starts = model.start_count(task_id(CRASHING_JOB, 0));
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

#[test]
fn tasks_that_run_beside_one_that_crashes_its_workers_are_not_given_up() {
    let mut model = model_with_crashing_job(12);

    let jobs = submit_steadily(&mut model, GIVE_UP_MS);
    model.run_for(10_000);

    assert_eq!(state(&model, CRASHING_JOB), FAILED);
    for job in jobs {
        assert_eq!(state(&model, job), SUCCEEDED, "{job}");
    }
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn crashes_under_a_task_are_remembered_when_the_owner_is_lost() {
    let mut model = model_with_crashing_job(12);

    // The owner is lost again and again, each time some seconds after a crash was noticed.
    for _ in 0..6 {
        model.run_for(9_000);
        model.kill_owner();
        model.run_for(500);
        model.take_over();
    }
    model.run_for(GIVE_UP_MS);

    assert_eq!(state(&model, CRASHING_JOB), FAILED);
    let starts = model.start_count(task_id(CRASHING_JOB, 0));
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

#[test]
fn a_task_whose_workers_were_only_partitioned_is_not_given_up() {
    let mut model = new_model(6);
    let job = JobId(1);
    model.submit(job, &queue(), job_spec(vec![step(1, 2_000, 20_000)]));

    for _ in 0..4 {
        model.run_for(2_000);
        let now = model.now();
        let running = model.workers().find(|worker| worker.run_count() > 0);
        if let Some(id) = running.map(|worker| worker.entry.id.clone()) {
            model.worker_mut(id.as_str()).partition_for(now, 9_000);
        }
        model.run_for(9_500);
    }
    let done = model.run_until(60_000, |model| state(model, job) == SUCCEEDED);

    assert!(done);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_rack_that_crashes_fails_no_job() {
    let mut model = new_model(8);
    let jobs = submit_steadily(&mut model, 1_000);

    for _ in 0..2 {
        let (now, wall_ms) = (model.now(), model.wall_ms());
        for number in 0..4 {
            model.worker_mut(&format!("w{number}")).restart(now, wall_ms);
        }
        model.run_for(700);
    }
    let all_done = |model: &Model| jobs.iter().all(|job| state(model, *job) == SUCCEEDED);

    assert!(model.run_until(20_000, all_done));
}

/// Guards a job that lasts against being given up for crashes that have nothing to do with it.
#[test]
fn a_long_running_task_that_is_at_work_is_not_given_up_however_many_workers_crash() {
    let mut model = new_model(2);
    let job = JobId(1);
    model.submit(job, &queue(), long_running_job(1, 0));

    for _ in 0..6 {
        model.run_for(4_000);
        let running = model.workers().find(|worker| worker.run_count() > 0);
        let id = running.expect("a worker that runs the task").entry.id.clone();
        model.restart_worker(id.as_str());
    }
    model.run_for(4_000);

    assert_eq!(state(&model, job), Some(JobState::Running));
    assert_eq!(model.crash_count(task_id(job, 0)), 6);
    assert!(model.workers().any(|worker| worker.run_count() > 0));
}

/// Runs until the task has started once more, and 100 ms longer.
fn run_until_started(model: &mut Model, task: TaskId) {
    let starts = model.start_count(task);
    assert!(model.run_until(GIVE_UP_MS, |model| model.start_count(task) > starts));
    model.run_for(100);
}

/// Issue 39: one unlucky task ended all others of its step.
#[test]
fn a_job_that_lasts_is_not_ended_for_workers_that_crash_as_one_of_its_tasks_starts() {
    let mut model = new_model(6);
    let (job, task) = (JobId(1), task_id(JobId(1), 0));
    model.submit(job, &queue(), long_running_job(6, 1));
    model.run_for(5_000);

    for _ in 0..5 {
        let worker = model.ordered_worker(task).expect("an order to start the task");
        model.restart_worker(worker.as_str());
        run_until_started(&mut model, task);
    }
    model.run_for(5_000);

    assert_eq!(state(&model, job), Some(JobState::Running));
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn a_long_running_task_that_crashes_its_workers_is_not_started_again_and_again() {
    let mut model = new_model(12);
    for number in 0..12 {
        model.worker_mut(&format!("w{number}")).task_time = TaskTime::CrashesOn(CRASHING_JOB);
    }

    model.submit(CRASHING_JOB, &queue(), long_running_job(1, 1));
    model.run_for(6 * GIVE_UP_MS);

    let starts = model.start_count(task_id(CRASHING_JOB, 0));
    assert!((3..=MAX_STARTS).contains(&starts), "{starts} starts");
}
