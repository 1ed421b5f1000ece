//! Which VMs are left out for a while because they fail what they are given.
//!
//! A VM that fails at once looks idle and would attract all work. Ejection is by success rate over
//! recent attempts, compared with the rest of the pool: if everything fails, the fault is in the
//! release or the caller and nobody is ejected. At most a set share of a pool is ejected at once.

use crate::{Span, Timestamp};

/// The limits of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Weight of the newest attempt in the moving success rate.
    pub weight: f64,
    /// Attempts before a VM can be judged.
    pub min_attempts: u32,
    /// A VM is ejected if its success rate is below the pool's by more than this.
    pub margin: f64,
    /// The largest share of a pool that may be ejected at once.
    pub max_ejected_share: f64,
    /// How long the first ejection lasts; each further one twice as long.
    pub first_ejection: Span,
    /// The longest ejection.
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

/// The record of one VM's attempts at one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    success_rate: f64,
    attempts: u32,
    ejected_until: Option<Timestamp>,
    /// Ejections in a row.
    streak: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self { success_rate: 1.0, attempts: 0, ejected_until: None, streak: 0 }
    }
}

impl Health {
    /// The moving success rate.
    #[must_use]
    pub fn success_rate(&self) -> f64 {
        self.success_rate
    }

    /// Whether the VM is left out now.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Counts an attempt. After an ejection the first attempts are probes: one failure ejects anew,
    /// and one success starts the record afresh.
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

    fn eject(&mut self, cfg: &Config, now: Timestamp) {
        let doubled = cfg.first_ejection.0.saturating_mul(1 << self.streak.min(16));
        self.ejected_until = Some(now + Span(doubled.min(cfg.longest_ejection.0)));
        self.streak = self.streak.saturating_add(1);
    }
}

/// Ejects VMs of a pool by their success rates; call it now and then, not for each request.
pub fn update_ejections(cfg: &Config, pool: &mut [&mut Health], now: Timestamp) {
    let size = pool.len();
    if size < 2 {
        return;
    }
    let judged = |health: &&mut Health| health.attempts >= cfg.min_attempts;
    let mut rates: Vec<f64> = pool.iter().filter(|h| judged(h)).map(|h| h.success_rate).collect();
    if rates.len() < 2 {
        return;
    }
    rates.sort_by(f64::total_cmp);
    let median = rates[rates.len() / 2];
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a share of a pool's size"
    )]
    let most = ((size as f64 * cfg.max_ejected_share) as usize).max(1);
    let mut ejected = pool.iter().filter(|health| health.is_ejected(now)).count();
    for health in pool.iter_mut() {
        let bad = health.attempts >= cfg.min_attempts && health.success_rate < median - cfg.margin;
        if bad && !health.is_ejected(now) && ejected < most {
            health.eject(cfg, now);
            ejected += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(outcomes: &[bool]) -> Health {
        let mut health = Health::default();
        for &succeeded in outcomes {
            health.record(&Config::default(), succeeded, Timestamp(0));
        }
        health
    }

    fn judged(mut pool: Vec<Health>) -> Vec<bool> {
        let mut refs: Vec<&mut Health> = pool.iter_mut().collect();
        update_ejections(&Config::default(), &mut refs, Timestamp(0));
        pool.iter().map(|health| health.is_ejected(Timestamp(0))).collect()
    }

    #[test]
    fn a_vm_that_fails_everything_is_ejected() {
        let mut pool = vec![after(&[true; 10]); 9];
        pool.push(after(&[false; 10]));

        assert_eq!(judged(pool).iter().filter(|&&ejected| ejected).count(), 1);
    }

    #[test]
    fn a_bad_release_does_not_empty_the_pool() {
        assert_eq!(judged(vec![after(&[false; 20]); 10]), vec![false; 10]);
    }

    #[test]
    fn at_most_a_third_is_ejected_at_once() {
        let mut pool = vec![after(&[true; 10]); 6];
        pool.extend(vec![after(&[false; 20]); 4]);

        assert_eq!(judged(pool).iter().filter(|&&ejected| ejected).count(), 3);
    }

    #[test]
    fn a_failed_probe_ejects_for_longer_and_a_good_one_clears_the_record() {
        let cfg = Config::default();
        let mut health = after(&[false; 20]);
        health.eject(&cfg, Timestamp(0));

        health.record(&cfg, false, Timestamp(2_000));
        assert!(health.is_ejected(Timestamp(5_999)));
        health.record(&cfg, true, Timestamp(6_000));

        assert_eq!(health, Health::default());
    }
}
