//! Calls between nodes: requests to cells, instructions from the fleet's owner, and the reachability of the store.

#[cfg(test)]
mod tests;
mod timeout;

use std::{cell::RefCell, net::SocketAddr, sync::Arc, time::Duration};

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, IdError, ServiceId, Span, Timestamp,
    job::{DrainMode, Duty, InstructionNumber, JobEnd, JobId, JobState, Outlook, TermEndReport},
};
use teaselgap_proto::cell::{
    AskReply, AskRequest, DirectReply, DirectRequest, Outlook as WireOutlook, StoreAgeReply,
    StoreAgeRequest, Term as WireTerm, TermEndReply, TermEndRequest,
    ask_reply::{Outcome, State},
    ask_request::Verb as WireOperation,
    cell_client::CellClient,
    cell_server::{Cell as CellService, CellServer},
};
use tokio::{
    net::TcpListener,
    sync::{
        OwnedSemaphorePermit, Semaphore,
        mpsc::{self, error::TrySendError},
        oneshot,
    },
};
use tonic::{
    Code, Request, Response, Status,
    transport::{Channel, Endpoint, server::TcpIncoming},
};

use super::{
    ask::{CellRequest, Operation, PendingRequest, Reply},
    instruction::{CellReport, PoolInstruction},
};
use crate::clock;

/// The longest wait for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a connection in use is probed, and how long the probe waits for an answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The time allowed for a request of another node that states none, and the most allowed for any.
const PEER_TIMEOUT: Span = Span(2_000);

/// The longest wait for the answer to an instruction.
const INSTRUCTION_TIMEOUT: Duration = Duration::from_millis(800);

/// The most requests that may wait for the control thread. Even if it takes a millisecond for each,
/// the last one is started well within a caller's time.
const MAX_QUEUED_REQUESTS: usize = 512;

/// The most requests that may wait for the answer of one node. Even if each carries the largest
/// payload, a link of 10 Mbit/s passes them on well within a caller's time.
const MAX_IN_FLIGHT_PER_NODE: usize = 128;

/// How long a refused client should wait before it retries while requests wait at a bound.
pub(super) const BUSY_RETRY_AFTER: Span = Span(1_000);

/// Creates the queue of requests for the control thread.
pub(crate) fn request_channel() -> (mpsc::Sender<NodeRequest>, mpsc::Receiver<NodeRequest>) {
    mpsc::channel(MAX_QUEUED_REQUESTS)
}

/// An instruction for the cell of a service, and where its owner's report goes.
#[derive(Debug)]
pub(crate) struct PendingInstruction {
    pub(super) cell: ServiceId,
    pub(super) instruction: PoolInstruction,
    pub(super) reply: oneshot::Sender<Option<CellReport>>,
}

/// The longest wait for another node to tell when it last reached the store.
const STORE_AGE_TIMEOUT: Duration = Duration::from_millis(400);

/// A duty that a node holds, with the epoch of its term.
pub(super) type Term = (Duty, Epoch);

/// A node's word on the store and on the terms that it was asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoreWord {
    /// How long ago the node last reached the store.
    pub(super) age: Span,
    /// Whether it may have claimed one of the duties.
    pub(super) may_have_claimed: bool,
}

/// The question of another node, which holds these terms, whether this one can reach the store.
#[derive(Debug)]
pub(crate) struct PendingStoreAge {
    pub(super) terms: Vec<Term>,
    pub(super) reply: oneshot::Sender<StoreWord>,
}

/// The longest wait for another node to tell how its terms as the owner of a cell ended.
const TERM_END_TIMEOUT: Duration = Duration::from_millis(400);

/// The question of the owner of a cell, whose term has this epoch, how terms of this node ended.
#[derive(Debug)]
pub(crate) struct PendingTermEnd {
    pub(super) cell: ServiceId,
    pub(super) epoch: Epoch,
    pub(super) reply: oneshot::Sender<Vec<TermEndReport>>,
}

/// A request of another node or of a client account to this node.
#[derive(Debug)]
pub(crate) enum NodeRequest {
    Cell(PendingRequest),
    Instruct(PendingInstruction),
    StoreAge(PendingStoreAge),
    TermEnd(PendingTermEnd),
}

/// Connections to other nodes, each opened when first used.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    clients: RefCell<IndexMap<SocketAddr, CellClient<Channel>>>,
    /// The permits to have a request in flight to each node.
    permits: RefCell<IndexMap<SocketAddr, Arc<Semaphore>>>,
}

