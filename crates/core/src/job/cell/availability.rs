//! Which long-running tasks are away, and when the system may end one that is at work.

use super::{
    super::{StepAvailability, TaskId, task::Task, worker::Worker},
    Cell,
};
use crate::{Span, Timestamp};

/// Added to the time that a worker takes to stop a run, for the worker's list of runs to show a
/// stop that the previous owner ordered just before the worker was adopted.
const EARLIER_STOP_MARGIN: Span = Span(700);

impl Cell {
    /// Whether a task may be stopped to drain its worker. A long-running one may be only while
    /// fewer than `max_unavailable` other tasks of its step are unavailable.
    pub(super) fn may_end(&self, id: TaskId, now: Timestamp) -> bool {
        self.step_availability(id, now).is_none_or(|step| step.may_miss_one_more())
    }

    /// How many other tasks of a long-running task's step are unavailable. `None` if the task is not
    /// long-running or unknown.
    pub(super) fn step_availability(&self, id: TaskId, now: Timestamp) -> Option<StepAvailability> {
        let job = self.jobs.get(&id.job)?;
        let step = job.spec.steps.get(id.step as usize).filter(|step| step.long_running)?;
        let occurrence = job.occurrence(id.occurrence)?;
        let away = (0..)
            .zip(&occurrence.steps[id.step as usize].tasks)
            .filter(|&(index, task)| {
                index != id.index && self.is_unavailable(task, TaskId { index, ..id }, now)
            })
            .count();
        Some(StepAvailability { away, max_unavailable: step.max_unavailable.max(1) })
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
