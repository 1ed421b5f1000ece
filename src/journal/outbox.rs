//! Records of this node on their way to the owners of their partitions.
//!
//! A record stays here until its owner says that it is durable. A batch that got no answer is sent
//! again whole and in order, which may write a record twice; whoever reads the journal takes the
//! last one.
//!
//! Conclusions travel in a lane of their own, because the owner lets them wait for an intent to
//! share a segment with, and nobody's intent should wait for that. A conclusion whose intent is
//! still here follows it in the same lane, so that the journal never holds an end before its start.

use std::collections::{HashSet, VecDeque};

use teaselgap_core::{Span, Timestamp, journal::Record};
use tokio::sync::oneshot;

/// Bytes of one batch; it must fit into one segment with others.
const MAX_BATCH_BYTES: usize = 384 << 10;

/// The first pause after a failure, in milliseconds; each further one is twice as long.
const FIRST_PAUSE_MS: u64 = 20;

/// The longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 500;

/// Which records a batch is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LaneKind {
    /// Intents, and the conclusions that must follow them.
    Intents,
    /// Conclusions whose intents are durable.
    Conclusions,
}

/// The records of one partition that wait.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    intents: Lane,
    conclusions: Lane,
    /// Arrivals whose intent is in its lane.
    unsettled: HashSet<u64>,
}

#[derive(Debug)]
struct Waiting {
    record: Record,
    reply: Option<oneshot::Sender<bool>>,
}

#[derive(Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    /// How many of the first records are under way.
    under_way: usize,
    /// No batch is sent before this point.
    not_before: Timestamp,
    failures: u32,
}

impl Outbox {
    pub(super) fn push(&mut self, record: Record, reply: Option<oneshot::Sender<bool>>) {
        let lane = match &record {
            Record::Intent(intent) => {
                self.unsettled.insert(intent.attempt);
                &mut self.intents
            }
            Record::Conclusion(end) if self.unsettled.contains(&end.attempt) => &mut self.intents,
            Record::Conclusion(_) => &mut self.conclusions,
        };
        lane.waiting.push_back(Waiting { record, reply });
    }

    fn lane(&mut self, id: LaneKind) -> &mut Lane {
        match id {
            LaneKind::Intents => &mut self.intents,
            LaneKind::Conclusions => &mut self.conclusions,
        }
    }

    /// The next batch of a lane, if none is under way and it is time.
    pub(super) fn next_batch(&mut self, id: LaneKind, now: Timestamp) -> Option<Vec<Record>> {
        self.lane(id).next_batch(now)
    }

    /// When the next batch may be sent, if anything waits.
    pub(super) fn next_send_time(&self) -> Option<Timestamp> {
        self.intents.next_send_time().into_iter().chain(self.conclusions.next_send_time()).min()
    }

    /// The batch under way became durable or did not; the bytes that are settled.
    pub(super) fn on_reply(&mut self, id: LaneKind, durable: bool, now: Timestamp) -> usize {
        let settled = self.lane(id).on_reply(durable, now);
        let mut bytes = 0;
        for waiting in settled {
            bytes += waiting.record.size();
            if let Record::Intent(intent) = &waiting.record {
                self.unsettled.remove(&intent.attempt);
            }
            // Nobody may wait any more.
            let _ = waiting.reply.map(|reply| reply.send(true));
        }
        bytes
    }
}

impl Lane {
    fn next_batch(&mut self, now: Timestamp) -> Option<Vec<Record>> {
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

    fn next_send_time(&self) -> Option<Timestamp> {
        (self.under_way == 0 && !self.waiting.is_empty()).then_some(self.not_before)
    }

    /// The records that are settled; none if the batch was not durable.
    fn on_reply(&mut self, durable: bool, now: Timestamp) -> Vec<Waiting> {
        let count = std::mem::take(&mut self.under_way);
        if durable {
            self.failures = 0;
            self.not_before = now;
            return self.waiting.drain(..count).collect();
        }
        let pause = (FIRST_PAUSE_MS << self.failures.min(8)).min(LONGEST_PAUSE_MS);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + Span(pause);
        // Answers must not wait for a store that takes nothing; the records themselves stay.
        for waiting in &mut self.waiting {
            let _ = waiting.reply.take().map(|reply| reply.send(false));
        }
        Vec::new()
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use teaselgap_core::{
        Incarnation,
        duty::NodeIncarnation,
        journal::{Conclusion, Intent},
    };

    use super::*;

    fn intent(attempt: u64) -> Intent {
        Intent {
            id: format!("r{attempt}").parse().unwrap(),
            attempt,
            at_most_once: false,
            customer: "c".parse().unwrap(),
            service: "s".parse().unwrap(),
            at: NodeIncarnation { node: "n".parse().unwrap(), incarnation: Incarnation(1) },
            time_ms: 0,
            method: "GET".to_owned(),
            path: "/".to_owned(),
            head: Vec::new(),
            body: Vec::new(),
            truncated: false,
            fingerprint: 0,
        }
    }

    fn start(attempt: u64) -> Record {
        Record::Intent(Arc::new(intent(attempt)))
    }

    fn end(attempt: u64) -> Record {
        Record::Conclusion(Arc::new(Conclusion::not_run(&intent(attempt))))
    }

    #[test]
    fn a_conclusion_follows_its_intent_while_that_is_not_durable() {
        let mut outbox = Outbox::default();
        outbox.push(start(1), None);
        outbox.push(end(1), None);

        let batch = outbox.next_batch(LaneKind::Intents, Timestamp(0)).unwrap();

        assert_eq!(batch, [start(1), end(1)]);
        assert_eq!(outbox.next_batch(LaneKind::Conclusions, Timestamp(0)), None);
    }

    #[test]
    fn an_intent_does_not_wait_for_conclusions_under_way() {
        let mut outbox = Outbox::default();
        outbox.push(end(1), None);
        assert!(outbox.next_batch(LaneKind::Conclusions, Timestamp(0)).is_some());

        outbox.push(start(2), None);

        assert_eq!(outbox.next_batch(LaneKind::Intents, Timestamp(0)), Some(vec![start(2)]));
    }

    #[test]
    fn a_batch_that_was_not_durable_is_sent_again_after_a_pause() {
        let mut outbox = Outbox::default();
        outbox.push(start(1), None);
        outbox.next_batch(LaneKind::Intents, Timestamp(0));

        assert_eq!(outbox.on_reply(LaneKind::Intents, false, Timestamp(0)), 0);

        assert_eq!(outbox.next_send_time(), Some(Timestamp(FIRST_PAUSE_MS)));
        assert_eq!(
            outbox.next_batch(LaneKind::Intents, Timestamp(FIRST_PAUSE_MS)),
            Some(vec![start(1)])
        );
        assert!(outbox.on_reply(LaneKind::Intents, true, Timestamp(30)) > 0);
        assert_eq!(outbox.next_send_time(), None);
    }
}
