//! The journal's adapter: a thread of its own that owns partitions, or asks those who do.

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

/// Who owns a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) node_incarnation: NodeIncarnation,
    pub(crate) epoch: Epoch,
    pub(crate) address: std::net::SocketAddr,
}

/// The owners of all partitions, in order.
pub(crate) type Owners = Vec<Option<Owner>>;

/// The point until which this node's registration stands, shared with the journal's thread.
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

/// A request to the journal.
#[derive(Debug)]
pub(crate) enum JournalRequest {
    /// A caller's request is to be sent at most once.
    SubmitIntent { intent: Intent, reply: oneshot::Sender<Verdict> },
    /// A record needs no verdict; the reply says whether it became durable soon.
    Append { record: Record, reply: Option<oneshot::Sender<bool>> },
    /// Another node asks about a partition that it believes to be owned here.
    PeerSubmitIntent { partition: u32, intent: Intent, reply: oneshot::Sender<Verdict> },
    /// Another node brings records for a partition that it believes to be owned here.
    PeerAppend { partition: u32, records: Vec<Record>, reply: oneshot::Sender<bool> },
}

/// Bytes of records that may wait at this node to become durable.
pub(crate) const MAX_WAITING_BYTES: usize = 16 << 20;

/// The way to the journal from any thread.
#[derive(Clone, Debug)]
pub(crate) struct JournalClient {
    tx: mpsc::UnboundedSender<JournalRequest>,
    waiting_bytes: Arc<AtomicUsize>,
}

impl JournalClient {
    /// A client and the channel of its requests.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<JournalRequest>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx, waiting_bytes: Arc::default() }, rx)
    }

    /// Asks whether this node may send a request that must run at most once.
    ///
    /// Whoever does not get an answer before the deadline must not send it.
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

    /// Hands over a record; false if too much waits already.
    pub(crate) fn append(&self, record: Record) -> bool {
        self.hand_over(record, None)
    }

    /// Hands over a record and tells when it is durable, or that it is not for now.
    pub(crate) fn append_with_notice(&self, record: Record) -> Option<oneshot::Receiver<bool>> {
        let (reply, rx) = oneshot::channel();
        self.hand_over(record, Some(reply)).then_some(rx)
    }

    fn hand_over(&self, record: Record, reply: Option<oneshot::Sender<bool>>) -> bool {
        let size = record.size();
        let before = self.waiting_bytes.fetch_add(size, Ordering::AcqRel);
        // The end of a request that was let in is always taken.
        let full = before > MAX_WAITING_BYTES && matches!(record, Record::Intent(_));
        if full || self.tx.send(JournalRequest::Append { record, reply }).is_err() {
            self.waiting_bytes.fetch_sub(size, Ordering::AcqRel);
            return false;
        }
        true
    }

    /// Records of this size are durable.
    fn release_bytes(&self, size: usize) {
        self.waiting_bytes.fetch_sub(size, Ordering::AcqRel);
    }

    /// Bytes of records that wait to become durable.
    pub(crate) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes.load(Ordering::Acquire)
    }

    /// Passes on a request of another node.
    pub(crate) fn submit_peer_request(&self, request: JournalRequest) {
        // A journal that has ended drops the reply, which its asker takes as a refusal.
        let _ = self.tx.send(request);
    }
}
