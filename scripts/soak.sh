#!/usr/bin/env bash
# Runs the fault-injection soak test with SOAK_SEEDS seeds, starting at SOAK_FIRST (random if
# unset). Each seed injects faults for SOAK_DURATION; SOAK_JOBS seeds run at a time, with
# SOAK_NODES nodes if that is set. The node logs of a seed that fails are kept in the folder
# for temporary files; to repeat it: SOAK_SEED=<seed> go test ./soak
set -uo pipefail
cd "$(dirname "$0")/.."
seeds=${SOAK_SEEDS:-50}
first=${SOAK_FIRST:-$((RANDOM * 32768 + RANDOM))}
export SOAK_DURATION=${SOAK_DURATION:-8s}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
go test -c -o "$out/soak.test" ./soak || exit 1
cd soak
seq "$first" $((first + seeds - 1)) |
  xargs -P "${SOAK_JOBS:-4}" -I @@ sh -c "SOAK_SEED=@@ '$out/soak.test' -test.run '^TestSoak\$' -test.v -test.timeout 5m >'$out/@@' 2>&1 || echo @@ >>'$out/failed'"
grep -h 'seed ' "$out"/[0-9]* | sed 's/.*seed/seed/'
failed=0
if [ -f "$out/failed" ]; then
  failed=$(wc -l <"$out/failed")
  while read -r seed; do
    echo "== seed $seed"
    grep -E 'soak_test.go|panic|log of node' "$out/$seed" | head -n 30
  done <"$out/failed"
fi
echo "soak: seeds=$seeds first=$first failed=$failed"
exit $((failed > 0))
