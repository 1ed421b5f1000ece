//! Where a task may start while orders of before may still be carried out. No other module decides that.
//!
//! A start order that got no answer may begin its run in any instance of its worker, and a restarted one
//! refuses nothing before its first call. On the same worker that does no harm: an instance that crashes
//! takes the later run along, and its end, which isn't confirmed before the order has expired. A start
//! elsewhere would be a second run, or be followed by one. Once the order has expired, an instance that it has
//! found may run on, unheard, for the longest lease.

use super::{
    super::{
        Step, StepId, TaskId, WorkerId,
        place::{self, PlacementCandidate},
        task::{OpenStart, Task},
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
        let Some(task) = self.jobs.get(&id.job).and_then(|job| job.task(id)) else {
            return StartScope::Anywhere;
        };
        let is_over = |task: &Task| task.lasting_wait_end().is_none_or(|end| now >= end);
        let Some(open) = task.open_start(now).filter(|_| !(step.long_running && is_over(task)))
        else {
            return if step.long_running {
                StartScope::Anywhere
            } else {
                self.scope_after_orders(task, now)
            };
        };
        let losses = task.lost_runs.iter().filter(|lost| is_at_start(lost)).count();
        let worker = self.workers.get(&open.worker).filter(|_| losses <= MAX_LOSSES);
        if worker.is_some_and(|worker| open.may_repeat(worker.known_since, now)) {
            StartScope::On(&open.worker)
        } else {
            StartScope::Nowhere
        }
    }

    /// Where a task may start once no order of before can be carried out any more. An instance that has never
    /// answered may still run what such an order has begun, if the store lists its worker and no answer was asked
    /// for since.
    fn scope_after_orders(&self, task: &Task, now: Timestamp) -> StartScope<'_> {
        let is_unheard = |open: &OpenStart| {
            let worker = self.workers.get(&open.worker).filter(|worker| !worker.is_gone(now));
            worker.zip(open.until()).is_some_and(|(worker, until)| {
                let was_asked_since = worker.clock.is_some_and(|clock| clock.asked > until);
                !was_asked_since && now <= until + self.longest_lease()
            })
        };
        let may_run = task.open_start.as_ref().is_some_and(is_unheard);
        if may_run { StartScope::Nowhere } else { StartScope::Anywhere }
    }
}
