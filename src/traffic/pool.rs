//! One pool as traffic threads see it: its VMs and the line of requests that wait for a slot.

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
    admit::{Queue, Refusal, Share, Ticket, WaitingRequest},
    eject::{self, Health},
    route::{self, Policy},
};
use tokio::sync::oneshot;

use super::VmGate;
use crate::clock;

/// What routing in a pool depends on.
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
    /// When the grants of slots end, in milliseconds of the monotonic clock.
    deadline: AtomicU64,
    line: Mutex<Line>,
}

#[derive(Debug, Default)]
struct Line {
    queue: Queue,
    waiting: HashMap<Ticket, oneshot::Sender<Permit>>,
    next_ticket: u64,
}

/// A slot of a VM, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) vm: Arc<VmGate>,
    pool: Arc<Pool>,
    service: ServiceId,
    started: Instant,
    /// How many VMs could have been picked, for the log.
    pub(crate) candidate_count: usize,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.vm.release();
        let took = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.pool.lock().queue.on_finish(&self.service, took);
        self.pool.grant_waiting();
    }
}

/// Takes a request out of the line if its caller goes away.
struct Place<'a> {
    pool: &'a Pool,
    service: &'a ServiceId,
    customer: &'a CustomerId,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut line = self.pool.lock();
        line.queue.remove(self.service, self.customer, self.ticket);
        // A permit that was sent but not received is dropped with the channel, outside the lock.
        let sender = line.waiting.remove(&self.ticket);
        drop(line);
        drop(sender);
    }
}

impl Pool {
    pub(crate) fn new(id: PoolId, cfg: PoolConfig) -> Self {
        Self {
            id,
            cfg,
            vms: ArcSwap::default(),
            deadline: AtomicU64::new(0),
            line: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Line> {
        self.line.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The VMs of the pool.
    pub(crate) fn vms(&self) -> Arc<IndexMap<VmId, Arc<VmGate>>> {
        self.vms.load_full()
    }

    pub(crate) fn set_vms(&self, vms: IndexMap<VmId, Arc<VmGate>>) {
        self.vms.store(Arc::new(vms));
    }

    /// Declares a service's share of the pool.
    pub(crate) fn set_share(&self, service: &ServiceId, share: Share) {
        self.lock().queue.set_share(service, share);
    }

    /// Slots that could be used now.
    pub(crate) fn demand(&self) -> u32 {
        self.lock().queue.demand()
    }

    /// Requests that wait now.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    /// The grants were renewed: `deadline` is when they end.
    pub(crate) fn set_deadline(self: &Arc<Self>, deadline: Timestamp) {
        self.deadline.store(deadline.0, Ordering::Release);
        let held: u32 = self.vms.load().values().map(|vm| vm.slots().0).sum();
        self.lock().queue.set_held(held);
        self.grant_waiting();
    }

    /// Ejects VMs that fail too often and readmits others after a while; returns those newly ejected.
    pub(crate) fn update_ejections(&self, now: Timestamp) -> Vec<VmId> {
        let vms = self.vms.load_full();
        let mut guards: Vec<_> = vms.values().map(|vm| vm.health()).collect();
        let before: Vec<bool> = guards.iter().map(|health| health.is_ejected(now)).collect();
        let mut refs: Vec<&mut Health> = guards.iter_mut().map(|guard| &mut **guard).collect();
        eject::update_ejections(&eject::Config::default(), &mut refs, now);
        let ejected = |(i, _): &(usize, &VmId)| !before[*i] && guards[*i].is_ejected(now);
        vms.keys().enumerate().filter(ejected).map(|(_, vm)| vm.clone()).collect()
    }

    /// Takes a slot of the best VM outside the racks in `avoid`; the VM and the number of candidates.
    fn pick(&self, avoid: &[RackId], now: Timestamp) -> Option<(Arc<VmGate>, usize)> {
        if now.0 >= self.deadline.load(Ordering::Acquire) {
            return None;
        }
        let vms = self.vms.load();
        let mut candidates: Vec<_> =
            vms.values().map(|vm| vm.candidate(self.cfg.warm_up, now)).collect();
        for (candidate, vm) in candidates.iter_mut().zip(vms.values()) {
            candidate.excluded |= avoid.contains(&vm.info.rack);
        }
        // Another thread may take the slot between the choice and the attempt to take it.
        while let Some(i) = route::pick(self.cfg.policy, &candidates, &mut rand::rng()) {
            if vms[i].acquire() {
                return Some((Arc::clone(&vms[i]), candidates.len()));
            }
            candidates[i].excluded = true;
        }
        None
    }

    fn permit(self: &Arc<Self>, picked: (Arc<VmGate>, usize), service: &ServiceId) -> Permit {
        Permit {
            vm: picked.0,
            pool: Arc::clone(self),
            service: service.clone(),
            started: Instant::now(),
            candidate_count: picked.1,
        }
    }

    /// Says whether a request would be let in now, without letting it in.
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

    /// Waits for a slot, at most until the deadline.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        service: &ServiceId,
        customer: &CustomerId,
        deadline: Timestamp,
        avoid: &[RackId],
    ) -> Result<Permit, Refusal> {
        let now = clock::now();
        let (place, rx) = {
            let mut line = self.lock();
            if line.queue.is_empty()
                && let Some(picked) = self.pick(avoid, now)
            {
                line.queue.on_start(service);
                return Ok(self.permit(picked, service));
            }
            let ticket = Ticket(line.next_ticket);
            line.next_ticket += 1;
            let waiting =
                WaitingRequest { ticket, customer: customer.clone(), deadline, arrived: now };
            line.queue.enqueue(service, waiting)?;
            let (tx, rx) = oneshot::channel();
            line.waiting.insert(ticket, tx);
            (Place { pool: self, service, customer, ticket }, rx)
        };
        let permit = tokio::select! {
            permit = rx => permit.ok(),
            () = tokio::time::sleep(clock::until(deadline)) => None,
        };
        drop(place);
        permit.ok_or(Refusal::TooLate)
    }

    /// Gives free slots to those who wait.
    pub(crate) fn grant_waiting(self: &Arc<Self>) {
        loop {
            let now = clock::now();
            let mut line = self.lock();
            if line.queue.is_empty() {
                return;
            }
            let mut too_late = Vec::new();
            let granted = self.grant_next(&mut line, now, &mut too_late);
            // Those whose channel is dropped learn that it is too late.
            let refused: Vec<_> = too_late.iter().map(|t| line.waiting.remove(t)).collect();
            drop(line);
            drop(refused);
            let Some((permit, tx)) = granted else {
                return;
            };
            // A caller that went away gives the permit back, which pumps again.
            drop(tx.map(|tx| tx.send(permit)));
        }
    }

    fn grant_next(
        self: &Arc<Self>,
        line: &mut Line,
        now: Timestamp,
        too_late: &mut Vec<Ticket>,
    ) -> Option<(Permit, Option<oneshot::Sender<Permit>>)> {
        let picked = self.pick(&[], now)?;
        let Some((service, waiting)) = line.queue.dequeue(now, too_late) else {
            picked.0.release();
            return None;
        };
        line.queue.on_start(&service);
        let tx = line.waiting.remove(&waiting.ticket);
        Some((self.permit(picked, &service), tx))
    }
}
