//! Start orders of which a copy got no answer, and the ends that wait until these have expired.
//!
//! Such a copy may begin its run in a later instance of the worker, which knows nothing that would make
//! it refuse the order. So the end of a task as done is not confirmed while a copy is open: an instance
//! that crashes takes the ends that were not confirmed with it, and the task may run again.

use indexmap::IndexMap;

use super::{Run, RunState, Worker};
use crate::{Timestamp, job::TaskId};

/// Maximum number of ends that wait on one worker. It lists them all in each answer, and a list that is
/// cut off shows no newer ones.
const MAX_WAITING_ENDS: u64 = 250;

/// A start order of which a copy got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) struct OpenOrder {
    pub(in crate::job) task: TaskId,
    pub(in crate::job) attempt: u32,
    /// Time after which no copy takes effect any more.
    pub(in crate::job) expiry: Timestamp,
    /// Whether an earlier owner sent it. Each instance that this owner has called refuses it.
    pub(in crate::job) is_inherited: bool,
}

/// The end of a task as done, listed while a copy of a start order of the task was open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) struct HeldEnd {
    pub(in crate::job) task: TaskId,
    /// The number of the end.
    pub(in crate::job) number: u64,
    /// Time after which no copy takes effect any more.
    pub(in crate::job) until: Timestamp,
}

impl Worker {
    /// Records a start order of which a copy got no answer.
    pub(in crate::job) fn record_open_order(&mut self, order: OpenOrder, now: Timestamp) {
        self.open_orders.retain(|other| now <= other.expiry);
        self.open_orders.push(order);
    }

    /// Whether a start order may have reached another instance than the newest known one.
    pub(in crate::job) fn may_have_orders_elsewhere(&self, now: Timestamp) -> bool {
        let is_open = |run: &Run| run.state != RunState::Planned && !run.ends_with_instance;
        self.has_open_orders(now) || self.runs.values().any(is_open)
    }

    /// Whether a copy of a start order to the worker may still take effect.
    pub(in crate::job) fn has_open_orders(&self, now: Timestamp) -> bool {
        self.open_orders.iter().any(|order| now <= order.expiry)
    }

    /// The open start orders of this owner of which no run is booked any more, each with its task and
    /// attempt. A new instance of the worker is to refuse them.
    pub(in crate::job) fn abandoned_orders(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (TaskId, u32)> {
        let is_abandoned = move |order: &&OpenOrder| {
            !order.is_inherited && now <= order.expiry && !self.runs.contains_key(&order.task)
        };
        self.open_orders.iter().filter(is_abandoned).map(|order| (order.task, order.attempt))
    }

    /// Until when a copy of a start order of the task may take effect on the worker; `None` if none
    /// can any more.
    pub(in crate::job) fn open_until(&self, task: TaskId, now: Timestamp) -> Option<Timestamp> {
        let orders = self.open_orders.iter().filter(|order| order.task == task);
        let run = self.runs.get(&task).filter(|run| run.is_unanswered());
        let expiries = orders.map(|order| order.expiry).chain(run.map(|run| run.order_expiry));
        expiries.filter(|expiry| now <= *expiry).max()
    }

    /// Takes the runs that certainly have ended, now that every lease of the newest known instance has lapsed;
    /// unless `is_all_lapsed`, another one may still have a lease. Those stay for whose tasks a copy of a start
    /// order is open: the worker's next instance, of which the owner need not hear in time, may begin the task
    /// until the copy has expired. A long-running task doesn't wait for that once all have lapsed. Until
    /// `sole_until` no other owner may have started it.
    pub(in crate::job) fn take_lapsed_runs(
        &mut self,
        is_all_lapsed: bool,
        sole_until: Timestamp,
        now: Timestamp,
    ) -> IndexMap<TaskId, Run> {
        let may_wait = |run: &Run| run.state != RunState::Planned && !run.is_long_running;
        let is_open = |task| self.open_until(task, now).is_some();
        let has_lapsed = |end: Timestamp| now > end && end <= sole_until;
        let may_be_alive =
            |task, run: &Run| is_open(task) || !self.known_end(run).is_some_and(has_lapsed);
        let waiting = self.runs.iter().filter(|(task, run)| {
            (may_wait(run) && is_open(**task))
                || (run.awaits_release && now > sole_until)
                || (!is_all_lapsed && may_be_alive(**task, run))
        });
        let waiting: Vec<TaskId> = waiting.map(|(task, _)| *task).collect();
        let lapsed: IndexMap<_, _> =
            self.runs.extract_if(.., |task, _| !waiting.contains(task)).collect();
        if is_all_lapsed || !lapsed.is_empty() {
            for run in self.runs.values_mut() {
                run.awaits_release = true;
            }
        }
        lapsed
    }

    /// Lets an end wait, with all later ones.
    pub(in crate::job) fn hold_end(&mut self, end: HeldEnd) {
        self.held_ends.push(end);
    }

    /// Lets the ends of a task wait no longer, because each copy of its order was answered.
    pub(in crate::job) fn release_ends(&mut self, task: TaskId, now: Timestamp) {
        if self.open_until(task, now).is_none() {
            self.held_ends.retain(|end| end.task != task);
        }
    }

    /// The number of the last end that may be confirmed now.
    pub(in crate::job) fn last_confirmable(&mut self, now: Timestamp) -> u64 {
        self.held_ends.retain(|end| now <= end.until);
        let first_held = self.held_ends.iter().map(|end| end.number).min();
        let last = first_held.map_or(self.ends_durable, |held| self.ends_durable.min(held - 1));
        if self.ends_seen > last + MAX_WAITING_ENDS { self.ends_durable } else { last }
    }
}
