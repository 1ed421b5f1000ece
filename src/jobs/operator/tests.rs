//! Versions of a large configuration that follow each other faster than the node's link carries them. All
//! answers of the store pass that link, one after the other.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use slog::{Discard, Logger, o};
use teaselgap_core::Span;
use teaselgap_platform::store::{KEY_PATH, RANGE_PATH, TXN_PATH, WATCH_PATH};
use tokio::task::LocalSet;

use super::*;
use crate::jobs::{
    lease::{LeaseRenewer, RenewalConfig},
    test_node,
};

/// The narrowest link of the users' deployments, in megabits per second.
const LINK_MBPS: f64 = 2.0;

/// The size of each version of the configuration. It takes 0.64 s on the link.
const CONFIG_BYTES: usize = 120_000;

/// The time between two versions.
const VERSION_INTERVAL: Duration = Duration::from_millis(150);

/// The number of versions that follow the first one.
const CHANGES: u64 = 12;

/// Within this time after it was written, a version or a later one must be applied, in milliseconds.
const APPLY_BOUND_MS: u64 = 3_000;

/// The time-to-live of the node's lease.
const LEASE_TTL: Span = Span(2_000);

const LEASE: u64 = 7;

/// The revision at which the first version was written. Each change adds one.
const FIRST_REVISION: u64 = 100;

/// The largest answer without a version of the configuration.
const MAX_SMALL_ANSWER: usize = 1_000;

/// A store with a key of which new versions are written at fixed times, and a maintenance wave.
struct ConfigStore {
    started: Instant,
    /// The number of the change that is a maintenance wave, and not a version.
    wave_at: Option<u64>,
    /// Whether the store refuses transactions about the operator's keys.
    refuses_conditions: bool,
    link_free_at: Mutex<Instant>,
    bytes_sent: Mutex<usize>,
}

impl ConfigStore {
    fn new(wave_at: Option<u64>, refuses_conditions: bool) -> Self {
        let started = Instant::now();
        let (link_free_at, bytes_sent) = (Mutex::new(started), Mutex::default());
        Self { started, wave_at, refuses_conditions, link_free_at, bytes_sent }
    }

    /// When a change is written.
    fn written_at(&self, change: u64) -> Instant {
        self.started + VERSION_INTERVAL * u32::try_from(change).unwrap()
    }

    /// The changes that have been written by now.
    fn changes(&self) -> Vec<u64> {
        let now = Instant::now();
        (0..=CHANGES).filter(|&change| self.written_at(change) <= now).collect()
    }

