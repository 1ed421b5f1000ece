//! Deployments that fall into parts, each with nodes and workers.

use super::{Act, Draw, To, Who};
use crate::store::Mode;

/// Some workers, the owner and a node beside it are cut off from all others and from the store.
pub(super) fn split(draw: &mut Draw, at: u64) {
    part(draw, at, (6_000, 17_000), None);
}

/// As `split`, but the node beside the owner soon reaches the store again, and the next owner is killed
/// and started at once when it has just claimed the cell.
pub(super) fn heir(draw: &mut Draw, at: u64) {
    let word_ms = draw.rng.between(3_200, 4_000);
    part(draw, at, (11_000, 15_000), Some(word_ms));
    let kill_at = at + draw.rng.between(2_300, 2_800);
    draw.add(kill_at, Act::Kill { who: Who::Owner, down_ms: 0 });
}

/// All leases expire while the store is down. The owner is back first, claims the cell, and loses the
/// store before any other node has registered again; it and the others reach different workers.
pub(super) fn alone(draw: &mut Draw, at: u64) {
    let run_ms = draw.rng.between(12_000, 18_000);
    draw.add(at - 800, Act::Burst { jobs: 10, run_ms });
    let (down_ms, ms) = (draw.rng.between(2_200, 3_500), draw.rng.between(11_000, 15_000));
    draw.add(at, Act::Down { ms: down_ms, expires: true, entries: 0 });
    let leave_at = at + down_ms + draw.rng.between(900, 1_500);
    let (mode, back_ms) = (draw.away(), leave_at - at + draw.rng.between(50, 400));
    let all = (1 << draw.workers) - 1;
    let near = draw.rng.between(1, all - 1);
    for place in 1..draw.nodes as usize {
        draw.add(at, Act::Store { who: Who::Other(place), mode: Mode::Refuse, ms: back_ms });
        draw.cut(leave_at, Who::Other(place), To::Workers(near), ms);
    }
    draw.add(leave_at, Act::Store { who: Who::Owner, mode, ms });
    draw.cut(leave_at, Who::Owner, To::Workers(all & !near), ms);
}

/// Cuts off the owner for a time drawn from the range, and the node beside it from the store for
/// `word_ms`, or as long.
fn part(draw: &mut Draw, at: u64, (low, high): (u64, u64), word_ms: Option<u64>) {
    let run_ms = draw.rng.between(12_000, 18_000);
    draw.add(at - 800, Act::Burst { jobs: 10, run_ms });
    let (ms, mode) = (draw.rng.between(low, high), draw.away());
    let beside = draw.rng.between(1, draw.nodes - 1) as usize;
    let all = (1 << draw.workers) - 1;
    let near = draw.rng.between(1, all - 1);
    draw.add(at, Act::Store { who: Who::Owner, mode, ms });
    draw.add(at, Act::Store { who: Who::Other(beside), mode, ms: word_ms.unwrap_or(ms) });
    for place in 0..draw.nodes as usize {
        let is_near = place == 0 || place == beside;
        let who = if place == 0 { Who::Owner } else { Who::Other(place) };
        draw.cut(at, who, To::Workers(if is_near { all & !near } else { near }), ms);
        if is_near {
            continue;
        }
        for near_node in [Who::Owner, Who::Other(beside)] {
            draw.cut(at, near_node, To::Node(who), ms);
            draw.cut(at, who, To::Node(near_node), ms);
        }
    }
}
