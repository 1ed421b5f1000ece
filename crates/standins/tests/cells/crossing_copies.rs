//! Start orders that are sent again while their answers are only late.

use indexmap::IndexMap;
use teaselgap_core::{
    Span,
    job::{DrainMode, JobEnd, JobId, JobState, Step, TaskId, WorkerId},
};
use teaselgap_standins::model::{CallKind, Fate, Model};

use crate::fixtures::{
    job_spec, new_model, new_model_with_valid_late_orders, queue, state, step, task_id,
};

const JOB: JobId = JobId(7);

/// How late the answers of a worker are, in milliseconds: later than a copy of an order is sent.
const LATE_MS: u64 = 150;

/// Time from the order until both copies are answered and a list has been asked for since, in milliseconds.
const SETTLED_MS: u64 = 1_000;

fn task() -> TaskId {
    task_id(JOB, 0)
}

/// Creates a model of two workers whose answers are late, and submits a job of one task, which is ordered.
fn order_twice(task_ms: u64) -> Model {
    let mut model = new_model(2);
    model.let_copies_cross();
    for id in ["w0", "w1"] {
        model.delay_answers(id, [LATE_MS; 100]);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, task_ms)]));
    assert!(model.run_until(1_000, |model| model.ordered_worker(task()).is_some()));
    model
}

fn open_starts(model: &Model) -> usize {
    model.cell().expect("an owner").open_starts(model.now())
}

#[test]
fn no_order_is_open_once_both_copies_are_answered() {
    let mut model = order_twice(300);

    model.run_for(SETTLED_MS);
    let crossed = model.crossed_orders();

    assert_eq!((crossed, open_starts(&model)), (1, 0));
    assert_eq!(state(&model, JOB), Some(JobState::Ended(JobEnd::Succeeded)));
    assert_eq!(model.cell().expect("an owner").waiting_ends(model.now()), 0);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Guards against a task that is away for as long as a lost copy may be carried out.
#[test]
fn a_task_that_is_stopped_on_its_worker_starts_elsewhere_although_its_order_was_sent_twice() {
    let mut model = order_twice(60_000);
    let worker = model.ordered_worker(task()).expect("an order");
    model.run_for(SETTLED_MS);

    let drains = IndexMap::from([(worker.clone(), DrainMode::StopAll)]);
    model.cell_mut().expect("an owner").set_drains(drains);
    let starts_elsewhere =
        model.run_until(2_000, |model| model.ordered_worker(task()).as_ref() != Some(&worker));

    assert_eq!(model.crossed_orders(), 1);
    assert!(starts_elsewhere);
    assert_eq!(model.violations(), [] as [&str; 0]);
}

/// Time from an order until its second copy is carried out, in milliseconds: within the time that the owner waits.
const SECOND_COPY_MS: u64 = 450;

/// Creates a model of two workers, submits a job of one task, and lets its first copy be answered late and its second
/// one be carried out, and answered, when [`SECOND_COPY_MS`] have passed.
fn order_slowly(step: Step) -> (Model, WorkerId) {
    let mut model = new_model_with_valid_late_orders(2);
    model.let_copies_cross();
    model.count_every_start();
    model.submit(JOB, &queue(), job_spec(vec![step]));
    assert!(model.run_until(1_000, |model| model.ordered_worker(task()).is_some()));
    let worker = model.ordered_worker(task()).expect("an order");
    let second_copy_at = model.now() + Span(SECOND_COPY_MS);
    model.script_fates(worker.as_str(), CallKind::Start, &[Fate::Slow(second_copy_at)]);
    model.delay_answers(worker.as_str(), [LATE_MS]);
    (model, worker)
}

/// Lets the worker be drained, and restart so long before the second copy comes that is answered as started by the new
/// instance. Returns the violations and how often the task has started on any worker.
fn restart_before_second_copy(step: Step, before_ms: u64) -> (Vec<String>, u32) {
    let (mut model, worker) = order_slowly(step);
    model.run_for(LATE_MS + 20);
    let drains = IndexMap::from([(worker.clone(), DrainMode::StopAll)]);
    model.cell_mut().expect("an owner").set_drains(drains);
    model.run_for(SECOND_COPY_MS - LATE_MS - 20 - before_ms);

    let wall_ms = model.wall_ms();
    model.restart_worker_at(worker.as_str(), wall_ms, 0);
    model.run_for(20_000);

    (model.violations().to_vec(), model.start_count(task()))
}

/// The first instance has listed the stop of the run, the second one has begun it anew with the second copy, and only
/// its list can tell.
#[test]
fn a_stopped_task_starts_nowhere_else_while_its_second_copy_runs_in_the_next_instance() {
    for before_ms in 0..20 {
        let plain = step(1, 3_500, 5_000);
        let lasting = Step { long_running: true, max_unavailable: 1, ..plain.clone() };
        for step in [plain, lasting] {
            let (violations, starts) = restart_before_second_copy(step, before_ms);

            assert_eq!(violations, [] as [&str; 0], "{before_ms} ms");
            assert!(starts >= 2, "{starts} starts, {before_ms} ms");
        }
    }
}

#[test]
fn an_order_stays_open_if_the_answer_to_one_of_its_copies_is_lost() {
    let mut model = new_model(2);
    model.let_copies_cross();
    for id in ["w0", "w1"] {
        model.script_fates(id, CallKind::Start, &[Fate::AnswerLost]);
    }
    model.submit(JOB, &queue(), job_spec(vec![step(1, 3_500, 300)]));

    model.run_for(SETTLED_MS + 1_000);

    assert_eq!((model.crossed_orders(), open_starts(&model)), (0, 1));
}
