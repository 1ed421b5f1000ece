//! The review's store as each node sees it: behind links of its own, and away for some of the nodes.

#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/store.rs"]
mod base;

use std::{
    collections::BTreeMap,
    ops::Deref,
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::Duration,
};

use crate::{
    base64,
    http::{Reply, Request},
    json::{self, Json},
    names::name,
    record::Record,
    variant::{self, Variant},
};

/// How much longer a write takes than a read, in milliseconds.
const WRITE_MS: u64 = 26;

/// How long a call without an answer stays open. Callers don't wait that long.
const SILENCE: Duration = Duration::from_secs(4);

/// The prefix of the keys of nodes and of duties.
const CONTROL: &str = "teaselgap/control/";

/// The prefix of the keys of the cells' owners.
const CELLS: &str = "teaselgap/control/seat/cell/";

/// A worker's entry with this processor capacity.
fn with_room(mut entry: Json, room: u64) -> Json {
    if let Some(mut capacity) = entry.get("capacity").cloned() {
        variant::set(&mut capacity, "cpu", json::number(room));
        variant::set(&mut entry, "capacity", capacity);
    }
    entry
}

/// How the store treats a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Up,
    Refuse,
    Reset,
    Silent,
    /// Writes are carried out and get no answer.
    Mute,
    /// Writes get no answer and are carried out this many milliseconds late.
    Late(u64),
}

/// What a node sees.
#[derive(Clone, Default)]
struct View {
    mode: Mode,
    until_ms: u64,
    /// Addresses, each with that of the node's link to it.
    links: Vec<(String, String)>,
}

/// A claim of the cell.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    pub node: usize,
    pub epoch: u64,
    pub at_ms: u64,
}

pub struct Store {
    base: base::Store,
    views: Mutex<Vec<View>>,
    claims: Mutex<Vec<Claim>>,
    record: OnceLock<Arc<Record>>,
    /// The processor capacity of the workers' lives, by the keys of their entries.
    rooms: Mutex<BTreeMap<String, u64>>,
}

impl Store {
    pub fn new(nodes: usize, record: &Arc<Record>) -> Self {
        Self {
            base: base::Store::new(),
            views: Mutex::new(vec![View::default(); nodes]),
            claims: Mutex::default(),
            record: OnceLock::from(Arc::clone(record)),
            rooms: Mutex::default(),
        }
    }

    /// Keeps the room of a worker's life, which its entries name from now on, and returns it.
    pub fn start_life(&self, worker: &str, life: u64, first_room: u64) -> u64 {
        let room = Variant::chosen().map_or(first_room, |variant| variant.room(life, first_room));
        self.rooms.lock().unwrap().insert(format!("{}{worker}", name("workers")), room);
        room
    }

    pub fn write(&self, key: &str, value: &str) -> bool {
        let room = self.rooms.lock().unwrap().get(key).copied();
        let entry = room.zip(Json::parse(value)).map(|(room, entry)| with_room(entry, room));
        self.base.write(key, &entry.map_or(value.to_owned(), |entry| entry.to_string()))
    }

    fn record(&self) -> &Record {
        self.record.wait()
    }

    pub fn set_links(&self, node: usize, links: Vec<(String, String)>) {
        self.views.lock().unwrap()[node].links = links;
    }

    /// Treats a node in this way for a time.
    pub fn set_mode(&self, node: usize, mode: Mode, ms: u64) {
        let view = &mut self.views.lock().unwrap()[node];
        (view.mode, view.until_ms) = (mode, self.record().now_ms() + ms);
    }

    fn mode(&self, node: usize) -> Mode {
        let view = &self.views.lock().unwrap()[node];
        if self.record().now_ms() < view.until_ms { view.mode } else { Mode::Up }
    }

    pub fn claims(&self) -> Vec<Claim> {
        self.claims.lock().unwrap().clone()
    }

    /// The node that has claimed the cell last.
    pub fn owner(&self) -> usize {
        self.claims.lock().unwrap().last().map_or(0, |claim| claim.node)
    }

