//! A stand-in for the platform's metadata store.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    base64,
    http::{Reply, Request},
    json::{self, Json},
    names::name,
};

/// The most items in one page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    item: Option<Item>,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// While the store is down, it refuses every call, and leases pause.
    down_since: Option<Instant>,
}

/// The store. Every call is answered after a fixed time.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> Json {
    json::object([
        ("key", json::text(key)),
        ("value", json::text(base64::encode(&item.value))),
        ("revision", json::number(item.revision)),
        ("created", json::number(item.created)),
        ("lease", json::number(item.lease)),
    ])
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), item: Some(item), revision });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.history.push(Change { key: key.to_owned(), item: None, revision });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (_, until))| now >= *until);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }
}

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 1, next_lease: 1, ..State::default() };
        Self { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Writes a key on behalf of the operator or of a worker. Returns whether the store is up.
    pub fn write(&self, key: &str, value: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.down_since.is_some() {
            return false;
        }
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
        true
    }

    /// Deletes the key of a silent worker. Returns whether the store is up.
    pub fn remove(&self, key: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.down_since.is_some() {
            return false;
        }
        state.revision += 1;
        state.delete(key);
        self.changed.notify_all();
        true
    }

    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        match (state.down_since, is_down) {
            (None, true) => state.down_since = Some(now),
            (Some(since), false) => {
                state.down_since = None;
                for (_, until) in state.leases.values_mut() {
                    *until += now - since;
                }
            }
            _ => {}
        }
        self.changed.notify_all();
    }

    /// Ends leases whose time is over.
    pub fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if state.down_since.is_none() {
            state.expire_leases();
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(4));
        if self.state.lock().unwrap().down_since.is_some() {
            return Reply::Answer(503, "{}".to_owned());
        }
        let (status, body) = self.answer(request);
        Reply::Answer(status, body.to_string())
    }

    fn answer(&self, request: &Request) -> (u16, Json) {
        let path = request.path.as_str();
        let none = || json::object([]);
        if path == name("get") {
            let state = self.state.lock().unwrap();
            let key = request.param("key").unwrap_or_default();
            return match state.items.get(key) {
                Some(item) => (200, item_json(key, item)),
                None => (404, none()),
            };
        }
        if path == name("range") {
            return (200, self.range(request));
        }
        if path == name("watch") {
            return self.watch(request);
        }
        if path == name("txn") {
            return self.transact(&Json::parse(&request.body).unwrap_or(Json::Null));
        }
        if path == name("grant") {
            let body = Json::parse(&request.body).unwrap_or(Json::Null);
            let ttl_ms = body.number("ttl_ms").unwrap_or(0).clamp(1_000, 600_000);
            let mut state = self.state.lock().unwrap();
            let lease = state.next_lease;
            state.next_lease += 1;
            let ttl = Duration::from_millis(ttl_ms);
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            let fields = [("lease", json::number(lease)), ("ttl_ms", json::number(ttl_ms))];
            return (200, json::object(fields));
        }
        if let Some(lease) = path.strip_prefix(name("renew")) {
            let mut state = self.state.lock().unwrap();
            state.expire_leases();
            let lease = lease.parse().unwrap_or(0);
            return match state.leases.get_mut(&lease) {
                Some((ttl, until)) => {
                    *until = Instant::now() + *ttl;
                    (200, none())
                }
                None => (404, none()),
            };
        }
        if let Some(lease) = path.strip_prefix(name("revoke")) {
            self.state.lock().unwrap().end_lease(lease.parse().unwrap_or(0));
            self.changed.notify_all();
            return (200, none());
        }
        (404, none())
    }

    fn range(&self, request: &Request) -> Json {
        let prefix = request.param("prefix").unwrap_or_default();
        let after = request.param("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let mut rest = state
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after);
        let items: Vec<Json> =
            rest.by_ref().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        json::object([
            ("items", Json::List(items)),
            ("has_more", Json::Bool(rest.next().is_some())),
            ("at_rev", json::number(state.revision)),
        ])
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let prefix = request.param("prefix").unwrap_or_default();
        let number = |name| request.param(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("after"), number("wait_ms"));
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            if state.down_since.is_some() {
                return (503, json::object([]));
            }
            let is_new =
                |change: &&Change| change.revision > after && change.key.starts_with(prefix);
            let events: Vec<Json> = state
                .history
                .iter()
                .filter(is_new)
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => json::object([
                        ("key", json::text(&change.key)),
                        ("revision", json::number(change.revision)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let at_rev = json::number(state.revision);
                let fields = [("events", Json::List(events)), ("at_rev", at_rev)];
                return (200, json::object(fields));
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        state.expire_leases();
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let rows: Vec<(String, u64)> = body
            .list("expected")
            .iter()
            .map(|row| {
                let key = row.text("key").unwrap_or_default().to_owned();
                (key, row.number("revision").unwrap_or(0))
            })
            .collect();
        if rows.iter().any(|(key, revision)| revision_of(&state, key) != *revision) {
            let items = rows
                .iter()
                .filter_map(|(key, _)| state.items.get(key).map(|item| item_json(key, item)));
            return (412, json::object([("items", Json::List(items.collect()))]));
        }
        let leases = body.list("puts").iter().filter_map(|put| put.number("lease"));
        if leases.filter(|lease| *lease != 0).any(|lease| !state.leases.contains_key(&lease)) {
            return (404, json::object([]));
        }
        state.revision += 1;
        for put in body.list("puts") {
            let value = base64::decode(put.text("value").unwrap_or_default());
            let lease = put.number("lease").unwrap_or(0);
            state.put(put.text("key").unwrap_or_default(), value, lease);
        }
        for key in body.list("deletes") {
            if let Json::Text(key) = key {
                state.delete(key);
            }
        }
        self.changed.notify_all();
        (200, json::object([("revision", json::number(state.revision))]))
    }
}
