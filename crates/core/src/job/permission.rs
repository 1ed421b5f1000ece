//! How long the owner of duties may act.
//!
//! The keys of its duties depend on its lease. When the lease can't be renewed, the owner goes on only
//! while other nodes confirm that they can't reach the store either, and that they have not claimed any
//! of its duties. Whoever claims a duty counts [`Permission::orders_after_claim`] from the claim until the
//! last order of the owner before, so an owner gives none later than that after the last moment at
//! which it knows that nobody had claimed. A node that doesn't answer may have claimed since its last
//! confirmation or, without one, since the last renewal of the lease was sent.
//!
//! An owner that knows no other node can't tell an outage from its own trouble, and ends with its lease.
//! A node that has registered since the owner last read the list of members is not asked.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::{NodeId, Span, Timestamp};

/// How long a round of questions to which nobody objected holds, from when it was asked.
const CONFIRMATION_TTL: Span = Span(1_000);

/// What another node says when an owner asks whether it can reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerWord {
    /// It can't reach the store, and has not claimed any of the owner's duties.
    StoreAway,
    /// It reaches the store, or may have claimed one of the duties.
    Denial,
    /// It didn't answer in time.
    Silent,
}

/// What an owner's questions about the store have brought.
#[derive(Clone, Debug, Default)]
pub struct Permission {
    lease_ttl: Span,
    /// When the latest round was asked to which nobody objected.
    confirmed_at: Timestamp,
    /// When each node that was asked in the latest round was asked for its latest confirmation; zero if it
    /// has given none.
    confirmed_by: IndexMap<NodeId, Timestamp>,
}

impl Permission {
    /// Creates the state for a lease that lasts for `lease_ttl` from each renewal.
    #[must_use]
    pub fn new(lease_ttl: Span) -> Self {
        Self { lease_ttl, ..Self::default() }
    }

    /// How long an owner may give orders after another node has claimed one of its duties, for a lease
    /// that lasts for `lease_ttl`. The store may drop the owner's key as soon as the lease was renewed.
    #[must_use]
    pub fn orders_after_claim(lease_ttl: Span) -> Span {
        Span(lease_ttl.0 + CONFIRMATION_TTL.0)
    }

    /// The owner asks other nodes when its permission would end within this time.
    #[must_use]
    pub fn is_question_due(&self, lease_end: Timestamp, now: Timestamp) -> bool {
        now + CONFIRMATION_TTL > lease_end
    }

    /// Records what the other known nodes said to questions that were sent at `asked_at`. Returns whether
    /// nobody objected.
    pub fn record_round(&mut self, asked_at: Timestamp, words: &[(NodeId, PeerWord)]) -> bool {
        self.confirmed_by = words
            .iter()
            .map(|(node, word)| {
                let earlier = self.confirmed_by.get(node).copied().unwrap_or_default();
                let is_confirmed = *word == PeerWord::StoreAway;
                (node.clone(), if is_confirmed { earlier.max(asked_at) } else { earlier })
            })
            .collect();
        let is_any = |wanted| words.iter().any(|(_, word)| *word == wanted);
        let is_confirmed = is_any(PeerWord::StoreAway) && !is_any(PeerWord::Denial);
        if is_confirmed {
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
        is_confirmed
    }

    /// Whether the owner may not act any more, given the time until which its lease is certainly
    /// valid.
    #[must_use]
    pub fn is_over(&self, lease_end: Timestamp, now: Timestamp) -> bool {
        let is_confirmed = now <= self.confirmed_at + CONFIRMATION_TTL;
        now > lease_end && !(is_confirmed && now < self.latest_orders(lease_end))
    }

    /// The time until which certainly no other known node has claimed a duty: the end of the lease, or
    /// the earliest of the latest confirmations.
    #[must_use]
    pub fn sole_until(&self, lease_end: Timestamp) -> Timestamp {
        let confirmed = self.confirmed_by.values().min().copied().unwrap_or_default();
        lease_end.max(confirmed)
    }

    /// When a node that has claimed a duty may count on it that this owner gives no more orders; the
    /// end of time if there is no other node.
    fn latest_orders(&self, lease_end: Timestamp) -> Timestamp {
        let renewed = Timestamp(lease_end.0.saturating_sub(self.lease_ttl.0));
        let earliest_claim =
            self.confirmed_by.values().map(|confirmed| renewed.max(*confirmed)).min();
        earliest_claim
            .map_or(Timestamp(u64::MAX), |claim| claim + Self::orders_after_claim(self.lease_ttl))
    }
}
