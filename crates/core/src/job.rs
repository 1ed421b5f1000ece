//! Schedules jobs, which consist of many tasks, on workers under leases.
//!
//! A [`Cell`] holds one service's jobs and the workers that run them. One node at a time owns it.
//! The revision of the owner's key in the platform's store is the epoch: the fencing token of each
//! write to the cell's log and, with a generation, of each call to its workers ([`Fence`]). The cell is a pure state machine: its
//! input is events and an explicit time, its output is [`Action`]s.
//!
//! Two rules keep a task from running twice:
//!
//! - A run counts as alive from the moment the owner sends its start order until the worker lists
//!   its end or confirms that it will never start, or until the worker's lease has expired even by
//!   the slowest clock.
//! - After a takeover, the new owner starts no task that an earlier owner may have started until
//!   each worker on which it may run either rejects orders of earlier terms or its leases from
//!   those terms have expired. For a long-running task, the log names this worker; for any other
//!   task, it may be each worker that was used.

mod advice;
mod cell;
mod fence;
mod fleet;
mod flow;
mod id;
mod lag;
mod life;
mod log;
mod message;
mod order;
mod order_rate;
mod pace;
mod permission;
mod place;
mod record;
mod retransmit;
mod retry_after;
mod spec;
mod task;
mod term;
mod times;
mod worker;

/// Maximum difference between the wall clocks of two nodes, including steps of either clock.
const WALL_CLOCK_MARGIN: crate::Span = crate::Span(2_500);

pub use self::{
    advice::{AdviceAnswer, AdviceConfig, AdviceRequest},
    cell::{
        AdmissionPolicy, Cell, CellConfig, QueueConfig, RecoveredLog, TermClaim, TermEnd,
        TermEndEffect, TermEndReport,
    },
    fence::{Fence, FencedCall},
    fleet::{
        BurstHistory, Fleet, FleetAction, FleetConfig, FleetOrder, FleetRecord, FleetRequest,
        InstructionNumber, ListingChange, ORDER_SEND_WINDOW, OrderBasis, OrderNumber, OrderOutcome,
        OrderedWorker, PoolSize, ReopenedWave, Vm, VmState, Wave, WaveBasis, WaveStep,
    },
    flow::{FlowLimits, LinkRate},
    id::{JobId, JobIdError, StepId, TaskId, WorkerId},
    lag::LagMonitor,
    log::{LogConfig, LogWrite, LogWriter, Position, Sequence},
    message::{
        Action, Answer, HoldReport, JobState, LeaseWait, ListedRun, Load, LogEvent, OtherInstance,
        Outlook, PlacedTask, RunEnd, RunId, StartAnswer, StartOrder, StartOutcome,
        StepAvailability, Token,
    },
    permission::{PeerWord, Permission},
    record::{
        AwaitedWorker, EndKind, JobEnd, LostRun, QueueSettings, Record, StoredSegment,
        TaskSnapshot, UnsettledWorker,
    },
    retransmit::{AnswerOrder, RetransmitTimer},
    retry_after::retry_after,
    spec::{JobSpec, Resources, Schedule, SpecError, Step},
    term::{Candidate, Duty, OrderRate, duty_to_hand_over, propose_owners},
    worker::{DrainMode, WorkerEntry},
};
