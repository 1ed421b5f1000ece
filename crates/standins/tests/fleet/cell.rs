//! Stand-ins for the cells: they begin tasks on the workers of their pools and drain what they are asked to.

use indexmap::{IndexMap, IndexSet};
use teaselgap_core::{
    ServiceId, Span, Timestamp,
    job::{DrainMode, Load, WorkerId},
};

use crate::{
    draw::Draw,
    history::{LONGEST_DRAIN_MS, POOLS, VMS_PER_POOL, pool},
    platform::{Platform, VM_CPU_MILLI},
};

/// How often a cell begins tasks.
const TASK_INTERVAL: Span = Span(100);

/// How long a cell drains workers without another instruction.
const FLEET_ABSENCE: Span = Span(9_000);

/// The longest drain of a worker while no trouble makes drains slow, in milliseconds.
pub(crate) const USUAL_DRAIN_MS: u64 = 1_500;

/// What a cell has been asked to drain.
pub(crate) type Drains = IndexMap<WorkerId, DrainMode>;

/// A task that runs on a worker.
#[derive(Clone, Copy, Debug)]
struct Run {
    end: Timestamp,
    is_long: bool,
}

/// A cell.
#[derive(Debug, Default)]
struct Cell {
    epoch: u64,
    drains: Drains,
    drains_expiry: Timestamp,
    is_in_burst: bool,
    /// Usable workers.
    workers: Vec<WorkerId>,
}

/// The cells of all pools with a queue.
#[derive(Debug)]
pub(crate) struct Cells {
    by_name: IndexMap<ServiceId, Cell>,
    runs: IndexMap<WorkerId, Run>,
    pub(crate) is_slow: bool,
    next: Timestamp,
    draw: Draw,
}

impl Cells {
    pub(crate) fn new(draw: Draw) -> Self {
        let by_name = (0..POOLS).map(|number| (pool(number), Cell::default())).collect();
        Self { by_name, runs: IndexMap::new(), is_slow: false, next: Timestamp(0), draw }
    }

    pub(crate) fn names(&self) -> Vec<ServiceId> {
        self.by_name.keys().cloned().collect()
    }

    pub(crate) fn set_burst(&mut self, number: usize, is_in_burst: bool) {
        self.by_name[number].is_in_burst = is_in_burst;
    }

    /// Whether a worker runs tasks.
    pub(crate) fn runs_tasks(&self, worker: &WorkerId) -> bool {
        self.runs.contains_key(worker)
    }

    /// Ends what runs on a worker.
    pub(crate) fn end_worker(&mut self, worker: &WorkerId) {
        self.runs.shift_remove(worker);
    }

    /// Ends the tasks that are due, and begins others on the workers that are not to be drained.
    pub(crate) fn step(&mut self, platform: &Platform, now: Timestamp) {
        self.runs.retain(|_, run| now < run.end);
        if now < self.next {
            return;
        }
        self.next = now + TASK_INTERVAL;
        for (name, cell) in &mut self.by_name {
            if cell.drains_expiry <= now {
                cell.drains.clear();
            }
            let of_pool = platform.vms.values().filter(|present| present.vm.pool == *name);
            cell.workers = of_pool.filter_map(|present| present.vm.worker.clone()).collect();
            let chance = if cell.is_in_burst { 60 } else { 10 };
            for worker in &cell.workers {
                let is_free = !cell.drains.contains_key(worker) && !self.runs.contains_key(worker);
                if is_free && self.draw.happens(chance) {
                    let is_long = self.draw.happens(5);
                    let length =
                        if is_long { Span(600_000) } else { self.draw.span(50, USUAL_DRAIN_MS) };
                    self.runs.insert(worker.clone(), Run { end: now + length, is_long });
                }
            }
        }
    }

    /// Takes an owner's instruction and returns the cell's report: its load, and the drained workers among those
    /// that it is asked to drain.
    pub(crate) fn instruct(
        &mut self,
        name: &ServiceId,
        epoch: u64,
        drains: Drains,
        now: Timestamp,
    ) -> (Load, Vec<WorkerId>) {
        let most = if self.is_slow { LONGEST_DRAIN_MS } else { USUAL_DRAIN_MS };
        let cell = &mut self.by_name[name];
        if epoch >= cell.epoch {
            cell.epoch = epoch;
            for (worker, mode) in &drains {
                let is_new = cell.drains.get(worker) != Some(mode);
                let Some(run) = self.runs.get_mut(worker).filter(|_| is_new) else {
                    continue;
                };
                if run.is_long || self.is_slow || *mode != DrainMode::WaitForRuns {
                    let drain = self.draw.span(50, most);
                    let is_slow_end = self.is_slow && !run.is_long;
                    let end = now + drain;
                    run.end = if is_slow_end { run.end.max(end) } else { run.end.min(end) };
                    run.is_long = false;
                }
            }
            cell.drains = drains;
            cell.drains_expiry = now + FLEET_ABSENCE;
        }
        let runs = &self.runs;
        let cell = &self.by_name[name];
        let drained = cell.drains.keys().filter(|worker| !runs.contains_key(*worker));
        (self.load(cell), drained.cloned().collect())
    }

    fn load(&self, cell: &Cell) -> Load {
        let usable = cell.workers.iter().filter(|worker| !cell.drains.contains_key(*worker));
        let mut spare: Vec<WorkerId> = usable.cloned().collect();
        let is_long =
            |worker: &WorkerId| self.runs.get(worker).is_some_and(|run: &Run| run.is_long);
        spare.sort_by_key(|worker| (is_long(worker), self.runs.contains_key(worker)));
        let short_running = spare.iter().filter(|worker| !is_long(worker)).count();
        let needed = if cell.is_in_burst { VMS_PER_POOL as u64 + 1 } else { 1 };
        let workers: IndexSet<&WorkerId> = cell.workers.iter().collect();
        Load {
            capacity_milli: workers.len() as u64 * VM_CPU_MILLI,
            booked_milli: VM_CPU_MILLI,
            // The fleet adds a quarter.
            required_milli: needed * VM_CPU_MILLI * 4 / 5,
            workers: u32::try_from(workers.len()).unwrap(),
            arrived_milli_s: 1_000,
            arrived_jobs: 1,
            floor_workers: 1,
            correction_percent: 100,
            spare,
            short_running_workers: u32::try_from(short_running).unwrap(),
            ..Load::default()
        }
    }
}
