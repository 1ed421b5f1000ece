//! A simulated worker.

mod clock;
#[cfg(test)]
mod tests;

use std::sync::Arc;

pub use self::clock::ClockDraw;
use self::clock::WorkerClock;

use super::availability::OrderedEnd;
use indexmap::IndexMap;
use teaselgap_core::{
    Span, Timestamp,
    job::{
        EndKind, Fence, HoldReport, JobId, ListedRun, Resources, RunEnd, StartOrder, StartOutcome,
        TaskId, WorkerEntry,
    },
};

/// The longest lease that a worker accepts, in milliseconds from now.
pub(super) const MAX_LEASE_MS: u64 = 6_000;

/// Time from a stop order until the run ends, in milliseconds.
const STOP_DURATION_MS: u64 = 200;

/// An order that takes longer than this to reach the worker was held up, in milliseconds.
const MAX_TRANSIT_MS: u64 = 100;

/// Time that a long-running task takes to become ready, in milliseconds.
const STARTUP_MS: u64 = 700;

/// The most ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;

/// Time that a worker is unreachable during a restart, in milliseconds.
pub(super) const RESTART_DURATION_MS: u64 = 300;

/// How long the tasks on a worker run, and how they end. Long-running tasks never end by
/// themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskTime {
    /// A task is done after its estimated time, less the share that its checkpoint covers.
    AsEstimated,
    /// A task is done after this percentage of its estimated time, with or without a checkpoint.
    Percent(u64),
    /// A task fails after this many milliseconds.
    FailsAfter(u64),
    /// A task makes no progress and runs until it is stopped.
    Stalls,
    /// The worker crashes as soon as a task of this job, or of one with a higher number, starts, and
    /// returns at its address as a new instance; other tasks are done after their estimated time.
    CrashesOn(JobId),
    /// The same, but the worker crashes this many milliseconds after the start.
    CrashesAfter(JobId, u64),
}

/// A run that has not ended.
#[derive(Clone, Debug)]
struct ModelRun {
    attempt: u32,
    need: Resources,
    started: Timestamp,
    /// When and how the run ends by itself; `None` for a long-running or stalled task.
    scheduled_end: Option<(Timestamp, EndKind)>,
    /// When the run ends because of a stop order.
    stop_at: Option<Timestamp>,
    is_stalled: bool,
    /// Whether the run saves its progress when it ends.
    saves_checkpoints: bool,
    /// Progress at the start of the run, taken from its checkpoint, in percent.
    resumed_percent: u64,
    /// How many tasks of its step may be away because of orders; `None` if it is not long-running.
    max_unavailable: Option<u32>,
    /// Whether the order to stop it was held up on its way.
    is_stop_late: bool,
}

impl ModelRun {
    /// Returns the progress in percent; for a long-running task, its progress towards readiness.
    fn progress_percent(&self, now: Timestamp) -> u64 {
        let duration_ms = match self.scheduled_end {
            None if self.is_stalled => return 0,
            None => STARTUP_MS,
            Some((end, _)) => end.since(self.started).0.max(1),
        };
        let remaining_percent = 100 - self.resumed_percent;
        (self.resumed_percent + now.since(self.started).0 * remaining_percent / duration_ms)
            .min(100)
    }
}

/// A run end that the owner has not confirmed yet.
#[derive(Clone, Debug)]
struct ModelEnd {
    end: RunEnd,
    at: Timestamp,
    /// Whether the lease has expired since the end. Such an end no longer counts as done, because
    /// the owner may start the task elsewhere.
    is_void: bool,
}

