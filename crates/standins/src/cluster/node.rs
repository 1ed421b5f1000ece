//! One node's process, and what can be done to it from outside.

use std::{net::SocketAddr, path::PathBuf};

use rustix::process::{Pid, Signal};
use serde_json::Value;
use tokio::process::Child;

use super::{ClusterError, WAIT_TIMEOUT, get};
use crate::proxy;

/// A node's process with the proxies around it.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Between the node and the store.
    pub store: proxy::Handle,
    /// Between other nodes and the node.
    pub peer: proxy::Handle,
    /// Where its log goes.
    pub log: PathBuf,
    pub(super) child: Child,
}

impl Node {
    /// The process's number.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // A process that has ended needs no signal.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Ends the process at once, as `kill -9` does, and waits for its end.
    pub async fn kill(&mut self) {
        // A process that has ended already is as good as killed.
        let _ = self.child.kill().await;
    }

    /// Asks the process to stop in order and waits for its end; its exit status.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] if it does not end within [`WAIT_TIMEOUT`].
    pub async fn stop(&mut self) -> Result<Option<i32>, ClusterError> {
        self.signal(Signal::TERM);
        let ended = tokio::time::timeout(WAIT_TIMEOUT, self.child.wait()).await;
        let status = ended.map_err(|_| ClusterError::Timeout(format!("{} stops", self.name)))??;
        Ok(status.code())
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// What the node says of itself; null if it does not answer.
    pub async fn status(&self) -> Value {
        let page = get(self.http, "/-/status").await;
        page.and_then(|(_, body)| serde_json::from_slice(&body).ok()).unwrap_or(Value::Null)
    }

    /// The generation that the node has in force, if it answers.
    pub async fn generation(&self) -> Option<u64> {
        self.status().await["generation"].as_u64()
    }

    /// The lines of the node's log that hold a text.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}
