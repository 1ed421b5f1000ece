//! The node's lease in the store, and its renewal.
//!
//! All duties of the node depend on the lease, so its renewal must not wait behind the work that
//! the duties bring: a thread of its own renews it, over a connection of its own.

#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::{Logger, info, warn};
use teaselgap_core::{Span, Timestamp};
use teaselgap_platform::{
    client::Connections,
    store::{Store, StoreError},
    traffic::Traffic,
};

use super::repeat::{MAX_STORE_COPIES, Repeater};
use crate::clock;

/// How many times the lease is renewed within its time-to-live.
const RENEWALS_PER_TTL: u64 = 4;

/// The pause before a failed renewal is retried. It is short because the lease is short.
const RETRY_PAUSE: Span = Span(50);

/// The most renewals without an answer at a time.
const MAX_RENEWALS: usize = 4;

/// The stack of the thread that renews the lease.
const STACK_BYTES: usize = 256 * 1024;

/// How the lease is renewed.
#[derive(Clone, Copy, Debug)]
pub(super) struct RenewalConfig {
    /// The address of the store.
    pub(super) store: SocketAddr,
    /// The time-to-live of the lease.
    pub(super) ttl: Span,
    /// The lease is renewed only if the control thread has made progress within this time.
    pub(super) max_stall: Span,
}

/// The lease as it is known to both threads.
#[derive(Debug, Default)]
struct LeaseState {
    lease: Option<u64>,
    /// The time until which the lease is certainly valid.
    valid_until: Timestamp,
    /// When the node last reached the store.
    store_reached_at: Timestamp,
    /// When the control thread last made progress.
    progress_at: Timestamp,
    /// Whether the store no longer had the lease when it was to be renewed.
    has_expired: bool,
}

impl LeaseState {
    /// The lease that is to be renewed now; none while the control thread hangs.
    fn due(&self, max_stall: Span) -> Option<u64> {
        let is_stalled = clock::now() > self.progress_at + max_stall;
        self.lease.filter(|_| !is_stalled)
    }
}

/// What the control thread has to know about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseStatus {
    /// The node has this lease, as far as it knows.
    Held(u64),
    /// The store has lost the lease.
    Expired,
    /// The node has no lease.
    Missing,
}

/// Holds the node's lease and has it renewed.
#[derive(Debug)]
pub(super) struct LeaseRenewer {
    state: Arc<Mutex<LeaseState>>,
    traffic: Arc<Traffic>,
}

impl LeaseRenewer {
    /// Starts the thread that renews leases that are set later, until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(super) fn start(cfg: RenewalConfig, log: Logger) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(LeaseState::default()));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let traffic = Arc::new(Traffic::default());
        let shared = (Arc::clone(&state), Arc::clone(&traffic));
        std::thread::Builder::new()
            .name("lease".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || runtime.block_on(renew_repeatedly(cfg, shared, log)))?;
        Ok(Self { state, traffic })
    }

    /// Counts the bytes of this thread's calls, and of others that share it.
    pub(super) fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    fn lock(&self) -> MutexGuard<'_, LeaseState> {
        lock(&self.state)
    }

    /// The lease, if the node has one.
    pub(super) fn lease(&self) -> Option<u64> {
        self.lock().lease
    }

    /// Sets a lease that the store has just granted.
    pub(super) fn set(&self, lease: u64, valid_until: Timestamp) {
        let mut state = self.lock();
        state.lease = Some(lease);
        state.valid_until = valid_until;
        state.store_reached_at = clock::now();
    }

    /// Takes the lease, which is renewed no more.
    pub(super) fn take(&self) -> Option<u64> {
        self.lock().lease.take()
    }

    /// Returns the state of the lease; that it has expired is returned once.
    pub(super) fn poll(&self) -> LeaseStatus {
        let mut state = self.lock();
        if std::mem::take(&mut state.has_expired) {
            return LeaseStatus::Expired;
        }
        state.lease.map_or(LeaseStatus::Missing, LeaseStatus::Held)
    }

    /// The time until which the lease is certainly valid; zero before the first one.
    pub(super) fn valid_until(&self) -> Timestamp {
        self.lock().valid_until
    }

    /// When this node last reached the store.
    pub(super) fn store_reached_at(&self) -> Timestamp {
        self.lock().store_reached_at
    }

    /// Records that the control thread makes progress. A lease is not renewed for a control thread
    /// that hangs, so that other nodes can take its duties over.
    pub(super) fn record_progress(&self) {
        self.lock().progress_at = clock::now();
    }
}

fn lock(state: &Mutex<LeaseState>) -> MutexGuard<'_, LeaseState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Renews the lease at regular intervals, whether earlier renewals have been answered or not: on a full link,
/// answers come later than the next renewal is due.
async fn renew_repeatedly(
    cfg: RenewalConfig,
    (state, traffic): (Arc<Mutex<LeaseState>>, Arc<Traffic>),
    log: Logger,
) {
    let interval = Span(cfg.ttl.0 / RENEWALS_PER_TTL);
    // A later answer would prolong the lease by less than the time until the next one.
    let timeout = Span(cfg.ttl.0.saturating_sub(interval.0)).to_std();
    let connections = Connections::new(traffic).with_connect_timeout(timeout);
    let store = Store::new(cfg.store, Rc::new(connections));
    let repeater = Repeater::new(MAX_STORE_COPIES);
    let renew = async |lease| {
        // Counts from the first copy, which may be the only one that reaches the store.
        let sent_at = clock::now();
        (lease, sent_at, repeater.renew(&store, lease, timeout).await)
    };
    let mut renewals = FuturesUnordered::new();
    let mut next_at = clock::now();
    let mut is_failing = false;
    loop {
        tokio::select! {
            Some((lease, sent_at, result)) = renewals.next() => {
                apply(&mut lock(&state), lease, &result, sent_at + cfg.ttl);
                if result.is_err() {
                    next_at = next_at.min(clock::now() + RETRY_PAUSE);
                }
                if result.is_err() != is_failing {
                    is_failing = result.is_err();
                    match &result {
                        Ok(()) => info!(log, "lease calls succeed again"; "lease" => lease),
                        Err(err) => warn!(log, "lease calls fail"; "lease" => lease, "error" => %err),
                    }
                }
            }
            () = tokio::time::sleep(clock::until(next_at)), if renewals.len() < MAX_RENEWALS => {
                let due = lock(&state).due(cfg.max_stall);
                next_at = clock::now() + due.map_or(RETRY_PAUSE, |_| interval);
                renewals.extend(due.map(&renew));
            }
        }
    }
}

/// Applies the result of a renewal, unless another lease has been set or it was taken meanwhile.
fn apply(
    state: &mut LeaseState,
    lease: u64,
    result: &Result<(), StoreError>,
    valid_until: Timestamp,
) {
    if state.lease != Some(lease) {
        return;
    }
    match result {
        Ok(()) => {
            // Answers may overtake each other.
            state.valid_until = state.valid_until.max(valid_until);
            state.store_reached_at = clock::now();
        }
        Err(StoreError::NoLease) => {
            state.lease = None;
            state.valid_until = state.valid_until.min(clock::now());
            state.has_expired = true;
        }
        Err(_) => {}
    }
}
