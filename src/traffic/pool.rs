//! A pool's VMs, and the queue of requests that wait at this node for one of their slots.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use teaselgap_core::{
    CustomerId, PoolId, RackId, ServiceId, Span, Timestamp, VmId,
    admit::{Queue, Refusal, ServicePolicy, Ticket, WaitingRequest},
    eject::{self, Health},
    route::{self, Policy},
};
use tokio::sync::oneshot;

use super::VmGate;
use crate::clock;

/// The routing settings of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PoolConfig {
    pub(crate) policy: Policy,
    pub(crate) warm_up: Span,
}

/// A pool's VMs and queue at this node.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) id: PoolId,
    cfg: PoolConfig,
    vms: ArcSwap<IndexMap<VmId, Arc<VmGate>>>,
    /// When the grants of the pool's slots expire, in milliseconds of the monotonic clock; zero
    /// before the first grant.
    grant_expiry_ms: AtomicU64,
    queue_state: Mutex<QueueState>,
}

/// The waiting requests, and how each of them receives its permit.
#[derive(Debug, Default)]
struct QueueState {
    queue: Queue,
    senders: HashMap<Ticket, oneshot::Sender<Permit>>,
    next_ticket: u64,
}

/// An occupied slot of a VM; dropping the permit frees the slot and serves the next waiting
/// request.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) vm: Arc<VmGate>,
    pool: Arc<Pool>,
    service: ServiceId,
    started: Instant,
    /// Number of VMs among which the routing policy chose, including excluded ones; for the log.
    pub(crate) candidate_count: usize,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.vm.release();
        let took_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.pool.lock().queue.on_finish(&self.service, took_us);
        self.pool.dispatch_waiting();
    }
}

/// Removes a request from the queue when dropped, also if its caller disconnects while it waits.
struct QueueGuard<'a> {
    pool: &'a Pool,
    service: &'a ServiceId,
    customer: &'a CustomerId,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        state.queue.remove(self.service, self.customer, self.ticket);
        // Dropping the channel may drop a permit that was sent but not received. That locks the
        // queue again, so the lock is released first.
        let sender = state.senders.remove(&self.ticket);
        drop(state);
        drop(sender);
    }
}

