//! What control alone costs a node, measured from outside its process.

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

/// Processor time that control may cost a node, as a percentage of a core.
const MAX_CPU_PERCENT: f64 = 3.2;

/// Memory that control may cost a node.
const MAX_MEMORY_MB: f64 = 128.0;

/// Bytes a second that control may cost a node.
const MAX_BYTES: f64 = 5_000.0;

/// Workers and pools of the size that is expected.
const WORKERS_AT_SIZE: usize = 970;
const POOLS_AT_SIZE: usize = 218;

/// Time for duties and slots to settle before anything is read, and more of it for each node.
const SETTLE: Duration = Duration::from_secs(6);
const SETTLE_A_NODE: Duration = Duration::from_millis(400);

/// Changes of the configuration within one window, and of the VM list within another.
const CHANGES: u32 = 10;

/// Cost of one node in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_percent: f64,
    memory_mb: f64,
    bytes_per_second: f64,
    store_calls_per_second: f64,
}

/// One of the costs.
type Field = fn(&Cost) -> f64;

/// One size of system.
#[derive(Clone, Copy, Debug)]
struct Size {
    nodes: usize,
    workers: usize,
}

impl Size {
    fn pools(self) -> usize {
        (self.workers * POOLS_AT_SIZE / WORKERS_AT_SIZE).max(1)
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
    let smallest = nodes.iter().copied().min().unwrap_or(7);
    let largest = workers.iter().copied().max().unwrap_or(WORKERS_AT_SIZE);
    sizes.extend(workers.iter().map(|&workers| Size { nodes: smallest, workers }));
    let more = nodes.iter().filter(|&&nodes| nodes != smallest);
    sizes.extend(more.map(|&nodes| Size { nodes, workers: largest }));

    let mut results = Vec::new();
    for size in sizes {
        let cost = measure(size, window).await?;
        results.push((size, cost));
    }
    let of_nodes: Vec<_> = results.iter().filter(|(size, _)| size.workers == largest).collect();
    let of_workers: Vec<_> = results.iter().filter(|(size, _)| size.nodes == smallest).collect();
    #[expect(clippy::cast_precision_loss, reason = "counts of nodes and workers")]
    let slope = |points: &[&(Size, Cost)], x: fn(&Size) -> usize, y: fn(&Cost) -> f64| {
        let points: Vec<_> = points.iter().map(|(s, c)| (x(s) as f64, y(c))).collect();
        fit_line(&points)
    };
    let fields: [(&str, Field); 4] = [
        ("cpu_percent", |cost| cost.cpu_percent),
        ("memory_mb", |cost| cost.memory_mb),
        ("bytes_per_second", |cost| cost.bytes_per_second),
        ("store_calls_per_second_all_nodes", |cost| cost.store_calls_per_second),
    ];
    for (name, field) in fields {
        let by_nodes = slope(&of_nodes, |size| size.nodes, field);
        let by_workers = slope(&of_workers, |size| size.workers, field);
        println!(
            "{}",
            json!({
                "fit": name,
                "at_workers": largest, "node_offset": by_nodes.0, "per_node": by_nodes.1,
                "at_nodes": smallest, "worker_offset": by_workers.0, "per_worker": by_workers.1,
            })
        );
    }
    let worst =
        |field: fn(&Cost) -> f64| results.iter().map(|(_, cost)| field(cost)).fold(0.0, f64::max);
    print_result("control-cpu-percent", worst(|cost| cost.cpu_percent), None, MAX_CPU_PERCENT);
    print_result("control-memory-mb", worst(|cost| cost.memory_mb), None, MAX_MEMORY_MB);
    print_result("control-bytes-per-second", worst(|cost| cost.bytes_per_second), None, MAX_BYTES);
    Ok(())
}

async fn measure(size: Size, window: Duration) -> Result<Cost, ClusterError> {
    let cfg = listed_fleet(size.nodes, pools(size.pools(), size.workers))?;
    let cluster = Cluster::start(cfg).await?;
    cluster.publish(&declarations(size.pools(), 8)).await?;
    let nodes = u32::try_from(size.nodes).unwrap_or(u32::MAX);
    tokio::time::sleep(SETTLE + SETTLE_A_NODE * nodes).await;
    let quiet = observe(&cluster, window, || async { Ok(()) }).await?;
    print_row(size, "quiet", 0, quiet);

    let changed = observe(&cluster, window, || async {
        for i in 0..CHANGES {
            let mut all = declarations(size.pools(), 8);
            // Each change differs from the last one and fits into the pool.
            all[0] = declaration(0, 1 + i % 7);
            cluster.publish(&all).await?;
        }
        Ok(())
    })
    .await?;
    print_row(size, "configuration-changes", CHANGES, changed);

    let moved = observe(&cluster, window, || async {
        for i in 0..CHANGES {
            let state = if i % 2 == 0 { VmState::Leaving } else { VmState::Live };
            cluster.set_vm_state(0, state);
            tokio::time::sleep(window / (2 * CHANGES)).await;
        }
        Ok(())
    })
    .await?;
    print_row(size, "vm-changes", CHANGES, moved);
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

/// Runs `act` and waits until the window is over; the mean cost of a node meanwhile.
async fn observe<F, Fut>(cluster: &Cluster, window: Duration, act: F) -> Result<Cost, ClusterError>
where
    F: FnOnce() -> Fut,
    Fut: Future<Output = Result<(), ClusterError>>,
{
    let before = total(cluster);
    let started = std::time::Instant::now();
    act().await?;
    tokio::time::sleep(window.saturating_sub(started.elapsed())).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = total(cluster);
    #[expect(clippy::cast_precision_loss, reason = "counts of a short window")]
    let per_second = |before: u64, after: u64| (after - before) as f64 / seconds;
    #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
    let nodes = cluster.nodes.len() as f64;
    // A byte between two nodes is sent by one and received by the other.
    let peer = 2.0 * per_second(before.peer_bytes, after.peer_bytes);
    let store = per_second(before.store_bytes, after.store_bytes);
    Ok(Cost {
        cpu_percent: (after.cpu_seconds - before.cpu_seconds) / seconds / nodes * 100.0,
        memory_mb: after.largest_memory_mb,
        bytes_per_second: (peer + store) / nodes,
        store_calls_per_second: per_second(before.store_calls, after.store_calls),
    })
}

struct Total {
    cpu_seconds: f64,
    largest_memory_mb: f64,
    peer_bytes: u64,
    store_bytes: u64,
    store_calls: u64,
}

fn total(cluster: &Cluster) -> Total {
    let readings: Vec<_> = cluster.nodes.iter().map(|node| read_process(node.pid())).collect();
    let largest = readings.iter().map(|reading| reading.resident).max().unwrap_or(0);
    #[expect(clippy::cast_precision_loss, reason = "megabytes")]
    let largest_memory_mb = largest as f64 / 1e6;
    Total {
        cpu_seconds: readings.iter().map(|reading| reading.cpu_seconds).sum(),
        largest_memory_mb,
        peer_bytes: cluster.nodes.iter().map(|node| node.peer.passed()).sum(),
        store_bytes: cluster.nodes.iter().map(|node| node.store.passed()).sum(),
        store_calls: cluster.store.calls().by_kind.values().sum(),
    }
}
