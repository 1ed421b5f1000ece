//! This node's copy of the keys under the store's control prefix.
//!
//! Changes come from the store's watch, and from other nodes while the store does not answer. Each
//! item carries the store's revision of its last write, so changes can be applied in any order and
//! an older value never replaces a newer one.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use teaselgap_core::{Span, duty::NodeIncarnation};
use teaselgap_proto::peer::{ControlItem, PullReply};
use tokio::sync::mpsc;

use super::Event;
use crate::store::{
    Change, Priority, RangeResult, Store,
    keys::{ControlKey, Keys},
    read_all,
};

/// The newest known state of a key; `value` is `None` if the key is deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CachedItem {
    pub(super) revision: u64,
    pub(super) value: Option<Bytes>,
}

/// A copy of the keys under the control prefix.
#[derive(Debug, Default)]
pub(super) struct Cache {
    items: IndexMap<String, CachedItem>,
    /// The copy contains all changes up to this revision.
    revision: u64,
    /// Whether the prefix was read from the store itself.
    loaded: bool,
}

impl Cache {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the copy has contents, either from the store or from another node.
    pub(super) fn is_filled(&self) -> bool {
        self.loaded || self.revision > 0
    }

    /// Applies a change; false if the copy already has this revision of the key or a newer one.
    pub(super) fn apply(&mut self, change: Change) -> bool {
        let cached = self.items.get(&change.key).map(|cached| cached.revision);
        if cached.is_some_and(|cached| cached >= change.revision) {
            return false;
        }
        self.revision = self.revision.max(change.revision);
        let item = CachedItem { revision: change.revision, value: change.value };
        self.items.insert(change.key, item);
        true
    }

    /// Returns the changes that bring the copy in line with a complete read of the prefix.
    ///
    /// A cached key that the store no longer holds becomes a deletion. The revision of that
    /// deletion is unknown, so it gets the lowest one that replaces the cached value.
    pub(super) fn load(&mut self, page: &RangeResult) -> Vec<Change> {
        let mut changes: Vec<Change> = page
            .items
            .iter()
            .map(|item| Change {
                key: item.key.clone(),
                value: Some(item.value.clone()),
                revision: item.revision,
            })
            .collect();
        let exists = |key: &str| page.items.iter().any(|item| item.key == key);
        let deleted = self.items.iter().filter(|(key, cached)| {
            cached.value.is_some() && cached.revision <= page.revision && !exists(key)
        });
        changes.extend(deleted.map(|(key, cached)| Change {
            key: key.clone(),
            value: None,
            revision: cached.revision + 1,
        }));
        self.loaded = true;
        changes
    }

    /// The items that were written or deleted after `revision`, in the form sent to other nodes.
    pub(super) fn items_since(&self, revision: u64) -> PullReply {
        let newer = self.items.iter().filter(|(_, cached)| cached.revision > revision);
        let items = newer.map(|(key, cached)| ControlItem {
            key: key.clone(),
            revision: cached.revision,
            value: cached.value.clone().unwrap_or_default(),
            deleted: cached.value.is_none(),
        });
        PullReply { revision: self.revision, items: items.collect() }
    }

    /// The node incarnations that are registered in the store.
    pub(super) fn registered_incarnations(&self, keys: &Keys) -> Vec<NodeIncarnation> {
        let present = self.items.iter().filter(|(_, cached)| cached.value.is_some());
        let node_incarnation = |key: &str| match keys.parse_control(key) {
            Some(ControlKey::Node(node_incarnation)) => Some(node_incarnation),
            _ => None,
        };
        present.filter_map(|(key, _)| node_incarnation(key)).collect()
    }

    /// Once there are more than `MAX_DELETED` deleted keys, forgets all but the newest half of that
    /// number.
    pub(super) fn prune_deleted(&mut self) {
        const MAX_DELETED: usize = 1_000;
        let deleted_count = self.items.values().filter(|cached| cached.value.is_none()).count();
        if deleted_count <= MAX_DELETED {
            return;
        }
        let mut revisions: Vec<u64> = self
            .items
            .values()
            .filter(|cached| cached.value.is_none())
            .map(|cached| cached.revision)
            .collect();
        revisions.sort_unstable();
        let oldest_kept = revisions[deleted_count - MAX_DELETED / 2];
        self.items.retain(|_, cached| cached.value.is_some() || cached.revision >= oldest_kept);
    }
}

/// Converts the control items of another node into changes.
pub(super) fn changes_from_reply(reply: PullReply) -> Vec<Change> {
    let change = |item: ControlItem| Change {
        key: item.key,
        revision: item.revision,
        value: (!item.deleted).then_some(item.value),
    };
    reply.items.into_iter().map(change).collect()
}

/// Pause before the prefix is read again after a failed read or the end of the watch.
const RETRY_DELAY: Span = Span(200);

/// Reads the prefix and watches it from that revision on, and starts again when either fails.
///
/// Returns once the receiver of the events is closed.
pub(super) async fn follow(
    store: Arc<dyn Store>,
    prefix: String,
    events: mpsc::UnboundedSender<Event>,
) {
    while !events.is_closed() {
        if let Ok(page) = read_all(&*store, &prefix, Priority::Control).await {
            let from = page.revision + 1;
            if events.send(Event::ControlKeysRead(page)).is_err() {
                return;
            }
            let (tx, mut rx) = mpsc::channel(16);
            let forward = async {
                while let Some(changes) = rx.recv().await {
                    if events.send(Event::ControlKeysChanged(changes)).is_err() {
                        return;
                    }
                }
            };
            // A compaction or a broken connection ends the watch; the prefix is then read again.
            let (_, ()) = tokio::join!(store.watch(&prefix, from, tx), forward);
        }
        tokio::time::sleep(RETRY_DELAY.to_std()).await;
    }
}
