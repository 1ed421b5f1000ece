//! Picks the VM to which a request is sent.
//!
//! The settings name the routing policy, so that two policies can be compared on the same seed.

#[cfg(test)]
mod tests;

use std::{fmt, str::FromStr};

use rand::{Rng, RngExt};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::Slots;

/// A VM that may receive a request, with what is known of it at that time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Slots that this node has been granted on the VM.
    pub held: Slots,
    /// Slots that this node's requests occupy on the VM.
    pub in_use: Slots,
    /// Moving mean of the VM's latency, in microseconds; zero if unknown.
    pub latency_us: u64,
    /// Moving mean of the share of attempts that succeeded.
    pub success_rate: f64,
    /// Whether the VM is in this node's availability zone.
    pub local: bool,
    /// Whether the VM must not be picked: it is ejected, is leaving the pool, or is in a rack where
    /// an earlier attempt of the request just failed.
    pub excluded: bool,
    /// Share of the granted slots that may be used while the VM warms up, from 0 to 1.
    pub warm_up_share: f64,
}

/// The rule by which a VM is picked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub enum Policy {
    /// The VM with the least cost from load, latency, success rate, zone and warm-up share.
    #[default]
    Weighted,
    /// The VM with the fewest requests in flight.
    LeastInFlight,
    /// Any VM with a free slot.
    Random,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Weighted => "weighted",
            Self::LeastInFlight => "least-in-flight",
            Self::Random => "random",
        })
    }
}

/// The error for a text that names no policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} names no routing policy; expected weighted, least-in-flight or random")]
pub struct PolicyError(String);

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        match text {
            "weighted" => Ok(Self::Weighted),
            "least-in-flight" => Ok(Self::LeastInFlight),
            "random" => Ok(Self::Random),
            _ => Err(PolicyError(text.to_owned())),
        }
    }
}

/// Factor on the cost of a VM in another zone: a request leaves the local zone only if that zone is
/// busier than another by this factor.
const REMOTE_COST: f64 = 1.3;

/// Latency assumed for a VM without a measurement, in microseconds; low, so that a new VM is tried.
const UNKNOWN_LATENCY_US: f64 = 1_000.0;

/// Picks a VM with a free slot and returns its index; breaks ties with `rng`.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use teaselgap_core::{Slots, route::{Candidate, Policy, pick}};
///
/// let idle = Candidate {
///     held: Slots(2), in_use: Slots(0), latency_us: 0, success_rate: 1.0, local: true,
///     excluded: false, warm_up_share: 1.0,
/// };
/// let busy = Candidate { in_use: Slots(2), ..idle };
/// let mut rng = SmallRng::seed_from_u64(1);
/// assert_eq!(pick(Policy::Weighted, &[busy, idle], &mut rng), Some(1));
/// ```
pub fn pick(policy: Policy, candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let mut best = None;
    let mut best_cost = f64::INFINITY;
    let mut ties = 0;
    for (i, candidate) in candidates.iter().enumerate() {
        if candidate.excluded || candidate.in_use >= usable_slots(candidate) {
            continue;
        }
        let cost = candidate_cost(policy, candidate);
        if cost < best_cost {
            (best, best_cost, ties) = (Some(i), cost, 1);
        } else if cost <= best_cost {
            // Reservoir sampling picks each of the tied candidates with equal probability.
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = Some(i);
            }
        }
    }
    best
}

/// Slots that may be used on a VM: its warm-up share of the granted slots, but at least one of
/// them, so that a cold VM can warm up.
fn usable_slots(candidate: &Candidate) -> Slots {
    if candidate.held == Slots(0) {
        return Slots(0);
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is from 0 to 1"
    )]
    let allowed = (f64::from(candidate.held.0) * candidate.warm_up_share).ceil() as u32;
    Slots(allowed.clamp(1, candidate.held.0))
}

/// The cost of a request on a VM that has a usable slot.
fn candidate_cost(policy: Policy, candidate: &Candidate) -> f64 {
    match policy {
        Policy::Random => 0.0,
        Policy::LeastInFlight => f64::from(candidate.in_use.0),
        Policy::Weighted => {
            let load = f64::from(candidate.in_use.0 + 1) / f64::from(usable_slots(candidate).0);
            #[expect(clippy::cast_precision_loss, reason = "a latency is below 2^53 us")]
            let latency = match candidate.latency_us {
                0 => UNKNOWN_LATENCY_US,
                us => us as f64,
            };
            let zone = if candidate.local { 1.0 } else { REMOTE_COST };
            // The square root keeps a VM that is twice as slow from staying idle.
            load * latency.sqrt() * zone / candidate.success_rate.max(0.05)
        }
    }
}
