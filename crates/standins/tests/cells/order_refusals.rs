//! Tests of what the forecast of start orders counts, and of what a refusal says about other jobs.

use indexmap::IndexMap;
use teaselgap_core::{
    Span,
    job::{AdmissionPolicy, Answer, CellConfig, JobId, JobSpec, Resources, Step, Token},
};
use teaselgap_standins::model::{Link, Model, cell_config};

use crate::fixtures::{job_spec, queue, queue_config, service, step, worker};

/// Rate of a narrow link, in megabits per second.
const NARROW_MBPS: u64 = 2;

/// Returns an owner that has known its workers for a while.
fn settled_model(admission: AdmissionPolicy, link_mbps: u64, workers: usize) -> Model {
    let cfg = CellConfig { admission, ..cell_config() };
    let queues = IndexMap::from([(queue(), queue_config())]);
    let workers = (0..workers).map(worker).collect();
    let link = Link::new(link_mbps);
    let mut model = Model::with_link_and_config(link, cfg, service(), queues, workers);
    model.run_for(4_000);
    model
}

/// Submits jobs, one each `interval_ms`, with numbers from `first` on.
fn submit(
    model: &mut Model,
    spec: &JobSpec,
    (first, count): (u64, u64),
    interval_ms: u64,
) -> Vec<Token> {
    let numbers = first..first + count;
    numbers
        .map(|number| {
            let token = model.submit(JobId(number), &queue(), spec.clone());
            model.run_for(interval_ms);
            token
        })
        .collect()
}

fn refused(model: &Model, tokens: &[Token]) -> usize {
    let is_refused = |token: &&Token| matches!(model.answer(**token), Some(Answer::Refused { .. }));
    tokens.iter().filter(is_refused).count()
}

/// Guards against a cell that refuses all jobs for as long as a job waits that no worker can run: its start
/// orders wait for nothing that the owner could do.
#[test]
fn a_job_that_no_worker_can_run_does_not_close_an_idle_cell() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS, 40);
    let hopeless = step(4_000, 1_000, 640);
    let hopeless = Step { need: Resources { gpus: 1, ..hopeless.need }, ..hopeless };
    submit(&mut model, &job_spec(vec![hopeless]), (1 << 40, 1), 1_000);

    let tokens = submit(&mut model, &job_spec(vec![step(1, 1_000, 640)]), (1, 60), 1_000);

    assert_eq!(refused(&model, &tokens), 0, "of {} small jobs, one a second", tokens.len());
}

/// Guards against a job that is refused for its own size and closes its queue for jobs that the owner accepts.
#[test]
fn a_job_that_is_refused_for_its_own_size_does_not_close_the_queue_for_others() {
    let mut model = settled_model(AdmissionPolicy::ByForecast, NARROW_MBPS, 40);
    submit(&mut model, &job_spec(vec![step(40, 1_000, 640)]), (1, 1), 0);
    let large = submit(&mut model, &job_spec(vec![step(4_000, 100, 640)]), (2, 1), 0);
    let small = submit(&mut model, &job_spec(vec![step(1, 1_000, 640)]), (3, 1), 0);
    model.run_for(1_000);

    let answers = [model.answer(large[0]), model.answer(small[0])];
    let closed = match answers[0] {
        Some(Answer::Refused { closed, .. }) => closed,
        _ => Span(0),
    };
    let is_accepted = matches!(answers[1], Some(Answer::Durable));
    assert!(closed == Span(0) || !is_accepted, "{answers:?}");
}
