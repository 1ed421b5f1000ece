//! Calls to workers that come late, in whichever life is up then.

use super::{Act, Draw, To, Who};
use crate::late::{Kind, Lateness};

/// For some seconds a share of the calls to some workers is late; these crash and are soon back.
pub(super) fn late(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (workers, ms) = (draw.some_workers(), draw.rng.between(1_500, 4_000));
    let delay_ms = (2_000, draw.rng.between(2_500, 12_000));
    let percent = draw.rng.spread(5, 50);
    let lateness = Lateness { kinds: Kind::ALL.to_vec(), percent, most: 1_000, delay_ms, seed: 0 };
    draw.late(at, workers, ms, lateness);
    let again = at + draw.rng.between(300, ms);
    draw.burst(again);
    for worker in (0..draw.workers).filter(|worker| workers & (1 << worker) != 0) {
        if draw.rng.chance(70) {
            let crash_at = at + draw.rng.between(400, ms + 1_500);
            draw.rebirth(crash_at, worker);
        }
    }
}

/// A hold that confirms ends is carried out in its worker's next life, just after work units have
/// ended there of which the owner can't hear yet.
pub(super) fn confirmed(draw: &mut Draw, at: u64) {
    // At the beginning of a play, workers have been idle and are rarely called.
    let at = at + 1_500;
    let worker = draw.rng.between(0, draw.workers - 1);
    draw.add(at, Act::Units { worker, count: 48, run_ms: 120 });
    let (hold_at, most) = (at + draw.rng.between(900, 1_300), draw.rng.between(1, 3));
    let late_ms = draw.rng.between(2_500, 4_500);
    let (kinds, delay_ms) = (vec![Kind::Confirming], (late_ms, late_ms));
    let lateness = Lateness { kinds, percent: 100, most, delay_ms, seed: 0 };
    draw.late(hold_at, 1 << worker, 300, lateness);
    draw.rebirth(hold_at + 400, worker);
    let arrival_at = hold_at + late_ms;
    let units_at = arrival_at - draw.rng.between(350, 900);
    draw.add(units_at, Act::Units { worker, count: 24, run_ms: 150 });
    let blink_at = arrival_at - draw.rng.between(50, 300);
    draw.blink(blink_at, worker);
}

/// Start orders are carried out in their worker's next life, when the work units were done elsewhere.
pub(super) fn stray(draw: &mut Draw, at: u64) {
    let worker = draw.rng.between(0, draw.workers - 1);
    let (jobs, run_ms) = (draw.rng.between(6, 12), draw.rng.between(150, 600));
    let longest = draw.rng.between(2_500, 9_000);
    let kinds = if draw.rng.chance(60) { vec![Kind::Start] } else { vec![Kind::Start, Kind::Stop] };
    let (percent, most) = (draw.rng.between(50, 100), draw.rng.between(2, 12));
    let lateness = Lateness { kinds, percent, most, delay_ms: (2_000, longest), seed: 0 };
    draw.late(at, 1 << worker, 900, lateness);
    draw.add(at + 20, Act::Burst { jobs, run_ms });
    let crash_at = at + draw.rng.between(200, 1_200);
    draw.rebirth(crash_at, worker);
    if draw.rng.chance(50) {
        let blink_at = at + draw.rng.between(1_900, longest);
        draw.blink(blink_at, worker);
    }
}

impl Draw {
    /// Makes calls to these workers late, by a seed that is drawn here.
    pub(super) fn late(&mut self, at: u64, workers: u64, ms: u64, lateness: Lateness) {
        let seed = self.rng.next();
        self.add(at, Act::Late { workers, ms, lateness: Lateness { seed, ..lateness } });
    }

    /// A worker crashes and soon starts again under its id.
    pub(super) fn rebirth(&mut self, at: u64, worker: u64) {
        let down_ms = self.rng.between(5, 150);
        self.add(at, Act::Crash { worker, down_ms });
    }

    /// The owner can't reach a worker for a moment.
    fn blink(&mut self, at: u64, worker: u64) {
        let ms = self.rng.between(100, 900);
        self.cut(at, Who::Owner, To::Workers(1 << worker), ms);
    }
}
