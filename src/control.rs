//! The control thread: everything that nodes agree on, and what traffic is told of it.
//!
//! One task owns all control state and handles one event at a time. What takes time runs in local
//! tasks that report back with events.

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
        HeldSlots, Keeper,
        exchange::{HolderSession, KeeperSessions, Reply},
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
    traffic::{Pool, Shared, VmGate},
    vm_list::{self, Vm, VmPage},
};

/// The store as this node uses it.
pub(crate) type NodeStore = Governor<Etcd>;

/// Something that control state must take in.
#[derive(Debug)]
pub(crate) enum Event {
    /// The control prefix was read whole.
    Loaded(RangeResult),
    /// The control prefix changed.
    Changed(Vec<Change>),
    /// This node is registered until the deadline.
    Registered(Timestamp),
    /// The VM list changed.
    Vms(VmPage),
    /// Another node calls.
    Peer(PeerCall),
    /// A probe ended: with an answer, or with none even by way of others.
    Probed { node: NodeId, reply: Option<ProbeReply> },
    /// A probe got no direct answer.
    ProbeFailed { node: NodeId },
    /// Another node sent control items.
    Pulled(Option<PullReply>),
    /// A keeper answered an exchange of slots, or did not.
    SlotsAnswered { keeper: NodeIncarnation, sequence: u64, reply: Option<Reply> },
    /// A write about duties ended.
    DutiesWritten { duties: Vec<DutyId>, written: bool },
    /// A write of VMs' records ended.
    VmsWritten(Vec<VmId>),
    /// The node is to leave in order; the answer comes when nothing is owned any more.
    Leave(oneshot::Sender<()>),
}

/// A call of another node, with the way to answer it.
#[derive(Debug)]
pub(crate) enum PeerCall {
    Probe(ProbeRequest, oneshot::Sender<ProbeReply>),
    ProbeFor(ProbeForRequest, oneshot::Sender<ProbeForReply>),
    Pull(PullRequest, oneshot::Sender<PullReply>),
    Slots(SlotsRequest, oneshot::Sender<SlotsReply>),
    Status(oneshot::Sender<StatusReply>),
    Explain(ExplainRequest, oneshot::Sender<ExplainReply>),
}

/// What the control thread works with.
pub(crate) struct ControlConfig {
    pub(crate) shared: Arc<Shared>,
    pub(crate) keys: Keys,
    pub(crate) store: Arc<NodeStore>,
    /// Where other nodes reach this one.
    pub(crate) address: SocketAddr,
    /// Where callers reach it.
    pub(crate) http: SocketAddr,
    pub(crate) lease: LeaseDeadline,
    pub(crate) owners: watch::Sender<Owners>,
}

/// All control state of a node.
struct Control {
    cfg: ControlConfig,
    log: Logger,
    tx: mpsc::UnboundedSender<Event>,
    peers: Arc<PeerClients>,
    rng: SmallRng,
    cache: Cache,
    catalog: Catalog,
    /// The generation that could not be applied, and why.
    refused: Option<(Generation, String)>,
    members: Membership,
    duties: Duties,
    /// Duties whose write is under way.
    writing: Vec<DutyId>,
    /// VMs as the platform's list shows them.
    fleet: IndexMap<VmId, Vm>,
    /// The VMs' records in the store.
    records: IndexMap<VmId, fleet::StoredRecord>,
    /// VMs whose record is being written.
    writing_vms: HashSet<VmId>,
    waves: HashMap<PoolId, Waves>,
    shortfalls: HashMap<PoolId, Shortfall>,
    next_fleet: Timestamp,
    next_rebuild: Timestamp,
    /// The pools are behind the fleet or its records.
    rebuild_due: bool,
    vm_list_seen: bool,
    pools: IndexMap<PoolId, Arc<Pool>>,
    gates: HashMap<VmId, Arc<VmGate>>,
    budgets: HashMap<ServiceId, Arc<Mutex<RetryBudget>>>,
    keepers: IndexMap<PoolId, Keeper>,
    keeper_sessions: KeeperSessions,
    held_slots: IndexMap<PoolId, HeldSlots>,
    holder_sessions: HashMap<NodeIncarnation, HolderSession>,
    /// When holders last said whether they reach the store.
    reachability: HashMap<NodeId, (bool, Timestamp)>,
    next_probe: Timestamp,
    next_ejection: Timestamp,
    next_view: Timestamp,
    next_plan: Timestamp,
    /// The longest request of each declared pool.
    longest_requests: HashMap<PoolId, Span>,
    leaving: Option<oneshot::Sender<()>>,
    /// When this node gives up waiting for others to take its duties.
    leave_deadline: Timestamp,
}

