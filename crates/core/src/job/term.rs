//! Proposes which node should own which duty.
//!
//! A duty is a leased role that one node at a time holds: the ownership of a cell, or of the
//! fleet's VMs. All nodes compute the same proposal from the same list of members; the leased key
//! in the platform's store decides who becomes the owner. An owner keeps its duties as long as it
//! lives, so a node that joins causes no handover.

#[cfg(test)]
mod tests;

use std::{cmp::Reverse, fmt, num::ParseIntError, str::FromStr};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{LinkRate, flow::START_CPU_US};
use crate::{Incarnation, NodeId};

/// Start times of nodes are rounded down to a multiple of this, so that nodes that start together
/// are ranked by rendezvous hashing and not by small differences in their start times.
const START_TIME_GRANULARITY_MS: u64 = 1_000;

/// Keeps the division in [`relative_load`] precise.
const RELATIVE_LOAD_SCALE: u64 = 1 << 32;

/// The name of a duty, a leased role that one node at a time holds.
pub type Duty = String;

/// How many orders to workers a node can send in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderRate(pub u64);

impl OrderRate {
    /// Returns the rate that a link and a processor, in thousandths of a core, allow; the scarcer
    /// of the two decides.
    #[must_use]
    pub fn from_resources(link: LinkRate, cpu_milli: u64) -> Self {
        let by_link = link.0 / ORDER_BYTES;
        let by_cpu = cpu_milli * 1_000 / START_CPU_US;
        Self(by_link.min(by_cpu).max(1))
    }
}

impl fmt::Display for OrderRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl OrderRate {
    /// Returns the rate that a node counts with while it lags behind its work.
    #[must_use]
    pub fn while_lagging(self) -> Self {
        Self((self.0 / LAGGING_DIVISOR).max(1))
    }
}

impl FromStr for OrderRate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix("/s").unwrap_or(text).parse().map(Self)
    }
}

/// Bytes that the order to start a task, its answer and its share of the worker's lists take on
/// the link in the busier direction.
const ORDER_BYTES: u64 = 2_500;

/// A lagging node counts with its order rate divided by this.
const LAGGING_DIVISOR: u64 = 8;

/// The factor by which the relative load of a duty's owner must shrink for a handover, which
/// interrupts the work of the duty for a moment.
const MIN_HANDOVER_GAIN: u64 = 3;

/// A node that may take over duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identifies the node's process.
    pub incarnation: Incarnation,
    /// What the node can carry.
    pub order_rate: OrderRate,
}

/// Returns the weight of a node for a duty in rendezvous hashing.
fn rendezvous_weight(duty: &str, node: &NodeId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(duty.as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

/// The number of duties in relation to what the node can carry.
fn relative_load(duties: usize, order_rate: OrderRate) -> u64 {
    (duties as u64 * RELATIVE_LOAD_SCALE).checked_div(order_rate.0).unwrap_or(u64::MAX)
}

/// Returns, for each duty without an owner, the nodes in the order in which they should take it
/// over.
///
/// Nodes that would have the fewest duties for what they can carry come first: a burst of one
/// queue can ask its cell's owner for more than a small node can send. Among equals, the nodes
/// that started last come first: in a rolling restart, a node then doesn't take over a duty shortly
/// before its own restart. Rendezvous hashing breaks ties.
#[must_use]
pub fn propose_owners(
    duties: &IndexSet<Duty>,
    owners: &IndexMap<Duty, NodeId>,
    nodes: &IndexMap<NodeId, Candidate>,
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
        order.sort_by_key(|name| {
            let count = counts.get(name).copied().unwrap_or(0);
            let Candidate { incarnation, order_rate } = nodes[name];
            let started = incarnation.0 / START_TIME_GRANULARITY_MS;
            let weight = rendezvous_weight(duty, name);
            (relative_load(count + 1, order_rate), Reverse(started), Reverse(weight))
        });
        if let Some(count) = order.first().and_then(|first| counts.get_mut(first)) {
            *count += 1;
        }
        proposal.insert(duty.clone(), order);
    }
    proposal
}

/// Returns which of its own duties a node should hand over: the first movable one, if another node
/// would be left with a relative load [`MIN_HANDOVER_GAIN`] times smaller than this node's.
///
/// `movable` are the duties that this node owns and may hand over.
#[must_use]
pub fn duty_to_hand_over(
    own: &NodeId,
    movable: &[Duty],
    owners: &IndexMap<Duty, NodeId>,
    nodes: &IndexMap<NodeId, Candidate>,
) -> Option<Duty> {
    let count = |node: &NodeId| owners.values().filter(|owner| *owner == node).count();
    let load_here = relative_load(count(own), nodes.get(own)?.order_rate);
    let others = nodes.iter().filter(|(node, _)| *node != own);
    let load_elsewhere =
        others.map(|(node, other)| relative_load(count(node) + 1, other.order_rate)).min()?;
    let is_worth_it = load_elsewhere.saturating_mul(MIN_HANDOVER_GAIN) <= load_here;
    movable.first().filter(|_| is_worth_it).cloned()
}
