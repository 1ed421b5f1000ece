//! The command line.

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

/// What a command may end with besides success.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line itself is wrong.
    #[error("{0}\nTry 'teaselgap --help'.")]
    Usage(String),
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

/// The command line was wrong.
const USAGE_EXIT: u8 = 2;

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

/// Runs the command that `args` name; the arguments do not include the program's name.
///
/// Errors go to standard error. The exit status is 0 for success, 1 for a command that failed and 2
/// for a command line that can't be understood.
#[must_use]
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("teaselgap: {err}");
            match err {
                CommandError::Usage(_) => ExitCode::from(USAGE_EXIT),
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
        Some(other) => Err(CommandError::Usage(format!("no command is called {other:?}"))),
    }
}

fn print_settings(mut args: Arguments, help: bool) -> Result<(), CommandError> {
    let print = args.contains("--print-default");
    end(args)?;
    if help || !print {
        println!("Usage: teaselgap settings --print-default");
        return Ok(());
    }
    let text = serde_json::to_string_pretty(&Settings::default()).map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}

/// Refuses what is left of the command line.
pub(crate) fn end(args: Arguments) -> Result<(), CommandError> {
    let left = args.finish();
    match left.first() {
        None => Ok(()),
        Some(left) => Err(CommandError::Usage(format!("{} is not understood", left.display()))),
    }
}

/// The settings that `--settings` names.
pub(crate) fn settings(args: &mut Arguments) -> Result<Settings, CommandError> {
    let path: PathBuf = args.value_from_os_str("--settings", |text| {
        Ok::<_, std::convert::Infallible>(Path::new(text).to_owned())
    })?;
    Ok(settings::load(&path)?)
}

/// Runs what a command does over the network.
pub(crate) fn block_on<T>(
    work: impl Future<Output = Result<T, CommandError>>,
) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(work)
}
