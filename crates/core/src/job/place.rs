//! Chooses a worker for each task that is to start.
//!
//! A task goes to the worker with the smallest booked share, which spreads a job's tasks so that
//! the loss of a rack affects few of them. Workers on the rack with the task's data come first,
//! because the task takes a multiple of the time elsewhere. A task under which workers were lost
//! goes where the fewest others run, and others avoid its worker.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use super::{JobId, Resources, Step, StepId, WorkerId};

/// At most one candidate in this many is reserved for a large task.
const CANDIDATES_PER_RESERVATION: usize = 4;

/// A worker that may receive tasks, with its free resources as of the current planning pass.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[derive(Clone, Debug)]
pub(super) struct PlacementCandidate {
    pub(super) worker: WorkerId,
    pub(super) labels: Arc<[String]>,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// Number of runs of latency-sensitive tasks.
    pub(super) latency_sensitive_runs: u32,
    /// Number of runs of best-effort tasks.
    pub(super) best_effort_runs: u32,
    /// Number of its runs.
    pub(super) run_count: u32,
    /// Whether it runs a task under which workers were lost.
    pub(super) hosts_suspect: bool,
    /// Number of start orders that may be sent to it before it answers others.
    pub(super) start_room: u32,
    /// The worker was too slow and gets only one task at a time.
    pub(super) on_probation: bool,
    /// Its resources are reserved for a step whose tasks found no candidate with enough free
    /// resources.
    pub(super) is_reserved: bool,
    /// The advice service has not allowed the step that is being placed to run there.
    pub(super) is_disallowed: bool,
}

impl PlacementCandidate {
    pub(super) fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }

    /// Books the resources of one task of the step.
    pub(super) fn reserve(&mut self, step: &Step) {
        self.free -= step.booked();
        if self.on_probation {
            self.free = Resources::default();
        }
        self.run_count += 1;
        self.latency_sensitive_runs += u32::from(step.tail_target.is_some());
        self.best_effort_runs += u32::from(step.is_best_effort);
    }

    /// Returns the booked share of processor or memory capacity, whichever is larger, in
    /// thousandths.
    fn booked_share(&self) -> u64 {
        let share =
            |free: u64, capacity: u64| (capacity - free.min(capacity)) * 1_000 / capacity.max(1);
        share(self.free.cpu_milli, self.capacity.cpu_milli)
            .max(share(self.free.memory_mb, self.capacity.memory_mb))
    }
}

/// Whether a task of the step may be placed on a candidate that already runs `step_runs` tasks of
/// the step.
pub(super) fn is_allowed(candidate: &PlacementCandidate, step: &Step, step_runs: u32) -> bool {
    may_hold(candidate, &candidate.free, step, || step_runs)
}

/// Whether a task of the step may be placed on a candidate if `free` is free there. `step_runs`
/// returns how many tasks of the step run on the candidate; it is called only if that matters.
fn may_hold(
    candidate: &PlacementCandidate,
    free: &Resources,
    step: &Step,
    step_runs: impl FnOnce() -> u32,
) -> bool {
    !candidate.is_reserved
        && !candidate.is_disallowed
        && step.booked().fits(free)
        && step.label.as_ref().is_none_or(|label| candidate.labels.contains(label))
        && step.max_per_worker.is_none_or(|max| step_runs() < max)
}

/// Returns the index of the best candidate for one task of the step. `count` returns how many tasks
/// of a step run on a worker. `is_suspected` tells whether workers were lost under the task.
pub(super) fn choose_candidate(
    candidates: &[PlacementCandidate],
    step: &Step,
    (id, is_suspected): (StepId, bool),
    count: impl Fn(&WorkerId, StepId) -> u32,
) -> Option<usize> {
    let allowed = |candidate: &PlacementCandidate| {
        candidate.start_room > 0
            && may_hold(candidate, &candidate.free, step, || count(&candidate.worker, id))
    };
    let cost = |candidate: &PlacementCandidate| {
        let near_data = step.data_rack.as_deref().is_none_or(|rack| candidate.rack() == Some(rack));
        // Best-effort tasks slow down latency-sensitive tasks on the same worker.
        let interference = if step.is_best_effort { candidate.latency_sensitive_runs } else { 0 }
            + if step.tail_target.is_some() { candidate.best_effort_runs } else { 0 };
        let others = if is_suspected { candidate.run_count } else { 0 };
        let risk = (candidate.hosts_suspect, others);
        (risk, !near_data, interference, count(&candidate.worker, id), candidate.booked_share())
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| allowed(candidate))
        .min_by_key(|(_, candidate)| cost(candidate))
        .map(|(index, _)| index)
}

/// Whether a task of the step could be placed on a candidate that first has to answer earlier start
/// orders.
pub(super) fn waits_for_answers(
    candidates: &[PlacementCandidate],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) -> bool {
    candidates.iter().any(|candidate| {
        candidate.start_room == 0
            && may_hold(candidate, &candidate.free, step, || count(&candidate.worker, id))
    })
}

/// Whether so few candidates are reserved that another one may be.
pub(super) fn can_reserve(candidates: &[PlacementCandidate]) -> bool {
    let reserved = candidates.iter().filter(|candidate| candidate.is_reserved).count();
    reserved * CANDIDATES_PER_RESERVATION < candidates.len()
}

