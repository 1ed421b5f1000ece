//! What other services keep while one of them floods the pool that they share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use pico_args::Arguments;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use teaselgap_standins::{
    caller::{Call, CallResult, call},
    cluster::{Cluster, ClusterError, Config, sibling_binary},
    worker::Mode,
};
use tokio::sync::Mutex;

use super::{print_result, usage_error};

/// The least ratio of goodput during a flood to that before it.
const LEAST_GOODPUT: f64 = 0.98;

/// The greatest ratio of the 99th percentile during a flood to that before it.
const MOST_P99_RATIO: f64 = 1.5;

/// The longest that a refusal may take, in milliseconds.
const MOST_REFUSAL_MS: f64 = 20.0;

/// The greatest ratio of attempts at the workers to requests offered.
const MOST_AMPLIFICATION: f64 = 1.1;

/// VMs of the pool; with 8 slots each and 50 ms of work it serves 1,600 requests a second.
const VMS: usize = 10;

/// Work of one request.
const WORK: Duration = Duration::from_millis(50);

/// Requests a second of each service while nothing floods: half of what the pool serves in all.
const ORDINARY: [f64; 3] = [300.0, 300.0, 200.0];

const SERVICES: [&str; 3] = ["previews", "sheets", "stock"];

pub(crate) async fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let seconds: u64 = args.opt_value_from_str("--seconds").map_err(usage_error)?.unwrap_or(5);
    let seed: u64 = args.opt_value_from_str("--seed").map_err(usage_error)?.unwrap_or(1);
    let time = Duration::from_secs(seconds);
    let cfg = Config {
        binary: sibling_binary("teaselgap")?,
        nodes: 6,
        pools: vec![("shop".to_owned(), VMS)],
        slots: 8,
        zones: 3,
        rack_size: 4,
        workers: true,
        settings: json!({"log": {"level": "error"}, "limits": {"requests": 20_000}}),
    };
    let cluster = Cluster::start(cfg).await?;
    cluster.publish(&declarations()).await?;
    cluster.wait_slots().await?;
    // Latencies and service times are learnt before anything is compared.
    offer(&cluster, ORDINARY, time, seed).await;
    let mut worst = Worst::default();
    for (name, flooded, factor, failing) in [
        ("least-urgent-5", 2, 5.0, false),
        ("least-urgent-20", 2, 20.0, false),
        ("most-urgent-5", 0, 5.0, false),
        ("most-urgent-20", 0, 20.0, false),
        ("most-urgent-5-failing-worker", 0, 5.0, true),
    ] {
        let before = offer(&cluster, ORDINARY, time, seed + 1).await;
        cluster.workers[0].set_mode(if failing { Mode::FailFast } else { Mode::Work });
        let mut rates = ORDINARY;
        rates[flooded] *= factor;
        let runs_before = cluster.run_counts().runs.values().sum::<u32>();
        let during = offer(&cluster, rates, time, seed + 2).await;
        let runs = cluster.run_counts().runs.values().sum::<u32>() - runs_before;
        cluster.workers[0].set_mode(Mode::Work);
        let after = offer(&cluster, ORDINARY, time, seed + 3).await;
        report(name, flooded, &before, &during, &after, runs, &mut worst);
    }
    print_result("flood-goodput-lost", 1.0 - worst.goodput, None, 1.0 - LEAST_GOODPUT);
    print_result("flood-p99-ratio", worst.p99_ratio, None, MOST_P99_RATIO);
    print_result("flood-refusal-p99-ms", worst.refusal_ms, None, MOST_REFUSAL_MS);
    print_result("flood-amplification", worst.amplification, None, MOST_AMPLIFICATION);
    Ok(())
}

fn declarations() -> Vec<Value> {
    let service = |name: &str, normal: u32, urgency: &str| {
        json!({
            "service": name, "pool": "shop",
            "capacity": {"normal": normal, "peak": normal * 5},
            "idempotency": {"default": "idempotent"}, "urgency": urgency,
            "deadline": {"default": "1s", "max": "5s"}, "history": "after-answer",
            "quota": {"waiting_per_customer": 200},
        })
    };
    vec![
        service("previews", 27, "interactive"),
        service("sheets", 27, "normal"),
        service("stock", 18, "batch"),
    ]
}

#[derive(Debug)]
struct Worst {
    goodput: f64,
    p99_ratio: f64,
    refusal_ms: f64,
    amplification: f64,
}

impl Default for Worst {
    fn default() -> Self {
        Self { goodput: f64::INFINITY, p99_ratio: 0.0, refusal_ms: 0.0, amplification: 0.0 }
    }
}

