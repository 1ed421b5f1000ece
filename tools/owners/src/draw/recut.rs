//! Workers that restart in place and are cut off soon after.

use super::{Act, Draw, TIGHT_HOLD_MS, Who};

/// How long an owner may take to find workers that are up again, and to give them work, in milliseconds. Their
/// entries come after up to 2.5 s.
const FINDING_MS: u64 = 3_500;

/// Some workers restart in place together, are given work, and are cut off from all nodes some 2 s later
/// for about 9 s, again and again. In half of the plays the owner is killed shortly before each cut.
pub(super) fn recut(draw: &mut Draw, at: u64) {
    let workers = draw.restarting_workers();
    let is_owner_lost = draw.rng.chance(50);
    let mut at = at;
    loop {
        let cut_at = draw.restart_and_cut(at, workers);
        let mut lost_at = cut_at;
        if is_owner_lost {
            let early = if draw.is_tight() { (10, 60) } else { (100, 800) };
            let kill_at = cut_at - draw.rng.between(early.0, early.1);
            // It is back before another node may claim the cell, or long after.
            let down_ms = if draw.rng.chance(50) { 500 } else { 6_000 };
            draw.add(kill_at, Act::Kill { who: Who::Owner, down_ms });
            lost_at = kill_at;
        }
        draw.add(lost_at - 1, Act::AwaitWork { workers, ms: FINDING_MS });
        at += draw.rng.between(13_500, 14_500);
        if at + 4_000 >= draw.span_ms {
            break;
        }
    }
    draw.busy_until = at;
}

impl Draw {
    /// Two workers or three.
    fn restarting_workers(&mut self) -> u64 {
        let mut workers = 0_u64;
        let count = self.rng.between(2, 3);
        while u64::from(workers.count_ones()) < count {
            workers |= 1 << self.rng.between(0, self.workers - 1);
        }
        workers
    }

    /// One round of `recut`. Returns when the cut begins.
    fn restart_and_cut(&mut self, at: u64, workers: u64) -> u64 {
        let (down_ms, entry_ms) = (self.rng.between(50, 700), self.rng.between(0, 2_500));
        self.add(at, Act::Restart { workers, down_ms, entry_ms });
        let up_at = at + down_ms;
        // A short order finds the new life, so that its run says nothing of the worker's later ones.
        for worker in (0..self.workers).filter(|worker| workers & (1 << worker) != 0) {
            let (short_at, run_ms) = (up_at + self.rng.between(10, 120), self.rng.between(20, 120));
            self.add(short_at, Act::Units { worker, count: 1, run_ms });
        }
        let (found, cut) =
            if self.is_tight() { ((160, 300), (80, 180)) } else { ((300, 700), (700, 1_400)) };
        let found_at = up_at + self.rng.between(found.0, found.1);
        self.add(at, Act::Unheard { workers, ms: found_at - at });
        let cut_at = found_at + self.rng.between(cut.0, cut.1);
        // It takes some time until work that arrives is ordered.
        let (from, to) = if self.is_tight() {
            (found_at - 40, cut_at - 60)
        } else {
            (found_at + 20, cut_at - 120)
        };
        for longest in [12_000, 12_000, 40_000] {
            let (jobs, run_ms) = (self.rng.between(4, 6), self.rng.spread(5_000, longest));
            let run_ms = if longest < 40_000 { run_ms.max(9_500) } else { run_ms };
            let long_at = self.rng.between(from, to);
            self.add(long_at, Act::Long { jobs, run_ms });
        }
        let ms = self.rng.between(8_500, 9_500);
        self.add(cut_at, Act::Cut { workers, ms });
        cut_at
    }

    /// Whether leases are barely longer than the owner asks for. Then one that was given by the clock of the
    /// life before outlasts the owner's own only if the cut comes soon after it.
    fn is_tight(&self) -> bool {
        self.max_hold_ms == TIGHT_HOLD_MS
    }
}
