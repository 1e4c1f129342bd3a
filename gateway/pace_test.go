package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/coordinator"
)

// keepingCoordinator keeps what it is told of runs that are over.
type keepingCoordinator struct{ ended []coordinator.RunResult }

func (*keepingCoordinator) Assign(context.Context, coordinator.Request) (coordinator.Assignment, error) {
	return coordinator.Assignment{}, nil
}

func (*keepingCoordinator) PrefillDone(string, string, string) {}

func (*keepingCoordinator) EngineFailed(coordinator.EngineFailure) {}

func (c *keepingCoordinator) End(ended coordinator.RunResult) { c.ended = append(c.ended, ended) }

// TestTheRestOfAStreamTeachesItsOwnPace ends a run of which another engine had made the first
// part: only the events of the engine itself say how fast it is.
func TestTheRestOfAStreamTeachesItsOwnPace(t *testing.T) {
	const (
		whole, own  = 71, 11
		eventTokens = 9
	)
	g := NewWithT(t)
	told := &keepingCoordinator{}
	rest := &reservedEngine{
		exchange: &exchange{handler: &Handler{options: Options{Coordinator: told}}, service: "s"},
		run:      "r", taken: time.Now(), end: func() {}, events: own,
	}
	rest.close(true, whole, eventTokens)
	g.Expect(told.ended).To(HaveLen(1))
	g.Expect(told.ended[0].Output).To(Equal(whole * eventTokens))
	g.Expect(told.ended[0].RestTokens).To(Equal((own - 1) * eventTokens))
}
