//! Identifiers of jobs, steps, tasks and workers.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The error for a text that is not a valid job or task id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {wanted}")]
pub struct JobIdError {
    text: String,
    wanted: &'static str,
}

/// Number of hexadecimal digits of a job id in text form.
const JOB_ID_DIGITS: usize = 16;

/// The id of a job, chosen by the client account that submits it. Its text form is 16 hexadecimal
/// digits.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let fail = || JobIdError { text: text.to_owned(), wanted: "16 lower-case hex digits" };
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(digit) {
            return Err(fail());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| fail())
    }
}

/// The id of one step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence; zero for a job without a schedule.
    pub occurrence: u32,
    /// The index of the step in the job.
    pub step: u32,
}

impl StepId {
    /// Returns the id of the step's task at `index`.
    #[must_use]
    pub fn task(self, index: u32) -> TaskId {
        TaskId { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// The id of a task, the unit of work that runs on one worker.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence; zero for a job without a schedule.
    pub occurrence: u32,
    /// The index of the step in the job.
    pub step: u32,
    /// The index of the task in the step.
    pub index: u32,
}

impl TaskId {
    /// Returns the id of the step that the task belongs to.
    #[must_use]
    pub fn step_id(self) -> StepId {
        StepId { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let fail = || JobIdError { text: text.to_owned(), wanted: "JOB.OCCURRENCE.STEP.INDEX" };
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(fail)?.parse()?;
        let mut next_number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(fail);
        let task =
            Self { job, occurrence: next_number()?, step: next_number()?, index: next_number()? };
        if parts.next().is_some() {
            return Err(fail());
        }
        Ok(task)
    }
}

/// The id of a worker instance on a VM. The platform may give a later instance the same id; their
/// start times differ.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct WorkerId(Arc<str>);

impl WorkerId {
    /// Returns the id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for WorkerId {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for WorkerId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text.into())
    }
}

impl Borrow<str> for WorkerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}
