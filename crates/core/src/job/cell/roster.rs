//! The workers of a cell: their entries in the store, the runs that they list, and when runs have
//! certainly ended.

use indexmap::IndexMap;

use super::{
    super::{
        Action, DrainMode, HoldReport, InstructionNumber, LeaseWait, ListedRun, LogEvent, Record,
        RunId, TaskId, WorkerEntry, WorkerId,
        worker::{InstanceOrder, Logged, Run, RunState, StopOrder, StrayLease, Worker},
    },
    Cell, CellConfig, DeferredEffect,
    holds::MAX_HOLD_FAILURES,
    orders::START_UNANSWERED,
    trials::SURVIVAL,
};
use crate::{Epoch, Span, Timestamp};

/// The longest time from the completion of a stop until the worker lists the end of the run.
const END_LISTING_DELAY: Span = Span(50);

/// How long drains last without a word of the fleet's owner. An order about a VM that rests on the last
/// report has taken effect by then: the report is under way for 0.8 s and believed for 1.5 s, the order
/// is sent within 1 s, its call takes 1.5 s at most, and one without an answer is carried out within 3 s
/// after that, as the fleet's owner reckons, too.
const FLEET_ABSENCE: Span = Span(9_000);

/// The record that a worker is used, with what the next owner must know of its leases.
pub(super) fn used_record(worker: &Worker, now: Timestamp) -> Record {
    let (name, lease) = (worker.started_wall_ms, worker.stray_lease);
    let is_known = name != 0 && worker.clock.is_some() && lease.is_final();
    Record::WorkerUsed {
        worker: worker.entry.id.clone(),
        instance: is_known.then_some(name),
        stray_until_ms: Some(lease.expiry().0).filter(|until| *until > now.0),
        is_copy: worker.times_logged == 0,
    }
}

