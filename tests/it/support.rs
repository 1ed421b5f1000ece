//! Fixtures.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use serde_json::{Value, json};
use teaselgap_standins::{
    caller::{Call, CallLog, CallResult, CallSummary, call},
    cluster::{Cluster, Config, wait_for},
};
use tokio::{sync::watch, task::JoinHandle};

/// A runtime for one test.
pub(crate) fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().expect("a runtime")
}

pub(crate) fn run(test: impl Future<Output = ()>) {
    runtime().block_on(test);
}

pub(crate) fn config() -> Config {
    Config::small(env!("CARGO_BIN_EXE_teaselgap"))
}

/// The declarations of most tests: orders must run at most once, previews may be repeated.
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

/// Waits until every node has noticed that the store does not answer.
pub(crate) async fn outage_noticed(cluster: &Cluster) {
    for node in &cluster.nodes {
        wait_for("the outage is noticed", || async {
            node.status().await["store_reachable"] == false
        })
        .await
        .expect("noticed");
    }
}

/// A system with the declarations in force and slots at every node.
pub(crate) async fn cluster(cfg: Config) -> Cluster {
    let cluster = Cluster::start(cfg).await.expect("the system starts");
    cluster.publish(&declarations()).await.expect("the declarations are published");
    cluster.wait_slots().await.expect("slots are lent");
    cluster
}

pub(crate) fn order(id: &str) -> Call {
    Call::new("POST", "/orders/new", id)
}

pub(crate) fn preview(id: &str) -> Call {
    Call::new("GET", "/previews/lamp", id)
}

/// Callers that send mixed requests until they are stopped. A caller that learnt nothing certain
/// tries again with the same id at the next node, a few times.
pub(crate) struct Load {
    ledger: Arc<Mutex<CallLog>>,
    stop: watch::Sender<bool>,
    entries: Arc<watch::Sender<Vec<SocketAddr>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    pub(crate) fn start(entries: Vec<SocketAddr>, callers: usize, work: Duration) -> Self {
        let ledger = Arc::new(Mutex::new(CallLog::default()));
        let stop = watch::Sender::new(false);
        let entries = Arc::new(watch::Sender::new(entries));
        let tasks = (0..callers).map(|caller| {
            let (ledger, entries) = (Arc::clone(&ledger), Arc::clone(&entries));
            let stopped = stop.subscribe();
            tokio::spawn(async move {
                let mut n = 0;
                while !*stopped.borrow() {
                    one_request(caller, n, &entries, &ledger, work).await;
                    n += 1;
                }
            })
        });
        let tasks = tasks.collect();
        Self { ledger, stop, entries, tasks }
    }

    /// Where callers go from now on.
    pub(crate) fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.entries.send_replace(entries);
    }

    fn sent(&self) -> usize {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Waits until this many more requests have been told of.
    pub(crate) async fn progress(&self, more: usize) {
        let wanted = self.sent() + more;
        wait_for("requests go on", || async { self.sent() >= wanted }).await.expect("progress");
    }

    /// Stops the callers and holds what they were told against the workers' tally.
    pub(crate) async fn finish(self, cluster: &Cluster) -> CallSummary {
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.expect("a caller");
        }
        wait_for("workers are idle", || async { cluster.run_counts().running == 0 })
            .await
            .expect("idle");
        let ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        ledger.summarize(&cluster.run_counts(), |id| id.starts_with("order"))
    }
}

async fn one_request(
    caller: usize,
    n: usize,
    entries: &watch::Sender<Vec<SocketAddr>>,
    ledger: &Mutex<CallLog>,
    work: Duration,
) {
    const TRIES: usize = 4;
    let mut call_of = match n % 2 {
        0 => order(&format!("order-{caller}-{n}")),
        _ => preview(&format!("preview-{caller}-{n}")),
    };
    call_of.work = work;
    call_of.customer = format!("customer-{}", caller % 3);
    for attempt in 0..TRIES {
        let entry = {
            let entries = entries.borrow();
            entries[(caller + n + attempt) % entries.len()]
        };
        let (told, _) = call(entry, &call_of).await;
        ledger.lock().unwrap_or_else(PoisonError::into_inner).record(&call_of.id, told);
        if told == CallResult::Answered || told == CallResult::MixedUp {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// What must hold whatever fails.
pub(crate) fn assert_promises(cluster: &Cluster, verdict: &CallSummary) {
    assert_eq!(verdict.doubled, 0, "a request that must run at most once ran twice: {verdict:?}");
    assert_eq!(verdict.lost, 0, "an answer without a run, or a run told as not run: {verdict:?}");
    assert_eq!(verdict.mixed_up, 0, "a caller got another's answer: {verdict:?}");
    let tally = cluster.run_counts();
    let slots = cluster.cfg.slots;
    assert!(tally.peak_running <= slots, "{} requests on {slots} slots", tally.peak_running);
    assert!(tally.peak_connections <= 64, "{} connections", tally.peak_connections);
}
