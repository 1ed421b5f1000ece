//! The content of the store: keys, leases and the history of events.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use teaselgap_proto::{
    etcdserverpb::{
        Compare, DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest,
        RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
        compare::{CompareResult, CompareTarget, TargetUnion},
        request_op::Request,
        response_op::Response,
    },
    mvccpb::{Event, KeyValue, event::EventType},
};

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    deadline: Instant,
    keys: IndexSet<Bytes>,
}

/// The content of a store.
#[derive(Clone, Debug, Default)]
pub struct Data {
    revision: i64,
    keys: BTreeMap<Bytes, KeyValue>,
    leases: IndexMap<i64, Lease>,
    next_lease: i64,
    events: Vec<Event>,
    /// Events up to and including this revision have been discarded.
    compacted: i64,
}

impl Data {
    /// Returns the header of a response.
    #[must_use]
    pub fn header(&self) -> Option<ResponseHeader> {
        Some(ResponseHeader { revision: self.revision, ..ResponseHeader::default() })
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns all keys, with the lengths of their values in bytes.
    #[must_use]
    pub fn keys(&self) -> Vec<(String, usize)> {
        let text = |key: &Bytes| String::from_utf8_lossy(key).into_owned();
        self.keys.iter().map(|(key, kv)| (text(key), kv.value.len())).collect()
    }

    /// Reads a range.
    #[must_use]
    pub fn range(&self, req: &RangeRequest) -> RangeResponse {
        let selected = self.select(&req.key, &req.range_end);
        let count = selected.len();
        let limit = if req.limit > 0 { usize::try_from(req.limit).unwrap_or(0) } else { count };
        let kvs = selected.into_iter().take(limit).cloned().map(|mut kv| {
            if req.keys_only {
                kv.value = Bytes::new();
            }
            kv
        });
        RangeResponse {
            header: self.header(),
            kvs: if req.count_only { Vec::new() } else { kvs.collect() },
            more: count > limit,
            count: i64::try_from(count).unwrap_or(i64::MAX),
        }
    }

    fn select(&self, key: &Bytes, range_end: &Bytes) -> Vec<&KeyValue> {
        if range_end.is_empty() {
            return self.keys.get(key).into_iter().collect();
        }
        self.keys.range(key.clone()..range_end.clone()).map(|(_, kv)| kv).collect()
    }

    /// Runs a transaction; all its writes get the same revision.
    pub fn txn(&mut self, req: &TxnRequest) -> TxnResponse {
        let succeeded = req.compare.iter().all(|compare| self.comparison_holds(compare));
        let ops = if succeeded { &req.success } else { &req.failure };
        let writes = ops.iter().any(|op| !matches!(op.request, Some(Request::RequestRange(_))));
        if writes {
            self.revision += 1;
        }
        let responses = ops.iter().map(|op| self.apply(op)).collect();
        TxnResponse { header: self.header(), succeeded, responses }
    }

    fn apply(&mut self, op: &RequestOp) -> ResponseOp {
        let response = match &op.request {
            Some(Request::RequestRange(req)) => Response::ResponseRange(self.range(req)),
            Some(Request::RequestPut(req)) => Response::ResponsePut(self.put(req)),
            Some(Request::RequestDeleteRange(req)) => {
                Response::ResponseDeleteRange(self.delete(req))
            }
            None => return ResponseOp { response: None },
        };
        ResponseOp { response: Some(response) }
    }

    fn put(&mut self, req: &PutRequest) -> PutResponse {
        let old = self.keys.get(&req.key);
        let create_revision = old.map_or(self.revision, |old| old.create_revision);
        let version = old.map_or(1, |old| old.version + 1);
        let old_lease = old.map_or(0, |old| old.lease);
        if let Some(lease) = self.leases.get_mut(&old_lease) {
            lease.keys.swap_remove(&req.key);
        }
        if let Some(lease) = self.leases.get_mut(&req.lease) {
            lease.keys.insert(req.key.clone());
        }
        let kv = KeyValue {
            key: req.key.clone(),
            create_revision,
            mod_revision: self.revision,
            version,
            value: req.value.clone(),
            lease: req.lease,
        };
        self.keys.insert(req.key.clone(), kv.clone());
        self.events.push(Event { r#type: EventType::Put.into(), kv: Some(kv), prev_kv: None });
        PutResponse { header: self.header(), prev_kv: None }
    }

    fn delete(&mut self, req: &DeleteRangeRequest) -> DeleteRangeResponse {
        let deleted_keys: Vec<Bytes> =
            self.select(&req.key, &req.range_end).iter().map(|kv| kv.key.clone()).collect();
        for key in &deleted_keys {
            self.keys.remove(key);
            let kv =
                KeyValue { key: key.clone(), mod_revision: self.revision, ..KeyValue::default() };
            self.events.push(Event {
                r#type: EventType::Delete.into(),
                kv: Some(kv),
                prev_kv: None,
            });
        }
        let deleted = i64::try_from(deleted_keys.len()).unwrap_or(i64::MAX);
        DeleteRangeResponse { header: self.header(), deleted, prev_kvs: Vec::new() }
    }

    fn comparison_holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let number = |field: fn(&KeyValue) -> i64| kv.map_or(0, field);
        let order = match (compare.target(), &compare.target_union) {
            (CompareTarget::Version, Some(TargetUnion::Version(expected))) => {
                number(|kv| kv.version).cmp(expected)
            }
            (CompareTarget::Create, Some(TargetUnion::CreateRevision(expected))) => {
                number(|kv| kv.create_revision).cmp(expected)
            }
            (CompareTarget::Mod, Some(TargetUnion::ModRevision(expected))) => {
                number(|kv| kv.mod_revision).cmp(expected)
            }
            (CompareTarget::Lease, Some(TargetUnion::Lease(expected))) => {
                number(|kv| kv.lease).cmp(expected)
            }
            (CompareTarget::Value, Some(TargetUnion::Value(expected))) => match kv {
                Some(kv) => kv.value.cmp(expected),
                None => return false,
            },
            _ => return false,
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }

    /// Grants a lease with this id, or with a new id if `id` is zero. Returns the id.
    pub fn grant(&mut self, id: i64, ttl: Duration, now: Instant) -> i64 {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        self.leases.insert(id, Lease { ttl, deadline: now + ttl, keys: IndexSet::new() });
        id
    }

    /// Renews a lease and returns its time to live, or `None` if the lease does not exist.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.deadline = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys. Returns whether the lease existed.
    pub fn revoke(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.swap_remove(&id) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        for key in lease.keys {
            self.delete(&DeleteRangeRequest { key, ..DeleteRangeRequest::default() });
        }
        true
    }

    /// Returns the ids of the leases whose deadline has passed.
    #[must_use]
    pub fn expired_leases(&self, now: Instant) -> Vec<i64> {
        self.leases.iter().filter(|(_, lease)| lease.deadline <= now).map(|(&id, _)| id).collect()
    }

    /// Returns the ids of all leases.
    #[must_use]
    pub fn all_leases(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Renews every lease, as the platform's service does after an outage.
    pub fn extend_leases(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            lease.deadline = now + lease.ttl;
        }
    }

    /// Discards all events so far.
    pub fn compact(&mut self) {
        self.events.clear();
        self.compacted = self.revision;
    }

    /// Returns the events of a range of keys, from revision `from` on.
    ///
    /// # Errors
    ///
    /// If events from `from` on have been discarded: the revision up to which they were.
    pub fn events(&self, key: &Bytes, range_end: &Bytes, from: i64) -> Result<Vec<Event>, i64> {
        if from <= self.compacted {
            return Err(self.compacted);
        }
        let in_range = |event: &&Event| {
            let Some(kv) = &event.kv else { return false };
            let matches = if range_end.is_empty() {
                kv.key == *key
            } else {
                kv.key >= *key && kv.key < *range_end
            };
            matches && kv.mod_revision >= from
        };
        let first = self
            .events
            .partition_point(|event| event.kv.as_ref().is_some_and(|kv| kv.mod_revision < from));
        Ok(self.events[first..].iter().filter(in_range).cloned().collect())
    }
}
