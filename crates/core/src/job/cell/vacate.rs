//! Emptying workers that leave, are moved or are due for upkeep.

use super::{
    super::{
        DrainMode, Step, TaskId, WorkerId,
        place::{self, PlacementCandidate},
        task::Task,
        worker::{Run, Worker},
    },
    Cell,
    plan::count_of,
};
use crate::{Span, Timestamp};

/// How long before a draining worker leaves what still runs there is stopped, beside the time that
/// a stop takes.
const LEAVE_MARGIN: Span = Span(700);

/// What is left at least of a task that has not ended, as a part of its whole time in percent.
const OVERRUN_PERCENT: u64 = 20;

impl Cell {
    /// Empties workers that leave or are to be handed over.
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
            let leaves = worker.entry.draining;
            let hurries = leaves || worker.drain == Some(DrainMode::StopAll);
            let may_stop = leaves || self.may_miss_one_more(task, now);
            if may_stop && (self.reserve_elsewhere(task, &mut candidates, now) || hurries) {
                self.stop_run(&id, task, reason, now);
            }
        }
    }

    /// Runs that are in the way of emptying their workers.
    fn runs_to_stop(&self, now: Timestamp) -> Vec<(WorkerId, TaskId, &'static str)> {
        let margin = Span(self.cfg.stop_timeout.0 + LEAVE_MARGIN.0);
        let mut runs = Vec::new();
        let is_to_be_empty = |worker: &Worker| worker.drain.is_some() || worker.entry.draining;
        for (id, worker) in self.workers.iter().filter(|(_, worker)| is_to_be_empty(worker)) {
            let leaving = worker.leave_deadline.is_some_and(|deadline| now + margin >= deadline);
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.stopping.is_none()) {
                let step = self.step(*task);
                let lasts = step.is_some_and(|step| step.long_running);
                let saves = step.is_some_and(|step| self.is_worth_stopping(*task, step, run, now));
                if worker.entry.draining && (leaving || lasts) {
                    runs.push((id.clone(), *task, "its worker leaves"));
                    continue;
                }
                let in_the_way = match worker.drain {
                    None => false,
                    Some(DrainMode::WaitForRuns) => lasts,
                    Some(DrainMode::StopCheckpointed) => lasts || saves,
                    Some(DrainMode::StopAll) => true,
                };
                if in_the_way {
                    runs.push((id.clone(), *task, "its worker is to be emptied"));
                }
            }
        }
        runs
    }

    /// Whether a task that saves its progress is stopped much sooner than it would end.
    fn is_worth_stopping(&self, id: TaskId, step: &Step, run: &Run, now: Timestamp) -> bool {
        step.checkpoints && self.time_left(id, step, run, now).0 > 2 * self.cfg.stop_timeout.0
    }

    /// How long a run is likely to go on.
    fn time_left(&self, id: TaskId, step: &Step, run: &Run, now: Timestamp) -> Span {
        let whole = self.observed_task_time(id).unwrap_or(step.estimate).0;
        let left = whole.saturating_sub(now.since(run.started).0);
        Span(left.max(whole * OVERRUN_PERCENT / 100))
    }

    pub(super) fn step(&self, task: TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// Reserves room for a task that is to be stopped, so that it can start again at once; whether
    /// there was room.
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
        let count = |worker: &WorkerId, step| count_of(&self.workers, worker, step);
        let place = place::choose_candidate(candidates, step, id.step_id(), count);
        if let Some(place) = place {
            candidates[place].reserve(step);
        }
        place.is_some()
    }

    /// Whether a task that lasts may be stopped without too many of its step being away.
    fn may_miss_one_more(&self, id: TaskId, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = job.spec.steps.get(id.step as usize) else {
            return true;
        };
        if !step.long_running {
            return true;
        }
        if now < self.long_running_stops_from {
            return false;
        }
        let Some(occurrence) = job.occurrence(id.occurrence) else {
            return true;
        };
        let away = (0..)
            .zip(&occurrence.steps[id.step as usize].tasks)
            .filter(|&(index, task)| {
                index != id.index && self.is_unavailable(task, TaskId { index, ..id }, now)
            })
            .count();
        away < step.may_miss.max(1) as usize
    }

    /// Whether a task that lasts is not at work, or is about to be stopped. What runs on a worker that
    /// does not answer is not known to be at work.
    fn is_unavailable(&self, task: &Task, id: TaskId, now: Timestamp) -> bool {
        task.unavailable_since.is_some()
            || task.run_workers.is_empty()
            || task.run_workers.iter().any(|worker| {
                self.workers.get(worker).is_none_or(|worker| {
                    worker.is_silent(now)
                        || worker.runs.get(&id).is_none_or(|run| run.stopping.is_some())
                })
            })
    }

    /// Workers in the order in which they are given up most easily: those without tasks that last
    /// first, and among them those that are empty soonest.
    pub(super) fn spare_workers(&self, now: Timestamp) -> Vec<WorkerId> {
        let mut workers: Vec<(usize, Span, &WorkerId)> = self
            .workers
            .iter()
            .filter(|(_, worker)| Self::is_usable(worker, now))
            .map(|(id, worker)| {
                let lasts = |task: &&TaskId| self.step(**task).is_some_and(|one| one.long_running);
                let lasting = worker.runs.keys().filter(lasts).count();
                (lasting, self.time_to_empty(worker, now), id)
            })
            .collect();
        workers.sort_unstable();
        workers.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// How long a worker that gets no more work takes to become empty, but for tasks that last.
    fn time_to_empty(&self, worker: &Worker, now: Timestamp) -> Span {
        let left = |(task, run): (&TaskId, &Run)| {
            let step = self.step(*task).filter(|step| !step.long_running)?;
            let stops = self.is_worth_stopping(*task, step, run, now);
            Some(if stops { self.cfg.stop_timeout } else { self.time_left(*task, step, run, now) })
        };
        worker.runs.iter().filter_map(left).max().unwrap_or_default()
    }
}
