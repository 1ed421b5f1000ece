//! Restarts of workers under their ids.
//!
//! Statements about a worker, which are its entries in the store and its answers, arrive in any
//! order. Of two, the one about the instance that started later is newer. A statement about an
//! earlier instance than the newest known one changes nothing; one about a later instance ends the
//! earlier ones for good.
//!
//! What may outlive a restart is a start order of which a copy is open, or whose answer may have come
//! from the new instance. Its run waits for a list of the newest instance that settles it, and no
//! longer than until the order has expired and then the longest lease. That deadline follows from
//! when the owner's calls were sent or answered, and from nothing that the worker does afterwards. If
//! the newest known instance has confirmed that it refuses the order, and is silent and gone from the
//! store when the order expires, no lease is waited for.

use super::{
    super::{
        Action, LogEvent, TaskId, WorkerEntry, WorkerId,
        worker::{ListedEnds, OpenOrder, Run, RunState, StrayLease, Worker},
    },
    Cell,
};
use crate::Timestamp;

/// Why a run is stopped whose start order an earlier instance may have got.
pub(super) const MAY_START_AGAIN: &str = "start order may reach the new worker instance";

/// What becomes of a run when its worker restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// No order was sent.
    Withdrawn,
    /// The run has ended with its instance.
    Ended,
    /// The order was answered, or the run listed, perhaps by the new instance, whose list shows whether the
    /// run is there.
    AwaitsList,
    /// The new instance may have got the order, or may still get it.
    MayStart,
}

impl Fate {
    /// That of a run on a worker whose new instance may have its name, and may have been taken for the earlier
    /// one when a list showed the run.
    fn of(run: &Run, has_open_order: bool, is_namesake: bool) -> Self {
        // The new instance then started after the order had expired.
        let has_expired = run.unlisted_since.is_some();
        match run.state {
            RunState::Planned => Self::Withdrawn,
            RunState::Running if has_open_order => Self::MayStart,
            RunState::Running if run.ends_with_instance && !is_namesake => Self::Ended,
            RunState::Running => Self::AwaitsList,
            RunState::Unsettled if has_expired && !has_open_order && !is_namesake => Self::Ended,
            RunState::Ordered | RunState::Unsettled => Self::MayStart,
        }
    }
}

impl Cell {
    /// Handles the restart of a worker under the same id. The runs that its previous instance listed
    /// have ended, but a start order, or another copy of one that was answered, may have reached the
    /// new instance or may still reach it.
    ///
    /// `entry` is the new instance's entry, if the owner has read it.
    pub(super) fn on_worker_restart(
        &mut self,
        id: &WorkerId,
        started_wall_ms: u64,
        entry: Option<WorkerEntry>,
        now: Timestamp,
    ) {
        self.fences.outrank(id);
        let longest_lease = self.longest_lease();
        let has_answered = entry.is_none();
        let Some(old) = self.workers.get_mut(id) else {
            return;
        };
        let expiry = old.inherited_expiry;
        let is_namesake = old.is_newest_instance(started_wall_ms);
        let instances = old.instances_before_next(started_wall_ms);
        let open_entry = old.instances.open_entry.take().map(|open| open.entry);
        let is_of_new = |entry: &WorkerEntry| entry.started_wall_ms == started_wall_ms;
        let entry = entry.or(open_entry.filter(is_of_new));
        let new = Worker::new(entry.unwrap_or_else(|| old.entry.clone()), expiry, now);
        let stray_lease = StrayLease::open(now);
        let read_ends =
            if is_namesake { ListedEnds::of_namesake(now) } else { ListedEnds::default() };
        let mut worker = Worker { started_wall_ms, instances, stray_lease, read_ends, ..new };
        worker.logged = old.logged;
        worker.times_logged = old.times_logged;
        worker.is_on_record = old.is_on_record;
        worker.drain = old.drain;
        worker.missing_since = old.missing_since;
        worker.missing_until = old.missing_until;
        worker.record_restart(old, now);
        Self::update_stays_until(&mut worker, now);
        let mut old = std::mem::replace(old, worker);
        let mut open_orders = old.take_orders_of_unheard(longest_lease, now);
        // What an expired order has begun in an instance that has answered is in its list. A long-running task may
        // not wait for that.
        let lasts = |task| self.step(task).is_some_and(|step| step.long_running);
        open_orders.retain(|order| now <= order.expiry || !(has_answered || lasts(order.task)));
        if !has_answered {
            // Holds under way are not heard of any more.
            old.unanswered_renewal = Some(old.renewal_left);
        }
        let runs = std::mem::take(&mut old.runs);
        self.actions.push(Action::Log(LogEvent::Worker {
            worker: id.clone(),
            change: "restarted",
            runs: runs.len(),
        }));
        self.confirm_restarted(id, now);
        self.suspect_tasks(id, runs.iter(), true, now);
        for (task, mut run) in runs {
            // A copy of the order of an earlier attempt starts the same task. The stop of this attempt
            // makes the worker refuse it, too.
            let of_task = open_orders.iter().filter(|order| order.task == task);
            let open_order = of_task.max_by_key(|order| order.expiry);
            match Fate::of(&run, open_order.is_some(), is_namesake) {
                Fate::Withdrawn => self.withdraw_run(id, task),
                Fate::Ended => {
                    self.end_unreported_run(id, task, run.attempt, "worker restarted", now);
                }
                Fate::AwaitsList => {
                    run.outlive_restart(old.last_renewal_of(&run), now);
                    self.book_outlived(id, task, run);
                }
                Fate::MayStart => {
                    run.outlive_restart(old.last_renewal_of(&run), now);
                    run.may_start_until(open_order.map_or(run.order_expiry, |order| order.expiry));
                    run.expect_in_lists_after = now;
                    self.book_outlived(id, task, run);
                    self.stop_run(id, task, MAY_START_AGAIN, now);
                }
            }
        }
        self.refuse_open_orders(id, open_orders, now);
        self.plan_due = true;
    }

    /// Books a run that may be on the new instance of a worker.
    fn book_outlived(&mut self, id: &WorkerId, task: TaskId, run: Run) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(task, run);
        }
    }

    /// Notes that a run of an open task may be alive on a worker.
    fn note_run_at(&mut self, id: &WorkerId, task: TaskId) {
        let job = self.jobs.get_mut(&task.job).filter(|job| job.end.is_none());
        let task = job.and_then(|job| job.task_mut(task)).filter(|task| !task.is_done);
        if let Some(task) = task.filter(|task| !task.run_workers.contains(id)) {
            task.run_workers.push(id.clone());
        }
    }

    /// Makes the new instance of a worker refuse the start orders of which copies are open.
    fn refuse_open_orders(&mut self, id: &WorkerId, open_orders: Vec<OpenOrder>, now: Timestamp) {
        for OpenOrder { task, attempt, expiry, .. } in &open_orders {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.runs.entry(*task).or_insert_with(|| Run {
                    outlived_restart: true,
                    order_expiry: *expiry,
                    ..Run::unknown(*attempt, RunState::Unsettled, now)
                });
                self.note_run_at(id, *task);
                self.stop_run(id, *task, MAY_START_AGAIN, now);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.open_orders = open_orders;
        }
    }
}
