//! A node's process: signals to it and reads of its status and log.

use std::{net::SocketAddr, path::PathBuf};

use rustix::process::{Pid, Signal};
use serde_json::Value;
use tokio::process::Child;

use super::{ClusterError, WAIT_TIMEOUT, get};
use crate::proxy;

/// A node's process, with the proxies on its connections.
#[derive(Debug)]
pub struct Node {
    /// Name of the node.
    pub name: String,
    /// Address at which callers reach the node.
    pub address: SocketAddr,
    /// Proxy from the node to the store.
    pub store_proxy: proxy::Handle,
    /// Proxy from the other nodes to this one.
    pub peer_proxy: proxy::Handle,
    /// Path of the node's log file.
    pub log: PathBuf,
    pub(super) child: Child,
}

impl Node {
    /// Returns the process id, or `None` once [`Self::kill`] or [`Self::stop`] has seen the process
    /// end.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // This fails only if the process has ended, and then it needs no signal.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Kills the process, as `kill -9` does, and waits until it has ended.
    pub async fn kill(&mut self) {
        // This fails only if the process has already ended.
        let _ = self.child.kill().await;
    }

    /// Requests a graceful shutdown with SIGTERM and waits until the process has ended. Returns its
    /// exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] if it does not end within [`WAIT_TIMEOUT`].
    pub async fn stop(&mut self) -> Result<Option<i32>, ClusterError> {
        self.signal(Signal::TERM);
        let ended = tokio::time::timeout(WAIT_TIMEOUT, self.child.wait()).await;
        let status =
            ended.map_err(|_| ClusterError::Timeout(format!("{} to stop", self.name)))??;
        Ok(status.code())
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns the node's status, or null if it does not answer or its answer is not JSON.
    pub async fn status(&self) -> Value {
        let response = get(self.address, "/-/status").await;
        response.and_then(|(_, body)| serde_json::from_slice(&body).ok()).unwrap_or(Value::Null)
    }

    /// Returns the configuration generation in force at the node, if it answers.
    pub async fn generation(&self) -> Option<u64> {
        self.status().await["generation"].as_u64()
    }

    /// Returns the lines of the node's log that contain `text`.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}