/// Reserves a candidate for a step whose task fits on none: of the candidates that could run the
/// task if they were empty, the one with the most free processor capacity. Without the reservation,
/// the small tasks of later steps would take all capacity that becomes free, and large tasks would
/// wait until the overload ends.
pub(super) fn reserve_candidate(
    candidates: &mut [PlacementCandidate],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) {
    if !can_reserve(candidates) {
        return;
    }
    let fits_when_empty = |candidate: &&mut PlacementCandidate| {
        may_hold(candidate, &candidate.capacity, step, || count(&candidate.worker, id))
    };
    let roomiest = candidates
        .iter_mut()
        .filter(fits_when_empty)
        .max_by_key(|candidate| candidate.free.cpu_milli);
    if let Some(candidate) = roomiest {
        candidate.is_reserved = true;
    }
}

/// Returns how many workers with this capacity are needed to run all tasks of the steps at the same
/// time, by first-fit packing.
pub(super) fn workers_needed(capacity: Resources, steps: &[(JobId, &Step)]) -> u32 {
    let mut workers: Vec<Resources> = Vec::new();
    for (_, step) in steps {
        let mut counts: Vec<u32> = vec![0; workers.len()];
        for _ in 0..step.count {
            let max = step.max_per_worker.unwrap_or(u32::MAX);
            let fits = |index: &usize| counts[*index] < max && step.booked().fits(&workers[*index]);
            let index = (0..workers.len()).find(fits).unwrap_or_else(|| {
                workers.push(capacity);
                counts.push(0);
                workers.len() - 1
            });
            workers[index] -= step.booked();
            counts[index] += 1;
        }
    }
    u32::try_from(workers.len()).unwrap_or(u32::MAX)
}

/// Returns the index of a candidate for each task of a gang, or `None` if not all of them fit. The
/// tasks share one rack if possible, the one with their data first; a step with `same_rack` is
/// never spread over several racks. `allows` tells whether the task of an index may start on a worker.
pub(super) fn choose_gang(
    candidates: &[PlacementCandidate],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
    allows: impl Fn(u32, &WorkerId) -> bool,
) -> Option<Vec<usize>> {
    let tasks = by_freedom(candidates, step, &allows)?;
    let mut racks: Vec<Option<&str>> = candidates.iter().map(PlacementCandidate::rack).collect();
    racks.sort_unstable();
    racks.dedup();
    let data_rack = step.data_rack.as_deref();
    racks.sort_by_key(|&rack| data_rack.is_some() && rack != data_rack);
    let on_rack = racks.iter().find_map(|&rack| {
        place_gang(candidates, step, id, &tasks, &count, &allows, GangScope::Rack(rack))
    });
    if on_rack.is_some() || step.same_rack {
        return on_rack;
    }
    place_gang(candidates, step, id, &tasks, &count, &allows, GangScope::All)
}

/// The candidates that a gang may use.
#[derive(Clone, Copy)]
enum GangScope<'a> {
    Rack(Option<&'a str>),
    All,
}

/// The tasks of a gang, those first that may start on the fewest workers, or others could take their room;
/// `None` if one may start on none.
fn by_freedom(
    candidates: &[PlacementCandidate],
    step: &Step,
    allows: &impl Fn(u32, &WorkerId) -> bool,
) -> Option<Vec<u32>> {
    let freedom = |task| candidates.iter().filter(|one| allows(task, &one.worker)).count();
    let mut tasks: Vec<(usize, u32)> = (0..step.count).map(|task| (freedom(task), task)).collect();
    tasks.sort_unstable();
    let is_possible = tasks.first().is_none_or(|(freedom, _)| *freedom > 0);
    is_possible.then(|| tasks.into_iter().map(|(_, task)| task).collect())
}

/// Places the tasks of a gang in this order on candidates within `scope`; returns `None` if they don't fit.
fn place_gang(
    candidates: &[PlacementCandidate],
    step: &Step,
    id: StepId,
    tasks: &[u32],
    count: &impl Fn(&WorkerId, StepId) -> u32,
    allows: &impl Fn(u32, &WorkerId) -> bool,
    scope: GangScope<'_>,
) -> Option<Vec<usize>> {
    let may_start = |task: u32, candidate: &PlacementCandidate| match scope {
        GangScope::Rack(rack) => candidate.rack() == rack && allows(task, &candidate.worker),
        GangScope::All => allows(task, &candidate.worker),
    };
    let mut candidates_left: Vec<PlacementCandidate> = candidates.to_vec();
    let mut placed: Vec<(u32, usize)> = Vec::new();
    for &task in tasks {
        let step_runs = |index: usize| {
            let placed = placed.iter().filter(|(_, other)| *other == index).count();
            count(&candidates[index].worker, id) + u32::try_from(placed).unwrap_or(u32::MAX)
        };
        let index = (0..candidates_left.len())
            .filter(|&index| may_start(task, &candidates_left[index]))
            .filter(|&index| {
                let candidate = &candidates_left[index];
                may_hold(candidate, &candidate.free, step, || step_runs(index))
            })
            .min_by_key(|&index| candidates_left[index].booked_share())?;
        candidates_left[index].reserve(step);
        placed.push((task, index));
    }
    placed.sort_unstable();
    Some(placed.into_iter().map(|(_, index)| index).collect())
}
