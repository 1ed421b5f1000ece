//! Snapshots of a partition, and the history regrouped by customer.
//!
//! Segments that a snapshot covers are rewritten so that each customer's records lie together, then
//! deleted in the transaction that moves the snapshot's head. Each write is fenced by the owner's
//! term. A job that was cut off is done again by the next owner under the same keys.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::IndexMap;
use teaselgap_core::{
    CustomerId, Epoch, RequestId,
    duty::DutyId,
    journal::{Entries, Entry, Record, Sequence},
};

use super::{
    codec::{self, CodecError},
    recover::{self, RecoverError, SavedEntry, SnapshotHead},
};
use crate::store::{Condition, Priority, Store, StoreError, Transaction, Write, keys::Keys};

/// Bytes of an entry of a snapshot besides its answer's body.
const ENTRY_OVERHEAD: usize = 512;

/// Bytes of one part of a snapshot or of a customer's history, before compression.
const MAX_PART_BYTES: usize = 512 << 10;

/// One snapshot to be made.
pub(super) struct Compaction {
    pub(super) partition: u32,
    pub(super) epoch: Epoch,
    /// The first segment that the last snapshot does not cover.
    pub(super) first: Sequence,
    /// The first segment that this snapshot does not cover.
    pub(super) next: Sequence,
    pub(super) entries: Entries,
    pub(super) store: Arc<dyn Store>,
    pub(super) keys: Keys,
}

impl Compaction {
    /// Does it all; the first segment that is not covered now.
    pub(super) async fn run(&self) -> Result<Sequence, RecoverError> {
        let old = recover::read_head(&*self.store, &self.keys, self.partition).await?;
        self.regroup().await?;
        let parts = self.write_snapshot().await?;
        self.move_head(parts, &old).await?;
        Ok(self.next)
    }

    async fn regroup(&self) -> Result<(), RecoverError> {
        let segments =
            recover::read_segments(&*self.store, &self.keys, self.partition, self.first).await?;
        let covered = segments.into_iter().filter(|segment| segment.sequence < self.next);
        let records = covered.flat_map(|segment| segment.records).collect();
        for (customer, part, value) in beside(move || regroup(records)).await? {
            let key = self.keys.history_part(&customer, self.partition, self.first, part);
            self.put(key, value).await?;
        }
        Ok(())
    }

    async fn write_snapshot(&self) -> Result<usize, RecoverError> {
        let entries = self.entries.clone();
        let parts = beside(move || encode_entries(&entries)).await?;
        let count = parts.len();
        for (part, value) in parts.into_iter().enumerate() {
            let key = self.keys.snapshot_part(self.partition, self.next, part);
            self.put(key, value).await?;
        }
        Ok(count)
    }

    async fn move_head(&self, parts: usize, old: &SnapshotHead) -> Result<(), RecoverError> {
        let head = SnapshotHead { sequence: self.next, parts };
        let head_key = self.keys.snapshot_head(self.partition);
        let old_parts = self.keys.snapshot_part(self.partition, old.sequence, 0);
        let new_parts = self.keys.snapshot_part(self.partition, self.next, 0);
        let first_segment = self.keys.segment(self.partition, old.sequence);
        let next_segment = self.keys.segment(self.partition, self.next);
        let writes = vec![
            Write::Put { key: head_key, value: codec::encode(&head)?, lease: None },
            Write::DeleteRange { start: first_segment, end: next_segment },
            Write::DeleteRange { start: old_parts, end: new_parts },
        ];
        self.transact(writes).await
    }

    async fn put(&self, key: String, value: Bytes) -> Result<(), RecoverError> {
        self.transact(vec![Write::Put { key, value, lease: None }]).await
    }

    async fn transact(&self, writes: Vec<Write>) -> Result<(), RecoverError> {
        let duty = self.keys.duty(&DutyId::Journal(self.partition));
        let conditions = vec![Condition::Revision(duty, self.epoch.0)];
        let transaction = Transaction { conditions, writes };
        match self.store.transact(&transaction, Priority::Background).await? {
            Some(_) => Ok(()),
            None => Err(StoreError::Unavailable("the term has ended".to_owned()).into()),
        }
    }
}

/// Works beside the journal's thread, which others wait for.
async fn beside<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, CodecError> + Send + 'static,
) -> Result<T, CodecError> {
    tokio::task::spawn_blocking(work).await.map_err(std::io::Error::other)?
}

/// A part of a customer's history: whose, which, and its value.
type HistoryPart = (CustomerId, usize, Bytes);

fn regroup(records: Vec<Record>) -> Result<Vec<HistoryPart>, CodecError> {
    let mut by_customer: IndexMap<CustomerId, Vec<Record>> = IndexMap::new();
    for record in records {
        by_customer.entry(record.customer().clone()).or_default().push(record);
    }
    let mut parts = Vec::new();
    for (customer, records) in by_customer {
        for (part, records) in split(records, Record::size).into_iter().enumerate() {
            parts.push((customer.clone(), part, codec::encode(&records)?));
        }
    }
    Ok(parts)
}

fn encode_entries(entries: &Entries) -> Result<Vec<Bytes>, CodecError> {
    let size =
        |(_, entry): &(&RequestId, &Arc<Entry>)| ENTRY_OVERHEAD + entry.answer_bytes() * 4 / 3;
    let parts = split(entries.iter(), size).into_iter().map(|part| {
        let saved = part.into_iter().map(|(id, entry)| SavedEntry::new(id, entry));
        codec::encode(&saved.collect::<Vec<_>>())
    });
    parts.collect()
}

/// Splits items, in order, so that each part stays within its bytes.
fn split<T>(items: impl IntoIterator<Item = T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut bytes = usize::MAX;
    for item in items {
        let size = size(&item);
        if bytes.saturating_add(size) > MAX_PART_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}
