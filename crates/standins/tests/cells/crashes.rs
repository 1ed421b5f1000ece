//! Tests of tasks that crash the workers that start them.

use teaselgap_core::{
    Span,
    job::{JobEnd, JobId, JobState, LogEvent, TaskId},
};
use teaselgap_standins::model::{Model, TaskTime};

use crate::fixtures::{
    busy_worker, job_spec, long_running_job, new_model, queue, state, step, task_id,
};

/// The job whose task crashes each worker that starts it. Those of jobs with higher numbers do, too.
const CRASHING_JOB: JobId = JobId(9_999);

/// The least and the most starts of such a task. The users allow two after the third crash.
const STARTS: std::ops::RangeInclusive<u32> = 3..=5;

/// Longer than the longest pause of such a task.
const LONGEST_PAUSE_MS: u64 = 10_000;

const FAILED: Option<JobState> = Some(JobState::Ended(JobEnd::Failed));

const SUCCEEDED: Option<JobState> = Some(JobState::Ended(JobEnd::Succeeded));

/// Longer than three crashes take, each of which is noticed when a lease expires.
const THREE_CRASHES_MS: u64 = 30_000;

/// How long after the end of the traffic the users ask for each accepted job (`finish_s`).
const FINISH_MS: u64 = 14_000;

fn crashing_jobs(count: u64) -> impl Iterator<Item = JobId> {
    (0..count).map(|number| JobId(CRASHING_JOB.0 + number))
}

fn model_with_crashing_jobs(workers: usize, jobs: u64) -> Model {
    let mut model = new_model(workers);
    for number in 0..workers {
        model.worker_mut(&format!("w{number}")).task_time = TaskTime::CrashesOn(CRASHING_JOB);
    }
    for job in crashing_jobs(jobs) {
        model.submit(job, &queue(), job_spec(vec![step(1, 2_000, 800)]));
    }
    model
}

fn model_with_crashing_job(workers: usize) -> Model {
    model_with_crashing_jobs(workers, 1)
}

/// Returns how often the tasks of the first `jobs` crashing jobs have started.
fn crashing_starts(model: &Model, jobs: u64) -> u32 {
    crashing_jobs(jobs).map(|job| model.start_count(task_id(job, 0))).sum()
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

    model.run_for(2 * THREE_CRASHES_MS);
    let starts = crashing_starts(&model, 1);
    model.run_for(6 * LONGEST_PAUSE_MS);

    assert!(STARTS.contains(&starts), "{starts} starts in a minute");
    assert_eq!(crashing_starts(&model, 1), starts);
    assert_eq!(state(&model, CRASHING_JOB), FAILED);
}

/// Guards the pool against many such tasks: each is paused, but all of them together may not take the
/// pool away from the others.
#[test]
fn many_tasks_that_crash_their_workers_leave_the_pool_to_others() {
    let crashing = 12;
    let mut model = model_with_crashing_jobs(12, crashing);
    model.run_for(THREE_CRASHES_MS);
    let starts_before = crashing_starts(&model, crashing);

    let jobs = submit_steadily(&mut model, 60_000);
    let starts = crashing_starts(&model, crashing) - starts_before;
    let all_done = |model: &Model| jobs.iter().all(|job| state(model, *job) == SUCCEEDED);
    let done = model.run_until(15_000, all_done);
    let open = |model: &Model| {
        crashing_jobs(crashing).filter(|job| state(model, *job) == Some(JobState::Running)).count()
    };
    let all_given_up = model.run_until(2 * THREE_CRASHES_MS, |model| open(model) == 0);

    // One at a time, for 5 s each.
    assert!((4..=13).contains(&starts), "{starts} starts in a minute");
    assert!(done);
    for job in crashing_jobs(crashing) {
        let starts = model.start_count(task_id(job, 0));
        assert!(STARTS.contains(&starts), "{job}: {starts} starts");
        assert_ne!(state(&model, job), SUCCEEDED, "{job}");
    }
    assert!(all_given_up);
    assert_eq!(model.violations(), &[] as &[String]);
}

#[test]
fn tasks_that_run_beside_one_that_crashes_its_workers_are_not_given_up() {
    let mut model = model_with_crashing_job(12);

    let jobs = submit_steadily(&mut model, THREE_CRASHES_MS);
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
    let starts = crashing_starts(&model, 1);
    model.run_for(6 * LONGEST_PAUSE_MS);

    assert!(STARTS.contains(&crashing_starts(&model, 1)), "{starts} starts in a minute");
    assert_eq!(state(&model, CRASHING_JOB), FAILED);
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
    assert!(model.run_until(THREE_CRASHES_MS, |model| model.start_count(task) > starts));
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
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut model = new_model(12);
    for number in 0..12 {
        model.worker_mut(&format!("w{number}")).task_time = TaskTime::CrashesOn(CRASHING_JOB);
    }

    model.submit(CRASHING_JOB, &queue(), long_running_job(1, 1));
    model.run_for(2 * THREE_CRASHES_MS);
    let (starts, shown) = (crashing_starts(&model, 1), state(&model, CRASHING_JOB));
    model.run_for(12 * LONGEST_PAUSE_MS);

    assert!(STARTS.contains(&starts), "{starts} starts in a minute");
    assert_eq!(crashing_starts(&model, 1), starts);
    assert_eq!(shown, FAILED);
}

