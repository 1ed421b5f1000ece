//! Workers that are lost with runs, and tasks that are given up because workers crash under them.
//!
//! A task may crash each worker that starts it. Of the runs that are lost with a worker, those whose
//! tasks have lost the most workers before are suspected; among equals, those that started last, as
//! a run that the worker has listed has survived its start. A long-running task that has been at
//! work is not suspected, whatever happened before: its workers may crash as often as any others
//! do. Whether the worker crashed or was cut off shows later: a crashed one is followed by another
//! instance at its address, one that was cut off answers again.
//!
//! A job is given up for such a task. One with long-running tasks is not, since that would end all of
//! its tasks that are at work: only the task itself is paused, and suspended after
//! [`MAX_LONG_RUNNING_CRASHES`].
//!
//! Placements of suspected tasks are logged, so that the next owner knows which of them were lost
//! with a worker during the takeover.

#[cfg(test)]
mod tests;

use indexmap::IndexSet;

use super::{
    super::{
        Action, LogEvent, LostRun, Record, RunId, TaskId, WorkerId,
        task::{Job, SUSPENDED, Task},
        worker::{Run, RunState},
    },
    Cell,
};
use crate::{Span, Timestamp};

/// The number of workers that crash under a task before the task is given up.
const MAX_CRASHES: usize = 3;

/// How long a task that has lost [`MAX_CRASHES`] workers waits for them to show whether they
/// crashed, before it is started once more.
const UNEXPLAINED_LOSS_PAUSE: Span = Span(10_000);

/// The number of workers that crash under a long-running task before it is not started any more.
const MAX_LONG_RUNNING_CRASHES: usize = MAX_CRASHES + 2;

/// How long a long-running task that has lost [`MAX_CRASHES`] workers waits for its next start.
const LONG_RUNNING_PAUSE: Span = Span(5_000);

/// The most lost runs that are remembered for a task.
const MAX_LOST_RUNS: usize = 2 * MAX_CRASHES;

/// What is known of the start of a lost run, the most suspicious last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StartEvidence {
    /// A list has shown the run, so that it has survived its start.
    Survived,
    /// The start order may not have reached the worker.
    Unanswered,
    /// The worker answered the start order, and no list has shown the run.
    JustStarted,
}

impl StartEvidence {
    fn of(run: &Run) -> Self {
        match run.state {
            _ if run.is_listed => Self::Survived,
            RunState::Running => Self::JustStarted,
            RunState::Planned | RunState::Ordered | RunState::Unsettled => Self::Unanswered,
        }
    }
}

impl Task {
    fn crashes(&self) -> usize {
        self.lost_runs.iter().filter(|lost| lost.is_crash).count()
    }

    /// Whether the task is to be given up because it crashes workers.
    fn crashes_workers(&self) -> bool {
        self.crashes() >= MAX_CRASHES
    }

    /// Delays the next start of a long-running task that crashes workers. Returns how long; `None` if
    /// it is not delayed.
    fn pause_after_crashes(&mut self, now: Timestamp) -> Option<Span> {
        let pause = match self.crashes() {
            ..MAX_CRASHES => return None,
            MAX_CRASHES..MAX_LONG_RUNNING_CRASHES => LONG_RUNNING_PAUSE,
            MAX_LONG_RUNNING_CRASHES.. => SUSPENDED.since(now),
        };
        self.not_before = self.not_before.max(now + pause);
        Some(pause)
    }

    /// Remembers a lost run, or what has become known about it.
    fn remember_lost_run(&mut self, lost: LostRun) {
        if let Some(known) = self.lost_runs.iter_mut().find(|known| known.attempt == lost.attempt) {
            known.is_crash |= lost.is_crash;
            return;
        }
        if self.lost_runs.len() >= MAX_LOST_RUNS {
            // Fewer than `MAX_CRASHES` are crashes, or the task would have been given up.
            let unexplained = self.lost_runs.iter().position(|known| !known.is_crash);
            self.lost_runs.remove(unexplained.unwrap_or(0));
        }
        self.lost_runs.push(lost);
    }
}

