//! Tests of placement under load: bursts that exceed the pool's capacity, drains and slow workers.

use teaselgap_core::job::{
    DrainMode, EndKind, JobEnd, JobId, JobState, LogEvent, Resources, Step, WorkerEntry,
};
use teaselgap_standins::model::{Model, TaskTime};

use crate::fixtures::{job_spec, long_running_job, new_model, queue, state, step};

/// Returns the finished jobs with the time from their arrival to their end, in milliseconds.
fn completion_times(model: &Model) -> Vec<(JobId, u64)> {
    let finished_job = |event: &LogEvent| match event {
        LogEvent::Finished { job, after, .. } => Some((*job, after.0)),
        _ => None,
    };
    model.log_events().iter().filter_map(finished_job).collect()
}

/// Submits twice as many jobs as one worker can run: one every 400 ms, whose two tasks fill the
/// worker for 800 ms.
fn submit_burst(model: &mut Model, jobs: u64) {
    for number in 0..jobs {
        model.submit(JobId(number), &queue(), job_spec(vec![step(2, 16_000, 800)]));
        model.run_for(400);
    }
}

/// Latency objective of the jobs of a burst, in milliseconds: 1.6 times 800 ms, plus 600 ms.
const OBJECTIVE_MS: u64 = 1_880;

#[test]
fn under_overload_jobs_that_can_still_be_on_time_run_before_those_that_cannot() {
    let mut model = new_model(1);

    submit_burst(&mut model, 40);
    let all_done = model.run_until(60_000, |model| {
        let succeeded = Some(JobState::Ended(JobEnd::Succeeded));
        (0..40).all(|number| state(model, JobId(number)) == succeeded)
    });

    // In the order of arrival, all but the first few jobs would wait longer than the objective.
    let on_time =
        completion_times(&model).iter().filter(|(_, after)| *after <= OBJECTIVE_MS + 200).count();
    assert!(all_done);
    assert!(on_time >= 15, "{on_time} of 40 on time");
}

#[test]
fn a_job_whose_tasks_always_fail_ends_as_failed_and_does_not_block_others() {
    let mut model = new_model(2);
    for id in ["w0", "w1"] {
        model.worker_mut(id).task_time = TaskTime::FailsAfter(100);
    }
    model.submit(JobId(1), &queue(), job_spec(vec![step(3, 1_000, 800)]));

    let failed = model
        .run_until(4_000, |model| state(model, JobId(1)) == Some(JobState::Ended(JobEnd::Failed)));
    for id in ["w0", "w1"] {
        model.worker_mut(id).task_time = TaskTime::AsEstimated;
    }
    model.submit(JobId(2), &queue(), job_spec(vec![step(3, 1_000, 800)]));
    let done = model.run_until(4_000, |model| {
        state(model, JobId(2)) == Some(JobState::Ended(JobEnd::Succeeded))
    });

    assert!(failed);
    assert!(done);
}

#[test]
fn long_running_tasks_keep_as_many_workers_as_their_memory_needs() {
    let mut model = new_model(4);
    let mut heavy = long_running_job(4, 1);
    heavy.steps[0].need.memory_mb = 60_000;

    model.submit(JobId(1), &queue(), heavy);
    model.run_for(1_000);
    let load = model.cell().unwrap().load(model.now());

    // Two of the four tasks fit on a worker of 128 GB, and one more worker is kept in reserve.
    assert_eq!(load.floor_workers, 3);
}

/// Guards against an entry of another writer in the list of workers.
#[test]
fn a_listed_worker_that_never_answers_does_not_change_how_many_workers_a_pool_needs() {
    let mut model = new_model(4);
    model.submit(JobId(1), &queue(), long_running_job(4, 1));
    model.run_for(1_000);
    let now = model.now();
    let mut entries: Vec<WorkerEntry> =
        model.workers().map(|worker| worker.entry.clone()).collect();
    entries.push(WorkerEntry {
        id: "odd".into(),
        capacity: Resources::default(),
        ..entries[0].clone()
    });

    let cell = model.cell_mut().unwrap();
    let before = cell.load(now).floor_workers;
    cell.update_workers(entries, true, now);
    let after = cell.load(now).floor_workers;

    assert_eq!((before, after), (2, 2));
}

#[test]
fn a_drain_does_not_stop_a_long_running_task_that_fits_on_no_other_worker() {
    let mut model = new_model(2);
    let mut heavy = long_running_job(2, 1);
    heavy.steps[0].need.memory_mb = 100_000;
    model.submit(JobId(1), &queue(), heavy);
    model.run_for(2_000);

    let drains = [("w0".into(), DrainMode::WaitForRuns)].into_iter().collect();
    model.cell_mut().unwrap().set_drains(drains);
    model.run_for(2_000);

    assert_eq!(model.end_count(EndKind::Stopped), 0);
}

/// Starts a job with one task on each of two workers; its tasks save checkpoints and take six
/// seconds.
fn submit_checkpointed_job(model: &mut Model) {
    let spec = Step { checkpoints: true, max_per_worker: Some(1), ..step(2, 4_000, 6_000) };
    model.submit(JobId(1), &queue(), job_spec(vec![spec]));
    model.run_for(1_500);
}

