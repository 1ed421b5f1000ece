//! What a client account asks for when it submits a job.

use std::ops::{Add, AddAssign, SubAssign};

use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use crate::Span;

/// Most bytes of a job's payload.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Most steps of a job.
const MAX_STEPS: usize = 64;

/// Most tasks of a job over all steps of one occurrence.
const MAX_TASKS: u64 = 10_000;

/// Most occurrences of a job.
const MAX_OCCURRENCES: u32 = 100_000;

/// What a task takes up on a worker, or what a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Mebibytes of memory.
    pub memory_mb: u64,
    /// Accelerators.
    #[serde(default)]
    pub gpus: u64,
}

impl Resources {
    /// Whether this much is left where `room` is left.
    #[must_use]
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.gpus <= room.gpus
    }

    /// What is left of this after `used`; zero where more is used than there is.
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

/// When the steps of a job run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_wall_ms: u64,
    /// The time from one occurrence to the next.
    pub period: Span,
    /// How many occurrences there are.
    pub occurrences: u32,
}

/// Tasks of one kind within a job.
#[expect(clippy::struct_excessive_bools, reason = "each is a property of its own")]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks the step has.
    pub count: u32,
    /// What each task takes up.
    pub need: Resources,
    /// A rough estimate of a task's duration.
    pub estimate: Span,
    /// Earlier steps that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// The tasks save their progress.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub checkpoints: bool,
    /// The tasks work only together.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
    /// The tasks are slow on more than one rack.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack with the data; tasks elsewhere are slow.
    pub data_rack: Option<String>,
    /// Most tasks of one occurrence of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Copies of a task may run side by side.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// For tasks that serve users: what the tail of their response times must stay below.
    pub tail_target: Option<Span>,
    /// The tasks take processor time that others leave unused.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub fills: bool,
    /// How many tasks may be away at a time because of what the system does.
    pub may_miss: u32,
}

impl Step {
    /// What counts against a worker's capacity while a task of the step runs there.
    #[must_use]
    pub fn booked(&self) -> Resources {
        let cpu_milli = if self.fills { 0 } else { self.need.cpu_milli };
        Resources { cpu_milli, ..self.need }
    }
}

/// What a job consists of.
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that each start of a task carries.
    pub payload: String,
    /// The steps, in an order in which none comes before what it waits for.
    pub steps: Vec<Step>,
    /// When the steps are repeated.
    pub schedule: Option<Schedule>,
}

/// A job that can't be accepted as it is.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SpecError(String);

impl JobSpec {
    /// How many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Whether the job runs until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Checks the sizes and the order of the steps.
    ///
    /// # Errors
    ///
    /// The first step or field that is out of bounds, by name.
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
            if let Some(after) = step.after.iter().find(|&&after| after as usize >= number) {
                return fail(format!("step {number}: waits for step {after}, which isn't earlier"));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return fail(format!("steps: {tasks} tasks, over {MAX_TASKS}"));
        }
        match self.schedule {
            Some(schedule) if schedule.occurrences == 0 => fail("schedule: 0 occurrences".into()),
            Some(schedule) if schedule.occurrences > MAX_OCCURRENCES => {
                fail(format!("schedule: over {MAX_OCCURRENCES} occurrences"))
            }
            _ => Ok(()),
        }
    }

    /// The longest chain of steps that wait for each other, with each step's time as given.
    #[must_use]
    pub fn critical_path(&self, time: impl Fn(usize, &Step) -> u64) -> Span {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let start = step.after.iter().filter_map(|&after| ends.get(after as usize)).max();
            ends.push(start.copied().unwrap_or(0) + time(number, step));
        }
        Span(ends.into_iter().max().unwrap_or(0))
    }
}
