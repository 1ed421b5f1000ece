//! What the numbers of listed ends say about the instance that lists them.
//!
//! Numbers start at 1 in each instance and rise. Ends up to the number that a call has named are forgotten, and
//! each list names all others, or the first ones if it is cut off. So one instance never lists an end again that
//! it has forgotten, nor another end under a number that it has listed, and a list that isn't cut off lacks no
//! listed end that no call has named. Calls of earlier owners, which may have named others, do nothing once this
//! owner has been answered.
//!
//! A list against that is of another instance than the ends that were read before, whatever its name and its
//! clock. It is of a later one if it was asked for after they had been read; otherwise the worker is asked again.

#[cfg(test)]
mod tests;

use indexmap::{IndexMap, IndexSet};

use super::{InstanceOrder, Worker};
use crate::{
    Timestamp,
    job::{HoldReport, RunEnd, TaskId},
};

/// The most ends that are kept while lists are cut off, before those of a new list. What isn't kept proves nothing.
const MAX_ENDS: usize = 2_000;

/// The ends that an owner has read in the newest known instance of a worker, as far as they prove something.
#[derive(Clone, Debug, Default)]
pub(in crate::job) struct ListedEnds {
    /// The task and attempt of each end that may be listed again, by its number.
    ends: IndexMap<u64, (TaskId, u32)>,
    /// The number up to which ends are forgotten: one of them was listed and is no more.
    forgotten: u64,
    /// When the latest list was read.
    read_at: Timestamp,
    /// The highest number that a call has named.
    named: u64,
    /// When the instance was found to be another one than that of its name before. Whatever was asked for until
    /// then may be of either.
    found_at: Option<Timestamp>,
}

impl ListedEnds {
    /// Those of an instance of the same name as the one before, which was found now.
    pub(in crate::job) fn of_namesake(now: Timestamp) -> Self {
        Self { found_at: Some(now), ..Self::default() }
    }

    /// Notes that a call names this number.
    pub(in crate::job) fn name(&mut self, number: u64) {
        self.named = self.named.max(number);
    }

    /// Notes the ends of a list that no newer one has overtaken, asked for at `sent`. What it lacks is forgotten
    /// only if it was asked for after all others had been read.
    pub(in crate::job) fn read(
        &mut self,
        report: &HoldReport,
        (sent, now): (Timestamp, Timestamp),
    ) {
        let is_later = sent > self.read_at;
        self.read_at = now;
        if report.is_complete && is_later {
            let vanished = self.vanished(report).max().unwrap_or_default();
            self.forgotten = self.forgotten.max(vanished);
            self.ends.clear();
        }
        if self.ends.len() > MAX_ENDS {
            self.ends.clear();
        }
        for end in &report.ends {
            self.ends.entry(end.number).or_insert((end.task, end.attempt));
        }
    }

    /// Whether a list can't be of the instance whose ends were read before, if it was made after their lists.
    fn is_contradicted_by(&self, report: &HoldReport) -> bool {
        let is_against = |end: &RunEnd| {
            let known = self.ends.get(&end.number);
            end.number <= self.forgotten || known.is_some_and(|of| *of != (end.task, end.attempt))
        };
        let lacks_unnamed = report.is_complete && self.vanished(report).any(|end| end > self.named);
        lacks_unnamed || report.ends.iter().any(is_against)
    }

    /// The numbers of ends that were listed before, and that a list lacks.
    fn vanished(&self, report: &HoldReport) -> impl Iterator<Item = u64> {
        let listed: IndexSet<u64> = report.ends.iter().map(|end| end.number).collect();
        self.ends.keys().copied().filter(move |number| !listed.contains(number))
    }
}

impl Worker {
    /// Places the instance that has answered a call sent at `sent`, and that its name and its clock don't tell
    /// from the newest known one, by the ends that it lists.
    pub(in crate::job) fn place_list(&self, report: &HoldReport, sent: Timestamp) -> InstanceOrder {
        let read = &self.read_ends;
        if read.found_at.is_some_and(|found_at| sent <= found_at) {
            InstanceOrder::Open
        } else if !read.is_contradicted_by(report) {
            InstanceOrder::Same
        } else if sent > read.read_at {
            InstanceOrder::Later
        } else if report.clock_ms < self.listed_clock_ms {
            // The newest known instance may have made it before the latest list, which has overtaken it.
            InstanceOrder::Same
        } else {
            InstanceOrder::Open
        }
    }
}
