package gateway_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/gateway"
)

// unavailableCoordinator never answers.
type unavailableCoordinator struct{ fullCoordinator }

func (*unavailableCoordinator) Assign(context.Context, coordinator.Request) (coordinator.Assignment, error) {
	return coordinator.Assignment{}, errors.Wrap(coordinator.ErrNoCoordinator, "10.0.0.9:1: timeout")
}

// fullEngine rejects all reservations.
type fullEngine struct{ parser }

func (fullEngine) Reserve(context.Context, backend.Backend, int, time.Duration) (*gateway.Reservation, error) {
	return nil, nil
}

// assigningOnce assigns an engine once, and then has no capacity.
type assigningOnce struct {
	fullCoordinator
	assigned bool
}

func (c *assigningOnce) Assign(context.Context, coordinator.Request) (coordinator.Assignment, error) {
	if c.assigned {
		return coordinator.Assignment{RetryAfter: time.Second}, nil
	}
	c.assigned = true
	return coordinator.Assignment{Decode: "engine"}, nil
}

// TestEngineDecisionsAreLogged checks that a line with the request's id is logged if a node chooses engines
// without a coordinator, with the cause, and if an assigned engine had no capacity, with the engine.
func TestEngineDecisionsAreLogged(t *testing.T) {
	for name, test := range map[string]struct {
		assigned gateway.Coordinator
		detail   string
	}{
		"coordinator missed":   {&unavailableCoordinator{}, "10.0.0.9:1"},
		"assigned engine full": {&assigningOnce{}, `"engine":"engine"`},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var log bytes.Buffer
			handler := newLoggingHandler(fullEngine{}, test.assigned, slog.New(slog.NewJSONHandler(&log, nil)))
			request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
			request.Header.Set("Id", "asked")
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
			g.Expect(log.String()).To(ContainSubstring(`"msg":"` + name + `"`))
			g.Expect(log.String()).To(And(ContainSubstring(test.detail), ContainSubstring(`"request":"asked"`)))
		})
	}
}
