//! This node's copy of the store's control prefix.
//!
//! Each item carries the store's revision of its last write, so copies merge in any order and never
//! go back: from the store's watch, and from other nodes when the store does not answer.

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

/// What is known of a key; `value` is `None` for a key that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CachedItem {
    pub(super) revision: u64,
    pub(super) value: Option<Bytes>,
}

/// The copy.
#[derive(Debug, Default)]
pub(super) struct Cache {
    items: IndexMap<String, CachedItem>,
    /// All changes up to this revision are here.
    revision: u64,
    /// The store itself said which keys exist.
    loaded: bool,
}

impl Cache {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether there is anything to go by.
    pub(super) fn is_filled(&self) -> bool {
        self.loaded || self.revision > 0
    }

    /// Takes in one change; false if it is old.
    pub(super) fn apply(&mut self, change: Change) -> bool {
        let known = self.items.get(&change.key).map(|known| known.revision);
        if known.is_some_and(|known| known >= change.revision) {
            return false;
        }
        self.revision = self.revision.max(change.revision);
        let known = CachedItem { revision: change.revision, value: change.value };
        self.items.insert(change.key, known);
        true
    }

    /// Takes in all that the store holds; what it does not hold any more is gone.
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
        let held = |key: &str| page.items.iter().any(|item| item.key == key);
        let gone = self.items.iter().filter(|(key, known)| {
            known.value.is_some() && known.revision <= page.revision && !held(key)
        });
        changes.extend(gone.map(|(key, known)| Change {
            key: key.clone(),
            value: None,
            revision: known.revision + 1,
        }));
        self.loaded = true;
        changes
    }

    /// The items that changed after a revision.
    pub(super) fn since(&self, revision: u64) -> PullReply {
        let newer = self.items.iter().filter(|(_, known)| known.revision > revision);
        let items = newer.map(|(key, known)| ControlItem {
            key: key.clone(),
            revision: known.revision,
            value: known.value.clone().unwrap_or_default(),
            deleted: known.value.is_none(),
        });
        PullReply { revision: self.revision, items: items.collect() }
    }

    /// Node incarnations that are registered.
    pub(super) fn registered(&self, keys: &Keys) -> Vec<NodeIncarnation> {
        let present = self.items.iter().filter(|(_, known)| known.value.is_some());
        let node_incarnation = |key: &str| match keys.parse_control(key) {
            Some(ControlKey::Node(node_incarnation)) => Some(node_incarnation),
            _ => None,
        };
        present.filter_map(|(key, _)| node_incarnation(key)).collect()
    }

    /// Forgets keys that are gone beyond a bound, oldest first.
    pub(super) fn forget_gone(&mut self) {
        const MAX_GONE: usize = 1_000;
        let gone = self.items.values().filter(|known| known.value.is_none()).count();
        if gone <= MAX_GONE {
            return;
        }
        let mut revisions: Vec<u64> = self
            .items
            .values()
            .filter(|known| known.value.is_none())
            .map(|known| known.revision)
            .collect();
        revisions.sort_unstable();
        let oldest_kept = revisions[gone - MAX_GONE / 2];
        self.items.retain(|_, known| known.value.is_some() || known.revision >= oldest_kept);
    }
}

/// Changes of another node's copy.
pub(super) fn changes(reply: PullReply) -> Vec<Change> {
    let change = |item: ControlItem| Change {
        key: item.key,
        revision: item.revision,
        value: (!item.deleted).then_some(item.value),
    };
    reply.items.into_iter().map(change).collect()
}

/// Pause after the watch ended or could not be started.
const PAUSE: Span = Span(200);

/// Reads the prefix and follows it from there, over and over.
pub(super) async fn follow(
    store: Arc<dyn Store>,
    prefix: String,
    events: mpsc::UnboundedSender<Event>,
) {
    while !events.is_closed() {
        if let Ok(page) = read_all(&*store, &prefix, Priority::Control).await {
            let from = page.revision + 1;
            if events.send(Event::Loaded(page)).is_err() {
                return;
            }
            let (tx, mut rx) = mpsc::channel(16);
            let forward = async {
                while let Some(changes) = rx.recv().await {
                    if events.send(Event::Changed(changes)).is_err() {
                        return;
                    }
                }
            };
            // It ends with a compaction or a broken connection; then all is read anew.
            let (_, ()) = tokio::join!(store.watch(&prefix, from, tx), forward);
        }
        tokio::time::sleep(PAUSE.to_std()).await;
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::store::Item;

    fn change(key: u8, revision: u64, gone: bool) -> Change {
        let value = (!gone).then(|| Bytes::from(revision.to_string()));
        Change { key: format!("k{key}"), value, revision }
    }

    fn sorted(cache: &Cache) -> Vec<(String, CachedItem)> {
        let mut items: Vec<_> = cache.items.clone().into_iter().collect();
        items.sort_by(|a, b| a.0.cmp(&b.0));
        items
    }

    proptest! {
        #[test]
        fn changes_merge_to_the_same_copy_in_any_order(
            (mut changes, shuffled) in prop::collection::vec((0..4_u8, any::<bool>()), 0..20)
                .prop_map(|keys| {
                    let numbered = keys.into_iter().zip(1..);
                    numbered.map(|((key, gone), n)| change(key, n, gone)).collect::<Vec<_>>()
                })
                .prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
        ) {
            let (mut one, mut other) = (Cache::default(), Cache::default());
            changes.extend(changes.clone());
            for change in changes {
                one.apply(change);
            }
            for change in shuffled {
                other.apply(change);
            }
            prop_assert_eq!(sorted(&one), sorted(&other));
        }
    }

    #[test]
    fn a_key_that_vanished_while_the_watch_was_broken_is_gone() {
        let mut cache = Cache::default();
        cache.apply(change(1, 5, false));
        let item = Item { key: "k2".to_owned(), value: Bytes::new(), revision: 8 };

        let changes = cache.load(&RangeResult { items: vec![item], revision: 9, more: false });
        for change in changes {
            cache.apply(change);
        }

        assert_eq!(cache.items["k1"].value, None);
        assert!(cache.items["k2"].value.is_some());
    }
}
