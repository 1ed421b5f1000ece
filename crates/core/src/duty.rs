//! Which node owns which duty.
//!
//! A duty is a role that one node at a time holds for the whole cluster: owning a pool, with the
//! ledger of its slots, or owning a partition of the journal. Rendezvous hashing over the live
//! members *proposes* an owner; a record in the platform's store *decides*. A record names one
//! incarnation of a node and is valid while that incarnation is registered in the store. Each node
//! registers under a single lease, so a duty costs no store call while nothing changes. The store's
//! revision of the record is the fencing token of the term.
//!
//! While the store is down, no node gains a duty, and an owner stops acting on its duties at the
//! deadline of its lease.

use std::{fmt, str::FromStr};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::Xxh3;

use crate::{Epoch, IdError, Incarnation, NodeId, PoolId, Span, Timestamp};

/// A role that one node at a time holds for the whole cluster.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum DutyId {
    /// Owns a pool, with the ledger of its slots.
    Slots(PoolId),
    /// Owns a partition of the journal.
    Journal(u32),
}

impl fmt::Display for DutyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slots(pool) => write!(f, "slots/{pool}"),
            Self::Journal(partition) => write!(f, "journal/{partition}"),
        }
    }
}

/// The error for a text that is not the name of a duty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} names no duty; expected slots/POOL or journal/NUMBER")]
pub struct DutyIdError(String);

impl FromStr for DutyId {
    type Err = DutyIdError;

    fn from_str(text: &str) -> Result<Self, DutyIdError> {
        let fail = || DutyIdError(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(fail)?;
        match kind {
            "slots" => name.parse().map(Self::Slots).map_err(|_: IdError| fail()),
            "journal" => name.parse().map(Self::Journal).map_err(|_| fail()),
            _ => Err(fail()),
        }
    }
}

/// One run of a node's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The node.
    pub node: NodeId,
    /// The number of this run of the node's process.
    pub incarnation: Incarnation,
}

/// A duty's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The owner.
    pub owner: NodeIncarnation,
    /// Holders listed by the previous owner when it handed the duty over; `None` after a claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holders: Option<Vec<NodeIncarnation>>,
    /// Whether an earlier term of the duty precedes this one.
    #[serde(default, rename = "succeeded")]
    pub has_predecessor: bool,
    /// Longest time for which grants of earlier terms may remain valid after the end of the last of
    /// these terms.
    #[serde(default)]
    pub earlier_grants: Span,
    /// Longest time for which a grant by the owner remains valid.
    #[serde(default)]
    pub own_grants: Span,
}

/// One continuous ownership of a duty: its record and its fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// The fencing token: the store's revision of the record.
    pub epoch: Epoch,
    /// The record in the store.
    pub record: Record,
}

/// What a node should do about a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a record that names this node as owner, if the term is still `expected_epoch` and
    /// `expired_owner` is no longer registered.
    Claim {
        /// The duty.
        duty: DutyId,
        /// The term that the claim replaces; zero if the duty has no record.
        expected_epoch: Epoch,
        /// Owner of the term that the claim replaces.
        expired_owner: Option<NodeIncarnation>,
    },
    /// Write a record that names `to` as owner, if the term is still `expected_epoch`.
    HandOver {
        /// The duty.
        duty: DutyId,
        /// The term that this node ends.
        expected_epoch: Epoch,
        /// The next owner.
        to: NodeIncarnation,
    },
}

/// One node's view of the duties, their owners and the registered nodes.
#[derive(Clone, Debug)]
pub struct Duties {
    self_id: NodeIncarnation,
    lease_deadline: Timestamp,
    terms: IndexMap<DutyId, Term>,
    registered: IndexMap<NodeId, Incarnation>,
    unreliable: IndexSet<NodeId>,
    leaving: bool,
}

impl Duties {
    /// Creates a view without members or records.
    #[must_use]
    pub fn new(self_id: NodeIncarnation) -> Self {
        Self {
            self_id,
            lease_deadline: Timestamp(0),
            terms: IndexMap::new(),
            registered: IndexMap::new(),
            unreliable: IndexSet::new(),
            leaving: false,
        }
    }

    /// Sets when the lease of this node's registration expires, counted from when the renewal was
    /// *sent*.
    pub fn set_lease_deadline(&mut self, deadline: Timestamp) {
        self.lease_deadline = deadline;
    }

    /// When the lease of this node's registration expires.
    #[must_use]
    pub fn lease_deadline(&self) -> Timestamp {
        self.lease_deadline
    }

    /// Replaces the set of node incarnations that are registered in the store.
    pub fn set_registered(&mut self, registered: IndexMap<NodeId, Incarnation>) {
        self.registered = registered;
    }

