//! The command line: parses it and runs the command that it names.

mod check;
#[cfg(feature = "demo")]
mod demo;
mod explain;
mod files;
mod history;
pub(crate) mod publish;
mod serve;
mod status;

use std::{
    ffi::OsString,
    fmt,
    path::{Path, PathBuf},
    process::ExitCode,
};

use pico_args::Arguments;

use crate::settings::{self, Settings, SettingsError};

/// The error of a command that did not succeed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line is invalid.
    #[error("{0}\nTry 'teaselgap --help'.")]
    Usage(String),
    /// The settings can't be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The command ran and failed.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    pub(crate) fn failed(reason: impl fmt::Display) -> Self {
        Self::Failed(reason.to_string())
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(err: pico_args::Error) -> Self {
        Self::Usage(err.to_string())
    }
}

/// The exit status for an invalid command line.
const USAGE_EXIT_STATUS: u8 = 2;

const HELP: &str = "\
teaselgap: runs shared fleets by declarations kept in version control

Usage: teaselgap COMMAND [OPTIONS]

  serve --settings FILE            run an entry node
  check DIR…                       check declarations; needs no network
  publish --settings FILE DIR…     check declarations together and put them in force
  status --settings FILE           what each live node has in force
  explain NAME --settings FILE     why a service or VM is where it is
  history export|verify …          a customer's requests, handed back
  settings --print-default         settings with all their defaults
  schema                           JSON Schema of a declaration
  demo [--json]                    a small system in one process, under load

  --help, -h                       help; also after a command
  --version, -V                    version

Exit status: 0 success, 1 the command failed, 2 the command line is wrong.
";

/// Runs the command that `args` specify; the arguments do not include the program's name.
///
/// Errors are printed to standard error. The exit status is 0 if the command succeeded, 1 if it
/// failed and 2 if the command line is invalid.
#[must_use]
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("teaselgap: {err}");
            match err {
                CommandError::Usage(_) => ExitCode::from(USAGE_EXIT_STATUS),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn dispatch(mut args: Arguments) -> Result<(), CommandError> {
    if args.contains(["-V", "--version"]) {
        println!("teaselgap {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = args.subcommand()?;
    let help = args.contains(["-h", "--help"]);
    match command.as_deref() {
        Some("serve") => serve::run(args, help),
        Some("check") => check::run(args, help),
        Some("publish") => publish::run(args, help),
        Some("status") => status::run(args, help),
        Some("explain") => explain::run(args, help),
        Some("history") => history::run(args, help),
        Some("settings") => print_settings(args, help),
        Some("schema") => {
            println!("{:#}", teaselgap_core::declare::schema());
            Ok(())
        }
        #[cfg(feature = "demo")]
        Some("demo") => demo::run(args, help),
        None if help => {
            print!("{HELP}");
            Ok(())
        }
        None => Err(CommandError::Usage("a command is missing".to_owned())),
        Some(other) => Err(CommandError::Usage(format!("unknown command {other:?}"))),
    }
}

fn print_settings(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    let print_default = args.contains("--print-default");
    reject_remaining(args)?;
    if help || !print_default {
        println!("Usage: teaselgap settings --print-default");
        return Ok(());
    }
    let text = serde_json::to_string_pretty(&Settings::default()).map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}

/// Returns a usage error if any argument has not been parsed.
pub(crate) fn reject_remaining(args: Arguments) -> Result<(), CommandError> {
    let remaining = args.finish();
    match remaining.first() {
        None => Ok(()),
        Some(arg) => Err(CommandError::Usage(format!("unexpected argument {}", arg.display()))),
    }
}

/// Loads and checks the settings file that the option `--settings` names.
pub(crate) fn load_settings(args: &mut Arguments) -> Result<Settings, CommandError> {
    let path: PathBuf = args.value_from_os_str("--settings", |text| {
        Ok::<_, std::convert::Infallible>(Path::new(text).to_owned())
    })?;
    Ok(settings::load(&path)?)
}

/// Runs a command's asynchronous work to its end on a runtime of the calling thread.
pub(crate) fn block_on<T>(
    work: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(work)
}
