//! One node, put together from its parts.

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
    traffic::Shared,
};

/// Most head fields of a request.
const MAX_HEAD_FIELDS: usize = 64;

/// Most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes of an answer that may wait to be written to a caller.
const MAX_WRITE_BYTES: usize = 256 * 1024;

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller's connection may be idle.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// A node could not start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NodeError {
    #[error("{what} {address}: {source}")]
    Listen { what: &'static str, address: SocketAddr, source: std::io::Error },
    #[error("threads: {0}")]
    Threads(#[from] std::io::Error),
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A running node.
pub(crate) struct Node {
    /// Where callers reach it.
    pub(crate) http: SocketAddr,
    /// Where other nodes reach it.
    pub(crate) peer: SocketAddr,
    shared: Arc<Shared>,
    control: mpsc::UnboundedSender<control::Event>,
    stop_server: StopServer,
    log: Logger,
    /// Drives the connections to the store.
    platform: Option<tokio::runtime::Runtime>,
    /// Writes what is left of the log when the node is dropped.
    _log_guard: slog_async::AsyncGuard,
}

/// Stops the HTTP server in order; the library does not name its own handle in public.
type StopServer = Box<dyn Fn() + Send>;

fn listen(what: &'static str, address: SocketAddr) -> Result<(TcpListener, SocketAddr), NodeError> {
    let fail = |source| NodeError::Listen { what, address, source };
    let listener = TcpListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

/// Starts a node; it is ready once it has a configuration and a view of the fleet.
pub(crate) fn start(settings: Settings) -> Result<Node, NodeError> {
    let (log, log_guard) = log::start(&settings);
    let metrics = Metrics::new()?;
    let (http_listener, http) = listen("/listen/http", settings.listen.http)?;
    let (peer_listener, peer) = listen("/listen/peer", settings.listen.peer)?;
    let node_incarnation =
        NodeIncarnation { node: settings.node.clone(), incarnation: Incarnation(clock::wall_ms()) };
    let keys = Keys::new(&settings.store.prefix);
    let platform = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("platform")
        .enable_all()
        .build()?;
    let etcd = {
        let _inside = platform.enter();
        Etcd::new(&settings.store.endpoints, settings.store.timeout)?
    };
    let (writes, reads) = (settings.store.writes_per_second, settings.store.reads_per_second);
    let store = Arc::new(Governor::new(etcd, metrics.clone(), writes, reads));
    let (client, asks) = JournalClient::new();
    let (owners_tx, owners_rx) = watch::channel(Vec::new());
    let lease = LeaseDeadline::default();
    let advertised = settings.listen.advertise_peer.unwrap_or(peer);
    let journal_settings = settings.journal.clone();
    let threads = settings.limits.threads;
    let shared = Arc::new(Shared::new(
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
    journal::start(cfg, asks)?;
    let stop_server = serve_http(&shared, http_listener, threads)?;
    info!(log, "listening"; "http" => %http, "peer" => %peer);
    Ok(Node {
        http,
        peer,
        shared,
        control: control_tx,
        stop_server,
        log,
        platform: Some(platform),
        _log_guard: log_guard,
    })
}

fn serve_http(
    shared: &Arc<Shared>,
    listener: TcpListener,
    threads: usize,
) -> std::io::Result<StopServer> {
    let shared = Arc::clone(shared);
    let handler = move |req: front::InRequest| {
        let shared = Arc::clone(&shared);
        async move {
            let answer: Response<_> = front::handle(&shared, req).await;
            Ok::<_, std::convert::Infallible>(answer)
        }
    };
    let mut server = HttpServer::serve(fn_service(handler))
        .disable_signal()
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(KEEP_ALIVE)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BYTES>()
        .max_request_headers::<MAX_HEAD_FIELDS>();
    if threads > 0 {
        server = server.worker_threads(threads);
    }
    let mut running = server.listen(listener)?.run();
    let handle = running.handle()?;
    std::thread::Builder::new().name("http".to_owned()).spawn(move || running.wait())?;
    Ok(Box::new(move || handle.stop(true)))
}

/// How often the end of requests in flight is looked for.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time for the last bytes of answers to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(200);

impl Node {
    /// Whether the node would tell a balancer that it is ready.
    #[cfg(feature = "demo")]
    pub(crate) fn is_ready(&self) -> bool {
        self.shared.snapshot.load().ready
    }

    /// Whether this node holds slots of every pool.
    #[cfg(feature = "demo")]
    pub(crate) fn holds_slots(&self) -> bool {
        let snapshot = self.shared.snapshot.load();
        let holds = |pool: &crate::traffic::Pool| pool.vms().values().any(|vm| vm.slots().0 > 0);
        !snapshot.services.is_empty() && snapshot.services.values().all(|one| holds(&one.pool))
    }

    /// Stops in order: no request in flight is cut off, and what is owned is handed over.
    pub(crate) async fn stop(self) {
        let shutdown = self.shared.settings.shutdown.clone();
        info!(self.log, "stopping"; "in_flight" => self.shared.in_flight());
        self.shared.start_draining();
        tokio::time::sleep(shutdown.linger.to_std()).await;
        let deadline = clock::now() + shutdown.drain;
        while self.shared.in_flight() > 0 && clock::now() < deadline {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // The last conclusions go to the journal before its partitions do.
        while self.shared.journal.waiting_bytes() > 0 && clock::now() < deadline {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        let (done, left) = oneshot::channel();
        if self.control.send(control::Event::Leave(done)).is_ok() {
            let _ = left.await;
        }
        (self.stop_server)();
        tokio::time::sleep(FLUSH_TIME).await;
        info!(self.log, "stopped"; "in_flight" => self.shared.in_flight());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // A runtime that is simply dropped would block the thread that drops it.
        if let Some(platform) = self.platform.take() {
            platform.shutdown_background();
        }
    }
}
