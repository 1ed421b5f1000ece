//! Start orders of which a copy got no answer.
//!
//! Such a copy may begin its run in a later instance of the worker, which knows nothing that would make
//! it refuse the order.

use indexmap::IndexMap;

use super::{Run, RunState, Worker};
use crate::{
    Span, Timestamp,
    job::{HoldReport, LeaseWait, TaskId},
};

/// A start order of which a copy got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) struct OpenOrder {
    pub(in crate::job) task: TaskId,
    pub(in crate::job) attempt: u32,
    /// Time after which no copy takes effect any more.
    pub(in crate::job) expiry: Timestamp,
    /// Whether an earlier owner sent it. Each instance that this owner has called refuses it.
    pub(in crate::job) is_inherited: bool,
    /// When each of its copies had been answered, so that none takes effect any more; `None` if one has no answer.
    pub(in crate::job) answered_at: Option<Timestamp>,
}

impl OpenOrder {
    /// An order that an earlier owner has sent.
    pub(in crate::job) fn inherited(task: TaskId, attempt: u32, expiry: Timestamp) -> Self {
        Self { task, attempt, expiry, is_inherited: true, answered_at: None }
    }
}

impl Worker {
    /// Records a start order of which a copy got no answer.
    pub(in crate::job) fn record_open_order(
        &mut self,
        order: OpenOrder,
        longest_lease: Span,
        now: Timestamp,
    ) {
        let orders = std::mem::take(&mut self.open_orders);
        let kept = orders.into_iter().filter(|other| self.may_matter(other, longest_lease, now));
        self.open_orders = kept.chain([order]).collect();
    }

    /// Notes that each copy of an order of this owner has been answered.
    pub(in crate::job) fn on_copies_answered(&mut self, run: (TaskId, u32), now: Timestamp) {
        let is_same =
            |order: &&mut OpenOrder| !order.is_inherited && (order.task, order.attempt) == run;
        for order in self.open_orders.iter_mut().filter(is_same) {
            order.answered_at.get_or_insert(now);
        }
    }

    /// Whether an order of which each copy has been answered waits only for a list that is asked for since: its run is
    /// not booked any more, so that an end or the task waits, too.
    pub(in crate::job) fn awaits_list_of_answered(&self, now: Timestamp) -> bool {
        let is_booked = |order: &OpenOrder| {
            self.runs.get(&order.task).is_some_and(|run| run.attempt == order.attempt)
        };
        let open = self.open_orders.iter().filter(|order| now <= order.expiry);
        open.filter(|order| order.answered_at.is_some()).any(|order| !is_booked(order))
    }

    /// Takes the orders of which each copy had been answered before this complete list was asked for, at `sent`. Any of
    /// those may have begun the run in a later instance than the one that listed the run before. So the list counts
    /// only now, and not if it shows a run that is known to have ended: then it is of another instance.
    pub(in crate::job) fn take_answered_orders(
        &mut self,
        report: &HoldReport,
        sent: Timestamp,
    ) -> Vec<OpenOrder> {
        let is_running = |order: &OpenOrder| {
            let mut running = report.running.iter();
            running.any(|run| (run.task, run.attempt) == (order.task, order.attempt))
        };
        let ended = &self.ended_attempts;
        let has_ended =
            |order: &OpenOrder| ended.get(&order.task).is_some_and(|&last| order.attempt <= last);
        let is_settled = |order: &mut OpenOrder| {
            let is_after = order.answered_at.is_some_and(|answered_at| sent > answered_at);
            is_after && !(has_ended(order) && is_running(order))
        };
        self.open_orders.extract_if(.., is_settled).collect()
    }

    /// Takes the start orders that an instance of which only an entry in the store tells may still carry out, or
    /// whose run it may have.
    pub(in crate::job) fn take_orders_of_unheard(
        &mut self,
        longest_lease: Span,
        now: Timestamp,
    ) -> Vec<OpenOrder> {
        let mut orders = std::mem::take(&mut self.open_orders);
        orders.retain(|order| self.may_matter(order, longest_lease, now));
        orders
    }

