//! Placements of long-running tasks, which are durable before the start order is sent.
//!
//! A new owner that knows the only worker on which a task may run need not wait for any other one.
//! Other tasks are placed too often for a record each; an order to start one of them is sent at
//! once, and a new owner waits for all workers of earlier terms before it starts one.

use indexmap::IndexMap;

use super::{
    super::{
        Action, LogEvent, PlacedTask, Record, RunId, Step, StepId, TaskId, WorkerId,
        place::{self, PlacementCandidate},
        task::{Placement, Task},
        worker::{Run, RunState, Worker},
    },
    Cell, DeferredEffect,
    plan::count_step_runs,
};
use crate::Timestamp;

/// The number of failures of a task on one worker from which on other workers are as good.
const MAX_FAILURES_IN_PLACE: u32 = 2;

/// Whether the placements of a step's tasks are logged.
pub(super) fn is_logged(step: &Step) -> bool {
    step.long_running && !step.gang
}

/// Whether a task must wait for the worker that the log names for it, on which a run of an earlier
/// term may be alive.
pub(super) fn awaits_worker(task: &Task, inherited: &IndexMap<WorkerId, Timestamp>) -> bool {
    task.placement.as_ref().is_some_and(|placement| inherited.contains_key(&placement.worker))
}

impl Cell {
    /// Books resources for a run of a task on a worker, and sends the start order as soon as the
    /// log allows. The caller has checked that the task may run there. Returns `None` if no order
    /// has been sent yet.
    pub(super) fn place_task(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        attempt: u32,
        now: Timestamp,
    ) -> Option<PlacedTask> {
        let is_logged = self.step(task).map(is_logged)? || self.is_suspected(task);
        self.book_run(id, task, attempt, now);
        if !is_logged {
            return self.start_task(id, task, now);
        }
        if self.is_on_trial(task) {
            self.note_trial(task, attempt);
        }
        let effect = DeferredEffect::PlacementDurable(id.clone(), task, attempt);
        let task_state = self.jobs.get(&task.job)?.task(task)?;
        match &task_state.placement {
            // Each start of a suspected task is a record, as each may be lost with its owner.
            Some(placement) if placement.worker == *id && !self.is_suspected(task) => {
                if placement.position <= self.log.durable() {
                    return self.start_task(id, task, now);
                }
                self.defer_until_durable(effect, now);
            }
            _ => self.log_placement(id, (task, attempt), effect, now),
        }
        None
    }

