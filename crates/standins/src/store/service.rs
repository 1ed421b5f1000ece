//! The gRPC calls of the store, with fault injection.

use std::{
    fmt,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_util::Stream;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use teaselgap_proto::etcdserverpb::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse, RangeRequest, RangeResponse, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchRequest, WatchResponse, kv_server::Kv, lease_server::Lease,
    request_op::Request as Op, watch_request::RequestUnion, watch_server::Watch,
};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::{Calls, Data, Faults, FaultsSender};

/// Stream of responses to a watch or to lease renewals.
type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// The key-value service.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
}

struct Shared {
    data: Mutex<Data>,
    calls: Mutex<Calls>,
    rng: Mutex<SmallRng>,
    faults: FaultsSender,
    /// Current revision; watches wait until it changes.
    revision: watch::Sender<i64>,
    /// Number of compactions; an increment ends all watches.
    compactions: watch::Sender<u64>,
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").finish_non_exhaustive()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// Creates an empty store.
    #[must_use]
    pub fn new(faults: Faults) -> Self {
        let rng = SmallRng::seed_from_u64(faults.seed);
        let shared = Shared {
            data: Mutex::new(Data::default()),
            calls: Mutex::new(Calls::default()),
            rng: Mutex::new(rng),
            faults: watch::Sender::new(faults),
            revision: watch::Sender::new(0),
            compactions: watch::Sender::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.rng) = SmallRng::seed_from_u64(faults.seed);
        let was_down = self.shared.faults.borrow().down;
        if was_down && !faults.down {
            lock(&self.shared.data).extend_leases(Instant::now());
        }
        self.shared.faults.send_replace(faults);
    }

    pub(super) fn calls(&self) -> Calls {
        lock(&self.shared.calls).clone()
    }

    pub(super) fn keys(&self) -> Vec<(String, usize)> {
        lock(&self.shared.data).keys()
    }

    pub(super) fn compact(&self) {
        lock(&self.shared.data).compact();
        self.shared.compactions.send_modify(|count| *count += 1);
    }

    pub(super) fn expire_all_leases(&self) {
        let leases = lock(&self.shared.data).all_leases();
        self.revoke_leases(&leases);
    }

    pub(super) fn expire_due_leases(&self) {
        if self.shared.faults.borrow().down {
            return;
        }
        let leases = lock(&self.shared.data).expired_leases(Instant::now());
        self.revoke_leases(&leases);
    }

    fn revoke_leases(&self, leases: &[i64]) {
        if leases.is_empty() {
            return;
        }
        let mut data = lock(&self.shared.data);
        for &lease in leases {
            data.revoke(lease);
        }
        self.shared.revision.send_replace(data.revision());
    }

    fn count(&self, kind: &str) {
        *lock(&self.shared.calls).by_kind.entry(kind.to_owned()).or_default() += 1;
    }

    fn should_inject(&self, rate: f64) -> bool {
        rate > 0.0 && lock(&self.shared.rng).random_bool(rate.min(1.0))
    }

    /// Counts a call and injects the faults that come before it takes effect: an outage, latency or
    /// an error.
    async fn inject_call_faults(&self, kind: &str) -> Result<(), Status> {
        self.count(kind);
        let mut faults = self.shared.faults.subscribe();
        // While the store is down, calls hang, as they do if the network drops all packets.
        let current = faults
            .wait_for(|faults| !faults.down)
            .await
            .map_err(|_| Status::unavailable("the store has stopped"))?
            .clone();
        if current.latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(current.latency_ms)).await;
        }
        if self.should_inject(current.error_rate) {
            return Err(Status::unavailable("injected error"));
        }
        Ok(())
    }

    /// Injects the delay and the loss of a write's answer, after the write took effect.
    async fn inject_answer_faults(&self) -> Result<(), Status> {
        let (rate, latency_ms) = {
            let faults = self.shared.faults.borrow();
            (faults.lost_answer_rate, faults.answer_latency_ms)
        };
        if latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(latency_ms)).await;
        }
        if self.should_inject(rate) {
            return Err(Status::unknown("injected: the answer is lost"));
        }
        Ok(())
    }

    async fn run_watch(
        &self,
        req: WatchCreateRequest,
        tx: mpsc::Sender<Result<WatchResponse, Status>>,
    ) {
        let mut revisions = self.shared.revision.subscribe();
        let mut compactions = self.shared.compactions.subscribe();
        let (header, newest) = {
            let data = lock(&self.shared.data);
            (data.header(), data.revision())
        };
        let mut next = if req.start_revision > 0 { req.start_revision } else { newest + 1 };
        let created = WatchResponse { header, created: true, ..WatchResponse::default() };
        if tx.send(Ok(created)).await.is_err() {
            return;
        }
        loop {
            let events = {
                let data = lock(&self.shared.data);
                revisions.mark_unchanged();
                data.events(&req.key, &req.range_end, next).map(|events| (events, data.header()))
            };
            let answer = match events {
                Err(compacted) => WatchResponse {
                    canceled: true,
                    compact_revision: compacted + 1,
                    ..WatchResponse::default()
                },
                Ok((events, _)) if events.is_empty() => {
                    tokio::select! {
                        changed = revisions.changed() => if changed.is_err() { return },
                        _ = compactions.changed() => {
                            let compact_revision = lock(&self.shared.data).revision() + 1;
                            let answer = WatchResponse {
                                canceled: true, compact_revision, ..WatchResponse::default()
                            };
                            let _ = tx.send(Ok(answer)).await;
                            return;
                        }
                        () = tx.closed() => return,
                    }
                    continue;
                }
                Ok((mut events, header)) => {
                    next = header.as_ref().map_or(next, |header| header.revision) + 1;
                    if self.shared.faults.borrow().repeat_events {
                        events.extend(events.clone());
                    }
                    WatchResponse { header, events, ..WatchResponse::default() }
                }
            };
            let latency = self.shared.faults.borrow().watch_latency_ms;
            if latency > 0 {
                tokio::time::sleep(Duration::from_millis(latency)).await;
            }
            let mut faults = self.shared.faults.subscribe();
            if faults.wait_for(|faults| !faults.down).await.is_err() {
                return;
            }
            let canceled = answer.canceled;
            if tx.send(Ok(answer)).await.is_err() || canceled {
                return;
            }
        }
    }
}

