//! Limits on what the owner of a cell asks of its node's link, so that no call waits behind so many
//! others that it times out.
//!
//! Start orders are bounded by a window: the bytes of those that have no outcome yet. The window
//! shrinks while answers take long, for instance because the node owns several cells. An order that
//! gets no answer leaves the window once one that was sent later is answered: it has passed the
//! link, and its worker is what keeps it waiting. Holds have a share of the link's rate.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::{OrderRate, TaskId, WorkerId, order_rate::OrderMeter};
use crate::{Span, Timestamp};

/// Bytes on the wire of a call to a worker without its payload, with all headers.
const CALL_BYTES: u64 = 400;

/// Bytes on the wire of one entry in a worker's list of runs or of run ends.
const LIST_ENTRY_BYTES: u64 = 50;

/// The share of the link that holds and their answers may use, in percent.
const HOLD_PERCENT: u64 = 40;

/// The part of that which holds of workers that don't answer may use besides.
const SILENT_HOLD_DIVISOR: u64 = 4;

/// How long holds may be sent at the full rate of the link after a pause.
const HOLD_BURST: Span = Span(20);

/// How long the start orders that are in flight may occupy the link.
const START_QUEUE_TIME: Span = Span(50);

/// Processor time of a start order and its answer, in microseconds of a whole core.
pub(super) const START_CPU_US: u64 = 200;

/// How long the start orders that are in flight may occupy the processor.
const START_CPU_TIME: Span = Span(100);

/// The most start orders in flight to one worker. With a hold, they use as many connections as are
/// kept open.
const MAX_STARTS_PER_WORKER: u32 = 3;

/// Time to the answer of a start order above which the window shrinks.
const SLOW_ANSWER: Span = Span(150);

/// The most start orders without an outcome, for each that the window may contain.
const MAX_UNANSWERED_FACTOR: usize = 4;

/// The part of the window that remains after an answer that took long, in percent.
const SHRINK_PERCENT: u64 = 75;

/// The part of its limit to which the window shrinks at most, in percent.
const MIN_WINDOW_PERCENT: u64 = 25;

/// The rate of a network link in each direction, in bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkRate(pub u64);

impl LinkRate {
    /// Converts a rate in megabits per second.
    #[must_use]
    pub fn from_mbps(mbps: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
        Self((mbps.max(0.0) * 125_000.0) as u64)
    }

    /// Returns how many bytes pass the link in this time.
    #[must_use]
    pub fn bytes_in(self, time: Span) -> u64 {
        self.0 * time.0 / 1_000
    }
}

/// What the owner of a cell may have in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowLimits {
    /// The most bytes of start orders in flight; the last order may exceed it.
    pub max_start_bytes: u64,
    /// The most start orders in flight.
    pub max_starts: usize,
    /// The rate of the answers to holds, in total.
    pub hold_rate: LinkRate,
    /// The most bytes of answers to holds that are requested at once.
    pub max_hold_burst_bytes: u64,
    /// The start orders that the node is expected to get done in a second.
    pub order_rate: OrderRate,
}

impl FlowLimits {
    /// Returns the limits for a node with this link and this share of a core.
    #[must_use]
    pub fn new(link: LinkRate, cpu_share: f64) -> Self {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
        let cpu_milli = (cpu_share.max(0.0) * 1_000.0) as u64;
        let cpu_us = START_CPU_TIME.0 * cpu_milli;
        let max_starts = usize::try_from(cpu_us / START_CPU_US).unwrap_or(usize::MAX);
        Self {
            max_start_bytes: link.bytes_in(START_QUEUE_TIME).max(CALL_BYTES),
            max_starts: max_starts.max(1),
            hold_rate: LinkRate(link.0 * HOLD_PERCENT / 100),
            max_hold_burst_bytes: link.bytes_in(HOLD_BURST).max(CALL_BYTES),
            order_rate: OrderRate::from_resources(link, cpu_milli),
        }
    }
}

/// A start order that has no outcome yet.
#[derive(Clone, Debug)]
struct PendingStart {
    worker: WorkerId,
    bytes: u64,
    sent: Timestamp,
    /// Whether it has left the window without an outcome.
    is_overtaken: bool,
}

