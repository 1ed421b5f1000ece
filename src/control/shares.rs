//! The fleet as the VM list shows it, and the slots that this node holds or lends.

use std::{collections::HashMap, sync::Arc};

use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};
use teaselgap_core::{
    Epoch, PoolId, ServiceId, Slots, Span, Timestamp, VmId,
    admit::Share,
    duty::{DutyId, NodeIncarnation},
    slots::{
        self, Report,
        exchange::{Reply, Request},
        round_up_demand,
    },
};
use teaselgap_proto::peer::{SlotsReply, SlotsRequest};

use super::{Control, Event};
use crate::{
    peer::{
        slots_reply_from_wire, slots_reply_to_wire, slots_request_from_wire, slots_request_to_wire,
    },
    traffic::{Pool, PoolConfig, VmGate, VmInfo},
    vm_list::{Vm, VmPage, VmState},
};

/// Most requests of a customer that may wait at a node where its service names no bound.
const WAITING_PER_CUSTOMER: u32 = 256;

/// The longest request of a pool that no service is declared for.
const DEFAULT_LONGEST: Span = Span(60_000);

/// Least time between two rebuilds of all pools.
const REBUILD_INTERVAL: Span = Span(100);

/// How long a holder's word that it can't reach the store counts.
const REACHABILITY_MEMORY: Span = Span(2_000);

impl Control {
    pub(super) fn apply_vm_page(&mut self, page: VmPage, now: Timestamp) {
        self.vm_list_seen = true;
        self.next_fleet = Timestamp(0);
        for vm in page.vms {
            let before = self.fleet.get(&vm.id);
            if before.is_none_or(|before| before.state != vm.state || before.pool != vm.pool) {
                info!(self.log, "VM listed"; "vm" => %vm.id, "pool" => %vm.pool,
                    "state" => format!("{:?}", vm.state).to_lowercase());
            }
            if vm.state == VmState::Gone {
                self.fleet.shift_remove(&vm.id);
            } else {
                self.fleet.insert(vm.id.clone(), vm);
            }
        }
        self.rebuild_soon(now);
    }

    /// Rebuilds the pools now, or within a tick if that was just done: changes come in bursts, and
    /// each rebuild looks at the whole fleet.
    pub(super) fn rebuild_soon(&mut self, now: Timestamp) {
        if now >= self.next_rebuild {
            self.rebuild_pools(now);
        } else {
            self.rebuild_due = true;
        }
    }

    /// Brings pools, gates and shares in line with the fleet and the declarations.
    pub(super) fn rebuild_pools(&mut self, now: Timestamp) {
        self.rebuild_due = false;
        self.next_rebuild = now + REBUILD_INTERVAL;
        self.note_longest_requests();
        let mut by_pool: HashMap<PoolId, Vec<Vm>> = HashMap::new();
        for vm in self.fleet.values() {
            if let Some(known) = self.records.get(&vm.id) {
                by_pool.entry(known.record.pool.clone()).or_default().push(vm.clone());
            }
        }
        let declared: IndexSet<PoolId> =
            self.catalog.declarations().map(|declaration| declaration.pool.clone()).collect();
        for id in declared {
            let vms = by_pool.remove(&id).unwrap_or_default();
            self.rebuild_pool(&id, vms, now);
        }
        let fleet = &self.fleet;
        self.gates.retain(|vm, _| fleet.contains_key(vm));
        self.set_shares();
        let mut lent: HashMap<PoolId, IndexMap<VmId, slots::Vm>> = HashMap::new();
        for (pool, vm, content) in self.lent_vms() {
            lent.entry(pool.clone()).or_default().insert(vm.clone(), content);
        }
        for (pool, keeper) in &mut self.keepers {
            keeper.set_vms(lent.remove(pool).unwrap_or_default());
        }
    }

    fn rebuild_pool(&mut self, id: &PoolId, vms: Vec<Vm>, now: Timestamp) {
        let routing = &self.cfg.shared.settings.routing;
        let cfg = PoolConfig { policy: routing.policy, warm_up: routing.warm_up };
        // VMs that were there when the node started are not new.
        let added = if self.pools.contains_key(id) { now } else { Timestamp(0) };
        let pool =
            self.pools.entry(id.clone()).or_insert_with(|| Arc::new(Pool::new(id.clone(), cfg)));
        let was_empty = pool.vms().is_empty();
        let added = if was_empty { Timestamp(0) } else { added };
        let zone = &self.cfg.shared.settings.zone;
        let mut gates = IndexMap::new();
        for vm in vms {
            let info =
                VmInfo { id: vm.id.clone(), address: vm.address, zone: vm.zone, rack: vm.rack };
            let known = self.gates.get(&vm.id).filter(|gate| gate.info == info);
            let gate = known.cloned().unwrap_or_else(|| {
                let local = info.zone == *zone;
                Arc::new(VmGate::new(info, local, added))
            });
            let planned = self.records.get(&vm.id).is_none_or(|one| !one.record.takes_requests());
            gate.set_leaving(vm.state == VmState::Leaving || planned);
            self.gates.insert(vm.id.clone(), Arc::clone(&gate));
            gates.insert(vm.id, gate);
        }
        pool.set_vms(gates);
    }

