mod mark;

use indexmap::IndexMap;

use super::*;

const EPOCH: Epoch = Epoch(3);

/// The keys of a store with their revisions.
struct MapStore {
    revisions: IndexMap<String, u64>,
    revision: u64,
}

impl MapStore {
    /// Creates a store in which the duty is owned in term [`EPOCH`].
    fn new(keys: &LogKeys) -> Self {
        Self { revisions: IndexMap::from([(keys.duty.clone(), EPOCH.0)]), revision: EPOCH.0 }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.revisions.get(key).copied().unwrap_or(0)
    }

    /// Applies a transaction if its conditions hold, and returns its revision.
    fn transact(&mut self, txn: &Transaction) -> Option<u64> {
        let holds = |expected: &Expected| self.revision_of(&expected.key) == expected.revision;
        if !txn.expected.iter().all(holds) {
            return None;
        }
        self.revision += 1;
        for put in &txn.puts {
            self.revisions.insert(put.key.clone(), self.revision);
        }
        for key in &txn.deletes {
            self.revisions.shift_remove(key);
        }
        Some(self.revision)
    }
}

fn keys() -> LogKeys {
    LogKeys::new(&"drums".parse().unwrap(), EPOCH)
}

/// The write of a segment that deletes earlier ones.
fn write(sequence: Sequence, deletes: &[Sequence]) -> LogWrite {
    LogWrite { sequence, value: vec![b'x'], deletes: deletes.to_vec() }
}

#[test]
fn a_late_copy_of_a_write_does_not_bring_a_deleted_segment_back() {
    let keys = keys();
    let mut store = MapStore::new(&keys);
    let first = keys.transaction(&write(0, &[]), 0, true);
    let head_revision = store.transact(&first).unwrap();
    store.transact(&keys.transaction(&write(1, &[0]), head_revision, false)).unwrap();

    let late_copy = store.transact(&first);

    assert_eq!(late_copy, None);
    assert_eq!(store.revision_of(&keys.segment(0)), 0);
}

#[test]
fn a_write_of_an_earlier_term_has_no_effect() {
    let keys = keys();
    let mut store = MapStore::new(&keys);
    let earlier = LogKeys { epoch: Epoch(EPOCH.0 - 1), ..keys };

    let transaction = earlier.transaction(&write(0, &[]), 0, true);

    assert_eq!(store.transact(&transaction), None);
}

#[test]
fn a_late_removal_of_the_mark_leaves_a_log_with_jobs_unmarked() {
    let keys = keys();
    let mut store = MapStore::new(&keys);
    let first = keys.transaction(&write(0, &[]), 0, true);
    let head_revision = store.transact(&first).unwrap();
    let removal = keys.mark_removal(head_revision);
    store.transact(&removal).unwrap();
    assert_eq!(store.revision_of(&keys.mark), 0);
    let second = keys.transaction(&write(1, &[]), head_revision, true);
    let marked_at = store.transact(&second).unwrap();

    let late_copy = store.transact(&removal);

    assert_eq!(late_copy, None);
    assert_eq!(store.revision_of(&keys.mark), marked_at);
}

#[test]
fn an_owner_of_an_earlier_term_removes_the_mark_of_the_next_one() {
    let keys = keys();
    let mut store = MapStore::new(&keys);
    let first = keys.transaction(&write(0, &[]), 0, true);
    let head_revision = store.transact(&first).unwrap();
    let earlier = LogKeys { epoch: Epoch(EPOCH.0 - 1), ..keys };

    assert_eq!(store.transact(&earlier.mark_removal(head_revision)), None);
}

/// Guards against a write that the store refuses for ever: it takes 32 entries, and a write deletes up to
/// 24 segments.
#[test]
fn a_write_with_the_mark_has_more_entries_than_the_store_takes() {
    let deletes: Vec<Sequence> = (0..24).collect();

    let txn = keys().transaction(&write(30, &deletes), 5, true);

    assert!(txn.expected.len() + txn.puts.len() + txn.deletes.len() <= 32);
}
