//! Start orders that may still be carried out when the owner changes.
//!
//! The owner records each order that it sends again or knows to be open, and at a handover those that are
//! under way. The next owner treats them like its own. What a lost owner sent in its last moments is in no
//! record.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use super::{
    super::{
        Action, LogEvent, Record, RunId, StoredSegment, TaskId, WorkerId,
        worker::{OpenOrder, Run, RunState, UNANSWERED_START_LIFETIME, Worker},
    },
    Cell, log_time,
};
use crate::{Epoch, Span, Timestamp};

/// The time until which an order is open that isn't any more, in its record. It takes the place of the earlier records
/// of the same order.
const SETTLED: u64 = 0;

/// The time until which an order is open, or was, as it is recorded.
fn until_ms(until: Timestamp) -> u64 {
    until.0.max(SETTLED + 1)
}

/// A time that is certainly over now, by this much at least.
fn before(now: Timestamp, ms: u64) -> Timestamp {
    Timestamp(now.0.saturating_sub(ms.max(1)))
}

/// When a start order of an earlier term expires, or has expired, given what is left of the longest lease that its
/// run may have got.
pub(super) fn order_expiry(lease_left: Span, longest_lease: Span, now: Timestamp) -> Timestamp {
    match lease_left.0.checked_sub(longest_lease.0).filter(|left| *left > 0) {
        Some(left) => now + Span(left).min(UNANSWERED_START_LIFETIME),
        // It had expired before that.
        None => before(now, longest_lease.0.saturating_sub(lease_left.0)),
    }
}

/// The open start orders of earlier terms, by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct InheritedStarts {
    orders: IndexMap<WorkerId, Vec<OpenOrder>>,
    found_at: Timestamp,
}

impl InheritedStarts {
    /// Finds the orders that were open at the last write, or had expired by less than the longest lease, for which
    /// an instance that nobody hears may run what they have begun. The time that was left then is counted from now.
    pub(super) fn find(segments: &[StoredSegment], longest_lease: Span, now: Timestamp) -> Self {
        // A later term may give the same attempt anew.
        let mut open: IndexMap<(Epoch, &WorkerId, TaskId, u32), Timestamp> = IndexMap::new();
        for (segment, passed) in log_time::with_time_passed(segments) {
            for record in &segment.records {
                let Record::StartOpen { task, attempt, worker, until_ms } = record else {
                    continue;
                };
                let key = (segment.epoch, worker, *task, *attempt);
                if *until_ms == SETTLED {
                    open.swap_remove(&key);
                    continue;
                }
                let lease_until_ms = until_ms.saturating_add(longest_lease.0);
                let lease_left = log_time::left(lease_until_ms, segment, passed);
                if lease_left.0 > 0 {
                    let expiry = order_expiry(lease_left, longest_lease, now);
                    let known = open.entry(key).or_insert(expiry);
                    *known = expiry.max(*known);
                }
            }
        }
        let mut found = Self { found_at: now, ..Self::default() };
        for ((_, worker, task, attempt), expiry) in open {
            let order = OpenOrder::inherited(task, attempt, expiry);
            found.orders.entry(worker.clone()).or_default().push(order);
        }
        found
    }

    /// The tasks with open orders, each with the worker.
    #[cfg(test)]
    pub(super) fn tasks(&self) -> impl Iterator<Item = (&WorkerId, TaskId)> {
        let of = |(worker, orders)| {
            let orders: &Vec<OpenOrder> = orders;
            orders.iter().map(move |order| (worker, order.task))
        };
        self.orders.iter().flat_map(of)
    }

    /// All orders, each with its worker.
    pub(super) fn all(&self) -> impl Iterator<Item = (&WorkerId, &OpenOrder)> {
        self.orders.iter().flat_map(|(worker, orders)| orders.iter().map(move |one| (worker, one)))
    }

    /// Takes the orders to a worker.
    pub(super) fn take(&mut self, worker: &WorkerId) -> Vec<OpenOrder> {
        self.orders.swap_remove(worker).unwrap_or_default()
    }
}

impl Cell {
    /// Notes that a copy of a start order got no answer, for this owner and the next.
    pub(super) fn note_open_start(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        (until, is_answered): (Timestamp, bool),
        now: Timestamp,
    ) {
        let run = RunId { task, attempt, worker: id.clone() };
        let event = LogEvent::StartOpen { run, is_answered, left: until.since(now) };
        self.actions.push(Action::Log(event));
        let longest_lease = self.longest_lease();
        if let Some(worker) = self.workers.get_mut(id) {
            let (is_inherited, answered_at) = (false, None);
            let order = OpenOrder { task, attempt, expiry: until, is_inherited, answered_at };
            worker.record_open_order(order, longest_lease, now);
        }
        self.record_open_start(id, (task, attempt), until, now);
    }

