//! A job and its tasks as the owner of the cell knows them.

use std::sync::Arc;

use indexmap::IndexSet;

use super::{JobEnd, JobSpec, StepId, TaskId, WorkerId, advice::StepAdvice, times::Samples};
use crate::{QueueId, Timestamp};

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) is_done: bool,
    /// The highest attempt that was ever ordered.
    pub(super) attempt: u32,
    pub(super) failures: u32,
    /// The attempts that failed, so that an end that is listed again is counted once.
    pub(super) failed_attempts: Vec<u32>,
    pub(super) checkpoint: Option<Arc<str>>,
    /// Where a run of it may be alive.
    pub(super) run_workers: Vec<WorkerId>,
    pub(super) not_before: Timestamp,
    /// How often it was taken away from a slow worker.
    pub(super) relocations: u32,
    /// Until when it has not been at work, for tasks that last; `None` while it is at work.
    pub(super) unavailable_since: Option<Timestamp>,
}

#[derive(Clone, Debug)]
pub(super) struct StepState {
    pub(super) tasks: Vec<Task>,
    /// How long its tasks take.
    pub(super) samples: Samples,
    /// Where they may run.
    pub(super) advice: StepAdvice,
    pub(super) open_tasks: u32,
}

/// One run through the steps.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) number: u32,
    pub(super) steps: Vec<StepState>,
}

impl Occurrence {
    fn new(number: u32, spec: &JobSpec) -> Self {
        let step = |count: u32| StepState {
            tasks: vec![Task::default(); count as usize],
            samples: Samples::default(),
            advice: StepAdvice::default(),
            open_tasks: count,
        };
        Self { number, steps: spec.steps.iter().map(|one| step(one.count)).collect() }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.open_tasks == 0)
    }

    /// Whether all that the step waits for runs or is done.
    pub(super) fn is_upcoming(&self, spec: &JobSpec, step: usize) -> bool {
        let begun = |task: &Task| task.is_done || !task.run_workers.is_empty();
        let after = spec.steps[step].after.iter();
        after.into_iter().all(|&after| self.steps[after as usize].tasks.iter().all(begun))
    }

    /// Whether all that the step waits for is done.
    pub(super) fn is_ready(&self, spec: &JobSpec, step: usize) -> bool {
        spec.steps[step].after.iter().all(|&after| self.steps[after as usize].open_tasks == 0)
    }
}

#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) queue: QueueId,
    pub(super) spec: Arc<JobSpec>,
    pub(super) wall_ms: u64,
    /// When it arrived, on this node's clock.
    pub(super) arrived: Timestamp,
    /// Its acceptance is durable.
    pub(super) is_durable: bool,
    /// It was accepted in an earlier term.
    pub(super) is_inherited: bool,
    /// A task of it has started.
    pub(super) has_started: bool,
    pub(super) occurrences: Vec<Occurrence>,
    /// How many occurrences have been opened.
    pub(super) opened: u32,
    pub(super) end: Option<JobEnd>,
    /// Its end is durable.
    pub(super) is_end_durable: bool,
    pub(super) ended: Timestamp,
    /// Workers on which a task of it has failed.
    pub(super) failed_workers: IndexSet<WorkerId>,
}

impl Job {
    pub(super) fn new(queue: QueueId, spec: JobSpec, wall_ms: u64, arrived: Timestamp) -> Self {
        Self {
            queue,
            spec: Arc::new(spec),
            wall_ms,
            arrived,
            is_durable: false,
            is_inherited: false,
            has_started: false,
            occurrences: Vec::new(),
            opened: 0,
            end: None,
            is_end_durable: false,
            ended: Timestamp(0),
            failed_workers: IndexSet::new(),
        }
    }

    /// Opens each occurrence that is due at `wall_ms`.
    pub(super) fn open_due_occurrences(&mut self, wall_ms: u64) {
        while self.opened < self.spec.occurrences() && self.due_wall_ms(self.opened) <= wall_ms {
            self.occurrences.push(Occurrence::new(self.opened, &self.spec));
            self.opened += 1;
        }
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch.
    pub(super) fn due_wall_ms(&self, occurrence: u32) -> u64 {
        let Some(schedule) = self.spec.schedule else {
            return 0;
        };
        schedule.first_wall_ms + u64::from(occurrence) * schedule.period.0
    }

    pub(super) fn is_done(&self) -> bool {
        self.opened == self.spec.occurrences() && self.occurrences.iter().all(Occurrence::is_done)
    }

    pub(super) fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.iter().find(|one| one.number == number)
    }

    pub(super) fn step_mut(&mut self, id: StepId) -> Option<&mut StepState> {
        let occurrence = self.occurrences.iter_mut().find(|one| one.number == id.occurrence);
        occurrence.and_then(|one| one.steps.get_mut(id.step as usize))
    }

    pub(super) fn task(&self, id: TaskId) -> Option<&Task> {
        let step = self.occurrence(id.occurrence)?.steps.get(id.step as usize)?;
        step.tasks.get(id.index as usize)
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let occurrence = self.occurrences.iter_mut().find(|one| one.number == id.occurrence)?;
        occurrence.steps.get_mut(id.step as usize)?.tasks.get_mut(id.index as usize)
    }

    /// Marks a task done; false if it was already or doesn't exist.
    pub(super) fn mark_done(&mut self, id: TaskId) -> bool {
        let occurrence = self.occurrences.iter_mut().find(|one| one.number == id.occurrence);
        let step = occurrence.and_then(|one| one.steps.get_mut(id.step as usize));
        let Some(step) = step else {
            return false;
        };
        match step.tasks.get_mut(id.index as usize) {
            Some(task) if !task.is_done => {
                task.is_done = true;
                task.checkpoint = None;
                step.open_tasks -= 1;
                true
            }
            _ => false,
        }
    }

    /// Ids of all tasks that have been opened.
    pub(super) fn task_ids(&self, job: super::JobId) -> Vec<TaskId> {
        let mut ids = Vec::new();
        for occurrence in &self.occurrences {
            for (step, state) in (0..).zip(&occurrence.steps) {
                let count = u32::try_from(state.tasks.len()).unwrap_or(u32::MAX);
                ids.extend((0..count).map(|index| TaskId {
                    job,
                    occurrence: occurrence.number,
                    step,
                    index,
                }));
            }
        }
        ids
    }
}
