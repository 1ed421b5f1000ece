//! How long an order lives.
//!
//! An order names the time on its worker's clock at which everything dies that it has started or
//! prolonged. That time is fixed when the order is decided on, so it makes no difference how late the
//! order is sent or arrives. Every order dies by itself before the earliest moment at which anybody else
//! may start its task: the deadlines of orders, the leases and the wait of the next owner all follow from
//! [`CellConfig::order_life`].

use super::CellConfig;
use crate::Span;

/// Maximum percentage by which a worker's clock runs slower than true time.
pub(super) const CLOCK_DRIFT_PERCENT: u64 = 2;

/// How long a lease can last by a node's clock, in percent of its duration on the worker's clock, which
/// may be slow.
const LEASE_STRETCH_PERCENT: u64 = 100 + CLOCK_DRIFT_PERCENT + 1;

/// The least time by which a worker's clock advances in `elapsed` of true time. An order that counts on
/// more would outlive its lease by what the clock lags behind.
pub(super) fn least_advance(elapsed: Span) -> Span {
    Span(elapsed.0 * (100 - CLOCK_DRIFT_PERCENT) / 100)
}

/// Maximum percentage by which the clocks of two nodes run apart.
const NODE_DRIFT_PERCENT: u64 = 1;

/// The longest time on a node's clock that another node's clock shows as `elapsed`.
pub(super) fn longest_on_other_clock(elapsed: Span) -> Span {
    Span(elapsed.0.saturating_mul(100 + NODE_DRIFT_PERCENT) / 100)
}

impl CellConfig {
    /// How long an order, with everything that it starts or prolongs, lives at most by any node's clock,
    /// from the moment when it is decided on, if it reaches the worker instance that it is meant for.
    pub(super) fn order_life(&self) -> Span {
        Span(self.lease.0 * LEASE_STRETCH_PERCENT / 100)
    }

    /// The same from the moment when it arrives, whatever instance it reaches.
    pub(super) fn longest_lease(&self) -> Span {
        Span(self.max_lease.0 * LEASE_STRETCH_PERCENT / 100)
    }
}
