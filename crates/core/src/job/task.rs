//! The state of a job and its tasks, as kept by the owner of the cell.

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexSet;

use super::{
    JobEnd, JobSpec, LostRun, Position, StepId, TaskId, WorkerId, advice::StepAdvice,
    times::Samples, worker::UNANSWERED_START_LIFETIME,
};
use crate::{QueueId, Span, Timestamp};

/// The number of start orders that a worker gets for a task after one that it left unanswered. Each prolongs
/// the wait if it is left unanswered, too.
const MAX_REPEATED_STARTS: u32 = 1;

/// How long an instance of a worker must have been known before it gets a start order for a task of which an
/// earlier instance has left one unanswered. A worker that restarts again and again would prolong the wait.
const MIN_INSTANCE_AGE: Span = Span(1_000);

/// For how long after its last run a long-running task waits for an open start order. The users allow it to be
/// away for 6 s, and count it as lost 3 s later.
const LASTING_WAIT: Span = Span(6_000);

/// The same from the beginning of a term, if an earlier owner sent the order. A task counts as lost after 7 s
/// without a fault, of which 3 s may pass before an owner is replaced; the last second is left for the start.
const INHERITED_LASTING_WAIT: Span = Span(3_000);

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) is_done: bool,
    /// The highest attempt that was ever ordered; zero if none was.
    pub(super) attempt: u32,
    pub(super) failures: u32,
    /// The attempts that failed, so that a failure is counted once even if it is listed again.
    pub(super) failed_attempts: Vec<u32>,
    pub(super) checkpoint: Option<Arc<str>>,
    /// Workers on which a run of the task may be alive.
    pub(super) run_workers: Vec<WorkerId>,
    /// Earliest time of the next attempt.
    pub(super) not_before: Timestamp,
    /// Until when the task is not started because it has lost workers.
    pub(super) paused_until: Timestamp,
    /// How often a run was stopped because its worker was too slow.
    pub(super) relocations: u32,
    /// Since when the task has not worked at full speed; `None` while it does. Used for
    /// long-running tasks only.
    pub(super) unavailable_since: Option<Timestamp>,
    /// When the latest list of this term was asked for that shows a run of the task.
    pub(super) last_shown: Option<Timestamp>,
    /// Whether a list of this term has shown the task at work. Used for long-running tasks only.
    pub(super) has_worked: bool,
    /// The worker that the log names for the task; `None` if its placements are not logged or it
    /// was never placed.
    pub(super) placement: Option<Placement>,
    /// The latest attempt that was made as a trial, if any.
    pub(super) trial: Option<u32>,
    /// Runs that were lost with their workers.
    pub(super) lost_runs: Vec<LostRun>,
    /// How many racks were lost under the task in this term without being held against it.
    pub(super) lost_racks: u32,
    /// The start orders of the task that may still be carried out.
    pub(super) open_start: Option<OpenStart>,
}

/// The start orders of a task that any instance of their worker may still carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenStart {
    pub(super) worker: WorkerId,
    /// When the owner learned of the worker's instance that was known when the latest order was sent.
    known_since: Timestamp,
    /// When this owner found the latest order in the log; `None` if it sent that one.
    inherited_at: Option<Timestamp>,
    /// The latest attempt.
    attempt: u32,
    /// Time after which no copy of its order is carried out any more; `None` if each was answered.
    until: Option<Timestamp>,
    /// The same for the attempts before it.
    earlier_until: Option<Timestamp>,
    /// Number of orders in a row that got no answer.
    unanswered: u32,
}

impl OpenStart {
    /// Time after which no copy of any of the orders is carried out any more; `None` if each was answered.
    pub(super) fn until(&self) -> Option<Timestamp> {
        self.until.max(self.earlier_until)
    }

    fn is_open(&self, now: Timestamp) -> bool {
        self.until().is_some_and(|until| now <= until)
    }

    /// Whether the worker, of whose newest instance the owner learned at `known_since`, may get another
    /// order for the task. It may leave that one unanswered, too, and more so if it has just restarted.
    pub(super) fn may_repeat(&self, known_since: Timestamp, now: Timestamp) -> bool {
        let is_same_instance = known_since == self.known_since;
        let is_stable = is_same_instance || now >= known_since + MIN_INSTANCE_AGE;
        is_stable && self.unanswered <= MAX_REPEATED_STARTS
    }
}

/// The latest logged placement of a task.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) worker: WorkerId,
    /// The worker's address, if the log has it.
    pub(super) address: Option<SocketAddr>,
    /// The name of the worker's instance that was known, if the log has it.
    pub(super) instance: Option<u64>,
    /// The position of its record in the log, which may not be durable yet.
    pub(super) position: Position,
    /// How often the task failed there in this term.
    pub(super) failures: u32,
}

impl Task {
    /// The start orders that may still be carried out.
    pub(super) fn open_start(&self, now: Timestamp) -> Option<&OpenStart> {
        self.open_start.as_ref().filter(|open| open.is_open(now))
    }