/// What the callers of one service saw.
struct Seen {
    offered: usize,
    answered: usize,
    latency: Histogram<u64>,
    refusal: Histogram<u64>,
}

impl Seen {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are in range");
        Self { offered: 0, answered: 0, latency: histogram(), refusal: histogram() }
    }

    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    fn goodput(&self) -> f64 {
        self.answered as f64 / self.offered.max(1) as f64
    }
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of one request")]
fn ms(histogram: &Histogram<u64>, share: f64) -> f64 {
    histogram.value_at_quantile(share) as f64 / 1_000.0
}

fn report(
    name: &str,
    flooded: usize,
    before: &[Seen],
    during: &[Seen],
    after: &[Seen],
    runs: u32,
    worst: &mut Worst,
) {
    for (i, service) in SERVICES.iter().enumerate() {
        let goodput = during[i].goodput() / before[i].goodput().max(f64::MIN_POSITIVE);
        let p99_ratio = ms(&during[i].latency, 0.99) / ms(&before[i].latency, 0.99);
        println!(
            "{}",
            json!({
                "flood": name, "service": service, "floods": i == flooded,
                "offered": during[i].offered, "answered": during[i].answered,
                "goodput_ratio": goodput,
                "p50_ms_before": ms(&before[i].latency, 0.5),
                "p50_ms": ms(&during[i].latency, 0.5),
                "p99_ms_before": ms(&before[i].latency, 0.99),
                "p99_ms": ms(&during[i].latency, 0.99), "p99_ratio": p99_ratio,
                "p99_ms_after": ms(&after[i].latency, 0.99),
                "refusal_p50_ms": ms(&during[i].refusal, 0.5),
                "refusal_p99_ms": ms(&during[i].refusal, 0.99),
            })
        );
        if i != flooded {
            worst.goodput = worst.goodput.min(goodput);
            worst.p99_ratio = worst.p99_ratio.max(p99_ratio);
        }
        worst.refusal_ms = worst.refusal_ms.max(ms(&during[i].refusal, 0.99));
    }
    let answered: usize = during.iter().map(|seen| seen.answered).sum();
    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    let amplification = f64::from(runs) / answered.max(1) as f64;
    worst.amplification = worst.amplification.max(amplification);
}

static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// Offers requests at these rates with exponential gaps, whatever becomes of earlier ones; latency
/// counts from when a request was due.
async fn offer(cluster: &Cluster, rates: [f64; 3], time: Duration, seed: u64) -> Vec<Seen> {
    let entries = Arc::new(cluster.node_addresses());
    let tasks: Vec<_> = (0..SERVICES.len())
        .map(|i| tokio::spawn(offer_one(i, rates[i], Arc::clone(&entries), time, seed)))
        .collect();
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await.unwrap_or_else(|_| Seen::new()));
    }
    results
}

async fn offer_one(
    service: usize,
    rate: f64,
    entries: Arc<Vec<SocketAddr>>,
    time: Duration,
    seed: u64,
) -> Seen {
    let mut rng = SmallRng::seed_from_u64(seed * 10 + service as u64);
    let shared = Arc::new(Mutex::new(Seen::new()));
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    loop {
        let uniform: f64 = rng.random();
        due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        if due >= time {
            break;
        }
        let ahead = due.saturating_sub(started.elapsed());
        // Timers are no finer than a millisecond; what is due sooner is sent at once.
        if ahead >= Duration::from_millis(1) {
            tokio::time::sleep(ahead).await;
        }
        let n = NUMBER.fetch_add(1, Ordering::Relaxed);
        let mut one = Call::new("GET", &format!("/{}/x", SERVICES[service]), &format!("f{n}"));
        one.customer = format!("customer-{}", n % 20);
        one.work = WORK;
        one.timeout = Duration::from_secs(1);
        let entry = entries[n % entries.len()];
        let shared = Arc::clone(&shared);
        let due = started + due;
        tasks.push(tokio::spawn(async move {
            let (told, _) = call(entry, &one).await;
            let us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            let mut result = shared.lock().await;
            result.offered += 1;
            // Histograms grow by themselves.
            match told {
                CallResult::Answered => {
                    result.answered += 1;
                    let _ = result.latency.record(us);
                }
                CallResult::NotRun => {
                    let _ = result.refusal.record(us);
                }
                CallResult::Unknown | CallResult::MixedUp => {}
            }
        }));
    }
    for task in tasks {
        // A task that failed counts as a request without an answer.
        let _ = task.await;
    }
    Arc::try_unwrap(shared).map_or_else(|_| Seen::new(), Mutex::into_inner)
}
