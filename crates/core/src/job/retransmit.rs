//! When a call that has not been answered is sent again, computed from how long answers take as in
//! RFC 6298, and whether it waits in this node's own link, where a copy would only wait behind it.

#[cfg(test)]
mod tests;

use crate::{Span, Timestamp};

/// The shortest time after which a call is sent again.
const MIN_TIMEOUT: Span = Span(60);

/// The longest time after which a call is sent again for the first time.
const MAX_TIMEOUT: Span = Span(500);

/// The timeout before the first answer.
const INITIAL_TIMEOUT: Span = Span(200);

/// The weight of a new measurement in the smoothed answer time is one in this many.
const SMOOTHING_DIVISOR: u64 = 8;

/// The weight of a new measurement in the variation is one in this many.
const VARIATION_DIVISOR: u64 = 4;

/// How many times its variation is added to the smoothed answer time.
const VARIATION_FACTOR: u64 = 4;

/// How much later than a call another one must have been sent for its answer to overtake the call's. Calls to different
/// services go over different connections, which a link serves in turn.
const REORDERING: Span = Span(20);

/// While the latest answer is younger than this, answers are coming over the link.
const LINK_PROGRESS: Span = Span(60);

/// Tells calls that may be lost from those that wait in a link, which passes calls and their answers in the order of
/// sending.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerOrder {
    /// When the last one of the calls that were answered was sent.
    newest_answered: Timestamp,
    /// When the latest answer came.
    last_answer: Timestamp,
}

impl AnswerOrder {
    /// Records the answer to a call that was sent at `sent`.
    pub fn record(&mut self, sent: Timestamp, now: Timestamp) {
        self.newest_answered = self.newest_answered.max(sent);
        self.last_answer = self.last_answer.max(now);
    }

    /// Whether a call that was sent at `sent` probably waits in the link: answers are coming, none of them to a call
    /// that was sent after it. It isn't waited for longer than the longest timeout.
    #[must_use]
    pub fn may_wait_in_link(&self, sent: Timestamp, now: Timestamp) -> bool {
        let is_overtaken = self.newest_answered >= sent + REORDERING;
        let has_progress = now < self.last_answer + LINK_PROGRESS;
        !is_overtaken && has_progress && now < sent + MAX_TIMEOUT
    }
}

/// Measures how long a service takes to answer.
///
/// Each copy of a call is answered on a connection of its own, so that the time to its answer is
/// known even if the call was sent several times.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetransmitTimer {
    smoothed: Option<Span>,
    variation: Span,
}

impl RetransmitTimer {
    /// Records how long an answer took.
    pub fn record(&mut self, answer_time: Span) {
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(answer_time);
            self.variation = Span(answer_time.0 / 2);
            return;
        };
        let weighted = |old: u64, new: u64, divisor: u64| (old * (divisor - 1) + new) / divisor;
        let deviation = smoothed.0.abs_diff(answer_time.0);
        self.variation = Span(weighted(self.variation.0, deviation, VARIATION_DIVISOR));
        self.smoothed = Some(Span(weighted(smoothed.0, answer_time.0, SMOOTHING_DIVISOR)));
    }

    /// How long to wait for an answer before the call is sent again.
    #[must_use]
    pub fn timeout(&self) -> Span {
        self.smoothed.map_or(INITIAL_TIMEOUT, |smoothed| {
            let timeout = smoothed.0 + VARIATION_FACTOR * self.variation.0;
            Span(timeout.clamp(MIN_TIMEOUT.0, MAX_TIMEOUT.0))
        })
    }
}
