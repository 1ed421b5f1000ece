//! The jobs that were submitted in this term, from which the fleet sizes the pool.
//!
//! Refused jobs count like accepted ones: the pool of a cell that refuses jobs for want of workers
//! would otherwise never grow. A job that is submitted again after a refusal counts once.

use indexmap::IndexSet;

use super::{
    super::{JobId, JobSpec, times},
    Cell,
};
use crate::QueueId;

/// The number of submitted jobs after which those remembered before are forgotten.
const JOBS_PER_GENERATION: usize = 8_192;

/// The jobs that were submitted in this term.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// The estimated processor time of these jobs, in thousandths of a core-second, without
    /// long-running tasks.
    pub(super) milli_s: u64,
    /// The number of jobs with such work.
    pub(super) jobs: u64,
    /// The jobs counted last.
    newest: IndexSet<JobId>,
    /// The jobs counted before `newest` was last empty.
    older: IndexSet<JobId>,
}

impl Arrivals {
    /// Remembers a job; returns whether it had not been counted before.
    fn insert(&mut self, job: JobId) -> bool {
        if self.older.contains(&job) || !self.newest.insert(job) {
            return false;
        }
        if self.newest.len() >= JOBS_PER_GENERATION {
            self.older = std::mem::take(&mut self.newest);
        }
        true
    }
}

impl Cell {
    /// Counts a job that is submitted, whether it is accepted or refused; returns false if it was
    /// counted before.
    pub fn count_arrival(&mut self, job: JobId, queue: &QueueId, spec: &JobSpec) -> bool {
        if !self.arrivals.insert(job) {
            return false;
        }
        let expected = self.expected_times.get(queue);
        let work = times::total_work(spec, expected) / 1_000;
        self.arrivals.milli_s += work;
        self.arrivals.jobs += u64::from(work > 0);
        true
    }
}
