//! The fencing tokens of an owner's calls to workers, by which each call outranks those of before that
//! may still be carried out.
//!
//! A worker does nothing for a call whose token is lower than the highest one that it has seen. One that
//! has just started has seen none, so each call to an earlier instance that got no answer is valid there.
//! Tokens of one owner therefore rise:
//!
//! - Each call outranks all earlier ones to its worker that have ended without an answer.
//! - Each call to an instance outranks all calls to the instances before it.
//! - A start order also outranks the holds that are under way. One of them may be carried out in the next
//!   instance, after the order, and would confirm the end of its run or prolong its lease there.
//!
//! From the first call of the present token on that an instance has carried out, it carries out none of
//! those any more.

#[cfg(test)]
mod tests;

use std::{fmt, num::ParseIntError, str::FromStr};

use indexmap::IndexMap;

use super::WorkerId;
use crate::Epoch;

/// The bits of a token that count the generations of calls within a term. At 16 generations a second, as
/// many as holds, they last 12 days; then a worker gets no higher token until the next term.
const GENERATION_BITS: u32 = 24;

/// The last generation of a term.
const LAST_GENERATION: u64 = (1 << GENERATION_BITS) - 1;

/// A fencing token: the epoch of the owner's term and, within it, the generation of calls to one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(u64);

impl Fence {
    /// The token of the first generation of calls in a term.
    #[must_use]
    pub fn first_of(epoch: Epoch) -> Self {
        Self(epoch.0 << GENERATION_BITS)
    }

    /// The token as it is sent.
    #[must_use]
    pub fn get(self) -> u64 {
        self.0
    }

    fn next(self) -> Self {
        let is_last = self.0 & LAST_GENERATION == LAST_GENERATION;
        Self(self.0 + u64::from(!is_last))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Fence {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// The kinds of calls to a worker that differ in what they outrank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencedCall {
    /// A start order, or a copy of one.
    Start,
    /// An order about a run that has begun.
    Run,
}

/// The token of the latest calls to a worker.
#[derive(Clone, Copy, Debug)]
struct Latest {
    fence: Fence,
    /// The token of the latest hold, and how many holds are under way.
    hold: Fence,
    holds_under_way: u32,
}

/// The tokens of the calls of one term. Those of a worker never fall, also if it leaves and returns.
#[derive(Clone, Debug)]
pub(super) struct Fences {
    first: Fence,
    latest: IndexMap<WorkerId, Latest>,
}

impl Fences {
    pub(super) fn new(epoch: Epoch) -> Self {
        Self { first: Fence::first_of(epoch), latest: IndexMap::new() }
    }

    fn latest(&mut self, worker: &WorkerId) -> &mut Latest {
        let first = self.first;
        // The id is copied only for the first call to a worker.
        if !self.latest.contains_key(worker) {
            let latest = Latest { fence: first, hold: first, holds_under_way: 0 };
            self.latest.insert(worker.clone(), latest);
        }
        &mut self.latest[worker]
    }

    /// Returns the token of an order that is sent at this moment.
    pub(super) fn of_call(&mut self, worker: &WorkerId, kind: FencedCall) -> Fence {
        let latest = self.latest(worker);
        match kind {
            FencedCall::Start if latest.holds_under_way > 0 && latest.hold == latest.fence => {
                latest.fence = latest.fence.next();
            }
            FencedCall::Start | FencedCall::Run => {}
        }
        latest.fence
    }

    /// Returns the token of a hold that is decided on at this moment. What it renews and confirms is that
    /// of the instance known now, so it must not be sent with a later token.
    pub(super) fn of_hold(&mut self, worker: &WorkerId) -> Fence {
        let latest = self.latest(worker);
        latest.hold = latest.fence;
        latest.holds_under_way += 1;
        latest.fence
    }

    /// Notes that a hold has got its answer, or will get none.
    pub(super) fn on_hold_over(&mut self, worker: &WorkerId) {
        let latest = self.latest(worker);
        latest.holds_under_way = latest.holds_under_way.saturating_sub(1);
    }

    /// Lets all later calls to a worker outrank all earlier ones.
    pub(super) fn outrank(&mut self, worker: &WorkerId) {
        let latest = self.latest(worker);
        latest.fence = latest.fence.next();
    }

    /// Whether a call to the worker was decided on in this term.
    pub(super) fn has_called(&self, worker: &WorkerId) -> bool {
        self.latest.contains_key(worker)
    }

    /// Whether a later call to the worker had a higher token.
    pub(super) fn is_outranked(&self, worker: &WorkerId, fence: Fence) -> bool {
        self.latest.get(worker).is_some_and(|latest| fence < latest.fence)
    }
}
