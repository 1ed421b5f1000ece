//! Tells whether a node keeps up with its work.
//!
//! A node whose processor is slowed down or overloaded runs its timers late. A node that is paused
//! once has a single late timer and keeps up afterwards; one that can't keep up has many. Before its
//! timers are late, the answers to the orders of an owner take longer than its limits on orders in
//! flight allow for.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use crate::{Span, Timestamp};

/// A timer that fires later than this, after its deadline, is late.
const LATE_TIMER: Span = Span(120);

/// Number of latest timers that are considered.
const WINDOW_TIMERS: usize = 8;

/// Number of late timers among them from which on the node lags.
const MIN_LATE_TIMERS: usize = 4;

/// Median time to the answer of an order from which on answers take long. An owner that uses all of
/// its window has its answers after a third of this.
const SLOW_ANSWERS: Span = Span(300);

/// Number of reports in a row with answers that take long from which on the node lags.
const MIN_SLOW_REPORTS: u32 = 2;

/// How long the node must have kept up before it no longer counts as lagging.
const RECOVERY_TIME: Span = Span(4_000);

/// Observes how late a periodic timer fires.
#[derive(Debug, Default)]
pub struct LagMonitor {
    /// Whether each of the latest timers was late, the oldest first.
    timers: VecDeque<bool>,
    /// Number of reports in a row with answers that took long.
    slow_reports: u32,
    /// When the node last lagged.
    lagged_at: Option<Timestamp>,
}

impl LagMonitor {
    /// Records a timer that was to fire at `deadline` and fired at `now`.
    pub fn record_timer(&mut self, deadline: Timestamp, now: Timestamp) {
        self.timers.push_back(now > deadline + LATE_TIMER);
        if self.timers.len() > WINDOW_TIMERS {
            self.timers.pop_front();
        }
        if self.timers.iter().filter(|is_late| **is_late).count() >= MIN_LATE_TIMERS {
            self.lagged_at = Some(now);
        }
    }

    /// Records the median time that answers to an owner's orders took since the last report.
    pub fn record_answers(&mut self, median: Span, now: Timestamp) {
        self.slow_reports = if median >= SLOW_ANSWERS { self.slow_reports + 1 } else { 0 };
        if self.slow_reports >= MIN_SLOW_REPORTS {
            self.lagged_at = Some(now);
        }
    }

    /// Whether the node lags, or did so a short time ago.
    #[must_use]
    pub fn is_lagging(&self, now: Timestamp) -> bool {
        self.lagged_at.is_some_and(|at| now <= at + RECOVERY_TIME)
    }
}
