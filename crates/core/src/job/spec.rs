//! The specification of a job, as a client account submits it.

#[cfg(test)]
mod tests;

use std::ops::{Add, AddAssign, SubAssign};

use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use crate::Span;

/// Maximum size of a job's payload in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum size of a job's specification in its stored form, in bytes. Together with its task
/// states it must fit into values of the store.
const MAX_STORED_BYTES: usize = 64 * 1024;

/// Maximum number of steps of a job.
const MAX_STEPS: usize = 64;

/// Maximum number of tasks in one occurrence of a job, over all steps.
const MAX_TASKS: u64 = 10_000;

/// Maximum number of occurrences of a job.
const MAX_OCCURRENCES: u32 = 100_000;

/// Maximum estimate of a task's duration: a year.
const MAX_ESTIMATE: Span = Span(365 * 24 * 3_600_000);

/// Maximum processor time of a job by its estimates, in thousandths of a core times milliseconds. The
/// sum over all jobs of a cell stays within 64 bits.
const MAX_WORK: u64 = 1 << 50;

/// More of any resource than a VM can have. Sums over all VMs and products with short durations stay
/// within 64 bits.
const MAX_AMOUNT: u64 = 1 << 30;

/// Resources that a task needs or that a worker provides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor capacity in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub gpus: u64,
}

impl Resources {
    /// Whether a VM may have these resources.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        self.cpu_milli <= MAX_AMOUNT && self.memory_mb <= MAX_AMOUNT && self.gpus <= MAX_AMOUNT
    }

    /// Whether `available` suffices for these resources.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mb <= available.memory_mb
            && self.gpus <= available.gpus
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub(super) fn min(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub(super) fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns what is left after `used` is taken away, at least zero of each resource.
    #[must_use]
    pub fn saturating_sub(&self, used: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            gpus: self.gpus.saturating_sub(used.gpus),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(&other);
    }
}

/// When the occurrences of a periodic job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_wall_ms: u64,
    /// Interval between two occurrences.
    pub period: Span,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// A step of a job: a number of tasks of the same kind.
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent of each other")]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Rough estimate of a task's duration.
    pub estimate: Span,
    /// Indices of the earlier steps that must be done before this one starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks save checkpoints of their progress.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which makes progress only while all of them run.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
    /// Whether a gang's tasks must all run on the same rack, because they are slow if spread over
    /// several.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data of the tasks; they are slow on other racks.
    pub data_rack: Option<String>,
    /// Maximum number of the step's tasks, within one occurrence, on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of the same task may be alive at the same time.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of the same image behave alike.
    pub image: Option<String>,
    /// Limit for the tail of response times; set for latency-sensitive tasks only.
    pub tail_target: Option<Span>,
    /// Whether the tasks are best-effort: they use processor time that other tasks leave unused.
    #[serde(rename = "fills", skip_serializing_if = "std::ops::Not::not")]
    pub is_best_effort: bool,
    /// How many tasks of a long-running step may be unavailable at the same time because the system
    /// stops them; at least one may, even if this is zero.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the processor time that the tasks take by their estimate, in thousandths of a core
    /// times milliseconds; zero if they are long-running.
    fn work(&self) -> u64 {
        if self.long_running {
            return 0;
        }
        let cpu_milli = self.need.cpu_milli.saturating_mul(u64::from(self.count));
        cpu_milli.saturating_mul(self.estimate.0)
    }

    /// Returns the resources that a run of a task books on its worker. A best-effort task books no
    /// processor capacity.
    #[must_use]
    pub fn booked(&self) -> Resources {
        let cpu_milli = if self.is_best_effort { 0 } else { self.need.cpu_milli };
        Resources { cpu_milli, ..self.need }
    }
}

/// The specification of a job.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is sent to the worker with each start order.
    pub payload: String,
    /// The steps; each one comes after the steps that it waits for.
    pub steps: Vec<Step>,
    /// When the steps run; without a schedule they run once, on arrival.
    pub schedule: Option<Schedule>,
}

/// The error for an invalid job specification.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SpecError(String);

impl JobSpec {
    /// Returns the number of occurrences: how many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Whether the job runs until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks the limits on sizes and counts, and that each step waits only for earlier ones.
    ///
    /// # Errors
    ///
    /// Names the first field or step that is invalid.
    pub fn validate(&self) -> Result<(), SpecError> {
        let fail = |text: String| Err(SpecError(text));
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return fail(format!("payload: over {MAX_PAYLOAD_BYTES} bytes"));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return fail(format!("steps: {} is not within 1 to {MAX_STEPS}", self.steps.len()));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return fail(format!("step {number}: a count of 0"));
            }
            if !step.need.is_plausible() {
                return fail(format!("step {number}: a task needs more than any VM can have"));
            }
            if step.estimate > MAX_ESTIMATE {
                return fail(format!("step {number}: an estimate over {MAX_ESTIMATE}"));
            }
            if let Some(after) = step.after.iter().find(|&&after| after as usize >= number) {
                return fail(format!("step {number}: waits for step {after}, which isn't earlier"));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return fail(format!("steps: {tasks} tasks, over {MAX_TASKS}"));
        }
        let work = self.steps.iter().fold(0_u64, |sum, step| sum.saturating_add(step.work()));
        if work > MAX_WORK {
            return fail("steps: more processor time than any fleet can give".to_owned());
        }
        // Serialisation can't fail: the specification holds only values that JSON can represent.
        if serde_json::to_vec(self).is_ok_and(|json| json.len() > MAX_STORED_BYTES) {
            return fail(format!("over {MAX_STORED_BYTES} bytes in its stored form"));
        }
        match self.schedule {
            Some(schedule) if schedule.occurrences == 0 => fail("schedule: 0 occurrences".into()),
            Some(schedule) if schedule.occurrences > MAX_OCCURRENCES => {
                fail(format!("schedule: over {MAX_OCCURRENCES} occurrences"))
            }
            _ => Ok(()),
        }
    }

    /// Returns the length of the critical path: the longest chain of steps that wait for each
    /// other. `time` returns the duration of a step in milliseconds, given its index and the step
    /// itself.
    #[must_use]
    pub fn critical_path(&self, time: impl Fn(usize, &Step) -> u64) -> Span {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let start = step.after.iter().filter_map(|&after| ends.get(after as usize)).max();
            ends.push(start.copied().unwrap_or(0) + time(index, step));
        }
        Span(ends.into_iter().max().unwrap_or(0))
    }
}
