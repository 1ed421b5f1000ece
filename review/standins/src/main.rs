//! Plays one case of the review against the project's own processes.
//!
//! Usage: `review-standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. `TROUBLE=0` leaves the disruption out.

mod base64;
mod cases;
mod deployment;
mod http;
mod json;
mod names;
mod ports;
mod record;
mod store;
mod worker;

use std::process::ExitCode;

use cases::Outcome;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some((record, outcome)) = cases::play(&case, has_trouble) else {
        eprintln!("the case could not run");
        return ExitCode::from(2);
    };
    let (verdict, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::NotPlayed(reason) => (format!("the case could not run: {reason}"), 2),
        Outcome::Broken(breaches) => {
            let shown: Vec<&str> = breaches.iter().take(20).map(String::as_str).collect();
            (format!("the rule was broken {} times:\n{}", breaches.len(), shown.join("\n")), 1)
        }
    };
    println!("{verdict}");
    if std::fs::write(&path, format!("{}\n{verdict}\n", record.to_text())).is_err() {
        eprintln!("could not write {path}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