    /// Until when a long-running task waits for its open start orders. Its last run may have ended as soon as a
    /// list had shown it.
    pub(super) fn lasting_wait_end(&self) -> Option<Timestamp> {
        match self.open_start.as_ref()?.inherited_at {
            Some(inherited_at) => Some(inherited_at + INHERITED_LASTING_WAIT),
            None => Some(self.last_shown.or(self.unavailable_since)? + LASTING_WAIT),
        }
    }

    /// Notes that a start order is sent. It may be carried out until it is settled, or has expired.
    pub(super) fn begin_start(
        &mut self,
        (worker, known_since): (&WorkerId, Timestamp),
        attempt: u32,
        now: Timestamp,
    ) {
        let earlier = self.open_start.take();
        let earlier = earlier.filter(|open| open.worker == *worker && open.is_open(now));
        self.open_start = Some(OpenStart {
            worker: worker.clone(),
            known_since,
            inherited_at: None,
            attempt,
            until: Some(now + UNANSWERED_START_LIFETIME),
            earlier_until: earlier.as_ref().and_then(OpenStart::until),
            unanswered: earlier.map_or(0, |open| open.unanswered),
        });
    }

    /// Notes a start order of an earlier owner that may be carried out until `until`. Those of a task are noted
    /// in the order of their attempts.
    pub(super) fn inherit_start(
        &mut self,
        worker: &WorkerId,
        attempt: u32,
        (until, now): (Timestamp, Timestamp),
    ) {
        self.attempt = self.attempt.max(attempt);
        let earlier = self.open_start.take().filter(|open| open.worker == *worker);
        self.open_start = Some(OpenStart {
            worker: worker.clone(),
            known_since: Timestamp(0),
            inherited_at: Some(now),
            attempt,
            until: Some(until),
            earlier_until: earlier.as_ref().and_then(OpenStart::until),
            unanswered: 1,
        });
    }

    /// The same for an order that became known only after this owner's term, in which the log was read at `found_at`,
    /// had begun. What this owner has ordered itself stands.
    pub(super) fn inherit_late_start(
        &mut self,
        worker: &WorkerId,
        attempt: u32,
        (until, found_at): (Timestamp, Timestamp),
    ) {
        let is_own = self.open_start.as_ref().is_some_and(|open| open.inherited_at.is_none());
        if is_own || !self.run_workers.is_empty() {
            return;
        }
        match self.open_start.as_mut().filter(|open| open.attempt >= attempt) {
            Some(open) if open.worker != *worker => {}
            Some(open) if open.attempt == attempt => open.until = open.until.max(Some(until)),
            Some(open) => open.earlier_until = open.earlier_until.max(Some(until)),
            None => self.inherit_start(worker, attempt, (until, found_at)),
        }
    }

    /// Notes until when a copy of the order of an attempt may still be carried out; `None` if each that was
    /// sent has been answered.
    pub(super) fn settle_start(
        &mut self,
        attempt: u32,
        until: Option<Timestamp>,
        is_answered: bool,
    ) {
        if let Some(open) = self.open_start.as_mut().filter(|open| open.attempt == attempt) {
            open.until = until;
            open.unanswered = if is_answered { 0 } else { open.unanswered + 1 };
        }
    }

    fn mark_done(&mut self) {
        self.is_done = true;
        self.checkpoint = None;
        self.lost_runs.clear();
    }
}

impl Placement {
    /// Whether the log named this worker when the term began.
    pub(super) fn is_inherited_on(&self, worker: &WorkerId) -> bool {
        self.worker == *worker && self.position == Position::default()
    }

    /// Returns a placement that the log contained when the term began.
    pub(super) fn recovered(
        worker: WorkerId,
        address: Option<SocketAddr>,
        instance: Option<u64>,
    ) -> Self {
        Self { worker, address, instance, position: Position::default(), failures: 0 }
    }
}

/// The state of a step in one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepState {
    pub(super) tasks: Vec<Task>,
    /// Durations of tasks of this step.
    pub(super) samples: Samples,
    /// On which workers the tasks may run, according to the advice service.
    pub(super) advice: StepAdvice,
    /// Number of tasks that are not done.
    pub(super) open_tasks: u32,
}

impl StepState {
    /// Returns the number of tasks that are neither done nor possibly running.
    pub(super) fn waiting_tasks(&self) -> u64 {
        let is_waiting = |task: &&Task| !task.is_done && task.run_workers.is_empty();
        self.tasks.iter().filter(is_waiting).count() as u64
    }
}

