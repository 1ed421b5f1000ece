//! Workers that are lost with runs, and tasks that are paused because workers crash under them.
//!
//! A task may crash each worker that starts it. Of the runs that are lost with a worker, those whose
//! tasks have lost the most workers before are suspected; among equals, those that started last, as
//! a run that the worker has listed has survived its start. A long-running task that has been at
//! work is not suspected, whatever happened before: its workers may crash as often as any others
//! do. Nor is a task whose run was listed where a whole rack is lost in the same moment, for the first
//! [`MAX_RACKS`] racks. Whether the worker crashed or was cut off shows later: a crashed one is
//! followed by another instance at its address, one that was cut off answers again.
//!
//! From the loss of [`PAUSE_FROM`] workers on, a task pauses before each start. Whether it crashes the
//! workers that start it, and is given up, is decided in [`trials`](super::trials).
//!
//! Placements of suspected tasks are logged, so that the next owner knows which of them were lost
//! with a worker during the takeover.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexSet;

use super::{
    super::{
        Action, LogEvent, LostRun, Record, RunId, TaskId, WorkerId,
        task::{Job, Task},
        worker::{Run, RunState, Worker},
    },
    Cell,
    trials::{SURVIVAL, is_at_start, is_lost_trial},
};
use crate::{Span, Timestamp, job::WALL_CLOCK_MARGIN};

/// The number of workers that a task loses before it pauses.
const PAUSE_FROM: usize = 3;

/// How long a task pauses after the loss of [`PAUSE_FROM`] workers. Each further loss doubles it.
const FIRST_PAUSE: Span = Span(2_500);

/// The longest pause of a task. Even after it, a sound task starts again before the users ask for
/// each accepted job (`finish_s`).
const MAX_PAUSE: Span = Span(10_000);

/// Workers of a rack whose losses are noticed within this time were lost in the same moment: those
/// that restart are noticed by their next answer, the others when their leases expire. The loss of
/// one without runs is not noticed; there, the time of its last answer counts.
const SAME_MOMENT: Span = Span(2_000);

/// The number of racks that may be lost under a task without being held against it. Several tasks that
/// crash their workers together may look like a rack again and again.
const MAX_RACKS: u32 = 3;

/// The most lost runs that are remembered for a task: more than the crashes after which it is given
/// up, and some that nothing has explained.
const MAX_LOST_RUNS: usize = 4 * PAUSE_FROM;

/// A worker that was lost a moment ago.
#[derive(Clone, Debug)]
pub(super) struct LostWorker {
    address: SocketAddr,
    labels: Arc<[String]>,
    noticed: Timestamp,
    /// When it last answered; `None` if another instance has answered since.
    heard: Option<Timestamp>,
    /// The tasks, with their attempts, that are suspected for it although they had survived their
    /// starts.
    suspected: Vec<(TaskId, u32)>,
}

impl LostWorker {
    fn new(worker: &Worker, suspected: Vec<(TaskId, u32)>, now: Timestamp) -> Self {
        Self {
            address: worker.entry.address,
            labels: Arc::clone(&worker.entry.labels),
            noticed: now,
            heard: worker.clock.map(|clock| clock.at),
            suspected,
        }
    }

    /// Whether the worker was lost, too, at this address or in the same moment.
    fn is_lost_with(&self, worker: &Worker) -> bool {
        let is_same_moment = |(heard, other): (Timestamp, Timestamp)| {
            heard.since(other).max(other.since(heard)) <= SAME_MOMENT
        };
        let heard = self.heard.zip(worker.clock.map(|clock| clock.at));
        self.address == worker.entry.address || heard.is_some_and(is_same_moment)
    }

    fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}

/// What is known of a run when its worker is lost.
pub(super) struct Loss {
    /// Whether the worker is known to have restarted.
    pub(super) has_crashed: bool,
    /// How long the run is known to have been alive.
    pub(super) alive: Span,
    /// Number of other runs on the worker, if known.
    pub(super) beside: Option<usize>,
}

