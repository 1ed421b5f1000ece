//! Forecasts which queue has the next burst, and when, from the bursts seen so far.
//!
//! Queues have bursts of about the same length one after the other, in a fixed order. VMs take some
//! seconds to join a pool, so if they are moved only once work arrives, they miss the first seconds
//! of the burst. With the forecast they are moved just before it begins.

use serde::{Deserialize, Serialize};

use crate::{ServiceId, Span};

/// Maximum number of bursts in the history.
const MAX_BURSTS: usize = 24;

/// Shortest time between two bursts that counts for the median interval.
const MIN_INTERVAL: Span = Span(2_000);

/// How far from its expected time a burst may begin, in percent of the median interval.
const START_TOLERANCE_PERCENT: u64 = 10;

/// Maximum number of pools that get VMs when it is not known which of them has the next burst.
const MAX_CANDIDATES: usize = 3;

/// Maximum number of bursts after the latest recorded one that are forecast.
const MAX_BURSTS_AHEAD: u64 = 8;

/// Start of a burst.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Burst {
    /// Pool whose queue has the burst.
    pub pool: ServiceId,
    /// Start of the burst in milliseconds since the Unix epoch.
    pub began_wall_ms: u64,
}

/// Latest bursts of all queues, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BurstHistory(Vec<Burst>);

impl BurstHistory {
    /// Records the start of a burst; a burst of the same pool as the latest one counts as its
    /// continuation.
    pub(super) fn record(&mut self, pool: &ServiceId, wall_ms: u64) {
        if self.0.last().is_some_and(|last| last.pool == *pool) {
            return;
        }
        if self.0.len() >= MAX_BURSTS {
            self.0.remove(0);
        }
        self.0.push(Burst { pool: pool.clone(), began_wall_ms: wall_ms });
    }

    /// Returns the median time between two bursts, or `None` without a usable interval.
    fn median_interval(&self) -> Option<Span> {
        let pairs = self.0.windows(2);
        let between = |pair: &[Burst]| pair[1].began_wall_ms.saturating_sub(pair[0].began_wall_ms);
        let mut intervals: Vec<u64> =
            pairs.map(between).filter(|&interval_ms| interval_ms >= MIN_INTERVAL.0).collect();
        intervals.sort_unstable();
        intervals.get(intervals.len() / 2).copied().map(Span)
    }

    /// Returns the pool whose burst most recently followed a burst of `pool`.
    fn successor(&self, pool: &ServiceId) -> Option<&ServiceId> {
        let pair = self.0.windows(2).rev().find(|pair| pair[0].pool == *pool);
        pair.map(|pair| &pair[1].pool)
    }

    /// Returns the pools that may have the burst that is `ahead` bursts after the latest one: a
    /// single pool if the order is known, otherwise those of `pools` that have had no burst yet,
    /// unless they are more than [`MAX_CANDIDATES`].
    fn candidates<'a>(&'a self, pools: &'a [ServiceId], ahead: u64) -> Vec<&'a ServiceId> {
        let Some(mut last) = self.0.last().map(|burst| &burst.pool) else {
            return Vec::new();
        };
        for step in 1..=ahead {
            match self.successor(last) {
                Some(next) => last = next,
                None if step == ahead => {
                    let had_burst =
                        |pool: &&ServiceId| self.0.iter().any(|burst| burst.pool == **pool);
                    let others: Vec<&ServiceId> =
                        pools.iter().filter(|pool| !had_burst(pool)).collect();
                    return match others.len() {
                        // All pools have had a burst: the order starts again with the first.
                        0 => vec![&self.0[0].pool],
                        1..=MAX_CANDIDATES => others,
                        _ => Vec::new(),
                    };
                }
                None => return Vec::new(),
            }
        }
        vec![last]
    }

    /// Returns the pools that should have their VMs now, because their burst is expected to begin
    /// within `lead` or to have just begun.
    pub(super) fn due_pools<'a>(
        &'a self,
        pools: &'a [ServiceId],
        lead: Span,
        wall_ms: u64,
    ) -> Vec<&'a ServiceId> {
        let (Some(last), Some(interval)) = (self.0.last(), self.median_interval()) else {
            return Vec::new();
        };
        let age_ms = wall_ms.saturating_sub(last.began_wall_ms);
        let tolerance_ms = interval.0 * START_TOLERANCE_PERCENT / 100;
        let ahead = (age_ms + lead.0 + tolerance_ms) / interval.0;
        let expected_age_ms = ahead * interval.0;
        if ahead == 0 || ahead > MAX_BURSTS_AHEAD || age_ms > expected_age_ms + tolerance_ms {
            return Vec::new();
        }
        self.candidates(pools, ahead)
    }
}
