use super::*;

const EPOCH: Epoch = Epoch(3);

fn item(key: &str, revision: u64, value: &[u8]) -> Item {
    Item { key: key.to_owned(), value: value.to_vec(), revision, ..Item::default() }
}

/// The items of a store in which the fleet is owned in [`EPOCH`], with this record.
fn items(revision: u64, value: &[u8]) -> [Item; 2] {
    [item(&own_duty(EPOCH).key, EPOCH.0, b"owner"), item(RECORD_KEY, revision, value)]
}

/// Whether a store with these items executes a transaction.
fn takes_effect(txn: &Transaction, items: &[Item]) -> bool {
    txn.expected.iter().all(|expected| {
        let item = items.iter().find(|item| item.key == expected.key);
        item.map_or(0, |item| item.revision) == expected.revision
    })
}

/// Guards against a record that loses orders because a copy of an older one arrived after it.
#[test]
fn a_late_copy_of_a_write_does_not_replace_a_later_record() {
    let first = record_transaction(EPOCH, 5, b"first".to_vec());
    let second = record_transaction(EPOCH, 6, b"second".to_vec());

    assert!(takes_effect(&first, &items(5, b"none")));
    assert!(takes_effect(&second, &items(6, b"first")));
    assert!(!takes_effect(&first, &items(7, b"second")));
}

#[test]
fn a_record_whose_earlier_copy_took_effect_is_written() {
    let conflict = conflict_of(&items(6, b"first"), EPOCH, b"first");

    assert_eq!(conflict, RecordConflict::Written(6));
}

#[test]
fn a_record_is_written_over_an_earlier_one_that_took_effect_late() {
    let conflict = conflict_of(&items(6, b"first"), EPOCH, b"second");

    assert_eq!(conflict, RecordConflict::EarlierRecord(6));
    assert!(takes_effect(&record_transaction(EPOCH, 6, b"second".to_vec()), &items(6, b"first")));
}

#[test]
fn a_record_is_not_written_once_the_fleet_has_another_owner() {
    let mut others = items(6, b"first");
    others[0].revision = EPOCH.0 + 1;

    assert_eq!(conflict_of(&others, EPOCH, b"second"), RecordConflict::OtherOwner);
    assert_eq!(conflict_of(&[], EPOCH, b"second"), RecordConflict::OtherOwner);
}
