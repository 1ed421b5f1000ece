//! Which long-running tasks are away, and when the system may end one that is at work.
//!
//! The law: an order ends a long-running task that may be at work only while fewer than
//! `max_unavailable` others of its step are away, or will be without another order, unless its job is
//! cancelled, its worker is about to leave, or another run of the task is at work. Whatever decides
//! on such an order asks [`Cell::may_end`], each time that the order is sent.

use super::{
    super::{StepAvailability, TaskId, task::Task, worker::Worker},
    Cell,
};
use crate::{Span, Timestamp};

/// Added to the time that a worker takes to stop a run, for the worker's list of runs to show a
/// stop that the previous owner ordered just before the worker was adopted.
const EARLIER_STOP_MARGIN: Span = Span(700);

impl Cell {
    /// Whether an order may end a task on a worker that stays. Tasks on workers that leave count as
    /// away, since nothing else keeps them from being ended at any time.
    pub(super) fn may_end(&self, id: TaskId, now: Timestamp) -> bool {
        self.step_availability(id, now).is_none_or(|step| step.may_miss_one_more())
    }

    /// Whether an order may end a task on a worker that leaves but is not about to. Other tasks on
    /// such workers wait for the same question, so they count only once they are being ended.
    pub(super) fn may_end_on_leaving(&self, id: TaskId, now: Timestamp) -> bool {
        let is_away = |task: &Task, id| self.is_unavailable(task, id, now);
        self.count_away(id, is_away).is_none_or(|step| step.may_miss_one_more())
    }

    /// How many other tasks of a long-running task's step are away or may soon be. `None` if the task
    /// is not long-running or unknown.
    pub(super) fn step_availability(&self, id: TaskId, now: Timestamp) -> Option<StepAvailability> {
        let is_away =
            |task: &Task, id| self.is_unavailable(task, id, now) || self.is_on_leaving(task);
        self.count_away(id, is_away)
    }

    /// Whether an order is about to end a task on a worker that stays.
    pub(super) fn is_other_being_ended(&self, id: TaskId) -> bool {
        let is_being_ended = |task: &Task, id| {
            task.run_workers.iter().filter_map(|worker| self.workers.get(worker)).any(|worker| {
                let run = worker.runs.get(&id);
                !worker.entry.is_draining && run.is_some_and(|run| run.stopping.is_some())
            })
        };
        self.count_away(id, is_being_ended).is_some_and(|step| step.away > 0)
    }

    /// Counts the other tasks of a long-running task's step that are away.
    fn count_away(
        &self,
        id: TaskId,
        is_away: impl Fn(&Task, TaskId) -> bool,
    ) -> Option<StepAvailability> {
        let job = self.jobs.get(&id.job)?;
        let step = job.spec.steps.get(id.step as usize).filter(|step| step.long_running)?;
        let tasks = &job.occurrence(id.occurrence)?.steps[id.step as usize].tasks;
        let others = (0..).zip(tasks).filter(|(index, _)| *index != id.index);
        let away = others.filter(|(index, task)| is_away(task, TaskId { index: *index, ..id }));
        Some(StepAvailability { away: away.count(), max_unavailable: step.max_unavailable.max(1) })
    }

    fn is_on_leaving(&self, task: &Task) -> bool {
        let mut workers = task.run_workers.iter().filter_map(|worker| self.workers.get(worker));
        workers.any(|worker| worker.entry.is_draining)
    }

    /// Whether a long-running task is not at work, is being stopped, or may be soon. A task on a
    /// worker whose state is not certain counts as unavailable.
    fn is_unavailable(&self, task: &Task, id: TaskId, now: Timestamp) -> bool {
        task.unavailable_since.is_some()
            || task.run_workers.is_empty()
            || task.run_workers.iter().any(|worker| {
                self.workers.get(worker).is_none_or(|worker| {
                    self.is_uncertain(worker, now)
                        || worker.runs.get(&id).is_none_or(|run| run.stopping.is_some())
                })
            })
    }

    /// Whether the runs on a worker may end soon although its latest list shows them at work: it
    /// does not answer, its lease may expire, or the previous owner may have stopped them.
    fn is_uncertain(&self, worker: &Worker, now: Timestamp) -> bool {
        let earlier_stops_end =
            worker.adopted_at + Span(self.cfg.stop_timeout.0 + EARLIER_STOP_MARGIN.0);
        worker.is_unresponsive(now)
            || !worker.has_safe_lease(self.cfg.lease, now)
            || now < earlier_stops_end
    }
}
