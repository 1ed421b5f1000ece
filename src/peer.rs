//! Calls between nodes.

mod convert;
mod server;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use teaselgap_core::journal::{Intent, Record, Verdict};
use teaselgap_proto::peer::{
    AppendRequest, IntendRequest, intend_reply::Verdict as WireVerdict, peer_client::PeerClient,
};
use tonic::transport::{Channel, Endpoint};

pub(crate) use self::{convert::*, server::serve};

/// Largest message between nodes.
pub(crate) const MAX_MESSAGE: usize = 16 << 20;

/// Longest wait for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a record to become durable at its owner.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections to other nodes, made when they are first used. Use it within one runtime.
#[derive(Debug, Default)]
pub(crate) struct PeerClients {
    channels: Mutex<HashMap<SocketAddr, PeerClient<Channel>>>,
}

impl PeerClients {
    /// The client for a node.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
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
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Asks the owner of a partition for a verdict; `None` without an answer.
    pub(crate) fn intend(
        &self,
        address: SocketAddr,
        partition: u32,
        intent: &Intent,
    ) -> impl Future<Output = Option<Verdict>> + use<> {
        let client = self.get(address);
        let intent = serde_json::to_vec(intent).ok();
        async move {
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
        }
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
        async move {
            let Some(mut client) = client else {
                return false;
            };
            let call = client.append(AppendRequest { partition, records: records.into() });
            let reply = tokio::time::timeout(APPEND_TIMEOUT, call).await;
            matches!(reply, Ok(Ok(reply)) if reply.get_ref().durable)
        }
    }
}
