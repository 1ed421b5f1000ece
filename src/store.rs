//! The store: the platform's key-value service.
//!
//! [`Store`] is the interface to it. [`etcd`] implements the interface with the etcd v3 protocol,
//! and [`governor`] wraps any implementation and limits its calls to this node's share.

pub(crate) mod etcd;
pub(crate) mod governor;
pub(crate) mod keys;

use bytes::Bytes;
use teaselgap_core::Span;
use tokio::sync::mpsc;

/// A key and its value in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) key: String,
    pub(crate) value: Bytes,
    /// Revision of the last write.
    pub(crate) revision: u64,
}

/// Keys of a range and their values, read at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RangeResult {
    pub(crate) items: Vec<Item>,
    pub(crate) revision: u64,
    /// Whether the range has more keys after these.
    pub(crate) has_more: bool,
}

/// A condition that must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    /// The key does not exist.
    Absent(String),
    /// The key exists.
    Present(String),
    /// The key was last written at this revision; zero means that it does not exist.
    Revision(String, u64),
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Write {
    Put {
        key: String,
        value: Bytes,
        lease: Option<LeaseId>,
    },
    /// Deletes the keys from `start`, inclusive, to `end`, exclusive.
    DeleteRange {
        start: String,
        end: String,
    },
}

/// Writes that all take effect if every condition holds, and otherwise not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Transaction {
    pub(crate) conditions: Vec<Condition>,
    pub(crate) writes: Vec<Write>,
}

/// The store's id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaseId(pub(crate) i64);

/// A change of a key; `value` is `None` if the key was deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
    pub(crate) revision: u64,
}

/// How urgent a call is while the node's share of calls is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Background work, such as grouping the history by customer.
    Background,
    /// Configuration and duties.
    Control,
    /// Leases and intents, without which the node can't serve requests.
    Vital,
}

impl Priority {
    /// The priority's name in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Background => "background",
            Self::Control => "control",
            Self::Vital => "vital",
        }
    }
}

/// An error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// The call had no effect.
    #[error("the call to the store had no effect: {0}")]
    Unavailable(String),
    /// The call may have had an effect.
    #[error("the outcome of the call to the store is unknown: {0}")]
    Uncertain(String),
}

/// The platform's key-value service.
#[tonic::async_trait]
pub(crate) trait Store: Send + Sync {
    /// Reads at most `limit` keys from `start`, inclusive, to `end`, exclusive.
    async fn range(
        &self,
        start: &str,
        end: &str,
        limit: u32,
        priority: Priority,
    ) -> Result<RangeResult, StoreError>;

    /// Runs a transaction; returns its revision, or `None` if a condition did not hold.
    async fn transact(
        &self,
        transaction: &Transaction,
        priority: Priority,
    ) -> Result<Option<u64>, StoreError>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    async fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError>;

    /// Renews a lease; false if it has expired.
    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Revokes a lease and deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Sends the changes under a prefix from revision `from` on, until the watch ends or the
    /// receiver is closed.
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
    // Every prefix in use ends with a slash, and `0` is the character after the slash.
    if end.ends_with('/') {
        end.pop();
        end.push('0');
    }
    end
}

/// Reads all keys that start with `prefix`, page by page; returns them with the revision of the
/// first page.
pub(crate) async fn read_all(
    store: &dyn Store,
    prefix: &str,
    priority: Priority,
) -> Result<RangeResult, StoreError> {
    /// Most keys in one reply; keeps a reply within a few megabytes at any size of the values.
    const MAX_KEYS_PER_PAGE: u32 = 64;
    let end = prefix_end(prefix);
    let mut start = prefix.to_owned();
    let mut items = Vec::new();
    let mut revision = None;
    loop {
        let page = store.range(&start, &end, MAX_KEYS_PER_PAGE, priority).await?;
        // Later pages are read at later revisions. A watch that starts from the first page's
        // revision reports every change that the pages may have missed.
        let first_revision = *revision.get_or_insert(page.revision);
        items.extend(page.items);
        match items.last() {
            Some(last) if page.has_more => start = format!("{}\0", last.key),
            _ => return Ok(RangeResult { items, revision: first_revision, has_more: false }),
        }
    }
}
