//! The segments of a cell's log in the model's store.

use std::collections::BTreeMap;

use teaselgap_core::job::{LogWrite, RecoveredLog, Sequence};

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The store's part that holds the log, with each segment as the store would hold it.
#[derive(Debug, Default)]
pub(super) struct LogStore {
    segments: BTreeMap<Sequence, Vec<u8>>,
    largest_segment_bytes: usize,
    /// Whether the last write deleted segments and is not confirmed yet.
    is_deletion_unconfirmed: bool,
}

impl LogStore {
    /// Applies a write and returns true, or refuses it if its value is too large.
    pub(super) fn write(&mut self, write: &LogWrite) -> bool {
        let bytes = write.value.len();
        if bytes > MAX_VALUE_BYTES {
            return false;
        }
        self.largest_segment_bytes = self.largest_segment_bytes.max(bytes);
        self.segments.insert(write.sequence, write.value.clone());
        for sequence in &write.deletes {
            self.segments.remove(sequence);
        }
        self.is_deletion_unconfirmed = !write.deletes.is_empty();
        true
    }

    /// Marks the last write as confirmed to its owner.
    pub(super) fn confirm(&mut self) {
        self.is_deletion_unconfirmed = false;
    }

    pub(super) fn is_deletion_unconfirmed(&self) -> bool {
        self.is_deletion_unconfirmed
    }

    /// Returns the contents of the log, as a new owner reads it.
    pub(super) fn recover(&self) -> RecoveredLog {
        let mut recovered = RecoveredLog::default();
        for (&sequence, value) in &self.segments {
            recovered.add_segment(sequence, value).expect("a segment that an owner wrote");
        }
        recovered
    }

    /// Returns the sequence number of the oldest segment.
    pub(super) fn oldest(&self) -> Option<Sequence> {
        self.segments.keys().next().copied()
    }

    /// Returns the total size of all segments.
    pub(super) fn bytes(&self) -> usize {
        self.segments.values().map(Vec::len).sum()
    }

    pub(super) fn largest_segment_bytes(&self) -> usize {
        self.largest_segment_bytes
    }
}
