//! Workers that crash and start again.

use super::{Act, Draw, To, Who};
use crate::links::Way;

pub(super) fn crash(draw: &mut Draw, at: u64) {
    let (worker, down_ms) = (draw.rng.between(0, draw.workers - 1), draw.rng.spread(50, 5_000));
    draw.add(at, Act::Crash { worker, down_ms });
}

/// A worker starts again, and its answers are held up so that the owner doesn't know; the owner's next
/// orders reach the new life, and the next owner doesn't reach it.
pub(super) fn reborn(draw: &mut Draw, at: u64) {
    let worker = draw.rng.between(0, draw.workers - 1);
    let to = To::Workers(1 << worker);
    draw.add(at, Act::Hold { who: Who::Owner, to, way: Way::Back, ms: 2_500 });
    draw.add(at + 5, Act::Crash { worker, down_ms: draw.rng.clone().between(5, 60) });
    let run_ms = draw.rng.between(8_000, 13_000);
    draw.add(at + 100, Act::Burst { jobs: 12, run_ms });
    let end_at = at + draw.rng.between(300, 700);
    for place in 0..draw.nodes as usize {
        let who = if place == 0 { Who::Owner } else { Who::Other(place) };
        draw.cut(end_at, who, to, 12_000);
    }
    let act = match draw.rng.between(0, 2) {
        0 => Act::Stop { who: Who::Owner, down_ms: 500 },
        1 => Act::Kill { who: Who::Owner, down_ms: 0 },
        _ => Act::KillTwice { who: Who::Owner, gap_ms: 400 },
    };
    draw.add(end_at + 1, act);
}
