//! Starts a node, holds the state that the parts of its control thread share, and shuts it down.

use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use indexmap::IndexMap;
use slog::{Logger, info, warn};
use teaselgap_core::{Incarnation, NodeId, ServiceId, Span, Timestamp, job::Duty};
use teaselgap_platform::{
    client::Connections,
    settings::{self, Settings, SettingsError},
    store::Store,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{Notify, mpsc},
    task::LocalSet,
};
use xitca_web::{HttpServer, service::fn_service};

use super::{
    ask, duties, fleet,
    front::{self, SharedState},
    host::{CellOwner, EndedTerm},
    instruction::{CellReport, PoolInstruction},
    lease::LeaseRenewer,
    link_load,
    log_store::LogReading,
    members::Members,
    operator, outage,
    peer::{self, NodeRequest, Peers, PendingInstruction, PendingStoreAge, PendingTermEnd},
    repeat::{MAX_STORE_COPIES, Repeater},
    roster,
    session::{self, Session},
    term_ends::{self, TermEnds},
};
use crate::{
    clock, log,
    metrics::{Metrics, MetricsError},
};

/// The name of the duty to own the fleet. Its owner sends all orders about VMs.
pub(super) const FLEET_DUTY: &str = "fleet";

/// The most bytes that a request's head may have.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The most header fields that a request may have.
const MAX_HEAD_FIELDS: usize = 64;

/// The most bytes of responses that may be buffered for one connection.
const MAX_WRITE_BUFFER_BYTES: usize = 64 * 1024;

/// How long a client may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a client's connection may be idle.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_mins(1);

/// The part of the time between SIGTERM and SIGKILL that the shutdown leaves unused.
const GRACE_MARGIN: Span = Span(1_200);

/// How long a stopping node still accepts requests, since the balancer needs a while to notice.
const MIN_DRAIN_TIME: Span = Span(3_200);