impl Cell {
    /// Updates the workers from the list in the platform's store. A list that is not complete,
    /// because the store was unavailable, says nothing about workers that it lacks.
    pub fn update_workers(&mut self, entries: Vec<WorkerEntry>, is_complete: bool, now: Timestamp) {
        let mut listed: IndexMap<WorkerId, WorkerEntry> =
            entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
        for worker in self.workers.values_mut().filter(|_| is_complete) {
            if listed.contains_key(&worker.entry.id) {
                continue;
            }
            worker.missing_until = now;
            if worker.missing_since.is_none() {
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
        self.has_worker_list |= is_complete;
        self.plan_due = true;
    }

    fn update_entry(&mut self, entry: WorkerEntry, now: Timestamp) {
        let id = entry.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            // Earlier owners may have used the worker; their orders expire by this time.
            let expiry = self.earlier_leases_expiry;
            self.actions.push(Action::Log(LogEvent::Worker {
                worker: id.clone(),
                change: "found",
                runs: 0,
            }));
            let mut worker = Worker::new(entry, expiry, now);
            worker.drain = self.drains.get(&id).copied();
            worker.open_orders = self.inherited_starts.take(&id);
            worker.stray_lease = self.stray_lease_of(&id);
            Self::update_stays_until(&mut worker, now);
            self.workers.insert(id.clone(), worker);
            self.confirm_replaced(&id, now);
            return;
        };
        worker.missing_since = None;
        let started_wall_ms = entry.started_wall_ms;
        let order = worker.place_entry(started_wall_ms);
        let event = worker.other_instance("entry", (started_wall_ms, None), order, now);
        self.actions.extend(event.map(LogEvent::OtherInstance).map(Action::Log));
        match order {
            // The store lists an entry until its successor is written.
            InstanceOrder::Earlier => {}
            InstanceOrder::Same => {
                worker.on_own_entry(started_wall_ms, now);
                let begins_to_leave = entry.is_draining && !worker.entry.is_draining;
                worker.entry = entry;
                Self::update_stays_until(worker, now);
                if begins_to_leave {
                    let (change, runs) = ("leaving", worker.runs.len());
                    self.actions.push(Action::Log(LogEvent::Worker { worker: id, change, runs }));
                }
            }
            InstanceOrder::Open => worker.keep_open_entry(entry, now),
            InstanceOrder::Later => self.on_worker_restart(&id, started_wall_ms, Some(entry), now),
        }
    }

    /// What a worker that the store lists, and of which nothing is known, may have got from calls to another
    /// instance.
    fn stray_lease_of(&self, id: &WorkerId) -> StrayLease {
        if self.fences.has_called(id) {
            // It was gone, and may be another instance than the one that was called. Calls to that one
            // without an answer are outranked by each later one.
            return StrayLease::open(Timestamp(0));
        }
        self.inherited_leases.get(id).unwrap_or(StrayLease::NONE)
    }

    pub(super) fn update_stays_until(worker: &mut Worker, now: Timestamp) {
        if !worker.entry.is_draining {
            worker.stays_until = None;
            return;
        }
        let left = worker.entry.leaves_in.unwrap_or_default();
        // Entries are some time old when they are read, so the earliest deadline is kept.
        let deadline = now + left;
        worker.stays_until = Some(worker.stays_until.map_or(deadline, |old| old.min(deadline)));
    }

    /// Handles a run that has certainly ended although its end was not listed; the task may start
    /// again.
    pub(super) fn end_unreported_run(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: Timestamp,
    ) {
        let run = RunId { task, attempt, worker: id.clone() };
        self.note_unreported_end(run, (reason, None), now);
    }

    fn note_unreported_end(
        &mut self,
        run: RunId,
        (reason, wait): (&'static str, Option<LeaseWait>),
        now: Timestamp,
    ) {
        let (task, id) = (run.task, run.worker.clone());
        self.actions.push(Action::Log(LogEvent::RunEndedUnreported { run, reason, wait }));
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
            task.run_workers.retain(|worker| *worker != id);
            task.unavailable_since.get_or_insert(now);
        }
        self.plan_due = true;
    }

    /// Removes workers that are missing from the store and on which nothing can run any more.
    fn remove_gone_workers(&mut self, now: Timestamp) {
        let longest_lease = self.longest_lease();
        let inherited = &self.inherited_workers;
        let has_lapsed = |worker: &Worker| {
            !inherited.contains_key(&worker.entry.id)
                && now > worker.lease_expiry(longest_lease, now)
        };
        let gone: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| {
                worker.runs.is_empty()
                    && worker.is_gone(now)
                    // Should it return, it must be told to refuse these.
                    && !worker.has_open_orders(now)
                    && (worker.is_adopted || has_lapsed(worker))
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

    /// How long a run that is being stopped may be listed neither as running nor as ended.
    pub(super) fn stop_limit(cfg: &CellConfig) -> Span {
        Span(cfg.stop_timeout.0 + END_LISTING_DELAY.0)
    }

    /// Ends the runs that never started, and whose start orders have expired.
    pub(super) fn expire_orders(&mut self, now: Timestamp) {
        let stop_limit = Self::stop_limit(&self.cfg);
        let mut expired = Vec::new();
        for (id, worker) in &mut self.workers {
            for (task, run) in worker.runs.extract_if(.., |_, run| run.has_expired(stop_limit, now))
            {
                expired.push((id.clone(), task, run.attempt));
            }
        }
        for (id, task, attempt) in expired {
            self.end_unreported_run(&id, task, attempt, "start order expired", now);
        }
    }

    /// Ends the runs of workers whose newest known instance has no lease any more, each once it can't be alive
    /// in another instance and no copy of a start order for its task is open there.
    pub(super) fn expire_runs(&mut self, now: Timestamp) {
        let (longest_lease, sole_until) = (self.longest_lease(), self.sole_until);
        let expired: Vec<(WorkerId, bool)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_ordered_runs())
            .filter(|(_, worker)| self.has_lapsed(worker.own_lease_expiry(), now))
            .map(|(id, worker)| {
                (id.clone(), self.has_lapsed(worker.lease_expiry(longest_lease, now), now))
            })
            .collect();
        for (id, is_all_lapsed) in expired {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let is_lost = |(_, run): &(&TaskId, &Run)| !run.awaits_release;
            let lost = worker.runs.iter().filter(is_lost);
            let lost: Vec<(TaskId, Run)> = lost.map(|(task, run)| (*task, run.clone())).collect();
            let lapsed = worker.take_lapsed_runs((longest_lease, is_all_lapsed), sole_until, now);
            if lapsed.is_empty() && (lost.is_empty() || !is_all_lapsed) {
                continue;
            }
            // A late start may take resources that are then booked for another run, so the worker
            // gets no tasks until a new list shows its runs.
            worker.is_adopted = false;
            worker.next_hold = worker.next_hold.min(now);
            let wait = |(task, run): (TaskId, Run)| {
                let wait = worker.lease_wait((task, &run), longest_lease, now);
                (RunId { task, attempt: run.attempt, worker: id.clone() }, wait)
            };
            let lapsed: Vec<_> = lapsed.into_iter().map(wait).collect();
            if !lost.is_empty() {
                self.suspect_tasks(&id, lost.iter().map(|(task, run)| (task, run)), false, now);
            }
            for (run, wait) in lapsed {
                self.note_unreported_end(run, ("lease expired", Some(wait)), now);
            }
        }
    }

    /// Logs that a worker is used; it gets no orders before that record is durable.
    pub(super) fn log_worker_used(&mut self, id: &WorkerId, now: Timestamp) {
        self.log_worker(id, Logged::Used, now);
    }

    /// Logs whether a worker is used or gone. Until the record is durable, nothing counts as
    /// logged.
    fn log_worker(&mut self, id: &WorkerId, state: Logged, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.logged = Logged::Nothing;
        worker.times_logged += 1;
        let effect = DeferredEffect::WorkerLogged(id.clone(), worker.times_logged, state);
        let record = match state {
            Logged::Gone => Record::WorkerGone { worker: id.clone() },
            Logged::Nothing | Logged::Used => used_record(worker, now),
        };
        self.record(record, now, Some(effect));
    }

    /// Logs which workers are drained, so that a later owner does not wait for their runs, and
    /// which of them are used again.
    pub(super) fn log_drained_workers(&mut self, now: Timestamp) {
        let inherited = &self.inherited_workers;
        let is_drained = |(id, worker): &(&WorkerId, &Worker)| {
            let has_no_orders = worker.is_adopted || worker.last_lease_end_sent == 0;
            let is_settled = has_no_orders && worker.runs.is_empty();
            let is_used = worker.logged == Logged::Used;
            is_used && worker.drain.is_some() && is_settled && !inherited.contains_key(*id)
        };
        let drained: Vec<WorkerId> =
            self.workers.iter().filter(is_drained).map(|(id, _)| id.clone()).collect();
        // The store lists a worker for a while after its VM was moved.
        let is_used_again = |worker: &&Worker| {
            worker.logged == Logged::Gone && worker.drain.is_none() && !worker.is_unresponsive(now)
        };
        let used_again: Vec<WorkerId> = self
            .workers
            .values()
            .filter(is_used_again)
            .map(|worker| worker.entry.id.clone())
            .collect();
        for id in drained {
            self.log_worker(&id, Logged::Gone, now);
        }
        for id in used_again {
            self.log_worker_used(&id, now);
        }
    }

    /// Handles a run that a worker's list shows, asked for at `sent`.
    pub(super) fn on_listed_run(
        &mut self,
        id: &WorkerId,
        listed_run: &ListedRun,
        (sent, now): (Timestamp, Timestamp),
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.has_ended(listed_run.task, listed_run.attempt) {
            return;
        }
        if let Some(run) =
            worker.runs.get_mut(&listed_run.task).filter(|run| run.attempt == listed_run.attempt)
        {
            run.on_listed(listed_run.progress_percent, (sent, now));
            let alive = run.alive;
            if alive >= SURVIVAL {
                self.on_survived(listed_run.task, alive, now);
            }
            self.revoke_stop(id, listed_run.task);
            self.apply_listed_run(id, listed_run, (sent, now));
            return;
        }
        self.adopt_run(id, listed_run, (sent, now));
    }

    fn apply_listed_run(
        &mut self,
        id: &WorkerId,
        listed_run: &ListedRun,
        (sent, now): (Timestamp, Timestamp),
    ) {
        let Some(job) = self.jobs.get_mut(&listed_run.task.job) else {
            return;
        };
        job.has_started = true;
        let Some(step) = job.spec.steps.get(listed_run.task.step as usize) else {
            return;
        };
        let (target, is_long_running) = (step.tail_target, step.long_running);
        if let Some(task) = job.task_mut(listed_run.task) {
            task.last_shown = task.last_shown.max(Some(sent));
            task.unavailable_since = if listed_run.progress_percent >= 100 {
                None
            } else {
                task.unavailable_since.or(Some(now))
            };
            task.has_worked |= is_long_running && listed_run.progress_percent >= 100;
            if let Some(checkpoint) = &listed_run.checkpoint {
                task.checkpoint = Some(std::sync::Arc::clone(checkpoint));
            }
        }
        if is_long_running && listed_run.progress_percent >= 100 {
            self.clear_suspicion(listed_run.task);
        }
        if let Some(target) = target {
            self.pace_table.record_tail(
                id,
                listed_run.task,
                target,
                listed_run.tail_ms_or_cpu,
                now,
            );
        }
    }

    /// Withdraws the runs of a task for which no order has been sent.
    fn withdraw_planned_runs(&mut self, task: TaskId) {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        for id in state.map(|task| task.run_workers.clone()).unwrap_or_default() {
            let run = self.workers.get(&id).and_then(|worker| worker.runs.get(&task));
            if run.is_some_and(|run| run.state == RunState::Planned) {
                self.withdraw_run(&id, task);
            }
        }
    }

    /// Adopts a listed run that this owner has not ordered or had given up; stops it if it is not
    /// needed.
    pub(super) fn adopt_run(
        &mut self,
        id: &WorkerId,
        listed_run: &ListedRun,
        (sent, now): (Timestamp, Timestamp),
    ) {
        self.withdraw_planned_runs(listed_run.task);
        let is_needed = self.jobs.get(&listed_run.task.job).is_some_and(|job| {
            job.end.is_none()
                && job
                    .task(listed_run.task)
                    .is_some_and(|task| !task.is_done && task.run_workers.is_empty())
        });
        let job = self.jobs.get_mut(&listed_run.task.job);
        let step =
            job.as_ref().and_then(|job| job.spec.steps.get(listed_run.task.step as usize).cloned());
        if let Some(job) = job {
            job.has_started = true;
            if let Some(task) = job.task_mut(listed_run.task) {
                task.attempt = task.attempt.max(listed_run.attempt);
                if !task.run_workers.contains(id) {
                    task.run_workers.push(id.clone());
                }
            }
        }
        let state = RunState::Running;
        let run = match &step {
            Some(step) => Run::new(listed_run.attempt, step, state, now),
            None => Run::unknown(listed_run.attempt, state, now),
        };
        let (measured_percent, skips_duration) = (listed_run.progress_percent, true);
        let mut run = Run { measured_percent, skips_duration, confirmed_pace: None, ..run };
        run.on_listed(listed_run.progress_percent, (sent, now));
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(listed_run.task, run);
        }
        let run = RunId { task: listed_run.task, attempt: listed_run.attempt, worker: id.clone() };
        self.actions.push(Action::Log(LogEvent::RunAdopted { run, is_needed }));
        // The list also shows whether the task is available.
        self.apply_listed_run(id, listed_run, (sent, now));
        if !is_needed {
            self.stop_unneeded_run(id, listed_run.task, now);
        }
        self.log_adopted_run(id, (listed_run.task, listed_run.attempt), now);
    }

    /// Stops a listed run that is not needed. If it is of a long-running task and at work, and the
    /// runs that the owner has ordered elsewhere are not, those are stopped instead.
    fn stop_unneeded_run(&mut self, id: &WorkerId, task: TaskId, now: Timestamp) {
        let job = self.jobs.get(&task.job).filter(|job| job.end.is_none());
        let state = job.and_then(|job| job.task(task));
        let run_workers = state.map(|task| task.run_workers.clone()).unwrap_or_default();
        let is_at_work = |worker: &WorkerId| {
            let run = self.workers.get(worker).and_then(|worker| worker.runs.get(&task));
            run.is_some_and(|run| run.is_at_work() && run.stopping.is_none())
        };
        let others: Vec<WorkerId> = run_workers.into_iter().filter(|other| other != id).collect();
        if others.is_empty() || !is_at_work(id) || others.iter().any(is_at_work) {
            self.stop_run(id, task, "run not needed", now);
            return;
        }
        for other in others {
            self.stop_run(&other, task, "another run is at work", now);
        }
    }

    /// Ends the runs that a worker's list would show if they still existed.
    pub(super) fn end_unlisted_runs(
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
            let is_running = report.running.iter().any(|listed_run| listed_run.task == *task);
            is_running
                || report.ends.iter().any(|end| end.task == *task && end.attempt >= run.attempt)
        };
        let stop_limit = Self::stop_limit(&self.cfg);
        // A revoked stop was executed after all if such a run is not listed any more.
        let is_gone = |task: &TaskId, run: &Run| {
            let is_settled = run.is_settled() && sent > run.expect_in_lists_after;
            is_settled && run.had_stop_order && !is_listed(task, run)
        };
        for (task, run) in &mut worker.runs {
            if is_gone(task, run) {
                let confirmed = Some(now);
                run.stopping = Some(StopOrder { next: None, confirmed, ..StopOrder::new(now) });
            }
        }
        for (_, run) in worker.runs.iter_mut().filter(|(task, run)| !is_listed(task, run)) {
            run.on_unlisted(sent);
        }
        let ended: Vec<(TaskId, u32, &'static str)> = worker
            .runs
            .iter()
            .filter(|(task, run)| !is_listed(task, run))
            .filter_map(|(task, run)| {
                let confirmed = run.stopping.and_then(|stop| stop.confirmed);
                let reason = match (run.state, confirmed) {
                    (_, Some(at)) if sent > at + stop_limit => "stopped before start",
                    (RunState::Running, None)
                        if run.stopping.is_none() && sent > run.expect_in_lists_after =>
                    {
                        "run no longer listed"
                    }
                    _ => return None,
                };
                Some((*task, run.attempt, reason))
            })
            .collect();
        let is_missing = |(task, run): &(&TaskId, &Run)| {
            run.state == RunState::Unsettled
                && run.stopping.is_none()
                && sent > run.expect_in_lists_after
                && !is_listed(task, run)
        };
        let missing: Vec<TaskId> =
            worker.runs.iter().filter(is_missing).map(|(&task, _)| task).collect();
        for (task, attempt, reason) in ended {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.runs.shift_remove(&task);
            }
            self.end_unreported_run(id, task, attempt, reason, now);
        }
        for task in missing {
            self.stop_run(id, task, START_UNANSWERED, now);
        }
    }