    /// Answers a call of a node.
    pub fn answer(self: &Arc<Self>, node: usize, request: Request) -> Reply {
        let is_write = request.path == name("txn");
        match self.mode(node) {
            Mode::Refuse => return Reply::Answer(503, "{}".to_owned()),
            Mode::Reset => return Reply::Close,
            Mode::Silent => return silence(),
            Mode::Late(ms) if is_write => {
                let store = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(ms));
                    store.carry_out(node, &request);
                });
                return silence();
            }
            _ => {}
        }
        let reply = self.carry_out(node, &request);
        match self.mode(node) {
            Mode::Mute | Mode::Late(_) if is_write => silence(),
            Mode::Silent => silence(),
            Mode::Refuse | Mode::Reset => Reply::Close,
            _ => reply,
        }
    }

    fn carry_out(&self, node: usize, request: &Request) -> Reply {
        if request.path == name("txn") {
            thread::sleep(Duration::from_millis(WRITE_MS));
        }
        let Reply::Answer(status, body) = self.base.handle(request) else { return Reply::Close };
        if request.path == name("txn") && status == 200 {
            self.note_claims(node, &request.body, &body);
        }
        Reply::Answer(status, self.rewrite(node, body))
    }

    fn note_claims(&self, node: usize, request: &str, answer: &str) {
        let request = Json::parse(request).unwrap_or(Json::Null);
        let is_claim = |put: &Json| put.text("key").is_some_and(|key| key.starts_with(CELLS));
        if request.list("puts").iter().any(is_claim) {
            let epoch = Json::parse(answer).and_then(|body| body.number("revision")).unwrap_or(0);
            let at_ms = self.record().now_ms();
            self.claims.lock().unwrap().push(Claim { node, epoch, at_ms });
            self.record().note(format!("node {node} claims the cell with epoch {epoch}"));
        }
        let is_cell = |key: &Json| matches!(key, Json::Text(key) if key.starts_with(CELLS));
        if request.list("deletes").iter().any(is_cell) {
            self.record().note(format!("node {node} releases the cell"));
        }
    }

    /// Puts the addresses of the node's links into an answer.
    fn rewrite(&self, node: usize, body: String) -> String {
        let links = self.views.lock().unwrap()[node].links.clone();
        match Json::parse(&body) {
            Some(mut answer) => {
                rewrite_items(&mut answer, &links);
                answer.to_string()
            }
            None => body,
        }
    }

    fn ask(&self, path: String, body: &str) -> Option<Json> {
        let body = body.to_owned();
        let request = Request { path, query: Vec::new(), headers: Vec::new(), body };
        match self.base.handle(&request) {
            Reply::Answer(200, body) => Json::parse(&body),
            _ => None,
        }
    }

    /// Ends all leases, as if they had expired while the store was down.
    pub fn end_leases(&self) {
        let granted = self.ask(name("grant").to_owned(), r#"{"ttl_ms":1000}"#);
        let last = granted.and_then(|lease| lease.number("lease")).unwrap_or(0);
        for lease in 1..=last {
            self.ask(format!("{}{lease}", name("revoke")), "");
        }
    }
}

impl Deref for Store {
    type Target = base::Store;

    fn deref(&self) -> &base::Store {
        &self.base
    }
}

fn silence() -> Reply {
    thread::sleep(SILENCE);
    Reply::Close
}

fn rewrite_items(answer: &mut Json, links: &[(String, String)]) {
    match answer {
        Json::List(items) => items.iter_mut().for_each(|item| rewrite_items(item, links)),
        Json::Object(fields) => {
            let is_wanted = |(key, value): &(String, Json)| {
                let Json::Text(value) = value else { return false };
                key == "key" && (value.starts_with(CONTROL) || value.starts_with(name("workers")))
            };
            let has_address = fields.iter().any(is_wanted);
            for (key, value) in fields {
                match value {
                    Json::Text(value) if has_address && key == "value" => {
                        *value = rewrite_value(value, links);
                    }
                    value => rewrite_items(value, links),
                }
            }
        }
        _ => {}
    }
}

fn rewrite_value(value: &str, links: &[(String, String)]) -> String {
    let Ok(mut text) = String::from_utf8(base64::decode(value)) else { return value.to_owned() };
    for (address, link) in links {
        text = text.replace(&json::text(address).to_string(), &json::text(link).to_string());
    }
    base64::encode(text.as_bytes())
}
