//! A client of the platform's VM list: JSON over HTTP, with revisions and long polls. It also asks
//! the platform to maintain VMs.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, client::conn::http1, http::request::Builder};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use teaselgap_core::{PoolId, RackId, Slots, VmId, ZoneId};
use tokio::{net::TcpStream, sync::mpsc};

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Vm {
    pub(crate) id: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
    pub(crate) pool: PoolId,
    pub(crate) slots: Slots,
    pub(crate) state: VmState,
    /// When the VM was last maintained, in milliseconds since the Unix epoch; `None` if another
    /// system maintains the VM.
    #[serde(default)]
    pub(crate) maintained_ms: Option<u64>,
}

/// The state of a VM in the list; only a live VM gets new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum VmState {
    Live,
    Leaving,
    Gone,
}

/// The VMs that changed since the polled revision, and the revision to poll from next.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct VmPage {
    pub(crate) revision: u64,
    pub(crate) vms: Vec<Vm>,
}

/// An error of a call to the VM list.
#[derive(Debug, thiserror::Error)]
pub(crate) enum VmListError {
    #[error("VM list: {0}")]
    Connect(#[from] std::io::Error),
    #[error("VM list: {0}")]
    Http(#[from] hyper::Error),
    #[error("VM list: {0}")]
    Parse(#[from] serde_json::Error),
    #[error("VM list: no reply in time")]
    Timeout,
}

/// Longest wait for the reply to a poll; the platform answers a long poll sooner than that.
const POLL_TIMEOUT: Duration = Duration::from_secs(45);

/// Longest wait for the reply to a maintenance request.
const MAINTENANCE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the VMs that changed after a revision; waits if there are none yet, until the platform
/// ends the long poll.
pub(crate) async fn poll(address: SocketAddr, after: u64) -> Result<VmPage, VmListError> {
    let req = Request::get(format!("/vms?after={after}"));
    let reply = tokio::time::timeout(POLL_TIMEOUT, send(address, req)).await;
    let body = reply.map_err(|_| VmListError::Timeout)??;
    Ok(serde_json::from_slice(&body)?)
}

async fn send(address: SocketAddr, req: Builder) -> Result<Bytes, VmListError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let req = req
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("valid path and host");
    let reply = sender.send_request(req).await?;
    let body = reply.into_body().collect().await?.to_bytes();
    connection.abort();
    Ok(body)
}

/// Asks the platform to maintain a drained VM.
pub(crate) async fn request_maintenance(address: SocketAddr, vm: &VmId) -> Result<(), VmListError> {
    let req = Request::post(format!("/maintain?vm={vm}"));
    tokio::time::timeout(MAINTENANCE_REQUEST_TIMEOUT, send(address, req))
        .await
        .map_err(|_| VmListError::Timeout)??;
    Ok(())
}

/// Sends all changes of the list, starting with its current content, until the receiver is closed.
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
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
