//! How long to wait for a page that the store may never send.

#[cfg(test)]
mod tests;

use std::time::Duration;

use teaselgap_platform::store::StoreError;

/// The timeout for pages whose size is known roughly. It doubles while pages get no answer, as they may be
/// larger than thought, and begins anew after the longest one, as a store that was silent answers soon
/// once it is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadTimeout {
    first: Duration,
    longest: Duration,
    current: Duration,
}

impl ReadTimeout {
    /// Begins with `first`, which is shortened to `longest`.
    pub(super) fn new(first: Duration, longest: Duration) -> Self {
        let first = first.min(longest);
        Self { first, longest, current: first }
    }

    /// How long the next page may take.
    pub(super) fn current(self) -> Duration {
        self.current
    }

    /// Notes that a page failed. A refusal says nothing about the time that pages take.
    pub(super) fn record_failure(&mut self, err: &StoreError) {
        if !matches!(err, StoreError::Uncertain(_)) {
            return;
        }
        let is_longest = self.current >= self.longest;
        self.current = if is_longest { self.first } else { self.longest.min(self.current * 2) };
    }
}