    fn log_placement(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        effect: DeferredEffect,
        now: Timestamp,
    ) {
        let (worker, address) =
            (id.clone(), self.workers.get(id).map(|worker| worker.entry.address));
        let is_trial = self.was_trial(task, attempt);
        let instance = self.workers.get(id).and_then(Worker::instance);
        let placed = Record::Placed { task, attempt, worker, address, instance, is_trial };
        self.record(placed, now, Some(effect));
        let position = self.log.appended();
        let placement = Placement { worker: id.clone(), address, instance, position, failures: 0 };
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
            task.placement = Some(placement);
        }
    }

    /// Logs where a task whose placements are logged has been found to run, if the log names another
    /// worker.
    pub(super) fn log_adopted_run(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        now: Timestamp,
    ) {
        let run = self.workers.get(id).and_then(|worker| worker.runs.get(&task));
        let goes_on = run.is_some_and(|run| run.stopping.is_none());
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let placement = state.and_then(|task| task.placement.as_ref());
        let is_elsewhere = placement.is_some_and(|placement| placement.worker != *id);
        if goes_on && is_elsewhere && self.step(task).is_some_and(is_logged) {
            let effect = DeferredEffect::PlacementDurable(id.clone(), task, attempt);
            self.log_placement(id, (task, attempt), effect, now);
        }
    }

    /// Adds a run for which no order has been sent.
    fn book_run(&mut self, id: &WorkerId, task: TaskId, attempt: u32, now: Timestamp) {
        let is_suspected = self.is_suspected(task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = std::sync::Arc::clone(&job.spec);
        let Some(task_state) = job.task_mut(task) else {
            return;
        };
        task_state.attempt = attempt;
        task_state.run_workers.push(id.clone());
        // The task counts as unavailable until its run works at full speed.
        task_state.unavailable_since.get_or_insert(now);
        let step = &spec.steps[task.step as usize];
        let run = Run { is_suspected, ..Run::new(attempt, step, RunState::Planned, now) };
        worker.runs.insert(task, run);
    }

    /// Sends the start orders of the runs whose placements have become durable, and logs them. Those for
    /// which too many orders are in flight go first once there is room.
    pub(super) fn start_placed_tasks(&mut self, now: Timestamp) {
        let mut placed: IndexMap<StepId, Vec<PlacedTask>> = IndexMap::new();
        for (id, task, attempt) in std::mem::take(&mut self.durable_placements) {
            if self.waits_for_window(&id, (task, attempt), now) {
                self.durable_placements.push((id, task, attempt));
                continue;
            }
            if let Some(placed_task) = self.start_placed_task(&id, (task, attempt), now) {
                placed.entry(task.step_id()).or_default().push(placed_task);
            }
        }
        for (step, tasks) in placed {
            self.log_placed(step, tasks, now);
        }
    }

    /// Whether the order of a planned run waits only until fewer orders to all workers are in flight.
    fn waits_for_window(
        &self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        now: Timestamp,
    ) -> bool {
        let is_planned = |worker: &Worker| {
            let run = worker.runs.get(&task).filter(|run| run.attempt == attempt);
            run.is_some_and(|run| run.state == RunState::Planned)
                && Self::is_usable_for(worker, task, now)
        };
        !self.start_window.has_room() && self.workers.get(id).is_some_and(is_planned)
    }

    /// Sends the start order of a run whose placement is durable. If the worker can't be used any
    /// more, or too many start orders are in flight, the task is planned again.
    fn start_placed_task(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        now: Timestamp,
    ) -> Option<PlacedTask> {
        let worker = self.workers.get(id)?;
        let run = worker.runs.get(&task).filter(|run| run.attempt == attempt)?;
        if run.state != RunState::Planned {
            return None;
        }
        let withheld = if !Self::is_usable_for(worker, task, now) {
            Some("worker can't be used")
        } else if !self.start_window.has_room_at(id) {
            Some("too many orders in flight")
        } else {
            None
        };
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let other_runs =
            state.map_or(0, |task| task.run_workers.iter().filter(|worker| *worker != id).count());
        let run = RunId { task, attempt, worker: id.clone() };
        self.actions.push(Action::Log(LogEvent::PlannedStart { run, other_runs, withheld }));
        if withheld.is_some() {
            self.withdraw_run(id, task);
            return None;
        }
        self.start_task(id, task, now)
    }

    /// Removes a run for which no order has been sent; the task may start elsewhere.
    pub(super) fn withdraw_run(&mut self, id: &WorkerId, task: TaskId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.shift_remove(&task);
        }
        if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
            task.run_workers.retain(|worker| worker != id);
        }
        self.plan_due = true;
    }

    /// Suspects the tasks under which workers were lost before and which the log places on a worker of
    /// an earlier term that has just listed neither a run of theirs nor its end, unless it is still the
    /// instance that the log names: it has not restarted since, and the order has not reached it.
    pub(super) fn suspect_unlisted_tasks(&mut self, id: &WorkerId, now: Timestamp) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_unlisted = |suspect: &&TaskId| {
            let task = self.jobs.get(&suspect.job).and_then(|job| job.task(**suspect));
            task.is_some_and(|task| {
                let placement = task.placement.as_ref();
                let may_be_lost = |placement: &Placement| {
                    placement.is_inherited_on(id)
                        && worker.has_restarted_since(placement) != Some(false)
                };
                placement.is_some_and(may_be_lost)
                    && !task.is_done
                    && task.run_workers.is_empty()
                    && !worker.has_ended(**suspect, task.attempt)
            })
        };
        let unlisted: Vec<TaskId> = self.suspects.iter().filter(is_unlisted).copied().collect();
        for suspect in unlisted {
            let task = self.jobs.get(&suspect.job).and_then(|job| job.task(suspect));
            if let Some(attempt) = task.map(|task| task.attempt) {
                self.suspect_inherited_task((suspect, attempt), id, now);
            }
        }
    }

    /// Delays tasks that the log places on a worker which has just been adopted and lists neither a run
    /// of theirs nor its end. The previous owner may have ordered the worker to stop it, and a run
    /// that is being stopped is in no list. Restarts of the worker don't delay them beyond the expiry of its
    /// leases of earlier terms.
    pub(super) fn await_earlier_stops(&mut self, id: &WorkerId, now: Timestamp) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let may_be_ending = |id: TaskId, task: &Task| {
            let placement = task.placement.as_ref();
            placement.is_some_and(|placement| placement.is_inherited_on(&worker.entry.id))
                && !task.is_done
                && task.run_workers.is_empty()
                && !worker.has_ended(id, task.attempt)
        };
        let logged = self.jobs.open().filter(|(_, job)| job.spec.steps.iter().any(is_logged));
        let delayed: Vec<TaskId> = logged
            .flat_map(|(job_id, job)| job.task_ids(job_id).into_iter().map(move |id| (id, job)))
            .filter(|(id, job)| job.task(*id).is_some_and(|task| may_be_ending(*id, task)))
            .map(|(id, _)| id)
            .collect();
        let stops_end = now + Self::stop_limit(&self.cfg);
        let not_before =
            if worker.has_restarted { stops_end.min(worker.inherited_expiry) } else { stops_end };
        for id in delayed {
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) {
                task.not_before = task.not_before.max(not_before);
            }
        }
    }

    /// Records that a run of a task failed on a worker or that its start order got no answer.
    pub(super) fn record_failure_in_place(&mut self, id: &WorkerId, task: TaskId) {
        let task = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
        let placement = task.and_then(|task| task.placement.as_mut());
        if let Some(placement) = placement.filter(|placement| placement.worker == *id) {
            placement.failures += 1;
        }
    }

    /// The candidate that the log already names for a task, if the task may start there again.
    /// That needs no record, so it works while the store accepts no writes.
    pub(super) fn candidate_in_place(
        &self,
        task: TaskId,
        step: &Step,
        candidates: &[PlacementCandidate],
    ) -> Option<usize> {
        let state = self.jobs.get(&task.job)?.task(task)?;
        let placement = state.placement.as_ref().filter(|_| state.lost_runs.is_empty())?;
        if placement.failures >= MAX_FAILURES_IN_PLACE {
            return None;
        }
        let step_runs = count_step_runs(&self.workers, &placement.worker, task.step_id());
        candidates.iter().position(|candidate| {
            candidate.worker == placement.worker && place::is_allowed(candidate, step, step_runs)
        })
    }
}
