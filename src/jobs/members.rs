//! The registered nodes and the owners of duties, as read from the store.

#[cfg(test)]
mod tests;

use std::{collections::VecDeque, net::SocketAddr};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use teaselgap_core::{
    Epoch, Incarnation, NodeId, ServiceId, Span, Timestamp,
    job::{Candidate, Duty, OrderRate},
};
use teaselgap_platform::store::Item;

use crate::clock;

/// How long a node that is no longer registered counts as one that may claim duties. It may only have
/// lost its lease, and registers again as soon as it reaches the store.
const FORMER_MEMBER_TIME: Span = Span(30_000);

/// How many terms of a duty are remembered.
const MAX_CLAIMS: usize = 8;

/// The prefix of the keys of members and duties. Each node watches all of them, so their values must
/// be small.
pub(super) const CONTROL_PREFIX: &str = "teaselgap/control/";

/// The prefix of the keys of registered nodes.
pub(super) const MEMBER_PREFIX: &str = "teaselgap/control/member/";

/// The prefix of the keys of duties.
pub(super) const DUTY_PREFIX: &str = "teaselgap/control/seat/";

/// The prefix of the keys that mark the cells whose logs may hold jobs. A cell's owner writes the mark with
/// the log, and deletes it once it knows no job of a service that no route names.
pub(super) const LOG_MARK_PREFIX: &str = "teaselgap/control/log/";

/// The record of a registered node or of a duty's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NodeRecord {
    pub(super) node: NodeId,
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    /// What the node can carry; zero if an earlier version wrote the record.
    #[serde(default)]
    pub(super) order_rate: OrderRate,
}

impl NodeRecord {
    /// Whether this is of a later process than `earlier` at the same node and address, where no two processes listen
    /// at once.
    fn has_replaced(&self, earlier: &Self) -> bool {
        self.node == earlier.node
            && self.address == earlier.address
            && self.incarnation > earlier.incarnation
    }
}

/// The registered nodes and the owners of duties, as read from the store.
#[derive(Debug, Default)]
pub(crate) struct Members {
    pub(super) nodes: IndexMap<NodeId, NodeRecord>,
    pub(super) owners: IndexMap<Duty, (NodeRecord, u64)>,
    /// The services whose cells' logs may hold jobs.
    pub(super) marked_logs: IndexSet<ServiceId>,
    /// The last records of nodes that are no longer registered, each with when it is forgotten. None is while the
    /// store can't be read, which would show that it has registered again.
    former: IndexMap<NodeId, (NodeRecord, Timestamp)>,
    /// When the store was last read.
    read_at: Timestamp,
    /// The last known owner of each duty before the present one, or before its key was deleted, and the revision of
    /// the key, which is the epoch of its term.
    predecessors: IndexMap<Duty, (NodeRecord, u64)>,
    /// The latest terms of each duty that this node has seen, each with when it first was.
    claims: IndexMap<Duty, VecDeque<(Epoch, Timestamp)>>,
    /// The revision up to which the store has been read.
    pub(super) revision: u64,
}

impl Members {
    /// The address of a duty's owner, unless the owner is `own`.
    pub(super) fn owner_address(&self, duty: &str, own: &NodeId) -> Option<SocketAddr> {
        let (record, _) = self.owners.get(duty)?;
        (record.node != *own).then_some(record.address)
    }

    /// The registered nodes, as candidates for duties. The `own` node counts with its current order
    /// rate, which may not be registered yet.
    pub(super) fn candidates(&self, own: (&NodeId, OrderRate)) -> IndexMap<NodeId, Candidate> {
        let candidate = |record: &NodeRecord| Candidate {
            incarnation: record.incarnation,
            order_rate: if record.node == *own.0 { own.1 } else { record.order_rate },
        };
        self.nodes.iter().map(|(node, record)| (node.clone(), candidate(record))).collect()
    }

    /// The most that any node can carry which may claim duties, this one among them.
    pub(super) fn largest_order_rate(&self, own: (&NodeId, OrderRate)) -> OrderRate {
        let rates = self.candidates(own).into_values().map(|candidate| candidate.order_rate);
        rates.max().unwrap_or_default().max(own.1)
    }

    /// The other nodes that may claim duties, with their addresses: those that are registered, and
    /// those that were a moment ago.
    pub(super) fn possible_claimants(&self, own: &NodeId) -> Vec<(NodeId, SocketAddr)> {
        let registered = self.nodes.values().map(|record| (&record.node, record.address));
        let is_known = |forgotten: &Timestamp| self.read_at < *forgotten;
        let former = self.former.iter().filter(|(_, (_, forgotten))| is_known(forgotten));
        let former = former.map(|(node, (record, _))| (node, record.address));
        let all = registered.chain(former).filter(|(node, _)| *node != own);
        all.map(|(node, address)| (node.clone(), address)).collect()
    }

    /// Notes that the store was read at this time.
    pub(super) fn record_reading(&mut self, now: Timestamp) {
        self.read_at = now;
    }

