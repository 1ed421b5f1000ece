//! Tests of the command line: exit statuses, and error messages that name the file, the invalid
//! value and how to correct it.

use std::process::{Command, Output};

fn run_teaselgap(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_teaselgap")).args(args).output().expect("the command runs")
}

/// Creates a temporary directory with these files.
fn create_temp_dir(name: &str, files: &[(&str, &str)]) -> std::path::PathBuf {
    let unique = format!("teaselgap-cli-{name}-{}", std::process::id());
    let directory = std::env::temp_dir().join(unique);
    std::fs::create_dir_all(&directory).expect("create the directory");
    for (file, text) in files {
        std::fs::write(directory.join(file), text).expect("write the file");
    }
    directory
}

#[test]
fn check_accepts_the_example_declarations() {
    for example in ["examples/lamparna", "examples/korvitsakoda"] {
        let output =
            run_teaselgap(&["check", &format!("{}/{example}", env!("CARGO_MANIFEST_DIR"))]);

        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
}

#[test]
fn check_reports_every_problem_of_every_file() {
    let directory = create_temp_dir(
        "check",
        &[
            ("a.json", r#"{"service": "a", "pool": "p", "capacity": {"normal": 0, "peak": 1}}"#),
            ("b.json", r#"{"service": "b c", "pool": "p"}"#),
        ],
    );

    let output = run_teaselgap(&["check", &directory.display().to_string()]);
    std::fs::remove_dir_all(&directory).expect("remove the directory");

    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    for problem in [
        "a.json: /capacity/normal: 0 is below 1",
        "b.json: /service",
        "b.json: /capacity: is missing",
    ] {
        assert!(stderr.contains(problem), "{problem} is missing in {stderr}");
    }
}

#[test]
fn serve_rejects_an_invalid_settings_file_and_reports_its_problems() {
    let default = run_teaselgap(&["settings", "--print-default"]).stdout;
    let mut settings: serde_json::Value =
        serde_json::from_slice(&default).expect("default settings are JSON");
    settings["listen"]["http"] = "192.0.2.1:80".into();
    settings["journal"]["partitions"] = 0.into();
    let directory = create_temp_dir("settings", &[("s.json", &settings.to_string())]);
    let file = directory.join("s.json").display().to_string();

    let output = run_teaselgap(&["serve", "--settings", &file]);
    std::fs::remove_dir_all(&directory).expect("remove the directory");

    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains("/listen/http: 192.0.2.1:80 is not loopback"), "{stderr}");
    assert!(stderr.contains("/journal/partitions: 0 is not from 1 to 64"), "{stderr}");
}

#[test]
fn an_invalid_command_line_exits_with_2() {
    for args in [vec!["serve", "--wrong"], vec!["dance"], vec![], vec!["publish"]] {
        assert_eq!(run_teaselgap(&args).status.code(), Some(2), "{args:?}");
    }
}

#[test]
fn every_command_has_help_and_the_program_has_a_version() {
    for command in ["serve", "check", "publish", "status", "explain", "history", "demo"] {
        let output = run_teaselgap(&[command, "--help"]);

        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).starts_with("Usage: teaselgap"));
    }
    assert!(run_teaselgap(&["--version"]).status.success());
    assert!(run_teaselgap(&["--help"]).status.success());
}
