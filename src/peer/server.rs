//! The server for calls from other nodes, which passes each call to the control thread or the
//! journal thread.

use teaselgap_core::journal::{Intent, Record, Verdict};
use teaselgap_proto::peer::{
    AppendReply, AppendRequest, ExplainReply, ExplainRequest, IntendReply, IntendRequest,
    ProbeForReply, ProbeForRequest, ProbeReply, ProbeRequest, PullReply, PullRequest, SlotsReply,
    SlotsRequest, StatusReply, StatusRequest,
    intend_reply::Verdict as WireVerdict,
    peer_server::{Peer, PeerServer},
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};
use tonic::{Request, Response, Status, transport::server::TcpIncoming};

use crate::{
    control::{Event, PeerCall},
    journal::{JournalClient, JournalRequest},
};

struct Server {
    control: mpsc::UnboundedSender<Event>,
    journal: JournalClient,
}

/// Serves calls from other nodes until the runtime shuts down.
pub(crate) async fn serve(
    listener: TcpListener,
    control: mpsc::UnboundedSender<Event>,
    journal: JournalClient,
) -> Result<(), tonic::transport::Error> {
    let server = PeerServer::new(Server { control, journal })
        .max_decoding_message_size(super::MAX_MESSAGE_BYTES);
    tonic::transport::Server::builder()
        .add_service(server)
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .await
}

impl Server {
    /// Passes a call to the control thread and waits for its reply.
    async fn call_control<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<T>) -> PeerCall,
    ) -> Result<Response<T>, Status> {
        let (reply, rx) = oneshot::channel();
        let unavailable = || Status::unavailable("the node is stopping");
        self.control.send(Event::Peer(call(reply))).map_err(|_| unavailable())?;
        rx.await.map(Response::new).map_err(|_| unavailable())
    }
}

fn invalid_argument(err: &serde_json::Error) -> Status {
    Status::invalid_argument(err.to_string())
}

#[tonic::async_trait]
impl Peer for Server {
    /// Answers a direct probe; the call and its reply carry membership changes.
    async fn probe(&self, req: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        self.call_control(|reply| PeerCall::Probe(req.into_inner(), reply)).await
    }

    /// Probes a third node for a caller whose direct probe of that node failed.
    async fn probe_for(
        &self,
        req: Request<ProbeForRequest>,
    ) -> Result<Response<ProbeForReply>, Status> {
        self.call_control(|reply| PeerCall::ProbeFor(req.into_inner(), reply)).await
    }

    /// Returns the control items that changed after the caller's revision.
    async fn pull(&self, req: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        self.call_control(|reply| PeerCall::Pull(req.into_inner(), reply)).await
    }

    /// Renews and adjusts the slots that the caller holds in pools that this node owns.
    async fn slots(&self, req: Request<SlotsRequest>) -> Result<Response<SlotsReply>, Status> {
        self.call_control(|reply| PeerCall::Slots(req.into_inner(), reply)).await
    }

    /// Returns the node's status: its generation, members and duties.
    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        self.call_control(PeerCall::Status).await
    }

    /// Explains the placement and the state of a service or VM.
    async fn explain(
        &self,
        req: Request<ExplainRequest>,
    ) -> Result<Response<ExplainReply>, Status> {
        self.call_control(|reply| PeerCall::Explain(req.into_inner(), reply)).await
    }

    /// Records the intent to send a request that must run at most once, and returns the verdict.
    async fn intend(&self, req: Request<IntendRequest>) -> Result<Response<IntendReply>, Status> {
        let req = req.into_inner();
        let intent: Intent =
            serde_json::from_slice(&req.intent).map_err(|err| invalid_argument(&err))?;
        let (reply, rx) = oneshot::channel();
        self.journal.submit_peer_request(JournalRequest::PeerSubmitIntent {
            partition: req.partition,
            intent,
            reply,
        });
        // Without a verdict the intent may be in the journal. The error tells the caller to conclude
        // it, which this node may not live to do.
        let verdict = rx.await.map_err(|_| Status::unavailable("no verdict in this term"))?;
        let json_or_empty =
            |value: Result<Vec<u8>, serde_json::Error>| value.unwrap_or_default().into();
        // `detail` holds as JSON the node that submitted the open intent, or the recorded outcome.
        let (verdict, detail) = match verdict {
            Verdict::Refused => (WireVerdict::Refused, bytes::Bytes::new()),
            Verdict::Recorded => (WireVerdict::Recorded, bytes::Bytes::new()),
            Verdict::Mismatch => (WireVerdict::Mismatch, bytes::Bytes::new()),
            Verdict::Open(node_incarnation) => {
                (WireVerdict::Open, json_or_empty(serde_json::to_vec(&node_incarnation)))
            }
            Verdict::Concluded(outcome) => {
                (WireVerdict::Concluded, json_or_empty(serde_json::to_vec(&outcome)))
            }
        };
        Ok(Response::new(IntendReply { verdict: verdict.into(), detail }))
    }

    /// Adds records to a partition of the journal.
    async fn append(&self, req: Request<AppendRequest>) -> Result<Response<AppendReply>, Status> {
        let req = req.into_inner();
        let records: Vec<Record> =
            serde_json::from_slice(&req.records).map_err(|err| invalid_argument(&err))?;
        let (reply, rx) = oneshot::channel();
        self.journal.submit_peer_request(JournalRequest::PeerAppend {
            partition: req.partition,
            records,
            reply,
        });
        let durable = rx.await.unwrap_or(false);
        Ok(Response::new(AppendReply { durable }))
    }
}
