//! Calls to the store that are sent again, over another connection, while no answer comes.
//!
//! Only for calls that have the same effect however often, and however late, they are executed.
//! A lost answer then costs as long as the store usually takes, and not the timeout of the call.

#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use teaselgap_core::{Span, job::RetransmitTimer};
use teaselgap_platform::store::{Outcome, Store, StoreError, Transaction};

use crate::clock;

/// The most copies of a call that are sent.
const MAX_COPIES: u32 = 4;

/// Sends calls to the store again. Use it within one thread.
#[derive(Debug, Default)]
pub(super) struct Repeater {
    timer: RefCell<RetransmitTimer>,
    /// Number of copies beyond the first of each call.
    repeats: Cell<u64>,
}

impl Repeater {
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
        self.call(|| store.transact(txn)).await
    }

    /// Requests a lease. Copies whose answers were lost leave leases behind, which expire.
    pub(super) async fn grant(
        &self,
        store: &Store,
        ttl: Duration,
    ) -> Result<(u64, Duration), StoreError> {
        self.call(|| store.grant(ttl)).await
    }

    /// Renews a lease.
    pub(super) async fn renew(
        &self,
        store: &Store,
        lease: u64,
        timeout: Duration,
    ) -> Result<(), StoreError> {
        self.call(|| store.renew(lease, timeout)).await
    }

    /// Sends copies of a call until one has a definite answer. The time between two copies doubles.
    /// If all fail, the error tells whether one may have taken effect.
    async fn call<T, F>(&self, call: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let timed = async || {
            let sent_at = clock::now();
            (sent_at, call().await)
        };
        let mut copies = FuturesUnordered::new();
        copies.push(timed());
        let mut sent = 1;
        let mut pause = self.timer.borrow().timeout();
        let mut next_copy_at = clock::now() + pause;
        let mut failure = None;
        loop {
            let may_repeat = sent < MAX_COPIES;
            tokio::select! {
                Some((sent_at, result)) = copies.next() => match result {
                    Err(err @ (StoreError::Unavailable(_) | StoreError::Uncertain(_))) => {
                        failure = Some(more_uncertain(failure, err));
                    }
                    definite => {
                        self.timer.borrow_mut().record(clock::now().since(sent_at));
                        return definite;
                    }
                },
                () = tokio::time::sleep(clock::until(next_copy_at)), if may_repeat => {
                    copies.push(timed());
                    sent += 1;
                    self.repeats.set(self.repeats.get() + 1);
                    pause = Span(pause.0 * 2);
                    next_copy_at = clock::now() + pause;
                }
            }
            if copies.is_empty()
                && let Some(failure) = failure.take()
            {
                return Err(failure);
            }
        }
    }
}

/// The error for copies of a call that have failed with these errors: if one of them may have taken
/// effect, the call may have.
fn more_uncertain(earlier: Option<StoreError>, err: StoreError) -> StoreError {
    match earlier {
        Some(earlier @ StoreError::Uncertain(_)) => earlier,
        _ => err,
    }
}
