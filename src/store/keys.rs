//! The layout of the keys in the store.

#[cfg(test)]
mod tests;

use teaselgap_core::{
    CustomerId, RequestId, ServiceId, VmId,
    duty::{DutyId, NodeIncarnation},
    journal::Sequence,
};

/// Builds and parses the store's keys, all under one prefix.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    prefix: String,
}

/// A parsed key under the control prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ControlKey {
    Head,
    Service(ServiceId),
    Node(NodeIncarnation),
    Duty(DutyId),
    Vm(VmId),
}

impl Keys {
    pub(crate) fn new(prefix: &str) -> Self {
        Self { prefix: prefix.to_owned() }
    }

    /// The control prefix: each node watches all keys under it.
    pub(crate) fn control(&self) -> String {
        format!("{}control/", self.prefix)
    }

    /// The key that holds the newest generation.
    pub(crate) fn head(&self) -> String {
        format!("{}head", self.control())
    }

    pub(crate) fn service(&self, service: &ServiceId) -> String {
        format!("{}service/{service}", self.control())
    }

    pub(crate) fn nodes(&self) -> String {
        format!("{}node/", self.control())
    }

    pub(crate) fn node(&self, node_incarnation: &NodeIncarnation) -> String {
        format!("{}{}/{}", self.nodes(), node_incarnation.node, node_incarnation.incarnation)
    }

    pub(crate) fn vm(&self, vm: &VmId) -> String {
        format!("{}vm/{vm}", self.control())
    }

    pub(crate) fn duty(&self, duty: &DutyId) -> String {
        format!("{}duty/{duty}", self.control())
    }

    /// The prefix of a journal partition's segments.
    pub(crate) fn segments(&self, partition: u32) -> String {
        format!("{}journal/{partition}/segment/", self.prefix)
    }

    pub(crate) fn segment(&self, partition: u32, sequence: Sequence) -> String {
        format!("{}{sequence:016x}", self.segments(partition))
    }

    /// The prefix of the parts of a journal partition's snapshots.
    pub(crate) fn snapshots(&self, partition: u32) -> String {
        format!("{}journal/{partition}/snapshot/", self.prefix)
    }

    /// The key that identifies a journal partition's current snapshot.
    pub(crate) fn snapshot_head(&self, partition: u32) -> String {
        format!("{}journal/{partition}/current", self.prefix)
    }

    pub(crate) fn snapshot_part(&self, partition: u32, sequence: Sequence, part: usize) -> String {
        format!("{}{sequence:016x}/{part:06}", self.snapshots(partition))
    }

    /// The prefix of the history that is grouped by customer.
    pub(crate) fn histories(&self) -> String {
        format!("{}history/", self.prefix)
    }

    /// The prefix of one customer's history.
    pub(crate) fn history(&self, customer: &CustomerId) -> String {
        format!("{}{customer}/", self.histories())
    }

    pub(crate) fn history_part(
        &self,
        customer: &CustomerId,
        partition: u32,
        sequence: Sequence,
        part: usize,
    ) -> String {
        format!("{}{partition:04}/{sequence:016x}/{part:06}", self.history(customer))
    }

    /// Parses a key under the control prefix; `None` for a key that this version doesn't know.
    pub(crate) fn parse_control(&self, key: &str) -> Option<ControlKey> {
        let rest = key.strip_prefix(&self.control())?;
        if rest == "head" {
            return Some(ControlKey::Head);
        }
        let (kind, name) = rest.split_once('/')?;
        match kind {
            "service" => name.parse().ok().map(ControlKey::Service),
            "duty" => name.parse().ok().map(ControlKey::Duty),
            "vm" => name.parse().ok().map(ControlKey::Vm),
            "node" => {
                let (node, incarnation) = name.split_once('/')?;
                let node_incarnation = NodeIncarnation {
                    node: node.parse().ok()?,
                    incarnation: incarnation.parse().ok()?,
                };
                Some(ControlKey::Node(node_incarnation))
            }
            _ => None,
        }
    }
}

/// The journal partition that records a request.
pub(crate) fn partition_of(id: &RequestId, partitions: u32) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes());
    u32::try_from(hash % u64::from(partitions.max(1))).unwrap_or(0)
}
