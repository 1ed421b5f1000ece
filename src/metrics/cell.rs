//! The metrics of what owners of cells decide about jobs, from their log events.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use teaselgap_core::job::{EndKind, JobEnd, LogEvent};

use super::SECONDS;

/// Counts what owners decide; each time series has the name of its cell.
#[derive(Clone, Debug)]
pub(super) struct CellMetrics {
    submissions: Counter<u64>,
    placed_tasks: Counter<u64>,
    placement_wait_seconds: Histogram<f64>,
    run_ends: Counter<u64>,
    failed_starts: Counter<u64>,
    open_starts: Counter<u64>,
    lost_runs: Counter<u64>,
    job_ends: Counter<u64>,
    job_seconds: Histogram<f64>,
    worker_changes: Counter<u64>,
    takeovers: Counter<u64>,
    takeover_seconds: Histogram<f64>,
}

impl CellMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter =
            |name, description| meter.u64_counter(name).with_description(description).build();
        let seconds = |name, description| {
            let histogram = meter.f64_histogram(name).with_description(description);
            histogram.with_boundaries(SECONDS.to_vec()).build()
        };
        Self {
            submissions: counter(
                "teaselgap_submissions",
                "Submissions by result, refused ones with the reason.",
            ),
            placed_tasks: counter("teaselgap_placed_tasks", "Tasks for which workers were chosen."),
            placement_wait_seconds: seconds(
                "teaselgap_placement_wait_seconds",
                "Time that a step waited for its placement.",
            ),
            run_ends: counter("teaselgap_run_ends", "Ends of runs, by how they ended."),
            failed_starts: counter("teaselgap_failed_starts", "Start orders refused or not sent."),
            open_starts: counter("teaselgap_open_starts", "Copies of orders without an answer."),
            lost_runs: counter("teaselgap_lost_runs", "Runs lost with their workers."),
            job_ends: counter("teaselgap_job_ends", "Ends of jobs."),
            job_seconds: seconds("teaselgap_job_seconds", "Time from a job's arrival to its end."),
            worker_changes: counter("teaselgap_worker_changes", "What became known of workers."),
            takeovers: counter("teaselgap_takeovers", "Terms whose inherited jobs may start."),
            takeover_seconds: seconds(
                "teaselgap_takeover_seconds",
                "Time that inherited jobs waited for workers of earlier terms.",
            ),
        }
    }

    /// Counts a decision of the owner of a cell.
    pub(super) fn record(&self, cell: &str, event: &LogEvent) {
        let of_cell = || KeyValue::new("cell", cell.to_owned());
        let with = |key: &'static str, value: &'static str| [of_cell(), KeyValue::new(key, value)];
        match event {
            LogEvent::Accepted { .. } => self.submissions.add(1, &with("result", "accepted")),
            LogEvent::Refused { reason, .. } => self.submissions.add(1, &with("result", reason)),
            LogEvent::Placed { tasks, waited, .. } => {
                self.placed_tasks.add(tasks.len() as u64, &[of_cell()]);
                self.placement_wait_seconds.record(waited.to_std().as_secs_f64(), &[of_cell()]);
            }
            LogEvent::Ended { how, .. } => self.run_ends.add(1, &with("how", label_of(*how))),
            LogEvent::RunEndedUnreported { reason, .. } => {
                self.run_ends.add(1, &with("how", reason));
            }
            LogEvent::StartFailed { reason, .. } => {
                self.failed_starts.add(1, &with("reason", reason));
            }
            LogEvent::StartOpen { .. } => self.open_starts.add(1, &[of_cell()]),
            LogEvent::RunLost { is_crash, .. } => {
                let cause = if *is_crash { "crash" } else { "unknown" };
                self.lost_runs.add(1, &with("cause", cause));
            }
            LogEvent::Finished { end, after, .. } => {
                let labels = with("end", label_of_job(*end));
                self.job_ends.add(1, &labels);
                self.job_seconds.record(after.to_std().as_secs_f64(), &labels);
            }
            LogEvent::Worker { change, .. } => self.worker_changes.add(1, &with("change", change)),
            LogEvent::InheritedReleased { waited, .. } => {
                self.takeovers.add(1, &[of_cell()]);
                self.takeover_seconds.record(waited.to_std().as_secs_f64(), &[of_cell()]);
            }
            _ => {}
        }
    }
}

/// The name of an end of a run in metrics.
fn label_of(how: EndKind) -> &'static str {
    match how {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::Broken => "broken",
        EndKind::Alone => "alone",
    }
}

/// The name of an end of a job in metrics.
fn label_of_job(end: JobEnd) -> &'static str {
    match end {
        JobEnd::Succeeded => "succeeded",
        JobEnd::Failed => "failed",
        JobEnd::Cancelled => "cancelled",
    }
}
