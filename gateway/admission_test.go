package gateway_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/routing"
)

// countingDialect answers every request with success and counts requests by backend.
type countingDialect struct {
	parser
	sent map[string]int
}

func (d countingDialect) Send(_ context.Context, target backend.Backend, _ *gateway.Request, _ time.Duration) (*gateway.Response, error) {
	d.sent[target.ID]++
	return &gateway.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// retryBurst is how many retries a service may have beyond the ratio once its budget has grown.
const retryBurst = 100

// grownBudgetClock returns a clock by which a window has passed since its first reading, so that a budget
// has reached its full size.
func grownBudgetClock() func() time.Time {
	read := false
	return func() time.Time {
		if read {
			return time.Unix(1, 0)
		}
		read = true
		return time.Unix(0, 0)
	}
}

// twoBackends returns a registry with the backends a and b of one plain service.
func twoBackends() *backend.Registry {
	backends := backend.NewRegistry(time.Now)
	for _, id := range []string{"a", "b"} {
		backends.Update(backend.Backend{ID: id, Service: "s", State: backend.StateReady, Slots: 6})
	}
	backends.SetSynced()
	return backends
}

// newPlainHandler returns a handler for one plain service with two backends.
func newPlainHandler(dialect gateway.Dialect, decisions *admission.Node) *gateway.Handler {
	return newPlainHandlerOf(twoBackends(), dialect, decisions)
}

// newPlainHandlerOf returns a handler for the plain service of a registry.
func newPlainHandlerOf(backends *backend.Registry, dialect gateway.Dialect, decisions *admission.Node) *gateway.Handler {
	handler := gateway.New(gateway.Options{
		Dialect: dialect, Backends: backends, Admission: decisions,
		Budget: retrybudget.New(retrybudget.Options{
			Window: time.Second, Now: grownBudgetClock(), Burst: func() float64 { return retryBurst },
		}),
		Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
	})
	route := &routing.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routing.KindIdempotent, Timeout: time.Second, Objective: 300 * time.Millisecond,
		Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2,
	}
	handler.Configure(routing.New(1, []*routing.Route{route}, []*routing.Service{{Name: "s"}}, routing.Limits{MaxBodyBytes: 1000}))
	return handler
}

// TestOverloadIsRejectedBeforeSending checks that a request beyond the plan is rejected with a Retry-After,
// and that nothing is sent.
func TestOverloadIsRejectedBeforeSending(t *testing.T) {
	g := NewWithT(t)
	dialect := countingDialect{sent: map[string]int{}}
	decisions := admission.NewNode("n", func() time.Duration { return 0 })
	handler := newPlainHandler(dialect, decisions)
	sendRequest := func() *httptest.ResponseRecorder {
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "http://h/x", nil))
		return response
	}
	g.Expect(sendRequest().Code).To(Equal(http.StatusOK))
	decisions.Put("s", admission.Plan{RetryAfter: 2 * time.Second, Interval: time.Second})
	rejected := sendRequest()
	g.Expect(rejected.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(rejected.Header().Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(rejected.Body.String()).To(HavePrefix(string(gateway.ReasonOverloaded)))
	g.Expect(dialect.sent["a"] + dialect.sent["b"]).To(Equal(1))
}

// TestPlanWeightsBackends checks that almost nothing is sent to a backend that the plan of all nodes
// avoids, although no request of this node has failed there.
func TestPlanWeightsBackends(t *testing.T) {
	g := NewWithT(t)
	dialect := countingDialect{sent: map[string]int{}}
	decisions := admission.NewNode("n", func() time.Duration { return 0 })
	decisions.Put("s", admission.Plan{FirstAttempts: 1, Retries: 1, Interval: time.Second, Backends: []admission.BackendPlan{{ID: "a", Weight: 0.02}}})
	handler := newPlainHandler(dialect, decisions)
	for range 400 {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/x", nil))
	}
	g.Expect(dialect.sent["a"]).To(BeNumerically("<", 40))
}
