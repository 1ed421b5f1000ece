//! Calls that are sent again, over another connection, while no answer comes.
//!
//! Only for calls that have the same effect however often, and however late, they are executed.
//! A lost answer then costs as long as an answer usually takes, and not the timeout of the call.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use teaselgap_core::{
    Span, Timestamp,
    job::{AnswerOrder, RetransmitTimer},
};
use teaselgap_platform::store::{Outcome, Store, StoreError, Transaction};

use crate::clock;

/// The most copies of a call that are sent to the store.
pub(super) const MAX_STORE_COPIES: u32 = 4;

/// The most copies of an order that are sent to a worker. While workers don't answer, each copy
/// holds a socket until it times out.
pub(super) const MAX_ORDER_COPIES: u32 = 3;

/// How often a call whose copy waits for the link is looked at again.
const LINK_CHECK_INTERVAL: Span = Span(10);

/// Sends calls to one kind of service again. Use it within one thread.
#[derive(Debug)]
pub(super) struct Repeater {
    max_copies: u32,
    timer: RefCell<RetransmitTimer>,
    /// For calls that may fill this node's link: in which order they are answered.
    answer_order: Option<RefCell<AnswerOrder>>,
    /// Number of copies beyond the first of each call.
    repeats: Cell<u64>,
}

/// The result of a call of which several copies may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Repeated<T> {
    pub(super) result: T,
    /// Whether a copy that was sent has no result: it may be executed later.
    pub(super) has_open_copy: bool,
}

/// The copies of a call that have no result yet.
#[derive(Debug)]
struct Copies<C> {
    in_flight: FuturesUnordered<C>,
    /// Whether one has ended with an uncertain result.
    has_uncertain: bool,
}

impl<C> Default for Copies<C> {
    fn default() -> Self {
        Self { in_flight: FuturesUnordered::new(), has_uncertain: false }
    }
}

impl Repeater {
    /// Sends each call at most `max_copies` times.
    pub(super) fn new(max_copies: u32) -> Self {
        Self { max_copies, timer: RefCell::default(), answer_order: None, repeats: Cell::new(0) }
    }

    /// Sends start orders to workers again, but not while they probably wait in this node's link.
    pub(super) fn for_orders() -> Self {
        Self { answer_order: Some(RefCell::default()), ..Self::new(MAX_ORDER_COPIES) }
    }

    /// Whether a call that was sent at `sent` probably waits in this node's link.
    fn may_wait_in_link(&self, sent: Timestamp) -> bool {
        let order = self.answer_order.as_ref();
        order.is_some_and(|order| order.borrow().may_wait_in_link(sent, clock::now()))
    }

    /// Records how long an answer took.
    fn record(&self, sent: Timestamp) {
        let now = clock::now();
        self.timer.borrow_mut().record(now.since(sent));
        if let Some(order) = &self.answer_order {
            order.borrow_mut().record(sent, now);
        }
    }

    /// The number of times that a call was sent again.
    pub(super) fn repeats(&self) -> u64 {
        self.repeats.get()
    }

    /// Executes a transaction that takes effect at most once, because its conditions don't hold any
    /// more after it has. A conflict may come from an earlier copy of the transaction.
    pub(super) async fn transact(
        &self,
        store: &Store,
        txn: &Transaction,
    ) -> Result<Outcome, StoreError> {
        self.call_store(|| store.transact(txn)).await
    }

    /// Requests a lease. Copies whose answers were lost leave leases behind, which expire.
    pub(super) async fn grant(
        &self,
        store: &Store,
        ttl: Duration,
    ) -> Result<(u64, Duration), StoreError> {
        self.call_store(|| store.grant(ttl)).await
    }

    /// Renews a lease.
    pub(super) async fn renew(
        &self,
        store: &Store,
        lease: u64,
        timeout: Duration,
    ) -> Result<(), StoreError> {
        self.call_store(|| store.renew(lease, timeout)).await
    }

