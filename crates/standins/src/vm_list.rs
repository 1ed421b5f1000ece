//! A stand-in for the platform's list of VMs: JSON over HTTP with a revision and a long poll.
//!
//! `GET /vms?after=N` answers with the VMs that changed after revision `N`, as soon as there are
//! any. `PUT /vms` with a JSON list of VMs changes or adds those VMs. `POST /maintain?vm=ID` asks for the
//! maintenance of a VM, which whoever runs the list then carries out.

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

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub id: VmId,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Its pool.
    pub pool: PoolId,
    /// Requests that it runs side by side.
    pub slots: Slots,
    /// `live` or `leaving`.
    pub state: VmState,
    /// Its accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// When it was last maintained, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub maintained_ms: Option<u64>,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It does.
    Live,
    /// It is about to stop.
    Leaving,
    /// It is gone.
    Gone,
}

/// An answer of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Revision that the answer brings its reader to.
    pub revision: u64,
    /// VMs that changed.
    pub vms: Vec<Vm>,
}

/// How long a poll waits for a change.
const POLL: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Content {
    vms: IndexMap<VmId, (u64, Vm)>,
}

/// A running list.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where the list is served.
    pub address: SocketAddr,
    list: List,
    task: Arc<JoinHandle<()>>,
}

#[derive(Clone, Debug)]
struct List {
    content: Arc<Mutex<Content>>,
    revision: Arc<watch::Sender<u64>>,
    lag: Arc<watch::Sender<Duration>>,
    maintenance: Arc<watch::Sender<Vec<VmId>>>,
}

impl Handle {
    /// Changes or adds VMs.
    pub fn put(&self, vms: Vec<Vm>) {
        self.list.put(vms);
    }

    /// From now on changes show this much later.
    pub fn set_lag(&self, lag: Duration) {
        self.list.lag.send_replace(lag);
    }

    /// The VMs for which maintenance was asked, in order, with repetitions.
    #[must_use]
    pub fn maintenance(&self) -> watch::Receiver<Vec<VmId>> {
        self.list.maintenance.subscribe()
    }

    /// Stops the list.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl List {
    fn put(&self, vms: Vec<Vm>) {
        let mut content = self.content.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = *self.revision.borrow() + 1;
        for vm in vms {
            content.vms.insert(vm.id.clone(), (revision, vm));
        }
        self.revision.send_replace(revision);
    }

    async fn after(&self, after: u64) -> Page {
        let mut revisions = self.revision.subscribe();
        let newer = revisions.wait_for(|revision| *revision > after);
        let _ = tokio::time::timeout(POLL, newer).await;
        let lag = *self.lag.borrow();
        if !lag.is_zero() {
            tokio::time::sleep(lag).await;
        }
        let content = self.content.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = content.vms.values().filter(|(revision, _)| *revision > after);
        Page { revision: *self.revision.borrow(), vms: changed.map(|(_, vm)| vm.clone()).collect() }
    }
}

/// Starts a list on a loopback port.
///
/// # Errors
///
/// If no port can be opened.
pub async fn start(address: SocketAddr, vms: Vec<Vm>) -> std::io::Result<Handle> {
    let list = List {
        content: Arc::default(),
        revision: Arc::new(watch::Sender::new(0)),
        lag: Arc::new(watch::Sender::new(Duration::ZERO)),
        maintenance: Arc::default(),
    };
    list.put(vms);
    let pages = list.clone();
    let (address, task) = http::serve(address, move |req| answer(pages.clone(), req)).await?;
    Ok(Handle { address, list, task: Arc::new(task) })
}

async fn answer(list: List, req: Request<Incoming>) -> Response<http::Body> {
    match *req.method() {
        Method::GET => {
            let query = req.uri().query().unwrap_or_default();
            let after = query.strip_prefix("after=").and_then(|n| n.parse().ok()).unwrap_or(0);
            http::json(StatusCode::OK, &list.after(after).await)
        }
        Method::PUT => {
            let body = req.into_body().collect().await.map(Collected::to_bytes);
            match body.map(|body| serde_json::from_slice(&body)) {
                Ok(Ok(vms)) => {
                    list.put(vms);
                    http::json(StatusCode::OK, &())
                }
                _ => http::json(StatusCode::BAD_REQUEST, &"expected a list of VMs"),
            }
        }
        Method::POST => {
            let query = req.uri().query().unwrap_or_default();
            match query.strip_prefix("vm=").map(str::parse) {
                Some(Ok(vm)) => {
                    list.maintenance.send_modify(|asked| asked.push(vm));
                    http::json(StatusCode::ACCEPTED, &())
                }
                _ => http::json(StatusCode::BAD_REQUEST, &"expected /maintain?vm=ID"),
            }
        }
        _ => http::json(StatusCode::METHOD_NOT_ALLOWED, &"GET, PUT or POST"),
    }
}
