package model

import (
	"reflect"
	"testing"
	"time"
)

func testOptions(name string) Options {
	return Options{Workload: name, Seed: 7, Load: 1, Length: 4 * time.Second, Flood: true, Fail: true, Parameters: DefaultParameters()}
}

// TestSameSeedSameOutcome runs every policy and some ablations twice with one seed
// and compares the outcomes.
func TestSameSeedSameOutcome(t *testing.T) {
	policies := append(Policies(), Ablations()[:4]...)
	first, err := Compare(testOptions("amrc"), policies)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Compare(testOptions("amrc"), policies)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first, second) {
		t.Fatalf("outcomes of the same seed differ: %+v and %+v", first, second)
	}
}

// TestOutcomesAddUpToOne checks that the shares of goodput, rejected and late requests
// add up to one for each policy, and that no policy exceeds the bound.
func TestOutcomesAddUpToOne(t *testing.T) {
	for _, name := range Workloads() {
		outcomes, err := Compare(testOptions(name), Policies())
		if err != nil {
			t.Fatal(err)
		}
		bound := outcomes[len(outcomes)-1].Goodput
		for _, outcome := range outcomes[:len(outcomes)-1] {
			sum := outcome.Goodput + outcome.Rejected + outcome.Late
			if sum < 0.999 || sum > 1.001 {
				t.Errorf("%s %s: goodput, rejected and late add up to %f", name, outcome.Policy, sum)
			}
			if outcome.Goodput > bound || outcome.WastedPrefill < 0 || outcome.WastedPrefill > 1 {
				t.Errorf("%s %s: goodput %f above the bound %f, or wasted %f", name, outcome.Policy, outcome.Goodput, bound, outcome.WastedPrefill)
			}
		}
	}
}

// TestEveryJobEnds runs each policy until settleTime after the last arrival, and checks
// that no job is left unfinished and that all KV memory and slots are freed.
func TestEveryJobEnds(t *testing.T) {
	for _, policy := range Policies() {
		s, jobs := runToEnd(t, policy)
		for _, j := range jobs {
			if j.state.phase != phaseDone {
				t.Errorf("%s: job %d is still in phase %d", policy, j.id, j.state.phase)
			}
		}
		for i, engine := range s.decodes {
			if engine.kvTokens != 0 || engine.slotsUsed() != 0 {
				t.Errorf("%s: decode engine %d still holds %d KV tokens and %d slots", policy, i, engine.kvTokens, engine.slotsUsed())
			}
		}
	}
}

func runToEnd(t *testing.T, policy string) (*simulation, []*job) {
	t.Helper()
	options := testOptions("fisio-xela")
	options.Policy = policy
	s, jobs, err := newSimulation(options)
	if err != nil {
		t.Fatal(err)
	}
	s.RunUntil(options.Length + settleTime)
	return s, jobs
}
