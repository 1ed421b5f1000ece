//! Limits this node's calls to the store to its share of the configured rates, and stops calling a
//! store that fails.
//!
//! Reads and writes each have a token bucket that fills at the node's share of the rate. A call of
//! low priority waits until the bucket is well filled, a vital one only until it holds one token,
//! so that background work hardly delays an intent. As vital calls may use up the rate for as long
//! as clients send requests, each lower priority is sure of a small part of it: after some calls
//! have passed one that waits, the next token is kept for it.
//!
//! After several failures in a row the circuit breaker opens: calls fail at once, and only one at a
//! time tries the store after a growing pause. The pause is jittered, so that the nodes don't all
//! return to the store at the same time.

#[cfg(test)]
mod tests;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::RngExt;
use teaselgap_core::{Span, Timestamp};
use tokio::sync::mpsc;

use super::{Change, LeaseId, Priority, RangeResult, Store, StoreError, Transaction};
use crate::{clock, metrics::Metrics};

/// Failures in a row that open the circuit breaker.
const MAX_FAILURES: u32 = 3;

/// The first pause of an open circuit breaker, in milliseconds; each further one is twice as long.
const FIRST_PAUSE_MS: u64 = 100;

/// The longest pause, in milliseconds; it bounds how late a node notices that the store has
/// recovered.
const MAX_PAUSE_MS: u64 = 1_000;

/// The part of the write rate that is divided among the owners of the journal's partitions.
const JOURNAL_SHARE: f64 = 0.8;

/// The capacity of a token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 0.25;

/// Calls that may pass waiting calls of control before the next token is kept for one of them.
const MAX_PASSED_CONTROL: u32 = 9;

/// Calls that may pass waiting background calls before the next token is kept for one of them.
const MAX_PASSED_BACKGROUND: u32 = 19;

/// How much longer than asked a waiting call may take to try again before it counts as gone, in
/// milliseconds.
const RETRY_GRACE: Span = Span(250);

/// The waiting calls of a priority below vital.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingCalls {
    /// When the calls that wait have tried again at the latest; there are none after that.
    retry_deadline: Timestamp,
    /// Calls of other priorities that took a token since one of these had to wait.
    passed: u32,
}

/// A token bucket; each call takes one token.
#[derive(Debug)]
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled: Timestamp,
    control: WaitingCalls,
    background: WaitingCalls,
}

impl TokenBucket {
    fn new(per_second: f64) -> Self {
        Self {
            per_second,
            tokens: 1.0,
            refilled: clock::now(),
            control: WaitingCalls::default(),
            background: WaitingCalls::default(),
        }
    }

    fn capacity(&self) -> f64 {
        (self.per_second * BURST_SECONDS).max(2.0)
    }

    /// Takes a token, or returns how long to wait before the next attempt.
    ///
    /// The lower the priority, the more tokens the bucket must hold, until enough calls have passed
    /// this one.
    fn try_take(&mut self, priority: Priority, now: Timestamp) -> Result<(), Duration> {
        let elapsed = now.since(self.refilled).to_std().as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.capacity());
        self.refilled = now;
        let required = self.required_tokens(priority, now);
        if self.tokens >= required {
            self.tokens -= 1.0;
            self.count_passed(priority, now);
            return Ok(());
        }
        let wait = Duration::from_secs_f64((required - self.tokens) / self.per_second);
        let wait = wait.max(Duration::from_millis(1));
        if let Some(waiting) = self.waiting(priority) {
            let wait = Span(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
            waiting.retry_deadline = waiting.retry_deadline.max(now + wait + RETRY_GRACE);
        }
        Err(wait)
    }

    /// The tokens that the bucket must hold for a call of this priority.
    fn required_tokens(&self, priority: Priority, now: Timestamp) -> f64 {
        let control_is_due = self.control.are_due(MAX_PASSED_CONTROL, now);
        let background_is_due = self.background.are_due(MAX_PASSED_BACKGROUND, now);
        let reserve = if control_is_due || background_is_due { 1.0 } else { 0.0 };
        match priority {
            Priority::Control if control_is_due => 1.0,
            Priority::Background if background_is_due => 1.0,
            Priority::Vital => 1.0 + reserve,
            Priority::Control => (self.capacity() * 0.1).max(1.0 + reserve),
            Priority::Background => (self.capacity() * 0.5).max(1.0 + reserve),
        }
    }

    /// Counts a call that took a token.
    fn count_passed(&mut self, priority: Priority, now: Timestamp) {
        for other in [Priority::Control, Priority::Background] {
            let Some(waiting) = self.waiting(other) else {
                continue;
            };
            let passes = other != priority && now <= waiting.retry_deadline;
            waiting.passed = if passes { waiting.passed + 1 } else { 0 };
        }
    }

    /// The waiting calls of a priority; `None` for vital calls, which nothing passes for long.
    fn waiting(&mut self, priority: Priority) -> Option<&mut WaitingCalls> {
        match priority {
            Priority::Control => Some(&mut self.control),
            Priority::Background => Some(&mut self.background),
            Priority::Vital => None,
        }
    }
}

impl WaitingCalls {
    /// Whether the next token is kept for one of these calls.
    fn are_due(self, max_passed: u32, now: Timestamp) -> bool {
        self.passed >= max_passed && now <= self.retry_deadline
    }
}

