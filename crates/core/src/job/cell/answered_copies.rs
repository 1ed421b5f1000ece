//! Start orders that were sent several times, and of which each copy has been answered.
//!
//! No such copy is carried out any more. But the instance that has answered one isn't known, and it may be a later one
//! than that whose list has shown the run or its end. So the order stays open until a list that was asked for after the
//! last answer has come: whichever instance made it, every copy had been carried out then, in that instance or in one
//! that has ended, and the list shows what has come of them.

#[cfg(test)]
mod tests;

use super::{
    super::{
        Action, HoldReport, LogEvent, RunId, TaskId, WorkerId,
        worker::{OpenOrder, UNANSWERED_START_LIFETIME},
    },
    Cell,
};
use crate::Timestamp;

impl Cell {
    /// Notes that each copy of a start order that was sent has been answered: none of them will be carried out any
    /// more. The order is open until a list has come that is asked for from now on; that is at once if an end or the
    /// task waits for it.
    pub fn on_start_copies_answered(&mut self, id: &WorkerId, run: (TaskId, u32), now: Timestamp) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.on_copies_answered(run, now);
        if worker.awaits_list_of_answered(now) {
            worker.next_hold = worker.next_hold.min(now);
        }
    }

    /// The number of this owner's start orders of which a copy has got no answer and may still be carried out.
    #[must_use]
    pub fn open_starts(&self, now: Timestamp) -> usize {
        let orders = self.workers.values().flat_map(|worker| &worker.open_orders);
        orders.filter(|order| !order.is_inherited && now <= order.expiry).count()
    }

    /// Closes the orders of which each copy had been answered when this complete list was asked for, at `sent`.
    pub(super) fn settle_answered_orders(
        &mut self,
        id: &WorkerId,
        report: &HoldReport,
        (sent, now): (Timestamp, Timestamp),
    ) {
        let worker = self.workers.get_mut(id);
        let settled = worker.map(|worker| worker.take_answered_orders(report, sent));
        for order in settled.unwrap_or_default() {
            self.settle_order(id, order, now);
        }
    }

    fn settle_order(&mut self, id: &WorkerId, order: OpenOrder, now: Timestamp) {
        let OpenOrder { task, attempt, expiry, answered_at, .. } = order;
        if let Some(worker) = self.workers.get_mut(id) {
            let run = worker.runs.get_mut(&task).filter(|run| run.attempt == attempt);
            if let (Some(run), Some(answered_at)) = (run, answered_at) {
                run.order_expiry = run.order_expiry.min(answered_at);
            }
            worker.release_ends(task, now);
        }
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
        if let Some(state) = state {
            state.settle_start(attempt, None, true);
        }
        self.record_settled_start(id, (task, attempt), now);
        self.plan_due = true;
        let run = RunId { task, attempt, worker: id.clone() };
        let last_sent = Timestamp(expiry.0.saturating_sub(UNANSWERED_START_LIFETIME.0));
        let event = LogEvent::StartSettled { run, open: now.since(last_sent) };
        self.actions.push(Action::Log(event));
    }
}
