//! An implementation of the store by a client of the etcd v3 protocol.

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

/// Largest reply, in bytes, that the client accepts.
const MAX_REPLY_BYTES: usize = 80 << 20;

/// A client of an etcd service.
#[derive(Clone, Debug)]
pub(crate) struct Etcd {
    channel: Channel,
    timeout: Duration,
}

impl Etcd {
    /// Creates a client that connects on its first call. Must be called within a Tokio runtime.
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
        KvClient::new(self.channel.clone()).max_decoding_message_size(MAX_REPLY_BYTES)
    }

    fn lease(&self) -> LeaseClient<Channel> {
        LeaseClient::new(self.channel.clone())
    }

    /// Waits for the reply to a call; after any error the call counts as having had no effect.
    async fn read<T>(
        &self,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(status)) => Err(StoreError::Unavailable(status.to_string())),
            Err(_) => Err(StoreError::Unavailable("no reply in time".to_owned())),
        }
    }

    /// Waits for the reply to a write; an error leaves the outcome unknown unless it shows that the
    /// write had no effect.
    async fn write<T>(
        &self,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, StoreError> {
        match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(status)) => {
                let had_no_effect = matches!(
                    status.code(),
                    Code::InvalidArgument | Code::ResourceExhausted | Code::FailedPrecondition
                ) || is_connection_refused(&status);
                let message = status.to_string();
                Err(if had_no_effect {
                    StoreError::Unavailable(message)
                } else {
                    StoreError::Uncertain(message)
                })
            }
            Err(_) => Err(StoreError::Uncertain("no reply in time".to_owned())),
        }
    }
}

/// Whether the connection was refused, so that the call was never sent.
fn is_connection_refused(status: &Status) -> bool {
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

fn key_from_wire(key: &Bytes) -> String {
    String::from_utf8_lossy(key).into_owned()
}

fn revision_from_wire(number: i64) -> u64 {
    u64::try_from(number).unwrap_or(0)
}

fn item_from_wire(kv: KeyValue) -> Item {
    Item {
        key: key_from_wire(&kv.key),
        value: kv.value,
        revision: revision_from_wire(kv.mod_revision),
    }
}

fn condition_to_wire(condition: &Condition) -> Compare {
    let (key, result, target, target_union) = match condition {
        Condition::Absent(key) => {
            (key, CompareResult::Equal, CompareTarget::Version, TargetUnion::Version(0))
        }
        Condition::Present(key) => {
            (key, CompareResult::Greater, CompareTarget::Version, TargetUnion::Version(0))
        }
        Condition::Revision(key, revision) => {
            let revision = i64::try_from(*revision).unwrap_or(i64::MAX);
            let target_union = TargetUnion::ModRevision(revision);
            (key, CompareResult::Equal, CompareTarget::Mod, target_union)
        }
    };
    Compare {
        result: result.into(),
        target: target.into(),
        key: Bytes::copy_from_slice(key.as_bytes()),
        target_union: Some(target_union),
        ..Compare::default()
    }
}

fn write_to_wire(write: &Write) -> RequestOp {
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
        let reply = self.read(kv.range(req)).await?.into_inner();
        let revision = reply.header.map_or(0, |header| revision_from_wire(header.revision));
        Ok(RangeResult {
            items: reply.kvs.into_iter().map(item_from_wire).collect(),
            revision,
            has_more: reply.more,
        })
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        _: Priority,
    ) -> Result<Option<u64>, StoreError> {
        let req = TxnRequest {
            compare: transaction.conditions.iter().map(condition_to_wire).collect(),
            success: transaction.writes.iter().map(write_to_wire).collect(),
            failure: Vec::new(),
        };
        let mut kv = self.kv();
        let reply = self.write(kv.txn(req)).await?.into_inner();
        let revision = reply.header.map_or(0, |header| revision_from_wire(header.revision));
        Ok(reply.succeeded.then_some(revision))
    }

    async fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        let seconds = i64::try_from(ttl.0 / 1_000).unwrap_or(i64::MAX);
        let mut lease = self.lease();
        let call = lease.lease_grant(LeaseGrantRequest { ttl: seconds, id: 0 });
        // If the reply is lost, the lease holds no key and expires by itself.
        Ok(LeaseId(self.read(call).await?.into_inner().id))
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<bool, StoreError> {
        let mut lease = self.lease();
        let renewal = tokio_stream::once(LeaseKeepAliveRequest { id: id.0 });
        let call = async {
            let mut replies = lease.lease_keep_alive(renewal).await?.into_inner();
            replies.message().await
        };
        let reply = self.read(call).await?;
        reply
            .map(|reply| reply.ttl > 0)
            .ok_or_else(|| StoreError::Unavailable("no reply to the lease renewal".to_owned()))
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
        // The request stream must stay open until the watch ends.
        let requests = tokio_stream::StreamExt::chain(
            tokio_stream::once(create),
            tokio_stream::pending::<WatchRequest>(),
        );
        let mut client =
            WatchClient::new(self.channel.clone()).max_decoding_message_size(MAX_REPLY_BYTES);
        let mut replies = self.read(client.watch(requests)).await?.into_inner();
        loop {
            let reply = tokio::select! {
                reply = replies.message() => reply,
                () = tx.closed() => return Ok(()),
            };
            let reply = reply.map_err(|status| StoreError::Unavailable(status.to_string()))?;
            let Some(reply) = reply.filter(|reply| !reply.canceled) else {
                return Err(StoreError::Unavailable("the store ended the watch".to_owned()));
            };
            if tx.send(changes_from_wire(reply)).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn changes_from_wire(reply: WatchResponse) -> Vec<Change> {
    let events = reply.events.into_iter().filter_map(|event| {
        let deleted = event.r#type() == EventType::Delete;
        let kv = event.kv?;
        Some(Change {
            key: key_from_wire(&kv.key),
            revision: revision_from_wire(kv.mod_revision),
            value: (!deleted).then_some(kv.value),
        })
    });
    events.collect()
}
