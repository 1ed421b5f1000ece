//! Measures the goodput and latency of services while another service floods their shared pool.
//!
//! The goodput of a service is the share of its offered requests that are answered.

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

/// Lowest acceptable ratio of a service's goodput during a flood to goodput before it.
const MIN_GOODPUT_RATIO: f64 = 0.98;

/// Highest acceptable ratio of the 99th percentile of latency during a flood to that before it.
const MAX_P99_RATIO: f64 = 1.5;

/// Highest acceptable 99th percentile of the latency of refusals, in milliseconds.
const MAX_REFUSAL_P99_MS: f64 = 20.0;

/// Highest acceptable ratio of runs at the workers to answered requests.
const MAX_AMPLIFICATION: f64 = 1.1;

/// Number of VMs in the pool. With 8 slots per VM and 50 ms of work per request, the pool serves
/// 1,600 requests per second.
const POOL_VMS: usize = 10;

/// Time that a worker spends on a request.
const WORK_PER_REQUEST: Duration = Duration::from_millis(50);

/// Requests per second of each service outside floods; together, half of the pool's throughput.
const NORMAL_RATES: [f64; 3] = [300.0, 300.0, 200.0];

const SERVICES: [&str; 3] = ["previews", "sheets", "stock"];

pub(crate) async fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let seconds: u64 = args.opt_value_from_str("--seconds").map_err(usage_error)?.unwrap_or(5);
    let seed: u64 = args.opt_value_from_str("--seed").map_err(usage_error)?.unwrap_or(1);
    let duration = Duration::from_secs(seconds);
    let cfg = Config {
        binary: sibling_binary("teaselgap")?,
        nodes: 6,
        pools: vec![("shop".to_owned(), POOL_VMS)],
        slots: 8,
        zones: 3,
        rack_size: 4,
        workers: true,
        settings: json!({"log": {"level": "error"}, "limits": {"requests": 20_000}}),
    };
    let cluster = Cluster::start(cfg).await?;
    cluster.publish(&declarations()).await?;
    cluster.wait_slots().await?;
    // Warm-up: the nodes learn latencies and service times before the first comparison.
    offer_load(&cluster, NORMAL_RATES, duration, seed).await;
    let mut worst = WorstValues::default();
    for (name, flooding_service, factor, has_failing_worker) in [
        ("least-urgent-5", 2, 5.0, false),
        ("least-urgent-20", 2, 20.0, false),
        ("most-urgent-5", 0, 5.0, false),
        ("most-urgent-20", 0, 20.0, false),
        ("most-urgent-5-failing-worker", 0, 5.0, true),
    ] {
        let before = offer_load(&cluster, NORMAL_RATES, duration, seed + 1).await;
        cluster.workers[0].set_mode(if has_failing_worker { Mode::FailFast } else { Mode::Work });
        let mut rates = NORMAL_RATES;
        rates[flooding_service] *= factor;
        let runs_before = cluster.run_counts().runs.values().sum::<u32>();
        let during = offer_load(&cluster, rates, duration, seed + 2).await;
        let runs = cluster.run_counts().runs.values().sum::<u32>() - runs_before;
        cluster.workers[0].set_mode(Mode::Work);
        let after = offer_load(&cluster, NORMAL_RATES, duration, seed + 3).await;
        report(name, flooding_service, &before, &during, &after, runs, &mut worst);
    }
    print_result("flood-goodput-lost", 1.0 - worst.goodput_ratio, None, 1.0 - MIN_GOODPUT_RATIO);
    print_result("flood-p99-ratio", worst.p99_ratio, None, MAX_P99_RATIO);
    print_result("flood-refusal-p99-ms", worst.refusal_p99_ms, None, MAX_REFUSAL_P99_MS);
    print_result("flood-amplification", worst.amplification, None, MAX_AMPLIFICATION);
    Ok(())
}

/// Declares the services. Capacities are in slots; each normal capacity is 1.8 times the slots that
/// the service's normal rate keeps busy (15, 15 and 10).
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

/// Worst values of all floods. Goodput and the 99th percentile of latency leave out the flooding
/// service.
#[derive(Debug)]
struct WorstValues {
    goodput_ratio: f64,
    p99_ratio: f64,
    refusal_p99_ms: f64,
    amplification: f64,
}

impl Default for WorstValues {
    fn default() -> Self {
        Self {
            goodput_ratio: f64::INFINITY,
            p99_ratio: 0.0,
            refusal_p99_ms: 0.0,
            amplification: 0.0,
        }
    }
}

/// Results of one service's callers.
struct ServiceResults {
    offered: usize,
    answered: usize,
    latency_us: Histogram<u64>,
    refusal_latency_us: Histogram<u64>,
}

impl ServiceResults {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are valid");
        Self { offered: 0, answered: 0, latency_us: histogram(), refusal_latency_us: histogram() }
    }

    /// Returns the goodput.
    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    fn answered_share(&self) -> f64 {
        self.answered as f64 / self.offered.max(1) as f64
    }
}

