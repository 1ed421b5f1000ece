#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. Needs no network. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