    /// Notes that a start order is sent again, because it has got no answer yet. Should the owner be lost
    /// now, the next one knows of it.
    pub fn on_start_repeated(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        now: Timestamp,
    ) {
        let run = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(&task));
        if let Some(run) = run.filter(|run| run.attempt == attempt) {
            run.has_single_copy = false;
        }
        self.record_open_start(id, (task, attempt), now + UNANSWERED_START_LIFETIME, now);
    }

    fn record_open_start(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        until: Timestamp,
        now: Timestamp,
    ) {
        if self.handover.is_none() {
            let worker = id.clone();
            self.record(
                Record::StartOpen { task, attempt, worker, until_ms: until_ms(until) },
                now,
                None,
            );
        }
    }

    /// Records that an order which was recorded as open isn't any more. Others of the task to the same worker, whose
    /// record may have been merged with its own, are recorded anew.
    pub(super) fn record_settled_start(
        &mut self,
        id: &WorkerId,
        (task, attempt): (TaskId, u32),
        now: Timestamp,
    ) {
        if self.handover.is_some() {
            return;
        }
        let worker = id.clone();
        self.record(Record::StartOpen { task, attempt, worker, until_ms: SETTLED }, now, None);
        if let Some(others) = self.open_start_record(task, id, now) {
            self.record(others, now, None);
        }
    }

    /// Takes over the open orders of earlier terms.
    pub(super) fn inherit_open_starts(&mut self, starts: InheritedStarts) {
        let of_worker = |(id, orders)| {
            let orders: &Vec<OpenOrder> = orders;
            orders.iter().map(move |order| (order.attempt, id, order))
        };
        let mut orders: Vec<_> = starts.orders.iter().flat_map(of_worker).collect();
        // The time between two terms isn't known, so that more than the latest may count as open.
        orders.sort_by_key(|(attempt, ..)| *attempt);
        for (attempt, id, OpenOrder { task, expiry, .. }) in orders {
            let state = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(*task));
            if let Some(state) = state {
                state.inherit_start(id, attempt, (*expiry, starts.found_at));
            }
        }
        self.inherited_starts = starts;
    }

    /// Takes over an order of which the owner of the last term has told after this term had begun.
    pub(super) fn inherit_late_start(&mut self, id: &WorkerId, order: OpenOrder) {
        let orders = match self.workers.get_mut(id) {
            Some(worker) => &mut worker.open_orders,
            None => self.inherited_starts.orders.entry(id.clone()).or_default(),
        };
        let is_same = |one: &&mut OpenOrder| {
            one.is_inherited && (one.task, one.attempt) == (order.task, order.attempt)
        };
        match orders.iter_mut().find(is_same) {
            Some(known) => known.expiry = known.expiry.max(order.expiry),
            None => orders.push(order),
        }
        let found_at = self.inherited_starts.found_at;
        let job = self.jobs.get_mut(&order.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(order.task)) {
            task.inherit_late_start(id, order.attempt, (order.expiry, found_at));
        }
    }

    /// The short start orders to a worker that have got no answer yet.
    pub(super) fn starts_under_way(worker: &Worker) -> impl Iterator<Item = (&TaskId, &Run)> {
        let ordered = worker.runs.iter().filter(|(_, run)| run.state == RunState::Ordered);
        // A long-running task starts at once where a cell was handed over.
        ordered.filter(|(_, run)| !run.is_long_running)
    }

    /// Records the orders that are under way, before the handover, as their answers come too late for that, and those
    /// that have expired and may matter all the same.
    pub(super) fn record_unsettled_starts(&mut self, now: Timestamp) {
        let longest_lease = self.longest_lease();
        let mut unsettled = Vec::new();
        for (id, worker) in &self.workers {
            let expired = worker.expired_orders(longest_lease, now);
            unsettled.extend(expired.map(|order| Record::StartOpen {
                task: order.task,
                attempt: order.attempt,
                worker: id.clone(),
                until_ms: until_ms(order.expiry),
            }));
            let short = Self::starts_under_way(worker);
            unsettled.extend(short.map(|(task, run)| Record::StartOpen {
                task: *task,
                attempt: run.attempt,
                worker: id.clone(),
                until_ms: until_ms(run.order_expiry),
            }));
        }
        for record in unsettled {
            self.record(record, now, None);
        }
    }

    /// The record of the start orders of a task that a worker may still carry out; `None` if there is none.
    pub(super) fn open_start_record(
        &self,
        task: TaskId,
        worker: &WorkerId,
        now: Timestamp,
    ) -> Option<Record> {
        let known = self.workers.get(worker).map(|worker| &worker.open_orders);
        let orders = known.or_else(|| self.inherited_starts.orders.get(worker))?;
        let open = || orders.iter().filter(|order| order.task == task && now <= order.expiry);
        let attempt = open().map(|order| order.attempt).max()?;
        let until_ms = open().map(|order| order.expiry.0).max()?;
        Some(Record::StartOpen { task, attempt, worker: worker.clone(), until_ms })
    }
}
