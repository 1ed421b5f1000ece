//! Nodes that are frozen, killed or stopped, and their links.

use super::{Act, Draw, To, Who};
use crate::links::Way;

pub(super) fn freeze(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (who, ms) = (draw.who(), draw.rng.spread(100, 12_000));
    draw.add(at, Act::Freeze { who, ms });
}

pub(super) fn kill(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let down_ms = if draw.rng.chance(50) { 0 } else { draw.rng.spread(50, 5_000) };
    let who = draw.who();
    draw.add(at, Act::Kill { who, down_ms });
}

pub(super) fn stop(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (who, down_ms) = (draw.who(), draw.rng.spread(0, 3_000));
    draw.add(at, Act::Stop { who, down_ms });
}

pub(super) fn links(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let who = draw.who();
    let to = match draw.rng.between(0, 9) {
        0..=4 => To::Workers(draw.some_workers()),
        5 => To::Nodes,
        6 => To::Node(draw.other()),
        _ => To::Store,
    };
    let ms = draw.rng.spread(200, 8_000);
    match draw.rng.between(0, 2) {
        0 => draw.cut(at, who, to, ms),
        1 => {
            let way = draw.way();
            draw.add(at, Act::Hold { who, to, way, ms });
        }
        _ => {
            let (way, latency_ms) = (draw.way(), draw.rng.spread(50, 3_000));
            draw.add(at, Act::Slow { who, to, way, latency_ms, ms });
        }
    }
}

/// The owner is stopped in order while a link to some workers holds its orders.
pub(super) fn handover(draw: &mut Draw, at: u64) {
    draw.burst(at + 150);
    let (to, ms) = (To::Workers(draw.some_workers()), draw.rng.between(1_500, 4_000));
    draw.add(at, Act::Hold { who: Who::Owner, to, way: Way::Out, ms });
    let stop_at = at + draw.rng.between(160, 600);
    draw.add(stop_at, Act::Stop { who: Who::Owner, down_ms: 500 });
    if draw.rng.chance(50) {
        let (begin, ms) = (draw.rng.between(1, 300), draw.rng.between(500, 5_000));
        draw.add(stop_at + begin, Act::Freeze { who: Who::Owner, ms });
    }
}

/// The owner is killed twice within a second, while an earlier owner may be frozen.
pub(super) fn chain(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let is_frozen = draw.rng.chance(60);
    let ms = draw.rng.between(2_500, 9_000);
    if is_frozen {
        draw.add(at, Act::Freeze { who: Who::Owner, ms });
    }
    let kill_at = if is_frozen { at + draw.rng.between(2_200, 4_500) } else { at + 1 };
    draw.burst(kill_at);
    let gap_ms = draw.rng.between(100, 900);
    draw.add(kill_at, Act::KillTwice { who: Who::Owner, gap_ms });
}

/// The owner is frozen in the middle of sending; the next one doesn't reach some of the workers.
pub(super) fn sleeper(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (ms, to) = (draw.rng.between(1_900, 9_000), To::Workers(draw.some_workers()));
    for place in 1..draw.nodes as usize {
        draw.cut(at, Who::Other(place), to, ms + 800);
    }
    draw.add(at, Act::Freeze { who: Who::Owner, ms });
}
