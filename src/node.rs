//! Starts a node's threads and servers and shuts them down.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use slog::{Logger, info};
use teaselgap_core::{Incarnation, duty::NodeIncarnation};
use tokio::sync::{mpsc, oneshot, watch};
use xitca_web::{HttpServer, http::Response, service::fn_service};

use crate::{
    clock, control, front,
    journal::{self, JournalClient, LeaseDeadline},
    log,
    metrics::{Metrics, MetricsError},
    settings::Settings,
    store::{StoreError, etcd::Etcd, governor::Governor, keys::Keys},
    traffic::TrafficState,
};

/// The most fields in a request's head.
const MAX_HEAD_FIELDS: usize = 64;

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The most bytes that may wait to be written to one caller's connection.
const MAX_WRITE_BUFFER_BYTES: usize = 256 * 1024;

/// The longest time in which a caller must send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after which a caller's idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// The reason why a node can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NodeError {
    #[error("{setting}: cannot listen on {address}: {source}")]
    Listen { setting: &'static str, address: SocketAddr, source: std::io::Error },
    #[error("cannot start threads: {0}")]
    Threads(#[from] std::io::Error),
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A running node.
pub(crate) struct Node {
    /// The address that listens for callers.
    pub(crate) http: SocketAddr,
    /// The address that listens for other nodes.
    pub(crate) peer: SocketAddr,
    shared: Arc<TrafficState>,
    control: mpsc::UnboundedSender<control::Event>,
    stop_server: StopServer,
    log: Logger,
    /// The runtime that drives the connections to the store; `None` only while the node is dropped.
    store_runtime: Option<tokio::runtime::Runtime>,
    /// Writes the remaining log lines when the node is dropped.
    _log_guard: slog_async::AsyncGuard,
}

/// Shuts down the HTTP server gracefully. It is a closure because the server library does not
/// export the type of its handle.
type StopServer = Box<dyn Fn() + Send>;

fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), NodeError> {
    let fail = |source| NodeError::Listen { setting, address, source };
    let listener = TcpListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

/// Starts a node. It becomes ready once it has read the configuration and the list of VMs.
pub(crate) fn start(settings: Settings) -> Result<Node, NodeError> {
    let (log, log_guard) = log::start(&settings);
    let metrics = Metrics::new()?;
    let (http_listener, http) = listen("/listen/http", settings.listen.http)?;
    let (peer_listener, peer) = listen("/listen/peer", settings.listen.peer)?;
    let node_incarnation =
        NodeIncarnation { node: settings.node.clone(), incarnation: Incarnation(clock::wall_ms()) };
    let keys = Keys::new(&settings.store.prefix);
    let store_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("platform")
        .enable_all()
        .build()?;
    let etcd = {
        let _entered = store_runtime.enter();
        Etcd::new(&settings.store.endpoints, settings.store.timeout)?
    };
    let (writes, reads) = (settings.store.writes_per_second, settings.store.reads_per_second);
    let store = Arc::new(Governor::new(etcd, metrics.clone(), writes, reads));
    let (client, journal_rx) = JournalClient::new();
    let (owners_tx, owners_rx) = watch::channel(Vec::new());
    let lease = LeaseDeadline::default();
    let advertised = settings.listen.advertise_peer.unwrap_or(peer);
    let journal_settings = settings.journal.clone();
    let threads = settings.limits.threads;
    let shared = Arc::new(TrafficState::new(
        settings,
        node_incarnation.clone(),
        log.clone(),
        metrics,
        client.clone(),
    ));
    let (control_tx, control_rx) = mpsc::unbounded_channel();
    let cfg = control::ControlConfig {
        shared: Arc::clone(&shared),
        keys: keys.clone(),
        store: Arc::clone(&store),
        address: advertised,
        http,
        lease: lease.clone(),
        owners: owners_tx,
    };
    control::start(cfg, peer_listener, control_tx.clone(), control_rx)?;
    let cfg = journal::JournalConfig {
        node_incarnation,
        settings: journal_settings,
        keys,
        store,
        owners: owners_rx,
        lease,
        client,
        log: log.clone(),
    };
    journal::start(cfg, journal_rx)?;
    let stop_server = serve_http(&shared, http_listener, threads)?;
    info!(log, "listening"; "http" => %http, "peer" => %peer);
    Ok(Node {
        http,
        peer,
        shared,
        control: control_tx,
        stop_server,
        log,
        store_runtime: Some(store_runtime),
        _log_guard: log_guard,
    })
}

fn serve_http(
    shared: &Arc<TrafficState>,
    listener: TcpListener,
    threads: usize,
) -> std::io::Result<StopServer> {
    let shared = Arc::clone(shared);
    let handler = move |req: front::IncomingRequest| {
        let shared = Arc::clone(&shared);
        async move {
            let answer: Response<_> = front::handle(&shared, req).await;
            Ok::<_, std::convert::Infallible>(answer)
        }
    };
    let mut server = HttpServer::serve(fn_service(handler))
        .disable_signal()
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BUFFER_BYTES>()
        .max_request_headers::<MAX_HEAD_FIELDS>();
    if threads > 0 {
        server = server.worker_threads(threads);
    }
    let mut running = server.listen(listener)?.run();
    let handle = running.handle()?;
    std::thread::Builder::new().name("http".to_owned()).spawn(move || running.wait())?;
    Ok(Box::new(move || handle.stop(true)))
}

/// The time between two checks whether the node still has requests in flight or unwritten records.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time that the HTTP server gets to send the last bytes of its answers.
const FLUSH_TIME: Duration = Duration::from_millis(200);

impl Node {
    /// Whether the node has read the configuration and the list of VMs.
    #[cfg(feature = "demo")]
    pub(crate) fn is_ready(&self) -> bool {
        self.shared.snapshot.load().ready
    }

    /// Whether services are declared and this node holds slots in the pool of each.
    #[cfg(feature = "demo")]
    pub(crate) fn holds_slots(&self) -> bool {
        let snapshot = self.shared.snapshot.load();
        let has_slots =
            |pool: &crate::traffic::Pool| pool.vms().values().any(|vm| vm.slots().0 > 0);
        !snapshot.services.is_empty()
            && snapshot.services.values().all(|service| has_slots(&service.pool))
    }

    /// Shuts down gracefully: waits for the requests in flight and for their records, up to the
    /// limit in the settings, and hands over the duties that this node owns.
    pub(crate) async fn stop(self) {
        let shutdown = self.shared.settings.shutdown.clone();
        info!(self.log, "stopping"; "in_flight" => self.shared.in_flight());
        self.shared.start_draining();
        tokio::time::sleep(shutdown.linger.to_std()).await;
        let deadline = clock::now() + shutdown.drain;
        while self.shared.in_flight() > 0 && clock::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // The last conclusions must be durable before the partitions are handed over.
        while self.shared.journal.waiting_bytes() > 0 && clock::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let (left_tx, left_rx) = oneshot::channel();
        if self.control.send(control::Event::Leave(left_tx)).is_ok() {
            let _ = left_rx.await;
        }
        (self.stop_server)();
        tokio::time::sleep(FLUSH_TIME).await;
        info!(self.log, "stopped"; "in_flight" => self.shared.in_flight());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Dropping the runtime itself would block this thread.
        if let Some(store_runtime) = self.store_runtime.take() {
            store_runtime.shutdown_background();
        }
    }
}
