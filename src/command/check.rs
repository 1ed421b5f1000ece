//! `teaselgap check`: checks declarations and reports every problem.

use pico_args::Arguments;
use teaselgap_core::catalog;

use super::{CommandError, files};

const HELP: &str = "\
Usage: teaselgap check DIR…

Reads every .json file in the directories and reports every problem: the file, the JSON pointer to
the value, and what is allowed. Needs no network. Exit status 1 if there is any problem.
";

pub(super) fn run(args: Arguments, help: bool) -> Result<(), CommandError> {
    if help {
        print!("{HELP}");
        return Ok(());
    }
    let directories = files::directories(args)?;
    let (declarations, mut problems) = files::read(&directories)?;
    problems.extend(catalog::check(&declarations, None));
    if !problems.is_empty() {
        return Err(files::problems_error(&problems));
    }
    println!("{} declarations, no problems", declarations.len());
    Ok(())
}
