//! Writes the log events of a cell to the node's log.

use slog::{Logger, info};
use teaselgap_core::{Epoch, ServiceId, job::LogEvent};

/// Writes one log event.
pub(super) fn write(log: &Logger, cell: &ServiceId, epoch: Epoch, event: &LogEvent) {
    let (cell, epoch) = (cell.as_str(), epoch.0);
    match event {
        LogEvent::Accepted { job, queue, waiting } => {
            info!(log, "accepted"; "job" => %job, "queue" => %queue, "waiting_jobs" => waiting,
                "cell" => cell, "epoch" => epoch);
        }
        LogEvent::Refused { job, queue, waiting, reason, wait, retry_after } => {
            info!(log, "refused"; "job" => %job, "queue" => %queue, "waiting_jobs" => waiting,
                "reason" => reason, "wait_ms" => wait.0,
                "retry_after_ms" => retry_after.0, "cell" => cell, "epoch" => epoch);
        }
        LogEvent::Placed { run, free_cpu_milli, waited } => {
            info!(log, "placed"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker,
                "free_cpu_milli" => free_cpu_milli, "waited_ms" => waited.0, "epoch" => epoch);
        }
        LogEvent::Ended { run, how } => {
            info!(log, "run ended"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker,
                "how" => ?how, "epoch" => epoch);
        }
        LogEvent::Stopping { run, reason } => {
            info!(log, "stopping run"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "reason" => reason, "epoch" => epoch);
        }
        LogEvent::StartFailed { run, reason } => {
            info!(log, "start failed"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "reason" => reason, "epoch" => epoch);
        }
        LogEvent::RunEndedUnreported { run, reason } => {
            info!(log, "run ended without a report"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker,
                "reason" => reason, "epoch" => epoch);
        }
        LogEvent::AdviceAnswered { step, asked, allowed } => {
            info!(log, "advised"; "step" => %step, "asked" => asked, "allowed" => allowed,
                "epoch" => epoch);
        }
        LogEvent::Finished { job, end, after } => {
            info!(log, "job finished"; "job" => %job, "end" => ?end, "after_ms" => after.0,
                "cell" => cell, "epoch" => epoch);
        }
        LogEvent::Worker { worker, change, runs } => {
            info!(log, "worker"; "worker" => %worker, "change" => change, "runs" => runs,
                "cell" => cell, "epoch" => epoch);
        }
    }
}
