//! Forecasts which queue has the next burst, and when, from the bursts seen so far.
//!
//! The load this answers: queues have bursts of about the same length one after the other, in an
//! order that stays. A burst that is noticed only once work arrives costs its first seconds, since
//! VMs take that long to come. What is foreseen here brings them just before.

use serde::{Deserialize, Serialize};

use crate::{ServiceId, Span};

/// Bursts that are remembered.
const MAX_REMEMBERED: usize = 24;

/// The shortest time between two bursts that tells their length.
const LEAST_INTERVAL: Span = Span(2_000);

/// How far from its time a burst may begin, as a part of the time between two bursts, in percent.
const SPREAD_PERCENT: u64 = 10;

/// Most pools that get VMs because one of them is next.
const MAX_CANDIDATES: usize = 3;

/// Most bursts after the last one that was seen for which the order is carried on.
const MAX_AHEAD: u64 = 8;

/// The beginning of a burst.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Burst {
    /// The pool whose queue has the burst.
    pub pool: ServiceId,
    /// When it began, in milliseconds since the Unix epoch.
    pub began_wall_ms: u64,
}

/// The bursts seen so far, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BurstHistory(Vec<Burst>);

impl BurstHistory {
    /// Records that a burst began, unless it is the last one going on.
    pub(super) fn record(&mut self, pool: &ServiceId, wall_ms: u64) {
        if self.0.last().is_some_and(|last| last.pool == *pool) {
            return;
        }
        if self.0.len() >= MAX_REMEMBERED {
            self.0.remove(0);
        }
        self.0.push(Burst { pool: pool.clone(), began_wall_ms: wall_ms });
    }

    /// The usual time between two bursts, if there is one.
    fn interval(&self) -> Option<Span> {
        let pairs = self.0.windows(2);
        let between = |pair: &[Burst]| pair[1].began_wall_ms.saturating_sub(pair[0].began_wall_ms);
        let mut intervals: Vec<u64> =
            pairs.map(between).filter(|&time| time >= LEAST_INTERVAL.0).collect();
        intervals.sort_unstable();
        intervals.get(intervals.len() / 2).copied().map(Span)
    }

    /// The pool whose burst followed that of `pool` when it was last seen to.
    fn successor(&self, pool: &ServiceId) -> Option<&ServiceId> {
        let pair = self.0.windows(2).rev().find(|pair| pair[0].pool == *pool);
        pair.map(|pair| &pair[1].pool)
    }

    /// Which of the `pools` may have the next burst after `ahead` bursts: one if the order is
    /// known, or else all that have not had theirs.
    fn candidates<'a>(&'a self, pools: &'a [ServiceId], ahead: u64) -> Vec<&'a ServiceId> {
        let Some(mut last) = self.0.last().map(|burst| &burst.pool) else {
            return Vec::new();
        };
        for done in 1..=ahead {
            match self.successor(last) {
                Some(next) => last = next,
                None if done == ahead => {
                    let had = |pool: &&ServiceId| self.0.iter().any(|burst| burst.pool == **pool);
                    let rest: Vec<&ServiceId> = pools.iter().filter(|pool| !had(pool)).collect();
                    return match rest.len() {
                        // Once all had theirs, the order begins anew.
                        0 => vec![&self.0[0].pool],
                        1..=MAX_CANDIDATES => rest,
                        _ => Vec::new(),
                    };
                }
                None => return Vec::new(),
            }
        }
        vec![last]
    }

    /// The pools that should have their VMs now, since their burst begins within `lead` or began
    /// just now.
    pub(super) fn due_pools<'a>(
        &'a self,
        pools: &'a [ServiceId],
        lead: Span,
        wall_ms: u64,
    ) -> Vec<&'a ServiceId> {
        let (Some(last), Some(interval)) = (self.0.last(), self.interval()) else {
            return Vec::new();
        };
        let age = wall_ms.saturating_sub(last.began_wall_ms);
        let spread = interval.0 * SPREAD_PERCENT / 100;
        let ahead = (age + lead.0 + spread) / interval.0;
        let due = ahead * interval.0;
        if ahead == 0 || ahead > MAX_AHEAD || age > due + spread {
            return Vec::new();
        }
        self.candidates(pools, ahead)
    }
}