/// A worker that follows the platform's rules.
#[derive(Clone, Debug)]
pub struct ModelWorker {
    /// The worker's entry in the store.
    pub entry: WorkerEntry,
    /// How long tasks that start from now on run, and how they end.
    pub task_time: TaskTime,
    /// How fast the worker's clock goes, in percent of true time.
    pub clock_percent: u64,
    /// What the monotonic clock of the next instance shows first; drawn if `None`.
    pub next_clock: Option<ClockDraw>,
    /// The longest lease that the worker accepts, in milliseconds from now.
    pub max_lease_ms: u64,
    /// The number of the worker instance, whatever it says of itself.
    instance: u64,
    clock: WorkerClock,
    partitioned_until: Timestamp,
    partitioned_since: Timestamp,
    /// The highest fencing token of a call so far; calls with a lower one are refused.
    fence: Fence,
    /// Lease expiry by the worker's own clock, in milliseconds.
    lease_end: u64,
    runs: IndexMap<TaskId, ModelRun>,
    /// For each task the highest attempt that ended or was stopped; only later ones may start.
    closed_attempts: IndexMap<TaskId, u32>,
    ends: Vec<ModelEnd>,
    next_end: u64,
    has_owner_contact: bool,
    /// Runs of long-running tasks that an order ended while they were at work.
    ordered_ends: Vec<OrderedEnd>,
    /// The ticket that a start order must carry, if any.
    pub(super) ticket: Option<&'static str>,
}

impl ModelWorker {
    /// Creates a worker that has just started.
    #[must_use]
    pub fn new(entry: WorkerEntry) -> Self {
        let clock = WorkerClock::first(&entry.id);
        Self {
            entry,
            task_time: TaskTime::AsEstimated,
            clock_percent: 100,
            next_clock: None,
            max_lease_ms: MAX_LEASE_MS,
            instance: 0,
            clock,
            partitioned_until: Timestamp(0),
            partitioned_since: Timestamp(0),
            fence: Fence::default(),
            lease_end: 0,
            runs: IndexMap::new(),
            closed_attempts: IndexMap::new(),
            ends: Vec::new(),
            next_end: 1,
            has_owner_contact: false,
            ordered_ends: Vec::new(),
            ticket: None,
        }
    }

    /// Returns the reading of the worker's monotonic clock in milliseconds.
    #[must_use]
    pub fn clock(&self, now: Timestamp) -> u64 {
        self.clock.reading(self.clock_percent, now)
    }

    /// Returns when the worker was last in contact with the store: when its partition began, or now
    /// if it is not partitioned.
    #[must_use]
    pub fn last_store_contact(&self, now: Timestamp) -> Timestamp {
        if self.is_partitioned(now) { self.partitioned_since } else { now }
    }

