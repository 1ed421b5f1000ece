//! What goes into a cell and what comes out of it.

use std::sync::Arc;

use super::{AdviceRequest, EndKind, JobEnd, JobId, JobSpec, StepId, TaskId, WorkerId};
use crate::{QueueId, Span};

/// A caller's name for a question that is still to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// What a client account is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job or its cancellation is stored.
    Durable,
    /// The job was not accepted.
    Refused {
        /// When it is worth coming back.
        retry_after: Span,
    },
    /// There is no such job.
    Unknown,
}

/// The state of a job as it is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// It is over.
    Ended(JobEnd),
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub attempt: u32,
    /// What the job carries for its tasks.
    pub spec: Arc<JobSpec>,
    /// The end of the worker's lease, on its clock in milliseconds.
    pub lease_end: u64,
    /// Progress to go on from.
    pub checkpoint: Option<Arc<str>>,
    /// The leave to run there, for a queue with advice.
    pub ticket: Option<Arc<str>>,
}

/// What the owner's surroundings are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller.
    Reply(Token, Answer),
    /// Send a worker an order to start a task.
    Start(WorkerId, StartOrder),
    /// Send a worker an order to stop a run.
    Stop(WorkerId, TaskId, u32),
    /// Renew a worker's lease, confirm ends, and ask what runs there.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// The end of the lease on the worker's clock, if the clock is known.
        lease_end: Option<u64>,
        /// Ends up to this number are durable.
        last_seen: u64,
        /// How long the worker may wait for an end before it answers.
        wait: Span,
    },
    /// Let a task work at a share of its speed, in percent.
    Pace(WorkerId, TaskId, u32, u64),
    /// Ask which workers may run a step.
    RequestAdvice(AdviceRequest),
    /// Something was decided or found out.
    Log(LogEvent),
}

/// A row of a worker's list of runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub attempt: u32,
    /// What it has saved.
    pub checkpoint: Option<Arc<str>>,
    /// The share at which it works, in percent.
    pub percent: u64,
    /// The tail of response times in milliseconds, or the processor time in use.
    pub gauge: u64,
}

/// An end in a worker's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Its number in the worker's life.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub attempt: u32,
    /// How it ended.
    pub how: EndKind,
    /// What it has saved.
    pub checkpoint: Option<Arc<str>>,
}

/// A worker's answer to [`Action::Hold`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldReport {
    /// The worker's steady clock in milliseconds.
    pub clock_ms: u64,
    /// When its life began, in milliseconds since the Unix epoch; zero if it doesn't say.
    pub started_wall_ms: u64,
    /// What runs there.
    pub running: Vec<ListedRun>,
    /// Ends that are not confirmed yet.
    pub ends: Vec<RunEnd>,
}

/// A worker's answer to [`Action::Start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs or will.
    Started,
    /// It certainly does not and never will run, for the reason given.
    Refused(&'static str),
    /// It certainly does not run, because it is not allowed there.
    NotAdvised,
    /// It certainly does not run, because a later attempt is known there.
    Outdated,
    /// It may or may not run.
    Unknown,
}

/// A run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Which run of it.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
}

/// A decision or a change of belief, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A job arrived.
    Accepted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: QueueId,
        /// Jobs of the cell that have not started.
        waiting: usize,
    },
    /// A job was refused.
    Refused {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: QueueId,
        /// Jobs of the cell that have not started.
        waiting: usize,
        /// When it is worth coming back.
        retry_after: Span,
    },
    /// A task is placed.
    Placed {
        /// The run.
        run: RunId,
        /// What was free on the worker before, in thousandths of a core.
        free_cpu_milli: u64,
        /// The time since the job arrived.
        waited: Span,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        how: EndKind,
    },
    /// A run is to be stopped.
    Stopping {
        /// The run.
        run: RunId,
        /// Why.
        reason: &'static str,
    },
    /// An order to start was refused or brought no answer.
    StartFailed {
        /// The run.
        run: RunId,
        /// Why.
        reason: &'static str,
    },
    /// A run is known not to be alive any more though no end of it was listed.
    RunEndedUnreported {
        /// The run.
        run: RunId,
        /// How that is known.
        reason: &'static str,
    },
    /// It was asked which workers may run a step.
    Advised {
        /// The step.
        step: StepId,
        /// Workers that were asked about.
        asked: usize,
        /// Workers that were allowed; `None` if there was no answer.
        allowed: Option<usize>,
    },
    /// A job is over.
    Finished {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
        /// The time since it arrived.
        after: Span,
    },
    /// A worker was found, changed or lost.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// What changed.
        change: &'static str,
        /// Its runs, as the owner knows them.
        runs: usize,
    },
}

/// How busy a cell is.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Processor capacity of usable workers, in thousandths of a core.
    pub capacity_milli: u64,
    /// What is booked of it.
    pub booked_milli: u64,
    /// What tasks that wait and can run now would take up.
    pub waiting_milli: u64,
    /// What it takes to finish all open jobs in time, in thousandths of a core, as declared.
    pub required_milli: u64,
    /// Usable workers.
    pub workers: u32,
    /// Processor time booked by tasks that last, in thousandths of a core.
    pub lasting_milli: u64,
    /// Processor time asked for by jobs that arrived since the term began, in thousandths of a
    /// core-second.
    pub arrived_milli_s: u64,
    /// How many jobs that was.
    #[serde(default)]
    pub arrived_jobs: u64,
    /// Workers below which the pool must not fall for the sake of tasks that last.
    pub floor_workers: u32,
    /// How the time that tasks took compares with what was declared, in percent.
    pub correction_percent: u64,
    /// Workers in the order in which they are given up most easily.
    pub spare: Vec<WorkerId>,
}
