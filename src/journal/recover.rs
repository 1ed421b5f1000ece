//! Reads a partition back from the store.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use teaselgap_core::{
    RequestId,
    duty::NodeIncarnation,
    journal::{Entries, Entry, Outcome, Progress, Segment, Sequence, recover},
};

use super::codec::{self, CodecError};
use crate::store::{Priority, RangeResult, Store, StoreError, keys::Keys, prefix_end};

/// Identifies the current snapshot of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotHead {
    /// The snapshot covers all segments before this one.
    pub(crate) sequence: Sequence,
    /// The number of parts in which the snapshot is stored.
    pub(crate) parts: usize,
}

/// An entry in its stored form in a snapshot.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SavedEntry {
    #[serde_as(as = "DisplayFromStr")]
    id: RequestId,
    fingerprint: u64,
    attempt: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    at: Option<NodeIncarnation>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
}

impl SavedEntry {
    pub(crate) fn new(id: &RequestId, entry: &Entry) -> Self {
        let (at, outcome) = match entry.progress.clone() {
            Progress::Open(at) => (Some(at), None),
            Progress::Concluded(outcome) => (None, Some(outcome)),
        };
        let Entry { fingerprint, attempt, .. } = *entry;
        Self { id: id.clone(), fingerprint, attempt, at, outcome }
    }

    fn into_entry(self) -> Option<(RequestId, Entry)> {
        let progress = match (self.at, self.outcome) {
            (_, Some(outcome)) => Progress::Concluded(outcome),
            (Some(at), None) => Progress::Open(at),
            (None, None) => return None,
        };
        let Self { id, fingerprint, attempt, .. } = self;
        Some((id, Entry { fingerprint, attempt, progress }))
    }
}

/// A partition can't be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecoverError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error("partition {partition}: no segments between {before} and {found}")]
    Gap { partition: u32, before: Sequence, found: Sequence },
}

/// A partition that was read back.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    pub(crate) entries: Entries,
    /// The first segment that the current snapshot does not cover.
    pub(crate) first: Sequence,
    /// The number of the next segment to be written.
    pub(crate) next: Sequence,
}

/// The most segments that one call reads.
const SEGMENTS_PER_PAGE: u32 = 16;

/// Reads the segments of a partition, starting with the number `from`.
pub(crate) async fn read_segments(
    store: &dyn Store,
    keys: &Keys,
    partition: u32,
    from: Sequence,
) -> Result<Vec<Segment>, RecoverError> {
    let end = prefix_end(&keys.segments(partition));
    let mut start = keys.segment(partition, from);
    let mut segments: Vec<Segment> = Vec::new();
    loop {
        let page = store.range(&start, &end, SEGMENTS_PER_PAGE, Priority::Control).await?;
        let next_start =
            page.has_more.then(|| page.items.last().map(|item| format!("{}\0", item.key)));
        for segment in decode_page(page).await? {
            if let Some(last) = segments.last()
                && last.sequence + 1 != segment.sequence
            {
                let (before, found) = (last.sequence, segment.sequence);
                return Err(RecoverError::Gap { partition, before, found });
            }
            segments.push(segment);
        }
        match next_start.flatten() {
            Some(next) => start = next,
            None => return Ok(segments),
        }
    }
}

/// Decodes a page on another thread, so that it does not block the journal's thread.
async fn decode_page(page: RangeResult) -> Result<Vec<Segment>, RecoverError> {
    let decode = move || page.items.iter().map(|item| codec::decode(&item.value)).collect();
    let decoded: Result<Vec<Segment>, CodecError> = tokio::task::spawn_blocking(decode)
        .await
        .map_err(std::io::Error::other)
        .map_err(CodecError::from)?;
    Ok(decoded?)
}

/// Reads the head of a partition's current snapshot.
///
/// If there is no snapshot, the head is an empty one before segment 1, the first segment.
pub(crate) async fn read_head(
    store: &dyn Store,
    keys: &Keys,
    partition: u32,
) -> Result<SnapshotHead, RecoverError> {
    let key = keys.snapshot_head(partition);
    let page = store.range(&key, &format!("{key}\0"), 1, Priority::Control).await?;
    let Some(item) = page.items.first() else {
        return Ok(SnapshotHead { sequence: 1, parts: 0 });
    };
    Ok(codec::decode(&item.value)?)
}

/// Reads a partition from its current snapshot and the segments after it.
pub(crate) async fn read(
    store: &dyn Store,
    keys: &Keys,
    partition: u32,
) -> Result<Recovered, RecoverError> {
    let head = read_head(store, keys, partition).await?;
    let mut entries = IndexMap::new();
    for part in 0..head.parts {
        let key = keys.snapshot_part(partition, head.sequence, part);
        let page = store.range(&key, &format!("{key}\0"), 1, Priority::Control).await?;
        for item in &page.items {
            let saved: Vec<SavedEntry> = codec::decode(&item.value)?;
            let restored = saved.into_iter().filter_map(SavedEntry::into_entry);
            entries.extend(restored.map(|(id, entry)| (id, Arc::new(entry))));
        }
    }
    let segments = read_segments(store, keys, partition, head.sequence).await?;
    let next = segments.last().map_or(head.sequence, |segment| segment.sequence + 1);
    Ok(Recovered { entries: recover(entries, segments), first: head.sequence, next })
}
