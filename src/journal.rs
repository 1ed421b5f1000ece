//! The journal's thread, which runs the partitions that this node owns and sends requests about
//! other partitions to their owners.

mod codec;
mod compact;
mod outbox;
pub(crate) mod recover;
mod service;

use std::sync::{
    Arc,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use teaselgap_core::{
    Epoch, Timestamp,
    duty::NodeIncarnation,
    journal::{Intent, Record, Verdict},
};
use tokio::sync::{mpsc, oneshot};

pub(crate) use self::{
    codec::decode,
    service::{JournalConfig, start},
};
use crate::clock;

/// The node that owns a partition, with its term and its peer address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) node_incarnation: NodeIncarnation,
    pub(crate) epoch: Epoch,
    pub(crate) address: std::net::SocketAddr,
}

/// The owner of each partition, by the partition's number; `None` while it has none.
pub(crate) type Owners = Vec<Option<Owner>>;

/// When this node's registration expires unless it is renewed. Clones share the value, which the
/// journal's thread checks before each write.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseDeadline(Arc<AtomicU64>);

impl LeaseDeadline {
    pub(crate) fn set(&self, deadline: Timestamp) {
        self.0.store(deadline.0, Ordering::Release);
    }

    pub(crate) fn is_valid(&self) -> bool {
        clock::now().0 < self.0.load(Ordering::Acquire)
    }
}

/// A request to the journal's thread. If the reply to an intent is dropped, the intent must not be
/// sent either, but may be in the journal.
#[derive(Debug)]
pub(crate) enum JournalRequest {
    /// Asks whether this node may send a caller's request that must run at most once.
    SubmitIntent { intent: Intent, reply: oneshot::Sender<Verdict> },
    /// Appends a record that needs no verdict. The reply is true once the record is durable, and
    /// false if an attempt to write fails first; the record is retried all the same.
    Append { record: Record, reply: Option<oneshot::Sender<bool>> },
    /// Submits an intent of another node, which takes this node for the partition's owner.
    PeerSubmitIntent { partition: u32, intent: Intent, reply: oneshot::Sender<Verdict> },
    /// Appends records of another node, which takes this node for the partition's owner.
    PeerAppend { partition: u32, records: Vec<Record>, reply: oneshot::Sender<bool> },
}

impl JournalRequest {
    /// Refuses a request that certainly has had no effect.
    fn refuse(self) {
        // The sender of the request may have stopped waiting.
        match self {
            Self::SubmitIntent { reply, .. } | Self::PeerSubmitIntent { reply, .. } => {
                let _ = reply.send(Verdict::Refused);
            }
            Self::PeerAppend { reply, .. } => {
                let _ = reply.send(false);
            }
            Self::Append { reply, .. } => {
                let _ = reply.map(|reply| reply.send(false));
            }
        }
    }
}

/// While more bytes of records than this wait to become durable, the node enqueues no intents.
pub(crate) const MAX_WAITING_BYTES: usize = 16 << 20;

/// Sends requests to the journal's thread from any thread.
#[derive(Clone, Debug)]
pub(crate) struct JournalClient {
    tx: mpsc::UnboundedSender<JournalRequest>,
    waiting_bytes: Arc<AtomicUsize>,
}

impl JournalClient {
    /// Creates a client and the receiver of its requests.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<JournalRequest>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx, waiting_bytes: Arc::default() }, rx)
    }

    /// Asks whether this node may send a request that must run at most once.
    ///
    /// If there is no answer before the deadline, the verdict is [`Verdict::Refused`], and the
    /// caller must not send the request.
    pub(crate) async fn submit_intent(&self, intent: Intent, deadline: Timestamp) -> Verdict {
        let (reply, rx) = oneshot::channel();
        if self.tx.send(JournalRequest::SubmitIntent { intent, reply }).is_err() {
            return Verdict::Refused;
        }
        match tokio::time::timeout(clock::until(deadline), rx).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::Refused,
        }
    }

    /// Enqueues a record. Returns false if too many bytes wait already or the journal has ended.
    pub(crate) fn append(&self, record: Record) -> bool {
        self.enqueue(record, None)
    }

    /// Enqueues a record like [`append`](Self::append). The receiver gets true once the record is
    /// durable, and false if an attempt to write fails first.
    pub(crate) fn append_with_notice(&self, record: Record) -> Option<oneshot::Receiver<bool>> {
        let (reply, rx) = oneshot::channel();
        self.enqueue(record, Some(reply)).then_some(rx)
    }

    fn enqueue(&self, record: Record, reply: Option<oneshot::Sender<bool>>) -> bool {
        let size = record.size();
        let before = self.waiting_bytes.fetch_add(size, Ordering::AcqRel);
        // A conclusion is always accepted, because its request was.
        let full = before > MAX_WAITING_BYTES && matches!(record, Record::Intent(_));
        if full || self.tx.send(JournalRequest::Append { record, reply }).is_err() {
            self.waiting_bytes.fetch_sub(size, Ordering::AcqRel);
            return false;
        }
        true
    }

    /// Subtracts the size of records that became durable.
    fn release_bytes(&self, size: usize) {
        self.waiting_bytes.fetch_sub(size, Ordering::AcqRel);
    }

    /// The size of the records that wait to become durable, in bytes.
    pub(crate) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes.load(Ordering::Acquire)
    }

    /// Submits a request that came from another node.
    pub(crate) fn submit_peer_request(&self, request: JournalRequest) {
        // If the journal has ended, the reply is dropped, which the other node takes as a refusal.
        let _ = self.tx.send(request);
    }
}
