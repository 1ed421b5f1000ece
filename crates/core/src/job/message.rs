//! Input and output of a cell: answers, actions, workers' reports, log events and load.

use std::sync::Arc;

use super::{
    AdviceRequest, EndKind, Fence, JobEnd, JobId, JobSpec, OrderRate, StepId, TaskId, WorkerId,
};
use crate::{QueueId, Span, Timestamp};

/// Identifies a pending request of a caller, so that the answer can be matched to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);

/// The answer to a client account's request to submit or cancel a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job or its cancellation is durable.
    Durable,
    /// The job was not accepted.
    Refused {
        /// How long the caller should wait before it submits the job again.
        retry_after: Span,
        /// For how long other nodes should refuse jobs of the queue themselves; zero if they should ask.
        closed: Span,
    },
    /// There is no job with this id.
    Unknown,
}

/// The state of a job as shown to client accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(JobEnd),
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The specification of the job.
    pub spec: Arc<JobSpec>,
    /// When the worker's lease expires, in milliseconds of the worker's clock.
    pub lease_end: u64,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// The advice service's permission to run on this worker, if the queue uses advice.
    pub ticket: Option<Arc<str>>,
}

/// An action that the cell's caller is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller's request.
    Reply(Token, Answer),
    /// Order a worker to start a task.
    Start(WorkerId, StartOrder),
    /// Order a worker to stop a run, given by task and attempt.
    Stop(WorkerId, TaskId, u32),
    /// Renew a worker's lease, confirm run ends, and ask for the worker's list of runs.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// When the lease expires, in milliseconds of the worker's clock; `None` doesn't renew it,
        /// for instance because that clock is unknown.
        lease_end: Option<u64>,
        /// Run ends up to this number are durable; the worker may discard them.
        last_seen: u64,
        /// How long the worker may delay its answer while no run ends.
        wait: Span,
        /// The fencing token. If the owner has outranked it before the hold is sent, the worker may have
        /// restarted since, and the hold must not be sent.
        fence: Fence,
    },
    /// Limit a run, given by task and attempt, to a share of its speed, in percent.
    Pace(WorkerId, TaskId, u32, u64),
    /// Ask the advice service which workers may run a step.
    RequestAdvice(AdviceRequest),
    /// Write an event to the log.
    Log(LogEvent),
}

impl Action {
    /// Whether an owner still carries it out after its handover is recorded: nothing is ordered any
    /// more, but leases are renewed.
    #[must_use]
    pub fn is_allowed_during_handover(&self) -> bool {
        matches!(self, Self::Reply(..) | Self::Log(_) | Self::Hold { .. })
    }
}

/// An entry of a worker's list of runs that have not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The last checkpoint, if the run saved one.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent or, for a long-running task, the share of its full speed at which it
    /// works.
    pub progress_percent: u64,
    /// Tail of response times in milliseconds for a latency-sensitive task; otherwise the processor
    /// time in use.
    pub tail_ms_or_cpu: u64,
}

/// An entry of a worker's list of run ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Sequence number of the end, unique within a worker instance.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// The last checkpoint, if the run saved one.
    pub checkpoint: Option<Arc<str>>,
}

/// A worker's answer to [`Action::Hold`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldReport {
    /// Reading of the worker's monotonic clock in milliseconds.
    pub clock_ms: u64,
    /// When the worker instance started, in milliseconds since the Unix epoch; zero if not
    /// reported.
    pub started_wall_ms: u64,
    /// Runs on the worker that have not ended.
    pub running: Vec<ListedRun>,
    /// Run ends that the owner has not confirmed yet, the earliest first.
    pub ends: Vec<RunEnd>,
    /// Whether the lists name every run and every unconfirmed end. A worker lists a limited number of
    /// ends at a time.
    pub is_complete: bool,
}

/// A worker's answer to [`Action::Start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run has started or will start.
    Started,
    /// Like [`StartOutcome::Started`], but another copy of the order got no answer and may reach the
    /// worker later.
    StartedRepeated,
    /// The run has not started and never will, for the given reason.
    Refused(&'static str),
    /// No copy of the order was sent, for the given reason.
    NotSent(&'static str),
    /// The run has not started, because the order carried no valid ticket.
    NotAdvised,
    /// The run has not started, because the worker has carried out a call with a higher fencing token.
    Outranked,
    /// The run has not started, because the worker knows of a later attempt.
    Outdated,
    /// The worker's answer was lost: the run may start at any time, or never.
    Unknown,
}

/// The answer to a start order, or its lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartAnswer {
    /// What is known of the run.
    pub outcome: StartOutcome,
    /// Reading of the worker's monotonic clock in milliseconds, which tells instances of the worker
    /// apart; `None` if the answer had none.
    pub clock_ms: Option<u64>,
    /// When the last copy of the order was sent; `None` if that is not known.
    pub last_sent: Option<Timestamp>,
}