/// What is known of the start of a lost run, the most suspicious last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StartEvidence {
    /// Lists have proven the run alive for long enough.
    Survived,
    /// The start order may not have reached the worker.
    Unanswered,
    /// The worker answered the start order, and no list has shown the run.
    JustStarted,
}

impl StartEvidence {
    fn of(run: &Run) -> Self {
        match run.state {
            _ if run.alive >= SURVIVAL => Self::Survived,
            RunState::Running => Self::JustStarted,
            RunState::Planned | RunState::Ordered | RunState::Unsettled => Self::Unanswered,
        }
    }
}

/// How long a task pauses before its next start after the loss of this many workers.
fn pause_after(losses: usize) -> Span {
    let Some(doublings) = losses.checked_sub(PAUSE_FROM) else {
        return Span(0);
    };
    let factor = 1 << doublings.min(MAX_LOST_RUNS);
    Span(FIRST_PAUSE.0 * factor).min(MAX_PAUSE)
}

impl Task {
    fn crashes(&self) -> usize {
        self.lost_runs.iter().filter(|lost| lost.is_crash).count()
    }

    /// Whether the task has lost so many workers that it pauses before each start and that few such
    /// tasks are tried at a time.
    pub(super) fn crashes_workers(&self) -> bool {
        self.lost_runs.len() >= PAUSE_FROM
    }

    /// Delays the next start after the loss of a worker. Returns how long; `None` if it is not
    /// delayed.
    fn pause_after_loss(&mut self, now: Timestamp) -> Option<Span> {
        let pause = match pause_after(self.lost_runs.len()) {
            // What became of the worker shows within the pause.
            _ if self.lost_runs.iter().any(is_lost_trial) => MAX_PAUSE,
            pause => pause,
        };
        self.paused_until = self.paused_until.max(now + pause);
        (pause > Span(0)).then_some(pause)
    }

    /// When the pause ends, at the latest, that began with the loss that was noted last, as an owner before has
    /// recorded it on its wall clock; `None` if no record says it.
    fn recorded_pause_end(&self, wall_offset_ms: u64) -> Option<Timestamp> {
        let latest = self.lost_runs.last()?;
        let end = Timestamp(latest.pause_end_wall_ms?.saturating_sub(wall_offset_ms));
        Some(end + WALL_CLOCK_MARGIN)
    }

    /// Notes, for later owners, when the pause ends that began with the loss of a run.
    fn note_pause_end(&mut self, lost: &mut LostRun, wall_offset_ms: u64) {
        lost.pause_end_wall_ms = Some(wall_offset_ms + self.paused_until.0);
        self.remember_lost_run(lost.clone());
    }

    /// Holds lost runs no longer against the task.
    fn forget_lost_runs(&mut self, is_groundless: impl Fn(&LostRun) -> bool) {
        self.lost_runs.retain(|lost| !is_groundless(lost));
        self.end_groundless_pause();
    }

    /// Ends the pause if too few lost workers are held against the task.
    fn end_groundless_pause(&mut self) {
        if !self.crashes_workers() {
            self.paused_until = Timestamp::default();
        }
    }

    /// Remembers a lost run, or what has become known about it.
    fn remember_lost_run(&mut self, lost: LostRun) {
        if let Some(known) = self.lost_runs.iter_mut().find(|known| known.attempt == lost.attempt) {
            known.is_crash |= lost.is_crash;
            known.alive_ms = known.alive_ms.max(lost.alive_ms);
            known.pause_end_wall_ms = known.pause_end_wall_ms.max(lost.pause_end_wall_ms);
            return;
        }
        if self.lost_runs.len() >= MAX_LOST_RUNS {
            let weight = |known: &&LostRun| (known.is_crash, is_at_start(known));
            let least = self.lost_runs.iter().min_by_key(weight).map(|known| known.attempt);
            let least = self.lost_runs.iter().position(|known| Some(known.attempt) == least);
            self.lost_runs.remove(least.unwrap_or(0));
        }
        self.lost_runs.push(lost);
    }
}

