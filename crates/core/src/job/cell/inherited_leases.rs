//! The leases that workers may have got from calls to former instances before the owner changed.
//!
//! An owner records which instance of a worker it has called, and when the lease has expired that this one may
//! have got from a call to another. The next owner counts on it. An instance that isn't on record may carry
//! out the calls of earlier owners until it has answered the first one of this term.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use super::{
    super::{Record, StoredSegment, WorkerId, worker::StrayLease},
    log_time,
};
use crate::Timestamp;

/// What the owners before have recorded of one worker.
#[derive(Clone, Copy, Debug)]
struct Inherited {
    instance: Option<u64>,
    expiry: Timestamp,
}

/// What the owners before have recorded of the workers that they used.
#[derive(Clone, Debug, Default)]
pub(super) struct InheritedLeases(IndexMap<WorkerId, Inherited>);

impl InheritedLeases {
    /// Reads the latest record of each worker. The time that was left at the last write is counted from now.
    pub(super) fn find(segments: &[StoredSegment], now: Timestamp) -> Self {
        let mut found = IndexMap::new();
        for (segment, passed) in log_time::with_time_passed(segments) {
            for record in &segment.records {
                let Record::WorkerUsed { worker, instance, stray_until_ms, .. } = record else {
                    continue;
                };
                let left = stray_until_ms.map(|until| log_time::left(until, segment, passed));
                let expiry = left.filter(|left| left.0 > 0).map_or(Timestamp(0), |left| now + left);
                found.insert(worker.clone(), Inherited { instance: *instance, expiry });
            }
        }
        Self(found)
    }

    /// What a worker may have got; `None` if the owners before never used it.
    pub(super) fn get(&self, worker: &WorkerId) -> Option<StrayLease> {
        let Inherited { instance, expiry } = *self.0.get(worker)?;
        Some(StrayLease::inherited(instance, expiry))
    }

    /// When the lease of a worker has expired that an owner before has recorded.
    pub(super) fn expiry(&self, worker: &WorkerId) -> Timestamp {
        self.0.get(worker).map_or(Timestamp(0), |inherited| inherited.expiry)
    }

    /// The record of a worker that this owner has not heard of.
    pub(super) fn record(&self, worker: WorkerId, now: Timestamp) -> Record {
        let inherited = self.0.get(&worker);
        let instance = inherited.and_then(|inherited| inherited.instance);
        let until = inherited.map(|inherited| inherited.expiry.0).filter(|until| *until > now.0);
        Record::WorkerUsed { worker, instance, stray_until_ms: until, is_copy: true }
    }
}
