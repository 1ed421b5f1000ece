#!/usr/bin/env bash
# Plays the scores of the regression set and holds them against the last committed ones.
#
# usage: tools/regression/run.sh BENCH KIT [SITE ...]
#
# BENCH is the users' bench, KIT the folder that contains the site files named in scores.tsv. Without
# SITE, all of these are played. Exits with 1 if a score is lower by more than plays of the same code
# differ, or if a gate is not passed.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
scores=$root/tools/regression/scores.tsv

# What scores of the same code differ by.
noise=0.03

if [ $# -lt 2 ]; then
  sed -nE 's/^# (usage: .*)/\1/p' "$0" >&2
  exit 2
fi
bench=$1 kit=$2
shift 2
cd "$root"

status=0
while IFS=$'\t' read -r site before; do
  name=$(basename "$site" .toml)
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
    continue
  fi
  out=$("$bench" score "$kit/$site" --jobs 4 --why "Regression run of $name" 2>&1) || true
  score=$(sed -nE 's/^score on .*: ([0-9.]+)$/\1/p' <<<"$out")
  gate=$(sed -nE 's/^GATE (.*)/\1/p' <<<"$out")
  verdict=$(awk -v a="$before" -v b="${score:-0}" -v n="$noise" 'BEGIN { print (b < a - n) ? "fell" : "holds" }')
  printf '%s: %s, before %s, %s; gate %s\n' "$name" "${score:-none}" "$before" "$verdict" "${gate:-unknown}"
  if [ "$verdict" = fell ] || [ "$gate" != passed ]; then
    status=1
  fi
done <"$scores"
exit "$status"
