//! The load that a cell reports to the fleet.

#[cfg(test)]
mod tests;

use super::{
    super::{
        JobId, Load, Step,
        order::{self, RankContext},
        place,
        task::Job,
        times,
    },
    Cell,
};
use crate::{Span, Timestamp};

impl Cell {
    /// The number of workers that the long-running tasks need, plus one, so that any one worker can
    /// be drained. Every worker is assumed to have the capacity of the one with the least memory. A
    /// worker that has never answered may not exist, so it counts only while none has. The result is
    /// 1 if the cell has no workers.
    fn floor_workers(&self) -> u32 {
        let has_answered = self.workers.values().any(|worker| worker.is_adopted);
        let existing = self.workers.values().filter(|worker| worker.is_adopted == has_answered);
        let capacities = existing.map(|worker| worker.entry.capacity);
        let Some(capacity) = capacities.min_by_key(|capacity| capacity.memory_mb) else {
            return 1;
        };
        let steps = self
            .jobs
            .open()
            .flat_map(|(id, job)| job.spec.steps.iter().map(move |step| (id, step)));
        let mut long_running: Vec<(JobId, &Step)> =
            steps.filter(|(_, step)| step.long_running).collect();
        long_running.sort_by_key(|(_, step)| std::cmp::Reverse(step.need.memory_mb));
        place::workers_needed(capacity, &long_running) + 1
    }

    /// The current load of the cell.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Load {
        let (spare, short_running_workers) = self.spare_workers(now);
        let mut load = Load {
            arrived_milli_s: self.arrivals.milli_s,
            arrived_jobs: self.arrivals.jobs,
            correction_percent: self.correction_percent(),
            floor_workers: self.floor_workers(),
            spare,
            short_running_workers,
            ..Load::default()
        };
        let mut demands = Vec::new();
        for worker in self.workers.values().filter(|worker| Self::is_usable(worker, now)) {
            load.capacity_milli += worker.entry.capacity.cpu_milli;
            load.booked_milli += worker.used().cpu_milli;
            load.workers += 1;
        }
        for (_, job) in self.jobs.open() {
            for index in 0..job.occurrences.len() {
                demands.extend(self.add_load(&mut load, job, index, now));
            }
        }
        load.required_milli = required_milli(demands);
        load
    }
}

/// How much of a running task is assumed to be left, in percent.
const RUNNING_TASK_LEFT_PERCENT: u64 = 50;

/// The work left in one occurrence of a job, and the time left to finish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Demand {
    time_left: Span,
    /// In thousandths of a core times milliseconds.
    work: u64,
}

/// The least processor capacity, in thousandths of a core, that finishes all work in time if the
/// earliest deadline is served first.
fn required_milli(mut demands: Vec<Demand>) -> u64 {
    demands.sort_unstable();
    let mut cumulative_work = 0;
    let mut required = 0;
    for Demand { time_left, work } in demands {
        cumulative_work += work;
        required = required.max(cumulative_work / time_left.0.max(1));
    }
    required
}

impl Cell {
    /// Adds one occurrence of a job to the load and returns its demand; `None` if no work is left
    /// or its queue is unknown.
    fn add_load(&self, load: &mut Load, job: &Job, index: usize, now: Timestamp) -> Option<Demand> {
        let occurrence = &job.occurrences[index];
        let expected = self.expected_times.get(&job.queue);
        let mut work = 0;
        for (step_index, (state, step)) in occurrence.steps.iter().zip(&job.spec.steps).enumerate()
        {
            let cpu = step.booked().cpu_milli;
            if step.long_running {
                load.long_running_milli += cpu * u64::from(step.count);
                continue;
            }
            let open_tasks = state.tasks.iter().filter(|task| !task.is_done).count() as u64;
            let waiting_tasks = state.waiting_tasks();
            let weighted_tasks =
                waiting_tasks * 100 + (open_tasks - waiting_tasks) * RUNNING_TASK_LEFT_PERCENT;
            work += cpu * times::task_time(step, state, expected).0 * weighted_tasks / 100;
            if occurrence.is_ready(&job.spec, step_index) {
                load.waiting_milli += cpu * waiting_tasks;
            }
        }
        let queue = self.queues.get(&job.queue).filter(|_| work > 0)?;
        let context = RankContext { queue, expected, now, wall_offset_ms: self.wall_offset_ms };
        let time_left = order::time_to_finish(job, index, &context);
        Some(Demand { time_left, work })
    }
}
