//! Workers on which tasks make far too little progress, though they answer and call themselves healthy.
//!
//! The load this answers: some workers run on many times slower, or what runs there stands still, and a
//! job is as late as the slowest of its tasks. What a task does is compared with other tasks of its step.
//! One job alone says nothing about a worker; standing still does.

use indexmap::IndexMap;

use super::{
    super::{
        Action, JobId, LogEvent, Step, TaskId, WorkerId, task::Job, times::ExpectedTimes,
        worker::Run,
    },
    Cell,
};
use crate::{Span, Timestamp};

/// Estimated work that must be done before the times that tasks took say anything, in thousandths
/// of a core-second.
const MIN_ESTIMATED: u64 = 200_000;

/// The least time over which progress is measured.
const MIN_MEASURE_TIME: Span = Span(300);

/// How long a run that shows no progress at all may need to get going.
const STARTUP: Span = Span(800);

/// The progress from which on the whole time of a run shows in it, in percent.
const TELLING_PERCENT: u64 = 10;

/// Below this part of the expected progress, in percent, a worker is too slow to be used.
const CRAWLING_PERCENT: u64 = 35;

/// Measurements after which a worker can be told to be slow.
const LEAST_MEASURED: u32 = 3;

/// The time of runs, added up, that must be measured before.
const LEAST_TIME: Span = Span(1_000);

/// Beyond this much time of runs, older measurements count half.
const MEMORY: Span = Span(8_000);

/// How often a task is taken away from a worker for being slow.
const MAX_RELOCATIONS: u32 = 2;

/// How much longer than elsewhere a run must go on to be given up, in percent.
const WORTH_PERCENT: u64 = 150;

/// The progress of all that runs on a worker: what was done against the time that it took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::job) struct Speed {
    /// The time that was expected for what was done, in milliseconds.
    expected: u64,
    /// The time that it took, in milliseconds.
    took: u64,
    measured: u32,
    /// The job of the first measurement, and whether there were others.
    job: Option<JobId>,
    several_jobs: bool,
}

impl Speed {
    fn record(&mut self, job: JobId, expected: u64, took: u64) {
        self.expected += expected;
        self.took += took;
        if self.took > MEMORY.0 {
            self.expected /= 2;
            self.took /= 2;
        }
        self.measured = self.measured.saturating_add(1);
        self.several_jobs |= *self.job.get_or_insert(job) != job;
    }

    fn percent(&self) -> u64 {
        (self.expected * 100).checked_div(self.took).unwrap_or(100)
    }

    fn is_crawling(&self) -> bool {
        let is_telling = self.several_jobs || self.expected == 0;
        self.measured >= LEAST_MEASURED
            && self.took >= LEAST_TIME.0
            && self.percent() < CRAWLING_PERCENT
            && is_telling
    }
}

impl Cell {
    /// How the time that tasks took compares with what was estimated before, in percent.
    pub(super) fn correction_percent(&self) -> u64 {
        let (took, estimated) = self.took_milli_s;
        if estimated < MIN_ESTIMATED { 100 } else { took * 100 / estimated }
    }

    /// How long a task takes on a sound worker, once other tasks of its step tell.
    pub(super) fn observed_task_time(&self, id: TaskId) -> Option<Span> {
        let occurrence = self.jobs.get(&id.job)?.occurrence(id.occurrence)?;
        occurrence.steps.get(id.step as usize)?.samples.median()
    }

    /// Measures the progress of what a worker has just listed, and gives up what would be done sooner
    /// elsewhere.
    pub(super) fn check_progress(&mut self, id: &WorkerId, now: Timestamp) {
        self.measure(id, now);
        let Some(worker) = self.workers.get_mut(id).filter(|one| one.speed.is_crawling()) else {
            return;
        };
        // What is believed of it next must be measured anew.
        let speed = std::mem::take(&mut worker.speed);
        if now >= worker.excluded_until {
            worker.exclude(now);
            worker.on_probation = true;
            let runs = worker.runs.len();
            let change = "makes too little progress";
            self.actions.push(Action::Log(LogEvent::Worker { worker: id.clone(), change, runs }));
        }
        self.relocate(id, speed.percent(), now);
    }

