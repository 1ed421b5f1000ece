//! Whether a failed attempt may be repeated.
//!
//! A repeat must be safe, in time and paid for. The budget is per service: each first attempt pays
//! in a tenth of a repeat, so repeats add at most a tenth to the load however much fails. The
//! deposit is capped, so a quiet hour does not save up for a storm.

use crate::{Span, Timestamp};

/// Tenths of a repeat; integers keep the budget exact.
const COST: u32 = 10;

/// Most repeats that can be saved up.
const MAX_SAVED: u32 = 10 * COST;

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request can have been acted on.
    NotRun,
    /// The backend server may have run the request.
    Unknown,
}

/// Repeats that a service may still make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    /// A service starts with what can be saved up, so that its first failures can be repeated.
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + 1).min(MAX_SAVED);
    }

    /// Takes the price of one repeat, if it is there.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < COST {
            return false;
        }
        self.saved -= COST;
        true
    }
}

/// Whether a repeat is safe and in time.
///
/// `expected` is how long an attempt usually takes.
#[must_use]
pub fn may_retry(
    failure: Failure,
    idempotent: bool,
    deadline: Timestamp,
    expected: Span,
    now: Timestamp,
) -> bool {
    let safe = idempotent || failure == Failure::NotRun;
    safe && now + expected < deadline
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn a_request_that_may_have_run_is_repeated_only_if_idempotent() {
        let ask = |failure, idempotent| {
            may_retry(failure, idempotent, Timestamp(100), Span(10), Timestamp(0))
        };

        assert!(ask(Failure::NotRun, false));
        assert!(!ask(Failure::Unknown, false));
        assert!(ask(Failure::Unknown, true));
    }

    #[test]
    fn a_repeat_that_could_not_end_in_time_is_not_made() {
        assert!(!may_retry(Failure::NotRun, true, Timestamp(100), Span(10), Timestamp(90)));
    }

    proptest! {
        #[test]
        fn while_everything_fails_the_load_stays_under_a_tenth_more(
            quiet in 0..10_000_u32, offered in 200..5_000_u32,
        ) {
            let mut budget = RetryBudget::default();
            (0..quiet).for_each(|_| budget.deposit());
            let mut repeats = 0;
            for _ in 0..offered {
                budget.deposit();
                while budget.withdraw() {
                    repeats += 1;
                }
            }
            prop_assert!(repeats <= offered / 10 + 10);
        }
    }
}
