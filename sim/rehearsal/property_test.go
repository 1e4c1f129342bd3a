package rehearsal

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// operationNames are the names of the operations in the summary.
var operationNames = map[operation]string{
	opRequest: "request", opKill: "kill", opStart: "start", opStop: "planned-stop", opIsolate: "isolate", opHeal: "heal",
	opIsolateFromPlatform: "isolate-from-platform", opOutage: "outage", opDropResponses: "lose-responses", opAbortExchanges: "abort-exchanges",
	opFreezeEngine: "freeze-engine", opStallTransfers: "stall-transfers", opEndFaults: "end-faults", opLeave: "leave",
	opConfigure: "configure", opRace: "operator-race",
}

// guaranteesHold runs random schedules of requests and faults. The oracle compares
// what callers received with the stand-ins' ledgers.
func guaranteesHold(outer *testing.T, total map[operation]int) func(*rapid.T) {
	return func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 40).Draw(t, "steps")
		violations, injected := runSchedule(outer, smallOptions(), steps)
		for op, count := range injected {
			total[op] += count
		}
		for _, violation := range violations {
			outer.Logf("violation: %s", violation)
			t.Errorf("%s", violation)
		}
	}
}

func summary(total map[operation]int) string {
	var parts []string
	for op, count := range total {
		parts = append(parts, fmt.Sprintf("%s=%d", operationNames[op], count))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	total := map[operation]int{}
	rapid.Check(t, guaranteesHold(t, total))
	t.Logf("faults injected: %s", summary(total))
}

func FuzzPromises(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		rapid.MakeFuzz(guaranteesHold(t, map[operation]int{}))(t, data)
	})
}
