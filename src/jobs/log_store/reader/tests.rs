//! Reads of a log over a narrow link, against a store whose answers all pass one link, one after
//! the other in the order in which the store gives them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use indexmap::IndexMap;
use slog::{Discard, Logger, o};
use teaselgap_core::Span;
use teaselgap_platform::{client::Connections, store::Store};
use tokio::task::LocalSet;

use super::{
    super::super::lease::{LeaseRenewer, RenewalConfig},
    *,
};
use crate::clock;

/// The narrowest link of the users' deployments, in megabits per second.
const LINK_MBPS: f64 = 2.0;

/// Number and size of the segments of a log on such a link (`review/traces/small-twins.txt`).
const SEGMENTS: u64 = 413;
const SEGMENT_BYTES: usize = 557;

/// The time-to-live of a node's lease.
const LEASE_TTL: Span = Span(2_000);

const LEASE: u64 = 7;

/// The most items of a page.
const PAGE_ITEMS: usize = 500;

/// The keys of a store and the link over which it answers.
struct LinkedStore {
    values: IndexMap<String, Vec<u8>>,
    link_free_at: Mutex<Instant>,
    bytes_per_s: f64,
    requests: Mutex<Vec<String>>,
    /// The number of the request that gets no answer, counted from 1; none if zero.
    lost_request: usize,
}

impl LinkedStore {
    fn new(values: IndexMap<String, Vec<u8>>, link_mbps: f64) -> Self {
        Self {
            values,
            link_free_at: Mutex::new(Instant::now()),
            bytes_per_s: link_mbps * 125_000.0,
            requests: Mutex::default(),
            lost_request: 0,
        }
    }

