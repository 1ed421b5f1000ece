//! Derives the timeout of a request from the round-trip times of earlier ones.
//!
//! The estimator keeps a moving mean and a moving mean deviation, as TCP does. The timeout is the
//! mean plus four deviations, clamped between two bounds. It adapts within a few answers to a link
//! that becomes slower; with a fixed timeout every later answer on that link would come too late.

#[cfg(test)]
mod tests;

use crate::Span;

/// The bounds of the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The shortest timeout.
    pub min_timeout: Span,
    /// The longest timeout; also the timeout before the first answer.
    pub max_timeout: Span,
}

/// Estimates the round-trip time from earlier answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RttEstimator {
    mean_ms: f64,
    deviation_ms: f64,
    has_sample: bool,
}

/// Weight of the newest round-trip time in the moving mean.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of the newest round-trip time in the moving mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Number of deviations above the mean at which a request times out.
const DEVIATIONS: f64 = 4.0;

impl RttEstimator {
    /// Records the round-trip time of an answer.
    pub fn record(&mut self, rtt: Span) {
        #[expect(clippy::cast_precision_loss, reason = "a round trip is below 2^53 ms")]
        let rtt_ms = rtt.0 as f64;
        if self.has_sample {
            let error_ms = rtt_ms - self.mean_ms;
            self.mean_ms += MEAN_WEIGHT * error_ms;
            self.deviation_ms += DEVIATION_WEIGHT * (error_ms.abs() - self.deviation_ms);
        } else {
            self.mean_ms = rtt_ms;
            self.deviation_ms = rtt_ms / 2.0;
            self.has_sample = true;
        }
    }

    /// Records that no answer came within the timeout, which makes the next timeout longer.
    pub fn record_timeout(&mut self, cfg: Config) {
        self.record(Span(self.timeout(cfg).0.saturating_mul(2).min(cfg.max_timeout.0)));
    }

    /// How long to wait for the answer to the next request.
    #[must_use]
    pub fn timeout(&self, cfg: Config) -> Span {
        if !self.has_sample {
            return cfg.max_timeout;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let timeout_ms = (self.mean_ms + DEVIATIONS * self.deviation_ms).ceil() as u64;
        Span(timeout_ms.clamp(cfg.min_timeout.0, cfg.max_timeout.0))
    }
}
