//! Time from the acceptance of a change until every node has it in force.

use std::time::{Duration, Instant};

use pico_args::Arguments;
use serde_json::{Value, json};
use teaselgap_standins::cluster::{Cluster, ClusterError};

use super::{declaration, declarations, listed_fleet, pools, print_result, quantile, usage_error};

/// Within this time a change must be in force everywhere at the expected size.
const MAX_MS: f64 = 8_000.0;

/// Within this time while the store is healthy.
const MAX_HEALTHY_MS: f64 = 2_000.0;

/// Pools of the size that is expected, with their VMs.
const POOLS: usize = 218;
const WORKERS: usize = 970;

/// How often a node that polls the store would ask, for comparison: at 7 nodes this takes as much
/// of the store as their watches and renewals.
const BASELINE_POLL_MS: f64 = 1_000.0;

pub(crate) async fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let nodes = args.opt_value_from_str("--nodes").map_err(usage_error)?.unwrap_or(7);
    let changes: u32 = args.opt_value_from_str("--changes").map_err(usage_error)?.unwrap_or(40);
    let cfg = listed_fleet(nodes, pools(POOLS, WORKERS))?;
    let cluster = Cluster::start(cfg).await?;
    cluster.publish(&declarations(POOLS, 8)).await?;
    let healthy = measure(&cluster, changes, 0).await?;
    report("healthy", nodes, &healthy);
    let slow = teaselgap_standins::store::Faults {
        latency_ms: 200,
        watch_latency_ms: 500,
        ..teaselgap_standins::store::Faults::default()
    };
    cluster.store.set_faults(slow);
    let slow = measure(&cluster, changes / 4, changes).await?;
    report("slow", nodes, &slow);
    print_result(
        "rollout-p99-ms-healthy",
        quantile(&healthy, 0.99),
        Some(BASELINE_POLL_MS),
        MAX_HEALTHY_MS,
    );
    print_result(
        "rollout-p99-ms-slow-store",
        quantile(&slow, 0.99),
        Some(BASELINE_POLL_MS),
        MAX_MS,
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

/// Publishes single changes one after another; the sorted times until each was in force at the last
/// node, as the publishing command reports them.
async fn measure(cluster: &Cluster, changes: u32, first: u32) -> Result<Vec<f64>, ClusterError> {
    let mut times = Vec::new();
    for i in 0..changes {
        let pool = i as usize % POOLS;
        let mut all = declarations(POOLS, 8);
        // Each change differs from the last one and fits into the pool.
        all[pool] = declaration(pool, 1 + (first + i) % 7);
        let started = Instant::now();
        let said = cluster.publish(&all).await?;
        let reported = said
            .lines()
            .find_map(|line| line.strip_prefix("in force everywhere after "))
            .and_then(|rest| rest.strip_suffix(" ms")?.parse().ok());
        times.push(reported.unwrap_or(started.elapsed().as_secs_f64() * 1_000.0));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}
