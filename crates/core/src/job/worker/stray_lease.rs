//! The lease that an instance of a worker may have got from a call that was meant for another one.
//!
//! A call names the end of a lease on the clock of the instance that it is meant for. An instance that has
//! just started carries out the calls to those before it, and takes that time for one of its own clock, on
//! which it may be far ahead. So any of them may give it the longest lease, until it has carried out a call
//! that outranks them all. A lease is never shortened, and applies to all runs.

#[cfg(test)]
mod tests;

use super::UNANSWERED_START_LIFETIME;
use crate::{Span, Timestamp};

/// Longest time after which a call that got no answer may still be carried out.
pub(super) const LATE_CALL_LIFETIME: Span = UNANSWERED_START_LIFETIME;

/// The calls that were meant for other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Calls {
    /// None is carried out any more.
    Outranked,
    /// They are outranked in the instance of this name, as the owner before has recorded.
    OutrankedIn(u64),
    /// Those that were sent until this time may still be carried out.
    Open(Timestamp),
}

/// What an instance may have got from calls to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::job) struct StrayLease {
    /// When each such lease has certainly expired, as far as the calls are known to have been carried out.
    expiry: Timestamp,
    calls: Calls,
}

impl StrayLease {
    /// That of a worker of which no other instance was called.
    pub(in crate::job) const NONE: Self = Self { expiry: Timestamp(0), calls: Calls::Outranked };

    /// That of an instance which may carry out calls to others that were sent until `sent_until`.
    pub(in crate::job) fn open(sent_until: Timestamp) -> Self {
        Self { expiry: Timestamp(0), calls: Calls::Open(sent_until) }
    }

    /// That of a worker of earlier terms, as the owner before has recorded it: which instance carries out
    /// no call to others, and when what that may have got has expired.
    pub(in crate::job) fn inherited(instance: Option<u64>, expiry: Timestamp) -> Self {
        let calls = instance.map_or(Calls::Open(Timestamp(0)), Calls::OutrankedIn);
        Self { expiry, calls }
    }

    /// When all such leases have certainly expired, as far as is known.
    pub(in crate::job) fn expiry(self) -> Timestamp {
        self.expiry
    }

    /// Whether the instance that has answered certainly carries out no call to another one any more.
    pub(in crate::job) fn is_final(self) -> bool {
        self.calls == Calls::Outranked
    }

    /// Notes that the instance of this name has answered, by `now`, a hold that was sent at `sent`. Returns
    /// whether what the next owner must know has changed.
    pub(in crate::job) fn on_answer(
        &mut self,
        started_wall_ms: u64,
        (sent, now): (Timestamp, Timestamp),
        longest_lease: Span,
    ) -> bool {
        let outranks_all = match self.calls {
            Calls::Outranked => return false,
            Calls::OutrankedIn(known) if known == started_wall_ms => {
                self.calls = Calls::Outranked;
                return true;
            }
            Calls::OutrankedIn(_) => true,
            Calls::Open(sent_until) => sent > sent_until,
        };
        if let (Calls::Open(sent_until), false) = (self.calls, outranks_all) {
            self.expiry = sent_until + LATE_CALL_LIFETIME + longest_lease;
        } else {
            self.expiry = now + longest_lease;
            self.calls = Calls::Outranked;
        }
        true
    }
}