    /// The start orders that have expired, and of whose copies one may have begun a run in an instance that has never
    /// answered.
    pub(in crate::job) fn expired_orders(
        &self,
        longest_lease: Span,
        now: Timestamp,
    ) -> impl Iterator<Item = &OpenOrder> {
        let orders = self.open_orders.iter().filter(move |order| now > order.expiry);
        orders.filter(move |order| self.may_matter(order, longest_lease, now))
    }

    /// Whether a copy of the order may still take effect, or may have begun a run in an instance that has never
    /// answered. An instance that follows one which was asked after the expiry gets no copy.
    fn may_matter(&self, order: &OpenOrder, longest_lease: Span, now: Timestamp) -> bool {
        let was_asked_since = self.clock.is_some_and(|clock| clock.asked > order.expiry);
        now <= order.expiry + longest_lease && !was_asked_since
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
        self.last_order_expiry(task).filter(|expiry| now <= *expiry)
    }

    /// Time after which no copy of a start order of the task takes effect on the worker any more, as far as
    /// orders are on record.
    fn last_order_expiry(&self, task: TaskId) -> Option<Timestamp> {
        let orders = self.open_orders.iter().filter(|order| order.task == task);
        let run = self.runs.get(&task).filter(|run| run.is_unanswered());
        orders.map(|order| order.expiry).chain(run.map(|run| run.order_expiry)).max()
    }

    /// Whether a copy of a start order of the task may still take effect, or may have begun a run in an
    /// instance that has never answered. Such a copy brings the longest lease, as it names a time of another
    /// clock. Once the worker has left the store, no such instance is reckoned with.
    fn may_run_late(&self, task: TaskId, longest_lease: Span, now: Timestamp) -> bool {
        let lease = self.late_lease(longest_lease, now);
        self.last_order_expiry(task).is_some_and(|expiry| now <= expiry + lease)
    }

    /// How long what a late copy has begun in an instance that has never answered counts as alive.
    fn late_lease(&self, longest_lease: Span, now: Timestamp) -> Span {
        if self.is_gone(now) { Span(0) } else { longest_lease }
    }

    /// What was waited for before a run that was taken is known to have ended.
    pub(in crate::job) fn lease_wait(
        &self,
        (task, run): (TaskId, &Run),
        longest_lease: Span,
        now: Timestamp,
    ) -> LeaseWait {
        let end = self.end_of_run(run, longest_lease, now);
        let own_order = run.is_unanswered().then_some(run.order_expiry);
        let order = self.last_order_expiry(task).max(own_order);
        let is_waited_for = |expiry| expiry + self.late_lease(longest_lease, now) > end;
        LeaseWait {
            lease_over: now.since(end),
            silent: now.since(self.last_heard),
            has_open_order: !run.is_long_running && order.is_some_and(is_waited_for),
        }
    }

    /// Takes the runs that certainly have ended, now that every lease of the newest known instance has lapsed;
    /// unless `is_all_lapsed`, another one may still have a lease. Those stay for whose tasks a copy of a start
    /// order is open: the worker's next instance, of which the owner need not hear in time, may begin the task
    /// until the copy has expired, and goes on while its lease lasts. A long-running task doesn't wait for that
    /// once all have lapsed. Until `sole_until` no other owner may have started it.
    pub(in crate::job) fn take_lapsed_runs(
        &mut self,
        (longest_lease, is_all_lapsed): (Span, bool),
        sole_until: Timestamp,
        now: Timestamp,
    ) -> IndexMap<TaskId, Run> {
        let may_wait = |run: &Run| run.state != RunState::Planned && !run.is_long_running;
        let is_open = |task| self.may_run_late(task, longest_lease, now);
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
}
