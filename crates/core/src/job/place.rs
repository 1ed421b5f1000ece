//! Which worker gets a task.
//!
//! Tasks go where the smallest part of a worker is booked, so that the loss of a rack takes few of
//! any job; the rack with a task's data comes first, since tasks elsewhere take a multiple of the
//! time.

use super::{JobId, Resources, Step, StepId, WorkerId};

/// One worker in this many at most is reserved for large tasks.
const RESERVED_PART: usize = 4;

/// A worker that may get new work, with what is left of it.
#[derive(Clone, Debug)]
pub(super) struct PlacementCandidate {
    pub(super) worker: WorkerId,
    pub(super) labels: Vec<String>,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// Runs of tasks that serve users, and of best-effort tasks.
    pub(super) latency_sensitive_runs: u32,
    pub(super) best_effort_runs: u32,
    /// It gets one task and no more.
    pub(super) on_probation: bool,
    /// Its room is reserved for a task that is larger than what is free.
    pub(super) is_reserved: bool,
    /// The step that is being placed may not run there.
    pub(super) is_disallowed: bool,
}

impl PlacementCandidate {
    pub(super) fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }

    /// Reserves room for a task of the step.
    pub(super) fn reserve(&mut self, step: &Step) {
        self.free -= step.booked();
        if self.on_probation {
            self.free = Resources::default();
        }
        self.latency_sensitive_runs += u32::from(step.tail_target.is_some());
        self.best_effort_runs += u32::from(step.fills);
    }

    /// The share of the worker that is booked, in thousandths, of whatever is scarcest.
    fn booked_share(&self) -> u64 {
        let share = |free: u64, all: u64| (all - free.min(all)) * 1_000 / all.max(1);
        share(self.free.cpu_milli, self.capacity.cpu_milli)
            .max(share(self.free.memory_mb, self.capacity.memory_mb))
    }
}

/// What a step asks of a worker beside room.
pub(super) fn is_allowed(candidate: &PlacementCandidate, step: &Step, count_there: u32) -> bool {
    !candidate.is_reserved
        && !candidate.is_disallowed
        && step.booked().fits(&candidate.free)
        && step.label.as_ref().is_none_or(|label| candidate.labels.contains(label))
        && step.max_per_worker.is_none_or(|most| count_there < most)
}

/// The best worker for one task of the step; `count` tells how many of the step a worker has.
pub(super) fn choose_candidate(
    candidates: &[PlacementCandidate],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) -> Option<usize> {
    let allowed =
        |candidate: &PlacementCandidate| is_allowed(candidate, step, count(&candidate.worker, id));
    let cost = |candidate: &PlacementCandidate| {
        let near = step.data_rack.as_deref().is_none_or(|rack| candidate.rack() == Some(rack));
        // Tasks that fill disturb those that serve.
        let disturbs = if step.fills { candidate.latency_sensitive_runs } else { 0 }
            + if step.tail_target.is_some() { candidate.best_effort_runs } else { 0 };
        (!near, disturbs, count(&candidate.worker, id), candidate.booked_share())
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| allowed(candidate))
        .min_by_key(|(_, candidate)| cost(candidate))
        .map(|(place, _)| place)
}

/// Keeps the worker with the most free room from the steps that come after this one, none of whose
/// tasks found room: else small tasks would take whatever becomes free, and large ones would wait for
/// the end of the overload.
pub(super) fn reserve_room(
    candidates: &mut [PlacementCandidate],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) {
    let reserved = candidates.iter().filter(|candidate| candidate.is_reserved).count();
    if reserved * RESERVED_PART >= candidates.len() {
        return;
    }
    let empty = |candidate: &PlacementCandidate| PlacementCandidate {
        free: candidate.capacity,
        ..candidate.clone()
    };
    let could_run = |candidate: &&mut PlacementCandidate| {
        is_allowed(&empty(candidate), step, count(&candidate.worker, id))
    };
    let roomiest =
        candidates.iter_mut().filter(could_run).max_by_key(|candidate| candidate.free.cpu_milli);
    if let Some(candidate) = roomiest {
        candidate.is_reserved = true;
    }
}

/// How many workers of one size it takes to hold all tasks of these steps, placed one after the other
/// where they first fit.
pub(super) fn workers_needed(capacity: Resources, steps: &[(JobId, &Step)]) -> u32 {
    let mut workers: Vec<Resources> = Vec::new();
    for (_, step) in steps {
        let mut counts: Vec<u32> = vec![0; workers.len()];
        for _ in 0..step.count {
            let most = step.max_per_worker.unwrap_or(u32::MAX);
            let fits =
                |place: &usize| counts[*place] < most && step.booked().fits(&workers[*place]);
            let place = (0..workers.len()).find(fits).unwrap_or_else(|| {
                workers.push(capacity);
                counts.push(0);
                workers.len() - 1
            });
            workers[place] -= step.booked();
            counts[place] += 1;
        }
    }
    u32::try_from(workers.len()).unwrap_or(u32::MAX)
}

/// Workers for all tasks of a gang, on one rack if the step asks for it; `None` if they don't fit.
pub(super) fn choose_gang(
    candidates: &[PlacementCandidate],
    step: &Step,
    id: StepId,
    count: impl Fn(&WorkerId, StepId) -> u32,
) -> Option<Vec<usize>> {
    let mut racks: Vec<Option<&str>> = candidates.iter().map(PlacementCandidate::rack).collect();
    racks.sort_unstable();
    racks.dedup();
    let near = step.data_rack.as_deref();
    racks.sort_by_key(|&rack| near.is_some() && rack != near);
    let on_rack =
        racks.iter().find_map(|&rack| fill(candidates, step, id, &count, Among::Rack(rack)));
    if on_rack.is_some() || step.same_rack {
        return on_rack;
    }
    fill(candidates, step, id, &count, Among::All)
}

/// Which candidates a gang may take.
#[derive(Clone, Copy)]
enum Among<'a> {
    Rack(Option<&'a str>),
    All,
}

/// Places all tasks of a gang.
fn fill(
    candidates: &[PlacementCandidate],
    step: &Step,
    id: StepId,
    count: &impl Fn(&WorkerId, StepId) -> u32,
    among: Among<'_>,
) -> Option<Vec<usize>> {
    let mut left: Vec<PlacementCandidate> = candidates.to_vec();
    let mut placed: Vec<usize> = Vec::new();
    for _ in 0..step.count {
        let there = |place: usize| {
            let placed = placed.iter().filter(|&&one| one == place).count();
            count(&candidates[place].worker, id) + u32::try_from(placed).unwrap_or(u32::MAX)
        };
        let place = (0..left.len())
            .filter(|&place| match among {
                Among::Rack(rack) => left[place].rack() == rack,
                Among::All => true,
            })
            .filter(|&place| is_allowed(&left[place], step, there(place)))
            .min_by_key(|&place| left[place].booked_share())?;
        left[place].reserve(step);
        placed.push(place);
    }
    Some(placed)
}
