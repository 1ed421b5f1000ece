//! Measurements of whole clusters that run on one computer.
//!
//! Each result is a line of JSON with the measured value and its bound. The bound is the stated
//! target for that value, never the result of an earlier measurement.

mod measure;

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
Usage: teaselgap-standins measure WHAT [OPTIONS]

  control    [--nodes N,…] [--workers N,…] [--seconds N]   cost of control alone, and its slopes
  rollout    [--nodes N] [--changes N]                     time until a change is in force everywhere
  overhead   [--seconds N] [--callers N]                   what a node adds to a request
  flood      [--seconds N] [--seed N]                      what others keep while one service floods
  cell       [--workers N] [--jobs N] [--ended N] [--seconds N]
                                                           cost of each kind of input to a busy cell
  journal    [--seconds N] [--nodes N]                     cost of recording requests

Build the whole workspace with the same profile first: cargo build --release --workspace
";

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let help = args.contains(["-h", "--help"]);
    let command = args.subcommand().ok().flatten();
    let measurement = args.subcommand().ok().flatten();
    let result = match (command.as_deref(), measurement.as_deref()) {
        _ if help => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        (Some("measure"), Some("cell")) => measure::cell::run(args),
        (Some("measure"), Some("control")) => measure::control::run(args).await,
        (Some("measure"), Some("rollout")) => measure::rollout::run(args).await,
        (Some("measure"), Some("overhead")) => measure::overhead::run(args).await,
        (Some("measure"), Some("flood")) => measure::flood::run(args).await,
        (Some("measure"), Some("journal")) => measure::journal::run(args).await,
        _ => {
            eprint!("{HELP}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("teaselgap-standins: {err}");
            ExitCode::FAILURE
        }
    }
}
