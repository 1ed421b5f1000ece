//! What the owner of a cell knows as its term ends without a handover while its process lives on.
//!
//! It has sent its last order and knows until when each lease lasts and which start orders are open. The next owner
//! would otherwise have to assume that orders were given until long after its claim, and that each of them brought
//! the longest lease. Like a handover's record, a report names what is left of each time; the next owner counts it
//! from the receipt, which is later.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{
    super::{
        TaskId, WorkerId, life,
        worker::{OpenOrder, Worker},
    },
    Cell, DeferredEffect, inherited_starts,
};
use crate::{Epoch, Span, Timestamp};

/// A start order that may still be carried out, or whose run may be alive.
#[derive(Clone, Debug)]
struct OpenStart {
    worker: WorkerId,
    task: TaskId,
    attempt: u32,
    /// When the longest lease has expired that a run may have got which the order has begun.
    lease_end: Timestamp,
}

/// What an owner knew as its term ended, with times of its own clock.
#[derive(Clone, Debug)]
pub struct TermEnd {
    epoch: Epoch,
    /// Until when owners of earlier terms may give orders.
    earlier_orders_end: Timestamp,
    /// When every lease of each worker has certainly expired; `None` if the next owner must wait as if it knew
    /// nothing of the worker.
    workers: IndexMap<WorkerId, Option<Timestamp>>,
    starts: Vec<OpenStart>,
}

/// What is left of the times of a [`TermEnd`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermEndReport {
    epoch: Epoch,
    earlier_orders_left: Span,
    workers: IndexMap<WorkerId, Option<Span>>,
    starts: Vec<StartReport>,
}

/// What is left of an open start order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StartReport {
    worker: WorkerId,
    task: TaskId,
    attempt: u32,
    lease_left: Span,
}

/// What a report of the last term's end has changed for the next owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermEndEffect {
    /// Until when owners of earlier terms may give orders.
    pub orders_end: Timestamp,
    /// Number of workers that need not be waited for any more.
    pub released: usize,
    /// Number of workers that need not be waited for as long.
    pub shortened: usize,
    /// What was left of the longest wait for a worker before.
    pub left_before: Span,
    /// The same after it.
    pub left_after: Span,
}

/// Whether this owner has neither heard nor called an instance of a worker that could have a lease of it.
fn is_unheard(worker: &Worker) -> bool {
    let has_lease = worker.is_adopted || worker.last_lease_end_sent > 0;
    !has_lease && !worker.has_restarted && worker.runs.is_empty()
}

impl TermEnd {
    /// The epoch of the term.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Number of workers whose leases may last.
    #[must_use]
    pub fn workers(&self) -> usize {
        self.workers.len()
    }

    /// Number of start orders that may still be carried out, or whose runs may be alive.
    #[must_use]
    pub fn open_starts(&self) -> usize {
        self.starts.len()
    }

    /// When the last lease whose end is known has expired; `None` if none is known.
    #[must_use]
    pub fn last_expiry(&self) -> Option<Timestamp> {
        self.workers.values().copied().flatten().max()
    }

    /// What is left at `now`, by the clock of the owner whose term has ended.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> TermEndReport {
        let left = |expiry: &Option<Timestamp>| expiry.map(|expiry| expiry.since(now));
        let start = |start: &OpenStart| StartReport {
            worker: start.worker.clone(),
            task: start.task,
            attempt: start.attempt,
            lease_left: start.lease_end.since(now),
        };
        let is_left = |one: &StartReport| one.lease_left > Span(0);
        TermEndReport {
            epoch: self.epoch,
            earlier_orders_left: self.earlier_orders_end.since(now),
            workers: self.workers.iter().map(|(id, expiry)| (id.clone(), left(expiry))).collect(),
            starts: self.starts.iter().map(start).filter(is_left).collect(),
        }
    }
}

impl TermEndReport {
    /// The epoch of the term that has ended.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

impl Cell {
    /// What this owner knows as its term ends at `now`, after which it sends nothing.
    #[must_use]
    pub fn term_end(&self, now: Timestamp) -> TermEnd {
        let earlier_orders_end = self.log.earlier_orders_end();
        let own = self.workers.values();
        let own = own.map(|worker| (worker.entry.id.clone(), self.final_expiry(worker, now)));
        let mut workers: IndexMap<WorkerId, Option<Timestamp>> = own.collect();
        // The next owner knows nothing of ends whose records aren't durable, nor does this one of the leases of
        // workers that it has removed.
        let unrecorded = self.deferred_effects.iter().filter_map(|(_, effect)| match effect {
            DeferredEffect::ConfirmEnds(id, ..) => Some(id),
            _ => None,
        });
        for id in unrecorded {
            workers.entry(id.clone()).or_insert(None);
        }
        for (id, inherited) in &self.inherited_workers {
            let expiry = workers.entry(id.clone()).or_insert(Some(*inherited));
            let is_unheard = self.workers.get(id).is_some_and(is_unheard);
            // This owner has prolonged nothing there.
            *expiry =
                expiry.map(|expiry| if is_unheard { *inherited } else { expiry.max(*inherited) });
        }
        TermEnd { epoch: self.epoch, earlier_orders_end, workers, starts: self.final_starts(now) }
    }

