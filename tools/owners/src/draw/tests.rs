use super::{Act, LATE_SCENES, MAX_HOLD_MS, OPEN_SCENES, Plan, Shows, TIGHT_HOLD_MS};
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
            assert_eq!(plan.shows, Shows::LateCall);
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
    assert_eq!(Plan::draw(1, 20_000, Some("late,reborn")).shows, Shows::NewOwner);
}

#[test]
fn restarted_workers_are_cut_off_about_2_s_later_for_about_9_s_again_and_again() {
    for seed in SEEDS {
        let plan = Plan::draw(seed, 40_000, Some("recut"));
        let restarts = plan.acts.iter().filter_map(|(at, act)| match act {
            Act::Restart { workers, down_ms, .. } => Some((at + down_ms, *workers)),
            _ => None,
        });
        let cuts = plan.acts.iter().filter_map(|(at, act)| match act {
            Act::Cut { workers, ms } => Some((*at, *workers, *ms)),
            _ => None,
        });
        let rounds: Vec<_> = restarts.zip(cuts).collect();
        assert!((2..=3).contains(&rounds.len()), "{seed}: {:?}", plan.acts);
        for ((up_at, restarted), (cut_at, cut_off, ms)) in &rounds {
            assert_eq!(restarted, cut_off);
            assert!((2..=3).contains(&restarted.count_ones()));
            assert!(plan.workers >= restarted.count_ones() as usize + 4);
            assert!((up_at + 240..=up_at + 2_100).contains(cut_at), "{seed}: {:?}", plan.acts);
            assert!((8_500..=9_500).contains(ms));
        }
        for pair in rounds.windows(2) {
            assert!(
                pair[0].1.0 + pair[0].1.2 < pair[1].0.0,
                "a restart while its worker is cut off"
            );
        }
    }
}

#[test]
fn long_work_arrives_before_each_cut_and_some_of_it_outlasts_each_lease() {
    for seed in SEEDS {
        let plan = Plan::draw(seed, 40_000, Some("recut"));
        let cuts = plan.acts.iter().filter(|(_, act)| matches!(act, Act::Cut { .. }));
        for (cut_at, _) in cuts {
            let long = plan.acts.iter().filter_map(|(at, act)| match act {
                Act::Long { run_ms, .. } if at < cut_at && at + 2_500 > *cut_at => Some(*run_ms),
                _ => None,
            });
            let long: Vec<u64> = long.collect();
            assert_eq!(long.len(), 3, "{seed}: {:?}", plan.acts);
            assert!(long.iter().all(|ms| (5_000..=40_000).contains(ms)));
            assert!(long.iter().filter(|ms| **ms >= 9_500).count() >= 2);
        }
    }
}

#[test]
fn recut_is_drawn_with_and_without_a_lost_owner_and_with_both_longest_leases() {
    let plans: Vec<Plan> = SEEDS.map(|seed| Plan::draw(seed, 6_000, Some("recut"))).collect();
    let is_lost = |plan: &&Plan| plan.acts.iter().any(|(_, act)| matches!(act, Act::Kill { .. }));
    let is_tight = |plan: &&Plan| plan.max_hold_ms == TIGHT_HOLD_MS;
    let count = |is_lost_wanted, is_tight_wanted| {
        let plans = plans.iter();
        plans
            .filter(|plan| (is_lost(plan), is_tight(plan)) == (is_lost_wanted, is_tight_wanted))
            .count()
    };

    for (is_lost, is_tight) in [(false, false), (false, true), (true, false), (true, true)] {
        assert!(
            count(is_lost, is_tight) >= 10,
            "{is_lost} {is_tight}: {}",
            count(is_lost, is_tight)
        );
    }
    for plan in plans.iter().filter(is_lost) {
        let at = |is_wanted: fn(&Act) -> bool| {
            plan.acts.iter().find(|(_, act)| is_wanted(act)).map(|(at, _)| *at).unwrap()
        };
        let kill_at = at(|act| matches!(act, Act::Kill { .. }));
        let cut_at = at(|act| matches!(act, Act::Cut { .. }));
        assert!(kill_at < cut_at && kill_at + 1_000 > cut_at, "{:?}", plan.acts);
    }
}

