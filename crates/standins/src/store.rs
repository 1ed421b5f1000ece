//! A stand-in for the platform's key-value service: etcd v3 wire format, in memory, with faults.
//!
//! [`Data`] is the store itself and [`Service`] its calls. Faults are set while it runs, by
//! [`Handle`] in the same process or over HTTP from another one.

mod data;
mod service;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Collected};
use hyper::{Method, Request, StatusCode, body::Incoming};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use teaselgap_proto::etcdserverpb::{
    kv_server::KvServer, lease_server::LeaseServer, watch_server::WatchServer,
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tonic::transport::server::TcpIncoming;

pub use data::Data;
pub use service::Service;

use crate::http;

/// What goes wrong at the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// No call is answered and no watch delivers; leases do not lapse meanwhile.
    pub down: bool,
    /// Added to each call, in milliseconds.
    pub latency_ms: u64,
    /// Share of calls that fail without effect, from 0 to 1.
    pub error_rate: f64,
    /// Share of writes whose answer is lost after they took effect, from 0 to 1.
    pub lost_answer_rate: f64,
    /// Added to each delivery of a watch, in milliseconds.
    pub watch_latency_ms: u64,
    /// Each event is delivered twice.
    pub repeat_events: bool,
    /// Seed of all chances.
    pub seed: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            latency_ms: 0,
            error_rate: 0.0,
            lost_answer_rate: 0.0,
            watch_latency_ms: 0,
            repeat_events: false,
            seed: 1,
        }
    }
}

/// Calls by kind since the start, as the platform counts them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Calls by kind: `range`, `txn-write`, `txn-read`, `keep-alive`, `grant`, `revoke`, `watch`.
    pub by_kind: IndexMap<String, u64>,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// The largest value that was ever written, in bytes.
    pub largest_value: u64,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where the key-value service listens.
    pub address: SocketAddr,
    /// Where faults are set and calls are counted, over HTTP.
    pub admin: SocketAddr,
    service: Service,
    tasks: Arc<Vec<JoinHandle<()>>>,
}

impl Handle {
    /// Changes the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Calls counted so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.service.calls()
    }

    /// Ends all watches as a compaction does and forgets the history of events.
    pub fn compact(&self) {
        self.service.compact();
    }

    /// Lapses every lease at once.
    pub fn expire_all_leases(&self) {
        self.service.expire_all_leases();
    }

    /// Stops the store.
    pub fn stop(&self) {
        for task in self.tasks.iter() {
            task.abort();
        }
    }
}

/// How often leases are looked at.
const LEASE_CHECK: Duration = Duration::from_millis(20);

/// Starts a store on loopback ports.
///
/// # Errors
///
/// If no port can be opened.
pub async fn start(address: SocketAddr, admin: SocketAddr) -> std::io::Result<Handle> {
    let service = Service::new(Faults::default());
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let server = tonic::transport::Server::builder()
        .add_service(KvServer::new(service.clone()))
        .add_service(WatchServer::new(service.clone()))
        .add_service(LeaseServer::new(service.clone()))
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)));
    let server = tokio::spawn(async move {
        let _ = server.await;
    });
    let lapsing = service.clone();
    let leases = tokio::spawn(async move {
        let mut ticks = tokio::time::interval(LEASE_CHECK);
        loop {
            ticks.tick().await;
            lapsing.expire_due_leases();
        }
    });
    let pages = service.clone();
    let (admin, page) = http::serve(admin, move |req| answer(pages.clone(), req)).await?;
    Ok(Handle { address, admin, service, tasks: Arc::new(vec![server, leases, page]) })
}

async fn answer(service: Service, req: Request<Incoming>) -> hyper::Response<http::Body> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/calls") => http::json(StatusCode::OK, &service.calls()),
        (&Method::GET, "/keys") => http::json(StatusCode::OK, &service.keys()),
        (&Method::POST, "/compact") => {
            service.compact();
            http::json(StatusCode::OK, &())
        }
        (&Method::POST, "/lapse") => {
            service.expire_all_leases();
            http::json(StatusCode::OK, &())
        }
        (&Method::PUT, "/faults") => {
            let body = req.into_body().collect().await.map(Collected::to_bytes);
            match body.map(|body: Bytes| serde_json::from_slice(&body)) {
                Ok(Ok(faults)) => {
                    service.set_faults(faults);
                    http::json(StatusCode::OK, &())
                }
                _ => http::json(StatusCode::BAD_REQUEST, &"expected faults as JSON"),
            }
        }
        _ => http::json(StatusCode::NOT_FOUND, &"no such page"),
    }
}

/// The faults in force, with notice of each change.
pub(crate) type FaultsCell = watch::Sender<Faults>;