/// How often a stopping node checks whether its requests are answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The reason why a node could not start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NodeError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("settings: {0}")]
    InvalidSetting(String),
    #[error("{address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    #[error("threads: {0}")]
    Startup(#[from] std::io::Error),
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// The state that the parts of the control thread share.
pub(crate) struct Node {
    pub(super) log: Logger,
    pub(super) settings: Settings,
    pub(super) id: NodeId,
    /// Identifies this process among all that have run under the node's name.
    pub(super) incarnation: Incarnation,
    /// The address at which other nodes reach this one.
    pub(super) peer_address: SocketAddr,
    pub(super) connections: Rc<Connections>,
    pub(super) store: Store,
    /// For the operator's keys, whose answers may be large.
    pub(super) operator_store: Store,
    /// Sends calls to the store again while no answer comes.
    pub(super) repeater: Repeater,
    pub(super) log_reading: LogReading,
    pub(super) shared: Arc<SharedState>,
    pub(super) peers: Peers,
    /// What owners of cells at other nodes have said of their queues.
    pub(super) closed_queues: RefCell<ask::ClosedQueues>,
    pub(super) lease: LeaseRenewer,
    pub(super) session: RefCell<Session>,
    pub(super) members: RefCell<Members>,
    pub(super) cell_owners: RefCell<IndexMap<ServiceId, Rc<CellOwner>>>,
    /// The latest term of this process that is over, by cell.
    pub(super) ended_terms: RefCell<IndexMap<ServiceId, EndedTerm>>,
    /// What this process knew as its latest terms ended.
    pub(super) term_ends: TermEnds,
    /// The fleet's owner, if this node holds the fleet duty.
    pub(super) fleet: RefCell<Option<Rc<fleet::FleetOwner>>>,
    pub(super) operator: RefCell<operator::OperatorState>,
    /// Triggers a new reading of the list of workers.
    pub(super) roster_refresh: Notify,
}

impl Node {
    /// Creates the state of a process that knows no other node and owns nothing.
    pub(super) fn new(
        (id, incarnation, peer_address): (NodeId, Incarnation, SocketAddr),
        settings: Settings,
        shared: Arc<SharedState>,
        lease: LeaseRenewer,
    ) -> Self {
        let connections = Rc::new(Connections::new(Arc::clone(lease.traffic())));
        let operator_connections =
            operator::connections(Arc::clone(lease.traffic()), settings.limits.link_mbps);
        Self {
            log: shared.log.clone(),
            id,
            incarnation,
            peer_address,
            store: Store::new(settings.store.address, Rc::clone(&connections)),
            operator_store: Store::new(settings.store.address, Rc::new(operator_connections)),
            repeater: Repeater::new(MAX_STORE_COPIES),
            log_reading: LogReading::new(settings.limits.link_mbps),
            connections,
            shared,
            peers: Peers::default(),
            closed_queues: RefCell::default(),
            lease,
            session: RefCell::new(Session::new(&settings.store)),
            members: RefCell::new(Members::default()),
            cell_owners: RefCell::new(IndexMap::new()),
            ended_terms: RefCell::new(IndexMap::new()),
            term_ends: TermEnds::default(),
            fleet: RefCell::new(None),
            operator: RefCell::new(operator::OperatorState::default()),
            roster_refresh: Notify::new(),
            settings,
        }
    }

    /// The owner of a service's cell, if it is at this node and has read the cell's log.
    pub(super) fn cell_owner(&self, cell: &ServiceId) -> Option<Rc<CellOwner>> {
        self.cell_owners.borrow().get(cell).filter(|owner| owner.is_serving()).cloned()
    }

    /// Since when this node, as the owner of a cell, has been reading the cell's log.
    pub(super) fn recovering_since(&self, cell: &ServiceId) -> Option<Timestamp> {
        self.cell_owners.borrow().get(cell).and_then(|owner| owner.recovering_since())
    }

    /// The address of the node that owns a cell, if it is another node.
    pub(super) fn owner_address(&self, cell: &ServiceId) -> Option<SocketAddr> {
        self.members.borrow().owner_address(&duties::cell_duty(cell), &self.id)
    }

    /// Whether this process is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.shared.draining.load(Relaxed)
    }

    /// The duties that need an owner; none before there is a configuration. Nobody can own the fleet
    /// without a VM API.
    pub(super) fn duties(&self) -> indexmap::IndexSet<Duty> {
        let Some(config) = self.shared.config.load_full() else {
            return indexmap::IndexSet::new();
        };
        let mut duties = duties::needed(&config, &self.members.borrow());
        if self.settings.vm_api.is_none() {
            duties.shift_remove(FLEET_DUTY);
        }
        duties
    }

    fn dispatch(self: &Rc<Self>, request: NodeRequest) {
        // The request may have waited while the process was paused.
        session::end_expired_terms(self);
        match request {
            NodeRequest::Cell(pending) => {
                tokio::task::spawn_local(ask::answer_request(Rc::clone(self), pending));
            }
            NodeRequest::Instruct(pending) => self.handle_instruction(pending),
            NodeRequest::StoreAge(PendingStoreAge { terms, reply }) => {
                // The caller may have stopped waiting.
                let _ = reply.send(outage::store_word(self, &terms));
            }
            NodeRequest::TermEnd(PendingTermEnd { cell, epoch, reply }) => {
                // The caller may have stopped waiting.
                let _ = reply.send(term_ends::tell(self, &cell, epoch));
            }
        }
    }

    fn handle_instruction(&self, pending: PendingInstruction) {
        let PendingInstruction { cell, instruction, reply } = pending;
        let report = self.cell_owner(&cell).and_then(|owner| owner.instruct(instruction));
        // The caller may have stopped waiting.
        let _ = reply.send(report);
    }

    /// Passes an instruction to the owner of a cell, at this or another node. Returns `None` if no
    /// owner can be reached.
    pub(super) async fn instruct(
        &self,
        cell: &ServiceId,
        instruction: PoolInstruction,
    ) -> Option<CellReport> {
        if let Some(owner) = self.cell_owner(cell) {
            return owner.instruct(instruction);
        }
        let address = self.owner_address(cell)?;
        self.peers.instruct(address, cell, &instruction).await
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let listen_error = |source| NodeError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    Ok(listener)
}

/// Runs a node on the users' platform until it is told to stop.
pub(crate) fn serve() -> Result<(), NodeError> {
    let settings = settings::load()?;
    let (log, _log_guard) = log::start_on(std::io::stdout(), slog::Level::Info, &settings.node);
    let id: NodeId =
        settings.node.parse().map_err(|err| NodeError::InvalidSetting(format!("node: {err}")))?;
    let incarnation = Incarnation(clock::wall_ms());
    let metrics = Metrics::new()?;
    let (requests, request_rx) = peer::request_channel();
    let shared = Arc::new(SharedState {
        config: arc_swap::ArcSwapOption::empty(),
        draining: false.into(),
        in_flight: 0.into(),
        requests: requests.clone(),
        metrics,
        log: log.clone(),
    });
    let peer_address = peer_address(&settings)?;
    let peer_listener = listen(peer_address)?;
    let mut listeners = Vec::new();
    for address in [settings.listen.front, settings.listen.ready].into_iter().flatten() {
        listeners.push(listen(address)?);
    }
    info!(log, "starting"; "incarnation" => incarnation.0, "zone" => &settings.zone,
        "peer" => %peer_address, "store" => %settings.store.address,
        "version" => env!("CARGO_PKG_VERSION"));
    let stop_front = serve_http(&shared, listeners)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let lease = LeaseRenewer::start(session::renewal_config(&settings.store), log.clone())?;
    let node = Rc::new(Node::new((id, incarnation, peer_address), settings, shared, lease));
    let local = LocalSet::new();
    let result = local.block_on(&runtime, run(node, peer_listener, requests, request_rx));
    stop_front();
    info!(log, "stopped");
    result
}

/// The address at which this node listens for other nodes, on the first port free for them.
fn peer_address(settings: &Settings) -> Result<SocketAddr, NodeError> {
    let port = settings.peer_ports.first().copied().unwrap_or(0);
    let ip = settings.ip.parse().map_err(|err| NodeError::InvalidSetting(format!("ip: {err}")))?;
    Ok(SocketAddr::new(ip, port))
}

/// Shuts the HTTP server down gracefully. It is a closure, since the library doesn't export the
/// type of its handle.
type StopFront = Box<dyn FnOnce()>;

fn serve_http(
    shared: &Arc<SharedState>,
    listeners: Vec<TcpListener>,
) -> std::io::Result<StopFront> {
    let shared = Arc::clone(shared);
    let handler = move |req: front::HttpRequest| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, std::convert::Infallible>(front::handle(shared, req).await) }
    };
    let mut server = HttpServer::serve(fn_service(handler))
        .disable_signal()
        .worker_threads(1)
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BUFFER_BYTES>()
        .max_request_headers::<MAX_HEAD_FIELDS>();
    for listener in listeners {
        server = server.listen(listener)?;
    }
    let mut running = server.run();
    let handle = running.handle()?;
    std::thread::Builder::new().name("http".to_owned()).spawn(move || running.wait())?;
    Ok(Box::new(move || handle.stop(true)))
}