/// Whether a job has a task for which the job is to be given up because it crashes workers.
pub(super) fn has_crashing_task(job: &Job) -> bool {
    let is_crashing = |task: &Task| !task.is_done && task.crashes_workers();
    job.occurrences.iter().any(|occurrence| {
        let steps = occurrence.steps.iter().zip(&job.spec.steps);
        let mut steps = steps.filter(|(_, step)| !step.long_running);
        steps.any(|(state, _)| state.tasks.iter().any(is_crashing))
    })
}

/// Applies a [`Record::RunLost`].
pub(super) fn replay_lost_run(job: &mut Job, id: TaskId, lost: &LostRun) {
    if let Some(task) = job.task_mut(id) {
        task.remember_lost_run(lost.clone());
    }
}

impl Cell {
    fn lost_runs(&self, id: TaskId) -> &[LostRun] {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        task.map_or(&[], |task| &task.lost_runs)
    }

    /// Whether a task has lost a worker before.
    pub(super) fn is_suspected(&self, id: TaskId) -> bool {
        self.suspects.contains(&id)
    }

    /// The workers that run suspected tasks, which other tasks avoid.
    pub(super) fn workers_of_suspects(&self) -> IndexSet<WorkerId> {
        let tasks = self.suspects.iter().filter_map(|id| self.jobs.get(&id.job)?.task(*id));
        tasks.flat_map(|task| task.run_workers.iter().cloned()).collect()
    }

