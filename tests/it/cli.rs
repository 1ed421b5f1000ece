//! The command line: exit statuses, and errors that name the file, the value and what to do.

use std::process::{Command, Output};

fn teaselgap(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_teaselgap")).args(args).output().expect("it runs")
}

fn scratch(name: &str, files: &[(&str, &str)]) -> std::path::PathBuf {
    let unique = format!("teaselgap-cli-{name}-{}", std::process::id());
    let directory = std::env::temp_dir().join(unique);
    std::fs::create_dir_all(&directory).expect("a directory");
    for (file, text) in files {
        std::fs::write(directory.join(file), text).expect("a file");
    }
    directory
}

#[test]
fn the_example_declarations_have_no_problems() {
    for fleet in ["examples/lamparna", "examples/korvitsakoda"] {
        let output = teaselgap(&["check", &format!("{}/{fleet}", env!("CARGO_MANIFEST_DIR"))]);

        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
}

#[test]
fn check_reports_every_problem_of_every_file() {
    let directory = scratch(
        "check",
        &[
            ("a.json", r#"{"service": "a", "pool": "p", "capacity": {"normal": 0, "peak": 1}}"#),
            ("b.json", r#"{"service": "b c", "pool": "p"}"#),
        ],
    );

    let output = teaselgap(&["check", &directory.display().to_string()]);
    std::fs::remove_dir_all(&directory).expect("removed");

    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    for part in [
        "a.json: /capacity/normal: 0 is below 1",
        "b.json: /service",
        "b.json: /capacity: is missing",
    ] {
        assert!(said.contains(part), "{part} is missing in {said}");
    }
}

#[test]
fn a_bad_settings_file_is_refused_with_its_problems() {
    let default = teaselgap(&["settings", "--print-default"]).stdout;
    let mut settings: serde_json::Value = serde_json::from_slice(&default).expect("JSON");
    settings["listen"]["http"] = "192.0.2.1:80".into();
    settings["journal"]["partitions"] = 0.into();
    let directory = scratch("settings", &[("s.json", &settings.to_string())]);
    let file = directory.join("s.json").display().to_string();

    let output = teaselgap(&["serve", "--settings", &file]);
    std::fs::remove_dir_all(&directory).expect("removed");

    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(said.contains("/listen/http: 192.0.2.1:80 is not loopback"), "{said}");
    assert!(said.contains("/journal/partitions: 0 is not from 1 to 64"), "{said}");
}

#[test]
fn a_command_line_that_is_not_understood_exits_with_2() {
    for args in [vec!["serve", "--wrong"], vec!["dance"], vec![], vec!["publish"]] {
        assert_eq!(teaselgap(&args).status.code(), Some(2), "{args:?}");
    }
}

#[test]
fn help_and_version_are_there_on_every_level() {
    for command in ["serve", "check", "publish", "status", "explain", "history", "demo"] {
        let output = teaselgap(&[command, "--help"]);

        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).starts_with("Usage: teaselgap"));
    }
    assert!(teaselgap(&["--version"]).status.success());
    assert!(teaselgap(&["--help"]).status.success());
}
