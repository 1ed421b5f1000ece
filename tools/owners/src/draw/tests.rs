use super::{Act, LATE_SCENES, Plan};
use crate::late::Kind;

const SEEDS: std::ops::Range<u64> = 0..200;

fn late_acts(plan: &Plan) -> Vec<(u64, &Act)> {
    let acts = plan.acts.iter().map(|(at, act)| (*at, act));
    acts.filter(|(_, act)| matches!(act, Act::Late { .. })).collect()
}

/// Whether a worker of those whose bits are set crashes between these times.
fn crashes(plan: &Plan, workers: u64, (from, to): (u64, u64)) -> bool {
    let is_crash = |(at, act): &(u64, Act)| match act {
        Act::Crash { worker, .. } => workers & (1 << worker) != 0 && (from..to).contains(at),
        _ => false,
    };
    plan.acts.iter().any(is_crash)
}

#[test]
fn late_calls_arrive_2_to_12_s_late() {
    for (scene, ..) in LATE_SCENES {
        for seed in SEEDS {
            let plan = Plan::draw(seed, 12_000, Some(scene));
            assert!(plan.is_of_late_calls);
            assert!(!late_acts(&plan).is_empty(), "{scene} {seed}");
            for (at, act) in late_acts(&plan) {
                let Act::Late { lateness, .. } = act else { continue };
                let (low, high) = lateness.delay_ms;
                let is_due = 2_000 <= low && low <= high && high <= 12_000;
                assert!(is_due, "{scene} {seed} at {at}: {act:?}");
            }
        }
    }
}

#[test]
fn a_worker_crashes_before_late_confirmations_and_starts_arrive() {
    for scene in ["confirmed", "stray"] {
        for seed in SEEDS {
            let plan = Plan::draw(seed, 6_000, Some(scene));
            for (at, act) in late_acts(&plan) {
                let Act::Late { workers, lateness, .. } = act else { continue };
                let until = at + lateness.delay_ms.0;
                assert!(crashes(&plan, *workers, (at, until)), "{scene} {seed}: {:?}", plan.acts);
            }
        }
    }
}

#[test]
fn the_scenes_make_calls_of_every_kind_late() {
    let mut kinds = Vec::new();
    for (scene, ..) in LATE_SCENES {
        for seed in SEEDS {
            let plan = Plan::draw(seed, 12_000, Some(scene));
            for (_, act) in late_acts(&plan) {
                let Act::Late { lateness, .. } = act else { continue };
                kinds.extend(lateness.kinds.iter().copied());
            }
        }
    }
    assert!(Kind::ALL.iter().all(|kind| kinds.contains(kind)));
}

#[test]
fn without_an_aim_some_seeds_have_late_calls_and_an_older_scene_never_has() {
    let has_late_calls = |seed, aim| !late_acts(&Plan::draw(seed, 20_000, aim)).is_empty();

    let count = SEEDS.filter(|seed| has_late_calls(*seed, None)).count();

    assert!((50..150).contains(&count), "{count} of 200");
    assert!(!SEEDS.into_iter().any(|seed| has_late_calls(seed, Some("split,reborn"))));
    assert!(!Plan::draw(1, 20_000, Some("late,reborn")).is_of_late_calls);
}

#[test]
fn a_seed_of_ci_draws_what_it_drew_when_it_was_chosen() {
    let names = |plan: &Plan| -> Vec<String> {
        let name = |act: &Act| format!("{act:?}").split([' ', '{']).next().unwrap_or("").to_owned();
        plan.acts.iter().map(|(at, act)| format!("{at} {}", name(act))).collect()
    };

    let plan = Plan::draw(4, 8_000, None);

    assert_eq!(names(&plan), EXPECTED);
}

const EXPECTED: &[&str] =
    &["1427 Burst", "1500 Freeze", "3680 Hold", "3765 Burst", "4065 Stop", "4162 Freeze"];
