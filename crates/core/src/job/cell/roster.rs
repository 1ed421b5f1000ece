//! Which workers there are, what they list, and when what they ran is certainly over.

use indexmap::IndexMap;

use super::{
    super::{
        Action, DrainMode, HoldReport, ListedRun, LogEvent, Record, RunId, TaskId, WorkerEntry,
        WorkerId,
        worker::{Logged, Run, RunState, UNANSWERED_START_LIFETIME, Worker},
    },
    Cell, DeferredEffect,
};
use crate::{Span, Timestamp};

/// How long an entry may be missing before its worker gets no new work.
const MISSING_GRACE: Span = Span(2_000);

/// How long a worker with runs may wait for an end before it answers a hold: what makes no progress
/// shows in two answers.
const BUSY_WAIT: Span = Span(400);

/// The same for a worker on which only tasks that last run.
const LONG_RUNNING_WAIT: Span = Span(1_000);

/// The least pause between two holds of one worker.
const HOLD_PAUSE: Span = Span(60);

/// The pause between holds of a worker without runs.
const IDLE_PAUSE: Span = Span(3_000);

/// The pause after a hold that brought no answer.
const FAILED_PAUSE: Span = Span(250);

/// How long after a stop is over its end is listed at the latest.
const STOP_SHOWS: Span = Span(50);

/// Failed holds in a row after which a worker gets no new work.
const MAX_HOLD_FAILURES: u32 = 2;

impl Cell {
    /// Takes in which workers of the service the platform's store lists. A list that is not
    /// `complete`, since the store was away, says nothing about workers that it lacks.
    pub fn update_workers(&mut self, entries: Vec<WorkerEntry>, complete: bool, now: Timestamp) {
        let mut listed: IndexMap<WorkerId, WorkerEntry> =
            entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
        for worker in self.workers.values_mut().filter(|_| complete) {
            if !listed.contains_key(&worker.entry.id) && worker.missing_since.is_none() {
                worker.missing_since = Some(now);
                let (worker, runs) = (worker.entry.id.clone(), worker.runs.len());
                self.actions.push(Action::Log(LogEvent::Worker {
                    worker,
                    change: "missing",
                    runs,
                }));
            }
        }
        for (_, entry) in listed.drain(..) {
            self.update_entry(entry, now);
        }
        self.remove_gone_workers(now);
        self.has_worker_list |= complete;
        self.plan_due = true;
    }

