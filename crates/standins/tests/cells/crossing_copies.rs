//! Start orders that are sent again while their answers are only late.

use indexmap::IndexMap;
use teaselgap_core::job::{DrainMode, JobEnd, JobId, JobState, TaskId};
use teaselgap_standins::model::Model;

use crate::fixtures::{job_spec, new_model, queue, state, step, task_id};

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
