//! What an owner that waits for workers of earlier terms leaves to the next one, should it be lost.
//!
//! It records which workers may have something from terms before its own, and when that has certainly
//! expired. As it grants no lease and gives no order to a worker before the record that it uses this worker
//! is durable, the next owner knows which of these times still hold, and needn't wait anew for the others.
//!
//! Owners' clocks can't be compared, and the last write may be old. The times are therefore counted from
//! the owner's claim: by its own clock from before it was sent, by that of the next owner from when that
//! one had seen it in the store.

#[cfg(test)]
mod tests;

use indexmap::{IndexMap, IndexSet};

use super::{
    super::{Action, AwaitedWorker, LogEvent, Record, StoredSegment, WorkerId, life},
    Cell,
};
use crate::{Epoch, Timestamp};

/// The claim with which an owner's term begins, and what it knows of the claims before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TermClaim {
    /// Time until which owners of earlier terms may give orders, unless the log shows a handover.
    pub earlier_orders_end: Timestamp,
    /// A time before the claim was sent.
    pub sent: Timestamp,
    /// Earlier terms, each with a time after its claim had taken effect.
    pub seen: Vec<(Epoch, Timestamp)>,
}

impl TermClaim {
    /// A claim of which nothing else is known.
    #[must_use]
    pub fn unseen(earlier_orders_end: Timestamp) -> Self {
        Self { earlier_orders_end, sent: Timestamp(0), seen: Vec::new() }
    }

    /// A time after the claim of a term whose segments are read at `now`.
    fn seen_by(&self, epoch: Epoch, now: Timestamp) -> Timestamp {
        let seen = self.seen.iter().find(|(term, _)| *term == epoch);
        seen.map_or(now, |(_, seen)| *seen)
    }
}

/// What the last term in the log says about workers of terms before it.
#[derive(Clone, Debug)]
pub(super) struct LoggedWait {
    /// When everything of terms before has certainly expired, by worker.
    deadlines: IndexMap<WorkerId, Timestamp>,
    /// The workers that may have got something in that term.
    used: IndexSet<WorkerId>,
}

impl LoggedWait {
    /// Finds the latest list of the last term; `None` if it has none, as in earlier builds.
    pub(super) fn find(
        segments: &[StoredSegment],
        claim: &TermClaim,
        now: Timestamp,
    ) -> Option<Self> {
        let epoch = segments.last()?.epoch;
        let of_term = segments.iter().filter(|segment| segment.epoch == epoch);
        let records = of_term.flat_map(|segment| &segment.records);
        let list = records.clone().rev().find_map(|record| match record {
            Record::Awaited { workers } => Some(workers),
            _ => None,
        })?;
        let claimed_by = claim.seen_by(epoch, now);
        let deadline = |one: &AwaitedWorker| {
            let left = life::longest_on_other_clock(one.after_claim());
            (one.worker.clone(), claimed_by + left)
        };
        let used = |record: &Record| match record {
            Record::WorkerUsed { worker, is_copy: false, .. } => Some(worker.clone()),
            _ => None,
        };
        let deadlines = list.iter().map(deadline).collect();
        Some(Self { deadlines, used: records.filter_map(used).collect() })
    }

    /// When everything at a worker has certainly expired; `None` if it has nothing. It is `worst` if
    /// nothing better is known.
    pub(super) fn expiry(&self, worker: &WorkerId, worst: Timestamp) -> Option<Timestamp> {
        if self.used.contains(worker) {
            return Some(worst);
        }
        self.deadlines.get(worker).map(|deadline| worst.min(*deadline))
    }
}

impl Cell {
    /// When everything at each of these workers has certainly expired if it is never heard, without those
    /// that have nothing.
    pub(super) fn expiries_after_loss(
        &self,
        workers: IndexSet<WorkerId>,
        logged_wait: Option<&LoggedWait>,
        last_order: Timestamp,
    ) -> IndexMap<WorkerId, Timestamp> {
        let expiry_of = |worker: WorkerId| {
            let worst = self.unheard_expiry(&worker, last_order);
            let expiry = logged_wait.map_or(Some(worst), |wait| wait.expiry(&worker, worst))?;
            Some((worker, expiry))
        };
        workers.into_iter().filter_map(expiry_of).collect()
    }

    /// Logs what the wait for inherited workers rests on.
    pub(super) fn note_inherited_wait(&mut self, known_by: &'static str, now: Timestamp) {
        let last = self.inherited_workers.iter().max_by_key(|(_, expiry)| **expiry);
        let event = last.map(|(worker, expiry)| LogEvent::InheritedWait {
            workers: self.inherited_workers.len(),
            left: expiry.since(now),
            known_by,
            last: worker.clone(),
        });
        self.actions.extend(event.map(Action::Log));
    }

    /// Records which workers may have something from earlier terms.
    pub(super) fn record_awaited(&mut self, now: Timestamp) {
        self.record(self.awaited_record(), now, None);
    }

    /// The list of the workers that may have something from earlier terms.
    pub(super) fn awaited_record(&self) -> Record {
        let claim_sent = self.inherited_wait.claim_sent;
        let awaited = |(worker, expiry): (&WorkerId, &Timestamp)| AwaitedWorker {
            worker: worker.clone(),
            after_claim_ms: expiry.since(claim_sent).0,
        };
        let workers = self.inherited_workers.iter().map(awaited).collect();
        Record::Awaited { workers }
    }

    /// When the wait for workers of earlier terms was over; `None` while it lasts.
    #[must_use]
    pub fn inherited_wait_end(&self) -> Option<Timestamp> {
        self.inherited_wait.ended
    }
}