impl Peers {
    fn get(&self, address: SocketAddr) -> Option<CellClient<Channel>> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_INTERVAL);
        let client = CellClient::new(endpoint.connect_lazy());
        self.clients.borrow_mut().insert(address, client.clone());
        Some(client)
    }

    /// Takes a permit to have a request in flight to a node; `None` if too many are.
    fn acquire(&self, address: SocketAddr) -> Option<OwnedSemaphorePermit> {
        let mut permits = self.permits.borrow_mut();
        let permits = permits
            .entry(address)
            .or_insert_with(|| Arc::new(Semaphore::new(MAX_IN_FLIGHT_PER_NODE)));
        Arc::clone(permits).try_acquire_owned().ok()
    }

    /// Drops the connection to a node, so that the next call to it opens a new one.
    fn discard_client(&self, address: SocketAddr) {
        self.clients.borrow_mut().swap_remove(&address);
    }

    /// Forwards a request to the node at `address`, which probably owns the cell.
    pub(crate) async fn forward(
        &self,
        address: SocketAddr,
        request: &CellRequest,
        deadline: Timestamp,
    ) -> Reply {
        let Some(mut client) = self.get(address) else {
            return Reply::NotOwner;
        };
        let Some(_permit) = self.acquire(address) else {
            return Reply::Busy;
        };
        let time_left = clock::until(deadline);
        let mut req = Request::new(request_to_wire(request));
        req.set_timeout(time_left);
        match tokio::time::timeout(time_left, client.ask(req)).await {
            Ok(Ok(reply)) => reply_from_wire(&request.operation, reply.get_ref()),
            Ok(Err(status)) if status.code() == Code::ResourceExhausted => Reply::Busy,
            Ok(Err(status)) if was_not_sent(&status) => {
                self.discard_client(address);
                Reply::NotOwner
            }
            Ok(Err(_)) | Err(_) => {
                self.discard_client(address);
                Reply::Uncertain
            }
        }
    }

    /// Asks the node at `address` how long ago it last reached the store, and whether it may have claimed
    /// one of the duties of these terms. Returns `None` if it does not answer.
    pub(super) async fn store_age(&self, address: SocketAddr, terms: &[Term]) -> Option<StoreWord> {
        let mut client = self.get(address)?;
        let to_wire = |(duty, epoch): &Term| WireTerm { duty: duty.clone(), epoch: epoch.0 };
        let request = StoreAgeRequest { terms: terms.iter().map(to_wire).collect() };
        let call = client.store_age(request);
        let Ok(Ok(reply)) = tokio::time::timeout(STORE_AGE_TIMEOUT, call).await else {
            self.discard_client(address);
            return None;
        };
        let StoreAgeReply { age_ms, may_have_claimed } = *reply.get_ref();
        Some(StoreWord { age: Span(age_ms), may_have_claimed })
    }

    /// Asks the node at `address` what it knew as its terms as the owner of a cell ended, for the owner whose term has
    /// this epoch. Returns nothing if it doesn't answer or knows no such call.
    pub(super) async fn term_end(
        &self,
        address: SocketAddr,
        cell: &ServiceId,
        epoch: Epoch,
    ) -> Vec<TermEndReport> {
        let Some(mut client) = self.get(address) else {
            return Vec::new();
        };
        let request = TermEndRequest { cell: cell.to_string(), epoch: epoch.0 };
        match tokio::time::timeout(TERM_END_TIMEOUT, client.term_end(request)).await {
            Ok(Ok(reply)) => {
                let reports = &reply.get_ref().reports;
                reports.iter().filter_map(|report| serde_json::from_slice(report).ok()).collect()
            }
            Ok(Err(status)) if status.code() == Code::Unimplemented => Vec::new(),
            Ok(Err(_)) | Err(_) => {
                self.discard_client(address);
                Vec::new()
            }
        }
    }

    /// Passes an instruction to the owner of a cell at `address`. Returns `None` if the node does not
    /// answer or does not own the cell.
    pub(super) async fn instruct(
        &self,
        address: SocketAddr,
        cell: &ServiceId,
        instruction: &PoolInstruction,
    ) -> Option<CellReport> {
        let mut client = self.get(address)?;
        let drains = &instruction.drains;
        let req = DirectRequest {
            cell: cell.to_string(),
            vacate: drains.keys().map(ToString::to_string).collect(),
            urgent: drains.values().map(|mode| drain_mode_to_wire(*mode)).collect(),
            expecting: instruction.expects_workers,
            outlook: instruction.outlook.map(outlook_to_wire),
            epoch: instruction.epoch.0,
            number: instruction.number.0,
        };
        let reply = tokio::time::timeout(INSTRUCTION_TIMEOUT, client.direct(req)).await;
        let Ok(Ok(reply)) = reply else {
            self.discard_client(address);
            return None;
        };
        let reply = reply.into_inner();
        let load = serde_json::from_slice(&reply.load).ok()?;
        let drained = reply.vacant.iter().map(|id| id.as_str().into()).collect();
        reply.owner.then_some(CellReport { drained, load })
    }
}

