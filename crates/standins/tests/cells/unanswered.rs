//! Tests of waits on the fleet's owner and on the store that no answer may come to.

use indexmap::IndexMap;
use teaselgap_core::job::{Cell, JobId};
use teaselgap_standins::model::{Model, cell_config};

use crate::fixtures::{job_spec, new_model, queue, step};

const JOB: JobId = JobId(7);

fn has_jobs(model: &Model) -> bool {
    model.cell().is_some_and(Cell::has_jobs)
}

/// Guards against a cell that no route names and that gets owners for ever.
#[test]
fn a_cell_without_a_route_counts_as_needed_after_its_last_job_is_forgotten() {
    let mut model = new_model(2);
    assert!(!has_jobs(&model));
    model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 500)]));
    model.set_queues(IndexMap::new());

    let is_forgotten =
        model.run_until(cell_config().status_retention.0 + 5_000, |model| !has_jobs(model));

    assert!(is_forgotten);
}

/// Guards against accepted jobs that stand still because nobody takes over the cell that holds them.
#[test]
fn a_cell_without_a_route_counts_as_unneeded_while_it_takes_its_jobs_over() {
    let mut model = new_model(2);
    model.submit(JOB, &queue(), job_spec(vec![step(2, 1_000, 60_000)]));
    model.run_for(200);
    model.set_queues(IndexMap::new());

    model.kill_owner();
    model.take_over();

    assert!(has_jobs(&model));
}
