//! Tests of two instances of a worker that look alike: they name the same start, and the clock of the later one
//! goes on just where that of the earlier one ended. Only the numbers of the ends that they list tell them apart.

use super::*;

/// The longest time from the end of a run in the earlier instance until that crashes, in milliseconds.
const MAX_LIFE_MS: u64 = 600;

/// Time of a task in the later instance, in milliseconds: some end before a hold is answered there.
const TASK_MS: [u64; 3] = [20, 200, 1_000];

/// Restarts a worker as an instance that looks like the one before.
fn restart_alike(model: &mut Model, id: &str) {
    let worker = model.worker_mut(id);
    worker.next_clock = Some(ClockDraw::Inside(0));
    let started_wall_ms = worker.entry.started_wall_ms;
    model.restart_worker_at(id, started_wall_ms, SHORT_AWAY_MS);
}

/// Creates a model with one worker, on which the owner has read this many ends, and that has restarted alike
/// after `life_ms`.
fn model_with_lives_alike(ends: u32, life_ms: u64) -> Model {
    let mut model = new_model(1);
    model.count_every_start();
    model.submit(JobId(1), &queue(), job_spec(vec![step(ends, 3_500, 300)]));
    model.run_until(SETTLE_MS, |model| model.end_count(EndKind::Done) >= ends as usize);
    model.run_for(life_ms);
    restart_alike(&mut model, "w0");
    model
}

/// A history in which rules were broken, or that was not done in time.
type Broken = (String, Vec<String>, bool);

/// Notes a history that broke a rule or was not done.
fn judge(broken: &mut Vec<Broken>, case: String, model: &Model, is_done: bool) {
    if !is_done || !model.violations().is_empty() {
        broken.push((case, model.violations().to_vec(), is_done));
    }
}

/// Guards against a task that starts again after it was done: an owner that takes the later instance for the
/// earlier one passes over its first ends, as it has read ends of these numbers, and confirms them.
#[test]
fn the_ends_of_an_instance_that_looks_like_the_one_before_are_noted() {
    let (mut plays, mut broken) = (0, Vec::new());
    for (ends, task_ms) in (1..4).flat_map(|ends| TASK_MS.map(|task_ms| (ends, task_ms))) {
        for life_ms in (0..MAX_LIFE_MS).step_by(20) {
            let mut model = model_with_lives_alike(ends, life_ms);

            model.submit(JOB, &queue(), job_spec(vec![step(2, 3_500, task_ms)]));
            let done = model.run_until(MAX_WAIT_MS, is_done);

            plays += 1;
            judge(&mut broken, format!("{:?}", (ends, task_ms, life_ms)), &model, done);
        }
    }
    assert!(broken.is_empty(), "{} of {plays}: {broken:?}", broken.len());
}

/// The same with runs in the earlier instance, which end with it and are of other lengths.
#[test]
fn runs_in_instances_that_look_alike_are_neither_doubled_nor_lost() {
    let (mut plays, mut broken) = (0, Vec::new());
    for life_ms in (0..3_000).step_by(20) {
        let mut model = new_model(2);
        model.count_every_start();
        for job in 1..10 {
            model.submit(JobId(job), &queue(), job_spec(vec![step(3, 3_500, 150 * job)]));
        }
        model.run_for(life_ms);
        restart_alike(&mut model, "w0");
        model.submit(JOB, &queue(), job_spec(vec![step(6, 3_500, 300)]));
        model.run_for(life_ms / 2);
        restart_alike(&mut model, "w0");

        let all_done = |model: &Model| (1..10).all(|job| state(model, JobId(job)) == SUCCEEDED);
        let done = model.run_until(MAX_WAIT_MS, |model| all_done(model) && is_done(model));

        plays += 1;
        judge(&mut broken, life_ms.to_string(), &model, done);
    }
    assert!(broken.is_empty(), "{} of {plays}: {broken:?}", broken.len());
}
