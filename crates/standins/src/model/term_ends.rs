//! What owners whose terms have ended know, while their nodes live, and how the present owner learns of it.

use teaselgap_core::{
    Epoch, Span, Timestamp,
    job::{Cell, TermEnd, TermEndReport},
};

use super::Model;

/// Interval at which an owner that waits for workers of earlier terms asks the other nodes.
const QUESTION_INTERVAL: Span = Span(300);

/// The ends of earlier terms whose nodes live.
#[derive(Debug)]
pub(super) struct TermEnds {
    known: Vec<TermEnd>,
    is_answered: bool,
    next_question: Timestamp,
}

impl Default for TermEnds {
    fn default() -> Self {
        Self { known: Vec::new(), is_answered: true, next_question: Timestamp(0) }
    }
}

impl TermEnds {
    /// Keeps what an owner knows whose term ends now.
    pub(super) fn keep(&mut self, cell: &Cell, now: Timestamp) {
        self.known.push(cell.term_end(now));
    }

    /// Lets the owner that has just read its log ask at once.
    pub(super) fn restart_questions(&mut self, now: Timestamp) {
        self.next_question = now;
    }

    /// Forgets what the owner of this term knew, whose node has restarted.
    pub(super) fn forget(&mut self, epoch: Epoch) {
        self.known.retain(|one| one.epoch() != epoch);
    }
}

impl Model {
    /// Ends the term of the present owner at once by a lost lease. It gives no more orders, and its node lives on
    /// until [`Model::lose_ended_owners`]. It may claim the cell again with [`Model::take_over_again`].
    pub fn end_owner_term(&mut self) {
        self.give_up();
    }

    /// Ends the nodes of all owners whose terms have ended, so that nobody can ask them.
    pub fn lose_ended_owners(&mut self) {
        self.term_ends.known.clear();
    }

    /// Sets whether nodes of ended owners answer the present one.
    pub fn let_ended_owners_answer(&mut self, is_answered: bool) {
        self.term_ends.is_answered = is_answered;
    }

    /// Returns what the nodes of ended owners would answer now, the latest last.
    #[must_use]
    pub fn term_end_reports(&self) -> Vec<TermEndReport> {
        self.term_ends.known.iter().map(|one| one.report(self.now)).collect()
    }

    /// Gives the present owner the reports of all ended owners whose nodes live.
    pub fn answer_term_ends(&mut self) {
        let reports = self.term_end_reports();
        if let Some(cell) = &mut self.cell {
            for report in reports {
                cell.on_term_end(&report, self.now);
            }
        }
    }

    /// Lets the present owner ask the other nodes, if it waits for workers of earlier terms.
    pub(super) fn ask_for_term_ends(&mut self) {
        let is_waiting = self.cell.as_ref().is_some_and(|cell| cell.awaited_term_end().is_some());
        if is_waiting && self.term_ends.is_answered && self.now >= self.term_ends.next_question {
            self.term_ends.next_question = self.now + QUESTION_INTERVAL;
            self.answer_term_ends();
        }
    }
}
