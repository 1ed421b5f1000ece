//! The platform's key-value service, as a port.
//!
//! [`etcd`] is the adapter that meets the published protocol; [`governor`] stands in front of any
//! store and keeps this system within its share.

pub(crate) mod etcd;
pub(crate) mod governor;
pub(crate) mod keys;

use bytes::Bytes;
use teaselgap_core::Span;
use tokio::sync::mpsc;

/// What the store holds under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) key: String,
    pub(crate) value: Bytes,
    /// Revision of the last write.
    pub(crate) revision: u64,
}

/// What is read at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RangeResult {
    pub(crate) items: Vec<Item>,
    pub(crate) revision: u64,
    /// More keys of the range follow.
    pub(crate) more: bool,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    /// The key does not exist.
    Absent(String),
    /// The key exists.
    Present(String),
    /// The key was last written at this revision; zero means that it does not exist.
    Revision(String, u64),
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Write {
    Put {
        key: String,
        value: Bytes,
        lease: Option<LeaseId>,
    },
    /// Deletes keys from `start` to before `end`.
    DeleteRange {
        start: String,
        end: String,
    },
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Transaction {
    pub(crate) conditions: Vec<Condition>,
    pub(crate) writes: Vec<Write>,
}

/// A lease, as numbered by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaseId(pub(crate) i64);

/// A change that a watch saw; `value` is `None` for a key that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
    pub(crate) revision: u64,
}

/// How urgent a call is when the share runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Housekeeping, such as regrouping the history.
    Background,
    /// Configuration and duties.
    Control,
    /// Leases and intents: without them work stops.
    Vital,
}

/// A call that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// The call had no effect.
    #[error("the store did not take the call: {0}")]
    Unavailable(String),
    /// The call may have had an effect.
    #[error("the store's answer was lost: {0}")]
    Uncertain(String),
}

/// The platform's key-value service.
#[tonic::async_trait]
pub(crate) trait Store: Send + Sync {
    /// Reads keys from `start` to before `end`, at most `limit` of them.
    async fn range(
        &self,
        start: &str,
        end: &str,
        limit: u32,
        priority: Priority,
    ) -> Result<RangeResult, StoreError>;

    /// Runs a transaction; its revision if it took effect, `None` if a condition did not hold.
    async fn transact(
        &self,
        transaction: &Transaction,
        priority: Priority,
    ) -> Result<Option<u64>, StoreError>;

    /// Grants a lease.
    async fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError>;

    /// Renews a lease; false if it has lapsed.
    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease and deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Sends what changes under a prefix from a revision on, until the watch or its reader ends.
    async fn watch(
        &self,
        prefix: &str,
        from: u64,
        tx: mpsc::Sender<Vec<Change>>,
    ) -> Result<(), StoreError>;
}

/// The end of the range of keys that start with `prefix`.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    // Every prefix here ends with a slash; zero is the character that follows it.
    if end.ends_with('/') {
        end.pop();
        end.push('0');
    }
    end
}

/// Reads all keys that start with `prefix`, page by page.
pub(crate) async fn read_all(
    store: &dyn Store,
    prefix: &str,
    priority: Priority,
) -> Result<RangeResult, StoreError> {
    /// Keeps an answer within a few megabytes whatever the keys hold.
    const PAGE: u32 = 64;
    let end = prefix_end(prefix);
    let mut start = prefix.to_owned();
    let mut items = Vec::new();
    let mut revision = None;
    loop {
        let page = store.range(&start, &end, PAGE, priority).await?;
        // A watch from the first page's revision shows what later pages may have missed.
        let first = *revision.get_or_insert(page.revision);
        items.extend(page.items);
        match items.last() {
            Some(last) if page.more => start = format!("{}\0", last.key),
            _ => return Ok(RangeResult { items, revision: first, more: false }),
        }
    }
}
