//! Measures what the control plane alone costs a node, without any requests of callers. All values
//! are read from outside the node's process.

use std::time::Duration;

use pico_args::Arguments;
use serde_json::json;
use teaselgap_standins::{
    cluster::{Cluster, ClusterError},
    vm_list::VmState,
};

use super::{
    declaration, declarations, fit_line, listed_fleet, parse_counts, pools, print_result,
    read_process, usage_error,
};

/// Bound on a node's CPU time, as a percentage of a core.
const MAX_CPU_PERCENT: f64 = 3.2;

/// Bound on a node's resident memory, in megabytes.
const MAX_MEMORY_MB: f64 = 128.0;

/// Bound on the bytes per second that a node exchanges with other nodes and the store.
const MAX_BYTES_PER_SECOND: f64 = 5_000.0;

/// Expected size of the fleet: number of workers and of pools.
const EXPECTED_WORKERS: usize = 970;
const EXPECTED_POOLS: usize = 218;

/// Wait until duties and slots have settled before the first window: a fixed part and a part for
/// each node.
const SETTLE_TIME: Duration = Duration::from_secs(6);
const SETTLE_TIME_PER_NODE: Duration = Duration::from_millis(400);

/// Number of configuration changes in one window, and of VM list changes in another.
const CHANGES_PER_WINDOW: u32 = 10;

/// Mean cost of a node in one window; memory is that of the largest node, and store calls are those
/// of all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_percent: f64,
    memory_mb: f64,
    bytes_per_second: f64,
    store_calls_per_second: f64,
}

/// Reads one value of a cost.
type CostField = fn(&Cost) -> f64;

/// Size of a cluster.
#[derive(Clone, Copy, Debug)]
struct Size {
    nodes: usize,
    workers: usize,
}

impl Size {
    /// Returns the number of pools, in the expected ratio of pools to workers.
    fn pools(self) -> usize {
        (self.workers * EXPECTED_POOLS / EXPECTED_WORKERS).max(1)
    }
}

pub(crate) async fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let nodes = args.opt_value_from_fn("--nodes", parse_counts).map_err(usage_error)?;
    let workers = args.opt_value_from_fn("--workers", parse_counts).map_err(usage_error)?;
    let seconds = args.opt_value_from_str("--seconds").map_err(usage_error)?.unwrap_or(10);
    let nodes = nodes.unwrap_or_else(|| vec![7, 25, 50, 100]);
    let workers = workers.unwrap_or_else(|| vec![50, 250, 970]);
    let window = Duration::from_secs(seconds);
    let mut sizes = Vec::new();
    let fewest_nodes = nodes.iter().copied().min().unwrap_or(7);
    let most_workers = workers.iter().copied().max().unwrap_or(EXPECTED_WORKERS);
    sizes.extend(workers.iter().map(|&workers| Size { nodes: fewest_nodes, workers }));
    let other_nodes = nodes.iter().filter(|&&nodes| nodes != fewest_nodes);
    sizes.extend(other_nodes.map(|&nodes| Size { nodes, workers: most_workers }));

    let mut results = Vec::new();
    for size in sizes {
        let cost = measure(size, window).await?;
        results.push((size, cost));
    }
    let node_points: Vec<_> =
        results.iter().filter(|(size, _)| size.workers == most_workers).collect();
    let worker_points: Vec<_> =
        results.iter().filter(|(size, _)| size.nodes == fewest_nodes).collect();
    #[expect(clippy::cast_precision_loss, reason = "counts of nodes and workers")]
    let fit = |points: &[&(Size, Cost)], x: fn(&Size) -> usize, y: fn(&Cost) -> f64| {
        let points: Vec<_> = points.iter().map(|(s, c)| (x(s) as f64, y(c))).collect();
        fit_line(&points)
    };
    let fields: [(&str, CostField); 4] = [
        ("cpu_percent", |cost| cost.cpu_percent),
        ("memory_mb", |cost| cost.memory_mb),
        ("bytes_per_second", |cost| cost.bytes_per_second),
        ("store_calls_per_second_all_nodes", |cost| cost.store_calls_per_second),
    ];
    for (name, field) in fields {
        let by_nodes = fit(&node_points, |size| size.nodes, field);
        let by_workers = fit(&worker_points, |size| size.workers, field);
        println!(
            "{}",
            json!({
                "fit": name,
                "at_workers": most_workers, "node_offset": by_nodes.0, "per_node": by_nodes.1,
                "at_nodes": fewest_nodes, "worker_offset": by_workers.0, "per_worker": by_workers.1,
            })
        );
    }
    let max_cost =
        |field: fn(&Cost) -> f64| results.iter().map(|(_, cost)| field(cost)).fold(0.0, f64::max);
    print_result("control-cpu-percent", max_cost(|cost| cost.cpu_percent), None, MAX_CPU_PERCENT);
    print_result("control-memory-mb", max_cost(|cost| cost.memory_mb), None, MAX_MEMORY_MB);
    print_result(
        "control-bytes-per-second",
        max_cost(|cost| cost.bytes_per_second),
        None,
        MAX_BYTES_PER_SECOND,
    );
    Ok(())
}