    /// Whether the store has shown a later term of a duty than that of this epoch, even if that is over.
    pub(super) fn has_later_term(&self, duty: &str, epoch: Epoch) -> bool {
        let shown = [self.owners.get(duty), self.predecessors.get(duty)];
        shown.into_iter().flatten().any(|(_, revision)| *revision > epoch.0)
    }

    /// Notes that the store shows this term of a duty at `now`.
    pub(super) fn record_claim(&mut self, duty: &str, epoch: Epoch, now: Timestamp) {
        let claims = self.claims.entry(duty.to_owned()).or_default();
        if claims.iter().any(|(known, _)| *known == epoch) {
            return;
        }
        if claims.len() == MAX_CLAIMS {
            claims.pop_front();
        }
        claims.push_back((epoch, now));
    }

    /// The latest terms of a duty, each with a time after its claim.
    pub(super) fn claims(&self, duty: &str) -> Vec<(Epoch, Timestamp)> {
        self.claims.get(duty).into_iter().flatten().copied().collect()
    }

    fn add_node(&mut self, node: NodeId, record: NodeRecord) {
        self.former.swap_remove(&node);
        self.nodes.insert(node, record);
    }

    fn remove_node(&mut self, node: &NodeId) {
        if let Some(record) = self.nodes.swap_remove(node) {
            let forgotten = clock::now() + FORMER_MEMBER_TIME;
            self.former.insert(node.clone(), (record, forgotten));
        }
    }

    /// The term of the owner before the present one of a duty, if the process that had it has ended: it sends
    /// nothing more. A later process at its address shows that, be it this one, whose record is `own`.
    pub(super) fn ended_predecessor(&self, duty: &str, own: &NodeRecord) -> Option<Epoch> {
        let (predecessor, revision) = self.predecessors.get(duty)?;
        let former = self.former.get(&predecessor.node).map(|(record, _)| record);
        let mut later =
            [Some(own), self.nodes.get(&predecessor.node), former].into_iter().flatten();
        later.any(|record| record.has_replaced(predecessor)).then_some(Epoch(*revision))
    }

    /// Notes the owner of a duty in the term that begins at `revision`. What is learned of an earlier term than the
    /// latest known one says only who came before.
    pub(super) fn record_owner(&mut self, duty: &str, record: NodeRecord, revision: u64) {
        match self.owners.get(duty) {
            Some((_, known)) if revision < *known => {
                self.record_predecessor(duty, (record, revision));
            }
            Some((_, known)) if revision == *known => {}
            _ => {
                let earlier = self.owners.insert(duty.to_owned(), (record, revision));
                if let Some(earlier) = earlier {
                    self.record_predecessor(duty, earlier);
                }
            }
        }
    }

    /// Notes that a term of a duty is over, unless a later one is known to be.
    fn record_predecessor(&mut self, duty: &str, owner: (NodeRecord, u64)) {
        let known = self.predecessors.get(duty);
        if known.is_none_or(|(_, revision)| *revision < owner.1) {
            self.predecessors.insert(duty.to_owned(), owner);
        }
    }

    /// Notes that the key of a duty was deleted at `revision`, unless it has been written since.
    fn remove_owner(&mut self, duty: &str, revision: u64) {
        let is_later = self.owners.get(duty).is_some_and(|(_, known)| revision < *known);
        if !is_later && let Some(owner) = self.owners.swap_remove(duty) {
            self.record_predecessor(duty, owner);
        }
    }

    pub(super) fn apply_change(&mut self, key: &str, value: Option<&[u8]>, revision: u64) {
        let record = value.and_then(|value| serde_json::from_slice::<NodeRecord>(value).ok());
        if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
            let Ok(node) = name.parse::<NodeId>() else {
                return;
            };
            match record {
                Some(record) => self.add_node(node, record),
                None => self.remove_node(&node),
            }
        } else if let Some(duty) = key.strip_prefix(DUTY_PREFIX) {
            match record {
                Some(record) => {
                    self.record_claim(duty, Epoch(revision), clock::now());
                    self.record_owner(duty, record, revision);
                }
                None => self.remove_owner(duty, revision),
            }
        } else if let Some(service) = key.strip_prefix(LOG_MARK_PREFIX) {
            let Ok(service) = service.parse::<ServiceId>() else {
                return;
            };
            match value {
                Some(_) => self.marked_logs.insert(service),
                None => self.marked_logs.shift_remove(&service),
            };
        }
    }

    pub(super) fn replace_all(&mut self, items: &[Item], revision: u64) {
        let nodes: Vec<NodeId> = self.nodes.keys().cloned().collect();
        for node in nodes {
            self.remove_node(&node);
        }
        // A claim that was made after the reading is missing from it.
        let is_over = |_: &Duty, (_, claimed): &mut (NodeRecord, u64)| *claimed <= revision;
        let earlier: Vec<_> = self.owners.extract_if(.., is_over).collect();
        self.marked_logs.clear();
        for item in items {
            self.apply_change(&item.key, Some(&item.value), item.revision);
        }
        for (duty, owner) in earlier {
            let is_present = self.owners.get(&duty).is_some_and(|(_, claimed)| *claimed == owner.1);
            if !is_present {
                self.record_predecessor(&duty, owner);
            }
        }
        self.revision = revision;
    }
}
