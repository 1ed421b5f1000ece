//! The `teaselgap` program.

fn main() -> std::process::ExitCode {
    teaselgap::run(std::env::args_os().skip(1).collect())
}