    fn key(&self, change: u64) -> &'static str {
        if self.wave_at == Some(change) { "op/wave/1" } else { CONFIG_KEY }
    }

    fn item(&self, change: u64) -> String {
        let text = if self.wave_at == Some(change) {
            r#"{"wave":1,"machines":["m1"],"duration_s":60,"maximum":1}"#.to_owned()
        } else {
            let filler = "x".repeat(CONFIG_BYTES);
            format!(r#"{{"version":{},"filler":"{filler}"}}"#, change + 1)
        };
        let (key, value) = (self.key(change), STANDARD.encode(text));
        let revision = FIRST_REVISION + change;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#
        )
    }

    /// The newest items whose keys have this prefix.
    fn items(&self, prefix: &str) -> Vec<String> {
        let mut newest = HashMap::new();
        for change in self.changes() {
            newest.insert(self.key(change), change);
        }
        let wanted = newest.into_iter().filter(|(key, _)| key.starts_with(prefix));
        wanted.map(|(_, change)| self.item(change)).collect()
    }

    fn at_rev(&self) -> u64 {
        FIRST_REVISION + self.changes().last().unwrap()
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        loop {
            let at_rev = self.at_rev();
            let is_wanted = |change: &u64| {
                FIRST_REVISION + change > after && self.key(*change).starts_with(prefix)
            };
            let wanted = self.changes().into_iter().filter(is_wanted);
            let events: Vec<String> = wanted.map(|change| self.item(change)).collect();
            if !events.is_empty() || Instant::now() >= deadline {
                return format!(r#"{{"events":[{}],"at_rev":{at_rev}}}"#, events.join(","));
            }
            std::thread::park_timeout(Duration::from_millis(5));
        }
    }

    /// The answer to a transaction that writes nothing.
    fn conditional_read(&self, body: &str) -> (&'static str, String) {
        let txn: serde_json::Value = serde_json::from_str(body).unwrap();
        assert!(txn["puts"].as_array().unwrap().is_empty(), "{body}");
        assert!(txn["deletes"].as_array().unwrap().is_empty(), "{body}");
        if self.refuses_conditions {
            return ("403 Forbidden", "{}".to_owned());
        }
        assert_eq!(txn["expected"][0]["key"], CONFIG_KEY);
        let mut versions = self.changes();
        versions.retain(|&change| self.wave_at != Some(change));
        let newest = *versions.last().unwrap();
        if txn["expected"][0]["revision"] == FIRST_REVISION + newest {
            return ("200 OK", format!(r#"{{"revision":{}}}"#, self.at_rev()));
        }
        ("412 Precondition Failed", format!(r#"{{"items":[{}]}}"#, self.item(newest)))
    }

    fn answer(&self, request: &str) -> (&'static str, String) {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let decode = |text: &str| {
            percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
        };
        let params: HashMap<&str, String> =
            pairs.map(|(name, value)| (name, decode(value))).collect();
        match path {
            RANGE_PATH => {
                let (items, at_rev) = (self.items(&params["prefix"]), self.at_rev());
                let items = items.join(",");
                ("200 OK", format!(r#"{{"items":[{items}],"has_more":false,"at_rev":{at_rev}}}"#))
            }
            WATCH_PATH => {
                let wait = Duration::from_millis(params["wait_ms"].parse().unwrap());
                let after = params["after"].parse().unwrap();
                ("200 OK", self.watch(&params["prefix"], after, wait))
            }
            KEY_PATH => ("200 OK", self.items(&params["key"]).join("")),
            TXN_PATH => self.conditional_read(request.rsplit("\r\n").next().unwrap()),
            _ => ("200 OK", "{}".to_owned()),
        }
    }

    /// Waits until this many bytes have passed the link behind all that entered it before.
    fn pass_link(&self, bytes: usize) {
        #[expect(clippy::cast_precision_loss, reason = "the size of an answer")]
        let time = Duration::from_secs_f64(bytes as f64 / (LINK_MBPS * 125_000.0));
        let passed_at = {
            let mut free_at = self.link_free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        while Instant::now() < passed_at {
            std::thread::park_timeout(passed_at.saturating_duration_since(Instant::now()));
        }
    }

    fn answer_requests(&self, mut stream: TcpStream) {
        let mut buf = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buf) {
            let request = String::from_utf8_lossy(&buf[..count]).into_owned();
            let (status, body) = self.answer(&request);
            if body.len() > MAX_SMALL_ANSWER {
                *self.bytes_sent.lock().unwrap() += body.len();
            }
            self.pass_link(body.len());
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// How many versions of the configuration were sent.
    fn versions_sent(&self) -> usize {
        *self.bytes_sent.lock().unwrap() / (CONFIG_BYTES * 4 / 3)
    }
}

fn serve(store: ConfigStore) -> (SocketAddr, Arc<ConfigStore>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let store = Arc::new(store);
    let served = Arc::clone(&store);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let store = Arc::clone(&served);
            std::thread::spawn(move || store.answer_requests(stream));
        }
    });
    (address, store)
}

/// What a node did while the versions followed each other.
struct Outcome {
    /// The versions that were applied, with the time when each first was.
    applied: Vec<(u64, Instant)>,
    has_lapsed: bool,
    waves: usize,
    store: Arc<ConfigStore>,
}

impl Outcome {
    /// The longest time for which a version had been written and neither it nor a later one applied.
    fn longest_wait(&self) -> Span {
        let versions = (0..=CHANGES).filter(|change| self.store.wave_at != Some(*change));
        let waits = versions.map(|change| {
            let written = self.store.written_at(change);
            let is_applied = |(version, _): &&(u64, Instant)| *version > change;
            let applied = self.applied.iter().find(is_applied).expect("the last version").1;
            Span(u64::try_from(applied.saturating_duration_since(written).as_millis()).unwrap())
        });
        waits.max().unwrap()
    }
}

/// Has a node follow the configuration until the last version is applied.
fn follow(store: ConfigStore) -> Outcome {
    let (address, store) = serve(store);
    let mut node = test_node::node(&[], address);
    let settings = &mut Rc::get_mut(&mut node).expect("the only one").settings;
    settings.limits.link_mbps = LINK_MBPS;
    settings.bounds.config_apply_ms = APPLY_BOUND_MS;
    let cfg = RenewalConfig { store: address, ttl: LEASE_TTL, max_stall: Span(60_000) };
    let renewer = LeaseRenewer::start(cfg, Logger::root(Discard, o!())).unwrap();
    renewer.record_progress();
    renewer.set(LEASE, clock::now() + LEASE_TTL);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut applied: Vec<(u64, Instant)> = Vec::new();
    let mut has_lapsed = false;
    LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(run(Rc::clone(&node)));
        let mut interval = tokio::time::interval(Duration::from_millis(5));
        let last = CHANGES + 1;
        let deadline = store.written_at(last) + Duration::from_secs(10);
        while applied.last().is_none_or(|(version, _)| *version < last) {
            assert!(Instant::now() < deadline, "the last version was never applied");
            interval.tick().await;
            has_lapsed |= clock::now() >= renewer.valid_until();
            let version = node.shared.config.load().as_ref().map_or(0, |config| config.version);
            if version != applied.last().map_or(0, |(version, _)| *version) {
                applied.push((version, Instant::now()));
            }
        }
    });
    let waves = node.operator.borrow().waves.len();
    Outcome { applied, has_lapsed, waves, store }
}

/// Guards against an owner that loses its lease in calm, because versions of the configuration that nobody
/// needs any more fill its link.
#[test]
fn versions_that_follow_each_other_leave_the_link_to_the_lease() {
    let outcome = follow(ConfigStore::new(None, false));

    assert!(!outcome.has_lapsed, "after {} versions", outcome.store.versions_sent());
    assert!(outcome.store.versions_sent() <= 6, "{}", outcome.store.versions_sent());
    let wait = outcome.longest_wait();
    assert!(wait <= Span(APPLY_BOUND_MS), "{wait:?}");
    assert!(outcome.applied.is_sorted_by_key(|(version, _)| version), "{:?}", outcome.applied);
}

/// Guards against a wave that is never carried out because it was written between two versions of which the
/// node read the later one only.
#[test]
fn a_maintenance_wave_between_versions_that_are_left_out_is_known() {
    let outcome = follow(ConfigStore::new(Some(3), false));

    assert!(!outcome.has_lapsed, "after {} versions", outcome.store.versions_sent());
    assert_eq!(outcome.waves, 1);
}

/// Guards against a node that follows the configuration no more where the store answers no conditions on the
/// operator's keys.
#[test]
fn every_version_is_followed_where_the_store_refuses_conditions() {
    let outcome = follow(ConfigStore::new(None, true));

    assert_eq!(outcome.applied.last().map(|(version, _)| *version), Some(CHANGES + 1));
    assert!(outcome.applied.is_sorted_by_key(|(version, _)| version), "{:?}", outcome.applied);
}

/// Answers each request by its path and by how many of that path came before.
fn serve_script(answer: fn(&str, usize) -> (&'static str, String)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let counts: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let answer_all = move |mut stream: TcpStream, counts: &Mutex<HashMap<String, usize>>| {
        let mut buf = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buf) {
            let request = String::from_utf8_lossy(&buf[..count]).into_owned();
            let path = request.split([' ', '?']).nth(1).unwrap_or_default().to_owned();
            let mut counts = counts.lock().unwrap();
            let before = counts.entry(path.clone()).or_default();
            let (status, body) = answer(&path, *before);
            *before += 1;
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counts = Arc::clone(&counts);
            std::thread::spawn(move || answer_all(stream, &counts));
        }
    });
    address
}

