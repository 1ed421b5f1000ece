//! Reads a cell's log from the store.

#[cfg(test)]
mod tests;

use std::time::Duration;

use teaselgap_platform::store::{self, Item, Range, Store, StoreError};

/// What all readings of logs at this node share.
#[derive(Debug)]
pub(in crate::jobs) struct LogReading {
    /// The timeout for one page.
    page_timeout: Duration,
}

impl LogReading {
    /// Creates the state of a node with a link of this rate, in megabits per second.
    pub(in crate::jobs) fn new(link_mbps: f64) -> Self {
        Self { page_timeout: store::page_timeout(link_mbps) }
    }
}

/// Reads one log. After an error, it goes on with what it has not read yet.
pub(super) struct LogReader<'a> {
    prefix: &'a str,
    reading: &'a LogReading,
    range: Range,
}

impl<'a> LogReader<'a> {
    /// Creates the reader of the log whose keys have this prefix.
    pub(super) fn new(prefix: &'a str, reading: &'a LogReading) -> Self {
        Self { prefix, reading, range: Range::default() }
    }

    /// Reads what is left of the log.
    pub(super) async fn read(&mut self, store: &Store) -> Result<(), StoreError> {
        store.extend_range(self.prefix, self.reading.page_timeout, &mut self.range).await
    }

    /// The keys that have been read, in their order.
    pub(super) fn items(&self) -> &[Item] {
        &self.range.items
    }
}
