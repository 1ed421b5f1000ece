//! Reads a cell's log from the store.
//!
//! The answers of the store share the node's link, in the order in which they come. A whole log
//! takes seconds on a narrow link, and the answers to renewals of the lease would wait behind it.
//! So it is read there in pages that pass the link in a bounded time, a few at once, whatever the
//! number of cells.

mod pages;
#[cfg(test)]
mod tests;

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use teaselgap_core::{
    Span,
    job::{LinkRate, Sequence},
};
use teaselgap_platform::store::{self, Item, MAX_PAGE_BYTES, Range, Store, StoreError};
use tokio::sync::Semaphore;

use self::pages::{Group, PagePlan};
use crate::jobs::read_timeout::ReadTimeout;

/// How long a page may take on the link. A renewal of the lease waits for at most the pages that are
/// requested at once, which is less than its interval.
const PAGE_TIME: Span = Span(100);

/// How long the store may take at first for a page that is to pass the link in [`PAGE_TIME`].
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// How many pages are requested at once, so that a second one passes the link while the store
/// answers.
const PAGES_AT_ONCE: usize = 2;

/// The bytes of an item on the wire beyond its key and value.
const ITEM_BYTES: usize = 80;

/// What all readings of logs at this node share.
#[derive(Debug)]
pub(in crate::jobs) struct LogReading {
    /// The timeout for the largest page of the store.
    max_page_timeout: Duration,
    /// How many bytes pass the link in [`PAGE_TIME`].
    max_page_bytes: u64,
    /// The pages that may be requested now.
    turns: Semaphore,
}

impl LogReading {
    /// Creates the state of a node with a link of this rate, in megabits per second.
    pub(in crate::jobs) fn new(link_mbps: f64) -> Self {
        Self {
            max_page_timeout: store::page_timeout(link_mbps),
            max_page_bytes: LinkRate::from_mbps(link_mbps).bytes_in(PAGE_TIME),
            turns: Semaphore::new(PAGES_AT_ONCE),
        }
    }

    /// Whether the largest page that the store returns passes the link fast enough.
    fn has_wide_link(&self) -> bool {
        self.max_page_bytes >= u64::from(MAX_PAGE_BYTES)
    }
}

/// Reads one log. After an error, it goes on with what it has not read yet.
pub(super) struct LogReader<'a> {
    prefix: &'a str,
    reading: &'a LogReading,
    /// How the log is read in small pages; `None` if it is read in the store's own.
    plan: Option<PagePlan>,
    /// The timeout for one of these pages.
    page_timeout: ReadTimeout,
    range: Range,
}

impl<'a> LogReader<'a> {
    /// Creates the reader of the log whose keys have this prefix.
    pub(super) fn new(prefix: &'a str, reading: &'a LogReading) -> Self {
        let page_timeout = ReadTimeout::new(PAGE_TIMEOUT, reading.max_page_timeout);
        Self { prefix, reading, plan: None, page_timeout, range: Range::default() }
    }

    /// Reads what is left of the log.
    pub(super) async fn read(&mut self, store: &Store) -> Result<(), StoreError> {
        if self.plan.is_none() && self.range.items.is_empty() && !self.reading.has_wide_link() {
            self.plan = self.read_head(store).await?;
        }
        if let Some(mut plan) = self.plan.take() {
            let result = self.read_pages(store, &mut plan).await;
            if let Err(err) = &result {
                plan.reopen();
                self.page_timeout.record_failure(err);
                self.plan = Some(plan);
                return result;
            }
            self.range.items.sort_unstable_by(|a, b| a.key.cmp(&b.key));
            return Ok(());
        }
        store.extend_range(self.prefix, self.reading.max_page_timeout, &mut self.range).await
    }

    /// Reads the log's head and plans the pages. Returns `None` if there is no head, or if it doesn't
    /// name the last segment.
    async fn read_head(&mut self, store: &Store) -> Result<Option<PagePlan>, StoreError> {
        let head = store.get(&format!("{}head", self.prefix)).await?;
        let last = head.as_ref().and_then(|head| last_segment(&head.value));
        let plan = last.map(|last| PagePlan::new(last, self.reading.max_page_bytes));
        self.range.items.extend(head.filter(|_| plan.is_some()));
        Ok(plan)
    }

    async fn read_pages(&mut self, store: &Store, plan: &mut PagePlan) -> Result<(), StoreError> {
        let (prefix, reading, timeout) = (self.prefix, self.reading, self.page_timeout.current());
        let mut pages = FuturesUnordered::new();
        loop {
            while pages.len() < PAGES_AT_ONCE
                && let Some(group) = plan.next_group()
            {
                pages.push(read_group(store, (reading, timeout), prefix, group));
            }
            let Some(page) = pages.next().await else {
                return Ok(());
            };
            let (group, items) = page?;
            let bytes = items.iter().map(wire_bytes).sum();
            plan.record(group, items.len() as u64, bytes);
            self.range.items.extend(items);
        }
    }

    /// The keys that have been read; in their order once all have been.
    pub(super) fn items(&self) -> &[Item] {
        &self.range.items
    }
}

/// The number of the last segment, as the log's head names it.
fn last_segment(head: &[u8]) -> Option<Sequence> {
    std::str::from_utf8(head).ok()?.parse().ok()
}

/// The approximate size of an item on the wire, where values are written in base64.
fn wire_bytes(item: &Item) -> u64 {
    (item.key.len() + item.value.len() * 4 / 3 + ITEM_BYTES) as u64
}

async fn read_group(
    store: &Store,
    (reading, timeout): (&LogReading, Duration),
    log_prefix: &str,
    group: Group,
) -> Result<(Group, Vec<Item>), StoreError> {
    // The semaphore is never closed.
    let _turn = reading.turns.acquire().await.ok();
    let mut range = Range::default();
    store.extend_range(&group.key_prefix(log_prefix), timeout, &mut range).await?;
    Ok((group, range.items))
}
