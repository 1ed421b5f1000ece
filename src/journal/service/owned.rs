//! The partitions that this node owns: they are read when a term begins, and then accept requests.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use slog::{info, warn};
use teaselgap_core::{
    Epoch, Timestamp,
    journal::{Action, Conclusion, Config, Intent, Partition, Record, Sequence, Token, Verdict},
};
use tokio::sync::oneshot;

use super::{Event, JournalThread, RECOVER_RETRY_DELAY};
use crate::{
    clock,
    journal::{
        JournalRequest,
        recover::{self, RecoverError, Recovered},
    },
};

/// The receiver of the answer to a [`Token`].
enum Waiter {
    Verdict(oneshot::Sender<Verdict>, Intent),
    Batch(Rc<RefCell<Batch>>),
}

/// The records of one append request, which get one reply.
struct Batch {
    remaining: usize,
    durable: bool,
    reply: Option<oneshot::Sender<bool>>,
}

impl Batch {
    /// Reports the result for one record. After the last one, sends the reply: true if all records
    /// are durable.
    fn report_record(&mut self, durable: bool) {
        self.remaining -= 1;
        self.durable &= durable;
        if self.remaining == 0 {
            let _ = self.reply.take().map(|reply| reply.send(self.durable));
        }
    }
}

/// A partition that this node owns.
pub(super) struct OwnedPartition {
    pub(super) epoch: Epoch,
    /// `None` while the partition is being read.
    pub(super) loaded: Option<LoadedPartition>,
    /// Requests that arrived while the partition was being read.
    queued_requests: Vec<JournalRequest>,
}

/// A partition that was read and accepts requests.
pub(super) struct LoadedPartition {
    pub(super) state: Partition,
    waiters: HashMap<Token, Waiter>,
    /// The first segment that the current snapshot does not cover.
    pub(super) first: Sequence,
    pub(super) compacting: bool,
}

impl JournalThread {
    /// When each loaded partition next writes a segment, if it has records to write.
    pub(super) fn flush_times(&self) -> impl Iterator<Item = Timestamp> {
        self.owned_partitions.values().filter_map(|owned| owned.loaded.as_ref()?.state.next_flush())
    }

    /// Lets each partition write a segment if its time has come.
    pub(super) fn advance_all(&mut self) {
        let partitions: Vec<u32> = self.owned_partitions.keys().copied().collect();
        for partition in partitions {
            self.update_partition(partition, |_, _| {});
        }
    }

    /// Advances a partition to the current time, applies `update` and performs the actions that
    /// result.
    pub(super) fn update_partition(
        &mut self,
        partition: u32,
        update: impl FnOnce(&mut Partition, &mut Vec<Action>),
    ) {
        let mut out = Vec::new();
        let owned = self.owned_partitions.get_mut(&partition);
        if let Some(loaded) = owned.and_then(|owned| owned.loaded.as_mut()) {
            loaded.state.advance(clock::now(), &mut out);
            update(&mut loaded.state, &mut out);
        }
        self.perform(partition, out);
    }

    /// Starts to read the partitions that this node came to own and drops those that it lost.
    pub(super) fn update_ownership(&mut self) {
        for partition in 0..self.cfg.settings.partitions {
            let local_owner = self
                .owner(partition)
                .filter(|owner| owner.node_incarnation == self.cfg.node_incarnation);
            let Some(owner) = local_owner else {
                self.drop_partition(partition);
                continue;
            };
            let known_epoch = self.owned_partitions.get(&partition).map(|owned| owned.epoch);
            if known_epoch != Some(owner.epoch) {
                self.drop_partition(partition);
                let new = OwnedPartition {
                    epoch: owner.epoch,
                    loaded: None,
                    queued_requests: Vec::new(),
                };
                self.owned_partitions.insert(partition, new);
                self.recover(partition, owner.epoch, Duration::ZERO);
            }
        }
    }

    /// Drops a partition whose term has ended. Intents without a verdict are concluded as not run:
    /// the dropped reply keeps their submitters from sending them, but they may be in the journal
    /// already, since this node may hear of the next term before the store answers its last write.
    fn drop_partition(&mut self, partition: u32) {
        let owned = self.owned_partitions.remove(&partition);
        let Some(loaded) = owned.and_then(|owned| owned.loaded) else {
            return;
        };
        for waiter in loaded.waiters.into_values() {
            if let Waiter::Verdict(reply, intent) = waiter {
                drop(reply);
                let conclusion = Arc::new(Conclusion::not_run(&intent));
                self.cfg.client.append(Record::Conclusion(conclusion));
            }
        }
    }

