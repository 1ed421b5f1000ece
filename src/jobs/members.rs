//! The registered nodes and the owners of duties, as the store tells.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use teaselgap_core::{Incarnation, NodeId, job::Duty};
use teaselgap_platform::store::Item;

/// Everything under here is small and watched by each node.
pub(super) const CONTROL_PREFIX: &str = "teaselgap/control/";

/// The keys of members.
pub(super) const MEMBER_PREFIX: &str = "teaselgap/control/member/";

/// The keys of duties.
pub(super) const DUTY_PREFIX: &str = "teaselgap/control/seat/";

/// The record of a registered node or of a duty's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NodeRecord {
    pub(super) node: NodeId,
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
}

/// The registered nodes and the owners of duties, as the store tells.
#[derive(Debug, Default)]
pub(crate) struct Members {
    pub(super) nodes: IndexMap<NodeId, NodeRecord>,
    pub(super) owners: IndexMap<Duty, (NodeRecord, u64)>,
    /// The last owners of duties, before this node took them.
    pub(super) predecessors: IndexMap<Duty, NodeRecord>,
    /// The revision up to which the store has been read.
    pub(super) revision: u64,
}

impl Members {
    /// Where the owner of a duty is, unless it is `own`.
    pub(super) fn owner_address(&self, duty: &str, own: &NodeId) -> Option<SocketAddr> {
        let (record, _) = self.owners.get(duty)?;
        (record.node != *own).then_some(record.address)
    }

    pub(super) fn other_addresses(&self, own: &NodeId) -> Vec<SocketAddr> {
        let others = self.nodes.values().filter(|record| record.node != *own);
        others.map(|record| record.address).collect()
    }

    /// Whether a process has registered under the name of `earlier` after it.
    pub(super) fn has_successor(&self, predecessor: &NodeRecord) -> bool {
        let current = self.nodes.get(&predecessor.node);
        current.is_some_and(|current| {
            current.incarnation > predecessor.incarnation && current.address == predecessor.address
        })
    }

    pub(super) fn apply_change(&mut self, key: &str, value: Option<&[u8]>, revision: u64) {
        let record = value.and_then(|value| serde_json::from_slice::<NodeRecord>(value).ok());
        if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
            let Ok(node) = name.parse::<NodeId>() else {
                return;
            };
            match record {
                Some(record) => self.nodes.insert(node, record),
                None => self.nodes.swap_remove(&node),
            };
        } else if let Some(duty) = key.strip_prefix(DUTY_PREFIX) {
            match record {
                Some(record) => {
                    self.owners.insert(duty.to_owned(), (record, revision));
                }
                None => {
                    if let Some((record, _)) = self.owners.swap_remove(duty) {
                        self.predecessors.insert(duty.to_owned(), record);
                    }
                }
            }
        }
    }

    pub(super) fn replace_all(&mut self, items: &[Item], revision: u64) {
        self.nodes.clear();
        for (duty, (record, _)) in self.owners.drain(..) {
            self.predecessors.insert(duty, record);
        }
        for item in items {
            self.apply_change(&item.key, Some(&item.value), item.revision);
        }
        self.revision = revision;
    }
}
