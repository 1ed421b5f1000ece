//! The log of a cell in the platform's store.

mod reader;
#[cfg(test)]
mod tests;

use std::{cell::Cell as StdCell, rc::Rc, time::Duration};

use slog::{info, warn};
use teaselgap_core::{
    Epoch, ServiceId, Timestamp,
    job::{LogWrite, RecoveredLog, Sequence},
};
use teaselgap_platform::store::{
    Expected, Item, LOG_PREFIX, Outcome, Put, StoreError, Transaction,
};

use self::reader::LogReader;
pub(super) use self::reader::LogReading;
use super::{duties, node::Node};
use crate::clock;

/// The pause before a failed call to the store is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The value of the mark. Only whether the key exists counts.
const MARK: &str = "1";

/// What is known in one term of the mark that the log may hold jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    /// An earlier owner may have left it, or its deletion got no answer.
    Unknown,
    /// This owner has written it.
    Written,
    /// This owner has deleted it.
    Removed,
}

/// Why a write was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteError {
    /// The term ended before the store answered.
    TermOver,
    /// Another owner holds the duty or has written the segment.
    OtherOwner,
}

/// The keys of a cell's log, as they are used in one term.
#[derive(Clone, Debug)]
struct LogKeys {
    /// The prefix of all keys of the log.
    prefix: String,
    /// The key of the duty to own the cell.
    duty: String,
    /// The key that marks that the log may hold jobs.
    mark: String,
    epoch: Epoch,
}

impl LogKeys {
    fn new(service: &ServiceId, epoch: Epoch) -> Self {
        let duty = duties::duty_key(&duties::cell_duty(service));
        let mark = duties::log_mark_key(service);
        Self { prefix: format!("{LOG_PREFIX}{service}/"), duty, mark, epoch }
    }

    fn segment(&self, sequence: Sequence) -> String {
        format!("{}{sequence:016x}", self.prefix)
    }

    /// The key that each write of the log changes. A write expects the revision that the write
    /// before it gave to the key, so that a copy which reaches the store late has no effect, even
    /// if its segment has been deleted since.
    fn head(&self) -> String {
        format!("{}head", self.prefix)
    }

    /// What each change of the log expects: this term, and no other change since the last one.
    fn expected(&self, head_revision: u64) -> Vec<Expected> {
        vec![
            Expected { key: self.duty.clone(), revision: self.epoch.0 },
            Expected { key: self.head(), revision: head_revision },
        ]
    }

    /// A write of the log, with the mark if `writes_mark`.
    fn transaction(&self, write: &LogWrite, head_revision: u64, writes_mark: bool) -> Transaction {
        let key = self.segment(write.sequence);
        let mut expected = self.expected(head_revision);
        expected.push(Expected { key: key.clone(), revision: 0 });
        let mut puts = vec![
            Put { key, value: write.value.clone(), lease: None },
            Put { key: self.head(), value: write.sequence.to_string().into(), lease: None },
        ];
        if writes_mark {
            puts.push(Put { key: self.mark.clone(), value: MARK.into(), lease: None });
        }
        Transaction {
            expected,
            puts,
            deletes: write.deletes.iter().map(|&sequence| self.segment(sequence)).collect(),
        }
    }

    /// Deletes the mark. A copy that reaches the store after a later write has no effect.
    fn mark_removal(&self, head_revision: u64) -> Transaction {
        let expected = self.expected(head_revision);
        Transaction { expected, puts: Vec::new(), deletes: vec![self.mark.clone()] }
    }
}

/// The log of a cell, as its owner reads and writes it during one term.
pub(super) struct LogStore {
    node: Rc<Node>,
    service: ServiceId,
    keys: LogKeys,
    /// The revision of the log's head; zero if nothing was ever written.
    head_revision: StdCell<u64>,
    mark: StdCell<Mark>,
}

impl LogStore {
    pub(super) fn new(node: Rc<Node>, service: ServiceId, epoch: Epoch) -> Self {
        let keys = LogKeys::new(&service, epoch);
        let (head_revision, mark) = (StdCell::new(0), StdCell::new(Mark::Unknown));
        Self { node, service, keys, head_revision, mark }
    }

