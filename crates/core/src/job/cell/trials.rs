//! Tasks that crash the workers that start them: what counts as such a crash, how their next starts
//! are watched, and when they are given up.
//!
//! A task crashes a worker at its start if the worker is lost before lists have proven the run alive
//! for [`SURVIVAL`], and is known to have crashed: it restarted, or another instance runs at its
//! address. Silence alone is no crash. Once any run of the task has been alive for that long, none of
//! its earlier crashes counts as one at its start.
//!
//! From the loss of [`TRIAL_FROM`] workers at its start on, each further start of a task is a trial:
//! after its pause, on a worker that has just answered and gets nothing else meanwhile, and watched at
//! once. It is recorded as one before its order; a start that was not is none, whoever notices its loss.
//! While the outcome is unknown, the task pauses. It is given up, and its job has
//! failed, once a trial has crashed its worker, or once [`MAX_LOST_TRIALS`] were lost without a known
//! cause. Crashes of workers that the task has survived never end its job.

#[cfg(test)]
mod tests;

use super::{
    super::{
        LostRun, TaskId, WorkerId,
        task::{Job, Placement, Task},
        worker::{Run, Worker},
    },
    Cell,
    crashes::Loss,
};
use crate::{Span, Timestamp};

/// For how long a run must be known to have been alive for it to have survived its start. A task that
/// crashes its workers does so as it begins; this leaves room for workers that are several times
/// slower. A watched run is known to have survived at the second or third list.
pub(super) const SURVIVAL: Span = Span(80);

/// The number of workers that a task loses at its start before each further start is a trial.
const TRIAL_FROM: usize = 3;

/// The same for a task of an earlier term, of which two losses may have gone unnoticed with the owners
/// then.
const TRIAL_FROM_INHERITED: usize = 2;

/// The number of trials that may be lost without a known cause before the task is given up.
const MAX_LOST_TRIALS: usize = 2;

/// The least number of workers that are known to have crashed under a task that is given up.
const MIN_CRASHES: usize = 2;

/// One task that pauses for lost workers may be tried at a time for each this many workers.
const WORKERS_PER_TRIAL: usize = 20;

/// How long after its order a run that no list has shown counts as a trial. A worker that crashed is
/// back, or replaced, by then.
const TRIAL: Span = Span(5_000);

/// How long after its order a run of a suspected task is watched.
const WATCH: Span = Span(2_000);

/// The age of a worker's latest answer up to which it counts as answering now.
const FRESH_ANSWER: Span = Span(300);

/// Whether a run was lost before it was known to have survived its start. Records of earlier builds
/// don't say so, and accuse no task.
pub(super) fn is_at_start(lost: &LostRun) -> bool {
    lost.alive_ms.is_some_and(|alive_ms| alive_ms < SURVIVAL.0)
}

/// Whether a trial was lost before it was known to have survived its start.
pub(super) fn is_lost_trial(lost: &LostRun) -> bool {
    lost.is_trial && is_at_start(lost)
}

impl Task {
    /// Whether the next start of the task is a trial. Silent workers count, too.
    fn is_on_trial(&self, is_of_earlier_term: bool) -> bool {
        let from = if is_of_earlier_term { TRIAL_FROM_INHERITED } else { TRIAL_FROM };
        self.lost_runs.iter().filter(|lost| is_at_start(lost)).count() >= from
    }

    /// Whether the task certainly crashes the workers that start it.
    fn is_deadly(&self) -> bool {
        let at_start = || self.lost_runs.iter().filter(|lost| is_at_start(lost));
        let crashes = at_start().filter(|lost| lost.is_crash).count();
        let trials = || self.lost_runs.iter().filter(|lost| is_lost_trial(lost));
        let has_crashed_trial = trials().any(|lost| lost.is_crash);
        crashes >= MIN_CRASHES && (has_crashed_trial || trials().count() >= MAX_LOST_TRIALS)
    }
}

impl Run {
    /// Whether its worker is to be asked for lists at once, until the run has survived its start.
    fn is_watched(&self, now: Timestamp) -> bool {
        self.is_suspected && self.alive < SURVIVAL && now.since(self.started) < WATCH
    }
}

impl Worker {
    /// The name of the newest instance that the owner knows of.
    pub(super) fn instance(&self) -> Option<u64> {
        Some(self.started_wall_ms).filter(|started_wall_ms| *started_wall_ms != 0)
    }

    /// Whether it has restarted since a placement there; `None` if that isn't known.
    pub(super) fn has_restarted_since(&self, placement: &Placement) -> Option<bool> {
        Some(self.instance()? != placement.instance?)
    }

    /// Whether it runs a suspected task that has not survived its start yet.
    pub(in crate::job) fn is_watched(&self, now: Timestamp) -> bool {
        self.runs.values().any(|run| run.is_watched(now))
    }
}