#[test]
fn a_drain_for_another_pool_stops_tasks_that_save_checkpoints_at_once() {
    let mut model = new_model(3);
    submit_checkpointed_job(&mut model);
    let busy = model.workers().find(|worker| worker.run_count() > 0).unwrap().entry.id.clone();

    model
        .cell_mut()
        .unwrap()
        .set_drains([(busy.clone(), DrainMode::StopCheckpointed)].into_iter().collect());
    model.run_for(600);
    let drained = model.cell().unwrap().drained_workers();
    let done = model.run_until(8_000, |model| {
        state(model, JobId(1)) == Some(JobState::Ended(JobEnd::Succeeded))
    });

    assert_eq!(drained, [busy]);
    assert!(done);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn a_drain_does_not_stop_a_checkpointed_task_that_fits_on_no_other_worker() {
    let mut model = new_model(2);
    submit_checkpointed_job(&mut model);

    model
        .cell_mut()
        .unwrap()
        .set_drains([("w0".into(), DrainMode::StopCheckpointed)].into_iter().collect());
    model.run_for(600);

    assert_eq!(model.end_count(EndKind::Stopped), 0);
}

#[test]
fn workers_that_become_idle_soonest_are_given_up_first() {
    let mut model = new_model(2);
    model.submit(JobId(1), &queue(), job_spec(vec![step(1, 24_000, 4_000)]));
    model.run_for(200);
    model.submit(JobId(2), &queue(), job_spec(vec![step(3, 10_000, 500)]));
    model.run_for(200);
    let soonest_idle =
        model.workers().find(|worker| worker.run_count() > 1).unwrap().entry.id.clone();

    let load = model.cell().unwrap().load(model.now());

    assert_eq!(load.spare.first(), Some(&soonest_idle));
}

/// Time within which the jobs of [`run_with_one_slow_worker`] end if each task on the slow worker
/// is moved to another one once, in milliseconds.
const RELOCATION_DEADLINE_MS: u64 = 3_500;

/// Runs ten jobs, each with tasks on all three workers, the first of which runs its tasks with
/// `time`. Returns the model and the number of jobs that ended within the deadline.
fn run_with_one_slow_worker(time: TaskTime) -> (Model, usize) {
    let mut model = new_model(3);
    model.worker_mut("w0").task_time = time;
    for number in 0..10 {
        model.submit(JobId(number), &queue(), job_spec(vec![step(3, 2_000, 800)]));
        model.run_for(50);
    }
    model.run_for(RELOCATION_DEADLINE_MS);
    let done = completion_times(&model).len();
    (model, done)
}

#[test]
fn stalled_tasks_are_moved_to_another_worker() {
    let (model, done) = run_with_one_slow_worker(TaskTime::Stalls);

    assert_eq!(done, 10);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn tasks_on_a_worker_that_is_many_times_slower_are_moved_to_another_worker() {
    let (model, done) = run_with_one_slow_worker(TaskTime::Percent(700));

    assert_eq!(done, 10);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

#[test]
fn tasks_of_a_job_that_takes_longer_than_declared_are_not_moved() {
    let mut model = new_model(3);
    for id in ["w0", "w1", "w2"] {
        model.worker_mut(id).task_time = TaskTime::Percent(700);
    }

    model.submit(JobId(1), &queue(), job_spec(vec![step(9, 2_000, 400)]));
    model.run_for(4_000);

    assert_eq!(completion_times(&model).len(), 1);
    assert_eq!(model.end_count(EndKind::Stopped), 0);
}

#[test]
fn arriving_load_counts_with_the_actual_and_not_the_declared_task_times_of_its_queue() {
    let mut model = new_model(2);
    for id in ["w0", "w1"] {
        model.worker_mut(id).task_time = TaskTime::Percent(500);
    }
    model.submit(JobId(1), &queue(), job_spec(vec![step(16, 2_000, 200)]));
    model.run_for(2_000);
    let arrived_before = model.cell().unwrap().load(model.now()).arrived_milli_s;

    model.submit(JobId(2), &queue(), job_spec(vec![step(4, 2_000, 200)]));
    let arrived = model.cell().unwrap().load(model.now()).arrived_milli_s - arrived_before;

    // The tasks take eight core-seconds, of which the job declares a fifth.
    assert!((6_000..=8_000).contains(&arrived), "{arrived}");
}

#[test]
fn small_tasks_that_arrive_later_do_not_starve_a_large_task() {
    let mut model = new_model(1);
    for number in 0..8 {
        model.submit(JobId(number), &queue(), job_spec(vec![step(1, 4_000, 800)]));
        model.run_for(40);
    }

    model.submit(JobId(99), &queue(), job_spec(vec![step(1, 24_000, 400)]));
    for number in 8..60 {
        model.submit(JobId(number), &queue(), job_spec(vec![step(1, 4_000, 800)]));
        model.run_for(80);
    }
    let large = completion_times(&model).into_iter().find(|(job, _)| *job == JobId(99));

    // Eight of the small tasks fill the worker, and never enough of them end at the same time to
    // make room for the large one.
    assert!(large.is_some_and(|(_, after)| after <= 2_500), "{large:?}");
}

#[test]
fn a_task_resumed_from_a_checkpoint_does_not_count_as_a_short_task() {
    let mut model = new_model(3);
    let spec = Step { checkpoints: true, ..step(24, 2_000, 4_000) };
    model.submit(JobId(1), &queue(), job_spec(vec![spec]));
    model.run_for(2_000);
    model
        .cell_mut()
        .unwrap()
        .set_drains([("w0".into(), DrainMode::StopCheckpointed)].into_iter().collect());
    model.run_for(4_000);
    let arrived_before = model.cell().unwrap().load(model.now()).arrived_milli_s;

    model.submit(JobId(2), &queue(), job_spec(vec![step(1, 2_000, 4_000)]));
    let arrived = model.cell().unwrap().load(model.now()).arrived_milli_s - arrived_before;

    assert!(model.end_count(EndKind::Stopped) > 0);
    assert!((7_500..=8_500).contains(&arrived), "{arrived}");
}
