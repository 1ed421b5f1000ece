//! What owners of cells knew as their terms ended: kept by their processes, and told to the next owners.

#[cfg(test)]
mod tests;

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use indexmap::IndexMap;
use teaselgap_core::{
    Epoch, ServiceId,
    job::{TermEnd, TermEndReport},
};

use super::node::Node;
use crate::clock;

/// The number of terms of a cell that are kept. The latest may have ended before it wrote anything, so that the log's
/// last term is an earlier one.
const MAX_KEPT: usize = 3;

/// The ends of the latest terms of this process, by cell.
#[derive(Debug, Default)]
pub(super) struct TermEnds(RefCell<IndexMap<ServiceId, VecDeque<TermEnd>>>);

impl TermEnds {
    /// Keeps what the owner of a cell knew as its term ended.
    pub(super) fn keep(&self, cell: &ServiceId, end: TermEnd) {
        let mut ends = self.0.borrow_mut();
        let ends = ends.entry(cell.clone()).or_default();
        ends.push_front(end);
        ends.truncate(MAX_KEPT);
    }

    /// What is left now of what is known of a cell, the latest term first.
    pub(super) fn reports(&self, cell: &ServiceId) -> Vec<TermEndReport> {
        let ends = self.0.borrow();
        let now = clock::now();
        ends.get(cell).into_iter().flatten().map(|end| end.report(now)).collect()
    }
}

/// Answers the owner of a cell whose term is that of `epoch`. If this node still acts as the owner by an earlier claim,
/// that term ends first.
pub(super) fn tell(node: &Rc<Node>, cell: &ServiceId, epoch: Epoch) -> Vec<TermEndReport> {
    let earlier =
        node.cell_owners.borrow().get(cell).filter(|owner| owner.epoch() < epoch).cloned();
    if let Some(owner) = earlier {
        node.cell_owners.borrow_mut().shift_remove(cell);
        owner.end_term("another node has claimed the duty");
    }
    node.term_ends.reports(cell)
}