impl Pool {
    pub(crate) fn new(id: PoolId, cfg: PoolConfig) -> Self {
        Self {
            id,
            cfg,
            vms: ArcSwap::default(),
            grant_expiry_ms: AtomicU64::new(0),
            queue_state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.queue_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The VMs of the pool.
    pub(crate) fn vms(&self) -> Arc<IndexMap<VmId, Arc<VmGate>>> {
        self.vms.load_full()
    }

    pub(crate) fn set_vms(&self, vms: IndexMap<VmId, Arc<VmGate>>) {
        self.vms.store(Arc::new(vms));
    }

    /// Sets the weight, urgency and limit of a service in the queue of the pool.
    pub(crate) fn set_policy(&self, service: &ServiceId, policy: ServicePolicy) {
        self.lock().queue.set_policy(service, policy);
    }

    /// Number of slots that this node could use now: those in use plus one per waiting request.
    pub(crate) fn demand(&self) -> u32 {
        self.lock().queue.demand()
    }

    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// Sets when the grants of the pool's slots expire, updates the queue with the number of slots
    /// held now, and dispatches waiting requests.
    pub(crate) fn set_grant_expiry(self: &Arc<Self>, expiry: Timestamp) {
        self.grant_expiry_ms.store(expiry.0, Ordering::Release);
        let held: u32 = self.vms.load().values().map(|vm| vm.slots().0).sum();
        self.lock().queue.set_held(held);
        self.dispatch_waiting();
    }

    /// Ejects VMs whose success rate is too low and returns those newly ejected.
    pub(crate) fn update_ejections(&self, now: Timestamp) -> Vec<VmId> {
        let vms = self.vms.load_full();
        let mut guards: Vec<_> = vms.values().map(|vm| vm.health()).collect();
        let was_ejected: Vec<bool> = guards.iter().map(|health| health.is_ejected(now)).collect();
        let mut refs: Vec<&mut Health> = guards.iter_mut().map(|guard| &mut **guard).collect();
        eject::update_ejections(&eject::Config::default(), &mut refs, now);
        let is_newly_ejected =
            |(i, _): &(usize, &VmId)| !was_ejected[*i] && guards[*i].is_ejected(now);
        vms.keys().enumerate().filter(is_newly_ejected).map(|(_, vm)| vm.clone()).collect()
    }

    /// Occupies a slot of the best VM outside `avoid_racks`. Returns the VM and the number of
    /// candidates, or `None` if no slot is free or the grants have expired.
    fn pick(&self, avoid_racks: &[RackId], now: Timestamp) -> Option<(Arc<VmGate>, usize)> {
        if now.0 >= self.grant_expiry_ms.load(Ordering::Acquire) {
            return None;
        }
        let vms = self.vms.load();
        let mut candidates: Vec<_> =
            vms.values().map(|vm| vm.candidate(self.cfg.warm_up, now)).collect();
        for (candidate, vm) in candidates.iter_mut().zip(vms.values()) {
            candidate.excluded |= avoid_racks.contains(&vm.info.rack);
        }
        // Another thread may occupy the slot between the choice and the attempt to occupy it.
        while let Some(i) = route::pick(self.cfg.policy, &candidates, &mut rand::rng()) {
            if vms[i].acquire() {
                return Some((Arc::clone(&vms[i]), candidates.len()));
            }
            candidates[i].excluded = true;
        }
        None
    }

    fn new_permit(self: &Arc<Self>, picked: (Arc<VmGate>, usize), service: &ServiceId) -> Permit {
        Permit {
            vm: picked.0,
            pool: Arc::clone(self),
            service: service.clone(),
            started: Instant::now(),
            candidate_count: picked.1,
        }
    }

    /// Checks whether a request would be admitted now, without adding it to the queue.
    pub(crate) fn check(
        &self,
        service: &ServiceId,
        customer: &CustomerId,
        deadline: Timestamp,
    ) -> Result<(), Refusal> {
        let (ticket, arrived) = (Ticket(u64::MAX), clock::now());
        let waiting = WaitingRequest { ticket, customer: customer.clone(), deadline, arrived };
        self.lock().queue.check(service, &waiting)
    }

    /// Waits for a slot until the deadline. Only a request that need not wait avoids `avoid_racks`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        service: &ServiceId,
        customer: &CustomerId,
        deadline: Timestamp,
        avoid_racks: &[RackId],
    ) -> Result<Permit, Refusal> {
        let now = clock::now();
        let (queue_guard, rx) = {
            let mut state = self.lock();
            if state.queue.is_empty()
                && let Some(picked) = self.pick(avoid_racks, now)
            {
                state.queue.on_start(service);
                return Ok(self.new_permit(picked, service));
            }
            let ticket = Ticket(state.next_ticket);
            state.next_ticket += 1;
            let waiting =
                WaitingRequest { ticket, customer: customer.clone(), deadline, arrived: now };
            state.queue.enqueue(service, waiting)?;
            let (tx, rx) = oneshot::channel();
            state.senders.insert(ticket, tx);
            (QueueGuard { pool: self, service, customer, ticket }, rx)
        };
        let permit = tokio::select! {
            permit = rx => permit.ok(),
            () = tokio::time::sleep(clock::until(deadline)) => None,
        };
        drop(queue_guard);
        permit.ok_or(Refusal::TooLate)
    }

    /// Gives free slots to waiting requests until there are no more of either.
    pub(crate) fn dispatch_waiting(self: &Arc<Self>) {
        loop {
            let now = clock::now();
            let mut state = self.lock();
            if state.queue.is_empty() {
                return;
            }
            let mut too_late = Vec::new();
            let dispatched = self.dispatch_next(&mut state, now, &mut too_late);
            // A waiting request whose sender is dropped is refused as too late.
            let refused: Vec<_> = too_late.iter().map(|t| state.senders.remove(t)).collect();
            drop(state);
            drop(refused);
            let Some((permit, tx)) = dispatched else {
                return;
            };
            // If the caller has disconnected, the permit is dropped here, which dispatches once
            // more.
            drop(tx.map(|tx| tx.send(permit)));
        }
    }

    /// Gives a free slot to the next request; `None` if no slot is free or no request is left.
    fn dispatch_next(
        self: &Arc<Self>,
        state: &mut QueueState,
        now: Timestamp,
        too_late: &mut Vec<Ticket>,
    ) -> Option<(Permit, Option<oneshot::Sender<Permit>>)> {
        let picked = self.pick(&[], now)?;
        let Some((service, waiting)) = state.queue.dequeue(now, too_late) else {
            picked.0.release();
            return None;
        };
        state.queue.on_start(&service);
        let tx = state.senders.remove(&waiting.ticket);
        Some((self.new_permit(picked, &service), tx))
    }
}
