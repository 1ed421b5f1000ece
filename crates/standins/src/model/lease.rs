//! The owner's lease in the store, whose renewals pass the owner's link like all other calls.

use teaselgap_core::{Epoch, Span, Timestamp};

use super::{Delivery, Model, WRITE_LATENCY_MS, link};

/// Time-to-live of the owner's lease.
const TTL: Span = Span(2_000);

/// Interval between renewals, which is also the timeout of one.
const RENEWAL_INTERVAL: Span = Span(500);

/// Pause before a renewal that got no answer is sent again.
const RETRY_PAUSE: Span = Span(50);

/// Time from the end of a term until the same node claims the cell again.
const CLAIM_DELAY: Span = Span(500);

/// The state of the owner's lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnerLease {
    valid_until: Timestamp,
    next_renewal: Timestamp,
}

impl OwnerLease {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { valid_until: now + TTL, next_renewal: now + RENEWAL_INTERVAL }
    }
}

impl Model {
    /// Sends the renewal of the owner's lease that is due, and ends the term if the lease has
    /// expired.
    pub(super) fn keep_owner_lease(&mut self) {
        let Some(lease) = self.owner_lease.filter(|_| self.cell.is_some()) else {
            return;
        };
        if self.now > lease.valid_until {
            self.end_expired_term();
        } else if self.now >= lease.next_renewal {
            self.send_renewal();
        }
    }

    fn send_renewal(&mut self) {
        let sent = self.now;
        if let Some(lease) = &mut self.owner_lease {
            lease.next_renewal = sent + RENEWAL_INTERVAL + RETRY_PAUSE;
        }
        let out = self.send_over_link(link::small_message_bytes());
        let (epoch, delay_ms) = (self.epoch, out.0 + WRITE_LATENCY_MS);
        self.send(delay_ms, Delivery::RenewalAtStore { epoch, sent });
    }

    pub(super) fn on_renewal_at_store(&mut self, epoch: Epoch, sent: Timestamp) {
        let back = self.receive_over_link(link::small_message_bytes());
        if self.now + back <= sent + RENEWAL_INTERVAL {
            self.send(back.0, Delivery::Renewed { epoch, sent });
        }
    }

    pub(super) fn on_renewed(&mut self, epoch: Epoch, sent: Timestamp) {
        if let Some(lease) = self.owner_lease.as_mut().filter(|_| epoch == self.epoch) {
            lease.valid_until = lease.valid_until.max(sent + TTL);
            lease.next_renewal = sent + RENEWAL_INTERVAL;
        }
    }

    /// Ends the term. The same node claims the cell again, and reads the log over its link.
    fn end_expired_term(&mut self) {
        self.give_up();
        self.expired_terms += 1;
        let delay_ms = CLAIM_DELAY.0 + self.receive_over_link(self.log.bytes() as u64).0;
        self.send(delay_ms, Delivery::LogRead);
    }
}
