//! Writes the log events of a cell to the node's log: one line for each decision, and of each kind
//! of run's end a limited number a second.

use std::cell::RefCell;

use slog::{Logger, debug, info, warn};
use teaselgap_core::{
    Epoch, ServiceId, Span,
    job::{
        EndKind, LeaseWait, LogEvent, OtherInstance, PlacedTask, RunId, StepAvailability, StepId,
    },
};

use super::{line_limit::LineLimit, owner_load::OwnerLoad};

/// How an owner gets on with the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreState {
    /// The age of the write of the log that is in flight; zero if there is none.
    pub(super) write_age: Span,
    /// The number of calls that this process has sent to the store again, in total.
    pub(super) repeats: u64,
    /// How much longer the node's lease is certainly valid.
    pub(super) lease_validity: Span,
}

/// Writes the events of one term of a cell.
#[derive(Debug)]
pub(super) struct CellLog {
    log: Logger,
    cell: ServiceId,
    epoch: u64,
    limit: RefCell<LineLimit>,
}

impl CellLog {
    pub(super) fn new(log: Logger, cell: ServiceId, epoch: Epoch) -> Self {
        Self { log, cell, epoch: epoch.0, limit: RefCell::default() }
    }

    /// Writes one log event.
    pub(super) fn write(&self, event: &LogEvent) {
        let (log, cell, epoch) = (&self.log, self.cell.as_str(), self.epoch);
        match event {
            LogEvent::Accepted { job, queue, waiting } => {
                info!(log, "accepted"; "job" => %job, "queue" => %queue, "waiting_jobs" => waiting,
                    "cell" => cell, "epoch" => epoch);
            }
            LogEvent::Refused { job, queue, waiting, reason, wait, retry_after, order_rate } => {
                info!(log, "refused"; "job" => %job, "queue" => %queue, "waiting_jobs" => waiting,
                    "reason" => reason, "wait_ms" => wait.0,
                    "retry_after_ms" => retry_after.0,
                    "orders_per_s" => order_rate.map(|rate| rate.0), "cell" => cell, "epoch" => epoch);
            }
            LogEvent::Placed { step, tasks, waited } => self.write_placed(*step, tasks, *waited),
            LogEvent::Ended { run, how, is_task_done: true, .. } => self.write_task_done(run, *how),
            LogEvent::Ended { run, how, step: Some(step), renewed, .. } => {
                self.write_long_running_end(run, *how, *step, *renewed);
            }
            LogEvent::Ended { run, how, .. } => self.write_end(run, *how),
            LogEvent::StepDone { step, runs } => {
                info!(log, "step done"; "step" => %step, "runs" => runs, "epoch" => epoch);
            }
            LogEvent::Stopping { run, reason, step: None } => {
                self.write_run("stopping run", run, reason);
            }
            LogEvent::Stopping { run, reason, step: Some(step) } => {
                self.write_long_running_stop(run, reason, *step);
            }
            LogEvent::StopRevoked { run, reason } => self.write_run("stop revoked", run, reason),
            LogEvent::StartFailed { run, reason } => self.write_run("start failed", run, reason),
            LogEvent::StartOpen { run, is_answered, left } => {
                self.write_start_open(run, *is_answered, *left);
            }
            LogEvent::StartSettled { run, open } => self.write_start_settled(run, *open),
            LogEvent::EndWaits { run, number, left } => self.write_waiting_end(run, *number, *left),
            LogEvent::RunEndedUnreported { run, reason, wait } => {
                self.write_unreported_end(run, reason, *wait);
            }
            LogEvent::RunLost { run, losses, is_crash, alive_ms, beside } => {
                self.write_lost(run, (*losses, *is_crash), (*alive_ms, *beside));
            }
            LogEvent::TaskPaused { task, crashes, pause } => {
                info!(log, "task paused"; "task" => %task, "crashes" => crashes,
                    "pause_ms" => pause.0, "cell" => cell, "epoch" => epoch);
            }
            LogEvent::AdviceAnswered { step, asked, allowed } => {
                info!(log, "advised"; "step" => %step, "asked" => asked, "allowed" => allowed,
                    "epoch" => epoch);
            }
            LogEvent::Finished { job, end, after } => {
                info!(log, "job finished"; "job" => %job, "end" => ?end, "after_ms" => after.0,
                    "cell" => cell, "epoch" => epoch);
            }
            LogEvent::InheritedReleased { jobs, waited, adopted, expired } => {
                info!(log, "inherited jobs released"; "jobs" => jobs, "waited_ms" => waited.0,
                    "workers_adopted" => adopted, "workers_expired" => expired, "cell" => cell,
                    "epoch" => epoch);
            }
            LogEvent::InheritedWait { workers, left, known_by, last } => {
                info!(log, "waiting for inherited workers"; "workers" => workers,
                    "until_ms" => left.0, "known_by" => known_by, "last" => %last, "cell" => cell,
                    "epoch" => epoch);
            }
            LogEvent::OtherInstance(statement) => self.write_other_instance(statement),
            LogEvent::PlannedStart { run, other_runs, withheld } => {
                self.write_planned_start(run, *other_runs, *withheld);
            }
            LogEvent::RunAdopted { run, is_needed } => {
                let reason = if *is_needed { "goes on" } else { "not needed" };
                self.write_run("run adopted", run, reason);
            }
            LogEvent::EndsForgotten { worker, read, first } => {
                warn!(log, "ends forgotten unread"; "worker" => %worker, "read" => read,
                    "first" => first, "cell" => cell, "epoch" => epoch);
            }
            LogEvent::Worker { worker, change, runs } => {
                info!(log, "worker"; "worker" => %worker, "change" => change, "runs" => runs,
                    "cell" => cell, "epoch" => epoch);
            }
        }
    }

