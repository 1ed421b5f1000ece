//! Real node processes behind fault proxies, held against the workers' own tally.

mod cli;
mod configuration;
mod failures;
mod fleet;
mod heads;
mod journal;
mod path;
mod scenario;
mod support;
