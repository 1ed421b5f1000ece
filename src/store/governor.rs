//! Keeps all calls to the store within this node's share, the most vital first.
//!
//! Each kind of call draws on a budget that fills at the node's share of the configured rate. A
//! call of low priority waits until the budget is well filled, a vital one only until there is
//! anything, so that housekeeping never delays an intent. After several failures in a row the
//! circuit opens: calls fail at once, and one at a time tries the store after a jittered, growing
//! pause, so that nodes don't rush back together.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::RngExt;
use teaselgap_core::{Span, Timestamp};
use tokio::sync::mpsc;

use super::{Change, LeaseId, Priority, RangeResult, Store, StoreError, Transaction};
use crate::{clock, metrics::Metrics};

/// Failures in a row that open the circuit.
const MAX_FAILURES: u32 = 3;

/// The first pause of an open circuit, in milliseconds; each further one is twice as long.
const FIRST_PAUSE_MS: u64 = 100;

/// The longest pause, in milliseconds; it bounds how late a node notices that the store is back.
const LONGEST_PAUSE_MS: u64 = 1_000;

/// The part of the budget that is divided among the owners of the journal's partitions.
const JOURNAL_SHARE: f64 = 0.8;

/// How much may be saved up, as a part of a second.
const BURST_SECONDS: f64 = 0.25;

#[derive(Debug)]
struct Budget {
    per_second: f64,
    available: f64,
    filled: Timestamp,
}

impl Budget {
    fn new(per_second: f64) -> Self {
        Self { per_second, available: 1.0, filled: clock::now() }
    }

    fn capacity(&self) -> f64 {
        (self.per_second * BURST_SECONDS).max(2.0)
    }

    /// Takes one call out, or says how long to wait before asking again.
    fn take(&mut self, priority: Priority, now: Timestamp) -> Result<(), Duration> {
        let elapsed = now.since(self.filled).to_std().as_secs_f64();
        self.available = (self.available + elapsed * self.per_second).min(self.capacity());
        self.filled = now;
        let reserve = match priority {
            Priority::Vital => 1.0,
            Priority::Control => 1.0_f64.max(self.capacity() * 0.1),
            Priority::Background => 1.0_f64.max(self.capacity() * 0.5),
        };
        if self.available >= reserve {
            self.available -= 1.0;
            return Ok(());
        }
        let wait = Duration::from_secs_f64((reserve - self.available) / self.per_second);
        Err(wait.max(Duration::from_millis(1)))
    }
}

#[derive(Debug, Default)]
struct Circuit {
    failures: u32,
    /// While it lies ahead calls fail at once.
    closed_until: Option<Timestamp>,
}

#[derive(Debug)]
struct State {
    reads: Budget,
    writes: Budget,
    circuit: Circuit,
}

/// A store with a share, priorities and a circuit breaker in front of it.
pub(crate) struct Governor<S> {
    store: S,
    metrics: Metrics,
    /// Calls a second that all nodes together may make.
    total: (f64, f64),
    state: Mutex<State>,
}

#[derive(Clone, Copy)]
enum Kind {
    Read,
    Write,
}

