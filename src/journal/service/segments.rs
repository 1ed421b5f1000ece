//! Calls to the store about the segments of a partition that this node owns: writes, reads of what
//! an uncertain write left, and compactions.

use std::{sync::Arc, time::Duration};

use slog::warn;
use teaselgap_core::{
    duty::DutyId,
    journal::{Segment, Sequence, WriteResult},
};

use super::{Event, JournalThread, RECOVER_RETRY_DELAY};
use crate::{
    journal::{codec, compact},
    store::{Condition, Priority, StoreError, Transaction, Write},
};

/// The delay before a segment is read back again after a failure.
const READ_BACK_RETRY_DELAY: Duration = Duration::from_millis(20);

impl JournalThread {
    /// Writes a segment, provided that the term has not ended and its number is free.
    pub(super) fn write(&self, partition: u32, segment: Segment) {
        let Some(epoch) = self.owned_partitions.get(&partition).map(|owned| owned.epoch) else {
            return;
        };
        let sequence = segment.sequence;
        let tx = self.tx.clone();
        let write_done = move |result| Event::WriteDone { partition, epoch, sequence, result };
        // A node whose registration has expired must not write. If it expires during the write, the
        // conditions make the store reject a late write.
        if !self.cfg.lease.is_valid() {
            let _ = tx.send(write_done(WriteResult::Failed));
            return;
        }
        let duty = self.cfg.keys.duty(&DutyId::Journal(partition));
        let key = self.cfg.keys.segment(partition, sequence);
        let store = Arc::clone(&self.cfg.store);
        tokio::task::spawn_local(async move {
            let result = match codec::encode(&segment) {
                Ok(value) => {
                    let transaction = Transaction {
                        conditions: vec![
                            Condition::Revision(duty, epoch.0),
                            Condition::Absent(key.clone()),
                        ],
                        writes: vec![Write::Put { key, value, lease: None }],
                    };
                    match store.transact(&transaction, Priority::Vital).await {
                        Ok(Some(_)) => WriteResult::Done,
                        Ok(None) => WriteResult::Fenced,
                        Err(StoreError::Unavailable(_)) => WriteResult::Failed,
                        Err(StoreError::Uncertain(_)) => WriteResult::Uncertain,
                    }
                }
                Err(_) => WriteResult::Failed,
            };
            let _ = tx.send(write_done(result));
        });
    }

    /// Reads a segment's nonce, and retries until the store answers. The term may end meanwhile.
    pub(super) fn read_back(&self, partition: u32, sequence: Sequence) {
        let Some(epoch) = self.owned_partitions.get(&partition).map(|owned| owned.epoch) else {
            return;
        };
        let key = self.cfg.keys.segment(partition, sequence);
        let store = Arc::clone(&self.cfg.store);
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            let end = format!("{key}\0");
            while !tx.is_closed() {
                if let Ok(page) = store.range(&key, &end, 1, Priority::Vital).await {
                    let segment =
                        page.items.first().map(|item| codec::decode::<Segment>(&item.value));
                    let nonce = segment.and_then(Result::ok).map(|segment| segment.nonce);
                    let _ = tx.send(Event::ReadBack { partition, epoch, sequence, nonce });
                    return;
                }
                tokio::time::sleep(READ_BACK_RETRY_DELAY).await;
            }
        });
    }

    /// Starts a compaction if there are `snapshot_every` segments after the current snapshot.
    pub(super) fn compact_if_due(&mut self, partition: u32) {
        let snapshot_every = self.cfg.settings.snapshot_every;
        let Some(owned) = self.owned_partitions.get_mut(&partition) else {
            return;
        };
        let epoch = owned.epoch;
        let Some(loaded) = &mut owned.loaded else {
            return;
        };
        let is_due = loaded.state.next_sequence() >= loaded.first + snapshot_every;
        if !is_due || loaded.compacting {
            return;
        }
        loaded.compacting = true;
        let compaction = compact::Compaction {
            partition,
            epoch,
            first: loaded.first,
            next: loaded.state.next_sequence(),
            entries: loaded.state.durable_entries(),
            store: Arc::clone(&self.cfg.store),
            keys: self.cfg.keys.clone(),
        };
        let (tx, log) = (self.tx.clone(), self.cfg.log.clone());
        tokio::task::spawn_local(async move {
            let first = match compaction.run().await {
                Ok(first) => Some(first),
                Err(err) => {
                    warn!(log, "cannot compact journal partition"; "partition" => partition,
                        "error" => %err);
                    // The store may be overloaded or down, so the next attempt is delayed.
                    tokio::time::sleep(RECOVER_RETRY_DELAY * 10).await;
                    None
                }
            };
            let _ = tx.send(Event::Compacted { partition, epoch, first });
        });
    }
}
