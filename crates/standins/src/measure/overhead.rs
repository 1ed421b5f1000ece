//! Measures what a node adds to a request, compared with the same load sent directly to the
//! workers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use pico_args::Arguments;
use serde_json::json;
use teaselgap_standins::cluster::{Cluster, ClusterError, Config, sibling_binary};
use tokio::net::TcpStream;

use super::{declaration, print_result, read_process, usage_error};

/// Bound on what a node adds to the median latency, in milliseconds.
const MAX_ADDED_MS: f64 = 0.3;

/// Bound on the ratio of the throughput without a node to the throughput through one.
const MAX_SLOWDOWN: f64 = 2.0;

/// Bound on a node's peak resident memory, in megabytes.
const MAX_MEMORY_MB: f64 = 128.0;

/// Number of rounds; each runs every kind of load once.
const ROUNDS: usize = 5;

pub(crate) async fn run(mut args: Arguments) -> Result<(), ClusterError> {
    let seconds: f64 = args.opt_value_from_str("--seconds").map_err(usage_error)?.unwrap_or(2.0);
    let callers: usize = args.opt_value_from_str("--callers").map_err(usage_error)?.unwrap_or(16);
    let connections: usize =
        args.opt_value_from_str("--connections").map_err(usage_error)?.unwrap_or(10_000);
    let cfg = Config {
        binary: sibling_binary("teaselgap")?,
        nodes: 1,
        pools: vec![("pool-0".to_owned(), 8)],
        slots: 8,
        zones: 1,
        rack_size: 2,
        workers: true,
        settings: json!({"log": {"level": "warning"}, "limits": {"threads": 2}}),
    };
    let cluster = Cluster::start(cfg).await?;
    let mut recorded_after = declaration(0, 8);
    recorded_after["service"] = "recorded-after".into();
    recorded_after["history"] = "after-answer".into();
    cluster.publish(&[declaration(0, 8), recorded_after]).await?;
    cluster.wait_slots().await?;
    let workers: Vec<SocketAddr> = cluster.workers.iter().map(|worker| worker.address).collect();
    let node_addresses = vec![cluster.nodes[0].address];
    let duration = Duration::from_secs_f64(seconds);
    let mut direct = Load::default();
    let mut through = Load::default();
    let mut recorded_first = Load::default();
    let mut cpu_seconds = 0.0;
    for _ in 0..ROUNDS {
        direct.add(&run_load(&workers, "/recorded-after/x", callers, duration).await);
        let before = read_process(cluster.nodes[0].pid());
        through.add(&run_load(&node_addresses, "/recorded-after/x", callers, duration).await);
        let after = read_process(cluster.nodes[0].pid());
        cpu_seconds += after.cpu_seconds - before.cpu_seconds;
        recorded_first.add(&run_load(&node_addresses, "/service-0/x", callers, duration).await);
    }
    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    let cpu_us = cpu_seconds * 1e6 / through.latency.len().max(1) as f64;
    let idle_connections = open_connections(cluster.nodes[0].address, connections).await;
    let usage = read_process(cluster.nodes[0].pid());
    #[expect(clippy::cast_precision_loss, reason = "megabytes")]
    let memory_mb = usage.peak as f64 / 1e6;
    println!(
        "{}",
        json!({
            "callers": callers,
            "direct_p50_ms": direct.quantile_ms(0.5), "direct_p99_ms": direct.quantile_ms(0.99),
            "direct_per_second": direct.per_second(),
            "through_p50_ms": through.quantile_ms(0.5), "through_p99_ms": through.quantile_ms(0.99),
            "through_per_second": through.per_second(),
            "recorded_first_p50_ms": recorded_first.quantile_ms(0.5),
            "recorded_first_p99_ms": recorded_first.quantile_ms(0.99),
            "recorded_first_per_second": recorded_first.per_second(),
            "failed": direct.failed + through.failed,
            "cpu_us_per_request": cpu_us,
            "open_connections": idle_connections.len(), "peak_memory_mb": memory_mb,
        })
    );
    drop(idle_connections);
    let added = through.quantile_ms(0.5) - direct.quantile_ms(0.5);
    print_result("overhead-added-p50-ms", added, Some(direct.quantile_ms(0.5)), MAX_ADDED_MS);
    let slowdown = direct.per_second() / through.per_second();
    print_result("overhead-slowdown", slowdown, Some(1.0), MAX_SLOWDOWN);
    print_result("overhead-memory-mb", memory_mb, None, MAX_MEMORY_MB);
    Ok(())
}

