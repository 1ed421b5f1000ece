//! The ends of runs and their effect on tasks and jobs.

use std::sync::Arc;

use super::{
    super::{
        Action, EndKind, JobEnd, JobId, LogEvent, Record, RunEnd, RunId, StepId, TaskId, WorkerId,
        task::Job,
        times,
        worker::{HeldEnd, UNANSWERED_START_LIFETIME},
    },
    Cell, DeferredEffect,
};
use crate::{Span, Timestamp};

/// The delay before a failed task is retried.
const RETRY_DELAY: Span = Span(20);

/// The longest delay before a long-running task is retried after repeated failures.
const MAX_RETRY_DELAY: Span = Span(1_000);

/// When the estimated processor time exceeds this, in thousandths of a core-second, the sums are
/// halved, so that newer tasks weigh more.
const TASK_CPU_WINDOW_MILLI_S: u64 = 4_000_000;

impl Cell {
    /// The number of the last end of a run that was read of a worker.
    #[must_use]
    pub fn last_end_read(&self, id: &WorkerId) -> u64 {
        self.workers.get(id).map_or(0, |worker| worker.ends_seen)
    }

    /// The number of ends that are not confirmed before copies of their start orders have expired.
    #[must_use]
    pub fn waiting_ends(&self, now: Timestamp) -> usize {
        let ends = self.workers.values().flat_map(|worker| &worker.held_ends);
        ends.filter(|end| now <= end.until).count()
    }

    /// Handles the ends that a worker lists; ends that were handled before are skipped.
    pub(super) fn on_run_ends(&mut self, id: &WorkerId, ends: &[RunEnd], now: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (ends_seen, known_since) = (worker.ends_seen, worker.known_since);
        let Some(last) = ends.iter().map(|end| end.number).max().filter(|&last| last > ends_seen)
        else {
            return;
        };
        worker.ends_seen = last;
        // Ends from before this owner's first list may have been confirmed by an earlier one.
        let has_read_all = ends_seen > 0 || worker.restarts_in_a_row > 0;
        let first = ends.iter().map(|end| end.number).min().unwrap_or(last);
        if has_read_all && first > ends_seen + 1 {
            let event = LogEvent::EndsForgotten { worker: id.clone(), read: ends_seen, first };
            self.actions.push(Action::Log(event));
        }
        for end in ends.iter().filter(|end| end.number > ends_seen) {
            self.on_run_end(id, end, now);
        }
        self.defer_until_durable(DeferredEffect::ConfirmEnds(id.clone(), known_since, last), now);
        self.plan_due = true;
    }

