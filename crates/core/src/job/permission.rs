//! How long the owner of duties may act.
//!
//! The keys of its duties depend on its lease. When the lease could not be renewed, the owner goes on
//! only while other nodes confirm that they can't reach the store either.

#[cfg(test)]
mod tests;

use crate::{NodeId, Span, Timestamp};

/// How long a confirmation that the store is away holds, from when the owner asked for it.
const CONFIRMATION_TTL: Span = Span(1_000);

/// What another node says when an owner asks whether it can reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerWord {
    /// It can't reach the store.
    StoreAway,
    /// It reaches the store.
    Denial,
    /// It didn't answer in time.
    Silent,
}

/// What an owner's questions about the store have brought.
#[derive(Clone, Debug, Default)]
pub struct Permission {
    /// When the owner sent the latest questions whose answers confirmed that the store is away.
    confirmed_at: Timestamp,
}

impl Permission {
    /// How long an owner may give orders after another node has claimed one of its duties, for a lease
    /// that lasts for `lease_ttl`.
    #[must_use]
    pub fn orders_after_claim(lease_ttl: Span) -> Span {
        Span(lease_ttl.0 + CONFIRMATION_TTL.0)
    }

    /// The owner asks other nodes when its permission would end within this time.
    #[must_use]
    pub fn is_question_due(&self, lease_end: Timestamp, now: Timestamp) -> bool {
        now + CONFIRMATION_TTL > lease_end
    }

    /// Records what the other registered nodes said to questions that were sent at `asked_at`. Returns
    /// whether they confirmed that the store is away.
    pub fn record_round(&mut self, asked_at: Timestamp, words: &[(NodeId, PeerWord)]) -> bool {
        let is_any = |wanted| words.iter().any(|(_, word)| *word == wanted);
        let is_confirmed =
            !is_any(PeerWord::Denial) && (words.is_empty() || is_any(PeerWord::StoreAway));
        if is_confirmed {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
        is_confirmed
    }

    /// Whether the owner may not act any more, given the time until which its lease is certainly
    /// valid.
    #[must_use]
    pub fn is_over(&self, lease_end: Timestamp, now: Timestamp) -> bool {
        now > lease_end && now > self.confirmed_at + CONFIRMATION_TTL
    }
}