/// Issue 11, review/4: a job was shown as failed although none of its runs ended so.
#[test]
fn a_job_none_of_whose_runs_ended_failed_is_not_shown_as_failed_however_many_workers_crash() {
    let mut model = new_model(9);
    let (job, task) = (JobId(1), task_id(JobId(1), 0));
    model.submit(job, &queue(), job_spec(vec![step(1, 2_000, 2_000)]));
    run_until_started(&mut model, task);

    for crashes in 1..=6 {
        model.restart_worker(busy_worker(&model).as_str());
        let is_started = model.run_until(FINISH_MS, |model| model.start_count(task) > crashes);
        assert!(is_started, "{crashes} crashes: {:?}", state(&model, job));
        model.run_for(100);
    }
    let done = model.run_until(5_000, |model| state(model, job) == SUCCEEDED);

    assert!(done, "{:?}", state(&model, job));
    assert_eq!(model.crash_count(task), 6);
    assert_eq!(model.violations(), &[] as &[String]);
}

/// Guards a sound task against a pause for racks that crash: a whole rack that is lost in the same
/// moment says nothing about what it ran.
#[test]
fn racks_that_crash_under_a_task_do_not_pause_it() {
    let mut model = new_model(8);
    let (job, task) = (JobId(1), task_id(JobId(1), 0));
    model.submit(job, &queue(), job_spec(vec![step(1, 2_000, 4_000)]));
    run_until_started(&mut model, task);

    for crashes in 1..=5 {
        model.run_for(1_500);
        let first: usize = if busy_worker(&model).as_str() < "w4" { 0 } else { 4 };
        for number in first..first + 4 {
            model.restart_worker(&format!("w{number}"));
        }
        let is_started = model.run_until(3_000, |model| model.start_count(task) > crashes);
        assert!(is_started, "{crashes} racks");
    }
    let done = model.run_until(10_000, |model| state(model, job) == SUCCEEDED);

    assert!(done, "{:?}", state(&model, job));
    assert_eq!(model.violations(), &[] as &[String]);
}

/// By how much a pause may be longer after a change of the owner, as the clocks of two nodes may differ, in
/// milliseconds.
const CLOCK_DIFFERENCE_MS: u64 = 2_500;

/// Longer than a new owner takes until it plans what it has inherited, if each worker answers it.
const RECOVERY_MS: u64 = 1_000;

/// The longest time from the beginning of a pause to the next start, however often the owner changes.
const LONGEST_TIME_PAUSED: Span = Span(LONGEST_PAUSE_MS + CLOCK_DIFFERENCE_MS + RECOVERY_MS);

/// Crashes workers under a task until it pauses for as long as a task may, and then changes the owner four
/// times. Returns how long the task has then been away from the pause on.
fn time_paused(change_owner: impl Fn(&mut Model)) -> Span {
    let mut model = new_model(9);
    let (job, task) = (JobId(1), task_id(JobId(1), 0));
    model.submit(job, &queue(), job_spec(vec![step(1, 2_000, 2_000)]));
    run_until_started(&mut model, task);
    let is_longest = |event: &LogEvent| matches!(event, LogEvent::TaskPaused { pause, .. } if pause.0 == LONGEST_PAUSE_MS);
    let pauses = |model: &Model| model.log_events().iter().any(is_longest);
    while !pauses(&model) {
        let starts = model.start_count(task);
        model.restart_worker(busy_worker(&model).as_str());
        let goes_on = |model: &Model| pauses(model) || model.start_count(task) > starts;
        assert!(model.run_until(FINISH_MS, goes_on), "{:?}", state(&model, job));
        model.run_for(100);
    }
    let (paused_at, starts) = (model.now(), model.start_count(task));

    for _ in 0..4 {
        model.run_for(2_500);
        change_owner(&mut model);
    }
    let is_started = |model: &Model| model.start_count(task) > starts;
    assert!(model.run_until(10 * LONGEST_PAUSE_MS, is_started), "{:?}", state(&model, job));

    assert_eq!(model.violations(), &[] as &[String]);
    model.now().since(paused_at)
}

/// Guards against owners that each begin the pause of a task anew, so that it lasts as long as owners change.
#[test]
fn the_pause_of_a_task_does_not_begin_anew_with_each_owner_that_hands_over() {
    let paused = time_paused(|model| {
        model.hand_over();
        model.take_over();
    });

    assert!(paused <= LONGEST_TIME_PAUSED, "{paused}");
}

/// The same with owners that are lost, whose log may have no write since the pause began.
#[test]
fn the_pause_of_a_task_does_not_begin_anew_with_each_owner_that_is_lost() {
    let paused = time_paused(|model| {
        model.kill_owner();
        model.take_over();
    });

    assert!(paused <= LONGEST_TIME_PAUSED, "{paused}");
}
