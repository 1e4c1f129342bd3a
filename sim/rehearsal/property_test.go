package rehearsal

import (
	"testing"

	"pgregory.net/rapid"
)

// promisesHold plays random schedules of requests and faults. The oracle judges
// by what callers received and what the stand-ins' ledgers say.
func promisesHold(outer *testing.T) func(*rapid.T) {
	return func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 40).Draw(t, "steps")
		violations, _ := runSchedule(outer, smallOptions(), steps)
		for _, violation := range violations {
			outer.Logf("violation: %s", violation)
			t.Errorf("%s", violation)
		}
	}
}

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, promisesHold(t))
}