/// The start orders of a cell that are in flight, and how many may be.
#[derive(Debug)]
pub(super) struct StartWindow {
    limits: FlowLimits,
    pending: IndexMap<(TaskId, u32), PendingStart>,
    /// The orders that were not overtaken, and some that have an outcome; in the order of sending.
    in_sending_order: VecDeque<(Timestamp, (TaskId, u32))>,
    /// Number and bytes of the orders that were not overtaken.
    window_starts: usize,
    pending_bytes: u64,
    pending_by_worker: IndexMap<WorkerId, u32>,
    /// The current limit on `pending_bytes`.
    window_bytes: u64,
    shrunk_at: Timestamp,
    meter: OrderMeter,
}

impl StartWindow {
    pub(super) fn new(limits: FlowLimits) -> Self {
        Self {
            limits,
            pending: IndexMap::new(),
            in_sending_order: VecDeque::new(),
            window_starts: 0,
            pending_bytes: 0,
            pending_by_worker: IndexMap::new(),
            window_bytes: limits.max_start_bytes,
            shrunk_at: Timestamp(0),
            meter: OrderMeter::new(limits.order_rate),
        }
    }

    /// Whether another start order may be sent.
    pub(super) fn has_room(&self) -> bool {
        self.pending_bytes < self.window_bytes
            && self.window_starts < self.limits.max_starts
            && self.pending.len() < self.limits.max_starts * MAX_UNANSWERED_FACTOR
    }

    /// Returns how many more start orders may be sent to a worker.
    pub(super) fn room_at(&self, worker: &WorkerId) -> u32 {
        let pending = self.pending_by_worker.get(worker).copied().unwrap_or(0);
        MAX_STARTS_PER_WORKER.saturating_sub(pending)
    }

    /// Whether another start order may be sent to a worker.
    pub(super) fn has_room_at(&self, worker: &WorkerId) -> bool {
        self.has_room() && self.room_at(worker) > 0
    }

    /// Whether the owner still waits for the outcome of a start order.
    pub(super) fn is_pending(&self, run: (TaskId, u32)) -> bool {
        self.pending.contains_key(&run)
    }

    /// Whether any order to a worker has no outcome yet.
    pub(super) fn has_pending_at(&self, worker: &WorkerId) -> bool {
        self.pending_by_worker.contains_key(worker)
    }

    /// Adds a start order with a payload of this size.
    pub(super) fn begin(
        &mut self,
        worker: &WorkerId,
        run: (TaskId, u32),
        payload_bytes: usize,
        now: Timestamp,
    ) {
        let bytes = CALL_BYTES + payload_bytes as u64;
        let start = PendingStart { worker: worker.clone(), bytes, sent: now, is_overtaken: false };
        if self.pending.insert(run, start).is_none() {
            self.in_sending_order.push_back((now, run));
            self.window_starts += 1;
            self.pending_bytes += bytes;
            *self.pending_by_worker.entry(worker.clone()).or_default() += 1;
        }
    }

    /// Removes a start order that was answered or has timed out, and adapts the window to the time
    /// that an answer took. A timeout says more about the worker than about the link.
    pub(super) fn end(&mut self, run: (TaskId, u32), is_answered: bool, now: Timestamp) {
        let Some(start) = self.pending.swap_remove(&run) else {
            return;
        };
        if !start.is_overtaken {
            self.leave_window(start.bytes);
        }
        if let Some(pending) = self.pending_by_worker.get_mut(&start.worker) {
            *pending -= 1;
            if *pending == 0 {
                self.pending_by_worker.swap_remove(&start.worker);
            }
        }
        if is_answered {
            self.meter.count_answer();
            self.overtake(start.sent);
            if !start.is_overtaken {
                self.adapt(&start, now);
            }
        }
        let pending = &self.pending;
        let has_outcome = |(_, run): &mut (Timestamp, (TaskId, u32))| !pending.contains_key(run);
        while self.in_sending_order.pop_front_if(has_outcome).is_some() {}
    }

    /// Notes whether tasks that could start wait until fewer orders are in flight.
    pub(super) fn note_waiting(&mut self, is_waited_for: bool, now: Timestamp) {
        let is_full = !self.has_room();
        self.meter.note(is_waited_for && is_full, now);
    }

