//! Proposes which node should own which duty.
//!
//! A duty is a leased role that one node at a time holds: the ownership of a cell, or of the
//! fleet's VMs. All nodes compute the same proposal from the same list of members; the leased key
//! in the platform's store decides who becomes the owner. An owner keeps its duties as long as it
//! lives, so a node that joins causes no handover.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::Xxh3;

use crate::{Incarnation, NodeId};

/// Start times of nodes are rounded down to a multiple of this, so that nodes that start together
/// are ranked by rendezvous hashing and not by small differences in their start times.
const START_TIME_GRANULARITY_MS: u64 = 1_000;

/// The name of a duty, a leased role that one node at a time holds.
pub type Duty = String;

/// Returns the weight of a node for a duty in rendezvous hashing.
fn rendezvous_weight(duty: &str, node: &NodeId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(duty.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

/// Returns, for each duty without an owner, the nodes in the order in which they should take it
/// over.
///
/// Nodes with the fewest duties come first and, among these, the nodes that started last: in a
/// rolling restart, a node then doesn't take over a duty shortly before its own restart. Rendezvous
/// hashing breaks ties.
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
    let mut unowned: Vec<&Duty> =
        duties.iter().filter(|duty| !owners.contains_key(*duty)).collect();
    unowned.sort_unstable();
    let mut proposal = IndexMap::new();
    for duty in unowned {
        let mut order: Vec<NodeId> = nodes.keys().cloned().collect();
        order.sort_by_key(|node| {
            let count = counts.get(node).copied().unwrap_or(0);
            let started =
                nodes.get(node).map_or(0, |incarnation| incarnation.0 / START_TIME_GRANULARITY_MS);
            (count, Reverse(started), Reverse(rendezvous_weight(duty, node)))
        });
        if let Some(count) = order.first().and_then(|first| counts.get_mut(first)) {
            *count += 1;
        }
        proposal.insert(duty.clone(), order);
    }
    proposal
}
