//! Declarations as files.

use std::{
    ffi::OsString,
    path::{Path, PathBuf},
};

use pico_args::Arguments;
use teaselgap_core::declare::{Declaration, Problem, parse};

use super::CommandError;

/// Declarations with the files that they were read from.
pub(super) type Declarations = Vec<(String, Declaration)>;

/// The directories that are left of a command line.
pub(super) fn directories(args: Arguments) -> Result<Vec<PathBuf>, CommandError> {
    let left = args.finish();
    if left.is_empty() {
        return Err(CommandError::Usage("a directory of declarations is missing".to_owned()));
    }
    let directory = |text: OsString| {
        let option = text.to_str().filter(|text| text.starts_with('-'));
        match option {
            Some(option) => Err(CommandError::Usage(format!("{option:?} is not understood"))),
            None => Ok(PathBuf::from(text)),
        }
    };
    left.into_iter().map(directory).collect()
}

/// Reads every `.json` file in the directories, in the order of their names.
pub(super) fn read(directories: &[PathBuf]) -> Result<(Declarations, Vec<Problem>), CommandError> {
    let mut declarations = Vec::new();
    let mut problems = Vec::new();
    for directory in directories {
        for path in json_files(directory)? {
            let file = path.display().to_string();
            let text = std::fs::read(&path)
                .map_err(|err| CommandError::Failed(format!("{file}: {err}")))?;
            match parse(&file, &text) {
                Ok(declaration) => declarations.push((file, declaration)),
                Err(found) => problems.extend(found),
            }
        }
    }
    Ok((declarations, problems))
}

fn json_files(directory: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let fail = |err| CommandError::Failed(format!("{}: {err}", directory.display()));
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(fail)? {
        let path = entry.map_err(fail)?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// An error that lists all problems.
pub(super) fn problems_error(problems: &[Problem]) -> CommandError {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let count = problems.len();
    let noun = if count == 1 { "problem" } else { "problems" };
    CommandError::Failed(format!("{count} {noun}\n{}", lines.join("\n")))
}
