//! Where a task may start while orders of before may still be carried out. No other module decides that.
//!
//! A start order that got no answer may begin its run in any instance of its worker, and a restarted one
//! refuses nothing before its first call. On the same worker that does no harm: an instance that crashes
//! takes the later run along, and its end, which isn't confirmed before the order has expired. A start
//! elsewhere would be a second run, or be followed by one.

use super::{
    super::{
        Step, StepId, TaskId, WorkerId,
        place::{self, PlacementCandidate},
    },
    Cell,
    trials::is_at_start,
};
use crate::Timestamp;

/// The most losses at its start with which a task may be repeated on the same worker, whose further crashes
/// would count against it.
const MAX_LOSSES: usize = 1;

/// Where a task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartScope<'a> {
    /// On every worker.
    Anywhere,
    /// Only on the worker that may still carry out an order of before.
    On(&'a WorkerId),
    /// Nowhere until that order has expired.
    Nowhere,
}

impl StartScope<'_> {
    pub(super) fn allows(self, id: &WorkerId) -> bool {
        match self {
            Self::Anywhere => true,
            Self::On(worker) => worker == id,
            Self::Nowhere => false,
        }
    }

    /// The first candidate on which a task of the step may start. `count` returns how many tasks of a step run
    /// on a worker.
    pub(super) fn candidate(
        self,
        (id, step): (StepId, &Step),
        candidates: &[PlacementCandidate],
        count: impl Fn(&WorkerId, StepId) -> u32,
    ) -> Option<usize> {
        candidates.iter().position(|candidate| {
            let worker = &candidate.worker;
            self.allows(worker) && place::is_allowed(candidate, step, count(worker, id))
        })
    }
}

impl Cell {
    /// Where a task may start now. A long-running one must never be away for long, so that it doesn't always wait
    /// until the order has expired.
    pub(super) fn start_scope(&self, id: TaskId, now: Timestamp) -> StartScope<'_> {
        let Some(step) = self.step(id) else {
            return StartScope::Anywhere;
        };
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let Some((task, open)) = task.and_then(|task| Some((task, task.open_start(now)?))) else {
            return StartScope::Anywhere;
        };
        if step.long_running && task.lasting_wait_end().is_none_or(|end| now >= end) {
            return StartScope::Anywhere;
        }
        let losses = task.lost_runs.iter().filter(|lost| is_at_start(lost)).count();
        let worker = self.workers.get(&open.worker).filter(|_| losses <= MAX_LOSSES);
        if worker.is_some_and(|worker| open.may_repeat(worker.known_since, now)) {
            StartScope::On(&open.worker)
        } else {
            StartScope::Nowhere
        }
    }
}