    /// A run ended as done: one that took no longer than others of its step ends the doubts about its
    /// worker.
    pub(super) fn record_completion(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        run: &Run,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !is_measurable_in(&self.jobs, task, worker.entry.rack()) {
            return;
        }
        let took = now.since(run.started);
        if !run.is_duration_recorded {
            record_total_time(&mut self.jobs, &mut self.expected_times, task, took);
        }
        let Some(whole) = self.observed_task_time(task) else {
            return;
        };
        let rest = 100_u64.saturating_sub(run.measured_percent);
        let since = now.since(run.measured_at).0.max(1);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.speed.record(task.job, whole.0 * rest / 100, since);
            worker.on_probation &= whole.0 * 100 / took.0.max(1) < CRAWLING_PERCENT;
        }
    }

    fn measure(&mut self, id: &WorkerId, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let rack = worker.entry.rack().map(str::to_owned);
        let mut measured = Vec::new();
        for (task, run) in &mut worker.runs {
            if !run.is_settled() || !is_measurable_in(&self.jobs, *task, rack.as_deref()) {
                continue;
            }
            let age = now.since(run.started);
            if !run.is_duration_recorded
                && run.percent >= TELLING_PERCENT
                && age >= MIN_MEASURE_TIME
            {
                run.is_duration_recorded = true;
                let total = Span(age.0 * 100 / run.percent);
                record_total_time(&mut self.jobs, &mut self.expected_times, *task, total);
            }
            let starts = run.percent == 0 && age < STARTUP;
            let since = now.since(run.measured_at);
            if !starts && since >= MIN_MEASURE_TIME {
                let progress = run.percent.saturating_sub(run.measured_percent);
                measured.push((*task, progress, since));
                (run.measured_at, run.measured_percent) = (now, run.percent);
            }
        }
        for (task, progress, since) in measured {
            // What stands still needs no comparison.
            let whole = self.observed_task_time(task).or((progress == 0).then_some(Span(0)));
            if let (Some(whole), Some(worker)) = (whole, self.workers.get_mut(id)) {
                worker.speed.record(task.job, whole.0 * progress / 100, since.0);
            }
        }
    }

    /// Stops what would be done sooner on another worker that has room.
    fn relocate(&mut self, id: &WorkerId, speed_percent: u64, now: Timestamp) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let slow: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_settled())
            .filter(|(task, run)| self.is_sooner_elsewhere(**task, run, speed_percent))
            .map(|(task, _)| *task)
            .collect();
        let mut candidates =
            if slow.is_empty() { Vec::new() } else { self.placement_candidates(now) };
        for task in slow {
            if !self.reserve_elsewhere(task, &mut candidates, now) {
                continue;
            }
            if let Some(task) = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task)) {
                task.relocations += 1;
            }
            self.stop_run(id, task, "it makes too little progress there", now);
        }
    }

    fn is_sooner_elsewhere(&self, id: TaskId, run: &Run, speed_percent: u64) -> bool {
        let Some(step) = self.step(id).filter(|step| !step.long_running && !step.gang) else {
            return false;
        };
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        if task.is_none_or(|task| task.relocations >= MAX_RELOCATIONS) {
            return false;
        }
        let Some(whole) =
            self.observed_task_time(id).or((speed_percent == 0).then_some(step.estimate))
        else {
            return false;
        };
        let whole = whole.0;
        let rest = whole * (100 - run.percent.min(100)) / 100;
        let here = rest * 100 / speed_percent.max(1);
        let elsewhere = self.cfg.stop_timeout.0 + if step.checkpoints { rest } else { whole };
        here * 100 > elsewhere * WORTH_PERCENT
    }
}

type Jobs = IndexMap<JobId, Job>;

/// Records how long a task takes in all.
fn record_total_time(jobs: &mut Jobs, expected_times: &mut ExpectedTimes, id: TaskId, total: Span) {
    let Some(job) = jobs.get_mut(&id.job) else {
        return;
    };
    expected_times.record(&job.queue, total);
    let occurrence = job.occurrences.iter_mut().find(|one| one.number == id.occurrence);
    if let Some(step) = occurrence.and_then(|one| one.steps.get_mut(id.step as usize)) {
        step.samples.record(total);
    }
}

fn is_measurable_in(jobs: &Jobs, id: TaskId, rack: Option<&str>) -> bool {
    let step = jobs.get(&id.job).and_then(|job| job.spec.steps.get(id.step as usize));
    step.is_some_and(|step| is_measurable(step, rack))
}

/// Whether progress can be compared with that of other tasks of the step: not for what waits for other tasks, or works far
/// from its data.
fn is_measurable(step: &Step, rack: Option<&str>) -> bool {
    let is_near = step.data_rack.as_deref().is_none_or(|near| rack == Some(near));
    !step.long_running && !step.gang && !step.fills && is_near
}