/// A store in which a wave and then a version are written after the waves were read the first time, and before the
/// configuration is.
fn wave_and_version_between(path: &str, before: usize) -> (&'static str, String) {
    let item = |key: &str, text: &str, revision: u64| {
        let value = STANDARD.encode(text);
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#
        )
    };
    let wave = r#"{"wave":1,"machines":["m1"],"duration_s":60,"maximum":1}"#;
    match (path, before) {
        (RANGE_PATH, 0) => ("200 OK", r#"{"items":[],"has_more":false,"at_rev":110}"#.to_owned()),
        (RANGE_PATH, _) => {
            let items = item("op/wave/1", wave, 111);
            ("200 OK", format!(r#"{{"items":[{items}],"has_more":false,"at_rev":112}}"#))
        }
        (TXN_PATH, _) => {
            let newest = item(CONFIG_KEY, r#"{"version":2}"#, 112);
            ("412 Precondition Failed", format!(r#"{{"items":[{newest}]}}"#))
        }
        _ => ("200 OK", "{}".to_owned()),
    }
}

/// Guards against a wave that is never carried out because it was written after the waves were read and before the
/// configuration was, after which the watch goes on.
#[test]
fn a_maintenance_wave_written_between_the_readings_is_known() {
    let mut node = test_node::node(&[], serve_script(wave_and_version_between));
    Rc::get_mut(&mut node).expect("the only one").settings.limits.link_mbps = LINK_MBPS;
    node.operator.borrow_mut().record_config(ConfigRead { revision: 109, ..Default::default() });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();

    LocalSet::new().block_on(&runtime, catch_up(&node)).unwrap();

    let state = node.operator.borrow();
    assert_eq!((state.revision, state.config.revision), (112, 112));
    assert!(state.waves.contains_key(&1));
}
