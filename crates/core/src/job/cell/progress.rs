//! Detection of workers on which tasks progress far too slowly, although the workers answer and
//! report themselves healthy.
//!
//! A job is as late as the slowest of its tasks, and a worker can become many times slower or make
//! no progress at all. The progress of a task is therefore compared with that of other tasks of its
//! step. Slow tasks of a single job say nothing about their worker, unless they make no progress at
//! all.

use super::{
    super::{Action, JobId, LogEvent, Step, TaskId, WorkerId, times::ExpectedTimes, worker::Run},
    Cell,
    job_table::JobTable,
};
use crate::{Span, Timestamp};

/// The estimated processor time of finished tasks, in thousandths of a core-second, below which the
/// correction stays at 100 percent.
const MIN_ESTIMATED_MILLI_S: u64 = 200_000;

/// The shortest interval over which progress is measured.
const MIN_MEASURE_INTERVAL: Span = Span(300);

/// How long a new run may show no progress before that counts against its worker.
const STARTUP_GRACE: Span = Span(800);

/// The progress, in percent, from which on the total time of a run is extrapolated.
const MIN_EXTRAPOLATION_PERCENT: u64 = 10;

/// The part of the expected progress, in percent, below which a worker is too slow to be used.
const MIN_SPEED_PERCENT: u64 = 35;

/// The number of measurements needed to find a worker too slow.
const MIN_MEASUREMENTS: u32 = 3;

/// The measured time, summed over runs, needed to find a worker too slow.
const MIN_MEASURED_TIME: Span = Span(1_000);

/// When the measured time exceeds this, the sums are halved, so that newer measurements weigh more.
const MEASURED_TIME_WINDOW: Span = Span(8_000);

/// How often a task is relocated from a slow worker.
const MAX_RELOCATIONS: u32 = 2;

/// A run is relocated if its remaining time on its worker exceeds this percentage of the time that
/// it would take on another one.
const MIN_RELOCATION_GAIN_PERCENT: u64 = 150;

/// The measured progress of all runs on a worker, as expected time against actual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::job) struct WorkerSpeed {
    /// The time that the measured progress was expected to take, in milliseconds.
    expected_ms: u64,
    /// The time that it actually took, in milliseconds.
    actual_ms: u64,
    measurements: u32,
    /// The job of the first measurement.
    first_job: Option<JobId>,
    /// Whether measurements of other jobs followed.
    has_several_jobs: bool,
}

impl WorkerSpeed {
    fn record(&mut self, job: JobId, expected_ms: u64, actual_ms: u64) {
        self.expected_ms += expected_ms;
        self.actual_ms += actual_ms;
        if self.actual_ms > MEASURED_TIME_WINDOW.0 {
            self.expected_ms /= 2;
            self.actual_ms /= 2;
        }
        self.measurements = self.measurements.saturating_add(1);
        self.has_several_jobs |= *self.first_job.get_or_insert(job) != job;
    }

    /// The expected time in percent of the actual one; about 100 on a healthy worker.
    fn percent(&self) -> u64 {
        (self.expected_ms * 100).checked_div(self.actual_ms).unwrap_or(100)
    }

    fn is_too_slow(&self) -> bool {
        let is_conclusive = self.has_several_jobs || self.expected_ms == 0;
        self.measurements >= MIN_MEASUREMENTS
            && self.actual_ms >= MIN_MEASURED_TIME.0
            && self.percent() < MIN_SPEED_PERCENT
            && is_conclusive
    }
}

impl Cell {
    /// The actual processor time of finished tasks, in percent of the estimated time.
    pub(super) fn correction_percent(&self) -> u64 {
        let (actual, estimated) = self.task_cpu_milli_s;
        if estimated < MIN_ESTIMATED_MILLI_S { 100 } else { actual * 100 / estimated }
    }

    /// How long a task takes on a healthy worker, once enough tasks of its step were measured.
    pub(super) fn observed_task_time(&self, id: TaskId) -> Option<Span> {
        let occurrence = self.jobs.get(&id.job)?.occurrence(id.occurrence)?;
        occurrence.steps.get(id.step as usize)?.samples.median()
    }

