//! Which ends of runs a call to a worker may confirm. No other module decides that.
//!
//! A call may be carried out in another instance than the known one, which numbers its ends from the
//! beginning. There the number that it names would confirm an end that nobody has read, and the task would
//! start again. An end that isn't confirmed does no harm: an instance that crashes takes it along.
//!
//! - The end of a task as done waits while a copy of its start order is open, which may begin the task in a
//!   later instance; all later ends wait with it.
//! - No end is confirmed while any start order is unanswered: a call that leaves after it has no lower token,
//!   so that a later instance may carry out both, the order first.
//! - Otherwise no end is confirmed if an order may have reached another instance, except right after an answer.

use super::Worker;
use crate::{Span, Timestamp, job::TaskId};

/// Maximum number of ends that wait on one worker. It lists them all in each answer, and a list that is
/// cut off shows no newer ones.
const MAX_WAITING_ENDS: u64 = 250;

/// The age of a worker's latest answer up to which an end may be confirmed although an order may have
/// reached another instance. That would have to start, and to end a task, within this time.
const CONFIRMATION_AGE: Span = Span(200);

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
    /// The number of the last end that a hold which leaves now may confirm; zero if it may confirm none.
    ///
    /// A hold that `is_delayed`, because it had to wait for others, confirms although the latest answer is old,
    /// or an owner short of room never would. `is_ordered` says whether a start order has no outcome yet.
    pub(in crate::job) fn confirmable(
        &mut self,
        (is_delayed, is_ordered): (bool, bool),
        now: Timestamp,
    ) -> u64 {
        let is_fresh = self.clock.is_some_and(|clock| now <= clock.at + CONFIRMATION_AGE);
        let may_confirm = self.hold_failures == 0
            && self.may_confirm_beside(is_ordered, now)
            && !self.may_have_restarted()
            && (is_fresh || is_delayed || !self.may_have_orders_elsewhere(now));
        if may_confirm { self.last_confirmable(now) } else { 0 }
    }

    /// Whether the next hold is to confirm the last end that was read.
    pub(in crate::job) fn has_confirmable_end(&mut self, now: Timestamp) -> bool {
        self.may_confirm_beside(false, now) && self.last_confirmable(now) == self.ends_durable
    }

    /// Whether the worker lists ends, and no unanswered order forbids to confirm them. A run that a list shows
    /// says nothing of the other copies of its order. A list that is nearly full is confirmed all the same.
    fn may_confirm_beside(&self, is_ordered: bool, now: Timestamp) -> bool {
        let is_full = self.listed_ends >= MAX_WAITING_ENDS;
        self.listed_ends > 0 && (is_full || !(is_ordered || self.has_open_orders(now)))
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

    /// The number of the last end that is durable and doesn't wait.
    fn last_confirmable(&mut self, now: Timestamp) -> u64 {
        self.held_ends.retain(|end| now <= end.until);
        let first_held = self.held_ends.iter().map(|end| end.number).min();
        let last = first_held.map_or(self.ends_durable, |held| self.ends_durable.min(held - 1));
        if self.ends_seen > last + MAX_WAITING_ENDS { self.ends_durable } else { last }
    }
}
