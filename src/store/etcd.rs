//! The store adapter for services that speak the etcd v3 protocol.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use teaselgap_core::Span;
use teaselgap_proto::etcdserverpb::{
    Compare, DeleteRangeRequest, LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest,
    PutRequest, RangeRequest, RequestOp, TxnRequest, WatchCreateRequest, WatchRequest,
    WatchResponse,
    compare::{CompareResult, CompareTarget, TargetUnion},
    kv_client::KvClient,
    lease_client::LeaseClient,
    request_op::Request as Op,
    watch_client::WatchClient,
    watch_request::RequestUnion,
};
use teaselgap_proto::mvccpb::{KeyValue, event::EventType};
use tokio::sync::mpsc;
use tonic::{
    Code, Status,
    transport::{Channel, Endpoint},
};

use super::{
    Change, Condition, Item, LeaseId, Priority, RangeResult, Store, StoreError, Transaction, Write,
    prefix_end,
};

/// Largest answer that is read.
const MAX_ANSWER: usize = 80 << 20;

/// A client of the service.
#[derive(Clone, Debug)]
pub(crate) struct Etcd {
    channel: Channel,
    timeout: Duration,
}

impl Etcd {
    /// A client that connects when it is first used. Call it inside a runtime.
    pub(crate) fn new(endpoints: &[SocketAddr], timeout: Span) -> Result<Self, StoreError> {
        let uris = endpoints.iter().map(|address| {
            Endpoint::from_shared(format!("http://{address}"))
                .map(|endpoint| endpoint.connect_timeout(timeout.to_std()).tcp_nodelay(true))
        });
        let uris: Vec<Endpoint> = uris
            .collect::<Result<_, _>>()
            .map_err(|err| StoreError::Unavailable(err.to_string()))?;
        let channel = Channel::balance_list(uris.into_iter());
        Ok(Self { channel, timeout: timeout.to_std() })
    }

    fn kv(&self) -> KvClient<Channel> {
        KvClient::new(self.channel.clone()).max_decoding_message_size(MAX_ANSWER)
    }

    fn lease(&self) -> LeaseClient<Channel> {
        LeaseClient::new(self.channel.clone())
    }

    /// Waits for a call that only reads.
    async fn read<T>(
        &self,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(status)) => Err(StoreError::Unavailable(status.to_string())),
            Err(_) => Err(StoreError::Unavailable("no answer in time".to_owned())),
        }
    }

    /// Waits for a call that writes; only a refusal that names itself is certain.
    async fn write<T>(
        &self,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(status)) => {
                let certain = matches!(
                    status.code(),
                    Code::InvalidArgument | Code::ResourceExhausted | Code::FailedPrecondition
                ) || is_connect_error(&status);
                let text = status.to_string();
                Err(if certain {
                    StoreError::Unavailable(text)
                } else {
                    StoreError::Uncertain(text)
                })
            }
            Err(_) => Err(StoreError::Uncertain("no answer in time".to_owned())),
        }
    }
}

/// Whether the call never left this machine.
fn is_connect_error(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(err) = source {
        if let Some(err) = err.downcast_ref::<std::io::Error>()
            && err.kind() == std::io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        source = err.source();
    }
    false
}

fn text(key: &Bytes) -> String {
    String::from_utf8_lossy(key).into_owned()
}

fn revision(number: i64) -> u64 {
    u64::try_from(number).unwrap_or(0)
}

fn item(kv: KeyValue) -> Item {
    Item { key: text(&kv.key), value: kv.value, revision: revision(kv.mod_revision) }
}

fn compare(condition: &Condition) -> Compare {
    let (key, result, target, union) = match condition {
        Condition::Absent(key) => {
            (key, CompareResult::Equal, CompareTarget::Version, TargetUnion::Version(0))
        }
        Condition::Present(key) => {
            (key, CompareResult::Greater, CompareTarget::Version, TargetUnion::Version(0))
        }
        Condition::Revision(key, wanted) => {
            let wanted = i64::try_from(*wanted).unwrap_or(i64::MAX);
            let union = TargetUnion::ModRevision(wanted);
            (key, CompareResult::Equal, CompareTarget::Mod, union)
        }
    };
    Compare {
        result: result.into(),
        target: target.into(),
        key: Bytes::copy_from_slice(key.as_bytes()),
        target_union: Some(union),
        ..Compare::default()
    }
}

