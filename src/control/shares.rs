//! The pools and their VMs, and the exchange of slots between holders and the owners of pools.

use std::{collections::HashMap, sync::Arc};

use indexmap::{IndexMap, IndexSet};
use slog::{info, warn};
use teaselgap_core::{
    Epoch, PoolId, ServiceId, Slots, Span, Timestamp, VmId,
    admit::ServicePolicy,
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

/// Most requests of a customer that may wait at a node if the service declares no limit.
const DEFAULT_WAITING_PER_CUSTOMER: u32 = 256;

/// The longest time that a request may run in a pool without declared services, in milliseconds.
const DEFAULT_LONGEST_REQUEST: Span = Span(60_000);

/// Shortest time between two rebuilds of all pools, in milliseconds.
const REBUILD_INTERVAL: Span = Span(100);

/// How long a holder's report of whether it reaches the store stays valid, in milliseconds.
const REACHABILITY_VALIDITY: Span = Span(2_000);

impl Control {
    /// Applies changes of the platform's VM list.
    pub(super) fn apply_vm_page(&mut self, page: VmPage, now: Timestamp) {
        self.vm_list_seen = true;
        self.next_fleet_step = Timestamp(0);
        for vm in page.vms {
            let previous = self.fleet.get(&vm.id);
            if previous
                .is_none_or(|previous| previous.state != vm.state || previous.pool != vm.pool)
            {
                info!(self.log, "VM listed"; "vm" => %vm.id, "pool" => %vm.pool,
                    "state" => format!("{:?}", vm.state).to_lowercase());
            }
            if vm.state == VmState::Gone {
                self.fleet.shift_remove(&vm.id);
            } else {
                self.fleet.insert(vm.id.clone(), vm);
            }
        }
        self.rebuild_pools_soon(now);
    }

    /// Rebuilds the pools now, or at a later tick if they were just rebuilt: changes come in
    /// bursts, and each rebuild iterates over the whole fleet.
    pub(super) fn rebuild_pools_soon(&mut self, now: Timestamp) {
        if now >= self.next_rebuild {
            self.rebuild_pools(now);
        } else {
            self.is_rebuild_pending = true;
        }
    }

    /// Updates pools, gates, shares and ledgers from the fleet, its records and the declarations.
    pub(super) fn rebuild_pools(&mut self, now: Timestamp) {
        self.is_rebuild_pending = false;
        self.next_rebuild = now + REBUILD_INTERVAL;
        self.update_longest_requests();
        let mut by_pool: HashMap<PoolId, Vec<Vm>> = HashMap::new();
        for vm in self.fleet.values() {
            if let Some(stored) = self.records.get(&vm.id) {
                by_pool.entry(stored.record.pool.clone()).or_default().push(vm.clone());
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
        self.set_policies();
        let mut grantable: HashMap<PoolId, IndexMap<VmId, slots::Vm>> = HashMap::new();
        for (pool, vm, grantable_vm) in self.grantable_vms() {
            grantable.entry(pool.clone()).or_default().insert(vm.clone(), grantable_vm);
        }
        for (pool, ledger) in &mut self.ledgers {
            ledger.set_vms(grantable.remove(pool).unwrap_or_default());
        }
    }

    /// Replaces the VMs of a pool and keeps the gates of those that are unchanged.
    fn rebuild_pool(&mut self, id: &PoolId, vms: Vec<Vm>, now: Timestamp) {
        let routing = &self.cfg.shared.settings.routing;
        let cfg = PoolConfig { policy: routing.policy, warm_up: routing.warm_up };
        // VMs that are found when the node starts or that join an empty pool need no warm-up.
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
            let existing = self.gates.get(&vm.id).filter(|gate| gate.info == info);
            let gate = existing.cloned().unwrap_or_else(|| {
                let local = info.zone == *zone;
                Arc::new(VmGate::new(info, local, added))
            });
            let stopping =
                self.records.get(&vm.id).is_none_or(|stored| !stored.record.takes_requests());
            gate.set_leaving(vm.state == VmState::Leaving || stopping);
            self.gates.insert(vm.id.clone(), Arc::clone(&gate));
            gates.insert(vm.id, gate);
        }
        pool.set_vms(gates);
    }

    /// Sets the policy of each declared service in the queue of its pool.
    fn set_policies(&self) {
        for declaration in self.catalog.declarations() {
            let Some(pool) = self.pools.get(&declaration.pool) else {
                continue;
            };
            let waiting =
                declaration.quota.waiting_per_customer.unwrap_or(DEFAULT_WAITING_PER_CUSTOMER);
            let policy = ServicePolicy {
                normal: declaration.capacity.normal.0,
                urgency: declaration.urgency,
                waiting_per_customer: waiting,
            };
            pool.set_policy(&declaration.service, policy);
        }
    }

    /// The VMs whose slots may be granted, each with its pool.
    fn grantable_vms(&self) -> impl Iterator<Item = (&PoolId, &VmId, slots::Vm)> {
        let live = self.fleet.values().filter(|vm| vm.state == VmState::Live);
        live.filter_map(|vm| {
            let record = &self.records.get(&vm.id)?.record;
            let grantable_vm = slots::Vm { slots: vm.slots, zone: vm.zone.clone() };
            record.takes_requests().then_some((&record.pool, &vm.id, grantable_vm))
        })
    }

    /// The VMs of a pool whose slots may be granted.
    pub(super) fn grantable_vms_in(&self, pool: &PoolId) -> IndexMap<VmId, slots::Vm> {
        let of_pool = self.grantable_vms().filter(|(vm_pool, ..)| *vm_pool == pool);
        of_pool.map(|(_, vm, grantable_vm)| (vm.clone(), grantable_vm)).collect()
    }

    /// The longest time that a request may run in a pool.
    fn max_request_duration(&self, pool: &PoolId) -> Span {
        self.longest_requests.get(pool).copied().unwrap_or(DEFAULT_LONGEST_REQUEST)
    }

    /// Derives the longest time that a request may run in each pool from the declarations.
    fn update_longest_requests(&mut self) {
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
        cluster.slots_config(nodes, self.max_request_duration(pool))
    }

    /// Drops expired grants and starts the exchanges with owners of pools that are due.
    pub(super) fn exchange_slots(&mut self, now: Timestamp) {
        let interval =
            self.cfg.shared.settings.cluster.exchange_interval(self.duties.registered_count());
        let mut by_owner: HashMap<NodeIncarnation, Vec<(PoolId, Epoch, Arc<Pool>)>> =
            HashMap::new();
        for (id, pool) in &self.pools {
            let Some((owner, epoch)) = self.duties.owner(&DutyId::Slots(id.clone())) else {
                continue;
            };
            let held_slots = self.held_slots.entry(id.clone()).or_default();
            if held_slots.expire(now) {
                for gate in pool.vms().values() {
                    gate.set_held(Slots(0));
                }
            }
            if held_slots.epoch() != epoch {
                held_slots.set_epoch(epoch);
            }
            let pools = by_owner.entry(owner.clone()).or_default();
            pools.push((id.clone(), epoch, Arc::clone(pool)));
        }
        self.holder_sessions.retain(|owner, _| by_owner.contains_key(owner));
        for (owner, pools) in by_owner {
            let waiting = pools.iter().any(|(_, _, pool)| pool.waiting() > 0);
            let session = self.holder_sessions.get(&owner);
            let due = session.is_none_or(|session| session.should_send(now, interval, waiting));
            if due {
                let current =
                    pools.into_iter().map(|(id, epoch, pool)| (id, (epoch, pool_report(&pool))));
                let current = current.collect();
                self.exchange_with(owner, &current, now);
            }
        }
    }

    /// Reports this node's demand for slots to an owner of pools and requests that its grants are
    /// renewed.
    ///
    /// Does nothing while the reply to an earlier request is pending.
    fn exchange_with(
        &mut self,
        owner: NodeIncarnation,
        current: &IndexMap<PoolId, (Epoch, Report)>,
        now: Timestamp,
    ) {
        let own = self.own_incarnation().clone();
        let zone = self.cfg.shared.settings.zone.clone();
        let session = self.holder_sessions.entry(owner.clone()).or_default();
        if session.is_awaiting_reply(now) {
            return;
        }
        let timeout = self.cfg.shared.settings.cluster.slots_interval;
        let holder = (own.node.clone(), own.incarnation);
        let req = session.next_request(&holder, &zone, current, now, now + timeout);
        if owner == own {
            let reachable = self.cfg.store.is_reachable();
            let reply = self.handle_slots(&req, reachable, now);
            self.on_slots_reply(&owner, req.sequence, reply);
            return;
        }
        let Some(address) = self.members.get(&owner.node).map(|member| member.address) else {
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
            let _ = tx.send(Event::SlotsAnswered { owner, sequence, reply });
        });
    }

    /// Handles the end of an exchange with an owner of pools: applies the grants of its reply.
    pub(super) fn on_slots_reply(
        &mut self,
        owner: &NodeIncarnation,
        sequence: u64,
        reply: Option<Reply>,
    ) {
        let Some(session) = self.holder_sessions.get_mut(owner) else {
            return;
        };
        match reply {
            Some(reply) => {
                if session.handle_reply(sequence, reply, &mut self.held_slots) {
                    let pools: Vec<PoolId> = session.pools().cloned().collect();
                    for pool in &pools {
                        self.apply_held_slots(pool);
                    }
                }
            }
            None => session.handle_failure(sequence),
        }
    }

    /// Publishes the slots that this node holds in a pool, and their deadline, to the traffic
    /// threads.
    fn apply_held_slots(&self, id: &PoolId) {
        let (Some(pool), Some(held_slots)) = (self.pools.get(id), self.held_slots.get(id)) else {
            return;
        };
        for (vm, gate) in &*pool.vms() {
            gate.set_held(held_slots.slots(vm));
        }
        pool.set_grant_expiry(held_slots.deadline());
    }

    /// Answers a holder's request; `None` if it is invalid or this node may not grant slots.
    pub(super) fn answer_slots(
        &mut self,
        wire: &SlotsRequest,
        now: Timestamp,
    ) -> Option<SlotsReply> {
        let req = slots_request_from_wire(wire)?;
        let reply = self.handle_slots(&req, wire.store_reachable, now)?;
        Some(slots_reply_to_wire(&reply))
    }

    /// Handles a request of a holder, which may be this node itself.
    fn handle_slots(
        &mut self,
        req: &Request,
        store_reachable: bool,
        now: Timestamp,
    ) -> Option<Reply> {
        self.reachability.insert(req.holder.0.clone(), (store_reachable, now));
        if !self.may_grant_slots(now) {
            return None;
        }
        self.owner_sessions.handle(req, &mut self.ledgers, now)
    }

    /// Whether this node may grant slots of the pools that it owns.
    ///
    /// It may while the lease of its registration is valid. After that it may only while more than
    /// half of the registered nodes, this one included, report that they can't reach the store and
    /// none reports that it can, because without the store no node can take over the duty. Reports
    /// older than [`REACHABILITY_VALIDITY`] don't count.
    fn may_grant_slots(&self, now: Timestamp) -> bool {
        if now < self.duties.lease_deadline() {
            return true;
        }
        if self.cfg.store.is_reachable() {
            return false;
        }
        let is_recent = |at: Timestamp| now < at + REACHABILITY_VALIDITY;
        let own = &self.own_incarnation().node;
        let mut without_store = 1;
        for (node, (reachable, at)) in &self.reachability {
            if is_recent(*at) && node != own {
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

    /// The retry budget of a service; it is kept when the declaration changes.
    pub(super) fn retry_budget(
        &mut self,
        service: &ServiceId,
    ) -> Arc<std::sync::Mutex<teaselgap_core::retry::RetryBudget>> {
        Arc::clone(self.retry_budgets.entry(service.clone()).or_default())
    }
}

/// The report to the owner about a pool.
fn pool_report(pool: &Pool) -> Report {
    let vms = pool.vms();
    let ceilings = vms.iter().map(|(vm, gate)| (vm.clone(), gate.ceiling()));
    Report {
        demand: round_up_demand(pool.demand()),
        ceilings: ceilings.filter(|(_, slots)| *slots > 0).collect(),
    }
}