/// The state of the circuit breaker.
#[derive(Debug, Default)]
struct CircuitBreaker {
    /// Failed calls since the last success.
    failures: u32,
    /// Calls before this time fail at once; `None` while the circuit breaker is closed.
    open_until: Option<Timestamp>,
}

#[derive(Debug)]
struct GovernorState {
    reads: TokenBucket,
    writes: TokenBucket,
    circuit: CircuitBreaker,
}

/// A store whose calls are limited in rate, by priority, and by a circuit breaker.
pub(crate) struct Governor<S> {
    store: S,
    metrics: Metrics,
    /// Writes and reads per second that all nodes together may make.
    total_rates: (f64, f64),
    state: Mutex<GovernorState>,
}

#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

impl<S> Governor<S> {
    /// Limits the calls to `store` to the given writes and reads per second, which this node has to
    /// itself until [`Governor::set_share`] sets its share of them.
    pub(crate) fn new(store: S, metrics: Metrics, writes: u32, reads: u32) -> Self {
        let total_rates = (f64::from(writes), f64::from(reads));
        let state = GovernorState {
            reads: TokenBucket::new(total_rates.1),
            writes: TokenBucket::new(total_rates.0),
            circuit: CircuitBreaker::default(),
        };
        Self { store, metrics, total_rates, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, GovernorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets this node's share of the rates by the number of nodes and by how many of the journal's
    /// partitions this node owns.
    ///
    /// Most of the write rate goes to the owners of partitions, which do nearly all the writing. A
    /// node's open watch counts as one read per second.
    pub(crate) fn set_share(&self, nodes: usize, owned: usize, partitions: usize) {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let ratio = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
        let share =
            JOURNAL_SHARE * ratio(owned, partitions) + (1.0 - JOURNAL_SHARE) * ratio(1, nodes);
        let mut state = self.state();
        state.writes.per_second = self.total_rates.0 * share;
        state.reads.per_second = (self.total_rates.1 * ratio(1, nodes) - 1.0).max(1.0);
    }

    /// Whether fewer than `MAX_FAILURES` calls in a row have failed.
    pub(crate) fn is_reachable(&self) -> bool {
        self.state().circuit.failures < MAX_FAILURES
    }

    /// Waits until a call may be made; fails if the circuit breaker is open.
    async fn admit(&self, kind: CallKind, priority: Priority) -> Result<(), StoreError> {
        let asked = Instant::now();
        loop {
            let wait = {
                let now = clock::now();
                let mut state = self.state();
                if state.circuit.open_until.is_some_and(|open_until| now < open_until) {
                    return Err(StoreError::Unavailable("the circuit breaker is open".to_owned()));
                }
                let bucket = match kind {
                    CallKind::Read => &mut state.reads,
                    CallKind::Write => &mut state.writes,
                };
                let taken = bucket.try_take(priority, now);
                if taken.is_ok() && state.circuit.open_until.is_some() {
                    // This call tries the store. The others fail until it succeeds or the new pause
                    // ends.
                    state.circuit.open_until = Some(now + Span(MAX_PAUSE_MS));
                }
                taken
            };
            match wait {
                Ok(()) => {
                    let waited = asked.elapsed().as_secs_f64();
                    self.metrics.record_store_wait(priority.label(), waited);
                    return Ok(());
                }
                Err(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    /// Counts a call in the metrics, and opens or closes the circuit breaker by its result.
    fn record_result<T>(&self, call: &'static str, result: &Result<T, StoreError>) {
        let label = match result {
            Ok(_) => "ok",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::Uncertain(_)) => "uncertain",
        };
        self.metrics.record_store_call(call, label);
        let circuit = &mut self.state().circuit;
        if result.is_ok() {
            *circuit = CircuitBreaker::default();
            return;
        }
        circuit.failures = circuit.failures.saturating_add(1);
        if circuit.failures >= MAX_FAILURES {
            let doublings = (circuit.failures - MAX_FAILURES).min(8);
            let pause = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
            let jittered = rand::rng().random_range(pause / 2..=pause);
            circuit.open_until = Some(clock::now() + Span(jittered));
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
        self.admit(CallKind::Read, priority).await?;
        let result = self.store.range(start, end, limit, priority).await;
        self.record_result("range", &result);
        result
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        priority: Priority,
    ) -> Result<Option<u64>, StoreError> {
        self.admit(CallKind::Write, priority).await?;
        let result = self.store.transact(transaction, priority).await;
        self.record_result("transact", &result);
        result
    }

    async fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        self.admit(CallKind::Write, Priority::Vital).await?;
        let result = self.store.grant(ttl).await;
        self.record_result("grant", &result);
        result
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        // A renewal counts as a read, because the store's nodes need no consensus on it.
        self.admit(CallKind::Read, Priority::Vital).await?;
        let result = self.store.keep_alive(lease).await;
        self.record_result("keep-alive", &result);
        result
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.admit(CallKind::Write, Priority::Vital).await?;
        let result = self.store.revoke(lease).await;
        self.record_result("revoke", &result);
        result
    }

    async fn watch(
        &self,
        prefix: &str,
        from: u64,
        tx: mpsc::Sender<Vec<Change>>,
    ) -> Result<(), StoreError> {
        self.admit(CallKind::Read, Priority::Control).await?;
        let result = self.store.watch(prefix, from, tx).await;
        self.record_result("watch", &result);
        result
    }
}
