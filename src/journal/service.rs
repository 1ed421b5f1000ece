//! The journal's thread: one task that runs the partitions that this node owns and delivers records
//! to the owners of the others.

mod delivery;
mod owned;
mod segments;

use std::{collections::HashMap, sync::Arc, time::Duration};

use slog::Logger;
use teaselgap_core::{
    Epoch, RequestId,
    duty::NodeIncarnation,
    journal::{Sequence, WriteResult},
};
use tokio::{
    sync::{mpsc, watch},
    task::LocalSet,
};

use self::owned::OwnedPartition;
use super::{
    JournalClient, JournalRequest, LeaseDeadline, Owner, Owners,
    outbox::{LaneKind, Outbox},
    recover::{RecoverError, Recovered},
};
use crate::{
    clock,
    peer::PeerClients,
    settings::JournalSettings,
    store::{
        Store,
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

    fn partition_of(&self, id: &RequestId) -> u32 {
        partition_of(id, self.cfg.settings.partitions)
    }

    fn owner(&self, partition: u32) -> Option<Owner> {
        self.cfg.owners.borrow().get(partition as usize).cloned().flatten()
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
}
