//! The control thread: it maintains the state that the nodes share, such as membership, duties,
//! declarations and grants of slots, and publishes what the traffic threads need of it.
//!
//! One task owns all control state and handles one event at a time. Slow operations, such as calls
//! to the store or to other nodes, run in local tasks that report their results as events.

mod cache;
mod duties;
mod fleet;
mod probes;
mod registration;
mod shares;
mod view;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;
use rand::{SeedableRng, rngs::SmallRng};
use slog::{Logger, info};
use teaselgap_core::{
    Generation, NodeId, PoolId, ServiceId, Span, Timestamp, VmId,
    catalog::Catalog,
    duty::{Duties, DutyId, NodeIncarnation},
    maintain::{Shortfall, Waves},
    membership::{self, Member, Membership, State},
    retry::RetryBudget,
    slots::{
        HeldSlots, SlotLedger,
        exchange::{HolderSession, OwnerSessions, Reply},
    },
};
use teaselgap_proto::peer::{
    ExplainReply, ExplainRequest, ProbeForReply, ProbeForRequest, ProbeReply, ProbeRequest,
    PullReply, PullRequest, SlotsReply, SlotsRequest, StatusReply,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::LocalSet,
};

use self::cache::Cache;
pub(crate) use self::registration::NodeValue;
use crate::{
    clock,
    journal::{LeaseDeadline, Owners},
    peer::{self, PeerClients},
    store::{Change, RangeResult, Store, etcd::Etcd, governor::Governor, keys::Keys},
    traffic::{Pool, TrafficState, VmGate},
    vm_list::{self, Vm, VmPage},
};

/// The store client of a node: etcd behind the governor that limits its calls.
pub(crate) type NodeStore = Governor<Etcd>;

/// An input to the control task.
#[derive(Debug)]
pub(crate) enum Event {
    /// All keys under the control prefix were read.
    ControlKeysRead(RangeResult),
    /// The watch reported changes to keys under the control prefix.
    ControlKeysChanged(Vec<Change>),
    /// The lease of this node's registration was granted or renewed, and expires at the deadline.
    Registered(Timestamp),
    /// The platform's VM list changed.
    VmListChanged(VmPage),
    /// Another node or a command called this node.
    Peer(PeerCall),
    /// A probe ended; `reply` is `None` if the indirect probes failed too.
    ProbeEnded { node: NodeId, reply: Option<ProbeReply> },
    /// A direct probe was not answered in time.
    DirectProbeFailed { node: NodeId },
    /// A request for another node's control items ended; `None` without a reply.
    PullEnded(Option<PullReply>),
    /// An exchange of slots with an owner of pools ended; `reply` is `None` without a reply.
    SlotsAnswered { owner: NodeIncarnation, sequence: u64, reply: Option<Reply> },
    /// A write of duty records ended; `may_be_written` says whether it may have
    /// taken effect.
    DutiesWritten { duties: Vec<DutyId>, may_be_written: bool },
    /// A write of these VMs' records ended, whether or not it took effect.
    VmRecordsWritten(Vec<VmId>),
    /// Other nodes were told that this one is shutting down.
    LeaveAnnounced,
    /// The process asks for a graceful shutdown. The control task signals on this channel once the
    /// node owns no duty, has no peers or has waited for the lease's time to live.
    Leave(oneshot::Sender<()>),
}

/// A call from another node or from a command, with the channel for its reply.
#[derive(Debug)]
pub(crate) enum PeerCall {
    Probe(ProbeRequest, oneshot::Sender<ProbeReply>),
    ProbeFor(ProbeForRequest, oneshot::Sender<ProbeForReply>),
    Pull(PullRequest, oneshot::Sender<PullReply>),
    Slots(SlotsRequest, oneshot::Sender<SlotsReply>),
    Status(oneshot::Sender<StatusReply>),
    Explain(ExplainRequest, oneshot::Sender<ExplainReply>),
}

/// Settings and shared handles of the control thread.
pub(crate) struct ControlConfig {
    pub(crate) shared: Arc<TrafficState>,
    pub(crate) keys: Keys,
    pub(crate) store: Arc<NodeStore>,
    /// Address at which other nodes reach this one.
    pub(crate) address: SocketAddr,
    /// Address at which this node accepts HTTP requests.
    pub(crate) http: SocketAddr,
    /// When the lease of this node's registration expires.
    pub(crate) lease: LeaseDeadline,
    /// The owners of the journal's partitions.
    pub(crate) owners: watch::Sender<Owners>,
}