    fn set_shares(&self) {
        for declaration in self.catalog.declarations() {
            let Some(pool) = self.pools.get(&declaration.pool) else {
                continue;
            };
            let waiting = declaration.quota.waiting_per_customer.unwrap_or(WAITING_PER_CUSTOMER);
            let share = Share {
                normal: declaration.capacity.normal.0,
                urgency: declaration.urgency,
                waiting_per_customer: waiting,
            };
            pool.set_share(&declaration.service, share);
        }
    }

    /// VMs whose slots may be lent, each with its pool.
    fn lent_vms(&self) -> impl Iterator<Item = (&PoolId, &VmId, slots::Vm)> {
        let live = self.fleet.values().filter(|vm| vm.state == VmState::Live);
        live.filter_map(|vm| {
            let record = &self.records.get(&vm.id)?.record;
            let content = slots::Vm { slots: vm.slots, zone: vm.zone.clone() };
            record.takes_requests().then_some((&record.pool, &vm.id, content))
        })
    }

    /// The VMs of a pool whose slots may be lent.
    pub(super) fn pool_slots(&self, pool: &PoolId) -> IndexMap<VmId, slots::Vm> {
        let of_pool = self.lent_vms().filter(|(one, ..)| *one == pool);
        of_pool.map(|(_, vm, content)| (vm.clone(), content)).collect()
    }

    /// The longest that a request in a pool can run.
    fn longest_request(&self, pool: &PoolId) -> Span {
        self.longest_requests.get(pool).copied().unwrap_or(DEFAULT_LONGEST)
    }

    fn note_longest_requests(&mut self) {
        self.longest_requests.clear();
        for declaration in self.catalog.declarations() {
            let longest = self.longest_requests.entry(declaration.pool.clone()).or_default();
            *longest = (*longest).max(declaration.deadline.max);
        }
    }

    /// The time limits of grants in a pool.
    pub(super) fn slots_config(&self, pool: &PoolId) -> slots::Config {
        let nodes = self.duties.registered_count();
        let cluster = &self.cfg.shared.settings.cluster;
        cluster.slots_config(nodes, self.longest_request(pool))
    }

    /// Sends each keeper whose time has come what changed, unless its answer is still awaited.
    pub(super) fn exchange_slots(&mut self, now: Timestamp) {
        let interval =
            self.cfg.shared.settings.cluster.exchange_interval(self.duties.registered_count());
        let mut by_keeper: HashMap<NodeIncarnation, Vec<(PoolId, Epoch, Arc<Pool>)>> =
            HashMap::new();
        for (id, pool) in &self.pools {
            let Some((owner, epoch)) = self.duties.owner(&DutyId::Slots(id.clone())) else {
                continue;
            };
            let holding = self.held_slots.entry(id.clone()).or_default();
            if holding.expire(now) {
                for gate in pool.vms().values() {
                    gate.set_held(Slots(0));
                }
            }
            if holding.epoch() != epoch {
                holding.set_epoch(epoch);
            }
            let pools = by_keeper.entry(owner.clone()).or_default();
            pools.push((id.clone(), epoch, Arc::clone(pool)));
        }
        self.holder_sessions.retain(|keeper, _| by_keeper.contains_key(keeper));
        for (keeper, pools) in by_keeper {
            let waiting = pools.iter().any(|(_, _, pool)| pool.waiting() > 0);
            let known = self.holder_sessions.get(&keeper);
            let due = known.is_none_or(|side| side.is_due(now, interval, waiting));
            if due {
                let current =
                    pools.into_iter().map(|(id, epoch, pool)| (id, (epoch, report(&pool))));
                let current = current.collect();
                self.exchange_with(keeper, &current, now);
            }
        }
    }