    /// Sends copies of a call to the store until one has a definite answer. If all fail, the error
    /// tells whether one may have taken effect.
    async fn call_store<T, F>(&self, call: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let is_definite = |result: &Result<T, StoreError>| {
            !matches!(result, Err(StoreError::Unavailable(_) | StoreError::Uncertain(_)))
        };
        let is_uncertain =
            |result: &Result<T, StoreError>| matches!(result, Err(StoreError::Uncertain(_)));
        self.call(call, is_definite, is_uncertain).await.result
    }

    /// Sends copies of a call until one has a definite result. The time between two copies doubles.
    /// If no copy has a definite result, an uncertain one stands for all.
    pub(super) async fn call<T, F>(
        &self,
        call: impl Fn() -> F,
        is_definite: impl Fn(&T) -> bool,
        is_uncertain: impl Fn(&T) -> bool,
    ) -> Repeated<T>
    where
        F: Future<Output = T>,
    {
        let timed = || async {
            let sent_at = clock::now();
            (sent_at, call().await)
        };
        let copies = &mut Copies::default();
        self.first_result(timed, copies, (&is_definite, &is_uncertain)).await
    }

    /// Like [`Repeater::call`], but passes the result on as soon as it is known and goes on to wait for the other
    /// copies. Returns whether each copy that was sent has a result that isn't uncertain.
    pub(super) async fn call_all<T, F>(
        &self,
        call: impl Fn() -> F,
        is_definite: impl Fn(&T) -> bool,
        is_uncertain: impl Fn(&T) -> bool,
        on_result: impl FnOnce(Repeated<T>),
    ) -> bool
    where
        F: Future<Output = T>,
    {
        let timed = || async {
            let sent_at = clock::now();
            (sent_at, call().await)
        };
        let mut copies = Copies::default();
        on_result(self.first_result(timed, &mut copies, (&is_definite, &is_uncertain)).await);
        while let Some((_, result)) = copies.in_flight.next().await {
            copies.has_uncertain |= is_uncertain(&result);
        }
        !copies.has_uncertain
    }

    /// Sends copies of a call, which stay in `copies`, until one has a definite result.
    async fn first_result<T, C>(
        &self,
        call: impl Fn() -> C,
        copies: &mut Copies<C>,
        (is_definite, is_uncertain): (impl Fn(&T) -> bool, impl Fn(&T) -> bool),
    ) -> Repeated<T>
    where
        C: Future<Output = (Timestamp, T)>,
    {
        copies.in_flight.push(call());
        let mut sent = 1;
        let mut pause = self.timer.borrow().timeout();
        let mut last_sent = clock::now();
        let mut next_copy_at = last_sent + pause;
        let mut failure: Option<T> = None;
        loop {
            tokio::select! {
                Some((sent_at, result)) = copies.in_flight.next() => {
                    if is_definite(&result) {
                        self.record(sent_at);
                        let has_open_copy = copies.has_uncertain || !copies.in_flight.is_empty();
                        return Repeated { result, has_open_copy };
                    }
                    copies.has_uncertain |= is_uncertain(&result);
                    let result = failure.take().filter(&is_uncertain).unwrap_or(result);
                    if copies.in_flight.is_empty() {
                        return Repeated { result, has_open_copy: false };
                    }
                    failure = Some(result);
                }
                () = tokio::time::sleep(clock::until(next_copy_at)), if sent < self.max_copies => {
                    if self.may_wait_in_link(last_sent) {
                        next_copy_at = clock::now() + LINK_CHECK_INTERVAL;
                        continue;
                    }
                    copies.in_flight.push(call());
                    sent += 1;
                    self.repeats.set(self.repeats.get() + 1);
                    pause = Span(pause.0 * 2);
                    last_sent = clock::now();
                    next_copy_at = last_sent + pause;
                }
            }
        }
    }
}
