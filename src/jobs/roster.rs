//! Reads the list of workers from the store for the cells that this node owns.

#[cfg(test)]
mod tests;

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use slog::{info, warn};
use teaselgap_core::{ServiceId, Span, job::WorkerEntry};
use teaselgap_platform::{
    store::{self, Item, Range, Store, StoreError, WORKERS_PREFIX},
    traffic::Traffic,
    worker::{self, EntryError},
};

use super::{node::Node, read_timeout::ReadTimeout};
use crate::clock;

/// The longest time between two readings of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Regular readings take at most one part in this many of the link.
const REGULAR_LINK_DIVISOR: u32 = 10;

/// Triggered readings take at most one part in this many of the link.
const TRIGGERED_LINK_DIVISOR: u32 = 4;

/// How long the list waits at most for a large answer of the operator's keys to pass the link.
const MAX_LARGE_ANSWER_WAIT: Span = Span(2_000);

/// How often it is looked at whether such an answer has passed the link.
const LARGE_ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The link rate that is assumed at least, in megabits per second.
const MIN_LINK_MBPS: f64 = 0.1;

/// How long the store may take for a page of the list, beside the time that the list takes on the link.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// How many times as long as the latest list takes on the link a page may take, as the link has other
/// traffic and values are written in base64.
const LIST_TIME_FACTOR: u32 = 4;

/// How long, in milliseconds, the list counts as incomplete after a failed reading: entries that
/// expired while the store was unreachable need this time to be written again.
const REGISTRATION_GRACE_MS: u64 = 2_500;

/// How far ahead of this node's wall clock the start of a worker may lie, in milliseconds. A later one
/// comes from another writer; if it counted, what the worker itself says would seem outdated.
const MAX_START_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;

/// The time that so many bytes take on a link, in megabits per second.
fn transfer_time(bytes: usize, link_mbps: f64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    let megabits = bytes as f64 * 8.0 / 1_000_000.0;
    Duration::try_from_secs_f64(megabits / link_mbps.max(MIN_LINK_MBPS)).unwrap_or(POLL_INTERVAL)
}

/// How long to wait for the next reading if nothing triggers one.
fn regular_pause(list_bytes: usize, link_mbps: f64) -> Duration {
    let transfer = transfer_time(list_bytes, link_mbps);
    POLL_INTERVAL.max(transfer * (REGULAR_LINK_DIVISOR - 1))
}

/// How long to wait for the next reading although one was triggered.
fn shortest_pause(list_bytes: usize, link_mbps: f64) -> Duration {
    transfer_time(list_bytes, link_mbps) * (TRIGGERED_LINK_DIVISOR - 1)
}

/// How long the store may take for a page of a list that had this size when it was read last.
fn list_timeout(list_bytes: usize, link_mbps: f64) -> ReadTimeout {
    let usual = LIST_TIMEOUT + transfer_time(list_bytes, link_mbps) * LIST_TIME_FACTOR;
    ReadTimeout::new(usual, store::page_timeout(link_mbps))
}

/// Reads the list at regular intervals while this node owns a cell, and passes it to the cells.
pub(super) async fn run(node: Rc<Node>) {
    let mut failing_since = None;
    let mut complete_from = clock::now();
    let link_mbps = node.settings.limits.link_mbps;
    let mut list_bytes = 0;
    let mut reader = ListReader::new(link_mbps);
    let mut unreadable_count = 0;
    loop {
        let shortest = shortest_pause(list_bytes, link_mbps);
        tokio::time::sleep(shortest).await;
        let rest = regular_pause(list_bytes, link_mbps).saturating_sub(shortest);
        let wakeup = tokio::time::timeout(rest, node.roster_refresh.notified()).await;
        // The interval is over or a new reading was triggered: the list is read in both cases.
        let _ = wakeup;
        if node.cell_owners.borrow().is_empty() {
            continue;
        }
        wait_for_large_answer(node.lease.traffic()).await;
        match reader.read(&node.store).await {
            Ok(WorkerList { workers, bytes, unreadable }) => {
                list_bytes = bytes;
                let count = unreadable.as_ref().map_or(0, |(_, count)| *count);
                if let Some((first, _)) = unreadable.filter(|_| count != unreadable_count) {
                    warn!(node.log, "list of workers has unreadable entries"; "entries" => count,
                        "first" => first.key, "error" => %first.error);
                }
                unreadable_count = count;
                if let Some(since) = failing_since.take() {
                    info!(node.log, "list of workers readable again"; "since" => %since);
                    complete_from = clock::now() + Span(REGISTRATION_GRACE_MS);
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

/// Waits while a large answer of the operator's keys passes the link, but not for ever: both would take longer
/// beside each other, and only the configuration has a bound.
async fn wait_for_large_answer(traffic: &Traffic) {
    let deadline = clock::now() + MAX_LARGE_ANSWER_WAIT;
    while traffic.is_large_answer_arriving() && clock::now() < deadline {
        tokio::time::sleep(LARGE_ANSWER_POLL_INTERVAL).await;
    }
}

/// The workers of each service.
type Workers = IndexMap<ServiceId, Vec<WorkerEntry>>;

/// The list of workers as it was read.
struct WorkerList {
    workers: Workers,
    bytes: usize,
    /// The first entry that could not be read, and how many there are.
    unreadable: Option<(Unreadable, usize)>,
}

/// An entry that could not be read.
struct Unreadable {
    key: String,
    error: EntryError,
}

/// Sorts the entries of the list by service, and leaves out those that can't be read, such as those
/// of other writers.
fn parse_workers(items: &[Item], wall_ms: u64) -> (Workers, Option<(Unreadable, usize)>) {
    let mut workers = Workers::new();
    let mut unreadable: Option<(Unreadable, usize)> = None;
    let latest_start_ms = wall_ms.saturating_add(MAX_START_LEAD_MS);
    for item in items {
        let entry = match worker::parse_entry(&item.key, &item.value) {
            Ok(Some(entry)) if entry.started_wall_ms > latest_start_ms => Err(EntryError::Start),
            entry => entry,
        };
        match entry {
            Ok(Some(entry)) => workers.entry(entry.service.clone()).or_default().push(entry),
            Ok(None) => {}
            Err(error) => match &mut unreadable {
                Some((_, count)) => *count += 1,
                None => unreadable = Some((Unreadable { key: item.key.clone(), error }, 1)),
            },
        }
    }
    (workers, unreadable)
}

/// Reads the list of workers from the store.
struct ListReader {
    link_mbps: f64,
    page_timeout: ReadTimeout,
}

impl ListReader {
    /// Creates the reader of a node with a link of this rate, in megabits per second.
    fn new(link_mbps: f64) -> Self {
        Self { link_mbps, page_timeout: list_timeout(0, link_mbps) }
    }

    async fn read(&mut self, store: &Store) -> Result<WorkerList, StoreError> {
        let mut range = Range::default();
        let timeout = self.page_timeout.current();
        if let Err(err) = store.extend_range(WORKERS_PREFIX, timeout, &mut range).await {
            self.page_timeout.record_failure(&err);
            return Err(err);
        }
        let bytes = range.items.iter().map(|item| item.key.len() + item.value.len()).sum();
        self.page_timeout = list_timeout(bytes, self.link_mbps);
        let (workers, unreadable) = parse_workers(&range.items, clock::wall_ms());
        Ok(WorkerList { workers, bytes, unreadable })
    }
}
