//! Models, workers and jobs for the tests.

use indexmap::IndexMap;
use teaselgap_core::{
    QueueId, ServiceId, Span,
    job::{
        AdviceConfig, JobId, JobSpec, JobState, QueueConfig, Resources, Step, TaskId, WorkerEntry,
        WorkerId,
    },
};
use teaselgap_standins::model::{ClockDraw, Link, Model, ModelWorker};

/// Processor capacity of a worker, in thousandths of a core.
pub(crate) const WORKER_CPU_MILLI: u64 = 32_000;

/// A duration that exceeds every timeout of the model, in milliseconds.
const FOREVER_MS: u64 = 600_000;

pub(crate) fn service() -> ServiceId {
    "drums".parse().unwrap()
}

pub(crate) fn queue() -> QueueId {
    "quotes".parse().unwrap()
}

pub(crate) fn queue_config() -> QueueConfig {
    QueueConfig {
        service: service(),
        max_attempts: 3,
        stretch_percent: 160,
        target_latency: Span(600),
        priority: 0,
        advice: None,
    }
}

pub(crate) fn worker(number: usize) -> ModelWorker {
    let port = 7_000 + u16::try_from(number).unwrap();
    ModelWorker::new(WorkerEntry {
        id: format!("w{number}").as_str().into(),
        started_wall_ms: 1,
        service: service(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "tartu".parse().unwrap(),
        capacity: Resources { cpu_milli: WORKER_CPU_MILLI, memory_mb: 131_072, gpus: 0 },
        labels: vec!["a".to_owned(), format!("rack-{}", number / 4)].into(),
        is_draining: false,
        leaves_in: None,
    })
}

/// Creates a model whose owner has adopted this many workers.
pub(crate) fn new_model(workers: usize) -> Model {
    new_model_with_config(workers, queue_config())
}

/// The same, with workers whose clocks start at 0 when they restart: an order to the instance before isn't
/// late by such a clock, so that only its token can make it refused.
pub(crate) fn new_model_with_valid_late_orders(workers: usize) -> Model {
    let mut model = new_model(workers);
    for number in 0..workers {
        model.worker_mut(&format!("w{number}")).next_clock = Some(ClockDraw::Small(0));
    }
    model
}

/// Creates a model whose owner has adopted this many workers over a link of this rate.
pub(crate) fn new_model_with_link(workers: usize, link_mbps: u64) -> Model {
    let queues = IndexMap::from([(queue(), queue_config())]);
    let workers = (0..workers).map(worker).collect();
    let mut model = Model::with_link(Link::new(link_mbps), service(), queues, workers);
    model.run_for(300);
    model
}

/// Creates a model in which the queue's tasks may run only on the `allowed` workers.
pub(crate) fn new_model_with_advice(workers: usize, allowed: &[&str]) -> Model {
    let advice =
        AdviceConfig { decision_time: Span(50), time_per_worker: Span(1), validity: Span(3_000) };
    let mut model =
        new_model_with_config(workers, QueueConfig { advice: Some(advice), ..queue_config() });
    model.allow_only(allowed);
    model
}

fn new_model_with_config(workers: usize, cfg: QueueConfig) -> Model {
    let queues = IndexMap::from([(queue(), cfg)]);
    let mut model = Model::new(service(), queues, (0..workers).map(worker).collect());
    // Gives the owner time to list and adopt the workers.
    model.run_for(300);
    model
}

/// Returns a step of `count` tasks, each with this processor need and estimated time.
pub(crate) fn step(count: u32, cpu_milli: u64, ms: u64) -> Step {
    Step {
        count,
        need: Resources { cpu_milli, memory_mb: 1_000, gpus: 0 },
        estimate: Span(ms),
        ..Step::default()
    }
}

pub(crate) fn job_spec(steps: Vec<Step>) -> JobSpec {
    JobSpec { payload: "text".to_owned(), steps, schedule: None }
}

/// Returns a job of `count` long-running tasks, of which `max_unavailable` may be down.
pub(crate) fn long_running_job(count: u32, max_unavailable: u32) -> JobSpec {
    job_spec(vec![Step { long_running: true, max_unavailable, ..step(count, 4_000, 500) }])
}

/// Returns a worker without runs.
pub(crate) fn idle_worker(model: &Model) -> WorkerId {
    let idle = model.workers().find(|worker| worker.run_count() == 0);
    idle.expect("a worker without runs").entry.id.clone()
}

/// Returns a worker with runs.
pub(crate) fn busy_worker(model: &Model) -> WorkerId {
    let busy = model.workers().find(|worker| worker.run_count() > 0);
    busy.expect("a worker with runs").entry.id.clone()
}

/// Partitions a worker from the owner and the store for the rest of the test; it keeps running.
pub(crate) fn partition(model: &mut Model, worker: &WorkerId) {
    let now = model.now();
    model.worker_mut(worker.as_str()).partition_for(now, FOREVER_MS);
}

pub(crate) fn task_id(job: JobId, index: u32) -> TaskId {
    TaskId { job, occurrence: 0, step: 0, index }
}

pub(crate) fn state(model: &Model, id: JobId) -> Option<JobState> {
    model.cell().and_then(|cell| cell.job_state(id))
}
