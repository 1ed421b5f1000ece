//! Simulates the platform's list of VMs: JSON over HTTP with revisions and long polling.
//!
//! `GET /vms?after=N` returns the VMs that changed after revision `N`; if there are none, it waits
//! for a change. `PUT /vms` with a JSON list of VMs adds or replaces those VMs. `POST
//! /maintain?vm=ID` requests the maintenance of a VM. The list only records such requests; the
//! process that runs the list may carry them out.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http_body_util::{BodyExt, Collected};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use teaselgap_core::{PoolId, RackId, Slots, VmId, ZoneId};
use tokio::{sync::watch, task::JoinHandle};

use crate::http;

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's id.
    pub id: VmId,
    /// Address at which the VM's backend server listens.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Pool that the VM belongs to.
    pub pool: PoolId,
    /// Number of requests that the VM runs concurrently.
    pub slots: Slots,
    /// Whether the VM accepts new work.
    pub state: VmState,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// End of the VM's last maintenance, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub maintained_ms: Option<u64>,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM accepts new work.
    Live,
    /// The VM is about to stop.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// Response to `GET /vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Revision of the list; the client passes it as `after` in its next request.
    pub revision: u64,
    /// VMs that changed after the requested revision.
    pub vms: Vec<Vm>,
}

/// Longest wait of a request for a change.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct VmTable {
    vms: IndexMap<VmId, (u64, Vm)>,
}

/// Controls a running list.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address at which the list is served.
    pub address: SocketAddr,
    list: List,
    task: Arc<JoinHandle<()>>,
}

#[derive(Clone, Debug)]
struct List {
    table: Arc<Mutex<VmTable>>,
    revision: Arc<watch::Sender<u64>>,
    lag: Arc<watch::Sender<Duration>>,
    maintenance: Arc<watch::Sender<Vec<VmId>>>,
}

impl Handle {
    /// Adds or replaces VMs.
    pub fn put(&self, vms: Vec<Vm>) {
        self.list.put(vms);
    }

    /// Delays each response to `GET /vms` by this time.
    pub fn set_lag(&self, lag: Duration) {
        self.list.lag.send_replace(lag);
    }

    /// The VMs for which maintenance was requested, in order of the requests, with duplicates.
    #[must_use]
    pub fn maintenance(&self) -> watch::Receiver<Vec<VmId>> {
        self.list.maintenance.subscribe()
    }

    /// Stops accepting connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl List {
    fn put(&self, vms: Vec<Vm>) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = *self.revision.borrow() + 1;
        for vm in vms {
            table.vms.insert(vm.id.clone(), (revision, vm));
        }
        self.revision.send_replace(revision);
    }

    async fn changes_after(&self, after: u64) -> Page {
        let mut revisions = self.revision.subscribe();
        let newer = revisions.wait_for(|revision| *revision > after);
        let _ = tokio::time::timeout(LONG_POLL_TIMEOUT, newer).await;
        let lag = *self.lag.borrow();
        if !lag.is_zero() {
            tokio::time::sleep(lag).await;
        }
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = table.vms.values().filter(|(revision, _)| *revision > after);
        Page { revision: *self.revision.borrow(), vms: changed.map(|(_, vm)| vm.clone()).collect() }
    }
}

/// Starts a list that is served on `address`.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(address: SocketAddr, vms: Vec<Vm>) -> std::io::Result<Handle> {
    let list = List {
        table: Arc::default(),
        revision: Arc::new(watch::Sender::new(0)),
        lag: Arc::new(watch::Sender::new(Duration::ZERO)),
        maintenance: Arc::default(),
    };
    list.put(vms);
    let served = list.clone();
    let (address, task) =
        http::serve(address, move |req| handle_request(served.clone(), req)).await?;
    Ok(Handle { address, list, task: Arc::new(task) })
}

async fn handle_request(list: List, req: Request<Incoming>) -> Response<http::Body> {
    match *req.method() {
        Method::GET => {
            let query = req.uri().query().unwrap_or_default();
            let after = query.strip_prefix("after=").and_then(|n| n.parse().ok()).unwrap_or(0);
            http::json_response(StatusCode::OK, &list.changes_after(after).await)
        }
        Method::PUT => {
            let body = req.into_body().collect().await.map(Collected::to_bytes);
            match body.map(|body| serde_json::from_slice(&body)) {
                Ok(Ok(vms)) => {
                    list.put(vms);
                    http::json_response(StatusCode::OK, &())
                }
                _ => http::json_response(StatusCode::BAD_REQUEST, &"expected a list of VMs"),
            }
        }
        Method::POST => {
            let query = req.uri().query().unwrap_or_default();
            match query.strip_prefix("vm=").map(str::parse) {
                Some(Ok(vm)) => {
                    list.maintenance.send_modify(|requested| requested.push(vm));
                    http::json_response(StatusCode::ACCEPTED, &())
                }
                _ => http::json_response(StatusCode::BAD_REQUEST, &"expected /maintain?vm=ID"),
            }
        }
        _ => http::json_response(StatusCode::METHOD_NOT_ALLOWED, &"GET, PUT or POST"),
    }
}