/// All control state of a node.
struct Control {
    cfg: ControlConfig,
    log: Logger,
    /// Sends events to the control task itself, from the local tasks.
    tx: mpsc::UnboundedSender<Event>,
    /// Clients for calls to other nodes.
    peers: Arc<PeerClients>,
    rng: SmallRng,
    /// The keys of the store's control prefix, as this node last read or received them.
    cache: Cache,
    /// The declarations in force.
    catalog: Catalog,
    /// The newest generation that could not be applied, and why.
    refused_generation: Option<(Generation, String)>,
    /// The nodes of the cluster and whether each is alive.
    members: Membership,
    /// The registered nodes and the current term of each duty.
    duties: Duties,
    /// Duties whose records are being written.
    duties_being_written: Vec<DutyId>,
    /// The VMs in the platform's list.
    fleet: IndexMap<VmId, Vm>,
    /// The VMs' records in the store.
    records: IndexMap<VmId, fleet::StoredRecord>,
    /// VMs whose records are being written.
    vms_being_written: HashSet<VmId>,
    /// The maintenance waves of each pool that this node owns or owned.
    waves: HashMap<PoolId, Waves>,
    /// The time in which each pool had less than its services' normal capacity, as observed while
    /// this node owned the pool.
    shortfalls: HashMap<PoolId, Shortfall>,
    /// When this node next updates the records of the VMs in the pools that it owns; zero for
    /// the next tick.
    next_fleet_step: Timestamp,
    /// Earliest time of the next rebuild of the pools.
    next_rebuild: Timestamp,
    /// Whether the fleet or its records changed since the pools were rebuilt.
    is_rebuild_pending: bool,
    /// Whether this node has read the platform's VM list.
    vm_list_seen: bool,
    /// The pools that the traffic threads use.
    pools: IndexMap<PoolId, Arc<Pool>>,
    /// The gate of each VM, which admits this node's requests to it.
    gates: HashMap<VmId, Arc<VmGate>>,
    /// The retry budget of each service.
    retry_budgets: HashMap<ServiceId, Arc<Mutex<RetryBudget>>>,
    /// The ledgers of the pools that this node owns.
    ledgers: IndexMap<PoolId, SlotLedger>,
    /// The exchanges of slots with holders, in which this node is the owner.
    owner_sessions: OwnerSessions,
    /// The slots that the owners of pools have granted to this node.
    held_slots: IndexMap<PoolId, HeldSlots>,
    /// The exchanges of slots with each owner of pools, in which this node is the holder.
    holder_sessions: HashMap<NodeIncarnation, HolderSession>,
    /// Each holder's last report of whether it can reach the store, and when that report arrived.
    reachability: HashMap<NodeId, (bool, Timestamp)>,
    /// When the next member is probed.
    next_probe: Timestamp,
    /// When the VMs' success rates are checked next.
    next_ejection: Timestamp,
    /// The latest time of the next update of the published view.
    next_view_update: Timestamp,
    /// The latest time of the next plan of duties.
    next_duty_plan: Timestamp,
    /// The longest time that a request may run in each declared pool.
    longest_requests: HashMap<PoolId, Span>,
    /// Notified at the end of a graceful shutdown; `None` while the node isn't shutting down.
    leaving: Option<oneshot::Sender<()>>,
    /// When a graceful shutdown stops waiting for other nodes to take over the duties.
    leave_deadline: Timestamp,
}

/// Longest time between two plans of duties, in milliseconds.
const DUTY_PLAN_INTERVAL: Span = Span(500);

/// Time between two checks of the VMs' success rates, in milliseconds.
const EJECTION_INTERVAL: Span = Span(500);

/// Time between two checks for work that is due and for deadlines that passed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the control thread, which runs until the process ends.
pub(crate) fn start(
    cfg: ControlConfig,
    listener: std::net::TcpListener,
    tx: mpsc::UnboundedSender<Event>,
    rx: mpsc::UnboundedReceiver<Event>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => {
                LocalSet::new().block_on(&runtime, Control::new(cfg, tx).run(listener, rx));
            }
            Err(err) => {
                slog::error!(cfg.shared.log, "cannot start the control thread's runtime";
                    "error" => %err);
            }
        }
    })
}

impl Control {
    fn new(cfg: ControlConfig, tx: mpsc::UnboundedSender<Event>) -> Self {
        let shared = &cfg.shared;
        let node_incarnation = shared.node_incarnation.clone();
        let member = Member {
            incarnation: node_incarnation.incarnation,
            refutation: 0,
            state: State::Alive,
            address: cfg.address,
            zone: shared.settings.zone.clone(),
        };
        let membership_cfg = membership::Config {
            suspicion_timeout: shared.settings.cluster.suspicion,
            ..membership::Config::default()
        };
        Self {
            log: shared.log.clone(),
            tx,
            peers: Arc::default(),
            rng: SmallRng::seed_from_u64(node_incarnation.incarnation.0),
            cache: Cache::default(),
            catalog: Catalog::default(),
            refused_generation: None,
            members: Membership::new(node_incarnation.node.clone(), member, membership_cfg),
            duties: Duties::new(node_incarnation),
            duties_being_written: Vec::new(),
            fleet: IndexMap::new(),
            records: IndexMap::new(),
            vms_being_written: HashSet::new(),
            waves: HashMap::new(),
            shortfalls: HashMap::new(),
            next_fleet_step: Timestamp(0),
            next_rebuild: Timestamp(0),
            is_rebuild_pending: false,
            vm_list_seen: false,
            pools: IndexMap::new(),
            gates: HashMap::new(),
            retry_budgets: HashMap::new(),
            ledgers: IndexMap::new(),
            owner_sessions: OwnerSessions::default(),
            held_slots: IndexMap::new(),
            holder_sessions: HashMap::new(),
            reachability: HashMap::new(),
            next_probe: Timestamp(0),
            next_ejection: Timestamp(0),
            next_view_update: Timestamp(0),
            next_duty_plan: Timestamp(0),
            longest_requests: HashMap::new(),
            leaving: None,
            leave_deadline: Timestamp(u64::MAX),
            cfg,
        }
    }