async fn measure(size: Size, window: Duration) -> Result<Cost, ClusterError> {
    let cfg = listed_fleet(size.nodes, pools(size.pools(), size.workers))?;
    let cluster = Cluster::start(cfg).await?;
    cluster.publish(&declarations(size.pools(), 8)).await?;
    let nodes = u32::try_from(size.nodes).unwrap_or(u32::MAX);
    tokio::time::sleep(SETTLE_TIME + SETTLE_TIME_PER_NODE * nodes).await;
    let quiet = observe(&cluster, window, || async { Ok(()) }).await?;
    print_row(size, "quiet", 0, quiet);

    let config_changes = observe(&cluster, window, || async {
        for i in 0..CHANGES_PER_WINDOW {
            let mut published = declarations(size.pools(), 8);
            // Each change differs from the previous one and fits into the pool's capacity.
            published[0] = declaration(0, 1 + i % 7);
            cluster.publish(&published).await?;
        }
        Ok(())
    })
    .await?;
    print_row(size, "configuration-changes", CHANGES_PER_WINDOW, config_changes);

    let vm_changes = observe(&cluster, window, || async {
        for i in 0..CHANGES_PER_WINDOW {
            let state = if i % 2 == 0 { VmState::Leaving } else { VmState::Live };
            cluster.set_vm_state(0, state);
            tokio::time::sleep(window / (2 * CHANGES_PER_WINDOW)).await;
        }
        Ok(())
    })
    .await?;
    print_row(size, "vm-changes", CHANGES_PER_WINDOW, vm_changes);
    Ok(quiet)
}

fn print_row(size: Size, window: &str, events: u32, cost: Cost) {
    let line = json!({
        "nodes": size.nodes, "workers": size.workers, "pools": size.pools(), "window": window,
        "events": events, "cpu_percent": cost.cpu_percent, "memory_mb": cost.memory_mb,
        "bytes_per_second": cost.bytes_per_second,
        "store_calls_per_second_all_nodes": cost.store_calls_per_second,
    });
    println!("{line}");
}

/// Runs `events`, waits until the window has passed and returns the cost of a node in this time.
async fn observe<F, Fut>(
    cluster: &Cluster,
    window: Duration,
    events: F,
) -> Result<Cost, ClusterError>
where
    F: FnOnce() -> Fut,
    Fut: Future<Output = Result<(), ClusterError>>,
{
    let before = read_totals(cluster);
    let started = std::time::Instant::now();
    events().await?;
    tokio::time::sleep(window.saturating_sub(started.elapsed())).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = read_totals(cluster);
    #[expect(clippy::cast_precision_loss, reason = "counts of a short window")]
    let per_second = |before: u64, after: u64| (after - before) as f64 / seconds;
    #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
    let nodes = cluster.nodes.len() as f64;
    // Each byte between two nodes counts for both, the sender and the receiver.
    let peer = 2.0 * per_second(before.peer_bytes, after.peer_bytes);
    let store = per_second(before.store_bytes, after.store_bytes);
    Ok(Cost {
        cpu_percent: (after.cpu_seconds - before.cpu_seconds) / seconds / nodes * 100.0,
        memory_mb: after.largest_memory_mb,
        bytes_per_second: (peer + store) / nodes,
        store_calls_per_second: per_second(before.store_calls, after.store_calls),
    })
}

/// Counters of all nodes since their start, and the memory of the largest one.
struct Totals {
    cpu_seconds: f64,
    largest_memory_mb: f64,
    peer_bytes: u64,
    store_bytes: u64,
    store_calls: u64,
}

fn read_totals(cluster: &Cluster) -> Totals {
    let usages: Vec<_> = cluster.nodes.iter().map(|node| read_process(node.pid())).collect();
    let largest = usages.iter().map(|usage| usage.resident).max().unwrap_or(0);
    #[expect(clippy::cast_precision_loss, reason = "megabytes")]
    let largest_memory_mb = largest as f64 / 1e6;
    Totals {
        cpu_seconds: usages.iter().map(|usage| usage.cpu_seconds).sum(),
        largest_memory_mb,
        peer_bytes: cluster.nodes.iter().map(|node| node.peer_proxy.bytes_forwarded()).sum(),
        store_bytes: cluster.nodes.iter().map(|node| node.store_proxy.bytes_forwarded()).sum(),
        store_calls: cluster.store.calls().by_kind.values().sum(),
    }
}