    fn write_placed(&self, step: StepId, tasks: &[PlacedTask], waited: Span) {
        let attempts = || tasks.iter().map(|task| task.attempt);
        let free_cpu_milli = tasks.iter().map(|task| task.free_cpu_milli).min();
        info!(self.log, "placed"; "step" => %step, "count" => tasks.len(),
            "first_attempt" => attempts().min(), "last_attempt" => attempts().max(),
            "workers" => worker_by_index(tasks), "least_free_cpu_milli" => free_cpu_milli,
            "waited_ms" => waited.0, "epoch" => self.epoch);
    }

    fn write_task_done(&self, run: &RunId, how: EndKind) {
        debug!(self.log, "run ended"; "task" => %run.task, "attempt" => run.attempt,
            "worker" => %run.worker, "how" => ?how, "epoch" => self.epoch);
    }

    fn write_end(&self, run: &RunId, how: EndKind) {
        if self.limit.borrow_mut().admit("run ended") {
            info!(self.log, "run ended"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "how" => ?how, "epoch" => self.epoch);
        }
    }

    /// Writes the end of a run of a long-running task. One that has lapsed counts like one that was
    /// stopped, so the line has what a stop's has.
    fn write_long_running_end(
        &self,
        run: &RunId,
        how: EndKind,
        step: StepAvailability,
        renewed: Option<Span>,
    ) {
        if self.limit.borrow_mut().admit("run ended") {
            info!(self.log, "run ended"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "how" => ?how, "others_away" => step.away,
                "may_be_away" => step.max_unavailable,
                "renewed_ms_ago" => renewed.map(|age| age.0), "epoch" => self.epoch);
        }
    }

    fn write_lost(
        &self,
        run: &RunId,
        (losses, is_crash): (usize, bool),
        (alive_ms, beside): (Option<u64>, Option<usize>),
    ) {
        if self.limit.borrow_mut().admit("run lost") {
            info!(self.log, "run lost"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "losses" => losses, "is_crash" => is_crash,
                "alive_ms" => alive_ms, "beside" => beside, "epoch" => self.epoch);
        }
    }

    fn write_run(&self, kind: &'static str, run: &RunId, reason: &'static str) {
        if self.limit.borrow_mut().admit(kind) {
            info!(self.log, "{}", kind; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "reason" => reason, "epoch" => self.epoch);
        }
    }

    fn write_unreported_end(&self, run: &RunId, reason: &'static str, wait: Option<LeaseWait>) {
        if self.limit.borrow_mut().admit("run ended without a report") {
            info!(self.log, "run ended without a report"; "task" => %run.task,
                "attempt" => run.attempt, "worker" => %run.worker, "reason" => reason,
                "lease_over_ms" => wait.map(|wait| wait.lease_over.0),
                "silent_ms" => wait.map(|wait| wait.silent.0),
                "has_open_order" => wait.map(|wait| wait.has_open_order), "epoch" => self.epoch);
        }
    }

