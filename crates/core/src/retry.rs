//! Decides whether a failed attempt may be retried.
//!
//! A retry must be safe, able to end before the deadline, and covered by the service's retry
//! budget. Each first attempt adds a tenth of a retry to the budget, so retries add at most a tenth
//! to the load however many attempts fail. The budget is capped, so that an hour of low load cannot
//! pay for a retry storm.

#[cfg(test)]
mod tests;

use crate::{Span, Timestamp};

/// The price of one retry, in tenths of a retry; integers keep the budget exact.
const RETRY_COST: u32 = 10;

/// The largest balance of a budget, in tenths of a retry.
const MAX_BALANCE: u32 = 10 * RETRY_COST;

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No backend server can have acted on any byte of the request.
    NotRun,
    /// The backend server may have run the request.
    Unknown,
}

/// The retries that a service may still make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// In tenths of a retry.
    balance: u32,
}

impl Default for RetryBudget {
    /// A full budget, so that the first failures of a service can be retried.
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Adds a tenth of a retry to the budget, for one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + 1).min(MAX_BALANCE);
    }

    /// Takes the price of one retry from the budget; false if the balance does not cover it.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}

/// Whether a retry is safe and can end before `deadline`.
///
/// `expected` is the expected duration of one attempt. Any request may be retried if the failed
/// attempt did not run; one that may have run only if it is idempotent.
#[must_use]
pub fn may_retry(
    failure: Failure,
    idempotent: bool,
    deadline: Timestamp,
    expected: Span,
    now: Timestamp,
) -> bool {
    let is_safe = idempotent || failure == Failure::NotRun;
    is_safe && now + expected < deadline
}
