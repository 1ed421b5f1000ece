//! Plays a restart of a worker against the project's own processes, with the stand-ins of the
//! review.
//!
//! Usage: `restarts CASE RECORD`, from the folder of the project whose `target/release` is played.
//! Exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0`
//! leaves the disruption out, `KEEP_LOGS` names the folder for the logs of the project's processes.
//! `CLOCKS=0` starts the clocks of workers at 0 in each life, and another number draws them by it.

mod cases;
#[path = "../../owners/src/clock.rs"]
mod clock;
mod nodes;
mod record;
mod store;
mod variant;

#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/base64.rs"]
mod base64;
#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/deployment.rs"]
mod deployment;
#[path = "../../owners/src/http.rs"]
mod http;
#[allow(clippy::all, clippy::pedantic, dead_code, reason = "the code of the review stays as it is")]
#[path = "../../../review/standins/src/json.rs"]
mod json;
#[path = "../../../review/standins/src/names.rs"]
mod names;
#[path = "../../../review/standins/src/ports.rs"]
mod ports;
#[path = "../../owners/src/worker.rs"]
mod worker;

use std::process::ExitCode;

/// Draws the clocks of workers, unless `CLOCKS` names another seed.
const SEED: u64 = 1;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: restarts CASE RECORD");
        return ExitCode::from(2);
    };
    clock::Clocks::choose(SEED, false);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some((record, breaches)) = cases::play(&case, has_trouble) else {
        eprintln!("the case could not run");
        return ExitCode::from(2);
    };
    let (verdict, code) = if breaches.is_empty() {
        ("no rule was broken".to_owned(), 0)
    } else {
        (format!("rules were broken {} times:\n{}", breaches.len(), breaches.join("\n")), 1)
    };
    println!("{verdict}");
    if std::fs::write(&path, format!("{}\n{verdict}\n", record.to_text())).is_err() {
        eprintln!("could not write {path}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
