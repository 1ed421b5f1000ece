//! The processor time that the owner of a busy cell spends on each kind of input.
//!
//! A simulation in virtual time keeps a number of jobs open on a full pool of workers. Only the
//! calls to the cell are timed.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use pico_args::Arguments;
use serde_json::json;
use teaselgap_core::{
    Epoch, QueueId, ServiceId, Span, Timestamp,
    job::{
        Action, Cell, EndKind, HoldReport, JobId, JobSpec, JobState, ListedRun, QueueConfig,
        RecoveredLog, Resources, RunEnd, Sequence, StartOutcome, Step, TaskId, TermClaim, Token,
        WorkerEntry, WorkerId,
    },
};
use teaselgap_standins::{cluster::ClusterError, model};

use super::usage_error;

/// The number of tasks of a job.
const TASKS_PER_JOB: u32 = 8;

/// Processor need of a task, in thousandths of a core.
const TASK_CPU_MILLI: u64 = 1_000;

/// The number of tasks for which a worker has room.
const TASKS_PER_WORKER: u64 = 10;

/// The shortest time that a task takes, in milliseconds.
const MIN_TASK_MS: u64 = 1_000;

/// The range of the times that tasks take, in milliseconds.
const TASK_MS_RANGE: u64 = 1_300;

/// Time until a start order is answered, in milliseconds.
const START_MS: u64 = 2;

/// Time until a segment is written, in milliseconds.
const WRITE_MS: u64 = 10;

/// Interval at which the fleet asks for the load, in milliseconds.
const LOAD_INTERVAL_MS: u64 = 200;

/// Interval at which the list of workers is read, in milliseconds.
const WORKER_LIST_INTERVAL_MS: u64 = 500;

/// The wall clock minus the simulation's clock, in milliseconds.
const WALL_OFFSET_MS: u64 = 1_700_000_000_000;

#[derive(Debug)]
enum Event {
    Started(WorkerId, TaskId, u32),
    RunOver(WorkerId, TaskId),
    /// The end of the time for which a hold, given by its number, may wait.
    HoldOver(WorkerId, u64),
    Written(Sequence),
}

#[derive(Debug)]
struct SimulatedRun {
    attempt: u32,
    started: Timestamp,
    duration: Span,
}

/// A hold that waits at a worker.
#[derive(Debug)]
struct PendingHold {
    number: u64,
    sent: Timestamp,
}

#[derive(Debug)]
struct SimulatedWorker {
    entry: WorkerEntry,
    runs: IndexMap<TaskId, SimulatedRun>,
    ends: Vec<RunEnd>,
    last_end: u64,
    hold: Option<PendingHold>,
}

/// The time spent in one kind of call.
#[derive(Clone, Copy, Debug, Default)]
struct CallTime {
    calls: u32,
    total: Duration,
}

struct Simulation {
    cell: Cell,
    now: Timestamp,
    workers: IndexMap<WorkerId, SimulatedWorker>,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    open: Vec<JobId>,
    job_count: u64,
    open_target: usize,
    starts: u64,
    times: IndexMap<&'static str, CallTime>,
}

/// The number of workers, of open jobs and of jobs that ended before.
#[derive(Clone, Copy, Debug)]
struct Size {
    workers: usize,
    open_jobs: usize,
    ended_jobs: u64,
}

pub(crate) fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let size = Size {
        workers: args.opt_value_from_str("--workers").map_err(usage_error)?.unwrap_or(250),
        open_jobs: args.opt_value_from_str("--jobs").map_err(usage_error)?.unwrap_or(1_200),
        ended_jobs: args.opt_value_from_str("--ended").map_err(usage_error)?.unwrap_or(20_000),
    };
    let seconds: u64 = args.opt_value_from_str("--seconds").map_err(usage_error)?.unwrap_or(10);
    let mut simulation = Simulation::new(size);
    simulation.end_jobs(size.ended_jobs);
    // The pool fills up first.
    simulation.run_for(2_000);
    simulation.times.clear();
    simulation.starts = 0;
    simulation.run_for(seconds * 1_000);
    simulation.report(seconds);
    Ok(())
}

fn queue() -> QueueId {
    "quotes".parse().expect("a valid name")
}