/// Applies a [`Record::RunLost`]. The next attempt has a higher number, or its loss would be taken for
/// this one.
pub(super) fn replay_lost_run(job: &mut Job, id: TaskId, lost: &LostRun) {
    if let Some(task) = job.task_mut(id) {
        task.attempt = task.attempt.max(lost.attempt);
        task.remember_lost_run(lost.clone());
    }
}

impl Cell {
    pub(super) fn lost_runs(&self, id: TaskId) -> &[LostRun] {
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
            if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(*id)) {
                task.pause_after_loss(now);
                let recorded = task.recorded_pause_end(self.wall_offset_ms);
                task.paused_until =
                    recorded.map_or(task.paused_until, |end| end.min(task.paused_until));
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
            task.end_groundless_pause();
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
        let suspected = self.suspect_strongest(id, runs, has_crashed, now);
        self.note_lost_worker(id, suspected, now);
    }

    /// Suspects the tasks whose runs are the most likely to have crashed the worker. Returns those,
    /// with their attempts, whose runs had survived their starts.
    fn suspect_strongest<'a>(
        &mut self,
        id: &WorkerId,
        runs: impl Iterator<Item = (&'a TaskId, &'a Run)>,
        has_crashed: bool,
        now: Timestamp,
    ) -> Vec<(TaskId, u32)> {
        // One that has outlived a restart was suspected then.
        let may_have_crashed_it = |run: &Run| {
            run.state != RunState::Planned && !run.is_at_work() && !run.outlived_restart
        };
        let has_worked = |id: TaskId| {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
            task.is_some_and(|task| task.has_worked)
        };
        let runs: Vec<_> = runs.collect();
        let beside = runs.len().saturating_sub(1);
        let ordered = runs.into_iter();
        let ordered = ordered.filter(|(id, run)| may_have_crashed_it(run) && !has_worked(**id));
        let suspicion =
            |(task, run): (&TaskId, &Run)| (self.lost_runs(*task).len(), StartEvidence::of(run));
        let ranked: Vec<_> =
            ordered.map(|(task, run)| (suspicion((task, run)), *task, run)).collect();
        let Some(strongest) = ranked.iter().map(|(suspicion, ..)| *suspicion).max() else {
            return Vec::new();
        };
        let mut suspected = Vec::new();
        // One that has not survived its start counts even beside a stronger suspect: several that crash
        // their workers often start together. A trial of its own clears a sound one.
        let counted = ranked.into_iter().filter(|((losses, evidence), ..)| {
            (*losses, *evidence) == strongest || *evidence != StartEvidence::Survived
        });
        for ((_, evidence), task, run) in counted {
            let loss = Loss { has_crashed, alive: run.alive, beside: Some(beside) };
            self.suspect_task((task, run.attempt), id, &loss, now);
            if evidence == StartEvidence::Survived {
                suspected.push((task, run.attempt));
            }
        }
        suspected
    }

    /// Notes that a worker was lost, and clears the tasks that are suspected for it and for others
    /// of its rack once the whole rack was lost in the same moment.
    fn note_lost_worker(&mut self, id: &WorkerId, suspected: Vec<(TaskId, u32)>, now: Timestamp) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let lost = LostWorker::new(worker, suspected, now);
        self.lost_workers.retain(|earlier| now.since(earlier.noticed) <= SAME_MOMENT);
        self.lost_workers.push(lost.clone());
        let Some(rack) = lost.rack().filter(|rack| self.is_rack_lost(rack)) else {
            return;
        };
        let of_rack = self.lost_workers.iter().filter(|lost| lost.rack() == Some(rack));
        let cleared: Vec<_> = of_rack.flat_map(|lost| lost.suspected.iter().copied()).collect();
        for (task, attempt) in cleared {
            self.clear_of_rack(task, attempt);
        }
        self.drop_cleared_suspects();
    }

    /// Holds the loss of a rack under a run no longer against its task.
    fn clear_of_rack(&mut self, id: TaskId, attempt: u32) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id));
        if let Some(task) = task.filter(|task| task.lost_racks < MAX_RACKS) {
            task.lost_racks += 1;
            task.forget_lost_runs(|lost| lost.attempt == attempt);
        }
    }

    /// Whether all workers of a rack, two at least, were lost in the same moment.
    fn is_rack_lost(&self, rack: &str) -> bool {
        let of_rack = self.workers.values().filter(|worker| worker.entry.rack() == Some(rack));
        let of_rack: Vec<&Worker> = of_rack.collect();
        let addresses: IndexSet<_> = of_rack.iter().map(|worker| worker.entry.address).collect();
        let is_lost =
            |worker: &&Worker| self.lost_workers.iter().any(|lost| lost.is_lost_with(worker));
        addresses.len() >= 2 && of_rack.iter().all(is_lost)
    }

    pub(super) fn suspect_task(
        &mut self,
        (task, attempt): (TaskId, u32),
        id: &WorkerId,
        circumstances: &Loss,
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
        let is_crash = circumstances.has_crashed || address.is_some_and(is_replaced);
        let (worker, alive_ms) = (id.clone(), Some(circumstances.alive.0));
        let is_trial = self.was_trial(task, attempt);
        let pause_end_wall_ms = None;
        let lost =
            LostRun { attempt, worker, address, is_crash, alive_ms, is_trial, pause_end_wall_ms };
        self.record_lost_run(task, lost, circumstances.beside, now);
    }

    /// Remembers a lost run durably, and pauses its task if it has lost too many workers.
    pub(super) fn record_lost_run(
        &mut self,
        id: TaskId,
        mut lost: LostRun,
        beside: Option<usize>,
        now: Timestamp,
    ) {
        let job = self.jobs.get_mut(&id.job).filter(|job| job.end.is_none());
        let Some(task) = job.and_then(|job| job.task_mut(id)).filter(|task| !task.is_done) else {
            return;
        };
        let known = task.lost_runs.iter().find(|known| known.attempt == lost.attempt);
        let (is_known, is_news) =
            (known.is_some(), known.is_none_or(|one| one.is_crash != lost.is_crash));
        task.remember_lost_run(lost.clone());
        let (losses, crashes) = (task.lost_runs.len(), task.crashes());
        // What becomes known of a loss later does not pause its task again.
        let pause = if is_known { None } else { task.pause_after_loss(now) };
        if pause.is_some() {
            task.note_pause_end(&mut lost, self.wall_offset_ms);
        }
        self.suspects.insert(id);
        let run = RunId { task: id, attempt: lost.attempt, worker: lost.worker.clone() };
        let (is_crash, alive_ms) = (lost.is_crash, lost.alive_ms);
        let event = LogEvent::RunLost { run, losses, is_crash, alive_ms, beside };
        if is_news {
            self.actions.push(Action::Log(event));
        }
        if let Some(pause) = pause {
            self.actions.push(Action::Log(LogEvent::TaskPaused { task: id, crashes, pause }));
        }
        self.record(Record::RunLost { task: id, lost }, now, None);
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
            self.record_lost_run(task, LostRun { is_crash: true, ..lost }, None, now);
        }
    }

    /// Notes that a worker answers again as the same instance, so that it did not crash.
    pub(super) fn forget_losses(&mut self, id: &WorkerId) {
        let suspects: Vec<TaskId> = self.suspects.iter().copied().collect();
        for suspect in suspects {
            let task = self.jobs.get_mut(&suspect.job).and_then(|job| job.task_mut(suspect));
            if let Some(task) = task {
                task.forget_lost_runs(|lost| lost.worker == *id && !lost.is_crash);
            }
        }
        self.drop_cleared_suspects();
    }

    /// Drops the suspects against which no lost run is held any more.
    fn drop_cleared_suspects(&mut self) {
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
                self.suspect_inherited_task((id, attempt), &worker, now);
            }
        }
    }
}
