//! One worker of the model.

use std::sync::Arc;

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{
        EndKind, HoldReport, ListedRun, Resources, RunEnd, StartOrder, StartOutcome, TaskId,
        WorkerEntry,
    },
};

/// The longest lease, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;

/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 200;

/// How long a task that lasts takes to be at work, in milliseconds.
const STARTUP_MS: u64 = 700;

/// How long a worker is away between two lives, in milliseconds.
const RESTART_MS: u64 = 300;

/// How long a task takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskTime {
    /// As long as estimated.
    AsEstimated,
    /// This part of the estimate, in percent.
    Percent(u64),
    /// It fails after this many milliseconds.
    FailsAfter(u64),
    /// It stands still until it is stopped.
    Stalls,
}

#[derive(Clone, Debug)]
struct ModelRun {
    attempt: u32,
    need: Resources,
    started: Timestamp,
    /// When it ends by itself; `None` for a task that lasts.
    ends: Option<(Timestamp, EndKind)>,
    stops: Option<Timestamp>,
    /// It stands still.
    stalls: bool,
    /// It saves its progress when it is stopped.
    saves: bool,
    /// How much was done when it started, in percent.
    resumed_percent: u64,
}

impl ModelRun {
    /// How much is done, in percent; of a task that lasts, whether it is at work.
    fn percent(&self, now: Timestamp) -> u64 {
        let whole = match self.ends {
            None if self.stalls => return 0,
            None => STARTUP_MS,
            Some((ends, _)) => ends.since(self.started).0.max(1),
        };
        let rest = 100 - self.resumed_percent;
        (self.resumed_percent + now.since(self.started).0 * rest / whole).min(100)
    }
}

/// An end that has not been confirmed.
#[derive(Clone, Debug)]
struct ModelEnd {
    end: RunEnd,
    at: Timestamp,
    /// The lease ran out since: what was done is not taken as done any more.
    is_void: bool,
}

/// A worker that keeps the platform's rules.
#[derive(Clone, Debug)]
pub struct ModelWorker {
    /// What it writes to the store.
    pub entry: WorkerEntry,
    /// How long its tasks take.
    pub task_time: TaskTime,
    /// When its steady clock began.
    clock_start: Timestamp,
    partitioned_until: Timestamp,
    last_response: Timestamp,
    fence: Epoch,
    lease_end: u64,
    runs: IndexMap<TaskId, ModelRun>,
    /// Attempts below or at which a task no longer starts here.
    over: IndexMap<TaskId, u32>,
    ends: Vec<ModelEnd>,
    next_end: u64,
    has_owner_contact: bool,
    /// The ticket that an order to start must carry, if any.
    pub(super) ticket: Option<&'static str>,
}