    /// Finds the suspected tasks in the log's state at the start of the term.
    pub(super) fn find_suspects(&mut self, now: Timestamp) {
        let mut suspects = IndexSet::new();
        for (id, job) in self.jobs.open() {
            suspects.extend(job.task_ids(id).into_iter().filter(|task| {
                job.task(*task).is_some_and(|task| !task.is_done && !task.lost_runs.is_empty())
            }));
        }
        for id in &suspects {
            let is_long_running = self.step(*id).is_some_and(|step| step.long_running);
            let task = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(*id));
            if let Some(task) = task.filter(|_| is_long_running) {
                task.pause_after_crashes(now);
            }
        }
        self.suspects = suspects;
    }

    /// Forgets the suspicion against a task that is done or at work, or whose job has ended.
    pub(super) fn clear_suspicion(&mut self, id: TaskId) {
        if !self.suspects.swap_remove(&id) {
            return;
        }
        if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) {
            task.lost_runs.clear();
        }
    }

    /// Suspects tasks whose runs are lost with a worker. `has_crashed` is set if the worker is known
    /// to have restarted.
    pub(super) fn suspect_tasks<'a>(
        &mut self,
        id: &WorkerId,
        runs: impl Iterator<Item = (&'a TaskId, &'a Run)>,
        has_crashed: bool,
        now: Timestamp,
    ) {
        // One that has outlived a restart was suspected then.
        let may_have_crashed_it = |run: &Run| {
            run.state != RunState::Planned && !run.is_at_work() && !run.outlived_restart
        };
        let has_worked = |id: TaskId| {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
            task.is_some_and(|task| task.has_worked)
        };
        let ordered = runs.filter(|(id, run)| may_have_crashed_it(run) && !has_worked(**id));
        let suspicion =
            |(task, run): (&TaskId, &Run)| (self.lost_runs(*task).len(), StartEvidence::of(run));
        let ranked: Vec<_> =
            ordered.map(|(task, run)| (suspicion((task, run)), *task, run.attempt)).collect();
        let Some(strongest) = ranked.iter().map(|(suspicion, ..)| *suspicion).max() else {
            return;
        };
        for (suspicion, task, attempt) in ranked {
            if suspicion == strongest {
                self.suspect_task((task, attempt), id, has_crashed, now);
            }
        }
    }

    fn suspect_task(
        &mut self,
        (task, attempt): (TaskId, u32),
        id: &WorkerId,
        has_crashed: bool,
        now: Timestamp,
    ) {
        let address = self.workers.get(id).map(|worker| worker.entry.address);
        let logged = self.jobs.get(&task.job).and_then(|job| job.task(task)?.placement.as_ref());
        let address = address.or(logged.and_then(|placement| placement.address));
        let is_replaced = |address| {
            self.workers
                .values()
                .any(|worker| worker.entry.address == address && worker.entry.id != *id)
        };
        let is_crash = has_crashed || address.is_some_and(is_replaced);
        self.record_lost_run(task, LostRun { attempt, worker: id.clone(), address, is_crash }, now);
    }

    /// Remembers a lost run durably, and gives its job up if too many workers crashed.
    fn record_lost_run(&mut self, id: TaskId, lost: LostRun, now: Timestamp) {
        let is_long_running = self.step(id).is_some_and(|step| step.long_running);
        let job = self.jobs.get_mut(&id.job).filter(|job| job.end.is_none());
        let Some(task) = job.and_then(|job| job.task_mut(id)).filter(|task| !task.is_done) else {
            return;
        };
        task.remember_lost_run(lost.clone());
        let losses = task.lost_runs.len();
        if is_long_running && let Some(pause) = task.pause_after_crashes(now) {
            let crashes = task.crashes();
            self.actions.push(Action::Log(LogEvent::TaskPaused { task: id, crashes, pause }));
        }
        if losses >= MAX_CRASHES && !lost.is_crash {
            let pause = if is_long_running { LONG_RUNNING_PAUSE } else { UNEXPLAINED_LOSS_PAUSE };
            task.not_before = task.not_before.max(now + pause);
        }
        self.suspects.insert(id);
        let run = RunId { task: id, attempt: lost.attempt, worker: lost.worker.clone() };
        let is_crash = lost.is_crash;
        self.actions.push(Action::Log(LogEvent::RunLost { run, losses, is_crash }));
        self.record(Record::RunLost { task: id, lost }, now, None);
        self.finish_if_over(id.job, now);
    }

    /// Notes that another worker instance runs at the address of lost ones, which have therefore
    /// crashed.
    pub(super) fn confirm_replaced(&mut self, instance: &WorkerId, now: Timestamp) {
        let Some(address) = self.workers.get(instance).map(|worker| worker.entry.address) else {
            return;
        };
        self.confirm_crashes(now, |lost| lost.address == Some(address) && lost.worker != *instance);
    }

    /// Notes that a worker has restarted under its id.
    pub(super) fn confirm_restarted(&mut self, id: &WorkerId, now: Timestamp) {
        self.confirm_crashes(now, |lost| lost.worker == *id);
    }

    /// Notes that the workers of these lost runs have crashed.
    fn confirm_crashes(&mut self, now: Timestamp, is_explained: impl Fn(&LostRun) -> bool) {
        let mut crashed = Vec::new();
        for id in &self.suspects {
            let lost_runs = self.lost_runs(*id).iter();
            let explained = lost_runs.filter(|lost| !lost.is_crash && is_explained(lost));
            crashed.extend(explained.map(|lost| (*id, lost.clone())));
        }
        for (task, lost) in crashed {
            self.record_lost_run(task, LostRun { is_crash: true, ..lost }, now);
        }
    }

    /// Notes that a worker answers again as the same instance, so that it did not crash.
    pub(super) fn forget_losses(&mut self, id: &WorkerId) {
        for suspect in &self.suspects {
            let job = self.jobs.get_mut(&suspect.job);
            if let Some(task) = job.and_then(|job| job.task_mut(*suspect)) {
                task.lost_runs.retain(|lost| lost.worker != *id || lost.is_crash);
            }
        }
        let jobs = &self.jobs;
        self.suspects.retain(|suspect| {
            let task = jobs.get(&suspect.job).and_then(|job| job.task(*suspect));
            task.is_some_and(|task| !task.lost_runs.is_empty())
        });
    }

    /// Suspects the tasks that the log places on a worker of an earlier term which was not adopted
    /// before its leases expired.
    pub(super) fn suspect_inherited_tasks(&mut self, lost_workers: &[WorkerId], now: Timestamp) {
        let suspects: Vec<TaskId> = self.suspects.iter().copied().collect();
        for id in suspects {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
            let placement = task.and_then(|task| Some((task.attempt, task.placement.as_ref()?)));
            let lost = placement.filter(|(_, placement)| lost_workers.contains(&placement.worker));
            if let Some((attempt, placement)) = lost {
                let worker = placement.worker.clone();
                self.suspect_task((id, attempt), &worker, false, now);
            }
        }
    }
}