    /// When every lease of a worker has certainly expired after this owner's last order; `None` if that says too
    /// little.
    fn final_expiry(&self, worker: &Worker, now: Timestamp) -> Option<Timestamp> {
        if self.has_open_lasting_order(worker, now) {
            return None;
        }
        let mut worker = worker.clone();
        if worker.holds_in_flight > 0 {
            // Nobody will learn whether they are answered.
            let renewal_left = Some(worker.renewal_left);
            worker.unanswered_renewal = worker.unanswered_renewal.max(renewal_left);
        }
        let expiry = self.expiry_with_orders(&worker, now);
        // Owners before this one may still reach an instance that this one has not called.
        let earlier_orders_end = self.log.earlier_orders_end();
        let may_be_ordered = earlier_orders_end > now;
        let earlier_expiry = earlier_orders_end + self.longest_lease();
        Some(if may_be_ordered { expiry.max(earlier_expiry) } else { expiry })
    }

    /// Whether an instance that this owner has not called may still begin a task that lasts, which the next owner
    /// doesn't hold back for it.
    fn has_open_lasting_order(&self, worker: &Worker, now: Timestamp) -> bool {
        let is_lasting = |task: TaskId| {
            let job = self.jobs.get(&task.job);
            let step = job.and_then(|job| job.spec.steps.get(task.step as usize));
            step.is_none_or(|step| step.long_running)
        };
        let mut open = worker.open_orders.iter().filter(|order| now <= order.expiry);
        let is_under_way = worker.runs.iter().any(|(task, run)| {
            run.is_long_running && self.start_window.is_pending((*task, run.attempt))
        });
        is_under_way || open.any(|order| is_lasting(order.task))
    }

    /// The start orders that may still be carried out, or whose runs may be alive in an instance that has never
    /// answered.
    fn final_starts(&self, now: Timestamp) -> Vec<OpenStart> {
        let longest_lease = self.longest_lease();
        let mut starts = Vec::new();
        let mut add = |id: &WorkerId, (task, attempt): (TaskId, u32), expiry: Timestamp| {
            let lease_end = expiry + longest_lease;
            starts.push(OpenStart { worker: id.clone(), task, attempt, lease_end });
        };
        for (id, worker) in &self.workers {
            let open = worker.open_orders.iter().filter(|order| now <= order.expiry);
            for order in open.chain(worker.expired_orders(longest_lease, now)) {
                add(id, (order.task, order.attempt), order.expiry);
            }
            for (task, run) in Self::starts_under_way(worker) {
                add(id, (*task, run.attempt), run.order_expiry);
            }
        }
        for (id, order) in self.inherited_starts.all() {
            add(id, (order.task, order.attempt), order.expiry);
        }
        starts
    }

    /// Whose report of the end of its term would shorten the wait for workers of earlier terms; `None` if none would.
    #[must_use]
    pub fn awaited_term_end(&self) -> Option<Epoch> {
        let term = self.last_term.filter(|term| !term.is_handed_over);
        term.filter(|_| !self.inherited_workers.is_empty()).map(|term| term.epoch)
    }

    /// Shortens the wait for workers of earlier terms by what the owner of the last one knew, as a handover would
    /// have. Returns `None`, without any effect, if the report is of another term: an owner orders nothing before the
    /// log shows its term, so that the last term in the log is the last that did, and the end of one before it says
    /// nothing of those after it.
    ///
    /// A report may come late and more than once. What it says of times counts from `now`, when it has arrived.
    pub fn on_term_end(&mut self, report: &TermEndReport, now: Timestamp) -> Option<TermEndEffect> {
        let is_last = |epoch| self.last_term.is_some_and(|term| term.epoch == epoch);
        let is_handed_over = self.last_term.is_some_and(|term| term.is_handed_over);
        if !is_last(report.epoch) || is_handed_over {
            return None;
        }
        let left = |cell: &Self| {
            cell.inherited_workers.values().max().map_or(Span(0), |end| end.since(now))
        };
        let left_before = left(self);
        for start in &report.starts {
            let (task, attempt) = (start.task, start.attempt);
            let longest_lease = self.longest_lease();
            let expiry = inherited_starts::order_expiry(start.lease_left, longest_lease, now);
            // Of an order that is in no record, the task waits no longer than without the report.
            let expiry = expiry.min(self.log.earlier_orders_end());
            let order = OpenOrder::inherited(task, attempt, expiry);
            self.inherit_late_start(&start.worker, order);
        }
        self.end_earlier_orders(now + life::longest_on_other_clock(report.earlier_orders_left));
        let before = self.inherited_workers.len();
        let mut shortened = 0;
        self.inherited_workers.retain(|id, deadline| {
            let Some(lapse_in) = report.workers.get(id) else {
                return false;
            };
            let expiry = lapse_in.map(|left| now + life::longest_on_other_clock(left));
            let expiry = expiry.filter(|expiry| expiry < deadline);
            shortened += usize::from(expiry.is_some());
            *deadline = expiry.unwrap_or(*deadline);
            true
        });
        self.plan_due = true;
        let released = before - self.inherited_workers.len();
        if released + shortened > 0 && self.handover.is_none() {
            self.record_awaited(now);
        }
        let orders_end = self.log.earlier_orders_end();
        let left_after = left(self);
        Some(TermEndEffect { orders_end, released, shortened, left_before, left_after })
    }
}
