//! Decisions of a cell as log lines.

use slog::{Logger, info};
use teaselgap_core::{Epoch, ServiceId, job::Note};

/// Writes one decision.
pub(super) fn write(log: &Logger, cell: &ServiceId, epoch: Epoch, note: &Note) {
    let (cell, epoch) = (cell.as_str(), epoch.0);
    match note {
        Note::Accepted { job, queue, waiting } => {
            info!(log, "accepted"; "job" => %job, "queue" => %queue, "waiting_jobs" => waiting,
                "cell" => cell, "epoch" => epoch);
        }
        Note::Refused { job, queue, waiting, retry_after } => {
            info!(log, "refused"; "job" => %job, "queue" => %queue, "waiting_jobs" => waiting,
                "retry_after_ms" => retry_after.0, "cell" => cell, "epoch" => epoch);
        }
        Note::Placed { run, free_cpu_milli, waited } => {
            info!(log, "placed"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker,
                "free_cpu_milli" => free_cpu_milli, "waited_ms" => waited.0, "epoch" => epoch);
        }
        Note::Ended { run, how } => {
            info!(log, "run ended"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker,
                "how" => ?how, "epoch" => epoch);
        }
        Note::Stopping { run, reason } => {
            info!(log, "stopping run"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "reason" => reason, "epoch" => epoch);
        }
        Note::StartFailed { run, reason } => {
            info!(log, "start failed"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker, "reason" => reason, "epoch" => epoch);
        }
        Note::RunGone { run, reason } => {
            info!(log, "run gone"; "task" => %run.task, "attempt" => run.attempt,
                "worker" => %run.worker,
                "reason" => reason, "epoch" => epoch);
        }
        Note::Advised { step, asked, allowed } => {
            info!(log, "advised"; "step" => %step, "asked" => asked, "allowed" => allowed,
                "epoch" => epoch);
        }
        Note::Finished { job, end, after } => {
            info!(log, "job finished"; "job" => %job, "end" => ?end, "after_ms" => after.0,
                "cell" => cell, "epoch" => epoch);
        }
        Note::Worker { worker, change, runs } => {
            info!(log, "worker"; "worker" => %worker, "change" => change, "runs" => runs,
                "cell" => cell, "epoch" => epoch);
        }
    }
}
