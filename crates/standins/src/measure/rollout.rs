//! Measures the time from the acceptance of a configuration change until it is in force on every
//! node.

use std::time::{Duration, Instant};

use pico_args::Arguments;
use serde_json::{Value, json};
use teaselgap_standins::cluster::{Cluster, ClusterError};

use super::{declaration, declarations, listed_fleet, pools, print_result, quantile, usage_error};

/// Bound on the rollout time at the expected size with a slow store, in milliseconds.
const MAX_SLOW_STORE_MS: f64 = 8_000.0;

/// Bound on the rollout time at the expected size with a healthy store, in milliseconds.
const MAX_HEALTHY_STORE_MS: f64 = 2_000.0;

/// Expected size of the fleet: number of pools and of workers.
const EXPECTED_POOLS: usize = 218;
const EXPECTED_WORKERS: usize = 970;

/// Baseline: the interval at which a node would poll the store if it used no watches, in
/// milliseconds. With 7 nodes, polling at this interval loads the store as much as their watches
/// and lease renewals do.
const BASELINE_POLL_MS: f64 = 1_000.0;

pub(crate) async fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let nodes = args.opt_value_from_str("--nodes").map_err(usage_error)?.unwrap_or(7);
    let changes: u32 = args.opt_value_from_str("--changes").map_err(usage_error)?.unwrap_or(40);
    let cfg = listed_fleet(nodes, pools(EXPECTED_POOLS, EXPECTED_WORKERS))?;
    let cluster = Cluster::start(cfg).await?;
    cluster.publish(&declarations(EXPECTED_POOLS, 8)).await?;
    let healthy = measure(&cluster, changes, 0).await?;
    report("healthy", nodes, &healthy);
    let slow_store = teaselgap_standins::store::Faults {
        latency_ms: 200,
        watch_latency_ms: 500,
        ..teaselgap_standins::store::Faults::default()
    };
    cluster.store.set_faults(slow_store);
    let slow = measure(&cluster, changes / 4, changes).await?;
    report("slow", nodes, &slow);
    print_result(
        "rollout-p99-ms-healthy",
        quantile(&healthy, 0.99),
        Some(BASELINE_POLL_MS),
        MAX_HEALTHY_STORE_MS,
    );
    print_result(
        "rollout-p99-ms-slow-store",
        quantile(&slow, 0.99),
        Some(BASELINE_POLL_MS),
        MAX_SLOW_STORE_MS,
    );
    Ok(())
}

fn report(store: &str, nodes: usize, sorted: &[f64]) {
    let line: Value = json!({
        "store": store, "nodes": nodes, "changes": sorted.len(),
        "p50_ms": quantile(sorted, 0.5), "p99_ms": quantile(sorted, 0.99),
    });
    println!("{line}");
}

/// Publishes changes one after another. Returns, sorted and in milliseconds, the times until each
/// change was in force on the last node, as the `publish` command reports them.
async fn measure(
    cluster: &Cluster,
    changes: u32,
    first_change: u32,
) -> Result<Vec<f64>, ClusterError> {
    let mut times = Vec::new();
    for i in 0..changes {
        let pool = i as usize % EXPECTED_POOLS;
        let mut published = declarations(EXPECTED_POOLS, 8);
        // Each change differs from the previous one and fits into the pool's capacity.
        published[pool] = declaration(pool, 1 + (first_change + i) % 7);
        let started = Instant::now();
        let output = cluster.publish(&published).await?;
        let reported = output
            .lines()
            .find_map(|line| line.strip_prefix("in force everywhere after "))
            .and_then(|rest| rest.strip_suffix(" ms")?.parse().ok());
        times.push(reported.unwrap_or(started.elapsed().as_secs_f64() * 1_000.0));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}
