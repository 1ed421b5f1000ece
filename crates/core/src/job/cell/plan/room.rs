//! The room on all workers together, by which planning passes over steps that fit on none of them.

#[cfg(test)]
mod tests;

use super::{
    super::{
        super::{
            Resources,
            order::RankClass,
            place::{self, PlacementCandidate},
        },
        Cell,
    },
    WaitingStep,
};
use crate::Timestamp;

/// A bound on what the candidates can take. It stays valid while candidates are reserved or filled.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// The most of each resource that is free on any candidate which is not reserved.
    largest_free: Resources,
    /// Whether another candidate may be reserved.
    can_reserve: bool,
}

impl Room {
    pub(super) fn of(candidates: &[PlacementCandidate]) -> Self {
        let usable = candidates.iter().filter(|candidate| !candidate.is_reserved);
        Self {
            largest_free: usable
                .fold(Resources::default(), |largest, candidate| largest.max(&candidate.free)),
            can_reserve: place::can_reserve(candidates),
        }
    }

    /// Whether a task that books `need` may fit on a candidate. If not, it certainly fits on none.
    pub(super) fn may_fit(&self, need: &Resources) -> bool {
        need.fits(&self.largest_free)
    }
}

impl Cell {
    /// Passes over a step that fits on no candidate: at most reserves one for it. Returns false if
    /// the step may fit.
    pub(super) fn pass_over(
        &self,
        (class, waiting_step): (RankClass, &WaitingStep),
        candidates: &mut [PlacementCandidate],
        room: &mut Room,
        now: Timestamp,
    ) -> bool {
        let Some(job) = self.jobs.get(&waiting_step.job) else {
            return true;
        };
        let step = &job.spec.steps[waiting_step.step_index];
        if room.may_fit(&step.booked()) {
            return false;
        }
        if room.can_reserve && !step.gang && class <= RankClass::OnTime {
            let id = waiting_step.step_id(job);
            self.disallow_without_ticket(id, candidates, now);
            place::reserve_candidate(candidates, step, id, |worker, id| {
                super::count_step_runs(&self.workers, worker, id)
            });
            *room = Room::of(candidates);
        }
        true
    }
}
