//! A store that some nodes, or all, can't use.

use super::{Act, Draw, To, Who};
use crate::store::Mode;

pub(super) fn store(draw: &mut Draw, at: u64) {
    let mode = match draw.rng.between(0, 5) {
        0 => Mode::Mute,
        1 => Mode::Late(draw.rng.spread(300, 4_000)),
        _ => draw.away(),
    };
    let ms = draw.rng.spread(500, 9_000);
    let is_for_many = draw.rng.chance(40);
    for place in 0..draw.nodes {
        let who = if place == 0 { Who::Owner } else { Who::Other(place as usize) };
        if (place == 0 && draw.rng.chance(80)) || (place > 0 && is_for_many && draw.rng.chance(60))
        {
            draw.add(at, Act::Store { who, mode, ms });
        }
    }
}

pub(super) fn down(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (ms, expires) = (draw.rng.spread(500, 9_000), draw.rng.chance(60));
    let entries = if draw.rng.chance(50) { draw.some_workers() } else { 0 };
    draw.add(at, Act::Down { ms, expires, entries });
}

/// The store is away for 1.5 s, back for 0.3 s, and away again.
pub(super) fn flap(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (rounds, mode) = (draw.rng.between(2, 4), draw.away());
    let is_for_all = draw.rng.chance(60);
    for place in 0..if is_for_all { draw.nodes } else { 1 } {
        let who = if place == 0 { Who::Owner } else { Who::Other(place as usize) };
        for round in 0..rounds {
            draw.add(at + 1_800 * round, Act::Store { who, mode, ms: 1_500 });
        }
    }
}

/// Leases and entries end while the store is down; the owner loses its place on its return.
pub(super) fn lapse(draw: &mut Draw, at: u64) {
    draw.burst(at);
    let (ms, entries) = (draw.rng.between(2_000, 7_000), draw.some_workers());
    draw.add(at, Act::Down { ms, expires: true, entries });
    let cut_ms = ms + draw.rng.between(500, 4_000);
    let to = To::Workers(entries);
    if draw.rng.chance(50) {
        draw.cut(at + 200, Who::Owner, to, cut_ms);
    }
    if draw.rng.chance(50) {
        draw.add(at + draw.rng.clone().between(100, ms), Act::Freeze { who: Who::Owner, ms });
    }
}
