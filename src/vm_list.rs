//! The platform's list of VMs: JSON over HTTP with a revision and a long poll.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, client::conn::http1, http::request::Builder};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use teaselgap_core::{PoolId, RackId, Slots, VmId, ZoneId};
use tokio::{net::TcpStream, sync::mpsc};

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
    pub(crate) pool: PoolId,
    pub(crate) slots: Slots,
    pub(crate) state: VmState,
    /// When the VM was last maintained, in milliseconds since the Unix epoch; a VM without it is
    /// maintained by somebody else.
    #[serde(default)]
    pub(crate) maintained_ms: Option<u64>,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum VmState {
    Live,
    Leaving,
    Gone,
}

/// VMs that changed, and the revision that this brings a reader to.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct VmPage {
    pub(crate) revision: u64,
    pub(crate) vms: Vec<Vm>,
}

/// The list could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum VmListError {
    #[error("VM list: {0}")]
    Connect(#[from] std::io::Error),
    #[error("VM list: {0}")]
    Exchange(#[from] hyper::Error),
    #[error("VM list: {0}")]
    Shape(#[from] serde_json::Error),
    #[error("VM list: no answer in time")]
    Slow,
}

/// Longest wait for one answer; the list itself answers a long poll sooner.
const POLL_TIMEOUT: Duration = Duration::from_secs(45);

/// Longest wait for the platform to take a request for maintenance.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(500);

/// Reads what changed after a revision; waits until something did.
pub(crate) async fn poll(address: SocketAddr, after: u64) -> Result<VmPage, VmListError> {
    let req = Request::get(format!("/vms?after={after}"));
    let answer = tokio::time::timeout(POLL_TIMEOUT, send(address, req)).await;
    let body = answer.map_err(|_| VmListError::Slow)??;
    Ok(serde_json::from_slice(&body)?)
}

async fn send(address: SocketAddr, req: Builder) -> Result<Bytes, VmListError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(driver);
    let req = req
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("a path of names and digits");
    let answer = sender.send_request(req).await?;
    let body = answer.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok(body)
}

/// Asks the platform to maintain a VM that is drained.
pub(crate) async fn request_maintenance(address: SocketAddr, vm: &VmId) -> Result<(), VmListError> {
    let req = Request::post(format!("/maintain?vm={vm}"));
    tokio::time::timeout(ASK_TIMEOUT, send(address, req))
        .await
        .map_err(|_| VmListError::Slow)??;
    Ok(())
}

/// Follows the list until the receiver is gone.
pub(crate) async fn follow(address: SocketAddr, tx: mpsc::UnboundedSender<VmPage>) {
    let mut revision = 0;
    while !tx.is_closed() {
        match poll(address, revision).await {
            Ok(page) => {
                revision = page.revision;
                if tx.send(page).is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}
