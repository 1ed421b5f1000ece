//! Measures the rate at which the owner of a cell gets start orders done.
//!
//! While the window of start orders holds starts back, the answers that arrive show the rate of
//! whatever is scarce: the node's link, its processor or the workers. At other times they show only
//! how many starts there were, which the owner can do at least.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use super::OrderRate;
use crate::{Span, Timestamp};

/// The time with starts held back over which the rate is measured.
const MEASURED_TIME: Span = Span(2_000);

/// The shortest time with starts held back that shows a rate.
const MIN_MEASURED_TIME: Span = Span(500);

/// How much time with starts held back lies between two samples, at least.
const SAMPLE_INTERVAL: Span = Span(50);

/// How long a measured rate counts after starts were last held back.
const VALIDITY: Span = Span(3_000);

/// The time over which the answers are counted that come at any time.
const RECENT_TIME: Span = Span(1_000);

/// How often these answers are counted.
const RECENT_INTERVAL: Span = Span(100);

/// What was counted while starts were held back.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    time: Span,
    answers: u64,
}

/// The rate at which start orders are answered, from those that arrive while starts are held back.
#[derive(Clone, Debug)]
pub(super) struct OrderMeter {
    /// The rate to expect of the node without a measurement.
    prior: OrderRate,
    /// The latest measured rate.
    measured: OrderRate,
    is_holding_back: bool,
    /// When `is_holding_back` was last noted.
    noted: Timestamp,
    /// Until when the samples count.
    valid_until: Timestamp,
    total: Sample,
    /// Earlier totals, the oldest first.
    samples: VecDeque<Sample>,
    /// The answers of this term.
    answers: u64,
    /// The answers up to a time, the oldest first.
    recent: VecDeque<(Timestamp, u64)>,
}

impl OrderMeter {
    pub(super) fn new(prior: OrderRate) -> Self {
        Self {
            prior,
            measured: OrderRate(0),
            is_holding_back: false,
            noted: Timestamp(0),
            valid_until: Timestamp(0),
            total: Sample::default(),
            samples: VecDeque::new(),
            answers: 0,
            recent: VecDeque::new(),
        }
    }

    /// Counts an answer to a start order.
    pub(super) fn count_answer(&mut self) {
        self.answers += 1;
        self.total.answers += u64::from(self.is_holding_back);
    }

    /// Notes whether starts wait for the orders in flight from now on.
    pub(super) fn note(&mut self, is_holding_back: bool, now: Timestamp) {
        if self.is_holding_back {
            self.total.time.0 += now.since(self.noted).0;
            self.valid_until = now + VALIDITY;
            self.measure();
        } else if now >= self.valid_until {
            self.samples.clear();
        }
        if is_holding_back && self.samples.is_empty() {
            self.samples.push_back(self.total);
        }
        self.is_holding_back = is_holding_back;
        self.noted = now;
        self.count_recent(now);
    }

    fn count_recent(&mut self, now: Timestamp) {
        if self.recent.back().is_none_or(|(at, _)| *at + RECENT_INTERVAL <= now) {
            self.recent.push_back((now, self.answers));
        }
        while self.recent.get(1).is_some_and(|(at, _)| *at + RECENT_TIME <= now) {
            self.recent.pop_front();
        }
    }

    /// The rate at which orders were answered in the last second.
    fn recent_rate(&self) -> OrderRate {
        let before = self.recent.front().map_or(self.answers, |(_, answers)| *answers);
        OrderRate((self.answers - before) * 1_000 / (RECENT_TIME.0 + RECENT_INTERVAL.0))
    }

    fn measure(&mut self) {
        let since = |sample: &Sample| Span(self.total.time.0 - sample.time.0);
        if self.samples.back().is_none_or(|last| since(last) >= SAMPLE_INTERVAL) {
            self.samples.push_back(self.total);
        }
        while self.samples.get(1).is_some_and(|sample| since(sample) >= MEASURED_TIME) {
            self.samples.pop_front();
        }
        let Some(first) = self.samples.front() else {
            return;
        };
        let time = since(first);
        if time >= MIN_MEASURED_TIME {
            let answers = self.total.answers - first.answers;
            self.measured = OrderRate((answers * 1_000 / time.0).max(1));
        }
    }

    /// Whether starts have been held back lately for long enough to show a rate.
    pub(super) fn is_measured(&self, now: Timestamp) -> bool {
        let time = self.samples.front().map_or(0, |first| self.total.time.0 - first.time.0);
        now < self.valid_until && time >= MIN_MEASURED_TIME.0
    }

    /// The rate to count on. When starts have not been held back lately, the node may have become
    /// quicker than it was measured.
    pub(super) fn rate(&self, now: Timestamp) -> OrderRate {
        if self.is_measured(now) {
            return self.measured;
        }
        self.measured.max(self.prior).max(self.recent_rate())
    }
}
