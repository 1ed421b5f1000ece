//! Start orders of which only one copy was sent, as a list showed the run before another one was due. A copy is
//! carried out once at most, so that nothing is left that may come late.

use indexmap::IndexMap;
use teaselgap_core::job::{DrainMode, JobId, JobSpec, Step, WorkerId};
use teaselgap_standins::model::{CallKind, Fate, Model};

use crate::fixtures::{
    job_spec, long_running_job, new_model_with_valid_late_orders, queue, step, task_id,
};

const JOB: JobId = JobId(7);

/// Time after which an owner knows that an order got no answer, in milliseconds.
const KNOWN_MS: u64 = 1_500;

/// The longest time from a stop to the next run, in milliseconds: the stop, its listing, and the next order.
const MAX_AWAY_MS: u64 = 1_500;

/// The longest time before the job is submitted, in milliseconds: longer than between two lists of an idle worker.
const MAX_WAIT_MS: u64 = 700;

/// How many histories are judged.
const MAX_HISTORIES: usize = 3;

/// Submits a job of one task to two workers after `wait_ms`. The one that starts it carries out the only copy of the
/// order and doesn't answer. Returns that worker; `None` if a second copy was sent before a list showed the run.
fn run_unanswered(spec: JobSpec, wait_ms: u64) -> Option<(Model, WorkerId)> {
    let mut model = new_model_with_valid_late_orders(2);
    for id in ["w0", "w1"] {
        model.script_fates(id, CallKind::Start, &[Fate::AnswerLost]);
    }
    model.run_for(wait_ms);
    model.submit(JOB, &queue(), spec);
    assert!(model.run_until(1_000, |model| model.ordered_worker(task_id(JOB, 0)).is_some()));
    let worker = model.ordered_worker(task_id(JOB, 0)).expect("an order");
    model.drop_fates(if worker.as_str() == "w0" { "w1" } else { "w0" });
    model.run_for(KNOWN_MS);
    assert!(is_running(&model));
    (model.sent_copies() == 0).then_some((model, worker))
}

fn is_running(model: &Model) -> bool {
    model.workers().any(|worker| worker.is_running(task_id(JOB, 0)))
}

#[test]
fn an_order_whose_only_copy_has_begun_a_listed_run_keeps_no_task_away() {
    let lasting = long_running_job(1, 1);
    let short = job_spec(vec![Step { checkpoints: true, ..step(1, 3_500, 40_000) }]);
    for spec in [short, lasting] {
        let histories =
            (0..MAX_WAIT_MS).step_by(7).filter_map(|ms| run_unanswered(spec.clone(), ms));
        let histories: Vec<_> = histories.take(MAX_HISTORIES).collect();
        assert!(!histories.is_empty());
        for (mut model, worker) in histories {
            let now = model.now();
            let open = model.cell().expect("an owner").open_starts(now);

            let drains = IndexMap::from([(worker, DrainMode::StopAll)]);
            model.cell_mut().expect("an owner").set_drains(drains);
            assert!(model.run_until(MAX_AWAY_MS, |model| !is_running(model)));
            let is_back = model.run_until(MAX_AWAY_MS, is_running);

            assert!(is_back);
            assert_eq!(open, 0);
            assert_eq!(model.violations(), &[] as &[String]);
        }
    }
}
