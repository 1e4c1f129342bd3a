#!/usr/bin/env bash
# Runs all tests with the race detector. Property tests use a fixed seed, so that the
# result is the same each time; 'make prove' uses other seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${TEST_SEED:-20261202}
# KNOWN-RED.txt lists tests that fail because of a known fault: one per line, starting with
# the name. They run last, and their results do not affect the exit code.
known_red=$(grep -oE '^(Test|Fuzz)[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null || true)
pattern="^($(paste -sd '|' <<<"$known_red"))\$"
skip=()
[ -z "$known_red" ] || skip=(-skip "$pattern")
# importing PACKAGE lists the packages whose tests import PACKAGE.
importing() {
  go list -f '{{$path := .ImportPath}}{{range .TestImports}}{{$path}} {{.}}{{"\n"}}{{end}}{{range .XTestImports}}{{$path}} {{.}}{{"\n"}}{{end}}' ./... |
    awk -v wanted="$1" '$2 == wanted {print $1}' | sort -u
}
all=$(go list ./... | sort)
properties=$(importing pgregory.net/rapid)
plain=$(comm -23 <(echo "$all") <(echo "$properties"))
virtual=$(comm -12 <(echo "$plain") <(importing testing/synctest))
plain=$(comm -23 <(echo "$plain") <(echo "$virtual"))
# Each test of whole nodes runs in its own process: yamux keeps timers in a pool of the
# process, which tests in virtual time cannot share.
rehearsal=$(grep '/sim/rehearsal$' <<<"$properties")
properties=$(grep -v '/sim/rehearsal$' <<<"$properties")
virtual=$(grep -v '/platform/standin$' <<<"$virtual")
# So does each test of anti-entropy: one is in virtual time, and the others would take its timers from that pool.
properties=$(grep -v '/antientropy$' <<<"$properties")
# isolated DIRECTORY FLAGS... runs each test of a package by itself, with the race
# detector.
isolated() {
  local directory=$1 binary
  shift
  binary=$(mktemp)
  go test -race -c -o "$binary" "./$directory"
  (
    cd "$directory"
    "$binary" -test.list '^(Test|Fuzz)' | grep -vxF "${known_red:-none}" |
      GOMAXPROCS=1 xargs -P 8 -I NAME "$binary" -test.run '^NAME$' -test.timeout 5m "$@"
  )
  rm -f "$binary"
}
# shellcheck disable=SC2086
go test -race -timeout 15m "${skip[@]}" $plain
# Tests in virtual time run on one thread under the race detector. The runtime of
# Go 1.26 gives all timers of a synctest bubble one detector context and uses it
# without a lock from every thread that receives from a timer's channel, so that
# the detector itself fails ("CHECK failed: tsan_rtl.cpp", or a SIGSEGV below
# runtime.maybeRunChan). The detector derives races from the order of events, not from
# their timing, so one thread hides none. Without the detector these tests use all threads.
# shellcheck disable=SC2086
GOMAXPROCS=1 go test -race -timeout 15m "${skip[@]}" $virtual
# shellcheck disable=SC2086
GOMAXPROCS=1 go test -race -timeout 15m "${skip[@]}" $properties -rapid.seed="$seed" -rapid.nofailfile
isolated antientropy -rapid.seed="$seed" -rapid.nofailfile
isolated platform/standin
isolated sim/rehearsal -rapid.checks=10 -rapid.seed="$seed" -rapid.nofailfile
go test -timeout 15m "${skip[@]}" "$rehearsal" -rapid.checks=100 -rapid.seed="$seed" -rapid.nofailfile
for name in $known_red; do
  package=$(grep -rlE --include='*_test.go' "^func $name\(" . | head -1 | xargs -r dirname)
  if (cd "${package:-.}" && go test -timeout 2m -run "^$name\$" .) >/dev/null 2>&1; then
    echo "known red: $name passes now; take it off KNOWN-RED.txt"
  else
    echo "known red: $name fails"
  fi
done
