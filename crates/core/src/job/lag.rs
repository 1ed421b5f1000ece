//! Tells whether a node keeps up with its work.
//!
//! A node whose processor is slowed down or overloaded runs its timers late. A node that is paused
//! once has a single late timer and keeps up afterwards; one that can't keep up has many.

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

/// How long the node must have kept up before it no longer counts as lagging.
const RECOVERY_TIME: Span = Span(4_000);

/// Observes how late a periodic timer fires.
#[derive(Debug, Default)]
pub struct LagMonitor {
    /// Whether each of the latest timers was late, the oldest first.
    timers: VecDeque<bool>,
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

    /// Whether the node lags, or did so a short time ago.
    #[must_use]
    pub fn is_lagging(&self, now: Timestamp) -> bool {
        self.lagged_at.is_some_and(|at| now <= at + RECOVERY_TIME)
    }
}