impl From<StartOutcome> for StartAnswer {
    fn from(outcome: StartOutcome) -> Self {
        Self { outcome, clock_ms: None, last_sent: None }
    }
}

/// Identifies a run: an attempt of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
}

/// A task that was placed on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedTask {
    /// The index of the task in its step.
    pub index: u32,
    /// The number of the attempt.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// Processor capacity that was free on the worker before, in thousandths of a core.
    pub free_cpu_milli: u64,
}

/// How many other tasks of a long-running task's step are away, by the owner's count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepAvailability {
    /// Number of others that are not at work, or may soon not be.
    pub away: usize,
    /// How many of the step's tasks may be away because of the owner's orders; at least one.
    pub max_unavailable: u32,
}

impl StepAvailability {
    /// Whether an order may end the task.
    #[must_use]
    pub fn may_miss_one_more(&self) -> bool {
        self.away < self.max_unavailable as usize
    }
}

/// A statement about a worker that names another instance than the newest known one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherInstance {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the worker's entry in the store or its answer says so.
    pub source: &'static str,
    /// When the named instance started by its own account, in milliseconds since the Unix epoch.
    pub started_wall_ms: u64,
    /// The same of the newest known instance.
    pub known_started_wall_ms: u64,
    /// The worker's monotonic clock in the answer, in milliseconds; `None` for an entry.
    pub clock_ms: Option<u64>,
    /// The latest reading of the newest known instance's monotonic clock, in milliseconds, and its
    /// age.
    pub known_clock: Option<(u64, Span)>,
    /// The latest lease expiry that was sent to the worker, on the clock of the instance known then, in
    /// milliseconds; zero if none was.
    pub lease_end_sent_ms: u64,
    /// Whether the named instance is an earlier or a later one.
    pub verdict: &'static str,
}

/// What a cell waited for before it took a run on a silent worker for ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseWait {
    /// How long ago the run's lease was taken to have expired.
    pub lease_over: Span,
    /// How long ago the worker's latest answer came.
    pub silent: Span,
    /// Whether a copy of a start order of the task was waited for beyond that.
    pub has_open_order: bool,
}

