//! Which pool a VM belongs to, and how it is stopped or moved.
//!
//! Each VM has one record in the platform's store, which names exactly one pool. The owner of that
//! pool writes the record by compare-and-swap under its term. A planned stop cordons the VM, waits
//! until the owner's ledger shows that no node holds a slot of it, and only then hands it over to
//! another pool or to the platform for maintenance. A new owner continues from the record.
//!
//! The states of a planned stop are types, so a VM that may still serve requests can't be handed
//! over.

use serde::{Deserialize, Serialize};

use crate::{PoolId, Timestamp};

/// A VM's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// The pool that the VM belongs to.
    pub pool: PoolId,
    /// The current plan for the VM.
    #[serde(default)]
    pub plan: Plan,
}

/// The current plan for a VM. Times are milliseconds since the Unix epoch, because several nodes
/// read them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Plan {
    /// The VM serves requests.
    #[default]
    Serve,
    /// The VM takes no new requests and moves to another pool once it is drained.
    Move {
        /// The pool that the VM moves to.
        to: PoolId,
        /// If the VM is not drained by then, the move is cancelled and it serves again.
        drain_deadline: Timestamp,
    },
    /// The VM takes no new requests and goes to maintenance once it is drained.
    Drain {
        /// If the VM is not drained by then, the drain is cancelled and it serves again.
        drain_deadline: Timestamp,
    },
    /// The platform maintains the VM.
    Maintain {
        /// If the VM is not back by then, it counts as failed.
        return_deadline: Timestamp,
    },
}

impl VmRecord {
    /// The record of a VM that serves requests of a pool.
    #[must_use]
    pub fn serving(pool: PoolId) -> Self {
        Self { pool, plan: Plan::Serve }
    }

    /// Whether new requests may be sent to the VM.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        self.plan == Plan::Serve
    }
}

/// What the owner of a pool knows of a VM besides its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmObservation {
    /// The VM's pool in the platform's list; `None` if the VM is not listed.
    pub listed_pool: Option<PoolId>,
    /// Whether the list shows the VM as live.
    pub live: bool,
    /// Whether the list shows that a maintenance has ended since the plan began.
    pub maintained: bool,
    /// Whether the owner's ledger is certain and shows that no node holds a slot of the VM.
    pub drained: bool,
    /// Wall-clock time.
    pub now: Timestamp,
    /// Deadline for a drain that starts now.
    pub drain_deadline: Timestamp,
    /// Deadline for the VM's return from a maintenance that starts now.
    pub return_deadline: Timestamp,
}

/// A planned stop of a VM, in state `S`; see the module documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStop<S> {
    pool: PoolId,
    state: S,
}

/// State of a planned stop: no new requests are sent to the VM, but some may still run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draining {
    deadline: Timestamp,
}

/// State of a planned stop: no node holds a slot of the VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drained;

/// The outcome of [`PlannedStop::proceed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainResult {
    /// The VM is drained.
    Drained(PlannedStop<Drained>),
    /// The drain continues.
    Draining(PlannedStop<Draining>),
    /// The deadline has passed: the VM serves again, and no running request was aborted.
    Cancelled(VmRecord),
}

impl PlannedStop<Draining> {
    /// Ends the drain once the VM is drained, or cancels it at its deadline.
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
    /// Hands the VM over to another pool.
    #[must_use]
    pub fn hand_over(self, to: PoolId) -> VmRecord {
        VmRecord::serving(to)
    }

    /// Hands the VM over to the platform for maintenance.
    #[must_use]
    pub fn maintain(self, return_deadline: Timestamp) -> VmRecord {
        VmRecord { pool: self.pool, plan: Plan::Maintain { return_deadline } }
    }
}

/// The next step of the owner of a pool for a VM of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Do nothing now.
    Wait,
    /// Replace the record that the step was derived from by this one.
    Write(VmRecord),
    /// Ask the platform to maintain the VM; the request is idempotent.
    AskForMaintenance,
    /// Treat the VM as failed: it did not come back from maintenance in time.
    Failed,
    /// Delete the record of a VM that is no longer listed and is drained.
    DeleteRecord,
}

/// Derives the owner's next step from a VM's record and what else is known of the VM.
#[must_use]
pub fn next_step(record: &VmRecord, observation: &VmObservation) -> NextStep {
    let draining_stop =
        |deadline| PlannedStop { pool: record.pool.clone(), state: Draining { deadline } };
    match &record.plan {
        Plan::Serve => match &observation.listed_pool {
            None if observation.drained => NextStep::DeleteRecord,
            Some(listed) if *listed != record.pool && observation.live => {
                let plan =
                    Plan::Move { to: listed.clone(), drain_deadline: observation.drain_deadline };
                NextStep::Write(VmRecord { pool: record.pool.clone(), plan })
            }
            _ => NextStep::Wait,
        },
        Plan::Move { to, drain_deadline } => {
            match draining_stop(*drain_deadline).proceed(observation.drained, observation.now) {
                DrainResult::Drained(stop) => NextStep::Write(stop.hand_over(to.clone())),
                DrainResult::Draining(_) => NextStep::Wait,
                DrainResult::Cancelled(record) => NextStep::Write(record),
            }
        }
        Plan::Drain { drain_deadline } => {
            match draining_stop(*drain_deadline).proceed(observation.drained, observation.now) {
                DrainResult::Drained(stop) => {
                    NextStep::Write(stop.maintain(observation.return_deadline))
                }
                DrainResult::Draining(_) => NextStep::Wait,
                DrainResult::Cancelled(record) => NextStep::Write(record),
            }
        }
        Plan::Maintain { return_deadline } => {
            if observation.maintained && observation.live {
                NextStep::Write(VmRecord::serving(record.pool.clone()))
            } else if observation.now >= *return_deadline {
                NextStep::Failed
            } else {
                NextStep::AskForMaintenance
            }
        }
    }
}

#[cfg(test)]
mod tests;
