//! The journal's thread: one task that drives the partitions owned here.

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

/// What the journal's thread works with.
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

/// Starts the journal's thread; it ends with the last client.
pub(crate) fn start(
    cfg: JournalConfig,
    request_rx: mpsc::UnboundedReceiver<JournalRequest>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name("journal".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(err) => {
                slog::error!(cfg.log, "journal thread"; "error" => %err);
                return;
            }
        };
        LocalSet::new().block_on(&runtime, Service::new(cfg).run(request_rx));
    })
}

/// What the tasks of this thread report back.
enum Event {
    Recovered { partition: u32, epoch: Epoch, result: Result<Recovered, RecoverError> },
    Stored { partition: u32, epoch: Epoch, sequence: Sequence, written: WriteResult },
    ReadBack { partition: u32, epoch: Epoch, sequence: Sequence, nonce: Option<u64> },
    BatchDone { partition: u32, lane: LaneKind, durable: bool },
    Compacted { partition: u32, epoch: Epoch, first: Option<Sequence> },
    Recheck,
}

/// Who waits for a token.
enum Waiter {
    Verdict(oneshot::Sender<Verdict>, Intent),
    Batch(Rc<RefCell<Batch>>),
}

/// Records that were brought together and are answered together.
struct Batch {
    left: usize,
    durable: bool,
    reply: Option<oneshot::Sender<bool>>,
}

impl Batch {
    fn settle(&mut self, durable: bool) {
        self.left -= 1;
        self.durable &= durable;
        if self.left == 0 {
            let _ = self.reply.take().map(|reply| reply.send(self.durable));
        }
    }
}

/// A partition that is owned here.
struct Local {
    epoch: Epoch,
    state: Option<Ready>,
    /// What arrived while the partition was being read.
    early: Vec<JournalRequest>,
}

struct Ready {
    machine: Partition,
    waiters: HashMap<Token, Waiter>,
    /// The first segment that no snapshot covers.
    first: Sequence,
    compacting: bool,
}

struct Service {
    cfg: JournalConfig,
    peers: PeerClients,
    locals: HashMap<u32, Local>,
    outboxes: Vec<Outbox>,
    next_token: u64,
    tx: mpsc::UnboundedSender<Event>,
    rx: Option<mpsc::UnboundedReceiver<Event>>,
}

/// Longest pause while nothing waits.
const IDLE_PAUSE: Duration = Duration::from_mins(1);

/// Pause before a partition that could not be read is read again.
const RECOVER_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a segment that could not be read back is read again.
const READ_BACK_PAUSE: Duration = Duration::from_millis(20);

