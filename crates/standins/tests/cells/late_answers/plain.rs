//! Single histories of orders that were sent twice.

use indexmap::IndexMap;
use teaselgap_core::{
    Span,
    job::{DrainMode, JobId, TaskId, WorkerId},
};
use teaselgap_standins::model::{CallKind, Fate, Model};

use crate::fixtures::{
    job_spec, new_model, new_model_with_valid_late_orders, queue, step, task_id,
};

const JOB: JobId = JobId(7);

/// How late the answers to start orders are, in milliseconds: a second copy has left by then.
const LATE_MS: u64 = 290;

/// Time from the orders until a worker is drained, in milliseconds.
const DRAINED_MS: u64 = 2_000;

/// Time from the drain until the stopped tasks run elsewhere, in milliseconds: the stop, the list, and the next order.
const RESTARTED_MS: u64 = 1_500;

/// How long a task runs that is stopped meanwhile, in milliseconds.
const TASK_MS: u64 = 10_000;

/// Number of tasks that are ordered at once.
const TASKS: u32 = 12;

/// Time within which a copy without an answer may be carried out, in milliseconds.
const ORDER_LIFETIME_MS: u64 = 15_000;

/// When the copy without an answer comes, in milliseconds after the order.
const COMES_MS: u64 = 8_000;

/// Time for which the worker is away before that, and for how long it is back by then, in milliseconds.
const AWAY_MS: u64 = 300;
const BACK_MS: u64 = 10;

fn drain(model: &mut Model, worker: &WorkerId) {
    let drains = IndexMap::from([(worker.clone(), DrainMode::StopAll)]);
    model.cell_mut().expect("an owner").set_drains(drains);
}

fn runs_on(model: &Model, worker: &WorkerId) -> Vec<TaskId> {
    let worker = model.workers().find(|one| one.entry.id == *worker).expect("a worker");
    (0..TASKS).map(|index| task_id(JOB, index)).filter(|task| worker.is_running(*task)).collect()
}

/// Twelve orders at once are sent twice, and a worker is drained two seconds later.
#[test]
fn stopped_tasks_start_elsewhere_although_their_orders_were_answered_late() {
    let mut model = new_model(3);
    model.let_copies_cross();
    for id in ["w0", "w1", "w2"] {
        model.delay_answers(id, [LATE_MS; 100]);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(TASKS, 1_000, TASK_MS)]));
    model.run_for(DRAINED_MS);
    let worker = model.ordered_worker(task_id(JOB, 0)).expect("an order");
    let stopped = runs_on(&model, &worker);

    drain(&mut model, &worker);
    let run_again = model.run_until(RESTARTED_MS, |model| {
        let runs_elsewhere = |task: &TaskId| {
            model.workers().any(|one| one.entry.id != worker && one.is_running(*task))
        };
        stopped.iter().all(runs_elsewhere)
    });

    assert_eq!(model.crossed_orders(), TASKS);
    assert_ne!(stopped, []);
    assert!(run_again);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// One copy is answered, and the other one comes in the next life of the worker, before the first call to that.
#[test]
fn a_stopped_task_waits_for_a_copy_without_an_answer_that_comes_in_the_next_life() {
    let mut model = new_model_with_valid_late_orders(2);
    model.let_copies_cross();
    model.count_every_start();
    let comes_at = model.now() + Span(COMES_MS);
    for id in ["w0", "w1"] {
        model.script_fates(id, CallKind::Start, &[Fate::Late(comes_at), Fate::Answered]);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(1, 1_000, TASK_MS)]));
    model.run_for(DRAINED_MS);
    let worker = model.ordered_worker(task_id(JOB, 0)).expect("an order");
    let other = if worker.as_str() == "w0" { "w1" } else { "w0" };
    model.drop_fates(other);

    drain(&mut model, &worker);
    let left = comes_at.since(model.now()).0;
    model.run_for(left - AWAY_MS - BACK_MS);
    let starts_before = model.start_count(task_id(JOB, 0));
    let wall_ms = model.wall_ms();
    model.restart_worker_at(worker.as_str(), wall_ms, AWAY_MS);
    model.run_for(AWAY_MS + 2 * BACK_MS);
    let starts_then = model.start_count(task_id(JOB, 0));
    let starts_elsewhere = model.run_until(2 * ORDER_LIFETIME_MS, |model| {
        model.ordered_worker(task_id(JOB, 0)).is_some_and(|id| id.as_str() == other)
    });

    assert_eq!((starts_before, starts_then), (1, 2), "the copy begins the task again");
    assert!(starts_elsewhere);
    assert_eq!(model.violations(), [] as [&str; 0]);
}
