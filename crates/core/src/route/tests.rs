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
fn requests_stay_in_the_local_zone_until_it_is_busier() {
    let remote = Candidate { local: false, ..idle() };
    let busy = Candidate { in_use: Slots(1), ..idle() };

    assert_eq!(pick_one(&[remote, idle()]), Some(1));
    assert_eq!(pick_one(&[remote, busy]), Some(0));
}

#[test]
fn a_vm_that_fails_fast_does_not_attract_requests() {
    let failing = Candidate { latency_us: 100, success_rate: 0.1, ..idle() };

    assert_eq!(pick_one(&[failing, idle()]), Some(1));
}

#[test]
fn only_a_share_of_the_slots_of_a_cold_vm_is_used() {
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
