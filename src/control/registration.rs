//! This node's registration in the store, under its one lease.

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

/// What a node's key says of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeValue {
    pub(crate) peer: std::net::SocketAddr,
    pub(crate) http: std::net::SocketAddr,
    pub(crate) zone: ZoneId,
}

/// What is to be registered.
pub(super) struct Registration {
    pub(super) key: String,
    pub(super) value: Bytes,
    pub(super) ttl: Span,
}

pub(super) fn value(cfg: &ControlConfig) -> Bytes {
    let zone = cfg.shared.settings.zone.clone();
    let value = NodeValue { peer: cfg.address, http: cfg.http, zone };
    serde_json::to_vec(&value).unwrap_or_default().into()
}

/// Renewals within one time to live.
const RENEWALS: u64 = 3;

/// Pause after a failure.
const PAUSE: Span = Span(100);

/// The node's own caution for clocks that run at slightly different rates.
fn deadline(sent: Timestamp, ttl: Span) -> Timestamp {
    sent + Span(ttl.0 - ttl.0 / 8)
}

/// Registers the node and keeps it registered.
pub(super) async fn keep(
    store: Arc<NodeStore>,
    registration: Registration,
    events: mpsc::UnboundedSender<Event>,
) {
    while !events.is_closed() {
        let sent = clock::now();
        match register(&store, &registration).await {
            Ok(lease) => {
                let until = deadline(sent, registration.ttl);
                if events.send(Event::Registered(until)).is_err() {
                    return;
                }
                renew(&store, lease, registration.ttl, &events).await;
            }
            Err(_) => tokio::time::sleep(PAUSE.to_std()).await,
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
            // If the write took effect after all, the key goes with its lease.
            let _ = store.revoke(lease).await;
            Err(err)
        }
    }
}

/// Renews until the lease has lapsed.
async fn renew(
    store: &NodeStore,
    lease: LeaseId,
    ttl: Span,
    events: &mpsc::UnboundedSender<Event>,
) {
    let pause = Span(ttl.0 / RENEWALS);
    loop {
        tokio::time::sleep(pause.to_std()).await;
        let sent = clock::now();
        match store.keep_alive(lease).await {
            Ok(true) => {
                if events.send(Event::Registered(deadline(sent, ttl))).is_err() {
                    return;
                }
            }
            Ok(false) => return,
            Err(_) => tokio::time::sleep(PAUSE.to_std()).await,
        }
    }
}