/// How often duties are looked at when nothing changed that concerns them.
const PLAN_INTERVAL: Span = Span(500);

/// How often VMs are ejected by their success rates.
const EJECTION_INTERVAL: Span = Span(500);

/// How often state with deadlines is looked at.
const TICK: Duration = Duration::from_millis(100);

/// Starts the control thread; it ends when the process does.
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
            Err(err) => slog::error!(cfg.shared.log, "control thread"; "error" => %err),
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
        let members_cfg = membership::Config {
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
            refused: None,
            members: Membership::new(node_incarnation.node.clone(), member, members_cfg),
            duties: Duties::new(node_incarnation),
            writing: Vec::new(),
            fleet: IndexMap::new(),
            records: IndexMap::new(),
            writing_vms: HashSet::new(),
            waves: HashMap::new(),
            shortfalls: HashMap::new(),
            next_fleet: Timestamp(0),
            next_rebuild: Timestamp(0),
            rebuild_due: false,
            vm_list_seen: false,
            pools: IndexMap::new(),
            gates: HashMap::new(),
            budgets: HashMap::new(),
            keepers: IndexMap::new(),
            keeper_sessions: KeeperSessions::default(),
            held_slots: IndexMap::new(),
            holder_sessions: HashMap::new(),
            reachability: HashMap::new(),
            next_probe: Timestamp(0),
            next_ejection: Timestamp(0),
            next_view: Timestamp(0),
            next_plan: Timestamp(0),
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
            Err(err) => slog::error!(self.log, "peer listener"; "error" => %err),
        }
        self.start_feeds();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// Starts the tasks that bring news from outside.
    fn start_feeds(&self) {
        let shared = &self.cfg.shared;
        let (vm_tx, mut vm_rx) = mpsc::unbounded_channel();
        tokio::task::spawn_local(vm_list::follow(shared.settings.vm_list, vm_tx));
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            while let Some(page) = vm_rx.recv().await {
                if tx.send(Event::Vms(page)).is_err() {
                    return;
                }
            }
        });
        tokio::task::spawn_local(registration::keep(
            Arc::clone(&self.cfg.store),
            registration::Registration {
                key: self.cfg.keys.node(self.own_incarnation()),
                value: registration::value(&self.cfg),
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

    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Loaded(page) => self.apply_range_result(&page, now),
            Event::Changed(changes) => self.apply_changes(changes, now),
            Event::Registered(deadline) => self.on_registered(deadline, now),
            Event::Vms(page) => self.apply_vm_page(page, now),
            Event::Peer(call) => self.answer_peer(call, now),
            Event::Probed { node, reply } => self.on_probe_reply(&node, reply, now),
            Event::ProbeFailed { node } => self.on_probe_failed(node),
            Event::Pulled(reply) => self.on_pull_reply(reply, now),
            Event::SlotsAnswered { keeper, sequence, reply } => {
                self.on_slots_reply(&keeper, sequence, reply);
            }
            Event::DutiesWritten { duties, written } => self.on_duty_write(&duties, written, now),
            Event::VmsWritten(vms) => self.on_vm_write(&vms),
            Event::Leave(done) => self.leave(done, now),
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.members.expire(now);
        if now >= self.next_plan {
            self.plan_duties(now);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.cfg.shared.settings.cluster.probe_interval;
            self.probe();
        }
        if self.rebuild_due {
            self.rebuild_soon(now);
        }
        self.exchange_slots(now);
        if now >= self.next_ejection {
            self.next_ejection = now + EJECTION_INTERVAL;
            self.eject_failing_vms(now);
        }
        if now >= self.next_fleet {
            self.step_fleet(now);
        }
        if now >= self.next_view {
            self.publish_view(now);
        }
        self.finish_leaving(now);
    }

    fn leave(&mut self, done: oneshot::Sender<()>, now: Timestamp) {
        info!(self.log, "leaving");
        self.duties.leave();
        self.leaving = Some(done);
        self.leave_deadline = now + self.cfg.shared.settings.store.lease_ttl;
        self.plan_duties(now);
    }

    /// Answers once nothing is owned, or others can't take it.
    fn finish_leaving(&mut self, now: Timestamp) {
        if self.leaving.is_none() {
            return;
        }
        let owns_any = self.duties.owned_terms(now).next().is_some();
        let alone = self.members.peers().next().is_none();
        if owns_any && !alone && now < self.leave_deadline {
            return;
        }
        self.members.leave();
        self.announce_leaving();
        if let Some(done) = self.leaving.take() {
            // The process ends whether or not anybody waits.
            let _ = done.send(());
        }
    }
}