impl ModelWorker {
    /// A worker that has just started.
    #[must_use]
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            task_time: TaskTime::AsEstimated,
            clock_start: Timestamp(0),
            partitioned_until: Timestamp(0),
            last_response: Timestamp(u64::MAX / 2),
            fence: Epoch(0),
            lease_end: 0,
            runs: IndexMap::new(),
            over: IndexMap::new(),
            ends: Vec::new(),
            next_end: 1,
            has_owner_contact: false,
            ticket: None,
        }
    }

    fn clock(&self, now: Timestamp) -> u64 {
        now.since(self.clock_start).0
    }

    /// The last time at which it could write to the store.
    #[must_use]
    pub fn last_response(&self) -> Timestamp {
        self.last_response
    }

    /// Whether it neither hears nor says anything.
    #[must_use]
    pub fn is_partitioned(&self, now: Timestamp) -> bool {
        now < self.partitioned_until
    }

    /// It hears and says nothing from `now` on, and runs on.
    pub fn partition_for(&mut self, now: Timestamp, for_ms: u64) {
        self.last_response = now;
        self.partitioned_until = now + Span(for_ms);
    }

    /// It ends and starts anew under its id, knowing nothing of before.
    pub fn restart(&mut self, now: Timestamp, wall_ms: u64) {
        let entry = WorkerEntry { started_wall_ms: wall_ms, ..self.entry.clone() };
        let (task_time, ticket) = (self.task_time, self.ticket);
        let partitioned_until = now + Span(RESTART_MS);
        *self = Self { task_time, ticket, clock_start: now, partitioned_until, ..Self::new(entry) };
    }

    /// Whether an owner has spoken to this life. Before that nobody can have it refuse an order that
    /// was sent to the life before.
    #[must_use]
    pub fn has_owner_contact(&self) -> bool {
        self.has_owner_contact
    }

    /// Whether a run of the task is alive here.
    #[must_use]
    pub fn runs(&self, task: TaskId) -> bool {
        self.runs.contains_key(&task)
    }

    /// How many runs are alive here.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// What is taken up here.
    #[must_use]
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum + run.need)
    }

    fn end(&mut self, task: TaskId, run: &ModelRun, how: EndKind, at: Timestamp) {
        self.over.insert(task, run.attempt);
        let number = self.next_end;
        self.next_end += 1;
        let checkpoint: Option<Arc<str>> = run.saves.then(|| run.percent(at).to_string().into());
        let end = RunEnd { number, task, attempt: run.attempt, how, checkpoint };
        self.ends.push(ModelEnd { end, at, is_void: false });
    }

    /// Ends what is due.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let lapsed = self.clock(now) >= self.lease_end;
        if lapsed {
            self.ends.iter_mut().for_each(|end| end.is_void = true);
        }
        let due: Vec<(TaskId, EndKind)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| match (run.stops, run.ends) {
                _ if lapsed => Some((*task, EndKind::Lapsed)),
                (_, Some((at, how))) if now >= at => Some((*task, how)),
                (Some(at), _) if now >= at => Some((*task, EndKind::Stopped)),
                _ => None,
            })
            .collect();
        for (task, how) in due {
            if let Some(run) = self.runs.shift_remove(&task) {
                self.end(task, &run, how, now);
            }
        }
    }

    /// Raises the fence; false for an order of an earlier term.
    fn admits(&mut self, epoch: Epoch) -> bool {
        if epoch < self.fence {
            return false;
        }
        self.fence = epoch;
        true
    }

    pub(super) fn extend(&mut self, lease_end: Option<u64>, epoch: Epoch, now: Timestamp) {
        if let Some(end) = lease_end.filter(|_| self.admits(epoch)) {
            let most = self.clock(now) + MAX_LEASE_MS;
            self.lease_end = self.lease_end.max(end.min(most));
        }
    }

    pub(super) fn start(
        &mut self,
        order: &StartOrder,
        epoch: Epoch,
        now: Timestamp,
    ) -> StartOutcome {
        if !self.admits(epoch) {
            return StartOutcome::Refused("fence");
        }
        if order.lease_end <= self.clock(now) {
            return StartOutcome::Refused("late");
        }
        if self.ticket.is_some() && order.ticket.as_deref() != self.ticket {
            return StartOutcome::NotAdvised;
        }
        self.extend(Some(order.lease_end), epoch, now);
        if let Some(run) = self.runs.get(&order.task) {
            let same = run.attempt == order.attempt;
            return if same { StartOutcome::Started } else { StartOutcome::Outdated };
        }
        if self.over.get(&order.task).is_some_and(|&over| order.attempt <= over) {
            return StartOutcome::Outdated;
        }
        let step = &order.spec.steps[order.task.step as usize];
        if !step.booked().fits(&self.entry.capacity.saturating_sub(&self.used())) {
            return StartOutcome::Refused("room");
        }
        let resumed_percent: u64 =
            order.checkpoint.as_deref().and_then(|saved| saved.parse().ok()).unwrap_or(0);
        let rest = Span(step.estimate.0 * (100 - resumed_percent) / 100);
        let ends = match self.task_time {
            _ if step.long_running => None,
            TaskTime::Stalls => None,
            TaskTime::AsEstimated => Some((now + rest, EndKind::Done)),
            TaskTime::Percent(percent) => {
                Some((now + Span(step.estimate.0 * percent / 100), EndKind::Done))
            }
            TaskTime::FailsAfter(ms) => Some((now + Span(ms), EndKind::Failed)),
        };
        let (attempt, need) = (order.attempt, step.booked());
        let stalls = self.task_time == TaskTime::Stalls;
        let saves = step.checkpoints;
        let run = ModelRun {
            attempt,
            need,
            started: now,
            ends,
            stops: None,
            stalls,
            saves,
            resumed_percent,
        };
        self.runs.insert(order.task, run);
        StartOutcome::Started
    }

    pub(super) fn stop(
        &mut self,
        task: TaskId,
        attempt: u32,
        epoch: Epoch,
        now: Timestamp,
    ) -> bool {
        if !self.admits(epoch) {
            return false;
        }
        self.has_owner_contact = true;
        match self.runs.get_mut(&task) {
            Some(run) if run.attempt <= attempt => {
                run.stops.get_or_insert(now + Span(STOP_MS));
            }
            Some(_) => {}
            None => {
                let over = self.over.entry(task).or_insert(attempt);
                *over = (*over).max(attempt);
            }
        }
        true
    }

    /// How much longer a hold waits for an end; `None` if it is to be answered now.
    pub(super) fn wait_left(
        &self,
        sent: Timestamp,
        wait: Span,
        last_seen: u64,
        now: Timestamp,
    ) -> Option<u64> {
        let has_news = self.ends.iter().any(|one| one.end.number > last_seen);
        if has_news || now >= sent + wait { None } else { Some(1) }
    }

    /// Renews the lease, forgets ends up to `last_seen`, and lists the rest; also tells which tasks
    /// are confirmed as done, and when they ended.
    pub(super) fn hold(
        &mut self,
        lease_end: Option<u64>,
        last_seen: u64,
        epoch: Epoch,
        now: Timestamp,
    ) -> Option<(HoldReport, Vec<(TaskId, Timestamp)>)> {
        if !self.admits(epoch) {
            return None;
        }
        self.has_owner_contact = true;
        self.extend(lease_end, epoch, now);
        let is_done = |one: &&ModelEnd| one.end.how == EndKind::Done && !one.is_void;
        let confirmed = self.ends.iter().filter(|one| one.end.number <= last_seen);
        let done = confirmed.filter(is_done).map(|one| (one.end.task, one.at)).collect();
        self.ends.retain(|one| one.end.number > last_seen);
        let running = self.runs.iter().map(|(&task, run)| ListedRun {
            task,
            attempt: run.attempt,
            checkpoint: None,
            percent: run.percent(now),
            gauge: 0,
        });
        let report = HoldReport {
            clock_ms: self.clock(now),
            started_wall_ms: self.entry.started_wall_ms,
            running: running.collect(),
            ends: self.ends.iter().map(|one| one.end.clone()).collect(),
        };
        Some((report, done))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lapse_is_by_the_workers_own_clock() {
        let entry = WorkerEntry {
            id: "w".into(),
            started_wall_ms: 1,
            service: "s".parse().unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "z".parse().unwrap(),
            capacity: Resources::default(),
            labels: Vec::new(),
            draining: false,
            leaves_in: None,
        };
        let mut worker = ModelWorker::new(entry);

        worker.extend(Some(100_000), Epoch(1), Timestamp(1_000));

        assert_eq!(worker.lease_end, 1_000 + MAX_LEASE_MS);
    }
}
