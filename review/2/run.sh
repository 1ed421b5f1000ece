#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
if [ ! -x "$program" ] || [ ! -x target/release/teaselgap ]; then
  echo "build the project and run review/build.sh first" >&2
  exit 2
fi
"$program" stale-entry review/2/record.txt
code=$?
# A panic is no verdict.
[ "$code" -le 2 ] || code=2
exit "$code"
