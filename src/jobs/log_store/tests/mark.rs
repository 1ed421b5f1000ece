//! The mark that a cell's log may hold jobs, from the first job to the last.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use indexmap::IndexMap;
use serde_json::{Value, json};
use teaselgap_core::{
    Epoch, Span,
    job::{JobId, JobSpec, Resources, Step},
};
use teaselgap_platform::config::Config;
use tokio::task::LocalSet;

use super::super::super::{
    ask::{CellRequest, Operation, Reply},
    host,
    node::Node,
    test_node, test_server,
};
use crate::jobs::duties;

const EPOCH: Epoch = Epoch(9);

/// How long the state of an ended job is kept.
const STATUS_S: f64 = 0.2;

/// A store of keys with their values and revisions, which executes transactions.
#[derive(Debug, Default)]
struct KeyStore {
    keys: Mutex<IndexMap<String, (String, u64)>>,
    /// Whether transactions that only delete are executed and get no answer.
    loses_answers_to_deletes: AtomicBool,
}

impl KeyStore {
    fn has(&self, key: &str) -> bool {
        self.keys.lock().unwrap().contains_key(key)
    }

    fn transact(&self, txn: &Value) -> (&'static str, Value) {
        let mut keys = self.keys.lock().unwrap();
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let key_of = |row: &Value| row["key"].as_str().unwrap().to_owned();
        let holds = |row: &Value| {
            let revision = keys.get(&key_of(row)).map_or(0, |(_, revision)| *revision);
            row["revision"] == json!(revision)
        };
        if !rows("expected").iter().all(holds) {
            return ("412 Precondition Failed", json!({"items": []}));
        }
        let revision = keys.values().map(|(_, revision)| *revision).max().unwrap_or(0) + 1;
        for row in rows("puts") {
            keys.insert(key_of(&row), (row["value"].as_str().unwrap().to_owned(), revision));
        }
        for key in rows("deletes") {
            keys.shift_remove(key.as_str().unwrap());
        }
        ("200 OK", json!({"revision": revision}))
    }

    fn answer_requests(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let (mut first, mut length) = (String::new(), 0);
            if reader.read_line(&mut first)? == 0 {
                return Ok(());
            }
            loop {
                let mut line = String::new();
                reader.read_line(&mut line)?;
                if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap();
                }
                if line == "\r\n" {
                    break;
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            // The only calls here that change something are transactions.
            let (status, answer) = if first.starts_with("POST") {
                let txn: Value = serde_json::from_slice(&body)?;
                let answer = self.transact(&txn);
                let only_deletes = txn["puts"].as_array().is_none_or(Vec::is_empty);
                if only_deletes && self.loses_answers_to_deletes.load(Relaxed) {
                    return Ok(());
                }
                answer
            } else {
                // The log is read once, while it is empty.
                ("200 OK", json!({}))
            };
            let answer = answer.to_string();
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", answer.len());
            writer.write_all((head + &answer).as_bytes())?;
        }
    }
}

fn serve() -> (SocketAddr, Arc<KeyStore>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let store = Arc::new(KeyStore::default());
    let served = Arc::clone(&store);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let store = Arc::clone(&served);
            std::thread::spawn(move || store.answer_requests(stream));
        }
    });
    (address, store)
}

fn request(operation: Operation) -> CellRequest {
    let cell = "drums".parse().unwrap();
    CellRequest { cell, queue: "drums".parse().unwrap(), job: JobId(7), operation }
}

fn submission() -> Operation {
    let need = Resources { cpu_milli: 1_000, memory_mb: 1_000, gpus: 0 };
    let step = Step { count: 1, need, estimate: Span(500), ..Step::default() };
    Operation::Submit(JobSpec { payload: "text".to_owned(), steps: vec![step], schedule: None })
}

async fn ask(node: &Node, operation: Operation) -> Reply {
    let owner = node.cell_owner(&"drums".parse().unwrap()).expect("an owner");
    owner.handle(&request(operation)).await.expect("an answer")
}

/// Waits for up to three seconds until the store has, or lacks, the key.
async fn becomes(store: &KeyStore, key: &str, is_there: bool) -> bool {
    for _ in 0..300 {
        if store.has(key) == is_there {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Guards against jobs that stand still because their cell isn't marked, and against cells that get owners
/// for ever because the mark stays.
#[test]
fn a_log_is_marked_too_late_or_for_ever() {
    let cell = "drums".parse().unwrap();
    let (address, store) = serve();
    let duty = duties::duty_key(&duties::cell_duty(&cell));
    store.keys.lock().unwrap().insert(duty, (String::new(), EPOCH.0));
    let mark = duties::log_mark_key(&cell);
    let mut node = test_node::node(std::slice::from_ref(&cell), address);
    std::rc::Rc::get_mut(&mut node).expect("the only one").settings.bounds.status_s = STATUS_S;
    node.lease.set(5, crate::clock::now() + Span(60_000));

    let seen = test_server::run(LocalSet::new().run_until(async {
        host::start(&node, cell.clone(), EPOCH, 0);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = store.has(&mark);
        let accepted = ask(&node, submission()).await;
        let as_accepted = store.has(&mark);
        node.shared.config.store(Some(Arc::new(Config::default())));
        tokio::time::sleep(Duration::from_millis(500)).await;
        let without_route = store.has(&mark);
        let cancelled = ask(&node, Operation::Cancel).await;
        let is_removed = becomes(&store, &mark, false).await;
        ([accepted, cancelled], [before, as_accepted, without_route, is_removed])
    }));

    assert_eq!(seen, ([Reply::Durable, Reply::Durable], [false, true, true, true]));
}

/// Guards against a job that is accepted without a mark, because the answer to the mark's removal was lost: the
/// owner takes the mark for written, and no write of the log brings it back.
#[test]
fn a_job_that_comes_after_an_unanswered_removal_of_the_mark_is_not_marked() {
    let cell = "drums".parse().unwrap();
    let (address, store) = serve();
    let duty = duties::duty_key(&duties::cell_duty(&cell));
    store.keys.lock().unwrap().insert(duty, (String::new(), EPOCH.0));
    let mark = duties::log_mark_key(&cell);
    let mut node = test_node::node(std::slice::from_ref(&cell), address);
    std::rc::Rc::get_mut(&mut node).expect("the only one").settings.bounds.status_s = STATUS_S;
    node.lease.set(5, crate::clock::now() + Span(60_000));
    let routes = node.shared.config.load_full();

    let seen = test_server::run(LocalSet::new().run_until(async {
        host::start(&node, cell.clone(), EPOCH, 0);
        assert!(test_node::serves(&node, std::slice::from_ref(&cell)).await);
        let accepted = ask(&node, submission()).await;
        store.loses_answers_to_deletes.store(true, Relaxed);
        node.shared.config.store(Some(Arc::new(Config::default())));
        let cancelled = ask(&node, Operation::Cancel).await;
        let is_removed = becomes(&store, &mark, false).await;
        // The route is back, and a job with it.
        node.shared.config.store(routes);
        let accepted_again = ask(&node, submission()).await;
        let is_marked = becomes(&store, &mark, true).await;
        ([accepted, cancelled, accepted_again], [is_removed, is_marked])
    }));

    assert_eq!(seen, ([Reply::Durable, Reply::Durable, Reply::Durable], [true, true]));
}
