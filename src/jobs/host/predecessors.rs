//! What an owner learns of owners before it, so that it waits no longer than it must.

use std::{rc::Rc, time::Duration};

use slog::info;
use teaselgap_core::{Epoch, NodeId, job::TermEndReport};

use super::CellOwner;
use crate::clock;

/// The shortest interval between two rounds of questions how the last term ended.
const QUESTION_INTERVAL: Duration = Duration::from_millis(300);

impl CellOwner {
    /// Records that the owner of an earlier term sends no more orders.
    pub(in crate::jobs) fn on_predecessor_ended(&self, ended: Epoch) {
        let is_known = self.ended_predecessor.get().is_some_and(|(epoch, _)| epoch == ended);
        if is_known {
            return;
        }
        self.ended_predecessor.set(Some((ended, clock::now())));
        info!(self.node.log, "previous owner has ended"; "cell" => %self.service,
            "ended_epoch" => ended.0, "epoch" => self.epoch.0,
            "waited_ms" => clock::now().since(self.started_at).0);
        self.apply_predecessor_end();
    }

    /// The term of an earlier owner that is known to have ended.
    #[cfg(test)]
    pub(in crate::jobs) fn ended_predecessor(&self) -> Option<Epoch> {
        self.ended_predecessor.get().map(|(epoch, _)| epoch)
    }

    /// Tells the cell, once it has been recovered, that an earlier owner has ended.
    pub(super) fn apply_predecessor_end(&self) {
        let Some((ended, last_order)) = self.ended_predecessor.get() else {
            return;
        };
        let orders_end = self.with_cell(|cell| cell.on_predecessor_ended(ended, last_order));
        if let Some(orders_end) = orders_end {
            self.earlier_orders_end.set(self.earlier_orders_end.get().min(orders_end));
        }
    }

    /// Keeps what this owner knows as its term ends, unless it has not read its log.
    pub(super) fn keep_term_end(&self) {
        let Ok(cell) = self.cell.try_borrow() else {
            return;
        };
        let now = clock::now();
        let Some(end) = cell.as_ref().map(|cell| cell.term_end(now)) else {
            return;
        };
        info!(self.node.log, "end of a term kept"; "cell" => %self.service,
            "epoch" => self.epoch.0, "workers" => end.workers(),
            "open_starts" => end.open_starts(),
            "latest_expiry_ms" => end.last_expiry().map(|expiry| expiry.since(now).0));
        self.node.term_ends.keep(&self.service, end);
    }

    /// Asks this process and then, again and again, the other nodes how the last term ended, while workers of earlier
    /// terms are waited for, until one knows.
    pub(super) async fn learn_last_term_end(self: Rc<Self>) {
        let own = self.node.term_ends.reports(&self.service);
        let mut is_known = self.apply_term_ends(&self.node.id, &own);
        while !is_known && self.awaits_term_end() {
            let next_round = tokio::time::Instant::now() + QUESTION_INTERVAL;
            let others = self.node.members.borrow().possible_claimants(&self.node.id);
            let questions = others.iter().map(async |(other, address)| {
                let reports = self.node.peers.term_end(*address, &self.service, self.epoch).await;
                self.apply_term_ends(other, &reports)
            });
            let answers: Vec<bool> = futures_util::future::join_all(questions).await;
            is_known = answers.contains(&true);
            tokio::time::sleep_until(next_round).await;
        }
    }

    fn awaits_term_end(&self) -> bool {
        let awaited = self.with_cell(|cell| cell.awaited_term_end());
        !self.is_handing_over.get() && awaited.flatten().is_some()
    }

    /// Passes what a node knows of ended terms to the cell. Returns whether the last one was among them.
    fn apply_term_ends(&self, from: &NodeId, reports: &[TermEndReport]) -> bool {
        reports.iter().any(|report| self.apply_term_end(from, report))
    }

    fn apply_term_end(&self, from: &NodeId, report: &TermEndReport) -> bool {
        let now = clock::now();
        let effect = self.with_cell(|cell| cell.on_term_end(report, now)).flatten();
        let Some(effect) = effect else {
            return false;
        };
        self.earlier_orders_end.set(self.earlier_orders_end.get().min(effect.orders_end));
        info!(self.node.log, "end of the last term known"; "cell" => %self.service,
            "epoch" => self.epoch.0, "ended_epoch" => report.epoch().0, "from" => %from,
            "released" => effect.released, "shortened" => effect.shortened,
            "waited_ms" => now.since(self.started_at).0,
            "left_before_ms" => effect.left_before.0, "left_after_ms" => effect.left_after.0);
        true
    }
}