/// A decision of the cell or a change of its state, written to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: QueueId,
        /// Number of the cell's jobs that have not started.
        waiting: usize,
    },
    /// A job was refused.
    Refused {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: QueueId,
        /// Number of the cell's jobs that have not started.
        waiting: usize,
        /// Why it was refused.
        reason: &'static str,
        /// How long it would wait until its start or, if it was accepted first, has waited for the
        /// log.
        wait: Span,
        /// How long the client account should wait before it submits the job again.
        retry_after: Span,
        /// The rate of start orders that the owner counts on; `None` if the job was accepted first.
        order_rate: Option<OrderRate>,
    },
    /// Tasks of a step were placed on workers.
    Placed {
        /// The step.
        step: StepId,
        /// The tasks, at least one.
        tasks: Vec<PlacedTask>,
        /// The time since the job arrived.
        waited: Span,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How the run ended.
        how: EndKind,
        /// Whether the task is done, so that it will not start again.
        is_task_done: bool,
        /// The other tasks of its step if the task is long-running.
        step: Option<StepAvailability>,
        /// The age of the latest renewal of the lease that the worker had confirmed, if any.
        renewed: Option<Span>,
    },
    /// All tasks of a step are done.
    StepDone {
        /// The step.
        step: StepId,
        /// Number of runs that its tasks took.
        runs: u32,
    },
    /// The cell decided to stop a run.
    Stopping {
        /// The run.
        run: RunId,
        /// Why it is stopped.
        reason: &'static str,
        /// The other tasks of its step if the task is long-running.
        step: Option<StepAvailability>,
    },
    /// A run that was being stopped may go on.
    StopRevoked {
        /// The run.
        run: RunId,
        /// Why it may.
        reason: &'static str,
    },
    /// A start order was refused or got no answer.
    StartFailed {
        /// The run.
        run: RunId,
        /// Why it failed.
        reason: &'static str,
    },
    /// A copy of a start order got no answer, and may be carried out by any instance of the worker.
    StartOpen {
        /// The run.
        run: RunId,
        /// Whether another copy was answered.
        is_answered: bool,
        /// How long the copy may still be carried out.
        left: Span,
    },
    /// A start order isn't open any more: each of its copies was answered, and a list was asked for since.
    StartSettled {
        /// The run.
        run: RunId,
        /// Time since the last copy was sent.
        open: Span,
    },
    /// The end of a task as done is not confirmed, because a copy of its start order is open.
    EndWaits {
        /// The run.
        run: RunId,
        /// The number of the end.
        number: u64,
        /// How long it is not confirmed at most.
        left: Span,
    },
    /// A run is no longer alive, although the worker has not listed its end.
    RunEndedUnreported {
        /// The run.
        run: RunId,
        /// How the cell knows this.
        reason: &'static str,
        /// What was waited for if its lease has expired; `None` if the cell knows it in another way.
        wait: Option<LeaseWait>,
    },
    /// A run was lost with its worker, or the worker is now known to have crashed.
    RunLost {
        /// The run.
        run: RunId,
        /// Number of workers that the task has lost.
        losses: usize,
        /// Whether the worker is known to have crashed.
        is_crash: bool,
        /// How long this run of the task or a later one is known to have been alive, in milliseconds.
        alive_ms: Option<u64>,
        /// Number of other runs on the worker; `None` where the loss was noted before.
        beside: Option<usize>,
    },
    /// A task that has lost several workers is not started for a while.
    TaskPaused {
        /// The task.
        task: TaskId,
        /// Number of workers that have crashed under it.
        crashes: usize,
        /// How long it is not started.
        pause: Span,
    },
    /// A request to the advice service about a step was answered or failed.
    AdviceAnswered {
        /// The step.
        step: StepId,
        /// Number of workers in the request.
        asked: usize,
        /// Number of workers on which the step may run; `None` if there was no answer.
        allowed: Option<usize>,
    },
    /// A job ended.
    Finished {
        /// The job.
        job: JobId,
        /// How the job ended.
        end: JobEnd,
        /// The time since the job arrived.
        after: Span,
    },
    /// The owner waits for workers of earlier terms.
    InheritedWait {
        /// Number of workers.
        workers: usize,
        /// How long the wait lasts at most.
        left: Span,
        /// What the wait follows from.
        known_by: &'static str,
        /// The worker that is waited for the longest.
        last: WorkerId,
    },
    /// Nothing that the owner inherited waits for workers of earlier terms any more.
    InheritedReleased {
        /// Number of inherited jobs that are open.
        jobs: usize,
        /// The time since the term began.
        waited: Span,
        /// Number of workers that were adopted first.
        adopted: usize,
        /// Number of workers that were not adopted before their leases had certainly expired.
        expired: usize,
    },
    /// A statement about a worker names another instance than the newest one that the owner knows of.
    OtherInstance(OtherInstance),
    /// The placement of a task has become durable, and its start order was sent or withheld.
    PlannedStart {
        /// The run.
        run: RunId,
        /// Number of other runs of the task that the owner knows of.
        other_runs: usize,
        /// Why the order was withheld; `None` if it was sent.
        withheld: Option<&'static str>,
    },
    /// A list showed a run that this owner had not ordered, or had given up.
    RunAdopted {
        /// The run.
        run: RunId,
        /// Whether it goes on; otherwise it is stopped.
        is_needed: bool,
    },
    /// A worker has forgotten ends of runs that this owner has not read.
    EndsForgotten {
        /// The worker.
        worker: WorkerId,
        /// Number of the last end that the owner had read, zero at the start of the instance.
        read: u64,
        /// Number of the first end that the worker lists.
        first: u64,
    },
    /// The owner's view of a worker changed.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// What changed.
        change: &'static str,
        /// Number of its runs that the owner knows of.
        runs: usize,
    },
}

/// The processor capacity that the fleet can give the pool of a cell, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// What the VMs in the pool and those on their way to it can do.
    pub coming_milli: u64,
    /// What the pool can have at most.
    pub most_milli: u64,
    /// How long a VM takes to join the pool.
    pub lead: Span,
}

/// Load of a cell, as reported to the fleet's owner.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Processor capacity of usable workers, in thousandths of a core.
    pub capacity_milli: u64,
    /// The part of `capacity_milli` that is booked by runs.
    pub booked_milli: u64,
    /// Processor capacity needed by tasks that wait although they could start now, in thousandths
    /// of a core.
    pub waiting_milli: u64,
    /// Processor capacity needed to finish all open jobs in time, in thousandths of a core; before
    /// the correction by `correction_percent`.
    pub required_milli: u64,
    /// Number of usable workers.
    pub workers: u32,
    /// Processor capacity booked by long-running tasks, in thousandths of a core.
    #[serde(rename = "lasting_milli")]
    pub long_running_milli: u64,
    /// Estimated processor time of the jobs that arrived since the term began, also of refused ones,
    /// in thousandths of a core-second.
    pub arrived_milli_s: u64,
    /// Number of jobs counted in `arrived_milli_s`.
    #[serde(default)]
    pub arrived_jobs: u64,
    /// Number of workers below which the pool must not shrink, so that its long-running tasks have
    /// room.
    pub floor_workers: u32,
    /// Ratio of the time that tasks took to the time estimated for them, in percent.
    pub correction_percent: u64,
    /// Usable workers in the order in which they should be given up.
    pub spare: Vec<WorkerId>,
    /// Number of workers at the start of `spare` that run no long-running tasks.
    #[serde(default)]
    pub short_running_workers: u32,
}
