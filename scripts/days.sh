#!/usr/bin/env bash
# Runs every scenario ("day") of examples/days on the given site files, and prints those
# that break a rule or whose processes terminate by themselves. BENCH is the path of the
# reference benchmark.
#   BENCH=path/to/fleetbench scripts/days.sh SITE...
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
play() {
  local site=$1 day=$2 out=$3
  local name
  name=$(basename "$site" .toml)-$(basename "$day" .toml)
  "$BENCH" run "$site" "$day" --why "days of our own: $(basename "$day" .toml)" >"$out/$name" 2>&1
}
export -f play
export BENCH
for site in "$@"; do
  printf '%s\n' examples/days/*.toml | xargs -P "${JOBS:-3}" -I DAY bash -c 'play "$1" "$2" "$3"' _ "$site" DAY "$out"
done
grep -lE 'BROKEN|rules broken|exits of its own;|FAULT|fault:' "$out"/* | while read -r bad; do
  echo "== $(basename "$bad")"
  grep -E 'BROKEN|rules broken|[A-Z]{3,} at ' "$bad" | head -3
done
echo "played $(ls "$out" | wc -l) days, $(grep -lE 'BROKEN|rules broken' "$out"/* | wc -l) with a rule broken"
worth=$(grep -hE '^[a-z-]+ +[0-9]+/[0-9]+ ' "$out"/* | awk '{s+=$4; n++} END {if (n) printf "%.3f", s/n}')
echo "mean worth $worth"
grep -hE '^[a-z-]+ +[0-9]+/[0-9]+ ' "$out"/* | sort -k4n | head -12 | cut -c1-120
