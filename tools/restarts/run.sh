#!/usr/bin/env bash
# Plays a case (see src/cases.rs) on the code in PROJECT (this repository if unset), whose
# target/release must be built. Writes the record to RECORD (target/restarts/CASE.txt if unset).
# Exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out; CLOCKS=0 starts each clock of a worker at 0, CLOCKS=N draws them by N (1 if unset);
# KEEP_LOGS=FOLDER keeps the processes' logs.
cd "$(dirname "$0")/../.." || exit 2
case=${1:?usage: run.sh CASE}
target=$PWD/target/restarts
record=$(realpath -m "${RECORD:-$target/$case.txt}")
[ -z "${KEEP_LOGS:-}" ] || KEEP_LOGS=$(realpath -m "$KEEP_LOGS")
cargo build --quiet --release --offline --manifest-path tools/restarts/Cargo.toml \
  --target-dir "$target" || exit 2
cd "${PROJECT:-.}" || exit 2
if [ ! -x target/release/teaselgap ]; then
  echo "build the project first (deploy/system.toml)" >&2
  exit 2
fi
"$target/release/restarts" "$case" "$record"
code=$?
# A panic is no verdict.
[ "$code" -le 2 ] || code=2
exit "$code"
