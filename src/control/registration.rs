//! Registers this node in the store and renews the registration's lease.
//!
//! A node has one lease. Its duties are valid while the registration exists.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use teaselgap_core::{Span, Timestamp, ZoneId};
use tokio::sync::mpsc;

use super::{ControlConfig, Event, NodeStore};
use crate::{
    clock,
    store::{LeaseId, Priority, Store, StoreError, Transaction, Write},
};

/// The value of a node's registration key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeValue {
    pub(crate) peer: std::net::SocketAddr,
    pub(crate) http: std::net::SocketAddr,
    pub(crate) zone: ZoneId,
}

/// A registration to write to the store.
pub(super) struct Registration {
    pub(super) key: String,
    pub(super) value: Bytes,
    pub(super) ttl: Span,
}

/// The encoded value of this node's registration key.
pub(super) fn encode_value(cfg: &ControlConfig) -> Bytes {
    let zone = cfg.shared.settings.zone.clone();
    let value = NodeValue { peer: cfg.address, http: cfg.http, zone };
    serde_json::to_vec(&value).unwrap_or_default().into()
}

/// Renewals of the lease within its time to live.
const RENEWALS_PER_TTL: u64 = 3;

/// Pause after a failed store call.
const RETRY_DELAY: Span = Span(100);

/// When this node must treat a lease granted or renewed by a call sent at `sent` as expired.
///
/// It is an eighth of the time to live earlier than on the store's clock, because the two clocks
/// may run at slightly different rates.
fn lease_deadline(sent: Timestamp, ttl: Span) -> Timestamp {
    sent + Span(ttl.0 - ttl.0 / 8)
}

/// Registers the node, renews its lease, and registers it again under a new lease after an expiry.
pub(super) async fn keep_registered(
    store: Arc<NodeStore>,
    registration: Registration,
    events: mpsc::UnboundedSender<Event>,
) {
    while !events.is_closed() {
        let sent = clock::now();
        match register(&store, &registration).await {
            Ok(lease) => {
                let until = lease_deadline(sent, registration.ttl);
                if events.send(Event::Registered(until)).is_err() {
                    return;
                }
                renew_until_expired(&store, lease, registration.ttl, &events).await;
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY.to_std()).await,
        }
    }
}

async fn register(store: &NodeStore, registration: &Registration) -> Result<LeaseId, StoreError> {
    let lease = store.grant(registration.ttl).await?;
    let write = Write::Put {
        key: registration.key.clone(),
        value: registration.value.clone(),
        lease: Some(lease),
    };
    let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
    match store.transact(&transaction, Priority::Vital).await {
        Ok(_) => Ok(lease),
        Err(err) => {
            // If the write took effect after all, revoking the lease deletes the key.
            let _ = store.revoke(lease).await;
            Err(err)
        }
    }
}

/// Renews the lease until the store reports it expired or the receiver of the events is closed.
async fn renew_until_expired(
    store: &NodeStore,
    lease: LeaseId,
    ttl: Span,
    events: &mpsc::UnboundedSender<Event>,
) {
    let interval = Span(ttl.0 / RENEWALS_PER_TTL);
    loop {
        tokio::time::sleep(interval.to_std()).await;
        let sent = clock::now();
        match store.keep_alive(lease).await {
            Ok(true) => {
                if events.send(Event::Registered(lease_deadline(sent, ttl))).is_err() {
                    return;
                }
            }
            Ok(false) => return,
            Err(_) => tokio::time::sleep(RETRY_DELAY.to_std()).await,
        }
    }
}
