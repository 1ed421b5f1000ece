//! Calls between nodes.

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

/// Largest message between nodes.
pub(crate) const MAX_MESSAGE: usize = 16 << 20;

/// Longest wait for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The bounds of the wait for the owner of a journal partition.
const OWNER_WAIT: rtt::Config = rtt::Config { min_timeout: Span(200), max_timeout: Span(2_000) };

/// Connections to other nodes, made when they are first used. Use it within one runtime.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, PeerClient<Channel>>>,
    /// How long the owners of journal partitions took to answer.
    waits: Arc<Mutex<HashMap<SocketAddr, RttEstimator>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PeerClients {
    /// The client for a node.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut channels = lock(&self.channels);
        if let Some(client) = channels.get(&address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let client =
            PeerClient::new(endpoint.connect_lazy()).max_decoding_message_size(MAX_MESSAGE);
        channels.insert(address, client.clone());
        Some(client)
    }

    /// Drops the connection to a node, so that the next call makes a new one.
    pub(crate) fn forget(&self, address: SocketAddr) {
        lock(&self.channels).remove(&address);
    }

    /// Waits for the owner of a journal partition as long as its earlier answers suggest.
    fn wait_for_owner<T, C: Future<Output = Option<T>>>(
        &self,
        address: SocketAddr,
        call: C,
    ) -> impl Future<Output = Option<T>> + use<T, C> {
        let waits = Arc::clone(&self.waits);
        async move {
            let limit = lock(&waits).entry(address).or_default().timeout(OWNER_WAIT);
            let sent = clock::now();
            let reply = tokio::time::timeout(limit.to_std(), call).await;
            let mut waits = lock(&waits);
            let estimate = waits.entry(address).or_default();
            match &reply {
                Ok(_) => estimate.record(clock::now().since(sent)),
                Err(_) => estimate.record_timeout(OWNER_WAIT),
            }
            reply.ok().flatten()
        }
    }

    /// Asks the owner of a partition for a verdict; `None` without an answer.
    pub(crate) fn submit_intent(
        &self,
        address: SocketAddr,
        partition: u32,
        intent: &Intent,
    ) -> impl Future<Output = Option<Verdict>> + use<> {
        let client = self.get(address);
        let intent = serde_json::to_vec(intent).ok();
        self.wait_for_owner(address, async move {
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

    /// Brings records to the owner of a partition; whether they are durable there.
    pub(crate) fn append(
        &self,
        address: SocketAddr,
        partition: u32,
        records: &[Record],
    ) -> impl Future<Output = bool> + use<> {
        let client = self.get(address);
        let records = serde_json::to_vec(records).unwrap_or_default();
        let reply = self.wait_for_owner(address, async move {
            let req = AppendRequest { partition, records: records.into() };
            let reply = client?.append(req).await.ok()?;
            Some(reply.get_ref().durable)
        });
        async move { reply.await.unwrap_or(false) }
    }
}