fn service() -> ServiceId {
    "drums".parse().expect("a valid name")
}

fn worker(number: usize) -> SimulatedWorker {
    let id: WorkerId = format!("worker-{number}").as_str().into();
    let capacity =
        Resources { cpu_milli: TASK_CPU_MILLI * TASKS_PER_WORKER, memory_mb: 65_536, gpus: 0 };
    let entry = WorkerEntry {
        id,
        started_wall_ms: 1,
        service: service(),
        address: ([127, 0, 0, 1], 7_000).into(),
        zone: "tartu".parse().expect("a valid name"),
        capacity,
        labels: vec!["a".to_owned(), format!("rack-{}", number / 10)].into(),
        is_draining: false,
        leaves_in: None,
    };
    SimulatedWorker { entry, runs: IndexMap::new(), ends: Vec::new(), last_end: 0, hold: None }
}

fn job_spec() -> JobSpec {
    let step = Step {
        count: TASKS_PER_JOB,
        need: Resources { cpu_milli: TASK_CPU_MILLI, memory_mb: 1_000, gpus: 0 },
        estimate: Span(MIN_TASK_MS),
        ..Step::default()
    };
    JobSpec { payload: "x".repeat(500), steps: vec![step], schedule: None }
}

impl Simulation {
    fn new(size: Size) -> Self {
        let now = Timestamp(10_000);
        let recovered = RecoveredLog { next: 1, segments: Vec::new() };
        let wall_ms = WALL_OFFSET_MS + now.0;
        let term = (service(), Epoch(1));
        let mut cell = Cell::new(
            model::cell_config(),
            term,
            recovered,
            &TermClaim::unseen(Timestamp(0)),
            (now, wall_ms),
        );
        let queue_config = QueueConfig {
            service: service(),
            max_attempts: 3,
            stretch_percent: 160,
            target_latency: Span(600),
            priority: 0,
            advice: None,
        };
        cell.set_queues(IndexMap::from([(queue(), queue_config)]));
        let workers = (0..size.workers).map(worker);
        Self {
            cell,
            now,
            workers: workers.map(|worker| (worker.entry.id.clone(), worker)).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            open: Vec::new(),
            job_count: 0,
            open_target: size.open_jobs,
            starts: 0,
            times: IndexMap::new(),
        }
    }

