//! Simulates the platform's key-value service: etcd v3 wire format, in memory, with fault
//! injection.
//!
//! [`Data`] holds the content and [`Service`] implements the calls. Faults can be changed while the
//! store runs, through [`Handle`] in the same process or over HTTP from another one.

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

/// The faults that the store injects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether the store is down: calls hang, watches deliver nothing and no lease expires.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    pub latency_ms: u64,
    /// Probability that a call fails without taking effect, from 0 to 1.
    pub error_rate: f64,
    /// Probability that a write takes effect but its answer is lost, from 0 to 1.
    pub lost_answer_rate: f64,
    /// Delay of the answer to a write that took effect, in milliseconds. Watches report the write
    /// meanwhile.
    pub answer_latency_ms: u64,
    /// Delay of each message of a watch, in milliseconds.
    pub watch_latency_ms: u64,
    /// Whether watches deliver each event twice.
    pub repeat_events: bool,
    /// Seed of the random generator that decides which calls fail and which answers are lost.
    pub seed: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            latency_ms: 0,
            error_rate: 0.0,
            lost_answer_rate: 0.0,
            answer_latency_ms: 0,
            watch_latency_ms: 0,
            repeat_events: false,
            seed: 1,
        }
    }
}

/// Statistics of the calls since the start, counted as the platform counts calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Number of calls by kind: `range`, `txn-write`, `txn-read`, `keep-alive`, `grant`, `revoke`,
    /// `watch`.
    pub by_kind: IndexMap<String, u64>,
    /// Number of open watches.
    pub waiting_watches: u64,
    /// Size of the largest value written, in bytes.
    pub largest_value: u64,
}

/// Controls a running store.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address of the key-value service.
    pub address: SocketAddr,
    /// Address of the HTTP interface that sets faults and reports statistics.
    pub admin: SocketAddr,
    service: Service,
    tasks: Arc<Vec<JoinHandle<()>>>,
}

impl Handle {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.service.set_faults(faults);
    }

    /// Returns the statistics of the calls so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.service.calls()
    }

    /// Compacts the history of events, which ends all watches.
    pub fn compact(&self) {
        self.service.compact();
    }

    /// Expires all leases at once.
    pub fn expire_all_leases(&self) {
        self.service.expire_all_leases();
    }

    /// Aborts the store's tasks: the key-value service, the HTTP interface and lease expiry.
    pub fn stop(&self) {
        for task in self.tasks.iter() {
            task.abort();
        }
    }
}

/// Interval between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a store that serves keys on `address` and its HTTP interface on `admin`.
///
/// # Errors
///
/// If an address can't be bound.
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
    let expiring = service.clone();
    let leases = tokio::spawn(async move {
        let mut ticks = tokio::time::interval(LEASE_CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            expiring.expire_due_leases();
        }
    });
    let admin_service = service.clone();
    let (admin, admin_task) =
        http::serve(admin, move |req| handle_request(admin_service.clone(), req)).await?;
    Ok(Handle { address, admin, service, tasks: Arc::new(vec![server, leases, admin_task]) })
}

async fn handle_request(service: Service, req: Request<Incoming>) -> hyper::Response<http::Body> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/calls") => http::json_response(StatusCode::OK, &service.calls()),
        (&Method::GET, "/keys") => http::json_response(StatusCode::OK, &service.keys()),
        (&Method::POST, "/compact") => {
            service.compact();
            http::json_response(StatusCode::OK, &())
        }
        (&Method::POST, "/lapse") => {
            service.expire_all_leases();
            http::json_response(StatusCode::OK, &())
        }
        (&Method::PUT, "/faults") => {
            let body = req.into_body().collect().await.map(Collected::to_bytes);
            match body.map(|body: Bytes| serde_json::from_slice(&body)) {
                Ok(Ok(faults)) => {
                    service.set_faults(faults);
                    http::json_response(StatusCode::OK, &())
                }
                _ => http::json_response(StatusCode::BAD_REQUEST, &"expected faults as JSON"),
            }
        }
        _ => http::json_response(StatusCode::NOT_FOUND, &"no such page"),
    }
}

/// Holds the faults in force and notifies subscribers of each change.
pub(crate) type FaultsSender = watch::Sender<Faults>;