    /// Sets which workers are to be drained and how, for as long as nothing else is said; all others may
    /// be used.
    pub fn set_drains(&mut self, drains: IndexMap<WorkerId, DrainMode>) {
        for (id, worker) in &mut self.workers {
            worker.drain = drains.get(id).copied();
        }
        self.drains = drains;
        self.drains_expiry = None;
        self.plan_due = true;
    }

    /// Takes from the fleet's owner of this epoch which workers to drain and how. Returns `false`, without
    /// any effect, if a later instruction has come, of this owner or of a later one. The drains end if no owner of the fleet is
    /// heard again for so long that no order can rest on a report to this one.
    pub fn instruct(
        &mut self,
        (epoch, number): (Epoch, InstructionNumber),
        drains: IndexMap<WorkerId, DrainMode>,
        now: Timestamp,
    ) -> bool {
        let is_overtaken = epoch == self.fleet_epoch && number < self.last_instruction;
        if is_overtaken || !self.accept_fleet(epoch) {
            return false;
        }
        self.last_instruction = number;
        self.set_drains(drains);
        self.drains_expiry = Some(now + FLEET_ABSENCE);
        true
    }

    /// Whether the fleet's owner of this epoch may say which workers to drain. Once a later one has,
    /// it may not.
    pub fn accept_fleet(&mut self, epoch: Epoch) -> bool {
        self.fleet_epoch = self.fleet_epoch.max(epoch);
        epoch == self.fleet_epoch
    }