async fn run(
    node: Rc<Node>,
    peer_listener: TcpListener,
    requests: mpsc::Sender<NodeRequest>,
    mut request_rx: mpsc::Receiver<NodeRequest>,
) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let peer_listener = tokio::net::TcpListener::from_std(peer_listener)?;
    let log = node.log.clone();
    tokio::task::spawn_local(async move {
        if let Err(err) = peer::serve(peer_listener, requests).await {
            warn!(log, "failed to serve other nodes"; "error" => %err);
        }
    });
    tokio::task::spawn_local(session::run(Rc::clone(&node)));
    tokio::task::spawn_local(operator::run(Rc::clone(&node)));
    tokio::task::spawn_local(roster::run(Rc::clone(&node)));
    tokio::task::spawn_local(link_load::run(Rc::clone(&node)));
    loop {
        tokio::select! {
            Some(request) = request_rx.recv() => node.dispatch(request),
            _ = hangup.recv() => reload(&node),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    let shutdown = tokio::task::spawn_local(shut_down(Rc::clone(&node)));
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            Some(request) = request_rx.recv() => node.dispatch(request),
            _ = &mut shutdown => return Ok(()),
        }
    }
}

/// Reads and checks the settings file, but applies nothing: the settings that may change at runtime
/// concern no part of this process.
fn reload(node: &Node) {
    match settings::load() {
        Ok(settings) => {
            let is_same = settings == node.settings;
            info!(node.log, "reloaded"; "changed" => !is_same);
        }
        Err(err) => warn!(node.log, "failed to reload settings"; "error" => %err),
    }
}

/// Hands over this node's duties, and continues to forward requests to their new owners until the
/// balancer has noticed the shutdown and all requests are answered, or the grace period ends.
async fn shut_down(node: Rc<Node>) {
    let in_flight = || node.shared.in_flight.load(Relaxed);
    info!(node.log, "stopping"; "in_flight" => in_flight());
    node.shared.draining.store(true, Relaxed);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "short durations")]
    let grace = Span((node.settings.bounds.grace_s.max(0.0) * 1_000.0) as u64);
    let started = clock::now();
    let deadline = started + Span(grace.0.saturating_sub(GRACE_MARGIN.0));
    session::hand_over(&node).await;
    let drain_until = (started + MIN_DRAIN_TIME).min(deadline);
    while clock::now() < drain_until || (in_flight() > 0 && clock::now() < deadline) {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!(node.log, "drained"; "in_flight" => in_flight());
}