#[tonic::async_trait]
impl Kv for Service {
    async fn range(&self, req: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        self.inject_call_faults("range").await?;
        let answer = lock(&self.shared.data).range(req.get_ref());
        Ok(Response::new(answer))
    }

    async fn txn(&self, req: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        let req = req.into_inner();
        let ops = || req.success.iter().chain(&req.failure);
        let writes = ops().any(|op| !matches!(op.request, Some(Op::RequestRange(_))));
        let largest = ops().filter_map(|op| match &op.request {
            Some(Op::RequestPut(put)) => Some(put.value.len()),
            _ => None,
        });
        if let Some(largest) = largest.max() {
            const LIMIT: usize = 1 << 20;
            if largest > LIMIT {
                return Err(Status::invalid_argument("a value is larger than 1 MB"));
            }
            let mut calls = lock(&self.shared.calls);
            calls.largest_value = calls.largest_value.max(largest as u64);
        }
        self.inject_call_faults(if writes { "txn-write" } else { "txn-read" }).await?;
        let answer = {
            let mut data = lock(&self.shared.data);
            let answer = data.txn(&req);
            self.shared.revision.send_if_modified(|revision| {
                let changed = *revision != data.revision();
                *revision = data.revision();
                changed
            });
            answer
        };
        if writes {
            self.inject_answer_faults().await?;
        }
        Ok(Response::new(answer))
    }
}

#[tonic::async_trait]
impl Lease for Service {
    async fn lease_grant(
        &self,
        req: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.inject_call_faults("grant").await?;
        let req = req.into_inner();
        let ttl = Duration::from_secs(u64::try_from(req.ttl).unwrap_or(1).max(1));
        let mut data = lock(&self.shared.data);
        let id = data.grant(req.id, ttl, Instant::now());
        let header = data.header();
        Ok(Response::new(LeaseGrantResponse { header, id, ttl: req.ttl, error: String::new() }))
    }

    async fn lease_revoke(
        &self,
        req: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.inject_call_faults("revoke").await?;
        self.revoke_leases(&[req.get_ref().id]);
        let header = lock(&self.shared.data).header();
        Ok(Response::new(LeaseRevokeResponse { header }))
    }

    type LeaseKeepAliveStream = ResponseStream<LeaseKeepAliveResponse>;

    async fn lease_keep_alive(
        &self,
        req: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let mut renewals = req.into_inner();
        let (tx, rx) = mpsc::channel(1);
        let service = self.clone();
        tokio::spawn(async move {
            while let Ok(Some(renewal)) = renewals.message().await {
                if service.inject_call_faults("keep-alive").await.is_err() {
                    return;
                }
                let answer = {
                    let mut data = lock(&service.shared.data);
                    let ttl = data.keep_alive(renewal.id, Instant::now());
                    let ttl = ttl.map_or(0, |ttl| i64::try_from(ttl.as_secs()).unwrap_or(0));
                    LeaseKeepAliveResponse { header: data.header(), id: renewal.id, ttl }
                };
                if tx.send(Ok(answer)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }
}

#[tonic::async_trait]
impl Watch for Service {
    type WatchStream = ResponseStream<WatchResponse>;

    async fn watch(
        &self,
        req: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.inject_call_faults("watch").await?;
        let mut requests = req.into_inner();
        let (tx, rx) = mpsc::channel(64);
        let service = self.clone();
        tokio::spawn(async move {
            // Only the first request is read: teaselgap opens one watch per stream.
            let Ok(Some(WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) })) =
                requests.message().await
            else {
                return;
            };
            lock(&service.shared.calls).waiting_watches += 1;
            service.run_watch(create, tx).await;
            lock(&service.shared.calls).waiting_watches -= 1;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }
}
