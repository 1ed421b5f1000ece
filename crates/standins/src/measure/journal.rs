//! What it costs to record requests that must run at most once.

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

/// Store latencies that are looked at, in milliseconds.
const STORE_MS: [u64; 3] = [1, 5, 20];

/// Recorded requests a second that are wanted at 5 ms.
const WANTED_PER_SECOND: f64 = 2_000.0;

/// Pause of a caller between two requests where the latency is looked at.
const THINKING: Duration = Duration::from_millis(50);

/// Writes a second that all nodes together may make.
const MAX_WRITES: f64 = 300.0;

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
        let time = Duration::from_secs(seconds);
        let idempotent = run_load(&cluster, "GET", 8, THINKING, time).await;
        let quiet = run_load(&cluster, "POST", 8, THINKING, time).await;
        let busy = run_load(&cluster, "POST", callers, Duration::ZERO, time).await;
        for (name, load) in [("get-8", &idempotent), ("post-8", &quiet), ("post-many", &busy)] {
            println!(
                "{}",
                json!({
                    "store_ms": store_ms, "load": name, "per_second": load.per_second,
                    "p50_ms": load.ms(0.5), "p99_ms": load.ms(0.99), "failed": load.failed,
                    "writes_per_second": load.writes_per_second,
                    "largest_value": load.largest_value,
                })
            );
        }
        #[expect(clippy::cast_precision_loss, reason = "milliseconds")]
        let round_trips = 2.0 * store_ms as f64;
        print_result(
            &format!("journal-post-p50-ms-at-{store_ms}"),
            quiet.ms(0.5),
            None,
            round_trips,
        );
        // One key a request would write once for the intent and once for the end.
        let baseline = 2.0 * busy.per_second;
        print_result(
            &format!("journal-writes-per-second-at-{store_ms}"),
            busy.writes_per_second,
            Some(baseline),
            MAX_WRITES,
        );
        if store_ms == 5 {
            let shortfall = WANTED_PER_SECOND - busy.per_second;
            print_result("journal-shortfall-of-2000-per-second", shortfall, None, 0.0);
        }
    }
    let doubled = cluster.run_counts().doubled();
    #[expect(clippy::cast_precision_loss, reason = "a count that should be zero")]
    print_result("journal-doubled", doubled as f64, None, 0.0);
    Ok(())
}

struct Load {
    latency: Histogram<u64>,
    failed: usize,
    per_second: f64,
    writes_per_second: f64,
    largest_value: u64,
}

impl Load {
    #[expect(clippy::cast_precision_loss, reason = "microseconds of one request")]
    fn ms(&self, share: f64) -> f64 {
        self.latency.value_at_quantile(share) as f64 / 1_000.0
    }
}

fn writes(calls: &Calls) -> u64 {
    calls.by_kind.get("txn-write").copied().unwrap_or(0)
}

static NUMBER: AtomicUsize = AtomicUsize::new(0);

async fn run_load(
    cluster: &Cluster,
    method: &'static str,
    callers: usize,
    thinking: Duration,
    time: Duration,
) -> Load {
    let entries = Arc::new(cluster.node_addresses());
    let before = writes(&cluster.store.calls());
    let until = Instant::now() + time;
    let tasks: Vec<_> = (0..callers)
        .map(|i| {
            let entries = Arc::clone(&entries);
            tokio::spawn(async move {
                let mut latency: Histogram<u64> =
                    Histogram::new(3).expect("three digits are in range");
                let mut failed = 0;
                while Instant::now() < until {
                    let n = NUMBER.fetch_add(1, Ordering::Relaxed);
                    let one = Call::new(method, "/service-0/order", &format!("o{n}"));
                    let started = Instant::now();
                    let (told, _) = call(entries[(i + n) % entries.len()], &one).await;
                    if told == CallResult::Answered {
                        let us = started.elapsed().as_micros();
                        // The histogram grows by itself.
                        let _ = latency.record(u64::try_from(us).unwrap_or(u64::MAX));
                    } else {
                        failed += 1;
                    }
                    tokio::time::sleep(thinking).await;
                }
                (latency, failed)
            })
        })
        .collect();
    let mut latency: Histogram<u64> = Histogram::new(3).expect("three digits are in range");
    let mut failed = 0;
    for task in tasks {
        if let Ok((one, more)) = task.await {
            let _ = latency.add(one);
            failed += more;
        }
    }
    let calls = cluster.store.calls();
    #[expect(clippy::cast_precision_loss, reason = "counts of a short window")]
    let per_second = |count: u64| count as f64 / time.as_secs_f64();
    Load {
        per_second: per_second(latency.len()),
        writes_per_second: per_second(writes(&calls) - before),
        largest_value: calls.largest_value,
        latency,
        failed,
    }
}
