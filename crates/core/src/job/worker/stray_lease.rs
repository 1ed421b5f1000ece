//! The lease that an instance of a worker may have got from a call that was meant for another one.
//!
//! A call names the end of a lease on the clock of the instance that it is meant for. An instance that has
//! just started carries out the calls to those before it, and takes that time for one of its own clock, on
//! which it may be far ahead. So any of them may give it the longest lease, until it has carried out a call
//! that outranks them all. A lease is never shortened, and applies to all runs.

use crate::{Span, Timestamp};

/// What an instance may have got from calls to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::job) struct StrayLease {
    /// When each such lease has certainly expired, as far as the calls are known to have been carried out.
    expiry: Timestamp,
    /// Whether the instance may still carry out such a call.
    is_open: bool,
}

impl StrayLease {
    /// That of an instance which has carried out no call of this owner and later than those to others.
    pub(in crate::job) fn open() -> Self {
        Self { expiry: Timestamp(0), is_open: true }
    }

    /// When all such leases have certainly expired, as far as is known.
    pub(in crate::job) fn expiry(self) -> Timestamp {
        self.expiry
    }

    /// Notes that the instance has answered a call by `now`. If that outranks all calls to others, it carries
    /// out none of them any more. Returns whether anything has changed.
    pub(in crate::job) fn on_answer(
        &mut self,
        outranks_others: bool,
        longest_lease: Span,
        now: Timestamp,
    ) -> bool {
        if !self.is_open {
            return false;
        }
        *self = Self { expiry: now + longest_lease, is_open: !outranks_others };
        true
    }
}
