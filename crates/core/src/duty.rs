//! Which node owns which duty.
//!
//! A duty is a task that one node at a time does for all: keeping a pool's slots, or owning a
//! journal partition. Rendezvous hashing over the live members *proposes* an owner; a record in the
//! platform's store *decides*. A record names one incarnation of a node, and it stands for as long
//! as that incarnation is registered in the store under the node's one lease, so a duty costs no
//! store call while nothing changes. The store's revision of the record is the fencing token of the
//! term.
//!
//! While the store is down nobody gains a duty, and an owner stops at its stored deadline.

use std::{fmt, str::FromStr};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use xxhash_rust::xxh3::Xxh3;

use crate::{Epoch, IdError, Incarnation, NodeId, PoolId, Span, Timestamp};

/// A task that one node at a time does for all.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum DutyId {
    /// Keeps the ledger of a pool's slots.
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

/// A text that names no duty.
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
    /// Which run of the node's process it is.
    pub incarnation: Incarnation,
}

/// A duty's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The owner.
    pub owner: NodeIncarnation,
    /// Holders that the last owner named when it handed the duty over; `None` after a claim.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holders: Option<Vec<NodeIncarnation>>,
    /// Whether the duty ever had another owner.
    #[serde(default)]
    pub succeeded: bool,
    /// The longest that grants of earlier terms can stand after the end of the last one.
    #[serde(default)]
    pub earlier_grants: Span,
    /// The longest that the owner's own grants can stand.
    #[serde(default)]
    pub own_grants: Span,
}

/// A record with the fencing token that the store gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// The store's revision of the record.
    pub epoch: Epoch,
    /// What the record says.
    pub record: Record,
}

/// What a node should do about a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write a record that names this node, if the term is still `expected` (zero: no record) and
    /// the node incarnation in `expired_owner` is not registered any more.
    Claim {
        /// The duty.
        duty: DutyId,
        /// Term that the claim follows.
        expected: Epoch,
        /// The former owner.
        expired_owner: Option<NodeIncarnation>,
    },
    /// Write a record that names `to`, if the term is still `expected`.
    HandOver {
        /// The duty.
        duty: DutyId,
        /// The term that this node gives up.
        expected: Epoch,
        /// The next owner.
        to: NodeIncarnation,
    },
}

/// One node's view of all duties.
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
    /// A view without members or records.
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

    /// Until when this node's registration stands; counted from when the renewal was *sent*.
    pub fn set_lease_deadline(&mut self, deadline: Timestamp) {
        self.lease_deadline = deadline;
    }

    /// Until when this node's registration stands.
    #[must_use]
    pub fn lease_deadline(&self) -> Timestamp {
        self.lease_deadline
    }

    /// Replaces the node incarnations that are registered in the store.
    pub fn set_registered(&mut self, registered: IndexMap<NodeId, Incarnation>) {
        self.registered = registered;
    }

    /// How many nodes are registered.
    #[must_use]
    pub fn registered_count(&self) -> usize {
        self.registered.len()
    }

    /// The node incarnations that are registered.
    pub fn registered(&self) -> impl Iterator<Item = NodeIncarnation> {
        self.registered
            .iter()
            .map(|(node, &incarnation)| NodeIncarnation { node: node.clone(), incarnation })
    }

    /// Replaces the members that gossip takes for dead; they are proposed nothing.
    pub fn set_unreliable(&mut self, unreliable: IndexSet<NodeId>) {
        self.unreliable = unreliable;
    }

    /// This node is shutting down and gives everything away.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in a record that the store showed; an older term never replaces a newer one.
    pub fn set_term(&mut self, duty: DutyId, term: Term) {
        let newer = self.terms.get(&duty).is_none_or(|known| known.epoch < term.epoch);
        if newer {
            self.terms.insert(duty, term);
        }
    }

    /// The newest term of a duty that is known here.
    #[must_use]
    pub fn term(&self, duty: &DutyId) -> Option<&Term> {
        self.terms.get(duty)
    }

    /// The registered node incarnation that owns a duty.
    #[must_use]
    pub fn owner(&self, duty: &DutyId) -> Option<(&NodeIncarnation, Epoch)> {
        let term = self.terms.get(duty)?;
        self.is_registered(&term.record.owner).then_some((&term.record.owner, term.epoch))
    }

    /// The fencing token of this node's term, if it may act on the duty now.
    ///
    /// Ask before each effect: a node that was paused past its lease gets `None`.
    #[must_use]
    pub fn owned_epoch(&self, duty: &DutyId, now: Timestamp) -> Option<Epoch> {
        let term = self.terms.get(duty)?;
        (term.record.owner == self.self_id && now < self.lease_deadline).then_some(term.epoch)
    }

    /// All duties that this node may act on now.
    pub fn owned_terms(&self, now: Timestamp) -> impl Iterator<Item = (&DutyId, &Term)> {
        let mine = move |(_, term): &(&DutyId, &Term)| term.record.owner == self.self_id;
        self.terms.iter().filter(mine).filter(move |_| now < self.lease_deadline)
    }

    /// What this node should do so that the duties in `wanted` are owned as proposed.
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
        let proposed = self.proposed(duty)?;
        let term = self.terms.get(duty);
        let standing = term.filter(|term| self.is_registered(&term.record.owner));
        match standing {
            None if proposed == self.self_id => Some(Action::Claim {
                duty: duty.clone(),
                expected: term.map_or(Epoch(0), |term| term.epoch),
                expired_owner: term.map(|term| term.record.owner.clone()),
            }),
            Some(term) if term.record.owner == self.self_id && proposed != self.self_id => {
                Some(Action::HandOver { duty: duty.clone(), expected: term.epoch, to: proposed })
            }
            _ => None,
        }
    }

    fn is_registered(&self, life: &NodeIncarnation) -> bool {
        self.registered.get(&life.node) == Some(&life.incarnation)
    }

    fn proposed(&self, duty: &DutyId) -> Option<NodeIncarnation> {
        let able = |node: &NodeId| {
            !(self.unreliable.contains(node) || self.leaving && *node == self.self_id.node)
        };
        let candidates = self.registered.iter().filter(|(node, _)| able(node));
        let best = candidates.max_by_key(|(node, _)| rendezvous(duty, node))?;
        Some(NodeIncarnation { node: best.0.clone(), incarnation: *best.1 })
    }
}

fn rendezvous(duty: &DutyId, node: &NodeId) -> u64 {
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
