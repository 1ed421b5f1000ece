//! When which queue's turn comes next, from the turns seen so far.
//!
//! The load this answers: queues take turns of about the same length, in an order that stays. A turn
//! that is noticed only once work arrives costs its first seconds, since VMs take that long to
//! come. What is foreseen here brings them just before.

use serde::{Deserialize, Serialize};

use crate::{ServiceId, Span};

/// Turns that are remembered.
const MAX_REMEMBERED: usize = 24;

/// The shortest time between two turns that tells their length.
const LEAST_INTERVAL: Span = Span(2_000);

/// How far from its time a turn may begin, as a part of the time between two turns, in percent.
const SPREAD_PERCENT: u64 = 10;

/// Most pools that get VMs because one of them is next.
const MAX_CANDIDATES: usize = 3;

/// Most turns after the last one that was seen for which the order is carried on.
const MAX_AHEAD: u64 = 8;

/// The beginning of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The pool whose queue's turn it is.
    pub pool: ServiceId,
    /// When it began, in milliseconds since the Unix epoch.
    pub began_wall_ms: u64,
}

/// The turns seen so far, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Turns(Vec<Turn>);

impl Turns {
    /// Notes that a turn began, unless it is the last one going on.
    pub(super) fn note(&mut self, pool: &ServiceId, wall_ms: u64) {
        if self.0.last().is_some_and(|last| last.pool == *pool) {
            return;
        }
        if self.0.len() >= MAX_REMEMBERED {
            self.0.remove(0);
        }
        self.0.push(Turn { pool: pool.clone(), began_wall_ms: wall_ms });
    }

    /// The usual time between two turns, if there is one.
    fn interval(&self) -> Option<Span> {
        let pairs = self.0.windows(2);
        let between = |pair: &[Turn]| pair[1].began_wall_ms.saturating_sub(pair[0].began_wall_ms);
        let mut intervals: Vec<u64> =
            pairs.map(between).filter(|&time| time >= LEAST_INTERVAL.0).collect();
        intervals.sort_unstable();
        intervals.get(intervals.len() / 2).copied().map(Span)
    }

    /// The pool whose turn followed that of `pool` when it was last seen to.
    fn successor(&self, pool: &ServiceId) -> Option<&ServiceId> {
        let pair = self.0.windows(2).rev().find(|pair| pair[0].pool == *pool);
        pair.map(|pair| &pair[1].pool)
    }

    /// Which of the `pools` may have their turn next after `ahead` turns: one if the order is known,
    /// or else all that have not had theirs.
    fn candidates<'a>(&'a self, pools: &'a [ServiceId], ahead: u64) -> Vec<&'a ServiceId> {
        let Some(mut last) = self.0.last().map(|turn| &turn.pool) else {
            return Vec::new();
        };
        for done in 1..=ahead {
            match self.successor(last) {
                Some(next) => last = next,
                None if done == ahead => {
                    let had = |pool: &&ServiceId| self.0.iter().any(|turn| turn.pool == **pool);
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

    /// The pools that should have their VMs now, since their turn begins within `lead` or began
    /// just now.
    pub(super) fn due<'a>(
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
