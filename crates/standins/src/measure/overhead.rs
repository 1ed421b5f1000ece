//! What one node adds to a request, against the same load sent straight to the workers.

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

/// The median that a node may add, in milliseconds.
const MAX_ADDED_MS: f64 = 0.3;

/// How many times slower than direct the throughput may be.
const MAX_SLOWDOWN: f64 = 2.0;

/// Memory that a node may use.
const MAX_MEMORY_MB: f64 = 128.0;

/// Rounds of each kind, in turn.
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
    let mut unhurried = declaration(0, 8);
    unhurried["service"] = "recorded-after".into();
    unhurried["history"] = "after-answer".into();
    cluster.publish(&[declaration(0, 8), unhurried]).await?;
    cluster.wait_slots().await?;
    let workers: Vec<SocketAddr> = cluster.workers.iter().map(|worker| worker.address).collect();
    let entry = vec![cluster.nodes[0].http];
    let time = Duration::from_secs_f64(seconds);
    let mut direct = Load::default();
    let mut through = Load::default();
    let mut recorded_first = Load::default();
    let mut cpu_seconds = 0.0;
    for _ in 0..ROUNDS {
        direct.add(&load(&workers, "/recorded-after/x", callers, time).await);
        let before = read_process(cluster.nodes[0].pid());
        through.add(&load(&entry, "/recorded-after/x", callers, time).await);
        let after = read_process(cluster.nodes[0].pid());
        cpu_seconds += after.cpu_seconds - before.cpu_seconds;
        recorded_first.add(&load(&entry, "/service-0/x", callers, time).await);
    }
    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    let cpu_us = cpu_seconds * 1e6 / through.latency.len().max(1) as f64;
    let open = open_connections(cluster.nodes[0].http, connections).await;
    let idle = read_process(cluster.nodes[0].pid());
    #[expect(clippy::cast_precision_loss, reason = "megabytes")]
    let memory_mb = idle.peak as f64 / 1e6;
    println!(
        "{}",
        json!({
            "callers": callers,
            "direct_p50_ms": direct.ms(0.5), "direct_p99_ms": direct.ms(0.99),
            "direct_per_second": direct.per_second(),
            "through_p50_ms": through.ms(0.5), "through_p99_ms": through.ms(0.99),
            "through_per_second": through.per_second(),
            "recorded_first_p50_ms": recorded_first.ms(0.5),
            "recorded_first_p99_ms": recorded_first.ms(0.99),
            "recorded_first_per_second": recorded_first.per_second(),
            "failed": direct.failed + through.failed,
            "cpu_us_per_request": cpu_us,
            "open_connections": open.len(), "peak_memory_mb": memory_mb,
        })
    );
    drop(open);
    let added = through.ms(0.5) - direct.ms(0.5);
    print_result("overhead-added-p50-ms", added, Some(direct.ms(0.5)), MAX_ADDED_MS);
    let slowdown = direct.per_second() / through.per_second();
    print_result("overhead-slowdown", slowdown, Some(1.0), MAX_SLOWDOWN);
    print_result("overhead-memory-mb", memory_mb, None, MAX_MEMORY_MB);
    Ok(())
}

/// What callers saw of one kind of load.
struct Load {
    latency: Histogram<u64>,
    failed: usize,
    seconds: f64,
}

impl Default for Load {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("three digits are in range");
        Self { latency, failed: 0, seconds: 0.0 }
    }
}

impl Load {
    fn add(&mut self, other: &Self) {
        // Both histograms grow by themselves.
        let _ = self.latency.add(&other.latency);
        self.failed += other.failed;
        self.seconds += other.seconds;
    }

    #[expect(clippy::cast_precision_loss, reason = "microseconds of one request")]
    fn ms(&self, share: f64) -> f64 {
        self.latency.value_at_quantile(share) as f64 / 1_000.0
    }

    #[expect(clippy::cast_precision_loss, reason = "a count of requests")]
    fn per_second(&self) -> f64 {
        self.latency.len() as f64 / self.seconds
    }
}

/// Callers that each send one request after another over a connection of their own.
async fn load(targets: &[SocketAddr], path: &'static str, callers: usize, time: Duration) -> Load {
    let until = Instant::now() + time;
    let number = Arc::new(AtomicUsize::new(0));
    let tasks: Vec<_> = (0..callers)
        .map(|i| tokio::spawn(caller(targets[i % targets.len()], path, until, Arc::clone(&number))))
        .collect();
    let mut load = Load { seconds: time.as_secs_f64(), ..Load::default() };
    for task in tasks {
        if let Ok((latency, failed)) = task.await {
            let _ = load.latency.add(latency);
            load.failed += failed;
        }
    }
    load
}

async fn caller(
    target: SocketAddr,
    path: &'static str,
    until: Instant,
    number: Arc<AtomicUsize>,
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
        let id = number.fetch_add(1, Ordering::Relaxed);
        let req = Request::get(path)
            .header("host", "measure")
            .header("idempotency-key", format!("r{id}"))
            .header("teaselgap-request", format!("r{id}"))
            .body(Full::new(Bytes::new()));
        let Ok(req) = req else { break };
        let started = Instant::now();
        let answer = async {
            let answer = sender.send_request(req).await.ok()?;
            let good = answer.status().is_success();
            answer.into_body().collect().await.ok()?;
            good.then_some(())
        };
        match answer.await {
            Some(()) => {
                let us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
                // The histogram grows by itself.
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

/// Opens connections that stay idle.
async fn open_connections(target: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut open = Vec::with_capacity(count);
    while open.len() < count {
        match TcpStream::connect(target).await {
            Ok(stream) => open.push(stream),
            Err(_) => break,
        }
    }
    open
}
