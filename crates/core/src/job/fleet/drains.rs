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
    /// The workers that the latest instruction to each cell asks to drain, each with the first
    /// instruction of those in a row that do.
    since: IndexMap<ServiceId, IndexMap<WorkerId, InstructionNumber>>,
}

impl Fleet {
    /// Notes that a cell is asked to drain these workers and no others, and returns the number of the
    /// instruction. From now on the cell may use each other worker, whatever it reported before.
    pub fn on_instruction(
        &mut self,
        cell: &ServiceId,
        drains: &IndexMap<WorkerId, DrainMode>,
    ) -> InstructionNumber {
        let asked = &mut self.asked_drains;
        asked.latest.0 += 1;
        let number = asked.latest;
        let before = asked.since.swap_remove(cell).unwrap_or_default();
        let since = drains.keys().map(|worker| {
            let first = before.get(worker).copied().unwrap_or(number);
            (worker.clone(), first)
        });
        asked.since.insert(cell.clone(), since.collect());
        if let Some(report) = self.cell_reports.get_mut(cell) {
            let is_asked =
                |worker: &WorkerId| before.contains_key(worker) && drains.contains_key(worker);
            report.drained.retain(is_asked);
        }
        number
    }

    /// Handles the report of a cell that answers the instruction of this number. A worker counts as
    /// drained only if each instruction to the cell since that one has asked for it.
    pub fn on_instruction_answered(
        &mut self,
        cell: &ServiceId,
        number: InstructionNumber,
        (load, mut drained): (Load, Vec<WorkerId>),
        now: Timestamp,
    ) {
        let asked = self.asked_drains.since.get(cell);
        drained.retain(|worker| {
            asked.and_then(|asked| asked.get(worker)).is_some_and(|first| *first <= number)
        });
        self.on_cell_report(cell, load, drained, now);
    }

    /// Handles that a pool has no cell: no tasks run there, so these workers are drained until the pool
    /// has one.
    pub fn on_pool_without_cell(
        &mut self,
        pool: &ServiceId,
        drains: IndexMap<WorkerId, DrainMode>,
        now: Timestamp,
    ) {
        self.asked_drains.since.swap_remove(pool);
        self.on_cell_report(pool, Load::default(), drains.into_keys().collect(), now);
    }
}
