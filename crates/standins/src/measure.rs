//! Helpers for all measurements: readings of processes, line fits, cluster configurations and the
//! printing of results.

pub(crate) mod cell;
pub(crate) mod control;
pub(crate) mod flood;
pub(crate) mod journal;
pub(crate) mod overhead;
pub(crate) mod rollout;

use serde_json::{Value, json};
use teaselgap_standins::cluster::{ClusterError, Config, sibling_binary};

/// Resource usage of a process, as the operating system reports it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessUsage {
    /// CPU time so far, in seconds.
    pub(crate) cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub(crate) resident: u64,
    /// Peak resident memory so far, in bytes.
    pub(crate) peak: u64,
}

/// Clock ticks per second of CPU time in `/proc/PID/stat` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: f64 = 100.0;

/// Reads the resource usage of a process; all values are zero if the process has ended.
pub(crate) fn read_process(pid: Option<u32>) -> ProcessUsage {
    let Some(pid) = pid else {
        return ProcessUsage::default();
    };
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command's name may contain spaces, so fields are counted from the parenthesis after it.
    let fields: Vec<&str> =
        stat.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let memory_bytes = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        number.unwrap_or(0) * 1024
    };
    ProcessUsage {
        cpu_seconds: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        resident: memory_bytes("VmRSS"),
        peak: memory_bytes("VmHWM"),
    }
}

/// Fits a line to points by least squares and returns its offset and slope.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    #[expect(clippy::cast_precision_loss, reason = "a handful of points")]
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

/// Returns the quantile `share` (from 0 to 1) of sorted values, or NaN if there are none.
pub(crate) fn quantile(sorted: &[f64], share: f64) -> f64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an index into a list"
    )]
    let index = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// Prints a result as a line of JSON. `bound` is the highest value that meets the target.
pub(crate) fn print_result(measure: &str, value: f64, baseline: Option<f64>, bound: f64) {
    let line = json!({
        "measure": measure, "value": value, "baseline": baseline, "bound": bound,
        "holds": value <= bound,
    });
    println!("{line}");
}

/// Parses a comma-separated list of numbers from the command line.
pub(crate) fn parse_counts(text: &str) -> Result<Vec<usize>, std::num::ParseIntError> {
    text.split(',').map(str::parse).collect()
}

/// Creates the declarations of `count` services, each with a pool of its own.
pub(crate) fn declarations(count: usize, normal: u32) -> Vec<Value> {
    (0..count).map(|i| declaration(i, normal)).collect()
}

/// Creates the declaration of a service with the given pool number and normal capacity.
pub(crate) fn declaration(pool: usize, normal: u32) -> Value {
    json!({
        "service": format!("service-{pool}"),
        "pool": format!("pool-{pool}"),
        "capacity": {"normal": normal, "peak": normal * 5, "cores": 4, "memory": "4GiB"},
        "availability": {"target": "99.9%", "period": "28d"},
        "maintenance": {"max_vms": 1, "max_racks": 1, "notice": "60s", "drain": "30s"},
        "idempotency": {
            "default": "idempotent",
            "rules": [{"methods": ["POST"], "path": "/*", "idempotent": false}],
        },
        "urgency": "interactive",
        "deadline": {"default": "2s", "max": "10s"},
        "quota": {"team": format!("team-{}", pool % 85)},
    })
}

/// Returns the names of `count` pools with the number of VMs in each, spread evenly.
pub(crate) fn pools(count: usize, vms: usize) -> Vec<(String, usize)> {
    let size = |i: usize| vms / count + usize::from(i < vms % count);
    (0..count).map(|i| (format!("pool-{i}"), size(i))).collect()
}

/// Configures a cluster over 11 zones without workers: its VMs are entries of the list only.
pub(crate) fn listed_fleet(
    nodes: usize,
    pools: Vec<(String, usize)>,
) -> Result<Config, ClusterError> {
    Ok(Config {
        binary: sibling_binary("teaselgap")?,
        nodes,
        pools,
        slots: 8,
        zones: 11,
        rack_size: 4,
        workers: false,
        settings: json!({"log": {"level": "warning"}}),
    })
}

/// Converts an error in the command line of a measurement.
pub(crate) fn usage_error(err: impl std::fmt::Display) -> ClusterError {
    ClusterError::Command(err.to_string())
}
