//! Copies of start orders that cross: an owner sends an order again while an answer is only late, as nobody can tell
//! that from a lost one.
//!
//! The owner passes the first definite answer on, and goes on to wait for the other copies, as long as calls last.

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, Timestamp,
    job::{StartAnswer, StartOrder, StartOutcome, TaskId, WorkerId},
};

use super::{Call, Delivery, Model, REPEAT_MS, owners::Sender};

/// A start order: the owner's term, the worker, the task and the attempt.
type OrderKey = (Epoch, WorkerId, TaskId, u32);

/// What has come of the copies of one start order.
#[derive(Clone, Copy, Debug)]
struct Copies {
    last_sent: Timestamp,
    /// Number of copies that have neither been answered nor timed out.
    open: u32,
    is_sent_again: bool,
    /// Whether a copy got no answer.
    has_unknown: bool,
    /// Whether the owner has an answer.
    is_passed_on: bool,
}

/// The start orders of which copies may cross.
#[derive(Clone, Debug, Default)]
pub(super) struct CrossingCopies {
    orders: IndexMap<OrderKey, Copies>,
    /// Number of orders of which a second copy was sent and each copy was answered.
    crossed: u32,
}

/// What an owner learns of one copy's answer.
struct Learned {
    /// The answer to the order, if this copy's is the first to count.
    answer: Option<StartAnswer>,
    /// Whether this was the last copy of an order that was answered before, and each got an answer.
    are_all_answered: bool,
}

impl CrossingCopies {
    /// Notes that a copy is sent.
    fn send(&mut self, key: OrderKey, now: Timestamp) {
        let copies = self.orders.entry(key).or_insert(Copies {
            last_sent: now,
            open: 0,
            is_sent_again: false,
            has_unknown: false,
            is_passed_on: false,
        });
        copies.is_sent_again = copies.open > 0;
        copies.last_sent = now;
        copies.open += 1;
    }

    /// Whether an order that has not been answered yet may be sent again.
    fn awaits_answer(&self, key: &OrderKey) -> bool {
        self.orders.get(key).is_some_and(|copies| !copies.is_passed_on)
    }

    /// Handles the answer to one copy, or its lack; `None` if the owner doesn't wait for the order.
    fn on_answer(&mut self, key: &OrderKey, answer: StartAnswer) -> Option<Learned> {
        let copies = self.orders.get_mut(key)?;
        copies.open -= 1;
        copies.has_unknown |= answer.outcome == StartOutcome::Unknown;
        let is_last = copies.open == 0;
        let is_first = !copies.is_passed_on;
        let is_definite = answer.outcome == StartOutcome::Started;
        let outcome = match answer.outcome {
            StartOutcome::Started if copies.has_unknown || !is_last => {
                StartOutcome::StartedRepeated
            }
            _ if copies.has_unknown && !is_definite => StartOutcome::Unknown,
            outcome => outcome,
        };
        copies.is_passed_on |= is_definite || is_last;
        let last_sent = Some(copies.last_sent);
        let are_answered = is_last && !copies.has_unknown;
        let learned = Learned {
            answer: (is_first && copies.is_passed_on).then_some(StartAnswer {
                outcome,
                last_sent,
                ..answer
            }),
            are_all_answered: are_answered && !is_first,
        };
        self.crossed += u32::from(are_answered && copies.is_sent_again);
        if is_last {
            self.orders.swap_remove(key);
        }
        Some(learned)
    }
}

impl Model {
    /// Lets owners send each start order again that has no answer yet, although one may only be late, and wait for the
    /// answers to all copies.
    pub fn let_copies_cross(&mut self) {
        self.copies.get_or_insert_default();
    }

    /// Returns how many start orders were sent twice and had both copies answered.
    #[must_use]
    pub fn crossed_orders(&self) -> u32 {
        self.copies.as_ref().map_or(0, |copies| copies.crossed)
    }

    /// Notes that a copy of a start order is sent, and lets the owner look for its answer later.
    pub(super) fn begin_copy(&mut self, epoch: Epoch, worker: &WorkerId, call: &Call) {
        let (Some(copies), Call::Start(order) | Call::RepeatedStart(order)) =
            (&mut self.copies, call)
        else {
            return;
        };
        copies.send((epoch, worker.clone(), order.task, order.attempt), self.now);
        if matches!(call, Call::Start(_)) {
            let (worker, order) = (worker.clone(), order.clone());
            self.send(REPEAT_MS, Delivery::RepeatStart { worker, epoch, order });
        }
    }

    /// Sends an order again if it has no answer yet. The owner goes on to wait for the first copy if it must not send
    /// another one.
    pub(super) fn repeat_crossing(
        &mut self,
        sender: Option<Sender>,
        worker: WorkerId,
        order: StartOrder,
        epoch: Epoch,
    ) {
        let (run, now) = ((order.task, order.attempt), self.now);
        let key = (epoch, worker.clone(), run.0, run.1);
        if !self.copies.as_ref().is_some_and(|copies| copies.awaits_answer(&key)) {
            return;
        }
        let cell = self.cell_of(epoch).filter(|cell| cell.may_send_start(&worker, run));
        if let (Some(cell), Some(sender)) = (cell, sender) {
            cell.on_start_repeated(&worker, run, now);
            self.call(sender, worker, Call::RepeatedStart(order));
        }
    }

    /// Gives the owner what it learns of the answer to a copy of a start order, or of its lack.
    pub(super) fn on_copy_answer(
        &mut self,
        id: &WorkerId,
        epoch: Epoch,
        (task, attempt): (TaskId, u32),
        answer: StartAnswer,
    ) {
        let now = self.now;
        let Some(copies) = &mut self.copies else {
            self.end_start(epoch);
            if let Some(cell) = self.cell_of(epoch) {
                cell.on_start_answer(id, (task, attempt), answer, now);
            }
            return;
        };
        let Some(learned) = copies.on_answer(&(epoch, id.clone(), task, attempt), answer) else {
            return;
        };
        if learned.answer.is_some() {
            self.end_start(epoch);
        }
        let Some(cell) = self.cell_of(epoch) else {
            return;
        };
        if let Some(answer) = learned.answer {
            cell.on_start_answer(id, (task, attempt), answer, now);
        }
        if learned.are_all_answered {
            cell.on_start_copies_answered(id, (task, attempt), now);
        }
    }

    fn end_start(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
        }
    }
}
