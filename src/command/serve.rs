//! `teaselgap serve`: runs an entry node until a signal stops it.

use std::io::Write;

use pico_args::Arguments;
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{CommandError, block_on, load_settings, reject_remaining};
use crate::{jobs, node};

const HELP: &str = "\
Usage: teaselgap serve --settings FILE
       teaselgap serve --platform

Runs an entry node. With --platform it runs jobs on the users' platform, with the settings file that
the platform lays down for it; its log goes to standard output. Otherwise it passes requests on to
backend servers, as follows.
 Its first line on standard output is JSON with the addresses that it listens on;
the log goes to standard error. SIGTERM or one SIGINT stops it in order: readiness goes false, the
listener stays open for /shutdown/linger, requests in flight finish, duties are handed over. A
second SIGINT ends it at once.
";

/// The exit status after a second SIGINT; shells report 128 plus the signal's number.
const INTERRUPTED_EXIT_STATUS: i32 = 130;

pub(super) fn run(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--platform") {
        reject_remaining(args)?;
        return jobs::serve().map_err(CommandError::failed);
    }
    let settings = load_settings(&mut args)?;
    reject_remaining(args)?;
    let node = node::start(settings).map_err(CommandError::failed)?;
    let listening = json!({"listening": {"http": node.http, "peer": node.peer}});
    // Standard output may be closed, which must not stop the node.
    let _ = writeln!(std::io::stdout(), "{listening}");
    block_on(async {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::failed)?;
        let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::failed)?;
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        tokio::select! {
            () = node.stop() => Ok(()),
            () = wait_for_interrupt(&mut interrupt) => std::process::exit(INTERRUPTED_EXIT_STATUS),
        }
    })
}

async fn wait_for_interrupt(interrupt: &mut Signal) {
    interrupt.recv().await;
}
