use proptest::prelude::*;

use super::*;
use crate::store::Item;

fn change(key: u8, revision: u64, deleted: bool) -> Change {
    let value = (!deleted).then(|| Bytes::from(revision.to_string()));
    Change { key: format!("k{key}"), value, revision }
}

fn sorted(cache: &Cache) -> Vec<(String, CachedItem)> {
    let mut items: Vec<_> = cache.items.clone().into_iter().collect();
    items.sort_by(|a, b| a.0.cmp(&b.0));
    items
}

proptest! {
    #[test]
    fn changes_give_the_same_copy_in_any_order(
        (mut changes, shuffled) in prop::collection::vec((0..4_u8, any::<bool>()), 0..20)
            .prop_map(|keys| {
                let numbered = keys.into_iter().zip(1..);
                numbered.map(|((key, deleted), n)| change(key, n, deleted)).collect::<Vec<_>>()
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
fn a_key_deleted_while_the_watch_was_broken_is_removed() {
    let mut cache = Cache::default();
    cache.apply(change(1, 5, false));
    let item = Item { key: "k2".to_owned(), value: Bytes::new(), revision: 8 };

    let changes = cache.load(&RangeResult { items: vec![item], revision: 9, has_more: false });
    for change in changes {
        cache.apply(change);
    }

    assert_eq!(cache.items["k1"].value, None);
    assert!(cache.items["k2"].value.is_some());
}