fn operation(write: &Write) -> RequestOp {
    let request = match write {
        Write::Put { key, value, lease } => Op::RequestPut(PutRequest {
            key: Bytes::copy_from_slice(key.as_bytes()),
            value: value.clone(),
            lease: lease.map_or(0, |lease| lease.0),
            ..PutRequest::default()
        }),
        Write::DeleteRange { start, end } => Op::RequestDeleteRange(DeleteRangeRequest {
            key: Bytes::copy_from_slice(start.as_bytes()),
            range_end: Bytes::copy_from_slice(end.as_bytes()),
            ..DeleteRangeRequest::default()
        }),
    };
    RequestOp { request: Some(request) }
}

#[tonic::async_trait]
impl Store for Etcd {
    async fn range(
        &self,
        start: &str,
        end: &str,
        limit: u32,
        _: Priority,
    ) -> Result<RangeResult, StoreError> {
        let req = RangeRequest {
            key: Bytes::copy_from_slice(start.as_bytes()),
            range_end: Bytes::copy_from_slice(end.as_bytes()),
            limit: i64::from(limit),
            ..RangeRequest::default()
        };
        let mut kv = self.kv();
        let answer = self.read(kv.range(req)).await?.into_inner();
        let revision = answer.header.map_or(0, |header| revision(header.revision));
        Ok(RangeResult {
            items: answer.kvs.into_iter().map(item).collect(),
            revision,
            more: answer.more,
        })
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        _: Priority,
    ) -> Result<Option<u64>, StoreError> {
        let req = TxnRequest {
            compare: transaction.conditions.iter().map(compare).collect(),
            success: transaction.writes.iter().map(operation).collect(),
            failure: Vec::new(),
        };
        let mut kv = self.kv();
        let answer = self.write(kv.txn(req)).await?.into_inner();
        let revision = answer.header.map_or(0, |header| revision(header.revision));
        Ok(answer.succeeded.then_some(revision))
    }

    async fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        let seconds = i64::try_from(ttl.0 / 1_000).unwrap_or(i64::MAX);
        let mut lease = self.lease();
        let grant = lease.lease_grant(LeaseGrantRequest { ttl: seconds, id: 0 });
        // A lease whose number was lost holds no key and lapses by itself.
        Ok(LeaseId(self.read(grant).await?.into_inner().id))
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<bool, StoreError> {
        let mut lease = self.lease();
        let renewal = tokio_stream::once(LeaseKeepAliveRequest { id: id.0 });
        let call = async {
            let mut answers = lease.lease_keep_alive(renewal).await?.into_inner();
            answers.message().await
        };
        let answer = self.read(call).await?;
        answer
            .map(|answer| answer.ttl > 0)
            .ok_or_else(|| StoreError::Unavailable("the renewal was not answered".to_owned()))
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), StoreError> {
        let mut lease = self.lease();
        self.write(lease.lease_revoke(LeaseRevokeRequest { id: id.0 })).await?;
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &str,
        from: u64,
        tx: mpsc::Sender<Vec<Change>>,
    ) -> Result<(), StoreError> {
        let create = WatchCreateRequest {
            key: Bytes::copy_from_slice(prefix.as_bytes()),
            range_end: Bytes::from(prefix_end(prefix)),
            start_revision: i64::try_from(from).unwrap_or(i64::MAX),
            ..WatchCreateRequest::default()
        };
        let create = WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) };
        // The request stream stays open for as long as the watch lasts.
        let requests = tokio_stream::StreamExt::chain(
            tokio_stream::once(create),
            tokio_stream::pending::<WatchRequest>(),
        );
        let mut client =
            WatchClient::new(self.channel.clone()).max_decoding_message_size(MAX_ANSWER);
        let mut answers = self.read(client.watch(requests)).await?.into_inner();
        loop {
            let answer = tokio::select! {
                answer = answers.message() => answer,
                () = tx.closed() => return Ok(()),
            };
            let answer = answer.map_err(|status| StoreError::Unavailable(status.to_string()))?;
            let Some(answer) = answer.filter(|answer| !answer.canceled) else {
                return Err(StoreError::Unavailable("the watch ended".to_owned()));
            };
            if tx.send(changes(answer)).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn changes(answer: WatchResponse) -> Vec<Change> {
    let events = answer.events.into_iter().filter_map(|event| {
        let deleted = event.r#type() == EventType::Delete;
        let kv = event.kv?;
        Some(Change {
            key: text(&kv.key),
            revision: revision(kv.mod_revision),
            value: (!deleted).then_some(kv.value),
        })
    });
    events.collect()
}
