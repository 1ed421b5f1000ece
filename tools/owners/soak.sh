#!/usr/bin/env bash
# Plays the seeds FIRST to LAST, two at a time (PLAYS at a time if set), each for EACH seconds (25 if unset),
# and prints a line each. Keeps records and logs in FOLDER (target/owners/soak if unset). Exits with 1
# if a rule was broken in any of them.
cd "$(dirname "$0")/../.." || exit 2
first=${1:?usage: soak.sh FIRST LAST}
last=${2:?usage: soak.sh FIRST LAST}
export FOLDER=${FOLDER:-target/owners/soak} EACH=${EACH:-25}
mkdir -p "$FOLDER"
play() {
  local out code
  out=$(RECORD=$FOLDER/$1.txt KEEP_LOGS=$FOLDER/$1.logs tools/owners/run.sh "$1" "$EACH" 2>&1)
  code=$?
  echo "seed $1: exit $code; $(echo "$out" | grep -c '^TWICE') TWICE, $(echo "$out" | grep -c '^LOST') LOST; $(echo "$out" | tail -n 1 | cut -c1-300)"
  return "$code"
}
export -f play
seq "$first" "$last" | xargs -P "${PLAYS:-2}" -I{} bash -c 'play {}'
