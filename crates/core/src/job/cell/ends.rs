//! Ends of runs, and what they mean for tasks and jobs.

use std::sync::Arc;

use super::{
    super::{
        Action, EndKind, JobEnd, JobId, LogEvent, Record, RunEnd, RunId, TaskId, WorkerId,
        task::Job, times,
    },
    Cell, DeferredEffect,
};
use crate::{Span, Timestamp};

/// How long a task that failed waits before it starts again.
const RETRY_PAUSE: Span = Span(20);

/// The longest that a task that lasts waits after failures in a row.
const MAX_RETRY_PAUSE: Span = Span(1_000);

/// Beyond this much estimated work, older times count half, in thousandths of a core-second.
const TIMES_REMEMBERED: u64 = 4_000_000;

impl Cell {
    /// Takes in the ends that a worker lists; those taken in before are passed over.
    pub(super) fn on_run_ends(&mut self, id: &WorkerId, ends: &[RunEnd], now: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (seen, born) = (worker.ends_seen, worker.entry.started_wall_ms);
        let Some(last) = ends.iter().map(|end| end.number).max().filter(|&last| last > seen) else {
            return;
        };
        worker.ends_seen = last;
        for end in ends.iter().filter(|end| end.number > seen) {
            self.on_run_end(id, end, now);
        }
        self.defer_until_durable(DeferredEffect::ConfirmEnds(id.clone(), born, last), now);
        self.plan_due = true;
    }

    fn on_run_end(&mut self, id: &WorkerId, end: &RunEnd, now: Timestamp) {
        let RunEnd { task, attempt, how, .. } = *end;
        let run = RunId { task, attempt, worker: id.clone() };
        self.actions.push(Action::Log(LogEvent::Ended { run, how }));
        let at_fault = self.is_worker_at_fault(id, task.job, how);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_ended_attempt(task, attempt);
            if how == EndKind::Done || at_fault {
                worker.record_outcome(how == EndKind::Done, now);
            }
            let listed = |run: &super::super::worker::Run| run.attempt <= attempt;
            if worker.runs.get(&task).is_some_and(listed)
                && let Some(run) = worker.runs.shift_remove(&task)
                && how == EndKind::Done
            {
                self.record_task_time(task, run.started, now);
                self.record_completion(id, task, &run, now);
            }
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.has_started = true;
        Self::forget_run(job, task, id, attempt);
        let is_gang = job.spec.steps.get(task.step as usize).is_some_and(|step| step.gang);
        let checkpoint = end.checkpoint.as_deref();
        let changed = Self::apply_end(job, (task, attempt), how, checkpoint);
        Self::delay_retry(job, task, how, now);
        if changed {
            let checkpoint = checkpoint.map(str::to_owned);
            self.record(Record::Ended { task, attempt, how, checkpoint }, now, None);
        }
        if how == EndKind::Done {
            // Another run of the same task, started after a lease had run out, is of no use.
            self.stop_task(task, "the task is done", now);
        } else if is_gang {
            self.stop_gang(task, now);
        }
        self.conclude(task.job, now);
    }

    /// Whether a failure speaks against the worker: a job that has failed on several is at fault
    /// itself.
    fn is_worker_at_fault(&mut self, id: &WorkerId, job: JobId, how: EndKind) -> bool {
        if how != EndKind::Failed {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&job) else {
            return true;
        };
        job.failed_workers.insert(id.clone());
        job.failed_workers.len() == 1
    }

    /// Compares how long a task took with what was estimated before.
    fn record_task_time(&mut self, task: TaskId, started: Timestamp, now: Timestamp) {
        let step = self.jobs.get(&task.job).and_then(|job| job.spec.steps.get(task.step as usize));
        let Some(step) = step.filter(|step| !step.long_running) else {
            return;
        };
        let queue = self.jobs.get(&task.job).map(|job| &job.queue);
        let expected = queue.and_then(|queue| self.expected_times.get(queue));
        let estimate = times::estimate(step, expected).0;
        let cpu = step.need.cpu_milli;
        let (took, estimated) = &mut self.took_milli_s;
        *took += cpu * now.since(started).0 / 1_000;
        *estimated += cpu * estimate / 1_000;
        if *estimated > TIMES_REMEMBERED {
            *took /= 2;
            *estimated /= 2;
        }
    }

    fn forget_run(job: &mut Job, task: TaskId, worker: &WorkerId, attempt: u32) {
        if let Some(task) = job.task_mut(task) {
            task.run_workers.retain(|one| one != worker);
            task.attempt = task.attempt.max(attempt);
        }
    }