#[test]
fn other_scenes_are_drawn_without_cuts_and_with_the_longest_lease_of_before() {
    for aim in [None, Some("split"), Some("crash,late"), Some("late,reborn")] {
        for seed in SEEDS {
            let plan = Plan::draw(seed, 20_000, aim);
            assert!(!plan.has_cuts && plan.max_hold_ms == MAX_HOLD_MS);
            let is_new =
                |act: &Act| matches!(act, Act::Restart { .. } | Act::Cut { .. } | Act::Long { .. });
            assert!(!plan.acts.iter().any(|(_, act)| is_new(act)));
        }
    }
}

#[test]
fn a_play_is_judged_by_what_its_scenes_can_show() {
    let expected = [
        (None, Shows::NewOwner),
        (Some("late"), Shows::LateCall),
        (Some("late,stray"), Shows::LateCall),
        (Some("crash,late"), Shows::LateCall),
        (Some("recut"), Shows::CutRun),
        (Some("crash,recut"), Shows::CutRun),
        (Some("late,recut"), Shows::LateCallOrCutRun),
        (Some("crash"), Shows::NewOwner),
        (Some("late,split"), Shows::NewOwner),
        (Some("recut,kill"), Shows::NewOwner),
        (Some("no-scene,late"), Shows::NewOwner),
        (Some("kept"), Shows::LateCall),
        (Some("late_clock"), Shows::NewOwner),
        (Some("new_room"), Shows::Effect),
    ];

    for (aim, shows) in expected {
        assert_eq!(Plan::draw(1, 6_000, aim).shows, shows, "{aim:?}");
    }
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

#[test]
fn recut_waits_for_work_on_the_restarted_workers_before_they_are_cut_off_or_the_owner_is_lost() {
    for seed in SEEDS {
        let plan = Plan::draw(seed, 40_000, Some("recut"));
        let places = |is_wanted: fn(&Act) -> bool| -> Vec<usize> {
            let acts = plan.acts.iter().enumerate();
            acts.filter(|(_, (_, act))| is_wanted(act)).map(|(place, _)| place).collect()
        };
        let restarts = places(|act| matches!(act, Act::Restart { .. }));
        let waits = places(|act| matches!(act, Act::AwaitWork { .. }));
        let cuts = places(|act| matches!(act, Act::Cut { .. }));
        assert_eq!((restarts.len(), waits.len()), (cuts.len(), cuts.len()), "{seed}");
        for ((restart, wait), cut) in restarts.iter().zip(&waits).zip(&cuts) {
            assert!(restart < wait && wait < cut, "{seed}: {:?}", plan.acts);
            let lost =
                (*restart..*cut).find(|place| matches!(plan.acts[*place].1, Act::Kill { .. }));
            assert!(lost.is_none_or(|lost| *wait < lost), "{seed}: {:?}", plan.acts);
            let Act::AwaitWork { workers, .. } = plan.acts[*wait].1 else { unreachable!() };
            assert!(matches!(plan.acts[*cut].1, Act::Cut { workers: cut, .. } if cut == workers));
        }
    }
}

#[test]
fn a_way_that_the_pages_leave_open_is_drawn_only_if_it_is_named() {
    for seed in SEEDS {
        for aim in [None, Some("split"), Some("crash,late"), Some("recut"), Some("confirmed")] {
            assert_eq!(Plan::draw(seed, 20_000, aim).variant, None);
        }
        for (scene, ..) in OPEN_SCENES {
            assert!(Plan::draw(seed, 20_000, Some(scene)).variant.is_some(), "{scene}");
        }
    }
}

#[test]
fn a_kept_confirmation_arrives_as_the_first_call_of_a_next_life() {
    for seed in SEEDS {
        let plan = Plan::draw(seed, 8_000, Some("kept"));
        for (at, act) in late_acts(&plan) {
            let Act::Late { workers, lateness, ms } = act else { continue };
            let arrival = (at + lateness.delay_ms.0, at + ms + lateness.delay_ms.1);
            assert!(crashes(&plan, *workers, (at, arrival.0 - 150)), "{seed}: {:?}", plan.acts);
            let is_cut = |(at, act): &(u64, Act)| match act {
                Act::Cut { workers: cut, ms } => {
                    cut == workers && *at < arrival.0 - 150 && at + ms >= arrival.1
                }
                _ => false,
            };
            assert!(plan.acts.iter().any(is_cut), "{seed}: {:?}", plan.acts);
        }
    }
}
