//! The journal's thread: one task that runs the partitions that this node owns.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use slog::{Logger, info, warn};
use teaselgap_core::{
    Epoch, RequestId, Timestamp,
    duty::{DutyId, NodeIncarnation},
    journal::{
        Action, Conclusion, Config, Intent, Partition, Record, Segment, Sequence, Token, Verdict,
        WriteResult,
    },
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::LocalSet,
};

use super::{
    JournalClient, JournalRequest, LeaseDeadline, Owner, Owners, codec, compact,
    outbox::{LaneKind, Outbox},
    recover::{self, RecoverError, Recovered},
};
use crate::{
    clock,
    peer::PeerClients,
    settings::JournalSettings,
    store::{
        Condition, Priority, Store, StoreError, Transaction, Write,
        keys::{Keys, partition_of},
    },
};

/// The configuration and connections of the journal's thread.
pub(crate) struct JournalConfig {
    pub(crate) node_incarnation: NodeIncarnation,
    pub(crate) settings: JournalSettings,
    pub(crate) keys: Keys,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) owners: watch::Receiver<Owners>,
    pub(crate) lease: LeaseDeadline,
    pub(crate) client: JournalClient,
    pub(crate) log: Logger,
}

/// Starts the journal's thread, which ends when the last client is dropped.
pub(crate) fn start(
    cfg: JournalConfig,
    request_rx: mpsc::UnboundedReceiver<JournalRequest>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name("journal".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(err) => {
                slog::error!(cfg.log, "cannot start the journal's runtime"; "error" => %err);
                return;
            }
        };
        LocalSet::new().block_on(&runtime, JournalThread::new(cfg).run(request_rx));
    })
}

/// A result that a task of this thread reports to [`JournalThread`].
enum Event {
    Recovered {
        partition: u32,
        epoch: Epoch,
        result: Result<Recovered, RecoverError>,
    },
    WriteDone {
        partition: u32,
        epoch: Epoch,
        sequence: Sequence,
        result: WriteResult,
    },
    ReadBack {
        partition: u32,
        epoch: Epoch,
        sequence: Sequence,
        nonce: Option<u64>,
    },
    BatchDone {
        partition: u32,
        lane: LaneKind,
        durable: bool,
    },
    Compacted {
        partition: u32,
        epoch: Epoch,
        first: Option<Sequence>,
    },
    /// Requests a comparison of the owners with the partitions that this node runs.
    CheckOwners,
}

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
struct OwnedPartition {
    epoch: Epoch,
    /// `None` while the partition is being read.
    loaded: Option<LoadedPartition>,
    /// Requests that arrived while the partition was being read.
    queued_requests: Vec<JournalRequest>,
}

/// A partition that was read and accepts requests.
struct LoadedPartition {
    state: Partition,
    waiters: HashMap<Token, Waiter>,
    /// The first segment that the current snapshot does not cover.
    first: Sequence,
    compacting: bool,
}

/// The state of the journal's thread.
struct JournalThread {
    cfg: JournalConfig,
    peers: PeerClients,
    owned_partitions: HashMap<u32, OwnedPartition>,
    /// One for each partition, whether owned here or elsewhere.
    outboxes: Vec<Outbox>,
    next_token: u64,
    tx: mpsc::UnboundedSender<Event>,
    rx: Option<mpsc::UnboundedReceiver<Event>>,
}

/// The longest wait for an event when no batch or segment is scheduled.
const MAX_IDLE_WAIT: Duration = Duration::from_mins(1);

/// The delay before a partition is read again after a failure.
const RECOVER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The delay before a segment is read back again after a failure.
const READ_BACK_RETRY_DELAY: Duration = Duration::from_millis(20);

