//! What the owner of the fleet tells the owner of a cell about its pool, and the answer.

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch,
    job::{DrainMode, InstructionNumber, Load, Outlook, WorkerId},
};

/// What the owner of the fleet tells a cell, several times a second.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolInstruction {
    /// The epoch of the fleet's owner. A cell takes no instruction of an earlier one than it has seen.
    pub(super) epoch: Epoch,
    /// The number of the instruction within the term.
    pub(super) number: InstructionNumber,
    /// The workers that are to be drained; no others are.
    pub(super) drains: IndexMap<WorkerId, DrainMode>,
    /// Whether workers are about to join that the store does not list yet.
    pub(super) expects_workers: bool,
    /// What the fleet can give the pool, if that is known.
    pub(super) outlook: Option<Outlook>,
}

/// The answer of a cell's owner.
#[derive(Clone, Debug)]
pub(super) struct CellReport {
    /// The workers that are drained.
    pub(super) drained: Vec<WorkerId>,
    pub(super) load: Load,
}
