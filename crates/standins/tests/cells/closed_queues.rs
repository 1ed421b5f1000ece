//! Tests of what an owner that refuses jobs asks of the nodes that pass them on.

use indexmap::IndexMap;
use teaselgap_core::{
    Span,
    job::{AdmissionPolicy, Answer, CellConfig, JobId, Token},
};
use teaselgap_standins::model::{Link, Model, cell_config};

use crate::fixtures::{job_spec, queue, queue_config, service, step, worker};

/// Returns an owner that refuses jobs by forecast, behind a link of this rate.
fn model(link_mbps: u64, workers: usize) -> Model {
    let cfg = CellConfig { admission: AdmissionPolicy::ByForecast, ..cell_config() };
    let queues = IndexMap::from([(queue(), queue_config())]);
    let workers = (0..workers).map(worker).collect();
    let link = Link::new(link_mbps);
    let mut model = Model::with_link_and_config(link, cfg, service(), queues, workers);
    model.run_for(4_000);
    model
}

/// Submits a job of 16 tasks every 25 ms for 5 s, and returns for how long each refusal closes the queue.
fn closed_times(model: &mut Model, cpu_milli: u64) -> Vec<Span> {
    let tokens: Vec<Token> = (0..200)
        .map(|number| {
            let spec = job_spec(vec![step(16, cpu_milli, 640)]);
            let token = model.submit(JobId(number), &queue(), spec);
            model.run_for(25);
            token
        })
        .collect();
    let closed = |token: &Token| match model.answer(*token) {
        Some(Answer::Refused { closed, .. }) => Some(closed),
        _ => None,
    };
    tokens.iter().filter_map(closed).collect()
}

/// Guards against callers whose requests take the link that start orders and renewals of leases need, as they
/// come back again and again.
#[test]
fn an_owner_whose_orders_cannot_keep_up_asks_to_be_passed_no_jobs() {
    let mut model = model(2, 60);

    let closed = closed_times(&mut model, 1_000);

    assert!(closed.len() > 20, "{} refused", closed.len());
    assert!(closed.iter().all(|time| *time >= Span(500)), "{closed:?}");
}

#[test]
fn an_owner_that_refuses_for_want_of_workers_goes_on_being_asked() {
    let mut model = model(200, 4);

    let closed = closed_times(&mut model, 8_000);

    assert!(closed.len() > 20, "{} refused", closed.len());
    assert!(closed.iter().all(|time| *time == Span(0)), "{closed:?}");
}