    fn exchange_with(
        &mut self,
        keeper: NodeIncarnation,
        current: &IndexMap<PoolId, (Epoch, Report)>,
        now: Timestamp,
    ) {
        let own = self.own_incarnation().clone();
        let zone = self.cfg.shared.settings.zone.clone();
        let side = self.holder_sessions.entry(keeper.clone()).or_default();
        if side.is_awaiting_reply(now) {
            return;
        }
        let timeout = self.cfg.shared.settings.cluster.slots_interval;
        let holder = (own.node.clone(), own.incarnation);
        let req = side.next_request(&holder, &zone, current, now, now + timeout);
        if keeper == own {
            let reachable = self.cfg.store.is_reachable();
            let reply = self.handle_slots(&req, reachable, now);
            self.on_slots_reply(&keeper, req.sequence, reply);
            return;
        }
        let Some(address) = self.members.get(&keeper.node).map(|member| member.address) else {
            return;
        };
        let wire = slots_request_to_wire(&req, self.cfg.store.is_reachable());
        let sequence = req.sequence;
        let (peers, tx) = (Arc::clone(&self.peers), self.tx.clone());
        tokio::task::spawn_local(async move {
            let reply = match peers.get(address) {
                Some(mut client) => {
                    let call = client.slots(wire);
                    let reply = tokio::time::timeout(timeout.to_std(), call).await;
                    reply.ok().and_then(Result::ok)
                }
                None => None,
            };
            let reply = reply.and_then(|reply| slots_reply_from_wire(reply.get_ref()));
            let _ = tx.send(Event::SlotsAnswered { keeper, sequence, reply });
        });
    }

    pub(super) fn on_slots_reply(
        &mut self,
        keeper: &NodeIncarnation,
        sequence: u64,
        reply: Option<Reply>,
    ) {
        let Some(side) = self.holder_sessions.get_mut(keeper) else {
            return;
        };
        match reply {
            Some(reply) => {
                if side.handle_reply(sequence, reply, &mut self.held_slots) {
                    let pools: Vec<PoolId> = side.pools().cloned().collect();
                    for pool in &pools {
                        self.apply_holding(pool);
                    }
                }
            }
            None => side.handle_failure(sequence),
        }
    }

    /// Lets traffic use what is held.
    fn apply_holding(&self, id: &PoolId) {
        let (Some(pool), Some(holding)) = (self.pools.get(id), self.held_slots.get(id)) else {
            return;
        };
        for (vm, gate) in &*pool.vms() {
            gate.set_held(holding.slots(vm));
        }
        pool.set_deadline(holding.deadline());
    }

    /// Answers a holder; `None` if this node may not act as keeper.
    pub(super) fn answer_slots(
        &mut self,
        wire: &SlotsRequest,
        now: Timestamp,
    ) -> Option<SlotsReply> {
        let req = slots_request_from_wire(wire)?;
        let reply = self.handle_slots(&req, wire.store_reachable, now)?;
        Some(slots_reply_to_wire(&reply))
    }

    fn handle_slots(
        &mut self,
        req: &Request,
        store_reachable: bool,
        now: Timestamp,
    ) -> Option<Reply> {
        self.reachability.insert(req.holder.0.clone(), (store_reachable, now));
        if !self.may_keep(now) {
            return None;
        }
        self.keeper_sessions.handle(req, &mut self.keepers, now)
    }

    /// Whether this node may act as keeper: while its registration stands, and beyond that while
    /// the store is down for everybody, because nobody can take the duty over then.
    fn may_keep(&self, now: Timestamp) -> bool {
        if now < self.duties.lease_deadline() {
            return true;
        }
        if self.cfg.store.is_reachable() {
            return false;
        }
        let fresh = |at: Timestamp| now < at + REACHABILITY_MEMORY;
        let own = &self.own_incarnation().node;
        let mut without_store = 1;
        for (node, (reachable, at)) in &self.reachability {
            if fresh(*at) && node != own {
                if *reachable {
                    return false;
                }
                without_store += 1;
            }
        }
        2 * without_store > self.duties.registered_count()
    }

    /// Ejects VMs that fail too many requests.
    pub(super) fn eject_failing_vms(&self, now: Timestamp) {
        for pool in self.pools.values() {
            for vm in pool.update_ejections(now) {
                warn!(self.log, "VM ejected"; "vm" => %vm, "pool" => %pool.id);
            }
        }
    }

    /// The retry budget of a service, which outlives its declaration's changes.
    pub(super) fn budget(
        &mut self,
        service: &ServiceId,
    ) -> Arc<std::sync::Mutex<teaselgap_core::retry::RetryBudget>> {
        Arc::clone(self.budgets.entry(service.clone()).or_default())
    }
}

/// What is to be reported of a pool.
fn report(pool: &Pool) -> Report {
    let vms = pool.vms();
    let ceilings = vms.iter().map(|(vm, gate)| (vm.clone(), gate.ceiling()));
    Report {
        demand: round_up_demand(pool.demand()),
        ceilings: ceilings.filter(|(_, slots)| *slots > 0).collect(),
    }
}