    fn item(key: &str, value: &[u8]) -> String {
        let value = STANDARD.encode(value);
        format!(r#"{{"key":"{key}","value":"{value}","revision":3,"created":3,"lease":0}}"#)
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let is_wanted = |key: &&String| key.starts_with(prefix) && key.as_str() > after;
        let keys: Vec<&String> = self.values.keys().filter(is_wanted).collect();
        let items = keys.iter().take(PAGE_ITEMS).map(|key| Self::item(key, &self.values[*key]));
        let items = items.collect::<Vec<_>>().join(",");
        let has_more = keys.len() > PAGE_ITEMS;
        format!(r#"{{"items":[{items}],"has_more":{has_more},"at_rev":9}}"#)
    }

    /// The status and the body of the answer to a request with this path.
    fn answer(&self, path: &str) -> (&'static str, String) {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let params: IndexMap<&str, String> =
            pairs.map(|(name, value)| (name, decode(value))).collect();
        if let Some(prefix) = params.get("prefix") {
            let after = params.get("after").map_or("", String::as_str);
            return ("200 OK", self.page(prefix, after));
        }
        let Some(key) = params.get("key") else {
            return ("200 OK", "{}".to_owned());
        };
        let missing = ("404 Not Found", "{}".to_owned());
        self.values.get(key).map_or(missing, |value| ("200 OK", Self::item(key, value)))
    }

    /// Waits until this many bytes have passed the link behind all that entered it before.
    fn pass_link(&self, bytes: usize) {
        #[expect(clippy::cast_precision_loss, reason = "the size of an answer")]
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let passed_at = {
            let mut free_at = self.link_free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        std::thread::sleep(passed_at.saturating_duration_since(Instant::now()));
    }

    fn answer_requests(&self, mut stream: TcpStream) {
        let mut buf = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buf) {
            let request = String::from_utf8_lossy(&buf[..count]).into_owned();
            let path = request.split(' ').nth(1).unwrap_or_default();
            let number = {
                let mut requests = self.requests.lock().unwrap();
                requests.push(path.to_owned());
                requests.len()
            };
            if number == self.lost_request {
                continue;
            }
            let (status, body) = self.answer(path);
            self.pass_link(body.len());
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn serve(store: LinkedStore) -> (SocketAddr, Arc<LinkedStore>) {
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

/// The keys of a log with the segments from `first` on, each of this size.
fn log(prefix: &str, first: u64, count: u64, bytes: usize) -> IndexMap<String, Vec<u8>> {
    let segment = |number: u64| (format!("{prefix}{number:016x}"), vec![b's'; bytes]);
    let head = (format!("{prefix}head"), (first + count - 1).to_string().into_bytes());
    (first..first + count).map(segment).chain(std::iter::once(head)).collect()
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Starts to renew a lease at this store.
fn renew(address: SocketAddr) -> LeaseRenewer {
    let cfg = RenewalConfig { store: address, ttl: LEASE_TTL, max_stall: Span(60_000) };
    let renewer = LeaseRenewer::start(cfg, Logger::root(Discard, o!())).unwrap();
    renewer.record_progress();
    renewer.set(LEASE, clock::now() + LEASE_TTL);
    renewer
}

/// Until the lease runs out, if it does.
async fn lapse(renewer: &LeaseRenewer) {
    while clock::now() < renewer.valid_until() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an owner that loses its lease while it reads the log, claims the cell again and
/// reads the log anew, up to 15 times in a row.
#[test]
fn the_lease_is_renewed_while_the_logs_of_two_cells_pass_a_narrow_link() {
    let mut values = log("teaselgap/log/a/", 900, SEGMENTS, SEGMENT_BYTES);
    values.extend(log("teaselgap/log/b/", 15, SEGMENTS, SEGMENT_BYTES));
    let (address, _) = serve(LinkedStore::new(values, LINK_MBPS));
    let reading = LogReading::new(LINK_MBPS);

    let lengths = run(async {
        let store = Store::new(address, Rc::new(Connections::default()));
        let renewer = renew(address);
        let mut a = LogReader::new("teaselgap/log/a/", &reading);
        let mut b = LogReader::new("teaselgap/log/b/", &reading);
        let both = async {
            tokio::try_join!(a.read(&store), b.read(&store)).unwrap();
        };
        tokio::select! {
            () = both => Some((a.items().len(), b.items().len())),
            () = lapse(&renewer) => None,
        }
    });

    let keys = usize::try_from(SEGMENTS).unwrap() + 1;
    assert_eq!(lengths, Some((keys, keys)), "the lease ran out, or keys are missing");
}

/// Guards against the same where a burst of records has left large segments among small ones: the pages are planned by
/// the mean size of the segments read so far.
#[test]
fn the_lease_is_renewed_while_a_log_of_small_and_large_segments_passes_a_narrow_link() {
    const LARGE_BYTES: usize = 40_000;
    let large = log("log/", 0x100, 16, LARGE_BYTES);
    let mut values = log("log/", 0x110, 48, SEGMENT_BYTES);
    values.extend(large.into_iter().filter(|(key, _)| key != "log/head"));
    values.sort_unstable_keys();
    let (address, _) = serve(LinkedStore::new(values, LINK_MBPS));
    let reading = LogReading::new(LINK_MBPS);

    let count = run(async {
        let store = Store::new(address, Rc::new(Connections::default()));
        let renewer = renew(address);
        let mut reader = LogReader::new("log/", &reading);
        tokio::select! {
            result = reader.read(&store) => Some(result.map(|()| reader.items().len())),
            () = lapse(&renewer) => None,
        }
    });

    assert_eq!(count, Some(Ok(65)), "the lease ran out, or keys are missing");
}

/// The numbers of the segments among these keys, which must be in their order and include the head.
fn numbers(items: &[Item], prefix: &str) -> Vec<u64> {
    assert!(items.is_sorted_by_key(|item| &item.key));
    let suffixes = items.iter().map(|item| item.key.strip_prefix(prefix).unwrap());
    let mut suffixes: Vec<&str> = suffixes.collect();
    assert_eq!(suffixes.pop(), Some("head"));
    suffixes.iter().map(|suffix| u64::from_str_radix(suffix, 16).unwrap()).collect()
}

/// Reads the log `log/` over a link of this rate. Returns what was read, and how many calls that took.
fn read_log(values: IndexMap<String, Vec<u8>>, link_mbps: f64) -> (Vec<Item>, usize) {
    let (address, store) = serve(LinkedStore::new(values, link_mbps));
    let reading = LogReading::new(link_mbps);
    let items = run(async {
        let mut reader = LogReader::new("log/", &reading);
        reader.read(&Store::new(address, Rc::new(Connections::default()))).await.unwrap();
        reader.items().to_vec()
    });
    let requests = store.requests.lock().unwrap().len();
    (items, requests)
}

#[test]
fn a_log_is_read_whole_over_links_of_any_rate() {
    for link_mbps in [2.0, 20.0, 1_000.0] {
        let (items, _) = read_log(log("log/", 250, 300, 90), link_mbps);

        assert_eq!(numbers(&items, "log/"), (250..550).collect::<Vec<u64>>(), "{link_mbps} Mbit/s");
    }
}

#[test]
fn a_wide_link_takes_one_call_for_a_log_of_one_page() {
    let (_, calls) = read_log(log("log/", 250, 300, 90), 1_000.0);

    assert_eq!(calls, 1);
}

#[test]
fn a_log_that_was_never_written_is_empty() {
    for link_mbps in [2.0, 1_000.0] {
        let (items, _) = read_log(IndexMap::new(), link_mbps);

        assert_eq!(items, []);
    }
}

/// Earlier builds wrote no head.
#[test]
fn a_log_without_a_head_is_read_whole_over_a_narrow_link() {
    let mut values = log("log/", 0, 30, 90);
    values.shift_remove("log/head");

    let (items, _) = read_log(values, 2.0);

    assert_eq!(items.len(), 30);
}

/// Guards against a cell without an owner for as long as the largest page takes on a narrow link, because
/// one small page of its log got no answer.
#[test]
fn a_page_without_an_answer_holds_up_the_reading_for_as_long_as_the_largest_page_takes() {
    let values = log("log/", 250, 300, 90);
    let store = LinkedStore { lost_request: 3, ..LinkedStore::new(values, LINK_MBPS) };
    let (address, _) = serve(store);
    let reading = LogReading::new(LINK_MBPS);

    let items = run(async {
        let store = Store::new(address, Rc::new(Connections::default()));
        let mut reader = LogReader::new("log/", &reading);
        let whole = async {
            while reader.read(&store).await.is_err() {}
            reader.items().len()
        };
        tokio::time::timeout(Duration::from_secs(6), whole).await
    });

    assert_eq!(items.ok(), Some(301));
}
