//! Queues this node's records until the owners of their partitions have made them durable.
//!
//! A record stays in the outbox until the owner confirms that it is durable. A batch that was not
//! confirmed is sent again, whole and in order, so a record may be written twice. Readers of the
//! journal use the last copy.
//!
//! Conclusions have a lane of their own: the owner delays them so that they share a segment with
//! an intent, and that delay must not hold up intents. A conclusion whose intent is still in the
//! outbox follows it in the same lane, so the journal never contains a conclusion before its
//! intent.

#[cfg(test)]
mod tests;

use std::collections::{HashSet, VecDeque};

use teaselgap_core::{Span, Timestamp, journal::Record};
use tokio::sync::oneshot;

/// The largest batch, in bytes; it leaves room for other records in a segment.
const MAX_BATCH_BYTES: usize = 384 << 10;

/// The backoff after a first failure, in milliseconds; each further failure doubles it.
const INITIAL_BACKOFF_MS: u64 = 20;

/// The longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 500;

/// A lane of an outbox. A batch holds records of one lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LaneKind {
    /// Intents, and conclusions whose intents are not durable yet.
    Intents,
    /// Conclusions whose intents are durable.
    Conclusions,
}

/// This node's records for one partition that are not known to be durable.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    intents: Lane,
    conclusions: Lane,
    /// The `attempt` of each intent in the lane of intents.
    queued_intents: HashSet<u64>,
}

#[derive(Debug)]
struct QueuedRecord {
    record: Record,
    reply: Option<oneshot::Sender<bool>>,
}

#[derive(Debug, Default)]
struct Lane {
    queue: VecDeque<QueuedRecord>,
    /// How many records, from the front of the queue, form the batch in flight; 0 for none.
    in_flight: usize,
    /// When the next batch may be sent; later than now during a backoff.
    not_before: Timestamp,
    failures: u32,
}

impl Outbox {
    pub(super) fn push(&mut self, record: Record, reply: Option<oneshot::Sender<bool>>) {
        let lane = match &record {
            Record::Intent(intent) => {
                self.queued_intents.insert(intent.attempt);
                &mut self.intents
            }
            Record::Conclusion(conclusion) if self.queued_intents.contains(&conclusion.attempt) => {
                &mut self.intents
            }
            Record::Conclusion(_) => &mut self.conclusions,
        };
        lane.queue.push_back(QueuedRecord { record, reply });
    }

    fn lane(&mut self, id: LaneKind) -> &mut Lane {
        match id {
            LaneKind::Intents => &mut self.intents,
            LaneKind::Conclusions => &mut self.conclusions,
        }
    }

    /// Takes the next batch of a lane, unless one is in flight or the backoff has not ended.
    pub(super) fn next_batch(&mut self, id: LaneKind, now: Timestamp) -> Option<Vec<Record>> {
        self.lane(id).next_batch(now)
    }

    /// When the next batch may be sent, if there is one to send.
    pub(super) fn next_send_time(&self) -> Option<Timestamp> {
        self.intents.next_send_time().into_iter().chain(self.conclusions.next_send_time()).min()
    }

    /// Handles the reply to a lane's batch. Returns the size of the records that became durable.
    pub(super) fn on_reply(&mut self, id: LaneKind, durable: bool, now: Timestamp) -> usize {
        let durable_records = self.lane(id).on_reply(durable, now);
        let mut bytes = 0;
        for queued in durable_records {
            bytes += queued.record.size();
            if let Record::Intent(intent) = &queued.record {
                self.queued_intents.remove(&intent.attempt);
            }
            // The receiver may be gone.
            let _ = queued.reply.map(|reply| reply.send(true));
        }
        bytes
    }
}

impl Lane {
    fn next_batch(&mut self, now: Timestamp) -> Option<Vec<Record>> {
        if self.in_flight > 0 || self.queue.is_empty() || now < self.not_before {
            return None;
        }
        let mut bytes = 0;
        let fitting = self.queue.iter().take_while(|queued| {
            bytes += queued.record.size();
            bytes <= MAX_BATCH_BYTES
        });
        let count = fitting.count().max(1);
        self.in_flight = count;
        Some(self.queue.iter().take(count).map(|queued| queued.record.clone()).collect())
    }

    fn next_send_time(&self) -> Option<Timestamp> {
        (self.in_flight == 0 && !self.queue.is_empty()).then_some(self.not_before)
    }

    /// Handles the reply to the batch in flight. Returns the records that became durable.
    fn on_reply(&mut self, durable: bool, now: Timestamp) -> Vec<QueuedRecord> {
        let count = std::mem::take(&mut self.in_flight);
        if durable {
            self.failures = 0;
            self.not_before = now;
            return self.queue.drain(..count).collect();
        }
        let backoff = (INITIAL_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + Span(backoff);
        // Answers to callers must not wait until the store accepts writes again. The records stay
        // queued.
        for queued in &mut self.queue {
            let _ = queued.reply.take().map(|reply| reply.send(false));
        }
        Vec::new()
    }
}
