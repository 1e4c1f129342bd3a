#!/usr/bin/env bash
# Runs the property tests with many cases, and the fuzz targets. PROVE_CASES is the number
# of cases per property, PROVE_SEED the seed (random if unset), PROVE_FUZZ the time for each
# fuzz target. To repeat a failure: PROVE_SEED=<seed> make prove
set -uo pipefail
cd "$(dirname "$0")/.."
cases=${PROVE_CASES:-1000}
seed=${PROVE_SEED:-$((RANDOM * 32768 + RANDOM + 1))}
fuzz=${PROVE_FUZZ:-20s}
log=$(mktemp)
trap 'rm -f "$log"' EXIT
violations=0
echo "prove: seed $seed; repeat by PROVE_SEED=$seed make prove"

check() {
  echo "prove: $*"
  if ! "$@" >>"$log" 2>&1; then
    violations=$((violations + 1))
    grep -E 'FAIL|violation|rapid\]' "$log" | tail -n 20
  fi
}

properties=(./sim/rehearsal:TestPromisesHoldUnderRandomFaults ./claim:TestKeyIsGrantedAtMostOnce ./lease:TestOneHolderActsAtATime
  ./configuration:TestOneWinnerAVersion ./scheduler:TestNeverGrantsBeyondCapacity ./engine:TestStreamYieldsEachTokenOnce ./directory:TestTurnsRise
  ./replica:TestExchangeMakesAlike ./replica:TestOrderDoesNotMatter ./backend:TestReadyAfterAnyHistory ./httpheader:TestEndToEnd
  ./sim/eventqueue:TestOrder ./sim/sitemodel:TestNothingIsLost)
for property in "${properties[@]}"; do
  check go test "${property%%:*}" -run "^${property##*:}\$" -v -timeout 60m -rapid.checks="$cases" -rapid.seed="$seed" -rapid.nofailfile
done
targets=(./sim/rehearsal:FuzzPromises ./claim:FuzzKeyIsGrantedAtMostOnce ./lease:FuzzOneHolderActsAtATime ./configuration:FuzzOneWinnerAVersion
  ./peer:FuzzReadMessage ./antientropy:FuzzObjectsOfAnotherNode ./engine:FuzzStream ./api:FuzzValidate ./gateway:FuzzEvents ./platform:FuzzSettings ./platform:FuzzConfiguration
  ./platform:FuzzBackend ./platform:FuzzRequestHead ./platform:FuzzServerAnswers ./platform:FuzzStoreAnswers)
for target in "${targets[@]}"; do
  check go test "${target%%:*}" -run '^$' -fuzz "^${target##*:}\$" -fuzztime "$fuzz" -parallel 4
done
check go test ./sim/rehearsal ./claim ./lease -run 'Oracle|Monitor' -count=1
check go test ./processtest -count=1
grep -h 'faults injected' "$log" || true
echo "prove: properties=${#properties[@]} cases=$((${#properties[@]} * cases)) fuzz_targets=${#targets[@]} violations=$violations"
exit $((violations > 0))
