//! Draining workers that leave, move to another pool or are due for maintenance.

use super::{
    super::{
        DrainMode, Step, TaskId, WorkerId,
        place::{self, PlacementCandidate},
        worker::{Run, RunState, Worker},
    },
    Cell,
    plan::count_step_runs,
    start_scope::StartScope,
};
use crate::{Span, Timestamp};

/// Why a run is stopped whose worker has announced that it leaves.
pub(super) const WORKER_LEAVING: &str = "worker leaving";

/// Why a run is stopped whose worker is to be drained.
pub(super) const WORKER_DRAINED: &str = "worker being drained";

/// How long before the deadline of a leaving worker its remaining runs are stopped, in addition to
/// the time that a stop takes.
const LEAVE_MARGIN: Span = Span(700);

/// The same, however many long-running tasks are away.
const LAST_LEAVE_MARGIN: Span = Span(300);

/// The least time that a run is assumed to have left, in percent of its total time.
const MIN_TIME_LEFT_PERCENT: u64 = 20;

impl Cell {
    /// Stops runs on workers that leave or are to be drained.
    pub(super) fn drain_workers(&mut self, now: Timestamp) {
        let runs = self.runs_to_stop(now);
        if runs.is_empty() {
            return;
        }
        let mut candidates = self.placement_candidates(now);
        for (id, task, reason) in runs {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let stops_without_room =
                worker.entry.is_draining || worker.drain == Some(DrainMode::StopAll);
            if self.may_stop_on(&id, task, now)
                && (self.reserve_elsewhere(task, &mut candidates, now) || stops_without_room)
            {
                self.stop_run(&id, task, reason, now);
            }
        }
    }

