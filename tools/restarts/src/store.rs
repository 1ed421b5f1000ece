//! The review's store, with writes that take as long as in the users' deployment.

#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/store.rs"]
mod base;

use std::{ops::Deref, thread, time::Duration};

use crate::{
    base64,
    http::{Reply, Request},
    json::Json,
    names::name,
};

/// How much longer a write takes than a read, in milliseconds.
const WRITE_MS: u64 = 26;

pub struct Store(base::Store);

impl Store {
    pub fn new() -> Self {
        Self(base::Store::new())
    }

    pub fn handle(&self, request: &Request) -> Reply {
        if request.path == name("txn") {
            thread::sleep(Duration::from_millis(WRITE_MS));
        }
        self.0.handle(request)
    }

    fn ask(&self, path: String, query: Vec<(String, String)>, body: &str) -> Option<Json> {
        let request = Request { path, query, headers: Vec::new(), body: body.to_owned() };
        match self.0.handle(&request) {
            Reply::Answer(200, body) => Json::parse(&body),
            _ => None,
        }
    }

    /// Returns the value of a key, as text.
    pub fn read(&self, key: &str) -> Option<String> {
        let query = vec![("key".to_owned(), key.to_owned())];
        let item = self.ask(name("get").to_owned(), query, "")?;
        String::from_utf8(base64::decode(item.text("value")?)).ok()
    }

    /// The room of a worker's life, which is that of its first one.
    pub fn start_life(&self, _worker: &str, _life: u64, first_room: u64) -> u64 {
        first_room
    }

    /// Ends all leases, as if they had expired while the store was down.
    pub fn end_leases(&self) {
        let granted = self.ask(name("grant").to_owned(), Vec::new(), r#"{"ttl_ms":1000}"#);
        let last = granted.and_then(|lease| lease.number("lease")).unwrap_or(0);
        for lease in 1..=last {
            self.ask(format!("{}{lease}", name("revoke")), Vec::new(), "");
        }
    }
}

impl Deref for Store {
    type Target = base::Store;

    fn deref(&self) -> &base::Store {
        &self.0
    }
}
