package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/gateway"
)

// assigningCoordinator assigns an engine and records the ends of runs.
type assigningCoordinator struct {
	assigned func()
	runID    string
	ended    []coordinator.RunResult
}

func (c *assigningCoordinator) Assign(_ context.Context, request coordinator.Request) (coordinator.Assignment, error) {
	c.runID = request.Run.ID
	c.assigned()
	return coordinator.Assignment{Decode: "engine"}, nil
}

func (c *assigningCoordinator) PrefillDone(string, string, string) {}

func (c *assigningCoordinator) EngineFailed(coordinator.EngineFailure) {}

func (c *assigningCoordinator) End(result coordinator.RunResult) { c.ended = append(c.ended, result) }

// disconnectingDialect has the caller disconnect while memory is being reserved.
type disconnectingDialect struct {
	parser
	disconnect func()
}

func (d disconnectingDialect) Reserve(ctx context.Context, _ backend.Backend, _ int, _ time.Duration) (*gateway.Reservation, error) {
	d.disconnect()
	return nil, ctx.Err()
}

// TestCallerDisconnectEndsRun has the caller disconnect at each step after an engine was assigned: the run
// must end, and nothing may be counted against the engine.
func TestCallerDisconnectEndsRun(t *testing.T) {
	for name, atReservation := range map[string]bool{"with the assignment": false, "at the reservation": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			assigning := &assigningCoordinator{assigned: func() {}}
			dialect := disconnectingDialect{disconnect: disconnect}
			if !atReservation {
				assigning.assigned = disconnect
			}
			handler := newEngineHandler(dialect, assigning)
			request := httptest.NewRequest(http.MethodPost, "http://h/x", nil).WithContext(ctx)
			handler.ServeHTTP(httptest.NewRecorder(), request)
			g.Expect(assigning.runID).NotTo(BeEmpty())
			g.Expect(assigning.ended).To(HaveLen(1))
			g.Expect(assigning.ended[0].ID).To(Equal(assigning.runID))
			g.Expect(assigning.ended[0].Rejection).To(Equal(coordinator.RejectionNone))
		})
	}
}