    /// Reads a partition after a delay.
    fn recover(&self, partition: u32, epoch: Epoch, delay: Duration) {
        let (store, keys) = (Arc::clone(&self.cfg.store), self.cfg.keys.clone());
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            let result = recover::read(&*store, &keys, partition).await;
            let _ = tx.send(Event::Recovered { partition, epoch, result });
        });
    }

    /// Handles a request about a partition that this node should own.
    pub(super) fn handle_owned_request(&mut self, partition: u32, request: JournalRequest) {
        let Some(owned) = self.owned_partitions.get_mut(&partition) else {
            request.refuse();
            return;
        };
        let Some(loaded) = &mut owned.loaded else {
            owned.queued_requests.push(request);
            return;
        };
        let mut out = Vec::new();
        loaded.state.advance(clock::now(), &mut out);
        let mut token = || {
            self.next_token += 1;
            Token(self.next_token)
        };
        match request {
            JournalRequest::PeerSubmitIntent { intent, reply, .. }
            | JournalRequest::SubmitIntent { intent, reply } => {
                let token = token();
                loaded.waiters.insert(token, Waiter::Verdict(reply, intent.clone()));
                loaded.state.submit_intent(token, intent, &mut out);
            }
            JournalRequest::PeerAppend { records, reply, .. } => {
                let remaining = records.len();
                let batch = Batch { remaining, durable: true, reply: Some(reply) };
                let batch = Rc::new(RefCell::new(batch));
                for record in records {
                    let token = token();
                    loaded.waiters.insert(token, Waiter::Batch(Rc::clone(&batch)));
                    loaded.state.append(token, record, &mut out);
                }
            }
            JournalRequest::Append { .. } => {}
        }
        self.perform(partition, out);
    }

    /// The partition, if it is loaded and still in the term `epoch`.
    pub(super) fn loaded_partition(
        &mut self,
        partition: u32,
        epoch: Epoch,
    ) -> Option<&mut LoadedPartition> {
        let owned = self.owned_partitions.get_mut(&partition)?;
        owned.loaded.as_mut().filter(|_| owned.epoch == epoch)
    }

    pub(super) fn handle_recovered(
        &mut self,
        partition: u32,
        epoch: Epoch,
        result: Result<Recovered, RecoverError>,
    ) {
        let Some(owned) =
            self.owned_partitions.get_mut(&partition).filter(|owned| owned.epoch == epoch)
        else {
            return;
        };
        let recovered = match result {
            Ok(recovered) => recovered,
            Err(err) => {
                warn!(self.cfg.log, "cannot read journal partition"; "partition" => partition,
                    "error" => %err);
                return self.recover(partition, epoch, RECOVER_RETRY_DELAY);
            }
        };
        info!(self.cfg.log, "journal partition read"; "partition" => partition, "epoch" => epoch.0,
            "entries" => recovered.entries.len(), "next" => recovered.next);
        let max_remembered = usize::try_from(self.cfg.settings.remembered).unwrap_or(usize::MAX);
        let cfg = Config { max_remembered, ..Config::default() };
        // The upper bits hold the epoch, and the partition counts up within a term, so no two
        // writes have the same nonce.
        let nonce = epoch.0 << 24;
        let state = Partition::new(cfg, recovered.next, recovered.entries, nonce);
        owned.loaded = Some(LoadedPartition {
            state,
            waiters: HashMap::new(),
            first: recovered.first,
            compacting: false,
        });
        for request in std::mem::take(&mut owned.queued_requests) {
            self.handle_owned_request(partition, request);
        }
    }

    /// Carries out the actions that a partition asks for.
    fn perform(&mut self, partition: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(segment) => self.write(partition, segment),
                Action::ReadBack(sequence) => self.read_back(partition, sequence),
                Action::Answer(token, verdict) => self.answer(partition, token, verdict),
                Action::Durable(token) => self.answer(partition, token, Verdict::Recorded),
                Action::Stop => {
                    warn!(self.cfg.log, "journal term ended"; "partition" => partition);
                    self.owned_partitions.remove(&partition);
                    // If this node still owns the partition, it reads the partition again.
                    let tx = self.tx.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(RECOVER_RETRY_DELAY).await;
                        let _ = tx.send(Event::CheckOwners);
                    });
                }
            }
        }
    }

    /// Delivers the answer for a token.
    fn answer(&mut self, partition: u32, token: Token, verdict: Verdict) {
        let Some(loaded) =
            self.owned_partitions.get_mut(&partition).and_then(|owned| owned.loaded.as_mut())
        else {
            return;
        };
        match loaded.waiters.remove(&token) {
            Some(Waiter::Verdict(reply, intent)) => {
                let undelivered = reply.send(verdict).err();
                // The submitter stopped waiting, so the request will not be sent.
                if undelivered == Some(Verdict::Recorded) {
                    self.cfg
                        .client
                        .append(Record::Conclusion(Arc::new(Conclusion::not_run(&intent))));
                }
            }
            Some(Waiter::Batch(batch)) => {
                batch.borrow_mut().report_record(verdict == Verdict::Recorded);
            }
            None => {}
        }
    }
}
