//! Ways in which workers may act that the users' pages leave open. They hold for a whole play.

use super::{Act, Draw, Rng, Who};
use crate::{
    late::{Kind, Lateness},
    variant::Variant,
};

/// The variant that an aim names, with figures that its seed draws.
pub(super) fn variant(seed: u64, aim: Option<&str>) -> Option<Variant> {
    let mut rng = Rng::new(!seed);
    aim?.split(',').find_map(|scene| match scene {
        "kept" => Some(Variant::KeptConfirmation),
        "late_clock" => Some(Variant::LateClock { ms: rng.between(50, 300) }),
        "old_lists" => Some(Variant::OldLists { ms: rng.between(100, 400) }),
        "missing_run" => Some(Variant::MissingRun { percent: rng.between(1, 5) }),
        "missing_vm" => Some(Variant::MissingVm { percent: rng.between(20, 60) }),
        "new_room" => Some(Variant::NewRoom { percent: rng.between(20, 60) }),
        _ => None,
    })
}

/// A hold that confirms ends is the first call that is carried out in its worker's next life, before any end.
/// Work units end there afterwards.
pub(super) fn kept(draw: &mut Draw, at: u64) {
    // At the beginning of a play, workers have been idle and are rarely called.
    let at = at + 1_500;
    let worker = draw.rng.between(0, draw.workers - 1);
    draw.add(at, Act::Units { worker, count: 48, run_ms: 120 });
    let (hold_at, most) = (at + draw.rng.between(700, 1_100), draw.rng.between(1, 3));
    let late_ms = draw.rng.between(2_000, 3_000);
    let (kinds, delay_ms) = (vec![Kind::Confirming], (late_ms, late_ms));
    let lateness = Lateness { kinds, percent: 100, most, delay_ms, seed: 0 };
    draw.late(hold_at, 1 << worker, 300, lateness);
    let arrival_at = hold_at + late_ms;
    let crash_at = arrival_at - draw.rng.between(200, 500);
    let cut_at = crash_at - 20;
    let until = arrival_at + draw.rng.between(350, 600);
    draw.add(cut_at, Act::Cut { workers: 1 << worker, ms: until - cut_at });
    draw.rebirth(crash_at, worker);
    let units_at = until + draw.rng.between(100, 800);
    draw.add(units_at, Act::Units { worker, count: 24, run_ms: 150 });
}

/// The owner is killed beside short work.
pub(super) fn lists(draw: &mut Draw, at: u64) {
    draw.add(at - 400, Act::Burst { jobs: 12, run_ms: 300 });
    let down_ms = draw.rng.between(0, 3_000);
    draw.add(at, Act::Kill { who: Who::Owner, down_ms });
}

/// Some workers restart with less room than before, and write their entries later, while there is more work than
/// they then have room for; the owner is killed in half of the rounds.
pub(super) fn new_room(draw: &mut Draw, at: u64) {
    let (workers, down_ms) = (draw.some_workers(), draw.rng.between(20, 200));
    let entry_ms = draw.rng.between(0, 2_500);
    draw.add(at, Act::Restart { workers, down_ms, entry_ms });
    let work_at = at + down_ms + draw.rng.between(50, 400);
    draw.add(work_at, Act::Burst { jobs: 40, run_ms: 2_000 });
    if draw.rng.chance(50) {
        let kill_at = work_at + draw.rng.between(50, 1_500);
        let down_ms = draw.rng.between(0, 3_000);
        draw.add(kill_at, Act::Kill { who: Who::Owner, down_ms });
    }
}
