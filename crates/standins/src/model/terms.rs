//! Terms that end by a lost lease while the owner's node lives, so that it can still say what it knew. What present
//! owners learn from such nodes belongs here, too; so far they ask none.

use teaselgap_core::{Epoch, Timestamp, job::Cell};

use super::Model;

/// The node of an owner whose term has ended by a lost lease. It gives no more orders.
#[derive(Debug)]
pub(super) struct EndedOwner {
    /// The cell as the owner knew it when its term ended.
    pub(super) cell: Cell,
    pub(super) ended: Timestamp,
}

impl Model {
    /// Ends the term of the present owner at once by a lost lease. It gives no more orders, and its node lives on
    /// until [`Model::lose_ended_owners`]. It may claim the cell again with [`Model::take_over_again`].
    pub fn end_owner_term(&mut self) {
        let cell = self.cell.take();
        let owner = cell.map(|cell| EndedOwner { cell, ended: self.now });
        self.ended_owners.extend(owner);
        self.give_up();
    }

    /// Ends the nodes of all owners whose terms have ended, so that nobody can ask them.
    pub fn lose_ended_owners(&mut self) {
        self.ended_owners.clear();
    }

    /// Returns the terms that ended by a lost lease and whose nodes live, each with when it ended, the earliest
    /// first.
    pub fn ended_terms(&self) -> impl Iterator<Item = (Epoch, Timestamp)> {
        self.ended_owners.iter().map(|owner| (owner.cell.epoch(), owner.ended))
    }
}