    /// Measures the progress of the runs that a worker has just listed. If the worker is too slow,
    /// excludes it and relocates runs that would finish sooner on another one.
    pub(super) fn check_progress(&mut self, id: &WorkerId, now: Timestamp) {
        self.measure_progress(id, now);
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.speed.is_too_slow())
        else {
            return;
        };
        // Further decisions about this worker need new measurements.
        let speed = std::mem::take(&mut worker.speed);
        if now >= worker.excluded_until {
            worker.exclude(now);
            worker.on_probation = true;
            let runs = worker.runs.len();
            let change = "progress too slow";
            self.actions.push(Action::Log(LogEvent::Worker { worker: id.clone(), change, runs }));
        }
        self.relocate_slow_runs(id, speed.percent(), now);
    }

    /// Records the time of a run that ended as done. If the run was not too slow for its step, the
    /// worker's probation ends.
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
        if !run.skips_duration {
            record_total_time(&mut self.jobs, &mut self.expected_times, task, took);
        }
        let Some(full_time) = self.observed_task_time(task) else {
            return;
        };
        let remaining = 100_u64.saturating_sub(run.measured_percent);
        let interval = now.since(run.measured_at).0.max(1);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.speed.record(task.job, full_time.0 * remaining / 100, interval);
            worker.on_probation &= full_time.0 * 100 / took.0.max(1) < MIN_SPEED_PERCENT;
        }
    }

    fn measure_progress(&mut self, id: &WorkerId, now: Timestamp) {
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
            if !run.skips_duration
                && run.progress_percent >= MIN_EXTRAPOLATION_PERCENT
                && age >= MIN_MEASURE_INTERVAL
            {
                run.skips_duration = true;
                let total = Span(age.0 * 100 / run.progress_percent);
                record_total_time(&mut self.jobs, &mut self.expected_times, *task, total);
            }
            let is_starting_up = run.progress_percent == 0 && age < STARTUP_GRACE;
            let interval = now.since(run.measured_at);
            if !is_starting_up && interval >= MIN_MEASURE_INTERVAL {
                let progress = run.progress_percent.saturating_sub(run.measured_percent);
                measured.push((*task, progress, interval));
                (run.measured_at, run.measured_percent) = (now, run.progress_percent);
            }
        }
        for (task, progress, interval) in measured {
            // A run without progress needs no comparison with other tasks of its step.
            let full_time = self.observed_task_time(task).or((progress == 0).then_some(Span(0)));
            if let (Some(full_time), Some(worker)) = (full_time, self.workers.get_mut(id)) {
                worker.speed.record(task.job, full_time.0 * progress / 100, interval.0);
            }
        }
    }

    /// Stops runs that would finish sooner on another worker with room, where they may start at once.
    fn relocate_slow_runs(&mut self, id: &WorkerId, speed_percent: u64, now: Timestamp) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let slow: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_settled())
            .filter(|(task, run)| self.is_faster_elsewhere(**task, run, speed_percent))
            .filter(|(task, _)| !self.is_bound_by_order(worker, **task, now))
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
            self.stop_run(id, task, "progress too slow on this worker", now);
        }
    }

    /// Whether a run would finish sooner on another worker by enough to be worth a relocation.
    fn is_faster_elsewhere(&self, id: TaskId, run: &Run, speed_percent: u64) -> bool {
        let Some(step) = self.step(id).filter(|step| !step.long_running && !step.gang) else {
            return false;
        };
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        if task.is_none_or(|task| task.relocations >= MAX_RELOCATIONS) {
            return false;
        }
        let Some(full_time) =
            self.observed_task_time(id).or((speed_percent == 0).then_some(step.estimate))
        else {
            return false;
        };
        let full_time = full_time.0;
        let remaining = full_time * (100 - run.progress_percent.min(100)) / 100;
        let time_here = remaining * 100 / speed_percent.max(1);
        let time_elsewhere =
            self.cfg.stop_timeout.0 + if step.checkpoints { remaining } else { full_time };
        time_here * 100 > time_elsewhere * MIN_RELOCATION_GAIN_PERCENT
    }
}

/// Records the total time of a task for its step and its queue.
fn record_total_time(
    jobs: &mut JobTable,
    expected_times: &mut ExpectedTimes,
    id: TaskId,
    total: Span,
) {
    let Some(job) = jobs.get_mut(&id.job) else {
        return;
    };
    expected_times.record(&job.queue, total);
    let occurrence = job.occurrences.iter_mut().find(|one| one.number == id.occurrence);
    if let Some(step) = occurrence.and_then(|one| one.steps.get_mut(id.step as usize)) {
        step.samples.record(total);
    }
}

fn is_measurable_in(jobs: &JobTable, id: TaskId, rack: Option<&str>) -> bool {
    let step = jobs.get(&id.job).and_then(|job| job.spec.steps.get(id.step as usize));
    step.is_some_and(|step| is_measurable(step, rack))
}

/// Whether progress can be compared between tasks of the step. It cannot for long-running tasks,
/// for tasks that wait for other tasks (gangs and best-effort tasks), and far from the step's data.
fn is_measurable(step: &Step, rack: Option<&str>) -> bool {
    let is_near = step.data_rack.as_deref().is_none_or(|data_rack| rack == Some(data_rack));
    !step.long_running && !step.gang && !step.is_best_effort && is_near
}