/// The state of an occurrence of a job.
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
        Self { number, steps: spec.steps.iter().map(|spec| step(spec.count)).collect() }
    }

    pub(super) fn mark_done(&mut self) {
        for step in &mut self.steps {
            step.open_tasks = 0;
            step.tasks.iter_mut().for_each(Task::mark_done);
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.open_tasks == 0)
    }

    /// Whether every task that the step waits for is done or may be running.
    pub(super) fn is_upcoming(&self, spec: &JobSpec, step: usize) -> bool {
        let has_begun = |task: &Task| task.is_done || !task.run_workers.is_empty();
        let after = spec.steps[step].after.iter();
        after.into_iter().all(|&after| self.steps[after as usize].tasks.iter().all(has_begun))
    }

    /// Whether every task that the step waits for is done.
    pub(super) fn is_ready(&self, spec: &JobSpec, step: usize) -> bool {
        spec.steps[step].after.iter().all(|&after| self.steps[after as usize].open_tasks == 0)
    }
}

/// The state of a job.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) queue: QueueId,
    pub(super) spec: Arc<JobSpec>,
    /// When the job arrived, in milliseconds since the Unix epoch.
    pub(super) arrived_wall_ms: u64,
    /// When the job arrived, on this node's clock.
    pub(super) arrived: Timestamp,
    /// Whether its acceptance is durable in the log.
    pub(super) is_durable: bool,
    /// Whether the job was accepted in an earlier term and runs of that term may still be alive, so
    /// that none of its tasks may start, except for those whose placement is known.
    pub(super) is_inherited: bool,
    /// Whether the job was accepted in an earlier term. The loss of a worker under one of its tasks may
    /// then not have been noted, because the owner was lost with it.
    pub(super) is_of_earlier_term: bool,
    /// Whether any of its tasks has started.
    pub(super) has_started: bool,
    /// The occurrences that have fallen due.
    pub(super) occurrences: Vec<Occurrence>,
    /// How many occurrences have fallen due; also the number of the next one.
    pub(super) due_occurrences: u32,
    pub(super) end: Option<JobEnd>,
    /// Whether its end is durable in the log.
    pub(super) is_end_durable: bool,
    /// When the job ended, on this node's clock; meaningful only if `end` is set.
    pub(super) ended: Timestamp,
    /// The same in milliseconds since the Unix epoch.
    pub(super) ended_wall_ms: u64,
    /// Workers on which any of its tasks has failed.
    pub(super) failed_workers: IndexSet<WorkerId>,
}

impl Job {
    pub(super) fn new(
        queue: QueueId,
        spec: Arc<JobSpec>,
        wall_ms: u64,
        arrived: Timestamp,
    ) -> Self {
        Self {
            queue,
            spec,
            arrived_wall_ms: wall_ms,
            arrived,
            is_durable: false,
            is_inherited: false,
            is_of_earlier_term: false,
            has_started: false,
            occurrences: Vec::new(),
            due_occurrences: 0,
            end: None,
            is_end_durable: false,
            ended: Timestamp(0),
            ended_wall_ms: 0,
            failed_workers: IndexSet::new(),
        }
    }

    /// Adds each occurrence that is due at `wall_ms`, in milliseconds since the Unix epoch.
    pub(super) fn add_due_occurrences(&mut self, wall_ms: u64) {
        while self.due_occurrences < self.spec.occurrences()
            && self.due_wall_ms(self.due_occurrences) <= wall_ms
        {
            self.occurrences.push(Occurrence::new(self.due_occurrences, &self.spec));
            self.due_occurrences += 1;
        }
    }

    /// Adds the first `count` occurrences as far as they are missing.
    pub(super) fn add_occurrences(&mut self, count: u32) {
        let count = count.min(self.spec.occurrences());
        while self.due_occurrences < count {
            self.occurrences.push(Occurrence::new(self.due_occurrences, &self.spec));
            self.due_occurrences += 1;
        }
    }

    /// Returns when an occurrence is due, in milliseconds since the Unix epoch; zero without a
    /// schedule.
    pub(super) fn due_wall_ms(&self, occurrence: u32) -> u64 {
        let Some(schedule) = self.spec.schedule else {
            return 0;
        };
        schedule.first_wall_ms + u64::from(occurrence) * schedule.period.0
    }

    /// Returns the processor capacity that the long-running tasks of one occurrence book, in
    /// thousandths of a core.
    pub(super) fn long_running_milli(&self) -> u64 {
        let steps = self.spec.steps.iter().filter(|step| step.long_running);
        steps.map(|step| step.booked().cpu_milli * u64::from(step.count)).sum()
    }

    pub(super) fn is_done(&self) -> bool {
        self.due_occurrences == self.spec.occurrences()
            && self.occurrences.iter().all(Occurrence::is_done)
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

    /// Marks a task as done. Returns false if it was done already or doesn't exist.
    pub(super) fn mark_done(&mut self, id: TaskId) -> bool {
        let occurrence = self.occurrences.iter_mut().find(|one| one.number == id.occurrence);
        let step = occurrence.and_then(|one| one.steps.get_mut(id.step as usize));
        let Some(step) = step else {
            return false;
        };
        match step.tasks.get_mut(id.index as usize) {
            Some(task) if !task.is_done => {
                task.mark_done();
                step.open_tasks -= 1;
                true
            }
            _ => false,
        }
    }

    /// Returns the ids of all tasks of the occurrences that have fallen due.
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
