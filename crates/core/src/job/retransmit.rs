//! When a call that has not been answered is sent again, computed from how long answers take as in
//! RFC 6298.

#[cfg(test)]
mod tests;

use crate::Span;

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
