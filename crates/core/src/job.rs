//! Jobs of many tasks that run on workers under leases.
//!
//! A [`Cell`] is one service's jobs with the workers that run them. It has one owner among the
//! nodes; the revision of the owner's key in the platform's store is the epoch, which fences each
//! write to the cell's log and each order to its workers. The cell is a pure state machine: events
//! and an explicit time go in, [`Action`]s come out.
//!
//! Two rules keep a task from running twice. A run counts as alive from the moment its order is
//! sent until the worker lists its end, confirms that it will never start, or its lease must have
//! run out on the slowest clock. And a new owner starts nothing that an earlier one may have
//! started until each worker has either refused the earlier term or outlived its leases.

mod advice;
mod cell;
mod fleet;
mod id;
mod log;
mod message;
mod order;
mod pace;
mod place;
mod record;
mod spec;
mod task;
mod term;
mod times;
mod worker;

/// How far the wall clocks of two nodes may be apart, steps of either included.
const WALL_CLOCK_MARGIN: crate::Span = crate::Span(2_500);

pub use self::{
    advice::{AdviceAnswer, AdviceConfig, AdviceRequest},
    cell::{Cell, CellConfig, QueueConfig, Recovered},
    fleet::{
        BurstHistory, Fleet, FleetAction, FleetConfig, FleetOrder, FleetRecord, ORDER_SEND_WINDOW,
        OrderOutcome, PoolSize, Vm, VmState, Wave,
    },
    id::{JobId, JobIdError, StepId, TaskId, WorkerId},
    log::{LogConfig, LogWriter, Position, Sequence},
    message::{
        Action, Answer, HoldReport, JobState, ListedRun, Load, LogEvent, RunEnd, RunId, StartOrder,
        StartOutcome, Token,
    },
    record::{EndKind, JobEnd, Record, Segment, UnsettledWorker},
    spec::{JobSpec, Resources, Schedule, SpecError, Step},
    term::{Duty, propose_owners},
    worker::{DrainMode, WorkerEntry},
};