#[expect(clippy::cast_precision_loss, reason = "microseconds of one request")]
fn quantile_ms(histogram: &Histogram<u64>, share: f64) -> f64 {
    histogram.value_at_quantile(share) as f64 / 1_000.0
}

fn report(
    name: &str,
    flooding_service: usize,
    before: &[ServiceResults],
    during: &[ServiceResults],
    after: &[ServiceResults],
    runs: u32,
    worst: &mut WorstValues,
) {
    for (i, service) in SERVICES.iter().enumerate() {
        let goodput_ratio =
            during[i].answered_share() / before[i].answered_share().max(f64::MIN_POSITIVE);
        let p99_ratio =
            quantile_ms(&during[i].latency_us, 0.99) / quantile_ms(&before[i].latency_us, 0.99);
        println!(
            "{}",
            json!({
                "flood": name, "service": service, "floods": i == flooding_service,
                "offered": during[i].offered, "answered": during[i].answered,
                "goodput_ratio": goodput_ratio,
                "p50_ms_before": quantile_ms(&before[i].latency_us, 0.5),
                "p50_ms": quantile_ms(&during[i].latency_us, 0.5),
                "p99_ms_before": quantile_ms(&before[i].latency_us, 0.99),
                "p99_ms": quantile_ms(&during[i].latency_us, 0.99), "p99_ratio": p99_ratio,
                "p99_ms_after": quantile_ms(&after[i].latency_us, 0.99),
                "refusal_p50_ms": quantile_ms(&during[i].refusal_latency_us, 0.5),
                "refusal_p99_ms": quantile_ms(&during[i].refusal_latency_us, 0.99),
            })
        );
        if i != flooding_service {
            worst.goodput_ratio = worst.goodput_ratio.min(goodput_ratio);
            worst.p99_ratio = worst.p99_ratio.max(p99_ratio);
        }
        worst.refusal_p99_ms =
            worst.refusal_p99_ms.max(quantile_ms(&during[i].refusal_latency_us, 0.99));
    }
    let answered: usize = during.iter().map(|results| results.answered).sum();
    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    let amplification = f64::from(runs) / answered.max(1) as f64;
    worst.amplification = worst.amplification.max(amplification);
}

static NEXT_REQUEST: AtomicUsize = AtomicUsize::new(0);

/// Sends requests of each service at its rate, with exponentially distributed gaps and without
/// waiting for earlier requests. Latency is measured from the time for which a request was
/// scheduled.
async fn offer_load(
    cluster: &Cluster,
    rates: [f64; 3],
    duration: Duration,
    seed: u64,
) -> Vec<ServiceResults> {
    let node_addresses = Arc::new(cluster.node_addresses());
    let tasks: Vec<_> = (0..SERVICES.len())
        .map(|i| {
            tokio::spawn(offer_to_service(i, rates[i], Arc::clone(&node_addresses), duration, seed))
        })
        .collect();
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await.unwrap_or_else(|_| ServiceResults::new()));
    }
    results
}

async fn offer_to_service(
    service: usize,
    rate: f64,
    node_addresses: Arc<Vec<SocketAddr>>,
    duration: Duration,
    seed: u64,
) -> ServiceResults {
    let mut rng = SmallRng::seed_from_u64(seed * 10 + service as u64);
    let shared = Arc::new(Mutex::new(ServiceResults::new()));
    let started = Instant::now();
    let mut scheduled = Duration::ZERO;
    let mut tasks = Vec::new();
    loop {
        let uniform: f64 = rng.random();
        scheduled += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        if scheduled >= duration {
            break;
        }
        let delay = scheduled.saturating_sub(started.elapsed());
        // Timers have a resolution of a millisecond; requests scheduled sooner are sent at once.
        if delay >= Duration::from_millis(1) {
            tokio::time::sleep(delay).await;
        }
        let n = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        let mut request = Call::new("GET", &format!("/{}/x", SERVICES[service]), &format!("f{n}"));
        request.customer = format!("customer-{}", n % 20);
        request.work = WORK_PER_REQUEST;
        request.timeout = Duration::from_secs(1);
        let node_address = node_addresses[n % node_addresses.len()];
        let shared = Arc::clone(&shared);
        let scheduled_at = started + scheduled;
        tasks.push(tokio::spawn(async move {
            let (call_result, _) = call(node_address, &request).await;
            let us = u64::try_from(scheduled_at.elapsed().as_micros()).unwrap_or(u64::MAX);
            let mut results = shared.lock().await;
            results.offered += 1;
            // Recording can't fail: the histograms resize themselves.
            match call_result {
                CallResult::Answered => {
                    results.answered += 1;
                    let _ = results.latency_us.record(us);
                }
                CallResult::NotRun => {
                    let _ = results.refusal_latency_us.record(us);
                }
                CallResult::Unknown | CallResult::MixedUp => {}
            }
        }));
    }
    for task in tasks {
        // A task fails only if it panics; its request is then missing from the results.
        let _ = task.await;
    }
    Arc::try_unwrap(shared).map_or_else(|_| ServiceResults::new(), Mutex::into_inner)
}
