//! The processor capacity that a cell can count on in the next seconds.

#[cfg(test)]
mod tests;

use super::super::Outlook;
use crate::Span;

/// A processor time, in thousandths of a core times milliseconds.
pub(super) type MilliCoreMillis = u64;

/// The capacity over time: what the workers have now, then with the VMs that are on their way, then
/// with all that the fleet can give. It is given in thousandths of a core and never falls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CapacityForecast {
    /// From how long after now on each capacity is there, in ascending order.
    stages: [(Span, u64); 3],
}

impl CapacityForecast {
    /// A capacity that does not change.
    pub(super) fn constant(milli: u64) -> Self {
        Self { stages: [(Span(0), milli); 3] }
    }

    /// The capacity of a pool to which the fleet can add VMs. Those on their way have, on average,
    /// half of it behind them.
    pub(super) fn from_outlook(current_milli: u64, outlook: Outlook) -> Self {
        let coming_milli = current_milli.max(outlook.coming_milli);
        let most_milli = coming_milli.max(outlook.most_milli);
        let lead = outlook.lead;
        Self {
            stages: [
                (Span(0), current_milli),
                (Span(lead.0 / 2), coming_milli),
                (lead, most_milli),
            ],
        }
    }

    /// The capacity that is left beside work that takes `milli` all the time.
    pub(super) fn without(self, milli: u64) -> Self {
        let left = |(from, total): (Span, u64)| (from, total.saturating_sub(milli));
        Self { stages: self.stages.map(left) }
    }

    /// Whether there will be any capacity.
    pub(super) fn is_positive(&self) -> bool {
        self.stages.iter().any(|(_, milli)| *milli > 0)
    }

    /// How long this work takes, if nothing else is done; the longest span if it is never done.
    pub(super) fn time_for(&self, work: MilliCoreMillis) -> Span {
        let ends = self.stages.iter().skip(1).map(|(from, _)| *from);
        let mut left = work;
        for ((from, milli), end) in self.stages.iter().zip(ends.chain([Span(u64::MAX)])) {
            let possible = milli.saturating_mul(end.0 - from.0);
            if left <= possible {
                return Span(from.0 + left.checked_div(*milli).unwrap_or(0));
            }
            left -= possible;
        }
        Span(u64::MAX)
    }
}
