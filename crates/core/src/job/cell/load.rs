//! How busy a cell is, as the fleet is told.

#[cfg(test)]
mod tests;

use super::{
    super::{
        JobId, Load, Step,
        order::{self, RankContext},
        place,
        task::{Job, Task},
        times,
    },
    Cell,
};
use crate::{Span, Timestamp};

impl Cell {
    /// Workers that the tasks that last fill, and one more, so that any of them can be done without
    /// for a while.
    fn floor_workers(&self) -> u32 {
        let capacities = self.workers.values().map(|worker| worker.entry.capacity);
        let Some(capacity) = capacities.min_by_key(|capacity| capacity.memory_mb) else {
            return 1;
        };
        let open = self.jobs.iter().filter(|(_, job)| job.end.is_none());
        let steps = open.flat_map(|(&id, job)| job.spec.steps.iter().map(move |step| (id, step)));
        let mut lasting: Vec<(JobId, &Step)> =
            steps.filter(|(_, step)| step.long_running).collect();
        lasting.sort_by_key(|(_, step)| std::cmp::Reverse(step.need.memory_mb));
        place::workers_needed(capacity, &lasting) + 1
    }

    /// How busy the cell is.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Load {
        let mut load = Load {
            arrived_milli_s: self.arrived_milli_s,
            arrived_jobs: self.arrived_jobs,
            correction_percent: self.correction_percent(),
            floor_workers: self.floor_workers(),
            spare: self.spare_workers(now),
            ..Load::default()
        };
        let mut demands = Vec::new();
        for worker in self.workers.values().filter(|worker| Self::is_usable(worker, now)) {
            load.capacity_milli += worker.entry.capacity.cpu_milli;
            load.booked_milli += worker.used().cpu_milli;
            load.workers += 1;
        }
        for job in self.jobs.values().filter(|job| job.end.is_none()) {
            for place in 0..job.occurrences.len() {
                demands.extend(self.add_load(&mut load, job, place, now));
            }
        }
        load.required_milli = required_milli(demands);
        load
    }
}

/// A task that runs counts as half done.
const RUNNING_PERCENT: u64 = 50;

/// What is left to do of a job, and the time that is left for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Demand {
    left: Span,
    /// Thousandths of a core for a millisecond.
    work: u64,
}

/// The least processor capacity, in thousandths of a core, with which all of this is done in time if
/// what is due first is served first.
fn required_milli(mut demands: Vec<Demand>) -> u64 {
    demands.sort_unstable();
    let mut due = 0;
    let mut required = 0;
    for Demand { left, work } in demands {
        due += work;
        required = required.max(due / left.0.max(1));
    }
    required
}

impl Cell {
    /// Adds what one occurrence of a job asks for; what is left of it to do.
    fn add_load(&self, load: &mut Load, job: &Job, place: usize, now: Timestamp) -> Option<Demand> {
        let occurrence = &job.occurrences[place];
        let expected = self.expected_times.get(&job.queue);
        let mut work = 0;
        for (number, (state, step)) in occurrence.steps.iter().zip(&job.spec.steps).enumerate() {
            let cpu = step.booked().cpu_milli;
            if step.long_running {
                load.lasting_milli += cpu * u64::from(step.count);
                continue;
            }
            let open = state.tasks.iter().filter(|task| !task.is_done).count() as u64;
            let idle = |task: &&Task| !task.is_done && task.run_workers.is_empty();
            let idle = state.tasks.iter().filter(idle).count() as u64;
            let weighed = idle * 100 + (open - idle) * RUNNING_PERCENT;
            work += cpu * times::task_time(step, state, expected).0 * weighed / 100;
            if occurrence.is_ready(&job.spec, number) {
                load.waiting_milli += cpu * idle;
            }
        }
        let queue = self.queues.get(&job.queue).filter(|_| work > 0)?;
        let context = RankContext { queue, expected, now, wall_offset: self.wall_offset };
        let left = order::time_left(job, place, &context);
        Some(Demand { left, work })
    }
}
