package gateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/routing"
)

// fullCoordinator has no capacity and records the names of the runs requested from it.
type fullCoordinator struct {
	mu    sync.Mutex
	names []string
}

func (c *fullCoordinator) Assign(_ context.Context, request coordinator.Request) (coordinator.Assignment, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = append(c.names, request.Run.ID)
	return coordinator.Assignment{RetryAfter: time.Second}, nil
}

func (c *fullCoordinator) PrefillDone(string, string, string) {}

func (c *fullCoordinator) EngineFailed(coordinator.EngineFailure) {}

func (c *fullCoordinator) End(coordinator.RunResult) {}

// parser reads only the id of a request.
type parser struct{ gateway.Dialect }

func (parser) Parse(r *http.Request) (*gateway.Request, error) {
	return &gateway.Request{ID: r.Header.Get("Id"), Host: r.Host, URI: r.URL.Path}, nil
}

func (parser) Measure(*gateway.Request) error { return nil }

// newEngineHandler returns a handler for one stream route, with one decode engine.
func newEngineHandler(dialect gateway.Dialect, assigned gateway.Coordinator) *gateway.Handler {
	return newLoggingHandler(dialect, assigned, slog.New(slog.DiscardHandler))
}

// newLoggingHandler is newEngineHandler with a logger.
func newLoggingHandler(dialect gateway.Dialect, assigned gateway.Coordinator, logger *slog.Logger) *gateway.Handler {
	backends := backend.NewRegistry(time.Now)
	backends.Update(backend.Backend{ID: "engine", Service: "s", Role: backend.RoleDecode, State: backend.StateReady})
	backends.SetSynced()
	handler := gateway.New(gateway.Options{
		Dialect: dialect, Backends: backends, Coordinator: assigned,
		Budget:  retrybudget.New(retrybudget.Options{Window: time.Second, Now: time.Now}),
		Metrics: metrics.NewSet(), Logger: logger,
	})
	route := &routing.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routing.KindStream, Timeout: time.Second, Objective: time.Second,
		Targets: []routing.Target{{Service: "s", Weight: 1}},
	}
	service := &routing.Service{Name: "s", Engine: &routing.EngineProfile{MemoryTokens: 1000}}
	handler.Configure(routing.New(1, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{MaxBodyBytes: 1000}))
	return handler
}

// TestRunsWithSameRequestIDAreDistinct checks that the request id chosen by one tenant cannot end or hide a
// run of another tenant.
func TestRunsWithSameRequestIDAreDistinct(t *testing.T) {
	g := NewWithT(t)
	full := &fullCoordinator{}
	for _, handler := range []*gateway.Handler{newEngineHandler(parser{}, full), newEngineHandler(parser{}, full)} {
		for _, id := range []string{"same", "same", "", ""} {
			request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
			request.Header.Set("Id", id)
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		}
	}
	distinct := map[string]bool{}
	for _, name := range full.names {
		distinct[name] = true
	}
	g.Expect(full.names).To(HaveLen(8))
	g.Expect(distinct).To(HaveLen(8))
}