    /// Number of registered nodes.
    #[must_use]
    pub fn registered_count(&self) -> usize {
        self.registered.len()
    }

    /// The registered node incarnations.
    pub fn registered(&self) -> impl Iterator<Item = NodeIncarnation> {
        self.registered
            .iter()
            .map(|(node, &incarnation)| NodeIncarnation { node: node.clone(), incarnation })
    }

    /// Replaces the set of members that gossip considers dead; none of them is proposed as owner.
    pub fn set_unreliable(&mut self, unreliable: IndexSet<NodeId>) {
        self.unreliable = unreliable;
    }

    /// Marks this node as shutting down: it claims no duty and hands over those that it owns.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records a term read from the store; an older term never replaces a newer one.
    pub fn set_term(&mut self, duty: DutyId, term: Term) {
        let newer = self.terms.get(&duty).is_none_or(|known| known.epoch < term.epoch);
        if newer {
            self.terms.insert(duty, term);
        }
    }

    /// The newest known term of a duty.
    #[must_use]
    pub fn term(&self, duty: &DutyId) -> Option<&Term> {
        self.terms.get(duty)
    }

    /// The owner of a duty and its fencing token, if the owner is still registered.
    #[must_use]
    pub fn owner(&self, duty: &DutyId) -> Option<(&NodeIncarnation, Epoch)> {
        let term = self.terms.get(duty)?;
        self.is_registered(&term.record.owner).then_some((&term.record.owner, term.epoch))
    }

    /// The fencing token of this node's term, if this node may act on the duty now.
    ///
    /// Call this before each effect: it returns `None` on a node that was paused until after its
    /// lease expired.
    #[must_use]
    pub fn owned_epoch(&self, duty: &DutyId, now: Timestamp) -> Option<Epoch> {
        let term = self.terms.get(duty)?;
        (term.record.owner == self.self_id && now < self.lease_deadline).then_some(term.epoch)
    }

    /// The duties that this node may act on now, with their terms.
    pub fn owned_terms(&self, now: Timestamp) -> impl Iterator<Item = (&DutyId, &Term)> {
        let is_own = move |(_, term): &(&DutyId, &Term)| term.record.owner == self.self_id;
        self.terms.iter().filter(is_own).filter(move |_| now < self.lease_deadline)
    }

    /// The actions by which this node makes the proposed nodes own the duties in `wanted`.
    #[must_use]
    pub fn plan<'a>(
        &self,
        wanted: impl IntoIterator<Item = &'a DutyId>,
        now: Timestamp,
    ) -> Vec<Action> {
        if now >= self.lease_deadline {
            return Vec::new();
        }
        wanted.into_iter().filter_map(|duty| self.plan_one(duty)).collect()
    }

    fn plan_one(&self, duty: &DutyId) -> Option<Action> {
        let proposed_owner = self.proposed_owner(duty)?;
        let term = self.terms.get(duty);
        let current = term.filter(|term| self.is_registered(&term.record.owner));
        match current {
            None if proposed_owner == self.self_id => Some(Action::Claim {
                duty: duty.clone(),
                expected_epoch: term.map_or(Epoch(0), |term| term.epoch),
                expired_owner: term.map(|term| term.record.owner.clone()),
            }),
            Some(term) if term.record.owner == self.self_id && proposed_owner != self.self_id => {
                Some(Action::HandOver {
                    duty: duty.clone(),
                    expected_epoch: term.epoch,
                    to: proposed_owner,
                })
            }
            _ => None,
        }
    }

    fn is_registered(&self, node_incarnation: &NodeIncarnation) -> bool {
        self.registered.get(&node_incarnation.node) == Some(&node_incarnation.incarnation)
    }

    /// The node that should own a duty: the eligible one with the largest rendezvous weight.
    fn proposed_owner(&self, duty: &DutyId) -> Option<NodeIncarnation> {
        let is_eligible = |node: &NodeId| {
            !(self.unreliable.contains(node) || self.leaving && *node == self.self_id.node)
        };
        let candidates = self.registered.iter().filter(|(node, _)| is_eligible(node));
        let best = candidates.max_by_key(|(node, _)| rendezvous_weight(duty, node))?;
        Some(NodeIncarnation { node: best.0.clone(), incarnation: *best.1 })
    }
}

/// Weight of a node for a duty, by rendezvous hashing.
fn rendezvous_weight(duty: &DutyId, node: &NodeId) -> u64 {
    let mut hasher = Xxh3::new();
    match duty {
        DutyId::Slots(pool) => hasher.update(pool.as_str().as_bytes()),
        DutyId::Journal(partition) => hasher.update(&partition.to_le_bytes()),
    }
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    hasher.digest()
}

#[cfg(test)]
mod tests;