    /// Calls `f` on the cell and counts its time under `kind`.
    fn timed<T>(&mut self, kind: &'static str, f: impl FnOnce(&mut Cell) -> T) -> T {
        let started = Instant::now();
        let result = f(&mut self.cell);
        let took = started.elapsed();
        let time = self.times.entry(kind).or_default();
        time.calls += 1;
        time.total += took;
        result
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn submit(&mut self) -> JobId {
        self.job_count += 1;
        let (id, now) = (JobId(self.job_count), self.now);
        let spec = job_spec();
        let time = (now, WALL_OFFSET_MS + now.0);
        self.timed("submit", |cell| cell.submit(Token(id.0), (id, queue()), spec, time));
        id
    }

    /// Adds jobs that have ended, which the cell keeps for their retention time.
    fn end_jobs(&mut self, count: u64) {
        for _ in 0..count {
            let (id, now) = (self.submit(), self.now);
            self.cell.cancel(Token(0), id, now);
        }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + Span(ms);
        while self.now < end {
            self.now = self.now + Span(1);
            self.advance();
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        if now.0.is_multiple_of(WORKER_LIST_INTERVAL_MS) {
            let entries = self.workers.values().map(|worker| worker.entry.clone()).collect();
            self.timed("update_workers", |cell| cell.update_workers(entries, true, now));
        }
        if now.0.is_multiple_of(LOAD_INTERVAL_MS) {
            self.timed("load", |cell| cell.load(now));
            self.timed("drained_workers", |cell| cell.drained_workers());
        }
        let mut has_input = false;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= now) {
            let event = entry.remove();
            self.handle(event);
            has_input = true;
        }
        self.submit_missing();
        let kind = if has_input { "tick after input" } else { "tick without input" };
        self.timed(kind, |cell| cell.tick(now, WALL_OFFSET_MS + now.0));
        for action in self.cell.take_actions() {
            self.execute(action);
        }
        if let Some(write) = self.timed("take_write", |cell| cell.take_write(now)) {
            self.schedule(now + Span(WRITE_MS), Event::Written(write.sequence));
        }
    }

    /// Submits jobs until the wanted number is open.
    fn submit_missing(&mut self) {
        let cell = &self.cell;
        self.open.retain(|id| !matches!(cell.job_state(*id), Some(JobState::Ended(_))));
        while self.open.len() < self.open_target {
            let id = self.submit();
            self.open.push(id);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Started(id, task, attempt) => {
                let outcome = StartOutcome::Started;
                self.timed("on_start_answer", |cell| {
                    cell.on_start_answer(&id, (task, attempt), outcome, now);
                });
            }
            Event::RunOver(id, task) => {
                let worker = &mut self.workers[&id];
                if let Some(run) = worker.runs.swap_remove(&task) {
                    worker.last_end += 1;
                    worker.ends.push(RunEnd {
                        number: worker.last_end,
                        task,
                        attempt: run.attempt,
                        kind: EndKind::Done,
                        checkpoint: None,
                    });
                }
                self.answer_hold(&id);
            }
            Event::HoldOver(id, number) => {
                let hold = self.workers[&id].hold.as_ref();
                if hold.is_some_and(|hold| hold.number == number) {
                    self.answer_hold(&id);
                }
            }
            Event::Written(sequence) => {
                self.timed("on_segment_written", |cell| cell.on_segment_written(sequence, now));
            }
        }
    }

    fn answer_hold(&mut self, id: &WorkerId) {
        let now = self.now;
        let worker = &mut self.workers[id];
        let Some(hold) = worker.hold.take() else {
            return;
        };
        let progress =
            |run: &SimulatedRun| (now.since(run.started).0 * 100 / run.duration.0).min(100);
        let running = worker.runs.iter().map(|(task, run)| ListedRun {
            task: *task,
            attempt: run.attempt,
            checkpoint: None,
            progress_percent: progress(run),
            tail_ms_or_cpu: 0,
        });
        let report = HoldReport {
            clock_ms: now.0,
            started_wall_ms: worker.entry.started_wall_ms,
            running: running.collect(),
            ends: worker.ends.clone(),
            is_complete: true,
        };
        self.timed("on_hold_answer", |cell| {
            cell.on_hold_answer(id, hold.sent, Some(report), now);
        });
    }

    fn execute(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Start(id, order) => {
                self.starts += 1;
                let duration = Span(MIN_TASK_MS + self.event_count * 7_919 % TASK_MS_RANGE);
                let run = SimulatedRun { attempt: order.attempt, started: now, duration };
                self.workers[&id].runs.insert(order.task, run);
                let started = Event::Started(id.clone(), order.task, order.attempt);
                self.schedule(now + Span(START_MS), started);
                self.schedule(now + duration, Event::RunOver(id, order.task));
            }
            Action::Hold { worker: id, last_seen, wait, .. } => {
                self.event_count += 1;
                let number = self.event_count;
                let worker = &mut self.workers[&id];
                worker.ends.retain(|end| end.number > last_seen);
                worker.hold = Some(PendingHold { number, sent: now });
                let wait = if worker.ends.is_empty() { wait } else { Span(0) };
                self.schedule(now + wait + Span(1), Event::HoldOver(id, number));
            }
            _ => {}
        }
    }

    fn report(&self, seconds: u64) {
        let mut total = Duration::ZERO;
        for (kind, time) in &self.times {
            total += time.total;
            let mean_us = time.total.as_secs_f64() * 1e6 / f64::from(time.calls);
            println!(
                "{}",
                json!({"call": kind, "calls": time.calls, "mean_us": mean_us,
                    "total_ms": time.total.as_millis()})
            );
        }
        #[expect(clippy::cast_precision_loss, reason = "a moderate number of tasks")]
        let per_task = total.as_secs_f64() * 1e6 / self.starts.max(1) as f64;
        println!(
            "{}",
            json!({"starts_per_second": self.starts / seconds, "us_per_task": per_task,
                "total_ms": total.as_millis()})
        );
    }
}