    /// Uses the workers that are drained if the fleet's owner is silent.
    pub(super) fn expire_drains(&mut self, now: Timestamp) {
        if self.drains_expiry.is_some_and(|expiry| now >= expiry) {
            self.set_drains(IndexMap::new());
        }
    }

    /// The workers that are to be drained and have no runs left, according to the durable log. Once
    /// they are moved they no longer answer, and a later owner must not wait for them.
    #[must_use]
    pub fn drained_workers(&self) -> Vec<WorkerId> {
        let is_drained = |id: &&WorkerId| match self.workers.get(*id) {
            Some(worker) => {
                worker.is_adopted && worker.runs.is_empty() && worker.logged == Logged::Gone
            }
            // A worker that the store has not listed may still have runs of earlier terms.
            None => self.has_worker_list && self.inherited_workers.is_empty(),
        };
        self.drains.keys().filter(is_drained).cloned().collect()
    }

    /// Whether a worker may get new tasks.
    pub(super) fn is_usable(worker: &Worker, now: Timestamp) -> bool {
        Self::takes_tasks(worker, now) && (!worker.on_probation || worker.has_only_long_running())
    }

    /// Whether a worker may get a task that is booked there.
    pub(super) fn is_usable_for(worker: &Worker, booked: TaskId, now: Timestamp) -> bool {
        let is_only_one =
            || worker.runs.iter().all(|(id, run)| *id == booked || run.is_long_running);
        Self::takes_tasks(worker, now) && (!worker.on_probation || is_only_one())
    }

    fn takes_tasks(worker: &Worker, now: Timestamp) -> bool {
        worker.is_adopted
            && worker.logged == Logged::Used
            && worker.clock.is_some()
            && worker.drain.is_none()
            && !worker.awaits_answer
            && !worker.may_have_restarted()
            && !worker.entry.is_draining
            && worker.hold_failures < MAX_HOLD_FAILURES
            && now >= worker.excluded_until
            && !worker.is_gone(now)
    }
}
