//! Which VM gets a request.
//!
//! A policy is chosen by name in the settings, so that two can be compared on one seed.

use std::{fmt, str::FromStr};

use rand::{Rng, RngExt};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::Slots;

/// What is known of a VM when a request is to be routed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Slots that this node holds on the VM.
    pub held: Slots,
    /// Slots that this node occupies on it.
    pub in_use: Slots,
    /// Moving mean of the time that the VM takes, in microseconds; zero if unknown.
    pub latency_us: u64,
    /// Moving share of attempts that succeeded.
    pub success_rate: f64,
    /// Whether the VM is in this node's availability zone.
    pub local: bool,
    /// Whether the VM must be left out: ejected, leaving, or in a rack that just failed the request.
    pub excluded: bool,
    /// Share of its slots that a new VM is given while it warms up, from 0 to 1.
    pub warm_up_share: f64,
}

/// How a VM is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub enum Policy {
    /// Least cost of load, latency, success rate, zone and warm-up share.
    #[default]
    Weighted,
    /// Fewest requests in flight.
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

/// A text that names no policy.
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

/// How much busier than elsewhere the local zone must be before a request leaves it.
const REMOTE_COST: f64 = 1.3;

/// Assumed latency of a VM that has none yet; low, so that a new VM is tried.
const UNKNOWN_LATENCY_US: f64 = 1_000.0;

/// Picks a VM with a free slot; ties are broken by `rng`.
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
        if candidate.excluded || candidate.in_use >= usable(candidate) {
            continue;
        }
        let cost = cost(policy, candidate);
        if cost < best_cost {
            (best, best_cost, ties) = (Some(i), cost, 1);
        } else if cost <= best_cost {
            // Reservoir sampling: each of the equals is kept with the same chance.
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = Some(i);
            }
        }
    }
    best
}

/// Slots of a VM that may be used: at least one, so that a cold VM can warm up.
fn usable(candidate: &Candidate) -> Slots {
    if candidate.held == Slots(0) {
        return Slots(0);
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is 0 to 1"
    )]
    let warm = (f64::from(candidate.held.0) * candidate.warm_up_share).ceil() as u32;
    Slots(warm.clamp(1, candidate.held.0))
}

fn cost(policy: Policy, candidate: &Candidate) -> f64 {
    match policy {
        Policy::Random => 0.0,
        Policy::LeastInFlight => f64::from(candidate.in_use.0),
        Policy::Weighted => {
            let load = f64::from(candidate.in_use.0 + 1) / f64::from(usable(candidate).0);
            #[expect(clippy::cast_precision_loss, reason = "microseconds of one request")]
            let latency = match candidate.latency_us {
                0 => UNKNOWN_LATENCY_US,
                us => us as f64,
            };
            let zone = if candidate.local { 1.0 } else { REMOTE_COST };
            // The square root keeps a VM that is twice as slow from standing idle.
            load * latency.sqrt() * zone / candidate.success_rate.max(0.05)
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use rand::{SeedableRng, rngs::SmallRng};

    use super::*;

    fn idle() -> Candidate {
        Candidate {
            held: Slots(2),
            in_use: Slots(0),
            latency_us: 1_000,
            success_rate: 1.0,
            local: true,
            excluded: false,
            warm_up_share: 1.0,
        }
    }

    fn pick_one(candidates: &[Candidate]) -> Option<usize> {
        pick(Policy::Weighted, candidates, &mut SmallRng::seed_from_u64(3))
    }

    #[test]
    fn work_stays_in_the_zone_until_it_is_busier() {
        let remote = Candidate { local: false, ..idle() };
        let busy = Candidate { in_use: Slots(1), ..idle() };

        assert_eq!(pick_one(&[remote, idle()]), Some(1));
        assert_eq!(pick_one(&[remote, busy]), Some(0));
    }

    #[test]
    fn a_fast_failing_vm_does_not_attract_work() {
        let failing = Candidate { latency_us: 100, success_rate: 0.1, ..idle() };

        assert_eq!(pick_one(&[failing, idle()]), Some(1));
    }

    #[test]
    fn a_cold_vm_gets_a_part_of_its_slots() {
        let cold = Candidate { held: Slots(4), in_use: Slots(1), warm_up_share: 0.25, ..idle() };

        assert_eq!(pick_one(&[cold]), None);
        assert_eq!(pick_one(&[Candidate { in_use: Slots(0), ..cold }]), Some(0));
    }

    proptest! {
        #[test]
        fn no_policy_ever_picks_a_vm_without_a_free_slot(
            slots in prop::collection::vec((0..4_u32, 0..4_u32, any::<bool>()), 0..12),
            seed in any::<u64>(),
        ) {
            let candidates: Vec<_> = slots
                .into_iter()
                .map(|(held, in_use, excluded)| Candidate {
                    held: Slots(held), in_use: Slots(in_use), excluded, ..idle()
                })
                .collect();
            let mut rng = SmallRng::seed_from_u64(seed);
            for policy in [Policy::Weighted, Policy::LeastInFlight, Policy::Random] {
                let free = |c: &Candidate| !c.excluded && c.in_use < c.held;
                match pick(policy, &candidates, &mut rng) {
                    Some(i) => prop_assert!(free(&candidates[i])),
                    None => prop_assert!(!candidates.iter().any(free)),
                }
            }
        }
    }
}
