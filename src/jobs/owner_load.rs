//! What an owner of a cell has in flight and how quickly it is answered, second by second.

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use teaselgap_core::{Span, Timestamp};

/// A kind of call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// An order about one run, other than its start and its stop, that the worker answers at once.
    Order,
    /// An order to stop a run.
    Stop,
    /// An order to start a task.
    Start,
    /// A hold, whose answer the worker may delay.
    Hold,
}

/// Identifies a call that is in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallId(u64);

/// Counts the calls to workers and the ticks of one term.
#[derive(Debug, Default)]
pub(super) struct LoadMeter {
    next_call: u64,
    /// The calls in flight with the time when each was sent, the oldest first.
    in_flight: BTreeMap<u64, (CallKind, Timestamp)>,
    second: Second,
}

/// What was counted since the last report.
#[derive(Debug, Default)]
struct Second {
    starts: u32,
    repeated_starts: u32,
    start_bytes: u64,
    stops: u32,
    holds: u32,
    unanswered: u32,
    unanswered_holds: u32,
    lists: ListTotals,
    accepted: u32,
    refused: u32,
    /// How long the answers to starts and other orders took.
    answer_times: Vec<Span>,
    longest_tick: Duration,
}

/// What answers to holds have listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListTotals {
    /// Runs that have not ended.
    pub(crate) runs: u64,
    /// Ends of runs.
    pub(crate) ends: u64,
    /// Those of them that an earlier answer had listed.
    pub(crate) known_ends: u64,
    /// The estimated size of the answers.
    pub(crate) bytes: u64,
}

/// The load of an owner in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnerLoad {
    /// Number of calls to workers in flight.
    pub(crate) calls_in_flight: usize,
    /// Age of the oldest of them.
    pub(crate) oldest_call: Span,
    /// Number of tasks that could start but wait until fewer start orders are in flight.
    pub(crate) held_back_starts: usize,
    /// Number of start orders in flight.
    pub(crate) starts_in_flight: usize,
    /// Number of start orders sent.
    pub(crate) starts: u32,
    /// Number of copies of start orders sent, beyond the first of each.
    pub(crate) repeated_starts: u32,
    /// Estimated size of the start orders sent, with all copies.
    pub(crate) start_bytes: u64,
    /// Number of stop orders sent.
    pub(crate) stops: u32,
    /// Number of holds sent.
    pub(crate) holds: u32,
    /// Number of calls that ended without an answer.
    pub(crate) unanswered: u32,
    /// Number of holds that ended without an answer.
    pub(crate) unanswered_holds: u32,
    /// What the answers to holds have listed.
    pub(crate) lists: ListTotals,
    /// Number of ends that are not confirmed before copies of their start orders have expired.
    pub(crate) waiting_ends: usize,
    /// Number of start orders that have copies without an answer.
    pub(crate) open_starts: usize,
    /// Number of submissions accepted.
    pub(crate) accepted: u32,
    /// Number of submissions refused.
    pub(crate) refused: u32,
    /// Median time to the answer of an order.
    pub(crate) median_answer: Span,
    /// Longest time to the answer of an order.
    pub(crate) longest_answer: Span,
    /// Processing time of the longest tick.
    pub(crate) longest_tick: Duration,
}

impl LoadMeter {
    /// Counts a call that is sent at `now`.
    pub(super) fn begin(&mut self, kind: CallKind, now: Timestamp) -> CallId {
        match kind {
            CallKind::Start => self.second.starts += 1,
            CallKind::Stop => self.second.stops += 1,
            CallKind::Hold => self.second.holds += 1,
            CallKind::Order => {}
        }
        let id = self.next_call;
        self.next_call += 1;
        self.in_flight.insert(id, (kind, now));
        CallId(id)
    }

    /// Counts the end of a call.
    pub(super) fn end(&mut self, id: CallId, is_answered: bool, now: Timestamp) {
        let Some((kind, sent)) = self.in_flight.remove(&id.0) else {
            return;
        };
        self.second.unanswered += u32::from(!is_answered);
        self.second.unanswered_holds += u32::from(!is_answered && kind == CallKind::Hold);
        if is_answered && kind != CallKind::Hold {
            self.second.answer_times.push(now.since(sent));
        }
    }

    /// Counts a copy of a start order that is sent.
    pub(super) fn record_start_copy(&mut self, is_first: bool, bytes: u64) {
        self.second.repeated_starts += u32::from(!is_first);
        self.second.start_bytes += bytes;
    }

    /// Counts what the answer to a hold has listed.
    pub(super) fn record_lists(&mut self, lists: ListTotals) {
        let totals = &mut self.second.lists;
        totals.runs += lists.runs;
        totals.ends += lists.ends;
        totals.known_ends += lists.known_ends;
        totals.bytes += lists.bytes;
    }

    /// Counts a submission that was accepted.
    pub(super) fn record_accepted(&mut self) {
        self.second.accepted += 1;
    }

    /// Counts a submission that was refused.
    pub(super) fn record_refused(&mut self) {
        self.second.refused += 1;
    }

    /// Counts a tick that took from `started` until now.
    pub(super) fn record_tick(&mut self, started: Instant) {
        self.second.longest_tick = self.second.longest_tick.max(started.elapsed());
    }

    /// Returns the load since the last report.
    pub(super) fn take_report(&mut self, now: Timestamp) -> OwnerLoad {
        let mut second = std::mem::take(&mut self.second);
        second.answer_times.sort_unstable();
        let times = &second.answer_times;
        let is_start = |(kind, _): &&(CallKind, Timestamp)| *kind == CallKind::Start;
        let oldest = self.in_flight.first_key_value().map(|(_, (_, sent))| now.since(*sent));
        OwnerLoad {
            calls_in_flight: self.in_flight.len(),
            oldest_call: oldest.unwrap_or_default(),
            held_back_starts: 0,
            starts_in_flight: self.in_flight.values().filter(is_start).count(),
            starts: second.starts,
            repeated_starts: second.repeated_starts,
            start_bytes: second.start_bytes,
            stops: second.stops,
            holds: second.holds,
            unanswered: second.unanswered,
            unanswered_holds: second.unanswered_holds,
            lists: second.lists,
            waiting_ends: 0,
            open_starts: 0,
            accepted: second.accepted,
            refused: second.refused,
            median_answer: times.get(times.len() / 2).copied().unwrap_or_default(),
            longest_answer: times.last().copied().unwrap_or_default(),
            longest_tick: second.longest_tick,
        }
    }
}