impl<S> Governor<S> {
    /// Limits `store` to the whole share until [`Governor::set_share`] says how many share it.
    pub(crate) fn new(store: S, metrics: Metrics, writes: u32, reads: u32) -> Self {
        let total = (f64::from(writes), f64::from(reads));
        let state = State {
            reads: Budget::new(total.1),
            writes: Budget::new(total.0),
            circuit: Circuit::default(),
        };
        Self { store, metrics, total, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Divides the budget among `nodes`. Most of it goes to the owners of the journal's partitions,
    /// which do nearly all the writing; each node's waiting watch is a read of its own.
    pub(crate) fn set_share(&self, nodes: usize, owned: usize, partitions: usize) {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let ratio = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
        let share =
            JOURNAL_SHARE * ratio(owned, partitions) + (1.0 - JOURNAL_SHARE) * ratio(1, nodes);
        let mut state = self.state();
        state.writes.per_second = self.total.0 * share;
        state.reads.per_second = (self.total.1 * ratio(1, nodes) - 1.0).max(1.0);
    }

    /// Whether the last calls succeeded.
    pub(crate) fn is_reachable(&self) -> bool {
        self.state().circuit.failures < MAX_FAILURES
    }

    async fn admit(&self, kind: Kind, priority: Priority) -> Result<(), StoreError> {
        loop {
            let wait = {
                let now = clock::now();
                let mut state = self.state();
                if let Some(until) = state.circuit.closed_until {
                    if now < until {
                        return Err(StoreError::Unavailable("the circuit is open".to_owned()));
                    }
                    // This call tries the store; the others go on failing until it is back.
                    state.circuit.closed_until = Some(now + Span(LONGEST_PAUSE_MS));
                }
                let budget = match kind {
                    Kind::Read => &mut state.reads,
                    Kind::Write => &mut state.writes,
                };
                budget.take(priority, now)
            };
            match wait {
                Ok(()) => return Ok(()),
                Err(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    fn note<T>(&self, kind: &'static str, result: &Result<T, StoreError>) {
        let label = match result {
            Ok(_) => "ok",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::Uncertain(_)) => "uncertain",
        };
        self.metrics.store_call(kind, label);
        let circuit = &mut self.state().circuit;
        if result.is_ok() {
            *circuit = Circuit::default();
            return;
        }
        circuit.failures = circuit.failures.saturating_add(1);
        if circuit.failures >= MAX_FAILURES {
            let doublings = (circuit.failures - MAX_FAILURES).min(8);
            let pause = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
            let jittered = rand::rng().random_range(pause / 2..=pause);
            circuit.closed_until = Some(clock::now() + Span(jittered));
        }
    }
}

#[tonic::async_trait]
impl<S: Store> Store for Governor<S> {
    async fn range(
        &self,
        start: &str,
        end: &str,
        limit: u32,
        priority: Priority,
    ) -> Result<RangeResult, StoreError> {
        self.admit(Kind::Read, priority).await?;
        let result = self.store.range(start, end, limit, priority).await;
        self.note("range", &result);
        result
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        priority: Priority,
    ) -> Result<Option<u64>, StoreError> {
        self.admit(Kind::Write, priority).await?;
        let result = self.store.transact(transaction, priority).await;
        self.note("transact", &result);
        result
    }

    async fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        self.admit(Kind::Write, Priority::Vital).await?;
        let result = self.store.grant(ttl).await;
        self.note("grant", &result);
        result
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        // A renewal writes nothing that the store must agree on.
        self.admit(Kind::Read, Priority::Vital).await?;
        let result = self.store.keep_alive(lease).await;
        self.note("keep-alive", &result);
        result
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit(Kind::Write, Priority::Vital).await?;
        let result = self.store.revoke(lease).await;
        self.note("revoke", &result);
        result
    }

    async fn watch(
        &self,
        prefix: &str,
        from: u64,
        tx: mpsc::Sender<Vec<Change>>,
    ) -> Result<(), StoreError> {
        self.admit(Kind::Read, Priority::Control).await?;
        let result = self.store.watch(prefix, from, tx).await;
        self.note("watch", &result);
        result
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn drained(priority: Priority, per_second: f64, seconds: u64) -> u32 {
        let mut budget = Budget { per_second, available: 0.0, filled: Timestamp(0) };
        let mut taken = 0;
        for ms in 0..seconds * 1_000 {
            while budget.take(priority, Timestamp(ms)).is_ok() {
                taken += 1;
            }
        }
        taken
    }

    #[test]
    fn a_budget_is_never_exceeded() {
        let taken = drained(Priority::Vital, 50.0, 10);

        assert!((490..=500).contains(&taken), "{taken}");
    }

    #[test]
    fn housekeeping_leaves_a_reserve_for_vital_calls() {
        let mut budget = Budget { per_second: 40.0, available: 10.0, filled: Timestamp(0) };

        while budget.take(Priority::Background, Timestamp(0)).is_ok() {}

        assert!(budget.take(Priority::Vital, Timestamp(0)).is_ok());
    }
}