    /// The rate at which start orders are expected to be done.
    pub(super) fn order_rate(&self, now: Timestamp) -> OrderRate {
        self.meter.rate(now)
    }

    /// Whether that rate was measured while starts were held back lately.
    pub(super) fn is_rate_measured(&self, now: Timestamp) -> bool {
        self.meter.is_measured(now)
    }

    fn leave_window(&mut self, bytes: u64) {
        self.window_starts -= 1;
        self.pending_bytes -= bytes;
    }

    /// Removes from the window the orders that were sent well before an answered one.
    fn overtake(&mut self, answered_sent: Timestamp) {
        let is_overtaken =
            |(sent, _): &mut (Timestamp, (TaskId, u32))| *sent + SLOW_ANSWER < answered_sent;
        while let Some((_, run)) = self.in_sending_order.pop_front_if(is_overtaken) {
            let Some(start) = self.pending.get_mut(&run).filter(|start| !start.is_overtaken) else {
                continue;
            };
            start.is_overtaken = true;
            let bytes = start.bytes;
            self.leave_window(bytes);
        }
    }

    fn adapt(&mut self, start: &PendingStart, now: Timestamp) {
        let limit = self.limits.max_start_bytes;
        if now.since(start.sent) <= SLOW_ANSWER {
            // Grows by one order for each window of quick answers.
            let growth = start.bytes * start.bytes / self.window_bytes.max(1);
            self.window_bytes = (self.window_bytes + growth.max(1)).min(limit);
        } else if start.sent > self.shrunk_at {
            // Orders sent before the window last shrank say nothing about the smaller window.
            let smaller = self.window_bytes * SHRINK_PERCENT / 100;
            self.window_bytes = smaller.max(limit * MIN_WINDOW_PERCENT / 100);
            self.shrunk_at = now;
        }
    }
}

/// The bytes of answers to holds that may be requested now, as a token bucket.
#[derive(Debug)]
pub(super) struct HoldBudget {
    rate: LinkRate,
    max_bytes: i64,
    /// Negative after holds that could not wait.
    bytes: i64,
    /// The bytes of calls that may be sent to workers that don't answer.
    silent_bytes: i64,
    refilled_at: Timestamp,
}

impl HoldBudget {
    pub(super) fn new(limits: FlowLimits, now: Timestamp) -> Self {
        let max_bytes = i64::try_from(limits.max_hold_burst_bytes).unwrap_or(i64::MAX);
        Self {
            rate: limits.hold_rate,
            max_bytes,
            bytes: max_bytes,
            silent_bytes: max_bytes,
            refilled_at: now,
        }
    }

    /// Adds what may be requested for the time since the last call.
    pub(super) fn refill(&mut self, now: Timestamp) {
        let bytes = self.rate.bytes_in(now.since(self.refilled_at));
        let silent_bytes = i64::try_from(bytes / SILENT_HOLD_DIVISOR).unwrap_or(i64::MAX);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.bytes = self.bytes.saturating_add(bytes).min(self.max_bytes);
        self.silent_bytes = self.silent_bytes.saturating_add(silent_bytes).min(self.max_bytes);
        self.refilled_at = now;
    }

    /// Whether another hold may be sent.
    pub(super) fn has_room(&self) -> bool {
        self.bytes > 0
    }

    /// Whether a hold of a worker that doesn't answer may be sent.
    pub(super) fn has_room_for_silent(&self) -> bool {
        self.silent_bytes > 0
    }

    /// Takes the bytes of a hold of a worker that doesn't answer.
    pub(super) fn take_for_silent(&mut self) {
        self.silent_bytes = self.silent_bytes.saturating_sub_unsigned(CALL_BYTES);
    }

    /// Estimates the bytes on the wire of a call or of an answer with a payload of this size and this many entries
    /// in its lists.
    pub(super) fn message_bytes(payload_bytes: usize, entries: usize) -> u64 {
        CALL_BYTES + payload_bytes as u64 + entries as u64 * LIST_ENTRY_BYTES
    }

    /// Takes the bytes of a hold whose answer lists this many runs and ends.
    pub(super) fn take(&mut self, entries: usize) {
        let bytes = Self::message_bytes(0, entries);
        self.bytes = self.bytes.saturating_sub_unsigned(bytes);
    }
}