/// Whether a call failed before any of it was sent, because there was no connection.
fn was_not_sent(status: &Status) -> bool {
    let first = std::error::Error::source(status);
    std::iter::successors(first, |err| err.source())
        .any(<dyn std::error::Error>::is::<tonic::ConnectError>)
}

fn outlook_to_wire(outlook: Outlook) -> WireOutlook {
    WireOutlook {
        coming_milli: outlook.coming_milli,
        most_milli: outlook.most_milli,
        lead_ms: outlook.lead.0,
    }
}

fn outlook_from_wire(wire: WireOutlook) -> Outlook {
    Outlook {
        coming_milli: wire.coming_milli,
        most_milli: wire.most_milli,
        lead: Span(wire.lead_ms),
    }
}

/// Encodes how to drain a worker as the number used between nodes.
fn drain_mode_to_wire(mode: DrainMode) -> u32 {
    match mode {
        DrainMode::WaitForRuns => 0,
        DrainMode::StopAll => 1,
        DrainMode::StopCheckpointed => 2,
    }
}

fn drain_mode_from_wire(value: u32) -> DrainMode {
    match value {
        0 => DrainMode::WaitForRuns,
        2 => DrainMode::StopCheckpointed,
        _ => DrainMode::StopAll,
    }
}

fn request_to_wire(request: &CellRequest) -> AskRequest {
    let (operation, spec) = match &request.operation {
        // A job specification can always be serialized to JSON.
        Operation::Submit(spec) => {
            (WireOperation::Submit, serde_json::to_vec(spec).unwrap_or_default())
        }
        Operation::State => (WireOperation::State, Vec::new()),
        Operation::Cancel => (WireOperation::Cancel, Vec::new()),
        Operation::Pending => (WireOperation::Pending, Vec::new()),
    };
    AskRequest {
        cell: request.cell.to_string(),
        verb: operation.into(),
        job: request.job.0,
        queue: request.queue.to_string(),
        spec: spec.into(),
    }
}

fn reply_from_wire(operation: &Operation, reply: &AskReply) -> Reply {
    match reply.outcome() {
        Outcome::NotOwner => Reply::NotOwner,
        Outcome::Durable => Reply::Durable,
        Outcome::Refused => refusal_from_wire(reply),
        Outcome::UnknownJob => Reply::UnknownJob,
        Outcome::Known if matches!(operation, Operation::Pending) => Reply::Pending(reply.pending),
        Outcome::Known => Reply::State(match reply.state() {
            State::Queued => JobState::Queued,
            State::Running => JobState::Running,
            State::Succeeded => JobState::Ended(JobEnd::Succeeded),
            State::Failed => JobState::Ended(JobEnd::Failed),
            State::Cancelled => JobState::Ended(JobEnd::Cancelled),
        }),
    }
}

fn refusal_from_wire(reply: &AskReply) -> Reply {
    let retry_after = Span(reply.retry_after_ms);
    match Span(reply.closed_ms) {
        Span(0) => Reply::Refused { retry_after },
        time => Reply::Closed { retry_after, time },
    }
}

fn reply_to_wire(reply: Reply) -> Result<AskReply, Status> {
    let mut wire = AskReply::default();
    match reply {
        Reply::Durable => wire.set_outcome(Outcome::Durable),
        Reply::Refused { retry_after } => {
            wire.set_outcome(Outcome::Refused);
            wire.retry_after_ms = retry_after.0;
        }
        Reply::Closed { retry_after, time } => {
            wire.set_outcome(Outcome::Refused);
            wire.retry_after_ms = retry_after.0;
            wire.closed_ms = time.0;
        }
        Reply::UnknownJob => wire.set_outcome(Outcome::UnknownJob),
        Reply::NotOwner => wire.set_outcome(Outcome::NotOwner),
        Reply::Pending(pending) => {
            wire.set_outcome(Outcome::Known);
            wire.pending = pending;
        }
        Reply::State(state) => {
            wire.set_outcome(Outcome::Known);
            wire.set_state(match state {
                JobState::Queued => State::Queued,
                JobState::Running => State::Running,
                JobState::Ended(JobEnd::Succeeded) => State::Succeeded,
                JobState::Ended(JobEnd::Failed) => State::Failed,
                JobState::Ended(JobEnd::Cancelled) => State::Cancelled,
            });
        }
        Reply::Busy => return Err(Status::resource_exhausted("too many requests wait")),
        Reply::Uncertain => return Err(Status::unavailable("the outcome is not known")),
    }
    Ok(wire)
}

struct PeerServer {
    requests: mpsc::Sender<NodeRequest>,
}

/// Serves other nodes until the runtime ends.
pub(crate) async fn serve(
    listener: TcpListener,
    requests: mpsc::Sender<NodeRequest>,
) -> Result<(), tonic::transport::Error> {
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
        .add_service(CellServer::new(PeerServer { requests }))
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .await
}

