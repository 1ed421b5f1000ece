//! Compaction: writes a snapshot of a partition and groups the history by customer.
//!
//! The records of the segments that the snapshot covers are rewritten so that those of one
//! customer lie together. The transaction that updates the snapshot's head then deletes these
//! segments. Each write is fenced by the owner's term. If a compaction is interrupted, the next
//! owner runs it again and writes to the same keys.

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

/// Estimated size of a snapshot's entry without its answer body, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 512;

/// The largest part of a snapshot or of a customer's history, in bytes before compression.
const MAX_PART_BYTES: usize = 512 << 10;

/// One compaction of a partition.
pub(super) struct Compaction {
    pub(super) partition: u32,
    pub(super) epoch: Epoch,
    /// The first segment that the previous snapshot does not cover.
    pub(super) first: Sequence,
    /// The first segment that the new snapshot does not cover.
    pub(super) next: Sequence,
    pub(super) entries: Entries,
    pub(super) store: Arc<dyn Store>,
    pub(super) keys: Keys,
}

impl Compaction {
    /// Runs the compaction. Returns the first segment that the new snapshot does not cover.
    pub(super) async fn run(&self) -> Result<Sequence, RecoverError> {
        let old = recover::read_head(&*self.store, &self.keys, self.partition).await?;
        self.write_history().await?;
        let parts = self.write_snapshot().await?;
        self.replace_head(parts, &old).await?;
        Ok(self.next)
    }

    /// Writes the records of the covered segments, grouped by customer.
    async fn write_history(&self) -> Result<(), RecoverError> {
        let segments =
            recover::read_segments(&*self.store, &self.keys, self.partition, self.first).await?;
        let covered = segments.into_iter().filter(|segment| segment.sequence < self.next);
        let records = covered.flat_map(|segment| segment.records).collect();
        for (customer, part, value) in run_blocking(move || regroup(records)).await? {
            let key = self.keys.history_part(&customer, self.partition, self.first, part);
            self.put(key, value).await?;
        }
        Ok(())
    }

    /// Writes the parts of the new snapshot; returns how many there are.
    async fn write_snapshot(&self) -> Result<usize, RecoverError> {
        let entries = self.entries.clone();
        let parts = run_blocking(move || encode_entries(&entries)).await?;
        let count = parts.len();
        for (part, value) in parts.into_iter().enumerate() {
            let key = self.keys.snapshot_part(self.partition, self.next, part);
            self.put(key, value).await?;
        }
        Ok(count)
    }

    /// Points the head to the new snapshot, and deletes the previous one and the covered segments.
    async fn replace_head(&self, parts: usize, old: &SnapshotHead) -> Result<(), RecoverError> {
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

    /// Applies the writes, provided that the term has not ended.
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

/// Runs CPU-bound work on another thread, so that it does not block the journal's thread.
async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, CodecError> + Send + 'static,
) -> Result<T, CodecError> {
    tokio::task::spawn_blocking(work).await.map_err(std::io::Error::other)?
}

/// A part of a customer's history: the customer, the part's number and its encoded records.
type HistoryPart = (CustomerId, usize, Bytes);

fn regroup(records: Vec<Record>) -> Result<Vec<HistoryPart>, CodecError> {
    let mut by_customer: IndexMap<CustomerId, Vec<Record>> = IndexMap::new();
    for record in records {
        by_customer.entry(record.customer().clone()).or_default().push(record);
    }
    let mut parts = Vec::new();
    for (customer, records) in by_customer {
        for (part, records) in split_by_size(records, Record::size).into_iter().enumerate() {
            parts.push((customer.clone(), part, codec::encode(&records)?));
        }
    }
    Ok(parts)
}

fn encode_entries(entries: &Entries) -> Result<Vec<Bytes>, CodecError> {
    let size = |(_, entry): &(&RequestId, &Arc<Entry>)| {
        ENTRY_OVERHEAD_BYTES + entry.answer_bytes() * 4 / 3
    };
    let parts = split_by_size(entries.iter(), size).into_iter().map(|part| {
        let saved = part.into_iter().map(|(id, entry)| SavedEntry::new(id, entry));
        codec::encode(&saved.collect::<Vec<_>>())
    });
    parts.collect()
}

/// Splits items, in order, into parts of at most [`MAX_PART_BYTES`]. A larger item gets a part of
/// its own.
fn split_by_size<T>(items: impl IntoIterator<Item = T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
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
