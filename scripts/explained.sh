#!/usr/bin/env bash
# Runs scenarios ("days") of the reference benchmark with all logs. For each request that the
# benchmark reports as not served, checks that the node that received it has logged the cause.
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
  # The benchmark's report of a failure begins with the request and the node.
  while read -r id; do
    # There is no log line for a request that no node has read.
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