impl JournalThread {
    fn new(cfg: JournalConfig) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let outboxes = (0..cfg.settings.partitions).map(|_| Outbox::default()).collect();
        Self {
            cfg,
            peers: PeerClients::default(),
            owned_partitions: HashMap::new(),
            outboxes,
            next_token: 0,
            tx,
            rx: Some(rx),
        }
    }

    async fn run(mut self, mut request_rx: mpsc::UnboundedReceiver<JournalRequest>) {
        let Some(mut events) = self.rx.take() else {
            return;
        };
        let mut owners = self.cfg.owners.clone();
        loop {
            self.flush_outboxes();
            let next_deadline = self
                .outboxes
                .iter()
                .filter_map(Outbox::next_send_time)
                .chain(self.flush_times())
                .min();
            let wait = next_deadline.map_or(MAX_IDLE_WAIT, clock::until);
            tokio::select! {
                request = request_rx.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                Some(event) = events.recv() => self.handle_event(event),
                changed = owners.changed() => match changed {
                    Ok(()) => self.update_ownership(),
                    Err(_) => return,
                },
                () = tokio::time::sleep(wait) => self.advance_all(),
            }
        }
    }

    /// When each loaded partition next writes a segment, if it has records to write.
    fn flush_times(&self) -> impl Iterator<Item = Timestamp> {
        self.owned_partitions.values().filter_map(|owned| owned.loaded.as_ref()?.state.next_flush())
    }

    /// Lets each partition write a segment if its time has come.
    fn advance_all(&mut self) {
        let partitions: Vec<u32> = self.owned_partitions.keys().copied().collect();
        for partition in partitions {
            self.update_partition(partition, |_, _| {});
        }
    }

    /// Advances a partition to the current time, applies `update` and performs the actions that
    /// result.
    fn update_partition(
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

    fn partition_of(&self, id: &RequestId) -> u32 {
        partition_of(id, self.cfg.settings.partitions)
    }

    fn owner(&self, partition: u32) -> Option<Owner> {
        self.cfg.owners.borrow().get(partition as usize).cloned().flatten()
    }

    /// Starts to read the partitions that this node came to own and drops those that it lost.
    fn update_ownership(&mut self) {
        for partition in 0..self.cfg.settings.partitions {
            let local_owner = self
                .owner(partition)
                .filter(|owner| owner.node_incarnation == self.cfg.node_incarnation);
            let Some(owner) = local_owner else {
                // This closes the channels of all waiters, which take it as a refusal.
                self.owned_partitions.remove(&partition);
                continue;
            };
            let known_epoch = self.owned_partitions.get(&partition).map(|owned| owned.epoch);
            if known_epoch != Some(owner.epoch) {
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

    fn handle_request(&mut self, request: JournalRequest) {
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
                    None => drop(reply),
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

    /// Handles a request about a partition that this node should own.
    fn handle_owned_request(&mut self, partition: u32, request: JournalRequest) {
        let Some(owned) = self.owned_partitions.get_mut(&partition) else {
            // The sender takes the dropped reply as a refusal.
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

    fn handle_event(&mut self, event: Event) {
        let partition = match event {
            Event::CheckOwners => return self.update_ownership(),
            Event::BatchDone { partition, lane, durable } => {
                let outbox = &mut self.outboxes[partition as usize];
                let bytes = outbox.on_reply(lane, durable, clock::now());
                self.cfg.client.release_bytes(bytes);
                return;
            }
            Event::Recovered { partition, epoch, result } => {
                return self.handle_recovered(partition, epoch, result);
            }
            Event::Compacted { partition, epoch, first } => {
                if let Some(loaded) = self.loaded_partition(partition, epoch) {
                    loaded.compacting = false;
                    loaded.first = first.unwrap_or(loaded.first);
                }
                return;
            }
            Event::WriteDone { partition, epoch, sequence, result } => {
                if self.loaded_partition(partition, epoch).is_some() {
                    self.update_partition(partition, |state, out| {
                        state.handle_write_result(sequence, result, out);
                    });
                }
                partition
            }
            Event::ReadBack { partition, epoch, sequence, nonce } => {
                if self.loaded_partition(partition, epoch).is_some() {
                    self.update_partition(partition, |state, out| {
                        state.handle_read_back(sequence, nonce, out);
                    });
                }
                partition
            }
        };
        self.compact_if_due(partition);
    }

    /// The partition, if it is loaded and still in the term `epoch`.
    fn loaded_partition(&mut self, partition: u32, epoch: Epoch) -> Option<&mut LoadedPartition> {
        let owned = self.owned_partitions.get_mut(&partition)?;
        owned.loaded.as_mut().filter(|_| owned.epoch == epoch)
    }

    fn handle_recovered(
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

    /// Writes a segment, provided that the term has not ended and its number is free.
    fn write(&self, partition: u32, segment: Segment) {
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
    fn read_back(&self, partition: u32, sequence: Sequence) {
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

    /// Sends the next batch of each lane to the partition's owner, if it may be sent now.
    fn flush_outboxes(&mut self) {
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

    /// Starts a compaction if there are `snapshot_every` segments after the current snapshot.
    fn compact_if_due(&mut self, partition: u32) {
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