    /// Reads the whole log. Returns `None` if the term ends first.
    ///
    /// The pages fit together although they are no snapshot: only the owner in this term can write
    /// to the log, and it has not begun to.
    pub(super) async fn read(&self, is_term_over: &StdCell<bool>) -> Option<RecoveredLog> {
        let mut reader = LogReader::new(&self.keys.prefix, &self.node.log_reading);
        while !is_term_over.get() {
            match reader.read(&self.node.store).await {
                Ok(()) => return Some(self.parse(reader.items())),
                Err(err) => {
                    warn!(self.node.log, "failed to read the log"; "cell" => %self.service,
                        "error" => %err, "segments_read" => reader.items().len());
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        None
    }

    fn parse(&self, items: &[Item]) -> RecoveredLog {
        let mut recovered = RecoveredLog::default();
        let head = self.keys.head();
        for Item { key, value, revision, .. } in items {
            if *key == head {
                self.head_revision.set(*revision);
                continue;
            }
            let suffix = key.rsplit('/').next().unwrap_or_default();
            let sequence = Sequence::from_str_radix(suffix, 16).ok();
            let result = sequence.map(|sequence| recovered.add_segment(sequence, value));
            if !matches!(result, Some(Ok(()))) {
                warn!(self.node.log, "skipped an unreadable segment"; "key" => key);
            }
        }
        recovered
    }

    /// Executes a write, retrying until the store has it. If the log holds jobs, it is marked.
    pub(super) async fn write(
        &self,
        write: &LogWrite,
        holds_jobs: bool,
        is_term_over: &StdCell<bool>,
    ) -> Result<(), WriteError> {
        let key = self.keys.segment(write.sequence);
        let head = self.keys.head();
        let writes_mark = holds_jobs && self.mark.get() != Mark::Written;
        let txn = self.keys.transaction(write, self.head_revision.get(), writes_mark);
        let started = clock::now();
        let mut tries: u32 = 0;
        while !is_term_over.get() {
            tries += 1;
            match self.node.repeater.transact(&self.node.store, &txn).await {
                Ok(Outcome::Done(revision)) => {
                    self.on_written(revision, writes_mark);
                    self.log_tries(tries, started);
                    return Ok(());
                }
                // An earlier attempt of this write took effect although its answer was lost. Only
                // the owner in this term can have written this value.
                Ok(Outcome::Conflict(items))
                    if items.iter().any(|item| item.key == key && item.value == write.value) =>
                {
                    let revision_of = |item: &Item| (item.key == head).then_some(item.revision);
                    let revision = items.iter().find_map(revision_of).unwrap_or(0);
                    self.on_written(revision, writes_mark);
                    self.log_tries(tries, started);
                    return Ok(());
                }
                Ok(Outcome::Conflict(_)) => return Err(WriteError::OtherOwner),
                Err(err) => {
                    self.node.shared.metrics.record_store_call("log", "failed");
                    if !matches!(err, StoreError::Unavailable(_) | StoreError::Uncertain(_)) {
                        warn!(self.node.log, "failed to write the log"; "error" => %err);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        Err(WriteError::TermOver)
    }

    fn on_written(&self, head_revision: u64, wrote_mark: bool) {
        self.head_revision.set(head_revision);
        if wrote_mark {
            self.mark.set(Mark::Written);
        }
    }

    /// Whether the mark may still be in the store.
    pub(super) fn may_be_marked(&self) -> bool {
        self.mark.get() != Mark::Removed
    }

    /// Deletes the mark, so that the cell gets no owner after this one while no route names its service.
    /// No write of the log may be under way. After a failure it may be called again.
    pub(super) async fn remove_mark(&self) {
        let txn = self.keys.mark_removal(self.head_revision.get());
        match self.node.repeater.transact(&self.node.store, &txn).await {
            Ok(Outcome::Done(_)) => {
                self.mark.set(Mark::Removed);
                info!(self.node.log, "cell no longer needed"; "cell" => %self.service,
                    "epoch" => self.keys.epoch.0);
            }
            // Another owner has the duty; this term ends when the members are read.
            Ok(Outcome::Conflict(_)) => tokio::time::sleep(RETRY_PAUSE).await,
            // It may have been deleted, so that the next write with jobs has to write it again. A late copy of the
            // deletion has no effect after that write, which changes the head.
            Err(_) => {
                self.mark.set(Mark::Unknown);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Logs how often a write was sent, if not once.
    fn log_tries(&self, tries: u32, started: Timestamp) {
        if tries > 1 {
            info!(self.node.log, "log write retried"; "cell" => %self.service,
                "epoch" => self.keys.epoch.0, "tries" => tries,
                "took_ms" => clock::now().since(started).0);
        }
    }
}
