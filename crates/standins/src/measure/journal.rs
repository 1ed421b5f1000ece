//! Measures the cost of recording requests that must run at most once: latency, throughput and
//! writes to the store.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use pico_args::Arguments;
use serde_json::json;
use teaselgap_standins::{
    caller::{Call, CallResult, call},
    cluster::{Cluster, ClusterError, Config, sibling_binary},
    store::{Calls, Faults},
};

use super::{declaration, print_result, usage_error};

/// Latencies of the store under which the loads run, in milliseconds.
const STORE_MS: [u64; 3] = [1, 5, 20];

/// Target for recorded requests per second at a store latency of 5 ms.
const TARGET_PER_SECOND: f64 = 2_000.0;

/// Pause of a caller between two requests in the loads that measure latency.
const THINK_TIME: Duration = Duration::from_millis(50);

/// Bound on the store writes per second of all nodes together.
const MAX_WRITES_PER_SECOND: f64 = 300.0;

pub(crate) async fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let seconds: u64 = args.opt_value_from_str("--seconds").map_err(usage_error)?.unwrap_or(5);
    let nodes = args.opt_value_from_str("--nodes").map_err(usage_error)?.unwrap_or(6);
    let callers: usize = args.opt_value_from_str("--callers").map_err(usage_error)?.unwrap_or(64);
    let cfg = Config {
        binary: sibling_binary("teaselgap")?,
        nodes,
        pools: vec![("pool-0".to_owned(), 40)],
        slots: 8,
        zones: 3,
        rack_size: 4,
        workers: true,
        settings: json!({"log": {"level": "warning"}}),
    };
    let cluster = Cluster::start(cfg).await?;
    cluster.publish(&[declaration(0, 8)]).await?;
    cluster.wait_slots().await?;
    for store_ms in STORE_MS {
        cluster.store.set_faults(Faults { latency_ms: store_ms, ..Faults::default() });
        let duration = Duration::from_secs(seconds);
        let idempotent_load = run_load(&cluster, "GET", 8, THINK_TIME, duration).await;
        let light_load = run_load(&cluster, "POST", 8, THINK_TIME, duration).await;
        let heavy_load = run_load(&cluster, "POST", callers, Duration::ZERO, duration).await;
        for (name, load) in
            [("get-8", &idempotent_load), ("post-8", &light_load), ("post-many", &heavy_load)]
        {
            println!(
                "{}",
                json!({
                    "store_ms": store_ms, "load": name, "per_second": load.per_second,
                    "p50_ms": load.quantile_ms(0.5), "p99_ms": load.quantile_ms(0.99),
                    "failed": load.failed,
                    "writes_per_second": load.writes_per_second,
                    "largest_value": load.largest_value,
                })
            );
        }
        #[expect(clippy::cast_precision_loss, reason = "milliseconds")]
        let round_trips = 2.0 * store_ms as f64;
        print_result(
            &format!("journal-post-p50-ms-at-{store_ms}"),
            light_load.quantile_ms(0.5),
            None,
            round_trips,
        );
        // Baseline: a journal with one key per request writes it once for the intent and once for
        // the end.
        let baseline = 2.0 * heavy_load.per_second;
        print_result(
            &format!("journal-writes-per-second-at-{store_ms}"),
            heavy_load.writes_per_second,
            Some(baseline),
            MAX_WRITES_PER_SECOND,
        );
        if store_ms == 5 {
            let shortfall = TARGET_PER_SECOND - heavy_load.per_second;
            print_result("journal-shortfall-of-2000-per-second", shortfall, None, 0.0);
        }
    }
    let doubled = cluster.run_counts().doubled();
    #[expect(clippy::cast_precision_loss, reason = "a count that should be zero")]
    print_result("journal-doubled", doubled as f64, None, 0.0);
    Ok(())
}

/// Results of one load at one latency of the store.
struct Load {
    latency: Histogram<u64>,
    failed: usize,
    per_second: f64,
    writes_per_second: f64,
    largest_value: u64,
}

impl Load {
    #[expect(clippy::cast_precision_loss, reason = "microseconds of one request")]
    fn quantile_ms(&self, share: f64) -> f64 {
        self.latency.value_at_quantile(share) as f64 / 1_000.0
    }
}

fn write_count(calls: &Calls) -> u64 {
    calls.by_kind.get("txn-write").copied().unwrap_or(0)
}

static NEXT_REQUEST: AtomicUsize = AtomicUsize::new(0);

async fn run_load(
    cluster: &Cluster,
    method: &'static str,
    callers: usize,
    think_time: Duration,
    duration: Duration,
) -> Load {
    let node_addresses = Arc::new(cluster.node_addresses());
    let before = write_count(&cluster.store.calls());
    let until = Instant::now() + duration;
    let tasks: Vec<_> = (0..callers)
        .map(|i| {
            let node_addresses = Arc::clone(&node_addresses);
            tokio::spawn(async move {
                let mut latency: Histogram<u64> =
                    Histogram::new(3).expect("3 significant digits are valid");
                let mut failed = 0;
                while Instant::now() < until {
                    let n = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
                    let request = Call::new(method, "/service-0/order", &format!("o{n}"));
                    let started = Instant::now();
                    let (result, _) =
                        call(node_addresses[(i + n) % node_addresses.len()], &request).await;
                    if result == CallResult::Answered {
                        let us = started.elapsed().as_micros();
                        // Recording can't fail: the histogram resizes itself.
                        let _ = latency.record(u64::try_from(us).unwrap_or(u64::MAX));
                    } else {
                        failed += 1;
                    }
                    tokio::time::sleep(think_time).await;
                }
                (latency, failed)
            })
        })
        .collect();
    let mut latency: Histogram<u64> = Histogram::new(3).expect("3 significant digits are valid");
    let mut failed = 0;
    for task in tasks {
        if let Ok((task_latency, task_failed)) = task.await {
            let _ = latency.add(task_latency);
            failed += task_failed;
        }
    }
    let calls = cluster.store.calls();
    #[expect(clippy::cast_precision_loss, reason = "counts of a short window")]
    let per_second = |count: u64| count as f64 / duration.as_secs_f64();
    Load {
        per_second: per_second(latency.len()),
        writes_per_second: per_second(write_count(&calls) - before),
        largest_value: calls.largest_value,
        latency,
        failed,
    }
}
