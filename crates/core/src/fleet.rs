//! Which pool a VM belongs to, and how it is stopped or moved.
//!
//! Each VM has one record in the platform's store, written by compare-and-swap under the term of the
//! keeper of its pool. The record names exactly one pool. A planned stop cordons the VM, waits until
//! the keeper's ledger shows that nobody holds a slot of it, and only then hands it to another pool
//! or to the platform's maintenance. Whoever becomes keeper meanwhile goes on from the record.
//!
//! The states of a stop are types, so that a VM that may still serve requests can't be handed over.

use serde::{Deserialize, Serialize};

use crate::{PoolId, Timestamp};

/// A VM's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// The pool that the VM belongs to.
    pub pool: PoolId,
    /// What is planned for it.
    #[serde(default)]
    pub plan: Plan,
}

/// What is planned for a VM. Points in time are milliseconds since the Unix epoch, because several
/// nodes read them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Plan {
    /// It serves requests.
    #[default]
    Serve,
    /// It takes no new requests, and goes to another pool once it is drained.
    Move {
        /// The next pool.
        to: PoolId,
        /// If it is not drained by then, it serves again.
        drain_deadline: Timestamp,
    },
    /// It takes no new requests, and goes to maintenance once it is drained.
    Drain {
        /// If it is not drained by then, it serves again.
        drain_deadline: Timestamp,
    },
    /// The platform maintains it.
    Maintain {
        /// If it is not back by then, it counts as failed.
        return_deadline: Timestamp,
    },
}

impl VmRecord {
    /// A VM that serves a pool.
    #[must_use]
    pub fn serving(pool: PoolId) -> Self {
        Self { pool, plan: Plan::Serve }
    }

    /// Whether new requests may go to the VM.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        self.plan == Plan::Serve
    }
}

/// What is known of a VM besides its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmObservation {
    /// The pool that the platform's list puts it into; `None` if the list does not show it.
    pub listed_pool: Option<PoolId>,
    /// Whether the list shows it as live.
    pub live: bool,
    /// Whether the list shows a maintenance that ended after the plan began.
    pub maintained: bool,
    /// Whether the keeper's ledger is certain and shows no slot of the VM with any holder.
    pub drained: bool,
    /// The time on the wall clock.
    pub now: Timestamp,
    /// Until when a drain that starts now may take.
    pub drain_deadline: Timestamp,
    /// Until when a maintenance that starts now may take.
    pub return_deadline: Timestamp,
}

/// A VM on its way out of its pool; see the module's documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStop<S> {
    pool: PoolId,
    state: S,
}

/// No new requests are sent; some may still run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draining {
    deadline: Timestamp,
}

/// Nobody holds a slot of the VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drained;

/// How a drain went on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainResult {
    /// It ended.
    Drained(PlannedStop<Drained>),
    /// It goes on.
    Draining(PlannedStop<Draining>),
    /// Its deadline has passed; the VM serves again and nothing was cut off.
    Cancelled(VmRecord),
}

impl PlannedStop<Draining> {
    /// Ends the drain if the ledger shows that it has ended, or cancels it at its deadline.
    #[must_use]
    pub fn proceed(self, drained: bool, now: Timestamp) -> DrainResult {
        if drained {
            DrainResult::Drained(PlannedStop { pool: self.pool, state: Drained })
        } else if now >= self.state.deadline {
            DrainResult::Cancelled(VmRecord::serving(self.pool))
        } else {
            DrainResult::Draining(self)
        }
    }
}

impl PlannedStop<Drained> {
    /// Hands the VM to another pool.
    #[must_use]
    pub fn hand_over(self, to: PoolId) -> VmRecord {
        VmRecord::serving(to)
    }

    /// Hands the VM to the platform.
    #[must_use]
    pub fn maintain(self, return_deadline: Timestamp) -> VmRecord {
        VmRecord { pool: self.pool, plan: Plan::Maintain { return_deadline } }
    }
}

/// What a keeper does next about a VM of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing now.
    Wait,
    /// Write this record in place of the one it was derived from.
    Write(VmRecord),
    /// Ask the platform to maintain the VM; asking again does no harm.
    AskForMaintenance,
    /// The VM did not come back from maintenance.
    Failed,
    /// The VM is gone for good: delete its record.
    DeleteRecord,
}

/// The next step for a VM with this record.
#[must_use]
pub fn next_step(record: &VmRecord, seen: &VmObservation) -> NextStep {
    let draining =
        |deadline| PlannedStop { pool: record.pool.clone(), state: Draining { deadline } };
    match &record.plan {
        Plan::Serve => match &seen.listed_pool {
            None if seen.drained => NextStep::DeleteRecord,
            Some(listed) if *listed != record.pool && seen.live => {
                let plan = Plan::Move { to: listed.clone(), drain_deadline: seen.drain_deadline };
                NextStep::Write(VmRecord { pool: record.pool.clone(), plan })
            }
            _ => NextStep::Wait,
        },
        Plan::Move { to, drain_deadline } => {
            match draining(*drain_deadline).proceed(seen.drained, seen.now) {
                DrainResult::Drained(stop) => NextStep::Write(stop.hand_over(to.clone())),
                DrainResult::Draining(_) => NextStep::Wait,
                DrainResult::Cancelled(record) => NextStep::Write(record),
            }
        }
        Plan::Drain { drain_deadline } => {
            match draining(*drain_deadline).proceed(seen.drained, seen.now) {
                DrainResult::Drained(stop) => NextStep::Write(stop.maintain(seen.return_deadline)),
                DrainResult::Draining(_) => NextStep::Wait,
                DrainResult::Cancelled(record) => NextStep::Write(record),
            }
        }
        Plan::Maintain { return_deadline } => {
            if seen.maintained && seen.live {
                NextStep::Write(VmRecord::serving(record.pool.clone()))
            } else if seen.now >= *return_deadline {
                NextStep::Failed
            } else {
                NextStep::AskForMaintenance
            }
        }
    }
}

#[cfg(test)]
mod tests;
