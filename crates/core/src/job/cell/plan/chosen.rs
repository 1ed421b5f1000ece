//! The tasks of a step that were interrupted, which start before work that has not started.

#[cfg(test)]
mod tests;

use super::super::super::{Step, task::Task};

/// Whether a task waits although it was ordered before, and is not to blame for it as far as is
/// known: it hasn't failed, nor lost so many workers that it is tried with care.
pub(super) fn is_interrupted(task: &Task) -> bool {
    task.attempt > 0
        && !task.is_done
        && task.run_workers.is_empty()
        && task.failures == 0
        && !task.crashes_workers()
}

/// Which tasks of a step are meant. Those that were interrupted don't pull the others forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChosenTasks {
    All,
    Interrupted,
}

impl ChosenTasks {
    pub(super) fn contains(self, task: &Task) -> bool {
        self == Self::All || is_interrupted(task)
    }

    /// The parts of a step that start one after the other, with their numbers of startable tasks. The
    /// tasks of a gang start together.
    pub(super) fn split(
        step: &Step,
        startable: usize,
        interrupted: usize,
    ) -> impl Iterator<Item = (Self, usize)> {
        let first = if step.gang && interrupted > 0 { startable } else { interrupted };
        let parts = [(Self::Interrupted, first), (Self::All, startable - first)];
        parts.into_iter().filter(|(_, tasks)| *tasks > 0)
    }
}
