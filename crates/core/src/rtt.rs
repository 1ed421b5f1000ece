//! How long to wait for an answer, from how long earlier ones took.
//!
//! The estimate is a moving mean and a moving mean deviation, as TCP keeps them; the time-out is the
//! mean and four deviations, between two bounds. It follows a link that becomes slower within a few
//! answers, where a fixed time-out would suspect every answer from then on.

use crate::Span;

/// The bounds of a time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The shortest time-out.
    pub min_timeout: Span,
    /// The longest time-out, which also applies before there is any answer.
    pub max_timeout: Span,
}

/// Estimates the round-trip time from what earlier answers took.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RttEstimator {
    mean_ms: f64,
    deviation_ms: f64,
    seen: bool,
}

/// Weight of the newest answer in the mean.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of the newest answer in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations that a time-out allows for.
const DEVIATIONS: f64 = 4.0;

impl RttEstimator {
    /// An answer took this long.
    pub fn record(&mut self, took: Span) {
        #[expect(clippy::cast_precision_loss, reason = "milliseconds of one answer")]
        let took = took.0 as f64;
        if self.seen {
            let error = took - self.mean_ms;
            self.mean_ms += MEAN_WEIGHT * error;
            self.deviation_ms += DEVIATION_WEIGHT * (error.abs() - self.deviation_ms);
        } else {
            self.mean_ms = took;
            self.deviation_ms = took / 2.0;
            self.seen = true;
        }
    }

    /// No answer came within the time-out: the next one is longer.
    pub fn record_timeout(&mut self, cfg: Config) {
        self.record(Span(self.timeout(cfg).0.saturating_mul(2).min(cfg.max_timeout.0)));
    }

    /// How long to wait for the next answer.
    #[must_use]
    pub fn timeout(&self, cfg: Config) -> Span {
        if !self.seen {
            return cfg.max_timeout;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let wanted = (self.mean_ms + DEVIATIONS * self.deviation_ms).ceil() as u64;
        Span(wanted.clamp(cfg.min_timeout.0, cfg.max_timeout.0))
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const CFG: Config = Config { min_timeout: Span(10), max_timeout: Span(1_000) };

    #[test]
    fn steady_answers_bring_the_timeout_close_to_them() {
        let mut estimate = RttEstimator::default();
        for _ in 0..50 {
            estimate.record(Span(20));
        }

        assert!(estimate.timeout(CFG) <= Span(25), "{}", estimate.timeout(CFG));
    }

    #[test]
    fn a_link_that_becomes_slower_is_followed_after_a_few_timeouts() {
        let mut estimate = RttEstimator::default();
        for _ in 0..50 {
            estimate.record(Span(2));
        }

        let mut timeouts = 0;
        while estimate.timeout(CFG) < Span(300) {
            estimate.record_timeout(CFG);
            timeouts += 1;
        }

        assert!(timeouts <= 10, "{timeouts}");
    }

    proptest! {
        #[test]
        fn a_timeout_stays_within_its_bounds(answers in prop::collection::vec(0..100_000_u64, 0..50)) {
            let mut estimate = RttEstimator::default();
            for answer in answers {
                estimate.record(Span(answer));
                let timeout = estimate.timeout(CFG);
                prop_assert!(timeout >= CFG.min_timeout && timeout <= CFG.max_timeout);
            }
        }
    }
}
