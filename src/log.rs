//! Logging as lines of JSON, which a separate thread writes.

use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};

use crate::settings::{Level, Settings};

/// The most lines that may wait to be written. Further lines are dropped, and a later line says how
/// many.
const MAX_QUEUED_LINES: usize = 8_192;

/// Creates a node's logger, which writes to standard error. Dropping the guard writes the lines
/// that still wait.
pub(crate) fn start(settings: &Settings) -> (Logger, slog_async::AsyncGuard) {
    let level = match settings.log.level {
        Level::Debug => slog::Level::Debug,
        Level::Info => slog::Level::Info,
        Level::Warning => slog::Level::Warning,
        Level::Error => slog::Level::Error,
    };
    start_on(std::io::stderr(), level, settings.node.as_str())
}

/// Creates a logger that writes to `out`. Dropping the guard writes the lines that still wait.
pub(crate) fn start_on(
    out: impl std::io::Write + Send + 'static,
    level: slog::Level,
    node: &str,
) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::new(std::io::LineWriter::new(out))
        .add_key_value(o!(
            "msg" => PushFnValue(|record: &Record, ser| ser.emit(record.msg())),
            "level" => FnValue(|record: &Record| record.level().as_short_str()),
            "time_ms" => FnValue(|_: &Record| crate::clock::wall_ms()),
        ))
        .build()
        .fuse();
    let (drain, guard) = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    (Logger::root(drain, o!("node" => node.to_owned())), guard)
}