    fn update_entry(&mut self, entry: WorkerEntry, now: Timestamp) {
        let id = entry.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            // Earlier owners may have used it for as long as anything of theirs may stand.
            let expiry = self.earlier_orders_expiry;
            self.actions.push(Action::Log(LogEvent::Worker {
                worker: id.clone(),
                change: "found",
                runs: 0,
            }));
            let mut worker = Worker::new(entry, expiry, now);
            worker.drain = self.drains.get(&id).copied();
            Self::update_leave_deadline(&mut worker, now);
            self.workers.insert(id.clone(), worker);
            self.log_worker_used(&id, now);
            return;
        };
        worker.missing_since = None;
        if worker.entry.started_wall_ms != entry.started_wall_ms && entry.started_wall_ms != 0 {
            self.on_worker_restart(&id, entry, now);
            return;
        }
        worker.entry = entry;
        Self::update_leave_deadline(worker, now);
    }

    fn update_leave_deadline(worker: &mut Worker, now: Timestamp) {
        if !worker.entry.draining {
            worker.leave_deadline = None;
            return;
        }
        let left = worker.entry.leaves_in.unwrap_or_default();
        // Entries are some time old when they are read; an earlier reading stands.
        let deadline = now + left;
        worker.leave_deadline =
            Some(worker.leave_deadline.map_or(deadline, |old| old.min(deadline)));
    }

    /// The worker ended and started again under its id: nothing of before runs, but an order that
    /// brought no answer may still reach the new life.
    fn on_worker_restart(&mut self, id: &WorkerId, entry: WorkerEntry, now: Timestamp) {
        let Some(old) = self.workers.get_mut(id) else {
            return;
        };
        let expiry = old.inherited_expiry;
        let mut worker = Worker::new(entry, expiry, now);
        worker.logged = old.logged;
        worker.times_logged = old.times_logged;
        worker.drain = old.drain;
        worker.missing_since = old.missing_since;
        Self::update_leave_deadline(&mut worker, now);
        let Worker { runs, unanswered_starts, .. } = std::mem::replace(old, worker);
        let count = runs.len();
        self.actions.push(Action::Log(LogEvent::Worker {
            worker: id.clone(),
            change: "started anew",
            runs: count,
        }));
        for (task, run) in runs {
            if run.state == RunState::Running {
                self.end_unreported_run(id, task, run.attempt, "the worker started anew", now);
            } else if let Some(worker) = self.workers.get_mut(id) {
                let unsettled =
                    Run { state: RunState::Unsettled, stopping: None, listed_after: now, ..run };
                worker.runs.insert(task, unsettled);
                self.stop_run(id, task, "its order may reach the worker's new life", now);
            }
        }
        self.stop_unanswered_starts(id, unanswered_starts, now);
        self.plan_due = true;
    }

    /// Has a new life refuse orders that were given up in the life before.
    fn stop_unanswered_starts(
        &mut self,
        id: &WorkerId,
        mut unanswered_starts: Vec<(TaskId, u32, Timestamp)>,
        now: Timestamp,
    ) {
        unanswered_starts.retain(|(_, _, at)| now <= *at + UNANSWERED_START_LIFETIME);
        for (task, attempt, _) in &unanswered_starts {
            if let Some(worker) = self.workers.get_mut(id) {
                worker
                    .runs
                    .entry(*task)
                    .or_insert_with(|| Run::unknown(*attempt, RunState::Unsettled, now));
                self.stop_run(id, *task, "its order may reach the worker's new life", now);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unanswered_starts = unanswered_starts;
        }
    }

    /// A run is certainly over though its end was not listed: the task may start again.
    pub(super) fn end_unreported_run(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: Timestamp,
    ) {
        let run = RunId { task, attempt, worker: id.clone() };
        self.actions.push(Action::Log(LogEvent::RunEndedUnreported { run, reason }));
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
            task.run_workers.retain(|one| one != id);
            task.unavailable_since.get_or_insert(now);
        }
        self.plan_due = true;
    }

    /// Drops workers that are gone and on which nothing can run any more.
    fn remove_gone_workers(&mut self, now: Timestamp) {
        let gone: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| {
                worker.runs.is_empty()
                    && worker.missing_since.is_some_and(|since| now > since + MISSING_GRACE)
                    && (worker.is_adopted || now > worker.lease_expiry())
            })
            .map(|worker| worker.entry.id.clone())
            .collect();
        for worker in gone {
            self.workers.shift_remove(&worker);
            self.actions.push(Action::Log(LogEvent::Worker {
                worker: worker.clone(),
                change: "gone",
                runs: 0,
            }));
            self.record(Record::WorkerGone { worker }, now, None);
        }
    }

    /// Ends runs on workers on which every lease has run out.
    pub(super) fn expire_runs(&mut self, now: Timestamp) {
        let expired: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.runs.is_empty() && now > worker.lease_expiry())
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            // What started late may hold what has been booked anew; a list tells.
            worker.is_adopted = false;
            worker.next_hold = worker.next_hold.min(now);
            for (task, run) in std::mem::take(&mut worker.runs) {
                self.end_unreported_run(
                    &id,
                    task,
                    run.attempt,
                    "the worker's lease has run out",
                    now,
                );
            }
        }
    }

    pub(super) fn send_holds(&mut self, now: Timestamp) {
        let lease = self.cfg.lease;
        for (id, worker) in &mut self.workers {
            let settling = worker
                .runs
                .values()
                .any(|run| run.state == RunState::Unsettled || run.stopping.is_some());
            // A hold that waits for an end must not keep back the look that settles an order.
            let most = if settling { 2 } else { 1 };
            if worker.holds_in_flight >= most || now < worker.next_hold {
                continue;
            }
            worker.holds_in_flight += 1;
            worker.next_hold = now + HOLD_PAUSE;
            // Each order that brings no answer may still be carried out, so a lease that is renewed
            // at a silent worker would never be known to have run out.
            let lease_end =
                if worker.hold_failures == 0 { worker.lease_end(lease, now) } else { None };
            worker.lease_sent = worker.lease_sent.max(lease_end.unwrap_or(0));
            let unconfirmed = worker.ends_seen > worker.ends_durable;
            let wait = if worker.runs.is_empty() || unconfirmed || settling || !worker.is_adopted {
                Span(0)
            } else if worker.has_only_long_running() {
                LONG_RUNNING_WAIT
            } else {
                BUSY_WAIT
            };
            // A worker that did not answer may have started anew: its numbers would begin again, and
            // ends that nobody has seen would be forgotten.
            let last_seen = if worker.hold_failures == 0 { worker.ends_durable } else { 0 };
            self.actions.push(Action::Hold { worker: id.clone(), lease_end, last_seen, wait });
        }
    }

    /// A worker answered a hold that was sent at `sent`, or didn't.
    pub fn on_hold_answer(
        &mut self,
        id: &WorkerId,
        sent: Timestamp,
        report: Option<HoldReport>,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.holds_in_flight = worker.holds_in_flight.saturating_sub(1);
        let Some(report) = report else {
            worker.hold_failures += 1;
            worker.next_hold = now + FAILED_PAUSE;
            if worker.hold_failures == MAX_HOLD_FAILURES {
                let runs = worker.runs.len();
                self.actions.push(Action::Log(LogEvent::Worker {
                    worker: id.clone(),
                    change: "silent",
                    runs,
                }));
            }
            return;
        };
        if worker.entry.started_wall_ms != report.started_wall_ms && report.started_wall_ms != 0 {
            if worker.entry.started_wall_ms > report.started_wall_ms {
                // An answer of the life before, overtaken by the entry of the new one.
                worker.next_hold = now;
                return;
            }
            let entry =
                WorkerEntry { started_wall_ms: report.started_wall_ms, ..worker.entry.clone() };
            self.on_worker_restart(id, entry, now);
        }
        self.on_hold_report(id, sent, &report, now);
    }

    fn on_hold_report(
        &mut self,
        id: &WorkerId,
        sent: Timestamp,
        report: &HoldReport,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_silent = worker.hold_failures >= MAX_HOLD_FAILURES;
        let was_adopted = worker.is_adopted;
        let was_unanswered = worker.hold_failures > 0;
        let is_newest = report.clock_ms >= worker.listed_clock_ms;
        if is_newest {
            worker.listed_clock_ms = report.clock_ms;
            worker.record_clock(report.clock_ms, now);
        }
        worker.hold_failures = 0;
        worker.last_heard = now;
        worker.is_adopted = true;
        self.on_run_ends(id, &report.ends, now);
        // A list that was overtaken by a newer one says nothing of what runs now.
        if is_newest {
            for row in &report.running {
                self.on_listed_run(id, row, now);
            }
            self.end_unlisted_runs(id, sent, report, now);
            self.check_progress(id, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.next_hold = now + if worker.runs.is_empty() { IDLE_PAUSE } else { HOLD_PAUSE };
        if worker.ends_seen > worker.ends_durable {
            worker.next_hold = now + HOLD_PAUSE;
        }
        if !was_adopted || was_unanswered {
            // Its lease can be renewed only now that it answers.
            worker.next_hold = now;
        }
        if !was_adopted || was_silent {
            let (worker, runs) = (id.clone(), worker.runs.len());
            let change = if was_adopted { "heard again" } else { "adopted" };
            self.actions.push(Action::Log(LogEvent::Worker { worker, change, runs }));
            self.plan_due = true;
        }
    }

    /// Logs that a worker is used; it gets no orders before that is durable.
    fn log_worker_used(&mut self, id: &WorkerId, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.logged = Logged::Nothing;
        worker.times_logged += 1;
        let effect = DeferredEffect::WorkerLogged(id.clone(), worker.times_logged);
        self.record(Record::WorkerUsed { worker: id.clone() }, now, Some(effect));
    }

    /// Logs which workers that are to be emptied are, so that a later owner does not wait for what ran
    /// there; and which of those may be used after all.
    pub(super) fn log_drained_workers(&mut self, now: Timestamp) {
        let inherited = &self.inherited_workers;
        let is_emptied = |(id, worker): &(&WorkerId, &Worker)| {
            let has_no_orders = worker.is_adopted || worker.lease_sent == 0;
            let is_settled = has_no_orders && worker.runs.is_empty();
            let is_used = worker.logged == Logged::Used;
            is_used && worker.drain.is_some() && is_settled && !inherited.contains_key(*id)
        };
        let emptied: Vec<WorkerId> =
            self.workers.iter().filter(is_emptied).map(|(id, _)| id.clone()).collect();
        let back = |worker: &&Worker| worker.logged == Logged::Gone && worker.drain.is_none();
        let back: Vec<WorkerId> =
            self.workers.values().filter(back).map(|one| one.entry.id.clone()).collect();
        for id in emptied {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.logged = Logged::Gone;
            }
            self.record(Record::WorkerGone { worker: id }, now, None);
        }
        for id in back {
            self.log_worker_used(&id, now);
        }
    }

    /// Takes in a run that a worker lists.
    fn on_listed_run(&mut self, id: &WorkerId, row: &ListedRun, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.has_ended(row.task, row.attempt) {
            return;
        }
        if let Some(run) = worker.runs.get_mut(&row.task).filter(|run| run.attempt == row.attempt) {
            if run.state != RunState::Running {
                run.state = RunState::Running;
            }
            run.percent = row.percent;
            self.apply_listed_run(id, row, now);
            return;
        }
        self.adopt_run(id, row, now);
    }

    fn apply_listed_run(&mut self, id: &WorkerId, row: &ListedRun, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&row.task.job) else {
            return;
        };
        job.has_started = true;
        let Some(step) = job.spec.steps.get(row.task.step as usize) else {
            return;
        };
        let target = step.tail_target;
        if let Some(task) = job.task_mut(row.task) {
            task.unavailable_since =
                if row.percent >= 100 { None } else { task.unavailable_since.or(Some(now)) };
            if let Some(checkpoint) = &row.checkpoint {
                task.checkpoint = Some(std::sync::Arc::clone(checkpoint));
            }
        }
        if let Some(target) = target {
            self.pace_table.record_tail(id, row.task, target, row.gauge, now);
        }
    }

    /// A run that this owner has not ordered, or had given up.
    fn adopt_run(&mut self, id: &WorkerId, row: &ListedRun, now: Timestamp) {
        let wanted = self.jobs.get(&row.task.job).is_some_and(|job| {
            job.end.is_none()
                && job
                    .task(row.task)
                    .is_some_and(|task| !task.is_done && task.run_workers.is_empty())
        });
        let job = self.jobs.get_mut(&row.task.job);
        let step = job.as_ref().and_then(|job| job.spec.steps.get(row.task.step as usize).cloned());
        if let Some(job) = job {
            job.has_started = true;
            if let Some(task) = job.task_mut(row.task) {
                task.attempt = task.attempt.max(row.attempt);
                if !task.run_workers.contains(id) {
                    task.run_workers.push(id.clone());
                }
            }
        }
        let state = RunState::Running;
        let run = match &step {
            Some(step) => Run::new(row.attempt, step, state, now),
            None => Run::unknown(row.attempt, state, now),
        };
        let (percent, measured_percent) = (row.percent, row.percent);
        let run = Run { percent, measured_percent, is_duration_recorded: true, ..run };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(row.task, run);
        }
        // Whether it is at work shows in this row.
        self.apply_listed_run(id, row, now);
        if !wanted {
            self.stop_run(id, row.task, "nobody wants this run", now);
        }
    }

    /// Runs that the list would show if they were there.
    fn end_unlisted_runs(
        &mut self,
        id: &WorkerId,
        sent: Timestamp,
        report: &HoldReport,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_listed = |task: &TaskId, run: &Run| {
            let row = report.running.iter().any(|row| row.task == *task);
            row || report.ends.iter().any(|end| end.task == *task && end.attempt >= run.attempt)
        };
        // A run that is being stopped may be in neither list until its end is.
        let stop = Span(self.cfg.stop_timeout.0 + STOP_SHOWS.0);
        let gone: Vec<(TaskId, u32, &'static str)> = worker
            .runs
            .iter()
            .filter(|(task, run)| !is_listed(task, run))
            .filter_map(|(task, run)| {
                let confirmed = run.stopping.and_then(|stop| stop.confirmed);
                let reason = match (run.state, confirmed) {
                    (_, Some(at)) if sent > at + stop => "it was stopped before it started",
                    (RunState::Running, None)
                        if run.stopping.is_none() && sent > run.listed_after =>
                    {
                        "it is not listed any more"
                    }
                    _ => return None,
                };
                Some((*task, run.attempt, reason))
            })
            .collect();
        for (task, attempt, reason) in gone {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.runs.shift_remove(&task);
            }
            self.end_unreported_run(id, task, attempt, reason, now);
        }
    }

    /// Which workers are to be emptied, each with how soon; the others may be used.
    pub fn set_drains(&mut self, drains: IndexMap<WorkerId, DrainMode>) {
        for (id, worker) in &mut self.workers {
            worker.drain = drains.get(id).copied();
        }
        self.drains = drains;
        self.plan_due = true;
    }

    /// Workers that are to be emptied and are.
    #[must_use]
    pub fn drained_workers(&self) -> Vec<WorkerId> {
        let is_empty = |id: &&WorkerId| match self.workers.get(*id) {
            Some(worker) => worker.is_adopted && worker.runs.is_empty(),
            // A worker that the store has not listed may still run what earlier owners ordered.
            None => self.has_worker_list && self.inherited_workers.is_empty(),
        };
        self.drains.keys().filter(is_empty).cloned().collect()
    }

    /// Whether a worker may get new work.
    pub(super) fn is_usable(worker: &Worker, now: Timestamp) -> bool {
        worker.is_adopted
            && worker.logged == Logged::Used
            && worker.clock.is_some()
            && worker.drain.is_none()
            && !worker.entry.draining
            && worker.hold_failures < MAX_HOLD_FAILURES
            && now >= worker.excluded_until
            && (!worker.on_probation || worker.has_only_long_running())
            && worker.missing_since.is_none_or(|since| now <= since + MISSING_GRACE)
    }
}
