//! Calls between nodes: the clients, the server and the conversion of messages.

mod convert;
mod server;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use teaselgap_core::{
    Span,
    journal::{Intent, Record, Verdict},
    rtt::{self, RttEstimator},
};
use teaselgap_proto::peer::{
    AppendRequest, IntendRequest, intend_reply::Verdict as WireVerdict, peer_client::PeerClient,
};
use tonic::transport::{Channel, Endpoint};

pub(crate) use self::{convert::*, server::serve};
use crate::clock;

/// Largest message between nodes, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Longest wait for the connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The bounds of the timeout for a reply from the owner of a journal partition.
const OWNER_TIMEOUT_BOUNDS: rtt::Config =
    rtt::Config { min_timeout: Span(200), max_timeout: Span(2_000) };

/// Clients for other nodes, each of which connects on its first call. All calls must be made within
/// the same Tokio runtime.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, PeerClient<Channel>>>,
    /// Estimated round-trip times of calls to the owners of journal partitions.
    owner_rtts: Arc<Mutex<HashMap<SocketAddr, RttEstimator>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerClients {
    /// Returns the client for a node; `None` if the address makes no valid URI.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let client =
            PeerClient::new(endpoint.connect_lazy()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        clients.insert(address, client.clone());
        Some(client)
    }

    /// Drops the client for a node, so that the next call makes a new connection.
    pub(crate) fn forget(&self, address: SocketAddr) {
        lock(&self.clients).remove(&address);
    }

    /// Waits for a reply from the owner of a journal partition, with a timeout derived from the
    /// round-trip times of earlier calls.
    fn call_owner<T, C: Future<Output = Option<T>>>(
        &self,
        address: SocketAddr,
        call: C,
    ) -> impl Future<Output = Option<T>> + use<T, C> {
        let estimators = Arc::clone(&self.owner_rtts);
        async move {
            let timeout =
                lock(&estimators).entry(address).or_default().timeout(OWNER_TIMEOUT_BOUNDS);
            let sent = clock::now();
            let reply = tokio::time::timeout(timeout.to_std(), call).await;
            let mut estimators = lock(&estimators);
            let estimator = estimators.entry(address).or_default();
            match &reply {
                Ok(_) => estimator.record(clock::now().since(sent)),
                Err(_) => estimator.record_timeout(OWNER_TIMEOUT_BOUNDS),
            }
            reply.ok().flatten()
        }
    }

    /// Submits an intent to the owner of a journal partition; `None` if no valid reply comes in
    /// time.
    pub(crate) fn submit_intent(
        &self,
        address: SocketAddr,
        partition: u32,
        intent: &Intent,
    ) -> impl Future<Output = Option<Verdict>> + use<> {
        let client = self.get(address);
        let intent = serde_json::to_vec(intent).ok();
        self.call_owner(address, async move {
            let req = IntendRequest { partition, intent: intent?.into() };
            let reply = client?.intend(req).await.ok()?.into_inner();
            match reply.verdict() {
                WireVerdict::Refused => Some(Verdict::Refused),
                WireVerdict::Recorded => Some(Verdict::Recorded),
                WireVerdict::Mismatch => Some(Verdict::Mismatch),
                WireVerdict::Open => serde_json::from_slice(&reply.detail).ok().map(Verdict::Open),
                WireVerdict::Concluded => {
                    serde_json::from_slice(&reply.detail).ok().map(Verdict::Concluded)
                }
            }
        })
    }

    /// Sends records to the owner of a journal partition; true if the owner confirms that they are
    /// durable.
    pub(crate) fn append(
        &self,
        address: SocketAddr,
        partition: u32,
        records: &[Record],
    ) -> impl Future<Output = bool> + use<> {
        let client = self.get(address);
        let records = serde_json::to_vec(records).unwrap_or_default();
        let reply = self.call_owner(address, async move {
            let req = AppendRequest { partition, records: records.into() };
            let reply = client?.append(req).await.ok()?;
            Some(reply.get_ref().durable)
        });
        async move { reply.await.unwrap_or(false) }
    }
}
