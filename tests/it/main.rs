//! Integration tests with real node processes behind fault-injecting proxies.
//!
//! The results that callers get are compared with the run counts that the workers keep.

mod cli;
mod configuration;
mod failures;
mod fleet;
mod heads;
mod journal;
mod path;
mod scenario;
mod support;