impl Cell {
    /// Whether a task of the job certainly crashes its workers.
    pub(super) fn has_deadly_task(job: &Job) -> bool {
        let steps = job.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        steps.flat_map(|step| &step.tasks).any(|task| !task.is_done && task.is_deadly())
    }

    /// Ends the jobs of tasks that certainly crash their workers.
    pub(super) fn give_up_deadly_tasks(&mut self, now: Timestamp) {
        let is_deadly = |id: &&TaskId| {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(**id));
            task.is_some_and(|task| !task.is_done && task.is_deadly())
        };
        let deadly: Vec<TaskId> = self.suspects.iter().filter(is_deadly).copied().collect();
        for id in deadly {
            self.finish_if_over(id.job, now);
        }
    }

    /// Notes that a run of a task has survived its start, so that the task does not crash the workers
    /// that start it. That is recorded, so that no later owner counts the crashes before it.
    pub(super) fn on_survived(&mut self, id: TaskId, alive: Span, now: Timestamp) {
        if !self.suspects.contains(&id) {
            return;
        }
        let lost_runs = self.lost_runs(id).iter();
        let cleared: Vec<_> = lost_runs.filter(|lost| is_at_start(lost)).cloned().collect();
        for lost in cleared {
            let lost = LostRun { alive_ms: Some(alive.0), ..lost };
            self.record_lost_run(id, lost, None, now);
        }
    }

    /// Suspects a task that the log places on a worker of an earlier term where it is not any more.
    /// Had it survived its start there, none of its earlier losses would count as one at a start.
    pub(super) fn suspect_inherited_task(
        &mut self,
        run: (TaskId, u32),
        worker: &WorkerId,
        now: Timestamp,
    ) {
        let may_be_deadly = self.lost_runs(run.0).iter().any(is_at_start);
        let alive = if may_be_deadly { Span(0) } else { SURVIVAL };
        let has_crashed = self.has_restarted_since_placement(run.0, worker);
        let loss = Loss { has_crashed, alive, beside: None };
        self.suspect_task(run, worker, &loss, now);
    }

    /// Whether a worker is known to have restarted since the log placed a task there.
    fn has_restarted_since_placement(&self, id: TaskId, worker: &WorkerId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let placement = task.and_then(|task| task.placement.as_ref());
        let worker = self.workers.get(worker).filter(|worker| worker.is_adopted);
        worker
            .zip(placement)
            .is_some_and(|(worker, placement)| worker.has_restarted_since(placement) == Some(true))
    }

    /// Whether a worker has just answered. If not, it is asked at once.
    pub(super) fn answers_now(&mut self, id: &WorkerId, now: Timestamp) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        let is_fresh = worker.hold_failures == 0 && now <= worker.last_heard + FRESH_ANSWER;
        if !is_fresh {
            worker.next_hold = worker.next_hold.min(now);
        }
        is_fresh
    }

    /// Whether the next start of a task is a trial.
    pub(super) fn is_on_trial(&self, id: TaskId) -> bool {
        let job = self.jobs.get(&id.job);
        job.and_then(|job| Some(job.task(id)?.is_on_trial(job.is_of_earlier_term))) == Some(true)
    }

    /// Notes that a start of a task is a trial. What becomes of a start that wasn't made as one doesn't
    /// decide about its task, however many losses are known by then.
    pub(super) fn note_trial(&mut self, id: TaskId, attempt: u32) {
        if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) {
            task.trial = Some(attempt);
        }
    }

    /// Whether an attempt of a task was made as a trial, by this owner or by an earlier one.
    pub(super) fn was_trial(&self, id: TaskId, attempt: u32) -> bool {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        task.is_some_and(|task| task.trial == Some(attempt))
    }

    /// Whether a worker must get nothing else because a trial is under way there.
    pub(super) fn is_tried_on(&self, worker: &Worker, now: Timestamp) -> bool {
        let is_tried = |(id, run): (&TaskId, &Run)| run.is_watched(now) && self.is_on_trial(*id);
        worker.runs.iter().any(is_tried)
    }

    /// Whether no further task that crashes workers may be started now, because others are tried.
    pub(super) fn are_trials_used_up(&self, now: Timestamp) -> bool {
        let is_trial = |worker: &WorkerId, id: &TaskId| {
            let run = self.workers.get(worker).and_then(|worker| worker.runs.get(id));
            run.is_some_and(|run| !run.is_listed && now.since(run.started) < TRIAL)
        };
        let is_tried = |id: &&TaskId| {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(**id));
            let task = task.filter(|task| task.crashes_workers());
            task.is_some_and(|task| task.run_workers.iter().any(|worker| is_trial(worker, id)))
        };
        let trials = self.suspects.iter().filter(is_tried).count();
        trials >= (self.workers.len() / WORKERS_PER_TRIAL).max(1)
    }

    /// Whether a task that crashes workers has to wait because others are tried.
    pub(super) fn awaits_trial(&self, id: TaskId, now: Timestamp) -> bool {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        task.is_some_and(Task::crashes_workers) && self.are_trials_used_up(now)
    }
}
