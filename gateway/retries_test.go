package gateway_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/routing"
)

// rejectingDialect has engines reject the first decode call of each request, and records when retries reach
// engines.
type rejectingDialect struct {
	parser
	mu       sync.Mutex
	prefills map[string]int
	decodes  map[string]int
	retried  []time.Time
	// delay is how long a second decode call that is sent earlier than the time in before is delayed on its
	// way.
	delay  time.Duration
	before time.Time
}

func (d *rejectingDialect) Reserve(context.Context, backend.Backend, int, time.Duration) (*gateway.Reservation, error) {
	return &gateway.Reservation{ID: "r"}, nil
}

func (*rejectingDialect) Release(context.Context, backend.Backend, gateway.Reservation) error {
	return nil
}

func (*rejectingDialect) Discard(context.Context, backend.Backend, gateway.PrefillResult) error {
	return nil
}

func (d *rejectingDialect) Prefill(_ context.Context, _ backend.Backend, request *gateway.Request, _ time.Duration) (*gateway.PrefillResult, *gateway.Response, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prefills[request.ID]++
	if d.prefills[request.ID] > 1 {
		d.retried = append(d.retried, time.Now())
	}
	return &gateway.PrefillResult{Handle: "h"}, nil, nil
}

func (d *rejectingDialect) Decode(_ context.Context, _ backend.Backend, request *gateway.Request, _ time.Duration, _ gateway.DecodeOptions) (*gateway.Response, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decodes[request.ID]++
	if d.decodes[request.ID] > 1 {
		if time.Now().Before(d.before) {
			time.Sleep(d.delay)
		}
		d.retried = append(d.retried, time.Now())
	}
	return &gateway.Response{
		Status: http.StatusOK, Header: http.Header{}, NotRun: d.decodes[request.ID] == 1,
		Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")),
	}, nil
}

// waitingCoordinator assigns engines. The second assignment of a request takes the time in wait, if it is
// requested earlier than the time in before.
type waitingCoordinator struct {
	fullCoordinator
	wait   time.Duration
	before time.Time
}

func (c *waitingCoordinator) Assign(_ context.Context, request coordinator.Request) (coordinator.Assignment, error) {
	c.mu.Lock()
	c.names = append(c.names, request.Run.ID)
	second := len(c.names)%2 == 0
	c.mu.Unlock()
	if second && time.Now().Before(c.before) {
		time.Sleep(c.wait)
	}
	return coordinator.Assignment{Decode: "decode", Prefill: "prefill"}, nil
}

// TestUpstreamRetriesCountFromSending guards against counting retries from when they were granted. A
// request whose run was rejected waited nine seconds for other engines and was then sent again. Its retries
// counted from before the wait and expired two seconds after they had arrived, so that two windows' worth
// arrived in one: four calls within 2.1 s where a window of ten allows two. A granted retry counts until it
// is sent, and from then on for a window.
func TestUpstreamRetriesCountFromSending(t *testing.T) {
	const burst, wait, window = 2, 9 * time.Second, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dialect := &rejectingDialect{prefills: map[string]int{}, decodes: map[string]int{}}
		assigned := &waitingCoordinator{wait: wait, before: time.Now().Add(window + time.Second)}
		handler := newRetryingHandler(dialect, assigned, burst, window)
		time.Sleep(window)
		sendRequest(handler, "waits")
		time.Sleep(window + window/5 - wait)
		sendRequest(handler, "follows")
		expectRetriesWithin(g, dialect.retried, burst, window)
	})
}

// expectRetriesWithin checks that no window holds more retries than the burst.
func expectRetriesWithin(g *WithT, retried []time.Time, burst int, window time.Duration) {
	g.Expect(retried).NotTo(BeEmpty())
	for _, last := range retried {
		inWindow := slices.DeleteFunc(slices.Clone(retried), func(at time.Time) bool {
			return at.After(last) || last.Sub(at) >= window
		})
		g.Expect(len(inWindow)).To(BeNumerically("<=", burst))
	}
}

// TestDelayedUpstreamRetriesCountUntilArrival guards against expiring retries that are still under way. A
// link delayed a retry by nine seconds. The retry expired a window after it was sent, but reached the
// engine up to nine seconds later: three retries in a window that allows two. A call may arrive at any
// moment until its response or its failure is known, so its retry counts in each window until then.
func TestDelayedUpstreamRetriesCountUntilArrival(t *testing.T) {
	const burst, delay, window = 2, 9 * time.Second, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		dialect := &rejectingDialect{
			prefills: map[string]int{}, decodes: map[string]int{}, delay: delay, before: time.Now().Add(window + time.Second),
		}
		handler := newRetryingHandler(dialect, &waitingCoordinator{}, burst, window)
		time.Sleep(window)
		sendRequest(handler, "held up")
		time.Sleep(window + window/5 - delay)
		sendRequest(handler, "follows")
		expectRetriesWithin(NewWithT(t), dialect.retried, burst, window)
	})
}

// sendRequest sends a request to a handler.
func sendRequest(handler http.Handler, id string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
	request.Header.Set("Id", id)
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

// newRetryingHandler returns a handler for one stream route with an engine of each role, and a retry budget
// of the given burst per window.
func newRetryingHandler(dialect gateway.Dialect, assigned gateway.Coordinator, burst float64, window time.Duration) *gateway.Handler {
	backends := backend.NewRegistry(time.Now)
	backends.Update(backend.Backend{ID: "decode", Service: "s", Role: backend.RoleDecode, State: backend.StateReady})
	backends.Update(backend.Backend{ID: "prefill", Service: "s", Role: backend.RolePrefill, State: backend.StateReady})
	backends.SetSynced()
	handler := gateway.New(gateway.Options{
		Dialect: dialect, Backends: backends, Coordinator: assigned,
		Budget:  retrybudget.New(retrybudget.Options{Window: window, Now: time.Now, Burst: func() float64 { return burst }}),
		Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
	})
	const timeout, objective = 14 * time.Second, 900 * time.Millisecond
	route := &routing.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routing.KindStream, Timeout: timeout, Objective: objective,
		Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1,
	}
	service := &routing.Service{Name: "s", Engine: &routing.EngineProfile{MemoryTokens: 1000}}
	handler.Configure(routing.New(1, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{MaxBodyBytes: 1000}))
	return handler
}
