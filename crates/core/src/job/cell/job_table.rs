//! The jobs of a cell, with the open ones apart from those that have ended.
//!
//! Ended jobs are kept for their retention time and soon outnumber the open ones, so nothing that
//! is done often may look at them.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::super::{JobId, task::Job};
use crate::{Span, Timestamp};

/// The jobs of a cell by id.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    /// The jobs without an end, in the order in which they were added.
    open: IndexMap<JobId, Job>,
    ended: IndexMap<JobId, Job>,
    /// The ended jobs by the time of their end.
    by_end: BTreeSet<(Timestamp, JobId)>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the look-ups of a map take references")]
impl JobTable {
    pub(super) fn contains_key(&self, id: &JobId) -> bool {
        self.open.contains_key(id) || self.ended.contains_key(id)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.ended.is_empty()
    }

    pub(super) fn get(&self, id: &JobId) -> Option<&Job> {
        self.open.get(id).or_else(|| self.ended.get(id))
    }

    pub(super) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.open.get_mut(id).or_else(|| self.ended.get_mut(id))
    }

    /// Adds an open job.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.open.insert(id, job);
    }

    /// Returns a job; adds it as an open one if it is missing.
    pub(super) fn get_or_insert_with(&mut self, id: JobId, new: impl FnOnce() -> Job) -> &mut Job {
        match self.ended.get_mut(&id) {
            Some(job) => job,
            None => self.open.entry(id).or_insert_with(new),
        }
    }

    /// The jobs without an end.
    pub(super) fn open(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.open.iter().map(|(id, job)| (*id, job))
    }

    pub(super) fn open_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.open.values_mut()
    }

    /// All jobs, which may be many.
    #[cfg(test)]
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.open.iter().chain(&self.ended)
    }

    /// Moves a job that now has an end to the ended ones.
    pub(super) fn close(&mut self, id: JobId) {
        if let Some(job) = self.open.shift_remove(&id) {
            self.insert_ended(id, job);
        }
    }

    /// Does the same for every open job that has an end.
    pub(super) fn close_ended(&mut self) {
        let has_end = |_: &JobId, job: &mut Job| job.end.is_some();
        let ended: Vec<(JobId, Job)> = self.open.extract_if(.., has_end).collect();
        for (id, job) in ended {
            self.insert_ended(id, job);
        }
    }

    fn insert_ended(&mut self, id: JobId, job: Job) {
        self.by_end.insert((job.ended, id));
        self.ended.insert(id, job);
    }

    /// Removes the jobs whose retention time has passed since they ended, except those whose end is
    /// not durable. Returns their ids.
    pub(super) fn remove_expired(&mut self, retention: Span, now: Timestamp) -> Vec<JobId> {
        let is_over = |(ended, _): &&(Timestamp, JobId)| now > *ended + retention;
        let over = self.by_end.iter().take_while(is_over);
        let is_durable = |(_, id): &&(Timestamp, JobId)| {
            self.ended.get(id).is_some_and(|job| job.is_end_durable)
        };
        let expired: Vec<(Timestamp, JobId)> = over.filter(is_durable).copied().collect();
        for key in &expired {
            self.by_end.remove(key);
            self.ended.swap_remove(&key.1);
        }
        expired.into_iter().map(|(_, id)| id).collect()
    }
}