fn invalid_id_status(err: &IdError) -> Status {
    Status::invalid_argument(err.to_string())
}

fn stopping_status<E>(_: E) -> Status {
    Status::unavailable("the node is stopping")
}

impl PeerServer {
    /// Passes a request to the control thread.
    fn enqueue(&self, request: NodeRequest) -> Result<(), Status> {
        self.requests.try_send(request).map_err(|err| match err {
            TrySendError::Full(_) => Status::resource_exhausted("too many requests wait"),
            TrySendError::Closed(_) => stopping_status(()),
        })
    }
}

#[tonic::async_trait]
impl CellService for PeerServer {
    async fn ask(&self, req: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        let timeout = timeout::caller_timeout(req.metadata()).unwrap_or(PEER_TIMEOUT);
        let deadline = clock::now() + timeout.min(PEER_TIMEOUT);
        let req = req.into_inner();
        let operation = match req.verb() {
            WireOperation::State => Operation::State,
            WireOperation::Cancel => Operation::Cancel,
            WireOperation::Pending => Operation::Pending,
            WireOperation::Submit => {
                let spec = serde_json::from_slice(&req.spec);
                Operation::Submit(spec.map_err(|err| Status::invalid_argument(err.to_string()))?)
            }
        };
        let request = CellRequest {
            cell: req.cell.parse().map_err(|err| invalid_id_status(&err))?,
            queue: req.queue.parse().map_err(|err| invalid_id_status(&err))?,
            job: JobId(req.job),
            operation,
        };
        let (reply, reply_rx) = oneshot::channel();
        let pending = PendingRequest { request, from_peer: true, deadline, reply };
        self.enqueue(NodeRequest::Cell(pending))?;
        reply_to_wire(reply_rx.await.map_err(stopping_status)?).map(Response::new)
    }

    async fn store_age(
        &self,
        req: Request<StoreAgeRequest>,
    ) -> Result<Response<StoreAgeReply>, Status> {
        let terms = req.into_inner().terms;
        let terms = terms.into_iter().map(|term| (term.duty, Epoch(term.epoch))).collect();
        let (reply, reply_rx) = oneshot::channel();
        self.enqueue(NodeRequest::StoreAge(PendingStoreAge { terms, reply }))?;
        let StoreWord { age, may_have_claimed } = reply_rx.await.map_err(stopping_status)?;
        // A node of an earlier version reads the age only.
        let age_ms = if may_have_claimed { 0 } else { age.0 };
        Ok(Response::new(StoreAgeReply { age_ms, may_have_claimed }))
    }

    async fn term_end(
        &self,
        req: Request<TermEndRequest>,
    ) -> Result<Response<TermEndReply>, Status> {
        let TermEndRequest { cell, epoch } = req.into_inner();
        let cell = cell.parse().map_err(|err| invalid_id_status(&err))?;
        let (reply, reply_rx) = oneshot::channel();
        self.enqueue(NodeRequest::TermEnd(PendingTermEnd { cell, epoch: Epoch(epoch), reply }))?;
        let reports = reply_rx.await.map_err(stopping_status)?;
        let encoded: Result<Vec<_>, _> = reports.iter().map(serde_json::to_vec).collect();
        let encoded = encoded.map_err(|err| Status::internal(err.to_string()))?;
        let known = !encoded.is_empty();
        let reports = encoded.into_iter().map(Into::into).collect();
        Ok(Response::new(TermEndReply { known, reports }))
    }

    async fn direct(&self, req: Request<DirectRequest>) -> Result<Response<DirectReply>, Status> {
        let req = req.into_inner();
        let modes = req.urgent.iter().map(|&value| drain_mode_from_wire(value));
        let drains = req.vacate.iter().map(|id| id.as_str().into()).zip(modes).collect();
        let cell = req.cell.parse().map_err(|err| invalid_id_status(&err))?;
        let (reply, reply_rx) = oneshot::channel();
        let instruction = PoolInstruction {
            epoch: Epoch(req.epoch),
            number: InstructionNumber(req.number),
            drains,
            expects_workers: req.expecting,
            outlook: req.outlook.map(outlook_from_wire),
        };
        let pending = PendingInstruction { cell, instruction, reply };
        self.enqueue(NodeRequest::Instruct(pending))?;
        let Some(report) = reply_rx.await.map_err(stopping_status)? else {
            return Ok(Response::new(DirectReply::default()));
        };
        let load = serde_json::to_vec(&report.load);
        Ok(Response::new(DirectReply {
            owner: true,
            vacant: report.drained.iter().map(ToString::to_string).collect(),
            load: load.map_err(|err| Status::internal(err.to_string()))?.into(),
        }))
    }
}
