//! What the cells were asked to drain, and which of their reports still count.

#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use super::Fleet;
use crate::{
    ServiceId, Timestamp,
    job::{DrainMode, Load, WorkerId},
};

/// The number of an instruction to a cell. Numbers rise within the term of the fleet's owner; 0 is the
/// number of the instructions of a version that numbers none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstructionNumber(pub u64);

/// What the cells were asked to drain during one term.
#[derive(Debug, Default)]
pub(super) struct AskedDrains {
    latest: InstructionNumber,
}

impl Fleet {
    /// Notes that a cell is asked to drain these workers and no others, and returns the number of the
    /// instruction.
    pub fn on_instruction(
        &mut self,
        _cell: &ServiceId,
        _drains: &IndexMap<WorkerId, DrainMode>,
    ) -> InstructionNumber {
        self.asked_drains.latest.0 += 1;
        self.asked_drains.latest
    }

    /// Handles the report of a cell that answers the instruction of this number.
    pub fn on_instruction_answered(
        &mut self,
        cell: &ServiceId,
        _number: InstructionNumber,
        (load, drained): (Load, Vec<WorkerId>),
        now: Timestamp,
    ) {
        self.on_cell_report(cell, load, drained, now);
    }
}
