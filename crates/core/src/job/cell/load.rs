//! How busy a cell is, as the fleet is told.

use super::{
    super::{
        JobId, Load, Step, order, place,
        task::{Job, Task},
    },
    Cell,
};
use crate::Timestamp;

/// Declared work that must be done before the times that tasks took say anything, in thousandths of a
/// core-second.
const LEAST_DECLARED: u64 = 200_000;

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
        place::workers_to_hold(capacity, &lasting) + 1
    }

    /// How busy the cell is.
    #[must_use]
    pub fn load(&self, now: Timestamp) -> Load {
        let (took, declared) = self.took_milli_s;
        let mut load = Load {
            arrived_milli_s: self.arrived_milli_s,
            correction_percent: if declared < LEAST_DECLARED { 100 } else { took * 100 / declared },
            floor_workers: self.floor_workers(),
            spare: self.spare_workers(now),
            ..Load::default()
        };
        for worker in self.workers.values().filter(|worker| Self::is_usable(worker, now)) {
            load.capacity_milli += worker.entry.capacity.cpu_milli;
            load.booked_milli += worker.used().cpu_milli;
            load.workers += 1;
        }
        for job in self.jobs.values().filter(|job| job.end.is_none()) {
            for place in 0..job.occurrences.len() {
                self.add_load(&mut load, job, place, now);
            }
        }
        load
    }
}

/// A task that runs counts as half done.
const RUNNING_PERCENT: u64 = 50;

impl Cell {
    /// Adds what one occurrence of a job asks for.
    fn add_load(&self, load: &mut Load, job: &Job, place: usize, now: Timestamp) {
        let occurrence = &job.occurrences[place];
        let mut work = 0;
        for (number, (state, step)) in occurrence.steps.iter().zip(&job.spec.steps).enumerate() {
            let cpu = step.booked().cpu_milli;
            if step.long_running {
                load.lasting_milli += cpu * u64::from(step.count);
                continue;
            }
            let open = state.tasks.iter().filter(|task| !task.done).count() as u64;
            let idle = |task: &&Task| !task.done && task.runs.is_empty();
            let idle = state.tasks.iter().filter(idle).count() as u64;
            let weighed = idle * 100 + (open - idle) * RUNNING_PERCENT;
            work += cpu * step.estimate.0 * weighed / 100;
            if occurrence.is_ready(&job.spec, number) {
                load.waiting_milli += cpu * idle;
            }
        }
        if let Some(queue) = self.queues.get(&job.queue).filter(|_| work > 0) {
            let left = order::time_left(job, place, queue, (now, self.wall_offset));
            load.required_milli += work / left.0.max(1);
        }
    }
}
