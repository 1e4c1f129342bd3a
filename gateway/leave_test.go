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

// givingCoordinator assigns an engine and keeps what it is told of runs that are
// over.
type givingCoordinator struct {
	assigned func()
	given    string
	ended    []coordinator.RunResult
}

func (c *givingCoordinator) Assign(_ context.Context, request coordinator.Request) (coordinator.Assignment, error) {
	c.given = request.Run.ID
	c.assigned()
	return coordinator.Assignment{Decode: "engine"}, nil
}

func (c *givingCoordinator) PrefillDone(string, string, string) {}

func (c *givingCoordinator) EngineFailed(coordinator.EngineFailure) {}

func (c *givingCoordinator) End(ended coordinator.RunResult) { c.ended = append(c.ended, ended) }

// leavingAtReservation has the caller leave while memory is reserved.
type leavingAtReservation struct {
	parser
	leave func()
}

func (d leavingAtReservation) Reserve(ctx context.Context, _ backend.Backend, _ int, _ time.Duration) (*gateway.Reservation, error) {
	d.leave()
	return nil, ctx.Err()
}

// TestCallerThatLeavesEndsItsRun has the caller leave at each step after an engine was
// assigned: the run must end, and nothing may be held against the engine.
func TestCallerThatLeavesEndsItsRun(t *testing.T) {
	for name, atReservation := range map[string]bool{"with the assignment": false, "at the reservation": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			giving := &givingCoordinator{assigned: func() {}}
			dialect := leavingAtReservation{leave: leave}
			if !atReservation {
				giving.assigned = leave
			}
			handler := newEngineHandler(dialect, giving)
			request := httptest.NewRequest(http.MethodPost, "http://h/x", nil).WithContext(ctx)
			handler.ServeHTTP(httptest.NewRecorder(), request)
			g.Expect(giving.given).NotTo(BeEmpty())
			g.Expect(giving.ended).To(HaveLen(1))
			g.Expect(giving.ended[0].ID).To(Equal(giving.given))
			g.Expect(giving.ended[0].Refusal).To(Equal(coordinator.RefusalNone))
		})
	}
}
