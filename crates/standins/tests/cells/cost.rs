//! Tests of the processor time that an owner takes. They compare times of one run with each other,
//! since the speed of the machine is unknown.

use std::time::Duration;

use indexmap::IndexMap;
use teaselgap_core::job::{JobId, Step};
use teaselgap_standins::model::{Model, processor_time};

use crate::fixtures::{job_spec, new_model, queue, queue_config, step};

/// Returns the shortest time of ten ticks that plan.
fn shortest_planning_tick(model: &mut Model) -> Duration {
    let (now, wall_ms) = (model.now(), model.wall_ms());
    let cell = model.cell_mut().unwrap();
    let timed_tick = |_| {
        cell.set_queues(IndexMap::from([(queue(), queue_config())]));
        let start = processor_time();
        cell.tick(now, wall_ms);
        processor_time().saturating_sub(start)
    };
    (0..10).map(timed_tick).min().unwrap()
}

/// Returns an owner that keeps the state of this many cancelled jobs.
fn model_with_ended_jobs(count: u64) -> Model {
    let mut model = new_model(10);
    for number in 0..count {
        model.submit(JobId(number), &queue(), job_spec(vec![step(8, 3_200, 640)]));
        model.cancel(JobId(number));
    }
    model.run_for(500);
    model
}

#[test]
fn a_tick_does_not_take_longer_for_jobs_that_have_ended() {
    let mut few = model_with_ended_jobs(10);
    let mut many = model_with_ended_jobs(4_000);

    let (few, many) = (shortest_planning_tick(&mut few), shortest_planning_tick(&mut many));

    assert!(many < few * 4, "{many:?} instead of {few:?}");
}

#[test]
fn a_waiting_job_takes_little_of_a_plan_while_no_worker_has_room() {
    let plan_time = |waiting_jobs: u64| {
        let mut model = new_model(100);
        model.submit(JobId(0), &queue(), job_spec(vec![step(100, 32_000, 60_000)]));
        model.run_for(1_000);
        for number in 1..=waiting_jobs {
            model.submit(JobId(number), &queue(), job_spec(vec![step(8, 3_200, 640)]));
        }
        model.run_for(100);
        shortest_planning_tick(&mut model)
    };

    let (without, with) = (plan_time(0), plan_time(500));

    // Looking at each worker for each waiting job would take a hundred times as long.
    assert!(with < without * 10, "{with:?} instead of {without:?}");
}

#[test]
fn the_ticks_of_a_burst_take_less_time_than_the_burst() {
    // Half as much work again arrives as the workers can do.
    let mut model = new_model(100);
    let (before, _) = model.tick_times();

    for number in 0..150 * 5 {
        let second = Step { after: vec![0], ..step(8, 3_200, 640) };
        model.submit(JobId(number), &queue(), job_spec(vec![step(8, 3_200, 640), second]));
        model.run_for(if number % 3 == 0 { 6 } else { 7 });
    }

    let (total, longest) = model.tick_times();
    let time = total.saturating_sub(before);
    assert!(time < Duration::from_secs(5), "{time:?} in 5 s of the burst, at most {longest:?}");
}
