//! Reads the list of workers from the store for the cells that this node owns.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use slog::{info, warn};
use teaselgap_core::{ServiceId, job::WorkerEntry};
use teaselgap_platform::{
    store::{StoreError, WORKERS_PREFIX},
    worker,
};

use super::node::Node;
use crate::clock;

/// The longest time between two readings of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The link rate that is assumed at least, in megabits per second.
const MIN_LINK_MBPS: f64 = 0.1;

/// How long, in milliseconds, the list counts as incomplete after a failed reading: entries that
/// expired while the store was unreachable need this time to be written again.
const REGISTRATION_GRACE_MS: u64 = 2_500;

/// The time that so many bytes take on a link, in megabits per second.
fn transfer_time(bytes: usize, link_mbps: f64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let megabits = bytes as f64 * 8.0 / 1_000_000.0;
    Duration::try_from_secs_f64(megabits / link_mbps.max(MIN_LINK_MBPS)).unwrap_or(POLL_INTERVAL)
}

/// How long to wait for the next reading if nothing triggers one.
fn regular_pause(_list_bytes: usize, _link_mbps: f64) -> Duration {
    POLL_INTERVAL
}

/// How long to wait for the next reading although one was triggered.
fn shortest_pause(_list_bytes: usize, _link_mbps: f64) -> Duration {
    Duration::ZERO
}

/// Reads the list at regular intervals while this node owns a cell, and passes it to the cells.
pub(super) async fn run(node: Rc<Node>) {
    let mut failing_since = None;
    let mut complete_from = clock::now();
    loop {
        let wakeup = tokio::time::timeout(POLL_INTERVAL, node.roster_refresh.notified()).await;
        // The interval is over or a new reading was triggered: the list is read in both cases.
        let _ = wakeup;
        if node.cell_owners.borrow().is_empty() {
            continue;
        }
        match read_workers(&node).await {
            Ok(workers) => {
                if let Some(since) = failing_since.take() {
                    info!(node.log, "list of workers readable again"; "since" => %since);
                    complete_from = clock::now() + teaselgap_core::Span(REGISTRATION_GRACE_MS);
                }
                let is_complete = clock::now() >= complete_from;
                for owner in node.cell_owners.borrow().values() {
                    let entries = workers.get(owner.service()).cloned().unwrap_or_default();
                    owner.update_workers(entries, is_complete);
                }
            }
            Err(err) => {
                if failing_since.is_none() {
                    warn!(node.log, "failed to read the list of workers"; "error" => %err);
                    failing_since = Some(clock::now());
                }
            }
        }
    }
}

async fn read_workers(
    node: &Rc<Node>,
) -> Result<IndexMap<ServiceId, Vec<WorkerEntry>>, StoreError> {
    let range = node.store.range(WORKERS_PREFIX, false).await?;
    let mut workers: IndexMap<ServiceId, Vec<WorkerEntry>> = IndexMap::new();
    for item in &range.items {
        // Entries in another format, such as those of other writers, are ignored.
        if let Some(entry) = worker::parse_entry(&item.key, &item.value) {
            workers.entry(entry.service.clone()).or_default().push(entry);
        }
    }
    Ok(workers)
}
