//! Records of this node on their way to the owners of their partitions.
//!
//! A record stays here until its owner says that it is durable. A batch that got no answer is sent
//! again whole and in order, which may write a record twice; whoever reads the journal takes the
//! last one.

use std::collections::VecDeque;

use teaselgap_core::{Timestamp, journal::Record};
use tokio::sync::oneshot;

/// Bytes of one batch; it must fit into one segment with others.
const MAX_BATCH_BYTES: usize = 384 << 10;

#[derive(Debug)]
struct Waiting {
    record: Record,
    reply: Option<oneshot::Sender<bool>>,
}

/// The records of one partition that wait.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: VecDeque<Waiting>,
    /// How many of the first records are under way.
    under_way: usize,
    /// No batch is sent before this point.
    not_before: Timestamp,
    failures: u32,
}

/// The first pause after a failure, in milliseconds; each further one is twice as long.
const FIRST_PAUSE_MS: u64 = 20;

/// The longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 500;

impl Outbox {
    pub(super) fn push(&mut self, record: Record, reply: Option<oneshot::Sender<bool>>) {
        self.waiting.push_back(Waiting { record, reply });
    }

    /// The next batch, if none is under way and it is time.
    pub(super) fn next_batch(&mut self, now: Timestamp) -> Option<Vec<Record>> {
        if self.under_way > 0 || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        let mut bytes = 0;
        let fitting = self.waiting.iter().take_while(|waiting| {
            bytes += waiting.record.size();
            bytes <= MAX_BATCH_BYTES
        });
        let count = fitting.count().max(1);
        self.under_way = count;
        Some(self.waiting.iter().take(count).map(|waiting| waiting.record.clone()).collect())
    }

    /// When the next batch may be sent, if anything waits.
    pub(super) fn due(&self) -> Option<Timestamp> {
        (self.under_way == 0 && !self.waiting.is_empty()).then_some(self.not_before)
    }

    /// The batch under way became durable or did not; the bytes that are settled.
    pub(super) fn answered(&mut self, durable: bool, now: Timestamp) -> usize {
        let count = std::mem::take(&mut self.under_way);
        if durable {
            self.failures = 0;
            self.not_before = now;
            let mut bytes = 0;
            for waiting in self.waiting.drain(..count) {
                bytes += waiting.record.size();
                // Nobody may wait any more.
                let _ = waiting.reply.map(|reply| reply.send(true));
            }
            return bytes;
        }
        let pause = (FIRST_PAUSE_MS << self.failures.min(8)).min(LONGEST_PAUSE_MS);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + teaselgap_core::Span(pause);
        // Answers must not wait for a store that takes nothing; the records themselves stay.
        for waiting in &mut self.waiting {
            let _ = waiting.reply.take().map(|reply| reply.send(false));
        }
        0
    }
}
