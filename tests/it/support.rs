//! Helpers that several of the test modules use.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use teaselgap_standins::{
    caller::{Call, CallLog, CallResult, CallSummary, call},
    cluster::{Cluster, Config, wait_for},
};
use tokio::{sync::watch, task::JoinHandle};

/// Builds the runtime for one test.
pub(crate) fn build_runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().expect("build the runtime")
}

/// Runs a test to completion on a runtime of its own.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    build_runtime().block_on(test);
}

/// Configuration of a small cluster that runs this build's `teaselgap` binary.
pub(crate) fn config() -> Config {
    Config::small(env!("CARGO_BIN_EXE_teaselgap"))
}

/// The declarations of most tests: orders must run at most once, previews and sheets may be
/// retried.
pub(crate) fn declarations() -> Vec<Value> {
    vec![
        json!({
            "service": "orders", "pool": "shop", "capacity": {"normal": 8, "peak": 16},
            "idempotency": {"default": "non-idempotent"}, "store_outage": "refuse",
            "urgency": "interactive", "deadline": {"default": "5s", "max": "10s"},
        }),
        json!({
            "service": "previews", "pool": "shop", "capacity": {"normal": 8, "peak": 16},
            "idempotency": {"default": "idempotent"},
            "urgency": "interactive", "deadline": {"default": "5s", "max": "10s"},
        }),
        json!({
            "service": "sheets", "pool": "workshop", "capacity": {"normal": 8, "peak": 16},
            "idempotency": {"default": "idempotent"},
            "deadline": {"default": "5s", "max": "10s"},
        }),
    ]
}

/// Waits until every node reports the store as unreachable.
pub(crate) async fn wait_store_unreachable(cluster: &Cluster) {
    for node in &cluster.nodes {
        wait_for("the node reports the store as unreachable", || async {
            node.status().await["store_reachable"] == false
        })
        .await
        .expect("noticed");
    }
}

/// Starts a cluster, publishes the declarations and waits until every node has slots.
pub(crate) async fn start_cluster(cfg: Config) -> Cluster {
    let cluster = Cluster::start(cfg).await.expect("start the cluster");
    cluster.publish(&declarations()).await.expect("publish the declarations");
    cluster.wait_slots().await.expect("every node gets slots");
    cluster
}

/// A request that must run at most once.
pub(crate) fn order(id: &str) -> Call {
    Call::new("POST", "/orders/new", id)
}

/// An idempotent request.
pub(crate) fn preview(id: &str) -> Call {
    Call::new("GET", "/previews/lamp", id)
}

/// Callers that send orders and previews in turn until they are stopped.
///
/// A caller whose result is `NotRun` or `Unknown` retries the request a few times, each time with
/// the same id at the next node.
pub(crate) struct Load {
    log: Arc<Mutex<CallLog>>,
    unanswered: Arc<Mutex<Vec<String>>>,
    stop: watch::Sender<bool>,
    entries: Arc<watch::Sender<Vec<SocketAddr>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the callers; `work` is the time that a worker takes for each request.
    pub(crate) fn start(entries: Vec<SocketAddr>, callers: usize, work: Duration) -> Self {
        let log = Arc::new(Mutex::new(CallLog::default()));
        let unanswered = Arc::new(Mutex::new(Vec::new()));
        let stop = watch::Sender::new(false);
        let entries = Arc::new(watch::Sender::new(entries));
        let tasks = (0..callers).map(|caller| {
            let (log, entries) = (Arc::clone(&log), Arc::clone(&entries));
            let unanswered = Arc::clone(&unanswered);
            let stopped = stop.subscribe();
            tokio::spawn(async move {
                let mut n = 0;
                while !*stopped.borrow() {
                    let attempts = send_request(caller, n, &entries, &log, work).await;
                    unanswered.lock().unwrap_or_else(PoisonError::into_inner).extend(attempts);
                    n += 1;
                }
            })
        });
        let tasks = tasks.collect();
        Self { log, unanswered, stop, entries, tasks }
    }

    /// Sets the nodes to which the callers send their next requests.
    pub(crate) fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.entries.send_replace(entries);
    }

    /// Number of requests for which a caller has a result.
    fn request_count(&self) -> usize {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Waits until this many more requests have a result.
    pub(crate) async fn wait_for_requests(&self, more: usize) {
        let target = self.request_count() + more;
        wait_for("more requests have a result", || async { self.request_count() >= target })
            .await
            .expect("the callers make progress");
    }

    /// Stops the callers and compares their results with the run counts of the workers. Prints what
    /// became of the first requests that were not answered.
    pub(crate) async fn finish(self, cluster: &Cluster) -> CallSummary {
        const MAX_LINES: usize = 40;
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.expect("a caller task ends without a panic");
        }
        wait_for("workers are idle", || async { cluster.run_counts().running == 0 })
            .await
            .expect("idle");
        let unanswered = self.unanswered.lock().unwrap_or_else(PoisonError::into_inner);
        for line in unanswered.iter().take(MAX_LINES) {
            println!("{line}");
        }
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.summarize(&cluster.run_counts(), |id| id.starts_with("order"))
    }
}

/// Sends the `n`-th request of a caller, with retries, and records each result. Returns a line for
/// each attempt if none was answered.
async fn send_request(
    caller: usize,
    n: usize,
    entries: &watch::Sender<Vec<SocketAddr>>,
    log: &Mutex<CallLog>,
    work: Duration,
) -> Vec<String> {
    const MAX_ATTEMPTS: usize = 4;
    let mut request = match n % 2 {
        0 => order(&format!("order-{caller}-{n}")),
        _ => preview(&format!("preview-{caller}-{n}")),
    };
    request.work = work;
    request.customer = format!("customer-{}", caller % 3);
    let mut lines = Vec::new();
    for attempt in 0..MAX_ATTEMPTS {
        let entry = {
            let entries = entries.borrow();
            entries[(caller + n + attempt) % entries.len()]
        };
        let sent_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis());
        let started = Instant::now();
        let (result, answer) = call(entry, &request).await;
        log.lock().unwrap_or_else(PoisonError::into_inner).record(&request.id, result);
        if result == CallResult::Answered || result == CallResult::MixedUp {
            return Vec::new();
        }
        let answer = answer.map_or("no complete answer".to_owned(), |answer| {
            let body = String::from_utf8_lossy(answer.body());
            format!("{} {}", answer.status(), body.chars().take(400).collect::<String>())
        });
        lines.push(format!(
            "{} sent at {sent_ms} to {entry}: {result:?} after {} ms: {answer}",
            request.id,
            started.elapsed().as_millis(),
        ));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    lines
}

/// Checks the guarantees that hold under every fault.
pub(crate) fn assert_guarantees(cluster: &Cluster, summary: &CallSummary) {
    assert_eq!(summary.doubled, 0, "a request that must run at most once ran twice: {summary:?}");
    assert_eq!(
        summary.lost, 0,
        "an answer without a run, or a run reported as not run: {summary:?}"
    );
    assert_eq!(summary.mixed_up, 0, "a caller got another's answer: {summary:?}");
    let counts = cluster.run_counts();
    let slots = cluster.cfg.slots;
    assert!(counts.peak_running <= slots, "{} requests on {slots} slots", counts.peak_running);
    assert!(counts.peak_connections <= 64, "{} connections", counts.peak_connections);
}