/// Results of one kind of load, over all its rounds.
struct Load {
    latency: Histogram<u64>,
    failed: usize,
    seconds: f64,
}

impl Default for Load {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("3 significant digits are valid");
        Self { latency, failed: 0, seconds: 0.0 }
    }
}

impl Load {
    fn add(&mut self, other: &Self) {
        // This can't fail: the histogram resizes itself.
        let _ = self.latency.add(&other.latency);
        self.failed += other.failed;
        self.seconds += other.seconds;
    }

    #[expect(clippy::cast_precision_loss, reason = "microseconds of one request")]
    fn quantile_ms(&self, share: f64) -> f64 {
        self.latency.value_at_quantile(share) as f64 / 1_000.0
    }

    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    fn per_second(&self) -> f64 {
        self.latency.len() as f64 / self.seconds
    }
}

/// Runs callers that each send one request after another over a connection of their own.
async fn run_load(
    targets: &[SocketAddr],
    path: &'static str,
    callers: usize,
    duration: Duration,
) -> Load {
    let until = Instant::now() + duration;
    let next_id = Arc::new(AtomicUsize::new(0));
    let tasks: Vec<_> = (0..callers)
        .map(|i| {
            tokio::spawn(run_caller(targets[i % targets.len()], path, until, Arc::clone(&next_id)))
        })
        .collect();
    let mut total = Load { seconds: duration.as_secs_f64(), ..Load::default() };
    for task in tasks {
        if let Ok((latency, failed)) = task.await {
            let _ = total.latency.add(latency);
            total.failed += failed;
        }
    }
    total
}

async fn run_caller(
    target: SocketAddr,
    path: &'static str,
    until: Instant,
    next_id: Arc<AtomicUsize>,
) -> (Histogram<u64>, usize) {
    let mut latency = Load::default().latency;
    let mut failed = 0;
    let Ok(stream) = TcpStream::connect(target).await else {
        return (latency, 1);
    };
    let _ = stream.set_nodelay(true);
    let Ok((mut sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
        return (latency, 1);
    };
    tokio::spawn(driver);
    while Instant::now() < until {
        let id = next_id.fetch_add(1, Ordering::Relaxed);
        let req = Request::get(path)
            .header("host", "measure")
            .header("idempotency-key", format!("r{id}"))
            .header("teaselgap-request", format!("r{id}"))
            .body(Full::new(Bytes::new()));
        let Ok(req) = req else { break };
        let started = Instant::now();
        let answer = async {
            let answer = sender.send_request(req).await.ok()?;
            let succeeded = answer.status().is_success();
            answer.into_body().collect().await.ok()?;
            succeeded.then_some(())
        };
        match answer.await {
            Some(()) => {
                let us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
                // Recording can't fail: the histogram resizes itself.
                let _ = latency.record(us);
            }
            None => failed += 1,
        }
        if sender.ready().await.is_err() {
            break;
        }
    }
    (latency, failed)
}

/// Opens up to `count` idle connections; stops at the first one that fails.
async fn open_connections(target: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut idle_connections = Vec::with_capacity(count);
    while idle_connections.len() < count {
        match TcpStream::connect(target).await {
            Ok(stream) => idle_connections.push(stream),
            Err(_) => break,
        }
    }
    idle_connections
}
