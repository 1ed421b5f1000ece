//! Which node should own which duty.
//!
//! A duty is a task that one node at a time does for all: a cell, or the machines of the fleet.
//! Every node computes the same proposal from the same members; the leased key in the platform's
//! store decides. Owners stay as long as they live, so a node that joins moves nothing.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::Xxh3;

use crate::{Incarnation, NodeId};

/// Nodes that started within this many milliseconds of each other started together.
const STARTED_TOGETHER_MS: u64 = 1_000;

/// A task with one owner, by its name.
pub type Duty = String;

fn weight(duty: &str, node: &NodeId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(duty.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

/// The nodes in the order in which each free duty falls to them: those with the fewest duties come
/// first, and among them those that started last, so that nodes which are restarted one after the
/// other don't hand a duty on to a node that is restarted next. Rendezvous hashing decides the
/// rest.
#[must_use]
pub fn propose_owners(
    duties: &IndexSet<Duty>,
    owners: &IndexMap<Duty, NodeId>,
    nodes: &IndexMap<NodeId, Incarnation>,
) -> IndexMap<Duty, Vec<NodeId>> {
    let mut counts: IndexMap<&NodeId, usize> = nodes.keys().map(|node| (node, 0)).collect();
    for owner in owners.values() {
        if let Some(count) = counts.get_mut(owner) {
            *count += 1;
        }
    }
    let mut free: Vec<&Duty> = duties.iter().filter(|duty| !owners.contains_key(*duty)).collect();
    free.sort_unstable();
    let mut proposal = IndexMap::new();
    for duty in free {
        let mut order: Vec<NodeId> = nodes.keys().cloned().collect();
        order.sort_by_key(|node| {
            let count = counts.get(node).copied().unwrap_or(0);
            let started = nodes.get(node).map_or(0, |one| one.0 / STARTED_TOGETHER_MS);
            (count, Reverse(started), Reverse(weight(duty, node)))
        });
        if let Some(count) = order.first().and_then(|first| counts.get_mut(first)) {
            *count += 1;
        }
        proposal.insert(duty.clone(), order);
    }
    proposal
}
