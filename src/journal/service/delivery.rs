//! Delivery of intents and records to the owners of their partitions.

use std::sync::Arc;

use teaselgap_core::journal::{Conclusion, Intent, Record, Verdict};
use tokio::sync::oneshot;

use super::{Event, JournalThread};
use crate::{
    clock,
    journal::{JournalRequest, Owner, outbox::LaneKind},
};

impl JournalThread {
    pub(super) fn handle_request(&mut self, request: JournalRequest) {
        match request {
            JournalRequest::Append { record, reply } => {
                let id = match &record {
                    Record::Intent(intent) => &intent.id,
                    Record::Conclusion(conclusion) => &conclusion.id,
                };
                let partition = self.partition_of(id);
                self.outboxes[partition as usize].push(record, reply);
            }
            JournalRequest::SubmitIntent { intent, reply } => {
                let partition = self.partition_of(&intent.id);
                match self.owner(partition) {
                    Some(owner) if owner.node_incarnation == self.cfg.node_incarnation => {
                        self.handle_owned_request(
                            partition,
                            JournalRequest::PeerSubmitIntent { partition, intent, reply },
                        );
                    }
                    Some(owner) => self.submit_intent_to(&owner, partition, intent, reply),
                    None => JournalRequest::SubmitIntent { intent, reply }.refuse(),
                }
            }
            JournalRequest::PeerSubmitIntent { partition, .. }
            | JournalRequest::PeerAppend { partition, .. } => {
                self.handle_owned_request(partition, request);
            }
        }
    }

    /// Submits an intent to the owner. If there is no answer, the verdict is [`Verdict::Refused`],
    /// and a conclusion tells the owner that the request was not run.
    fn submit_intent_to(
        &self,
        owner: &Owner,
        partition: u32,
        intent: Intent,
        reply: oneshot::Sender<Verdict>,
    ) {
        let call = self.peers.submit_intent(owner.address, partition, &intent);
        let client = self.cfg.client.clone();
        tokio::task::spawn_local(async move {
            let verdict = call.await;
            let unanswered = verdict.is_none();
            let undelivered = reply.send(verdict.unwrap_or(Verdict::Refused)).err();
            // The request will not be sent, so its intent is concluded in case it was recorded.
            if unanswered || undelivered == Some(Verdict::Recorded) {
                client.append(Record::Conclusion(Arc::new(Conclusion::not_run(&intent))));
            }
        });
    }

    /// Sends the next batch of each lane to the partition's owner, if it may be sent now.
    pub(super) fn flush_outboxes(&mut self) {
        let now = clock::now();
        for partition in 0..self.cfg.settings.partitions {
            for lane in [LaneKind::Intents, LaneKind::Conclusions] {
                let batch = self.outboxes[partition as usize].next_batch(lane, now);
                if let Some(records) = batch {
                    self.send_batch(partition, lane, records);
                }
            }
        }
    }

    /// Sends a batch to the partition's owner, which may be this node.
    fn send_batch(&mut self, partition: u32, lane: LaneKind, records: Vec<Record>) {
        let tx = self.tx.clone();
        let report = move |durable| {
            let _ = tx.send(Event::BatchDone { partition, lane, durable });
        };
        match self.owner(partition) {
            None => report(false),
            Some(owner) if owner.node_incarnation == self.cfg.node_incarnation => {
                let (reply, rx) = oneshot::channel();
                self.handle_owned_request(
                    partition,
                    JournalRequest::PeerAppend { partition, records, reply },
                );
                tokio::task::spawn_local(async move { report(rx.await.unwrap_or(false)) });
            }
            Some(owner) => {
                let call = self.peers.append(owner.address, partition, &records);
                tokio::task::spawn_local(async move { report(call.await) });
            }
        }
    }
}
