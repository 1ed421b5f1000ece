//! Which VMs get no requests for a while because their attempts fail too often.
//!
//! A VM whose attempts fail immediately looks idle and would attract most requests. A VM is ejected
//! if its recent success rate is well below that of its pool. If the attempts of all VMs fail, the
//! fault is in the release or the caller, and no VM is ejected. The share of a pool that may be
//! ejected at once is limited.

#[cfg(test)]
mod tests;

use crate::{Span, Timestamp};

/// Thresholds and durations of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Weight of the newest attempt in the exponential moving average of the success rate.
    pub weight: f64,
    /// Minimum number of attempts before a VM can be ejected or counts toward the pool's rate.
    pub min_attempts: u32,
    /// A VM is ejected if its success rate is below the pool's median by more than this.
    pub margin: f64,
    /// Largest share of a pool's VMs that may be ejected at once; one VM may always be.
    pub max_ejected_share: f64,
    /// Duration of the first ejection; each further one in a row lasts twice as long.
    pub first_ejection: Span,
    /// Maximum duration of an ejection.
    pub longest_ejection: Span,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            weight: 0.1,
            min_attempts: 8,
            margin: 0.4,
            max_ejected_share: 0.34,
            first_ejection: Span(2_000),
            longest_ejection: Span(30_000),
        }
    }
}

/// One VM's success rate and ejections, as one node has counted them.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    success_rate: f64,
    attempts: u32,
    ejected_until: Option<Timestamp>,
    /// Number of consecutive ejections.
    streak: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self { success_rate: 1.0, attempts: 0, ejected_until: None, streak: 0 }
    }
}

impl Health {
    /// The exponential moving average of the success rate.
    #[must_use]
    pub fn success_rate(&self) -> f64 {
        self.success_rate
    }

    /// Whether the VM is ejected now.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records the outcome of an attempt. The first one recorded after an ejection is a probe: a
    /// failure ejects the VM again, and a success resets its record.
    pub fn record(&mut self, cfg: &Config, succeeded: bool, now: Timestamp) {
        if self.ejected_until.is_some() && !self.is_ejected(now) {
            if succeeded {
                *self = Self::default();
            } else {
                self.eject(cfg, now);
            }
            return;
        }
        let value = if succeeded { 1.0 } else { 0.0 };
        self.success_rate += cfg.weight * (value - self.success_rate);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Ejects the VM. Each consecutive ejection lasts twice as long as the last, up to a maximum.
    fn eject(&mut self, cfg: &Config, now: Timestamp) {
        let duration = cfg.first_ejection.0.saturating_mul(1 << self.streak.min(16));
        self.ejected_until = Some(now + Span(duration.min(cfg.longest_ejection.0)));
        self.streak = self.streak.saturating_add(1);
    }
}

/// Ejects VMs of a pool by their success rates. Call it periodically, not for each request.
pub fn update_ejections(cfg: &Config, pool: &mut [&mut Health], now: Timestamp) {
    let size = pool.len();
    if size < 2 {
        return;
    }
    let has_enough_attempts = |health: &&mut Health| health.attempts >= cfg.min_attempts;
    let mut rates: Vec<f64> =
        pool.iter().filter(|h| has_enough_attempts(h)).map(|h| h.success_rate).collect();
    if rates.len() < 2 {
        return;
    }
    rates.sort_by(f64::total_cmp);
    let median_rate = rates[rates.len() / 2];
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a share of a pool's size"
    )]
    let max_ejected = ((size as f64 * cfg.max_ejected_share) as usize).max(1);
    let mut ejected = pool.iter().filter(|health| health.is_ejected(now)).count();
    for health in pool.iter_mut() {
        let is_outlier =
            health.attempts >= cfg.min_attempts && health.success_rate < median_rate - cfg.margin;
        if is_outlier && !health.is_ejected(now) && ejected < max_ejected {
            health.eject(cfg, now);
            ejected += 1;
        }
    }
}
