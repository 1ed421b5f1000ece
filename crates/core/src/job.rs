//! Schedules jobs, which consist of many tasks, on workers under leases.
//!
//! A [`Cell`] holds one service's jobs and the workers that run them. One node at a time owns it.
//! The revision of the owner's key in the platform's store is the epoch: the fencing token of each
//! write to the cell's log and of each order to its workers. The cell is a pure state machine: its
//! input is events and an explicit time, its output is [`Action`]s.
//!
//! Two rules keep a task from running twice:
//!
//! - A run counts as alive from the moment the owner sends its start order until the worker lists
//!   its end or confirms that it will never start, or until the worker's lease has expired even by
//!   the slowest clock.
//! - After a takeover, the new owner starts no task that an earlier owner may have started until
//!   each worker either rejects orders of earlier terms or its leases from those terms have
//!   expired.

mod advice;
mod cell;
mod fleet;
mod flow;
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

/// Maximum difference between the wall clocks of two nodes, including steps of either clock.
const WALL_CLOCK_MARGIN: crate::Span = crate::Span(2_500);

pub use self::{
    advice::{AdviceAnswer, AdviceConfig, AdviceRequest},
    cell::{Cell, CellConfig, QueueConfig, RecoveredLog},
    fleet::{
        BurstHistory, Fleet, FleetAction, FleetConfig, FleetOrder, FleetRecord, ORDER_SEND_WINDOW,
        OrderOutcome, PoolSize, Vm, VmState, Wave,
    },
    flow::{FlowLimits, LinkRate},
    id::{JobId, JobIdError, StepId, TaskId, WorkerId},
    log::{LogConfig, LogWriter, Position, Sequence},
    message::{
        Action, Answer, HoldReport, JobState, ListedRun, Load, LogEvent, PlacedTask, RunEnd, RunId,
        StartOrder, StartOutcome, Token,
    },
    record::{EndKind, JobEnd, Record, Segment, UnsettledWorker},
    spec::{JobSpec, Resources, Schedule, SpecError, Step},
    term::{Duty, propose_owners},
    worker::{DrainMode, WorkerEntry},
};
