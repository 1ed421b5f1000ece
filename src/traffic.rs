//! The state that traffic threads share: the slots of each pool's VMs, and the queue of requests
//! that wait for them.
//!
//! The control thread publishes a [`Snapshot`] that traffic threads read without locks. A
//! [`VmGate`] admits this node's requests to one VM. It packs the number of slots that the node
//! holds on the VM and the number in use into one atomic word, so that a request that arrives while
//! the grant shrinks can't take a slot beyond the new grant.

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

/// A declared service, with state that is kept when its declaration changes.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) declaration: Arc<Declaration>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) budget: Arc<Mutex<RetryBudget>>,
}

/// The configuration and the view of the cluster at one time, as traffic threads need them.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) services: IndexMap<ServiceId, Service>,
    /// Whether this node has read the control items, from the store or from another node, and the
    /// VM list, so that it can serve requests.
    pub(crate) ready: bool,
    /// Node incarnations that are registered in the store.
    pub(crate) registered: HashSet<NodeIncarnation>,
    /// Whether the platform's store answers.
    pub(crate) store_reachable: bool,
    /// The content of `/-/status`, except the number of requests in flight and the bytes that wait
    /// for the journal, which the handler adds to each answer.
    pub(crate) status: serde_json::Value,
}

/// The state of the node that its traffic threads share.
#[derive(Debug)]
pub(crate) struct TrafficState {
    pub(crate) settings: Settings,
    pub(crate) node_incarnation: NodeIncarnation,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) journal: JournalClient,
    in_flight: AtomicU32,
    draining: AtomicBool,
}

impl TrafficState {
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

    /// Counts a new request as in flight. Returns `None` if the node already has as many requests
    /// in flight as its settings allow.
    pub(crate) fn try_start_request(self: &Arc<Self>) -> Option<InFlightGuard> {
        let count_before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let in_flight_guard = InFlightGuard(Arc::clone(self));
        (count_before < self.settings.limits.requests).then_some(in_flight_guard)
    }

    /// Number of requests that are in flight in this node.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Starts draining: `/readyz` fails and answers close their connections, so that callers and
    /// load balancers turn to other nodes.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<TrafficState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
