#!/usr/bin/env bash
# Plays changes of owners under trouble drawn from SEED, for SECONDS (25 if not given), on the code in
# PROJECT (this repository if unset), whose PROGRAM (target/release/teaselgap if unset) must be built.
# Writes the record to RECORD (target/owners/SEED.txt if unset). Exits with 1 if a rule was broken, 0 if
# it held and 2 if nothing could be played. TROUBLE=0 leaves the trouble out; AIM=SCENE,SCENE draws these only
# (see src/draw/; AIM=recut restarts workers and soon cuts them off); CLOCKS=0 starts each clock of a worker at 0, CLOCKS=N draws them by N; KEEP_LOGS=FOLDER keeps the processes' logs.
cd "$(dirname "$0")/../.." || exit 2
seed=${1:?usage: run.sh SEED [SECONDS]}
seconds=${2:-25}
target=$PWD/target/owners
record=$(realpath -m "${RECORD:-$target/$seed.txt}")
[ -z "${KEEP_LOGS:-}" ] || KEEP_LOGS=$(realpath -m "$KEEP_LOGS")
cargo build --quiet --release --offline --manifest-path tools/owners/Cargo.toml \
  --target-dir "$target" || exit 2
cd "${PROJECT:-.}" || exit 2
export PROGRAM=${PROGRAM:-target/release/teaselgap}
if [ ! -x "$PROGRAM" ]; then
  echo "build $PROGRAM first (deploy/system.toml)" >&2
  exit 2
fi
"$target/release/owners" "$seed" "$((seconds * 1000))" "$record" &
play=$!

# Ends the play, and the processes that it started and that still have its settings.
end_play() {
  kill "$play" 2>/dev/null && wait "$play" 2>/dev/null
  local folder=${TMPDIR:-/tmp}/owners-$play
  [ -f "$folder/pids" ] || return 0
  while read -r pid; do
    if grep -qz "^TEASELGAP_BOOT=$folder/" "/proc/$pid/environ" 2>/dev/null; then
      kill -9 "$pid"
    fi
  done <"$folder/pids"
  rm -r "$folder"
}
trap 'end_play; exit 2' INT TERM HUP
wait "$play"
code=$?
end_play
# A panic is no verdict.
[ "$code" -le 2 ] || code=2
exit "$code"