    fn on_run_end(&mut self, id: &WorkerId, end: &RunEnd, now: Timestamp) {
        let RunEnd { task, attempt, kind, .. } = *end;
        self.log_run_end(id, end, now);
        self.hold_end_of_open_order(id, end, now);
        let at_fault = self.is_worker_at_fault(id, task.job, kind);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_ended_attempt(task, attempt);
            if kind == EndKind::Done || at_fault {
                worker.record_outcome(kind == EndKind::Done, now);
            }
            let is_covered = |run: &super::super::worker::Run| run.attempt <= attempt;
            if worker.runs.get(&task).is_some_and(is_covered)
                && let Some(run) = worker.runs.shift_remove(&task)
                && kind == EndKind::Done
            {
                self.record_task_time(task, run.started, now);
                self.record_completion(id, task, &run, now);
            }
        }
        let has_later_run =
            self.workers.get(id).is_some_and(|worker| worker.runs.contains_key(&task));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.has_started = true;
        if !has_later_run {
            Self::forget_run(job, task, id);
        }
        let is_gang = job.spec.steps.get(task.step as usize).is_some_and(|step| step.gang);
        let checkpoint = end.checkpoint.as_deref();
        let must_log = Self::apply_end(job, (task, attempt), kind, checkpoint);
        Self::delay_retry(job, task, kind, now);
        if kind == EndKind::Failed {
            self.record_failure_in_place(id, task);
        }
        if must_log {
            let checkpoint = checkpoint.map(str::to_owned);
            self.record(Record::Ended { task, attempt, how: kind, checkpoint }, now, None);
        }
        if kind == EndKind::Done {
            if must_log {
                self.log_step_done(task.step_id());
            }
            self.clear_suspicion(task);
            // Other runs of the task, started after a lease had expired, are no longer needed.
            self.stop_task(task, "task already done", now);
        } else if is_gang {
            self.stop_gang(task, now);
        }
        self.finish_if_over(task.job, now);
    }

    /// Lets the end of a task as done wait while a copy of a start order of the task may be carried out
    /// by a later instance of the worker.
    fn hold_end_of_open_order(&mut self, id: &WorkerId, end: &RunEnd, now: Timestamp) {
        let RunEnd { task, attempt, kind, number, .. } = *end;
        let step = self.jobs.get(&task.job).and_then(|job| job.spec.steps.get(task.step as usize));
        if kind != EndKind::Done || step.is_some_and(|step| step.long_running) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // A list may show the run of one copy while another one is still waited for.
        let run = worker.runs.get(&task).map(|run| (task, run.attempt));
        let is_pending = run.is_some_and(|run| self.start_window.is_pending(run));
        let pending = is_pending.then(|| now + UNANSWERED_START_LIFETIME);
        if let Some(until) = worker.open_until(task, now).max(pending) {
            worker.hold_end(HeldEnd { task, number, until });
            let run = RunId { task, attempt, worker: id.clone() };
            let event = LogEvent::EndWaits { run, number, left: until.since(now) };
            self.actions.push(Action::Log(event));
        }
    }

    fn log_run_end(&mut self, id: &WorkerId, end: &RunEnd, now: Timestamp) {
        let RunEnd { task, attempt, kind, .. } = *end;
        let step = self.jobs.get(&task.job).and_then(|job| job.spec.steps.get(task.step as usize));
        let is_task_done = kind == EndKind::Done && step.is_none_or(|step| !step.long_running);
        let run = RunId { task, attempt, worker: id.clone() };
        let step = self.step_availability(task, now);
        let renewed_at = self.workers.get(id).and_then(|worker| worker.renewed_at);
        let renewed = renewed_at.map(|at| now.since(at));
        let event = LogEvent::Ended { run, how: kind, is_task_done, step, renewed };
        self.actions.push(Action::Log(event));
    }

    /// Logs that a step is done if it has no open tasks.
    fn log_step_done(&mut self, step: StepId) {
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        if let Some(state) = state.filter(|state| state.open_tasks == 0) {
            let runs = state.tasks.iter().map(|task| task.attempt).sum();
            self.actions.push(Action::Log(LogEvent::StepDone { step, runs }));
        }
    }

    /// Whether a failure counts against the worker. A job that has failed on several workers is at
    /// fault itself.
    fn is_worker_at_fault(&mut self, id: &WorkerId, job: JobId, kind: EndKind) -> bool {
        if kind != EndKind::Failed {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&job) else {
            return true;
        };
        job.failed_workers.insert(id.clone());
        job.failed_workers.len() == 1
    }

    /// Adds the actual and the estimated processor time of a finished task to the sums.
    fn record_task_time(&mut self, task: TaskId, started: Timestamp, now: Timestamp) {
        let step = self.jobs.get(&task.job).and_then(|job| job.spec.steps.get(task.step as usize));
        let Some(step) = step.filter(|step| !step.long_running) else {
            return;
        };
        let queue = self.jobs.get(&task.job).map(|job| &job.queue);
        let expected = queue.and_then(|queue| self.expected_times.get(queue));
        let estimate = times::estimate(step, expected).0;
        let cpu = step.need.cpu_milli;
        let (actual, estimated) = &mut self.task_cpu_milli_s;
        *actual += cpu * now.since(started).0 / 1_000;
        *estimated += cpu * estimate / 1_000;
        if *estimated > TASK_CPU_WINDOW_MILLI_S {
            *actual /= 2;
            *estimated /= 2;
        }
    }

    fn forget_run(job: &mut Job, task: TaskId, worker: &WorkerId) {
        if let Some(task) = job.task_mut(task) {
            task.run_workers.retain(|id| id != worker);
        }
    }

    /// Delays the retry of a failed task; the delay doubles with each failure of a long-running
    /// task.
    fn delay_retry(job: &mut Job, id: TaskId, kind: EndKind, now: Timestamp) {
        let is_long_running =
            job.spec.steps.get(id.step as usize).is_some_and(|step| step.long_running);
        let Some(task) = job.task_mut(id) else {
            return;
        };
        if kind == EndKind::Failed {
            let doublings = if is_long_running { task.failures.min(6) } else { 0 };
            let delay = (RETRY_DELAY.0 << doublings).min(MAX_RETRY_DELAY.0);
            task.not_before = now + Span(delay);
        }
    }

    /// Applies the end of a run to its task and returns whether the end must be logged.
    pub(super) fn apply_end(
        job: &mut Job,
        (id, attempt): (TaskId, u32),
        kind: EndKind,
        checkpoint: Option<&str>,
    ) -> bool {
        let Some(step) = job.spec.steps.get(id.step as usize) else {
            return false;
        };
        let (is_gang, is_long_running) = (step.gang, step.long_running);
        let Some(task) = job.task_mut(id) else {
            return false;
        };
        task.attempt = task.attempt.max(attempt);
        match kind {
            // A long-running task is restarted however it ends.
            EndKind::Done if is_long_running => false,
            EndKind::Done if is_gang => Self::mark_gang_done(job, id),
            EndKind::Done => job.mark_done(id),
            EndKind::Failed if task.failed_attempts.contains(&attempt) => false,
            EndKind::Failed => {
                task.failures += 1;
                // A long-running task may fail any number of times. The list is cleared to keep it
                // short, since the number of its failures need not be exact.
                if is_long_running {
                    task.failed_attempts.clear();
                }
                task.failed_attempts.push(attempt);
                Self::keep_checkpoint(job, id, checkpoint);
                true
            }
            _ => Self::keep_checkpoint(job, id, checkpoint),
        }
    }

    /// Marks all members of a gang as done once one of them is done.
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
        // A checkpoint of one member is the checkpoint of the whole gang.
        for index in 0..job.spec.steps[id.step as usize].count {
            if let Some(task) = job.task_mut(TaskId { index, ..id }) {
                task.checkpoint = Some(Arc::clone(&checkpoint));
            }
        }
        true
    }

    /// Stops the other members of a gang after one of them ended.
    fn stop_gang(&mut self, id: TaskId, now: Timestamp) {
        let count = self.jobs.get(&id.job).map_or(0, |job| job.spec.steps[id.step as usize].count);
        for index in 0..count {
            self.stop_task(TaskId { index, ..id }, "another gang member ended", now);
        }
    }

    pub(super) fn max_attempts(&self, id: JobId) -> u32 {
        let queue = self.jobs.get(&id).and_then(|job| self.queues.get(&job.queue));
        // While the queue has no settings, its jobs do not fail.
        queue.map_or(u32::MAX, |queue| queue.max_attempts.max(1))
    }

    /// Whether one task, or one gang in total, has failed `max_attempts` times.
    pub(super) fn has_failed(job: &Job, max_attempts: u32) -> bool {
        job.occurrences.iter().any(|occurrence| {
            occurrence.steps.iter().zip(&job.spec.steps).any(|(state, step)| {
                let unfinished = state.tasks.iter().filter(|task| !task.is_done);
                let most_failures: u32 = if step.gang {
                    unfinished.map(|task| task.failures).sum()
                } else {
                    unfinished.map(|task| task.failures).max().unwrap_or(0)
                };
                !step.long_running && most_failures >= max_attempts
            })
        })
    }

    /// Ends a job if all its tasks are done, it has failed, or one of them crashes its workers.
    pub(super) fn finish_if_over(&mut self, id: JobId, now: Timestamp) {
        let max_attempts = self.max_attempts(id);
        let Some(job) = self.jobs.get(&id).filter(|job| job.end.is_none()) else {
            return;
        };
        if job.is_done() {
            self.finish_job(id, JobEnd::Succeeded, now);
        } else if Self::has_failed(job, max_attempts) || Self::has_deadly_task(job) {
            self.finish_job(id, JobEnd::Failed, now);
        }
    }
}
