#!/usr/bin/env bash
# Plays the days on which workers restart in place and are cut off soon after (issue 53), with the seeds
# in restarts.tsv, and prints a line each with the rules that it broke.
#
# usage: tools/regression/restarts.sh BENCH KIT [SITE ...]
#
# BENCH is the users' bench, KIT the folder that contains the site files named in restarts.tsv. Without
# SITE, all of these are played; PLAYS at a time (4 if unset). Exits with 1 if a rule was broken or a day
# could not be played.
set -euo pipefail
root=$(cd "$(dirname "$0")/../.." && pwd)
plays=$root/tools/regression/restarts.tsv

# The names in the days of deploy/days/, which those of each site replace.
service=kora-desk zone=tallinn

if [ $# -lt 2 ]; then
  sed -nE 's/^# (usage: .*)/\1/p' "$0" >&2
  exit 2
fi
export bench=$1 kit=$2
shift 2
cd "$root"

# play SITE NAME DAY SEED
play() {
  local out rules
  out=$("$bench" run "$kit/$1" "$days/$2/$3.toml" --no-cpu --seed "$4" --why "Regression run of $3 on $2" 2>&1) || true
  rules=$(sed -nE 's/^rules broken: (.*)/\1/p' <<<"$out")
  if ! grep -q '^what happened$' <<<"$out"; then
    rules="not played: $(tail -n 1 <<<"$out")"
  fi
  printf '%s %s %s: %s\n' "$2" "$3" "$4" "${rules:-none broken}"
  [ -z "$rules" ]
}
export -f play

days=$(mktemp -d)
export days
trap 'rm -rf "$days"' EXIT

while IFS=$'\t' read -r site service_there zone_there day seeds; do
  name=$(basename "$site" .toml)
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
    continue
  fi
  mkdir -p "$days/$name"
  sed "s/\"$service\"/\"$service_there\"/g; s/\"$zone\"/\"$zone_there\"/g" "deploy/days/$day.toml" >"$days/$name/$day.toml"
  for seed in $seeds; do
    printf '%s\0' "$site" "$name" "$day" "$seed"
  done
done <"$plays" >"$days/plays"
if [ ! -s "$days/plays" ]; then
  echo "no such site in restarts.tsv: $*" >&2
  exit 2
fi

# Built once, so that the plays don't build side by side.
if ! "$bench" build >"$days/build" 2>&1; then
  tail -n 20 "$days/build" >&2
  exit 1
fi
xargs -0 -n 4 -P "${PLAYS:-4}" bash -c 'play "$@"' play <"$days/plays" || exit 1