    /// Returns whether the worker is partitioned from the owner and the store.
    #[must_use]
    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        now < self.partitioned_until
    }

    /// Partitions the worker from the owner and the store from `now` on; it keeps running.
    pub fn partition_for(&mut self, now: Timestamp, duration_ms: u64) {
        self.partitioned_since = now;
        self.partitioned_until = now + Span(duration_ms);
    }

    /// Returns the number of the worker instance.
    pub(super) fn instance(&self) -> u64 {
        self.instance
    }

    /// Restarts the worker under the same id: the new worker instance has none of the old state.
    pub fn restart(&mut self, now: Timestamp, wall_ms: u64) {
        self.restart_in(now, wall_ms, RESTART_DURATION_MS);
    }

    /// Like [`ModelWorker::restart`], but the new instance can't be reached for `away_ms`.
    pub(super) fn restart_in(&mut self, now: Timestamp, wall_ms: u64, away_ms: u64) {
        let entry = WorkerEntry { started_wall_ms: wall_ms, ..self.entry.clone() };
        let (task_time, ticket, clock_percent) = (self.task_time, self.ticket, self.clock_percent);
        let instance = self.instance + 1;
        let draw = self.next_clock.unwrap_or_else(|| ClockDraw::of(&entry.id, instance));
        let clock = WorkerClock::of_next_instance(draw, self.clock(now), now);
        let (max_lease_ms, next_clock) = (self.max_lease_ms, self.next_clock);
        let partitioned_until = now + Span(away_ms);
        *self = Self {
            task_time,
            ticket,
            clock_percent,
            instance,
            clock,
            max_lease_ms,
            next_clock,
            partitioned_since: now,
            partitioned_until,
            ..Self::new(entry)
        };
    }

    /// Crashes the worker, which never returns under its id. Returns the entry of the instance that
    /// follows at its address.
    pub(super) fn crash(&mut self, now: Timestamp) -> WorkerEntry {
        self.lose(now);
        WorkerEntry { id: format!("{}+", self.entry.id).as_str().into(), ..self.entry.clone() }
    }

    /// Ends the worker with all its runs and what it knows.
    pub(super) fn lose(&mut self, now: Timestamp) {
        self.runs.clear();
        self.ends.clear();
        self.partition_for(now, u64::MAX / 2);
    }

    /// How many milliseconds after the start of the task the worker crashes; `None` if it doesn't.
    pub(super) fn crash_delay_ms(&self, task: TaskId) -> Option<u64> {
        match self.task_time {
            TaskTime::CrashesOn(job) => (task.job >= job).then_some(0),
            TaskTime::CrashesAfter(job, ms) => (task.job >= job).then_some(ms),
            _ => None,
        }
    }

    /// Returns whether an owner has sent a hold or a stop to this worker instance. Before that,
    /// nothing makes it refuse an order that was sent to the previous instance.
    #[must_use]
    pub fn has_owner_contact(&self) -> bool {
        self.has_owner_contact
    }

    /// Returns whether a run of the task is active on this worker.
    #[must_use]
    pub fn is_running(&self, task: TaskId) -> bool {
        self.runs.contains_key(&task)
    }

    /// Returns the tasks of the active runs.
    pub(super) fn running_tasks(&self) -> impl Iterator<Item = TaskId> {
        self.runs.keys().copied()
    }

    /// Returns the number of active runs.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the resources that the active runs use.
    #[must_use]
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum + run.need)
    }

    /// Returns when the lease ends, if it is not renewed and the worker's clock shows true time.
    #[must_use]
    pub fn lease_until(&self, now: Timestamp) -> Timestamp {
        now + Span(self.lease_end.saturating_sub(self.clock(now)))
    }

    /// Returns how much of the lease is left; `None` if there are no runs.
    pub(super) fn lease_left(&self, now: Timestamp) -> Option<Span> {
        let left = Span(self.lease_end.saturating_sub(self.clock(now)));
        (!self.runs.is_empty()).then_some(left)
    }

    /// Adds a run that has ended to the list of unconfirmed ends.
    fn end(&mut self, task: TaskId, run: &ModelRun, kind: EndKind, at: Timestamp) {
        self.closed_attempts.insert(task, run.attempt);
        let number = self.next_end;
        self.next_end += 1;
        let checkpoint: Option<Arc<str>> =
            run.saves_checkpoints.then(|| run.progress_percent(at).to_string().into());
        let end = RunEnd { number, task, attempt: run.attempt, kind, checkpoint };
        self.ends.push(ModelEnd { end, at, is_void: false });
    }

    /// Ends all runs that would not end by themselves as failed.
    pub fn fail_endless_runs(&mut self, now: Timestamp) {
        let is_endless = |run: &ModelRun| run.scheduled_end.is_none();
        let failed: Vec<TaskId> =
            self.runs.iter().filter(|(_, run)| is_endless(run)).map(|(&task, _)| task).collect();
        for task in failed {
            if let Some(run) = self.runs.shift_remove(&task) {
                self.end(task, &run, EndKind::Failed, now);
            }
        }
    }

    /// Ends the runs whose end is reached: by themselves, by a stop order or by lease expiry.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let lease_expired = self.clock(now) >= self.lease_end;
        if lease_expired {
            self.ends.iter_mut().for_each(|end| end.is_void = true);
        }
        let ended: Vec<(TaskId, EndKind)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match (run.stop_at, run.scheduled_end) {
                _ if lease_expired => Some((*task, EndKind::Lapsed)),
                (_, Some((at, how))) if now >= at => Some((*task, how)),
                (Some(at), _) if now >= at => Some((*task, EndKind::Stopped)),
                _ => None,
            })
            .collect();
        for (task, how) in ended {
            if let Some(run) = self.runs.shift_remove(&task) {
                if how == EndKind::Stopped {
                    self.ordered_ends.extend(self.ordered_end(task, &run, now));
                }
                self.end(task, &run, how, now);
            }
        }
    }

    /// Returns what an order has ended if the run is one of a long-running task at work.
    fn ordered_end(&self, task: TaskId, run: &ModelRun, now: Timestamp) -> Option<OrderedEnd> {
        let max_unavailable = run.max_unavailable?;
        let is_allowed = self.entry.is_draining || run.is_stop_late;
        let end = OrderedEnd { task, max_unavailable, is_allowed };
        (run.progress_percent(now) >= 100).then_some(end)
    }

    /// Takes the ends of runs of long-running tasks that orders ended while they were at work.
    pub(super) fn take_ordered_ends(&mut self) -> Vec<OrderedEnd> {
        std::mem::take(&mut self.ordered_ends)
    }

    /// Returns the long-running tasks that are at work.
    pub(super) fn tasks_at_work(&self, now: Timestamp) -> impl Iterator<Item = TaskId> {
        let is_at_work =
            move |run: &ModelRun| run.max_unavailable.is_some() && run.progress_percent(now) >= 100;
        self.runs.iter().filter(move |(_, run)| is_at_work(run)).map(|(task, _)| *task)
    }

    /// Raises the fence, or returns false if it was higher already.
    fn check_fence(&mut self, fence: Fence) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        true
    }

    /// Extends the lease, to at most its maximum from now.
    fn extend_lease(&mut self, lease_end: Option<u64>, now: Timestamp) {
        if let Some(end) = lease_end {
            let latest_end = self.clock(now) + self.max_lease_ms;
            self.lease_end = self.lease_end.max(end.min(latest_end));
        }
    }

    /// Handles a start order.
    pub(super) fn start(
        &mut self,
        order: &StartOrder,
        fence: Fence,
        now: Timestamp,
    ) -> StartOutcome {
        if !self.check_fence(fence) {
            return StartOutcome::Outranked;
        }
        if order.lease_end <= self.clock(now) {
            return StartOutcome::Refused("late");
        }
        if self.ticket.is_some() && order.ticket.as_deref() != self.ticket {
            return StartOutcome::NotAdvised;
        }
        self.extend_lease(Some(order.lease_end), now);
        if let Some(run) = self.runs.get(&order.task) {
            let is_same_attempt = run.attempt == order.attempt;
            return if is_same_attempt { StartOutcome::Started } else { StartOutcome::Outdated };
        }
        if self.closed_attempts.get(&order.task).is_some_and(|&closed| order.attempt <= closed) {
            return StartOutcome::Outdated;
        }
        let step = &order.spec.steps[order.task.step as usize];
        if !step.booked().fits(&self.entry.capacity.saturating_sub(&self.used())) {
            return StartOutcome::Refused("room");
        }
        let resumed_percent: u64 =
            order.checkpoint.as_deref().and_then(|saved| saved.parse().ok()).unwrap_or(0);
        let remaining_time = Span(step.estimate.0 * (100 - resumed_percent) / 100);
        let scheduled_end = match self.task_time {
            _ if step.long_running => None,
            TaskTime::Stalls => None,
            TaskTime::AsEstimated | TaskTime::CrashesOn(_) | TaskTime::CrashesAfter(..) => {
                Some((now + remaining_time, EndKind::Done))
            }
            TaskTime::Percent(percent) => {
                Some((now + Span(step.estimate.0 * percent / 100), EndKind::Done))
            }
            TaskTime::FailsAfter(ms) => Some((now + Span(ms), EndKind::Failed)),
        };
        let (attempt, need) = (order.attempt, step.booked());
        let is_stalled = self.task_time == TaskTime::Stalls;
        let saves_checkpoints = step.checkpoints;
        let run = ModelRun {
            attempt,
            need,
            started: now,
            scheduled_end,
            stop_at: None,
            is_stalled,
            saves_checkpoints,
            resumed_percent,
            max_unavailable: step.long_running.then_some(step.max_unavailable),
            is_stop_late: false,
        };
        self.runs.insert(order.task, run);
        StartOutcome::Started
    }

    /// Handles a stop order for attempts up to `attempt`, which was sent at `sent`; returns false if a
    /// call with a higher fencing token came before.
    pub(super) fn stop(
        &mut self,
        (task, attempt): (TaskId, u32),
        fence: Fence,
        (sent, now): (Timestamp, Timestamp),
    ) -> bool {
        if !self.check_fence(fence) {
            return false;
        }
        self.has_owner_contact = true;
        match self.runs.get_mut(&task) {
            Some(run) if run.attempt <= attempt => {
                run.is_stop_late |= run.stop_at.is_none() && now > sent + Span(MAX_TRANSIT_MS);
                run.stop_at.get_or_insert(now + Span(STOP_DURATION_MS));
            }
            Some(_) => {}
            None => {
                let closed = self.closed_attempts.entry(task).or_insert(attempt);
                *closed = (*closed).max(attempt);
            }
        }
        true
    }

    /// Returns after how many milliseconds to check a waiting hold again, or `None` if it must be
    /// answered now, because a run has ended since `last_seen` or the wait time is over.
    pub(super) fn remaining_wait(
        &self,
        sent: Timestamp,
        wait: Span,
        last_seen: u64,
        now: Timestamp,
    ) -> Option<u64> {
        let has_new_ends = self.ends.iter().any(|one| one.end.number > last_seen);
        if has_new_ends || now >= sent + wait { None } else { Some(1) }
    }

    /// Renews the lease and removes the ends up to `last_seen`, which the owner confirms. Returns the
    /// tasks confirmed as done with the times of their ends; `None` if a call with a higher fencing token
    /// came before.
    pub(super) fn hold(
        &mut self,
        lease_end: Option<u64>,
        last_seen: u64,
        fence: Fence,
        now: Timestamp,
    ) -> Option<Vec<(TaskId, Timestamp)>> {
        if !self.check_fence(fence) {
            return None;
        }
        self.has_owner_contact = true;
        self.extend_lease(lease_end, now);
        let is_done = |one: &&ModelEnd| one.end.kind == EndKind::Done && !one.is_void;
        let confirmed = self.ends.iter().filter(|one| one.end.number <= last_seen);
        let done = confirmed.filter(is_done).map(|one| (one.end.task, one.at)).collect();
        self.ends.retain(|one| one.end.number > last_seen);
        Some(done)
    }

    /// Returns the active runs and the ends that no owner has confirmed.
    pub(super) fn report(&self, now: Timestamp) -> HoldReport {
        // A run that is being stopped is listed neither as running nor as ended.
        let listed = self.runs.iter().filter(|(_, run)| run.stop_at.is_none());
        let running = listed.map(|(&task, run)| ListedRun {
            task,
            attempt: run.attempt,
            checkpoint: None,
            progress_percent: run.progress_percent(now),
            tail_ms_or_cpu: 0,
        });
        HoldReport {
            clock_ms: self.clock(now),
            started_wall_ms: self.entry.started_wall_ms,
            running: running.collect(),
            ends: self.ends.iter().take(MAX_LISTED_ENDS).map(|one| one.end.clone()).collect(),
            is_complete: self.ends.len() < MAX_LISTED_ENDS,
        }
    }
}
