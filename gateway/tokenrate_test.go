package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/coordinator"
)

// recordingCoordinator records the ends of runs.
type recordingCoordinator struct{ ended []coordinator.RunResult }

func (*recordingCoordinator) Assign(context.Context, coordinator.Request) (coordinator.Assignment, error) {
	return coordinator.Assignment{}, nil
}

func (*recordingCoordinator) PrefillDone(string, string, string) {}

func (*recordingCoordinator) EngineFailed(coordinator.EngineFailure) {}

func (c *recordingCoordinator) End(result coordinator.RunResult) { c.ended = append(c.ended, result) }

// TestResumedStreamReportsOwnTokenRate ends a run of which another engine had generated the first part:
// only the events of the engine itself measure its speed.
func TestResumedStreamReportsOwnTokenRate(t *testing.T) {
	const (
		complete, own = 71, 11
		eventTokens   = 9
	)
	g := NewWithT(t)
	recorder := &recordingCoordinator{}
	rest := &reservedEngine{
		exchange: &exchange{handler: &Handler{options: Options{Coordinator: recorder}}, service: "s"},
		run:      "r", reservedAt: time.Now(), end: func() {}, events: own,
	}
	rest.close(true, complete, eventTokens)
	g.Expect(recorder.ended).To(HaveLen(1))
	g.Expect(recorder.ended[0].Output).To(Equal(complete * eventTokens))
	g.Expect(recorder.ended[0].RestTokens).To(Equal((own - 1) * eventTokens))
}
