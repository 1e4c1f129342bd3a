#!/usr/bin/env bash
# Plays days with all logs and checks that each request that the bench names as not
# served leads to a line with its cause at the node that took it.
#   BENCH=path/to/fleetbench scripts/explained.sh SITE DAY...
set -uo pipefail
cd "$(dirname "$0")/.."
site=$1
shift
missing=0
checked=0
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for day in "$@"; do
  "$BENCH" run "$site" "$day" --log all --why "each failed request has a line: $day" >"$out" 2>&1
  # What the bench tells of a failure begins with the request and the node.
  while read -r id; do
    # A request that no node read cannot have a line.
    if grep -q "$id.* sent to" "$out" && ! grep -A6 "request $id .*sent to" "$out" | grep -qE 'no connection'; then
      checked=$((checked + 1))
      if ! grep -q "\"request\":\"$id\"" "$out"; then
        missing=$((missing + 1))
        echo "$day: no line on $id"
        grep -A6 "request $id " "$out" | head -n 7
      fi
    fi
  done < <(grep -A1 "^not served" "$out" | grep -oE 'request [0-9a-f]{16}' | cut -d' ' -f2 | sort -u)
done
echo "explained: checked=$checked missing=$missing"
exit $((missing > 0))