impl Service {
    fn new(cfg: JournalConfig) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let outboxes = (0..cfg.settings.partitions).map(|_| Outbox::default()).collect();
        Self {
            cfg,
            peers: PeerClients::default(),
            locals: HashMap::new(),
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
            let due = self
                .outboxes
                .iter()
                .filter_map(Outbox::next_send_time)
                .chain(self.segments_due())
                .min();
            let pause = due.map_or(IDLE_PAUSE, clock::until);
            tokio::select! {
                request = request_rx.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                Some(event) = events.recv() => self.event(event),
                changed = owners.changed() => match changed {
                    Ok(()) => self.take_owners(),
                    Err(_) => return,
                },
                () = tokio::time::sleep(pause) => self.advance(),
            }
        }
    }

    fn segments_due(&self) -> impl Iterator<Item = Timestamp> {
        self.locals.values().filter_map(|local| local.state.as_ref()?.machine.next_flush())
    }

    /// Starts the segments that are due.
    fn advance(&mut self) {
        let partitions: Vec<u32> = self.locals.keys().copied().collect();
        for partition in partitions {
            self.drive(partition, |_, _| {});
        }
    }

    /// Tells a partition the time, lets it handle something, and does what it asks for.
    fn drive(&mut self, partition: u32, act: impl FnOnce(&mut Partition, &mut Vec<Action>)) {
        let mut out = Vec::new();
        let local = self.locals.get_mut(&partition);
        if let Some(ready) = local.and_then(|local| local.state.as_mut()) {
            ready.machine.advance(clock::now(), &mut out);
            act(&mut ready.machine, &mut out);
        }
        self.perform(partition, out);
    }

    fn partition_of(&self, id: &RequestId) -> u32 {
        partition_of(id, self.cfg.settings.partitions)
    }

    fn owner(&self, partition: u32) -> Option<Owner> {
        self.cfg.owners.borrow().get(partition as usize).cloned().flatten()
    }

    /// Starts reading what became owned here and lets go of what is owned elsewhere.
    fn take_owners(&mut self) {
        for partition in 0..self.cfg.settings.partitions {
            let mine = self
                .owner(partition)
                .filter(|owner| owner.node_incarnation == self.cfg.node_incarnation);
            let Some(owner) = mine else {
                // Those who wait see their channel close, which is a refusal.
                self.locals.remove(&partition);
                continue;
            };
            let known = self.locals.get(&partition).map(|local| local.epoch);
            if known != Some(owner.epoch) {
                let local = Local { epoch: owner.epoch, state: None, early: Vec::new() };
                self.locals.insert(partition, local);
                self.recover(partition, owner.epoch, Duration::ZERO);
            }
        }
    }

    fn recover(&self, partition: u32, epoch: Epoch, pause: Duration) {
        let (store, keys) = (Arc::clone(&self.cfg.store), self.cfg.keys.clone());
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            let result = recover::read(&*store, &keys, partition).await;
            let _ = tx.send(Event::Recovered { partition, epoch, result });
        });
    }

    fn handle_request(&mut self, request: JournalRequest) {
        match request {
            JournalRequest::Append { record, reply } => {
                let id = match &record {
                    Record::Intent(intent) => &intent.id,
                    Record::Conclusion(end) => &end.id,
                };
                let partition = self.partition_of(id);
                self.outboxes[partition as usize].push(record, reply);
            }
            JournalRequest::SubmitIntent { intent, reply } => {
                let partition = self.partition_of(&intent.id);
                match self.owner(partition) {
                    Some(owner) if owner.node_incarnation == self.cfg.node_incarnation => {
                        self.local(
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
                self.local(partition, request);
            }
        }
    }

    /// Asks the owner; a question without an answer is a refusal, and the owner is told so.
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
            let lost = verdict.is_none();
            let refused = reply.send(verdict.unwrap_or(Verdict::Refused)).err();
            // Nobody will send the request, so the intent is taken back in case it was recorded.
            if lost || refused == Some(Verdict::Recorded) {
                client.append(Record::Conclusion(Arc::new(Conclusion::not_run(&intent))));
            }
        });
    }

    /// Handles what concerns a partition that should be owned here.
    fn local(&mut self, partition: u32, request: JournalRequest) {
        let Some(local) = self.locals.get_mut(&partition) else {
            // Dropping the reply is a refusal.
            return;
        };
        let Some(ready) = &mut local.state else {
            local.early.push(request);
            return;
        };
        let mut out = Vec::new();
        ready.machine.advance(clock::now(), &mut out);
        let mut token = || {
            self.next_token += 1;
            Token(self.next_token)
        };
        match request {
            JournalRequest::PeerSubmitIntent { intent, reply, .. }
            | JournalRequest::SubmitIntent { intent, reply } => {
                let token = token();
                ready.waiters.insert(token, Waiter::Verdict(reply, intent.clone()));
                ready.machine.submit_intent(token, intent, &mut out);
            }
            JournalRequest::PeerAppend { records, reply, .. } => {
                let left = records.len();
                let batch = Batch { left, durable: true, reply: Some(reply) };
                let batch = Rc::new(RefCell::new(batch));
                for record in records {
                    let token = token();
                    ready.waiters.insert(token, Waiter::Batch(Rc::clone(&batch)));
                    ready.machine.append(token, record, &mut out);
                }
            }
            JournalRequest::Append { .. } => {}
        }
        self.perform(partition, out);
    }

    fn event(&mut self, event: Event) {
        let partition = match event {
            Event::Recheck => return self.take_owners(),
            Event::BatchDone { partition, lane, durable } => {
                let outbox = &mut self.outboxes[partition as usize];
                let bytes = outbox.on_reply(lane, durable, clock::now());
                self.cfg.client.release_bytes(bytes);
                return;
            }
            Event::Recovered { partition, epoch, result } => {
                return self.recovered(partition, epoch, result);
            }
            Event::Compacted { partition, epoch, first } => {
                if let Some(ready) = self.ready(partition, epoch) {
                    ready.compacting = false;
                    ready.first = first.unwrap_or(ready.first);
                }
                return;
            }
            Event::Stored { partition, epoch, sequence, written } => {
                if self.ready(partition, epoch).is_some() {
                    self.drive(partition, |machine, out| {
                        machine.handle_write_result(sequence, written, out);
                    });
                }
                partition
            }
            Event::ReadBack { partition, epoch, sequence, nonce } => {
                if self.ready(partition, epoch).is_some() {
                    self.drive(partition, |machine, out| {
                        machine.handle_read_back(sequence, nonce, out);
                    });
                }
                partition
            }
        };
        self.compact_if_due(partition);
    }

    fn ready(&mut self, partition: u32, epoch: Epoch) -> Option<&mut Ready> {
        let local = self.locals.get_mut(&partition)?;
        local.state.as_mut().filter(|_| local.epoch == epoch)
    }

    fn recovered(&mut self, partition: u32, epoch: Epoch, result: Result<Recovered, RecoverError>) {
        let Some(local) = self.locals.get_mut(&partition).filter(|local| local.epoch == epoch)
        else {
            return;
        };
        let recovered = match result {
            Ok(recovered) => recovered,
            Err(err) => {
                warn!(self.cfg.log, "journal not read"; "partition" => partition,
                    "error" => %err);
                return self.recover(partition, epoch, RECOVER_PAUSE);
            }
        };
        info!(self.cfg.log, "journal read"; "partition" => partition, "epoch" => epoch.0,
            "entries" => recovered.entries.len(), "next" => recovered.next);
        let max_remembered = usize::try_from(self.cfg.settings.remembered).unwrap_or(usize::MAX);
        let cfg = Config { max_remembered, ..Config::default() };
        // The term is part of the nonce, and within a term it counts up.
        let nonce = epoch.0 << 24;
        let machine = Partition::new(cfg, recovered.next, recovered.entries, nonce);
        local.state = Some(Ready {
            machine,
            waiters: HashMap::new(),
            first: recovered.first,
            compacting: false,
        });
        for request in std::mem::take(&mut local.early) {
            self.local(partition, request);
        }
    }

    /// Carries out what a partition asks for.
    fn perform(&mut self, partition: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(segment) => self.write(partition, segment),
                Action::ReadBack(sequence) => self.read_back(partition, sequence),
                Action::Answer(token, verdict) => self.answer(partition, token, verdict),
                Action::Durable(token) => self.answer(partition, token, Verdict::Recorded),
                Action::Stop => {
                    warn!(self.cfg.log, "journal term ended"; "partition" => partition);
                    self.locals.remove(&partition);
                    // If the term stands after all, the partition is read anew.
                    let tx = self.tx.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(RECOVER_PAUSE).await;
                        let _ = tx.send(Event::Recheck);
                    });
                }
            }
        }
    }

    fn answer(&mut self, partition: u32, token: Token, verdict: Verdict) {
        let Some(ready) = self.locals.get_mut(&partition).and_then(|local| local.state.as_mut())
        else {
            return;
        };
        match ready.waiters.remove(&token) {
            Some(Waiter::Verdict(reply, intent)) => {
                let unheard = reply.send(verdict).err();
                // Nobody waits for the verdict any more, so nobody will send the request.
                if unheard == Some(Verdict::Recorded) {
                    self.cfg
                        .client
                        .append(Record::Conclusion(Arc::new(Conclusion::not_run(&intent))));
                }
            }
            Some(Waiter::Batch(batch)) => {
                batch.borrow_mut().settle(verdict == Verdict::Recorded);
            }
            None => {}
        }
    }

    fn write(&self, partition: u32, segment: Segment) {
        let Some(epoch) = self.locals.get(&partition).map(|local| local.epoch) else {
            return;
        };
        let sequence = segment.sequence;
        let tx = self.tx.clone();
        let stored = move |written| Event::Stored { partition, epoch, sequence, written };
        // The deadline is looked at before each effect; the store's compare fences what is late.
        if !self.cfg.lease.is_valid() {
            let _ = tx.send(stored(WriteResult::Failed));
            return;
        }
        let duty = self.cfg.keys.duty(&DutyId::Journal(partition));
        let key = self.cfg.keys.segment(partition, sequence);
        let store = Arc::clone(&self.cfg.store);
        tokio::task::spawn_local(async move {
            let written = match codec::encode(&segment) {
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
            let _ = tx.send(stored(written));
        });
    }

    /// Reads a segment's nonce, however long that takes; the term may end meanwhile.
    fn read_back(&self, partition: u32, sequence: Sequence) {
        let Some(epoch) = self.locals.get(&partition).map(|local| local.epoch) else {
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
                tokio::time::sleep(READ_BACK_PAUSE).await;
            }
        });
    }

    /// Sends what waits in the outboxes to the owners.
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

    fn send_batch(&mut self, partition: u32, lane: LaneKind, records: Vec<Record>) {
        let tx = self.tx.clone();
        let done = move |durable| {
            let _ = tx.send(Event::BatchDone { partition, lane, durable });
        };
        match self.owner(partition) {
            None => done(false),
            Some(owner) if owner.node_incarnation == self.cfg.node_incarnation => {
                let (reply, rx) = oneshot::channel();
                self.local(partition, JournalRequest::PeerAppend { partition, records, reply });
                tokio::task::spawn_local(async move { done(rx.await.unwrap_or(false)) });
            }
            Some(owner) => {
                let call = self.peers.append(owner.address, partition, &records);
                tokio::task::spawn_local(async move { done(call.await) });
            }
        }
    }

    /// Makes a snapshot once enough segments have gathered since the last one.
    fn compact_if_due(&mut self, partition: u32) {
        let every = self.cfg.settings.snapshot_every;
        let Some(local) = self.locals.get_mut(&partition) else {
            return;
        };
        let epoch = local.epoch;
        let Some(ready) = &mut local.state else {
            return;
        };
        let due = ready.machine.next_sequence() >= ready.first + every;
        if !due || ready.compacting {
            return;
        }
        ready.compacting = true;
        let compaction = compact::Compaction {
            partition,
            epoch,
            first: ready.first,
            next: ready.machine.next_sequence(),
            entries: ready.machine.durable_entries(),
            store: Arc::clone(&self.cfg.store),
            keys: self.cfg.keys.clone(),
        };
        let (tx, log) = (self.tx.clone(), self.cfg.log.clone());
        tokio::task::spawn_local(async move {
            let first = match compaction.run().await {
                Ok(first) => Some(first),
                Err(err) => {
                    warn!(log, "journal not compacted"; "partition" => partition, "error" => %err);
                    // Not at once again: the store may be in trouble.
                    tokio::time::sleep(RECOVER_PAUSE * 10).await;
                    None
                }
            };
            let _ = tx.send(Event::Compacted { partition, epoch, first });
        });
    }
}