    /// Whether a run may be stopped to empty its worker. While the task could start nowhere else, it waits for
    /// its worker's notice to run out, or for a wave to be late, as these promises come first.
    pub(super) fn may_stop_on(&self, id: &WorkerId, task: TaskId, now: Timestamp) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        if !worker.entry.is_draining {
            let is_urgent = worker.drain == Some(DrainMode::StopAll);
            let is_bound = || self.is_bound_by_order(worker, task, now);
            return self.may_end(task, now) && (is_urgent || !is_bound());
        }
        if self.is_leave_due(worker, LAST_LEAVE_MARGIN, now) {
            return true;
        }
        if self.is_leave_due(worker, LEAVE_MARGIN, now) {
            // An order that was sent before this worker's notice is given the time to take effect.
            return !self.is_other_being_ended(task);
        }
        self.may_end_on_leaving(task, now) && !self.is_bound_by_order(worker, task, now)
    }

    /// Whether a task whose run is stopped now could not start on every worker, as an order of before may still be
    /// carried out. A gang starts as a whole, so that each member counts. What is only planned is merely withdrawn.
    pub(super) fn is_bound_by_order(&self, worker: &Worker, id: TaskId, now: Timestamp) -> bool {
        if worker.runs.get(&id).is_some_and(|run| run.state == RunState::Planned) {
            return false;
        }
        let is_bound = |index| {
            let scope = self.start_scope(TaskId { index, ..id }, now);
            scope != StartScope::Anywhere
        };
        let gang = self.step(id).filter(|step| step.gang);
        gang.map_or_else(|| is_bound(id.index), |step| (0..step.count).any(is_bound))
    }

    /// Whether the runs of a leaving worker must be stopped now, so that they end in time.
    fn is_leave_due(&self, worker: &Worker, margin: Span, now: Timestamp) -> bool {
        let margin = Span(self.cfg.stop_timeout.0 + margin.0);
        worker.stays_until.is_some_and(|deadline| now + margin >= deadline)
    }

    /// Runs that must be stopped to empty their workers, each with the reason.
    fn runs_to_stop(&self, now: Timestamp) -> Vec<(WorkerId, TaskId, &'static str)> {
        let mut runs = Vec::new();
        let must_be_emptied = |worker: &Worker| worker.drain.is_some() || worker.entry.is_draining;
        for (id, worker) in self.workers.iter().filter(|(_, worker)| must_be_emptied(worker)) {
            let is_leave_due = self.is_leave_due(worker, LEAVE_MARGIN, now);
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.stopping.is_none()) {
                let step = self.step(*task);
                let is_long_running = step.is_some_and(|step| step.long_running);
                let is_worth_stopping =
                    step.is_some_and(|step| self.is_worth_stopping(*task, step, run, now));
                if worker.entry.is_draining && (is_leave_due || is_long_running) {
                    runs.push((id.clone(), *task, WORKER_LEAVING));
                    continue;
                }
                let must_stop = match worker.drain {
                    None => false,
                    Some(DrainMode::WaitForRuns) => is_long_running,
                    Some(DrainMode::StopCheckpointed) => is_long_running || is_worth_stopping,
                    Some(DrainMode::StopAll) => true,
                };
                if must_stop {
                    runs.push((id.clone(), *task, WORKER_DRAINED));
                }
            }
        }
        runs
    }

    /// Whether a task saves its progress and is expected to run for more than twice as long as a
    /// stop may take.
    fn is_worth_stopping(&self, id: TaskId, step: &Step, run: &Run, now: Timestamp) -> bool {
        step.checkpoints && self.time_left(id, step, run, now).0 > 2 * self.cfg.stop_timeout.0
    }

    /// How long a run is expected to continue.
    fn time_left(&self, id: TaskId, step: &Step, run: &Run, now: Timestamp) -> Span {
        let full_time = self.observed_task_time(id).unwrap_or(step.estimate).0;
        let remaining = full_time.saturating_sub(now.since(run.started).0);
        Span(remaining.max(full_time * MIN_TIME_LEFT_PERCENT / 100))
    }

    pub(super) fn step(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// Reserves room on another worker for a task that is to be stopped, so that it can start again
    /// at once. Returns whether there was room.
    pub(super) fn reserve_elsewhere(
        &self,
        id: TaskId,
        candidates: &mut [PlacementCandidate],
        now: Timestamp,
    ) -> bool {
        let Some(step) = self.step(id) else {
            return true;
        };
        self.disallow_without_ticket(id.step_id(), candidates, now);
        let count = |worker: &WorkerId, step| count_step_runs(&self.workers, worker, step);
        let chosen =
            place::choose_candidate(candidates, step, (id.step_id(), self.is_suspected(id)), count);
        if let Some(chosen) = chosen {
            candidates[chosen].reserve(step);
        }
        chosen.is_some()
    }

    /// Usable workers in the order in which they should be given up: those with the fewest
    /// long-running tasks first, and among them those that become empty soonest. Also returns how
    /// many of them have no long-running tasks.
    pub(super) fn spare_workers(&self, now: Timestamp) -> (Vec<WorkerId>, u32) {
        let mut workers: Vec<(usize, Span, &WorkerId)> = self
            .workers
            .iter()
            .filter(|(_, worker)| Self::is_usable(worker, now))
            .map(|(id, worker)| {
                let is_long_running =
                    |task: &&TaskId| self.step(**task).is_some_and(|step| step.long_running);
                let long_running_count = worker.runs.keys().filter(is_long_running).count();
                (long_running_count, self.time_to_empty(worker, now), id)
            })
            .collect();
        workers.sort_unstable();
        let short_running = workers.iter().take_while(|(long_running, ..)| *long_running == 0);
        let short_running = u32::try_from(short_running.count()).unwrap_or(u32::MAX);
        (workers.into_iter().map(|(_, _, id)| id.clone()).collect(), short_running)
    }

    /// How long a worker that gets no new tasks takes to become empty, apart from long-running
    /// tasks.
    fn time_to_empty(&self, worker: &Worker, now: Timestamp) -> Span {
        let run_time_left = |(task, run): (&TaskId, &Run)| {
            let step = self.step(*task).filter(|step| !step.long_running)?;
            let is_stopped = self.is_worth_stopping(*task, step, run, now);
            Some(if is_stopped {
                self.cfg.stop_timeout
            } else {
                self.time_left(*task, step, run, now)
            })
        };
        worker.runs.iter().filter_map(run_time_left).max().unwrap_or_default()
    }
}
