//! Reads declarations from `.json` files.

use std::{
    ffi::OsString,
    path::{Path, PathBuf},
};

use pico_args::Arguments;
use teaselgap_core::declare::{Declaration, Problem, parse};

use super::CommandError;

/// Declarations, each with the path of its file.
pub(super) type Declarations = Vec<(String, Declaration)>;

/// Parses the remaining arguments as directories; there must be at least one.
pub(super) fn directories(args: Arguments) -> Result<Vec<PathBuf>, CommandError> {
    let remaining = args.finish();
    if remaining.is_empty() {
        return Err(CommandError::Usage("name at least one directory of declarations".to_owned()));
    }
    let parse_directory = |text: OsString| {
        let option = text.to_str().filter(|text| text.starts_with('-'));
        match option {
            Some(option) => Err(CommandError::Usage(format!("unexpected option {option:?}"))),
            None => Ok(PathBuf::from(text)),
        }
    };
    remaining.into_iter().map(parse_directory).collect()
}

/// Reads every `.json` file in the directories, by directory in the given order, then by file name.
/// Returns the declarations and the problems of the files that can't be parsed.
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
                Err(file_problems) => problems.extend(file_problems),
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

/// Creates an error that lists all problems.
pub(super) fn problems_error(problems: &[Problem]) -> CommandError {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let count = problems.len();
    let noun = if count == 1 { "problem" } else { "problems" };
    CommandError::Failed(format!("{count} {noun}\n{}", lines.join("\n")))
}