    fn own_incarnation(&self) -> &NodeIncarnation {
        &self.cfg.shared.node_incarnation
    }

    async fn run(
        mut self,
        listener: std::net::TcpListener,
        mut rx: mpsc::UnboundedReceiver<Event>,
    ) {
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                let journal = self.cfg.shared.journal.clone();
                tokio::task::spawn_local(peer::serve(listener, self.tx.clone(), journal));
            }
            Err(err) => {
                slog::error!(self.log, "cannot serve calls from other nodes"; "error" => %err);
            }
        }
        self.start_background_tasks();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// Starts the tasks that follow the VM list and the store and keep this node registered, and
    /// pulls control items from the peers in the settings.
    fn start_background_tasks(&self) {
        let shared = &self.cfg.shared;
        let (vm_tx, mut vm_rx) = mpsc::unbounded_channel();
        tokio::task::spawn_local(vm_list::follow(shared.settings.vm_list, vm_tx));
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            while let Some(page) = vm_rx.recv().await {
                if tx.send(Event::VmListChanged(page)).is_err() {
                    return;
                }
            }
        });
        tokio::task::spawn_local(registration::keep_registered(
            Arc::clone(&self.cfg.store),
            registration::Registration {
                key: self.cfg.keys.node(self.own_incarnation()),
                value: registration::encode_value(&self.cfg),
                ttl: shared.settings.store.lease_ttl,
            },
            self.tx.clone(),
        ));
        let store: Arc<dyn Store> = Arc::clone(&self.cfg.store) as Arc<dyn Store>;
        tokio::task::spawn_local(cache::follow(store, self.cfg.keys.control(), self.tx.clone()));
        for &seed in &shared.settings.peers {
            self.pull_from(seed);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::ControlKeysRead(result) => self.apply_range_result(&result, now),
            Event::ControlKeysChanged(changes) => self.apply_changes(changes, now),
            Event::Registered(deadline) => self.on_registered(deadline, now),
            Event::VmListChanged(page) => self.apply_vm_page(page, now),
            Event::Peer(call) => self.answer_peer(call, now),
            Event::ProbeEnded { node, reply } => self.on_probe_reply(&node, reply, now),
            Event::DirectProbeFailed { node } => self.on_probe_failed(node),
            Event::PullEnded(reply) => self.on_pull_reply(reply, now),
            Event::SlotsAnswered { owner, sequence, reply } => {
                self.on_slots_reply(&owner, sequence, reply);
            }
            Event::DutiesWritten { duties, may_be_written } => {
                self.on_duty_write(&duties, may_be_written, now);
            }
            Event::VmRecordsWritten(vms) => self.on_vm_record_write(&vms),
            Event::Leave(done) => self.leave(done, now),
            Event::LeaveAnnounced => {
                self.duties.leave();
                self.plan_duties(now);
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.members.expire(now);
        if now >= self.next_duty_plan {
            self.plan_duties(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.shared.settings.cluster.probe_interval;
            self.probe_next_member();
        }
        if self.is_rebuild_pending {
            self.rebuild_pools_soon(now);
        }
        self.exchange_slots(now);
        if now >= self.next_ejection {
            self.next_ejection = now + EJECTION_INTERVAL;
            self.eject_failing_vms(now);
        }
        if now >= self.next_fleet_step {
            self.step_fleet(now);
        }
        if now >= self.next_view_update {
            self.publish_view(now);
        }
        self.finish_leaving(now);
    }

    /// Starts a graceful shutdown. The duties are handed over once other nodes were told of it, since
    /// a node that takes this one to stay would hand them back.
    fn leave(&mut self, done: oneshot::Sender<()>, now: Timestamp) {
        info!(self.log, "graceful shutdown started");
        self.leaving = Some(done);
        self.leave_deadline = now + self.cfg.shared.settings.store.lease_ttl;
        self.members.leave();
        self.announce_leaving();
    }

    /// Completes a graceful shutdown once this node owns no duty, has no peers or has waited until
    /// the deadline.
    fn finish_leaving(&mut self, now: Timestamp) {
        if self.leaving.is_none() {
            return;
        }
        let owns_any = self.duties.owned_terms(now).next().is_some();
        let alone = self.members.peers().next().is_none();
        if owns_any && !alone && now < self.leave_deadline {
            return;
        }
        if let Some(done) = self.leaving.take() {
            // The receiver may have stopped waiting.
            let _ = done.send(());
        }
    }
}