    /// Waits a little before a task is tried again; longer each time for tasks that last.
    fn delay_retry(job: &mut Job, id: TaskId, how: EndKind, now: Timestamp) {
        let lasts = job.spec.steps.get(id.step as usize).is_some_and(|step| step.long_running);
        let Some(task) = job.task_mut(id) else {
            return;
        };
        if how == EndKind::Failed {
            let doublings = if lasts { task.failures.min(6) } else { 0 };
            let pause = (RETRY_PAUSE.0 << doublings).min(MAX_RETRY_PAUSE.0);
            task.not_before = now + Span(pause);
        }
    }

    /// What an end means for its task; whether it must be remembered.
    pub(super) fn apply_end(
        job: &mut Job,
        (id, attempt): (TaskId, u32),
        how: EndKind,
        checkpoint: Option<&str>,
    ) -> bool {
        let Some(step) = job.spec.steps.get(id.step as usize) else {
            return false;
        };
        let (gang, lasts) = (step.gang, step.long_running);
        let Some(task) = job.task_mut(id) else {
            return false;
        };
        task.attempt = task.attempt.max(attempt);
        match how {
            // A task that lasts is restarted however it ends.
            EndKind::Done if lasts => false,
            EndKind::Done if gang => Self::mark_gang_done(job, id),
            EndKind::Done => job.mark_done(id),
            EndKind::Failed if task.failed_attempts.contains(&attempt) => false,
            EndKind::Failed => {
                task.failures += 1;
                // Tasks that last may fail without end, and how often counts only roughly.
                if lasts {
                    task.failed_attempts.clear();
                }
                task.failed_attempts.push(attempt);
                Self::keep_checkpoint(job, id, checkpoint);
                true
            }
            _ => Self::keep_checkpoint(job, id, checkpoint),
        }
    }

    /// One end of a gang's member stands for all members.
    fn mark_gang_done(job: &mut Job, id: TaskId) -> bool {
        let count = job.spec.steps[id.step as usize].count;
        let mut changed = false;
        for index in 0..count {
            changed |= job.mark_done(TaskId { index, ..id });
        }
        changed
    }

    fn keep_checkpoint(job: &mut Job, id: TaskId, checkpoint: Option<&str>) -> bool {
        let Some(checkpoint) = checkpoint else {
            return false;
        };
        let checkpoint: Arc<str> = checkpoint.into();
        if !job.spec.steps.get(id.step as usize).is_some_and(|step| step.gang) {
            if let Some(task) = job.task_mut(id) {
                task.checkpoint = Some(checkpoint);
            }
            return true;
        }
        // The progress of any member is that of the gang.
        for index in 0..job.spec.steps[id.step as usize].count {
            if let Some(task) = job.task_mut(TaskId { index, ..id }) {
                task.checkpoint = Some(Arc::clone(&checkpoint));
            }
        }
        true
    }

    /// Ends the other members of a gang whose member ended.
    fn stop_gang(&mut self, id: TaskId, now: Timestamp) {
        let count = self.jobs.get(&id.job).map_or(0, |job| job.spec.steps[id.step as usize].count);
        for index in 0..count {
            self.stop_task(TaskId { index, ..id }, "another member of the gang ended", now);
        }
    }

    pub(super) fn max_attempts(&self, id: JobId) -> u32 {
        let queue = self.jobs.get(&id).and_then(|job| self.queues.get(&job.queue));
        // Without a configuration of the queue nothing can be said to have failed.
        queue.map_or(u32::MAX, |queue| queue.max_attempts.max(1))
    }

    /// Whether a task, or a gang as a whole, has failed as often as it may.
    pub(super) fn has_failed(job: &Job, max_attempts: u32) -> bool {
        job.occurrences.iter().any(|occurrence| {
            occurrence.steps.iter().zip(&job.spec.steps).any(|(state, step)| {
                let failures = state.tasks.iter().filter(|task| !task.is_done);
                let worst: u32 = if step.gang {
                    failures.map(|task| task.failures).sum()
                } else {
                    failures.map(|task| task.failures).max().unwrap_or(0)
                };
                !step.long_running && worst >= max_attempts
            })
        })
    }

    /// Ends a job that is done or has failed.
    fn conclude(&mut self, id: JobId, now: Timestamp) {
        let max_attempts = self.max_attempts(id);
        let Some(job) = self.jobs.get(&id).filter(|job| job.end.is_none()) else {
            return;
        };
        if job.is_done() {
            self.finish(id, JobEnd::Succeeded, now);
        } else if Self::has_failed(job, max_attempts) {
            self.finish(id, JobEnd::Failed, now);
        }
    }
}
