//! What traffic threads share: the slots of each pool's VMs and the queues in front of them.
//!
//! The control thread publishes a [`Snapshot`] that traffic threads read without locks. A VM's gate
//! packs the slots that this node holds and those it occupies into one atomic word, so that no
//! interleaving of a smaller grant and a new request exceeds what was granted.

mod gate;
mod pool;

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use slog::Logger;
use teaselgap_core::{ServiceId, declare::Declaration, duty::NodeIncarnation, retry::RetryBudget};

pub(crate) use self::{
    gate::{Connection, VmGate, VmInfo},
    pool::{Permit, Pool, PoolConfig},
};
use crate::{journal::JournalClient, metrics::Metrics, settings::Settings};

/// A declared service with the state that outlives its declaration's changes.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) declaration: Arc<Declaration>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) budget: Arc<Mutex<RetryBudget>>,
}

/// What traffic needs to know, at one point in time.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) services: IndexMap<ServiceId, Service>,
    /// Whether the node has a configuration and a view of the fleet.
    pub(crate) ready: bool,
    /// Incarnations of nodes that are registered in the store.
    pub(crate) registered: HashSet<NodeIncarnation>,
    /// Whether the platform's store answers.
    pub(crate) store_reachable: bool,
    /// What `/-/status` shows.
    pub(crate) status: serde_json::Value,
}

/// Everything that a traffic thread needs.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) node_incarnation: NodeIncarnation,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) journal: JournalClient,
    in_flight: AtomicU32,
    draining: AtomicBool,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        node_incarnation: NodeIncarnation,
        log: Logger,
        metrics: Metrics,
        journal: JournalClient,
    ) -> Self {
        Self {
            settings,
            node_incarnation,
            log,
            metrics,
            snapshot: ArcSwap::default(),
            journal,
            in_flight: AtomicU32::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Counts a request in; `None` if there are too many.
    pub(crate) fn try_enter(self: &Arc<Self>) -> Option<InFlightGuard> {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let in_flight_guard = InFlightGuard(Arc::clone(self));
        (before < self.settings.limits.requests).then_some(in_flight_guard)
    }

    /// Requests in this node now.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// From now on the node tells the balancer to send requests elsewhere.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// Counts a request for as long as it is in the node.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
