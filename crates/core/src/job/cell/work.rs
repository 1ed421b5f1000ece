//! Counts of what the cell looks at, by which tests bound the processor time that it needs.

/// What one pass of planning has looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PlanWork {
    /// Number of jobs among which the waiting steps were found.
    pub(super) jobs: usize,
    /// Number of waiting steps that were considered, in the order of their ranks.
    pub(super) steps: usize,
    /// Number of waiting steps for which every worker was looked at.
    pub(super) searches: usize,
}