    fn write_start_open(&self, run: &RunId, is_answered: bool, left: Span) {
        if self.limit.borrow_mut().admit("start order open") {
            info!(self.log, "start order open"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "is_answered" => is_answered, "left_ms" => left.0,
                "epoch" => self.epoch);
        }
    }

    fn write_start_settled(&self, run: &RunId, open: Span) {
        if self.limit.borrow_mut().admit("start order settled") {
            info!(self.log, "start order settled"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "open_ms" => open.0, "cell" => self.cell.as_str(),
                "epoch" => self.epoch);
        }
    }

    fn write_waiting_end(&self, run: &RunId, number: u64, left: Span) {
        if self.limit.borrow_mut().admit("end waits") {
            info!(self.log, "end waits"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "number" => number, "left_ms" => left.0,
                "epoch" => self.epoch);
        }
    }

    /// Writes the stop of a long-running task, with what the decision rests on.
    fn write_long_running_stop(&self, run: &RunId, reason: &'static str, step: StepAvailability) {
        if self.limit.borrow_mut().admit("stopping run") {
            info!(self.log, "stopping run"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "reason" => reason, "others_away" => step.away,
                "may_be_away" => step.max_unavailable, "epoch" => self.epoch);
        }
    }

    /// Writes what a statement about another instance of a worker was compared with.
    fn write_other_instance(&self, statement: &OtherInstance) {
        let OtherInstance { worker, source, started_wall_ms, known_started_wall_ms, .. } =
            statement;
        let (known_clock_ms, known_clock_age) = statement.known_clock.unzip();
        if self.limit.borrow_mut().admit("other worker instance") {
            info!(self.log, "other worker instance"; "worker" => %worker, "source" => source,
                "started" => started_wall_ms, "known_started" => known_started_wall_ms,
                "clock_ms" => statement.clock_ms, "known_clock_ms" => known_clock_ms,
                "lease_end_sent_ms" => statement.lease_end_sent_ms,
                "known_clock_age_ms" => known_clock_age.map(|age| age.0),
                "verdict" => statement.verdict, "cell" => self.cell.as_str(),
                "epoch" => self.epoch);
        }
    }

    fn write_planned_start(&self, run: &RunId, other_runs: usize, withheld: Option<&'static str>) {
        if self.limit.borrow_mut().admit("planned start") {
            info!(self.log, "planned start"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "other_runs" => other_runs, "withheld" => withheld,
                "epoch" => self.epoch);
        }
    }

    /// Writes the load of the last second.
    pub(super) fn write_load(&self, load: &OwnerLoad, store: &StoreState) {
        info!(self.log, "owner load"; "calls_in_flight" => load.calls_in_flight,
            "oldest_call_ms" => load.oldest_call.0,
            "held_back_starts" => load.held_back_starts,
            "starts_in_flight" => load.starts_in_flight, "starts" => load.starts,
            "repeated_starts" => load.repeated_starts, "start_bytes" => load.start_bytes,
            "accepted" => load.accepted, "refused" => load.refused, "stops" => load.stops,
            "holds" => load.holds, "unanswered" => load.unanswered,
            "unanswered_holds" => load.unanswered_holds, "listed_runs" => load.lists.runs,
            "listed_ends" => load.lists.ends, "known_ends" => load.lists.known_ends,
            "hold_answer_bytes" => load.lists.bytes, "waiting_ends" => load.waiting_ends,
            "median_answer_ms" => load.median_answer.0,
            "longest_answer_ms" => load.longest_answer.0,
            "longest_tick_us" => load.longest_tick.as_micros(), 
            "write_age_ms" => store.write_age.0, "store_repeats" => store.repeats,
            "lease_left_ms" => store.lease_validity.0, "cell" => self.cell.as_str(),
            "epoch" => self.epoch);
    }

    /// Starts a new second, after a line for each kind of which lines were left out.
    pub(super) fn start_second(&self) {
        for (kind, lines) in self.limit.borrow_mut().start_second() {
            info!(self.log, "log lines left out"; "of" => kind, "lines" => lines,
                "cell" => self.cell.as_str(), "epoch" => self.epoch);
        }
    }
}

/// Returns the index of each task with its worker, such as `0@w3 1@w7`.
fn worker_by_index(tasks: &[PlacedTask]) -> String {
    let parts: Vec<String> =
        tasks.iter().map(|task| format!("{}@{}", task.index, task.worker)).collect();
    parts.join(" ")
}
