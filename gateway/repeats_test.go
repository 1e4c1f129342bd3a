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

// rejectingDialect has engines reject the first answer of each request, and records when calls of each
// request reach engines.
type rejectingDialect struct {
	parser
	mu       sync.Mutex
	prompts  map[string]int
	answers  map[string]int
	repeated []time.Time
	// heldUp is how long the second answers of requests that come before a moment are held up on their way.
	heldUp time.Duration
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

func (d *rejectingDialect) Prefill(_ context.Context, _ backend.Backend, request *gateway.Request, _ time.Duration) (*gateway.PrefillResult, *gateway.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prompts[request.ID]++
	if d.prompts[request.ID] > 1 {
		d.repeated = append(d.repeated, time.Now())
	}
	return &gateway.PrefillResult{Handle: "h"}, nil, nil
}

func (d *rejectingDialect) Decode(_ context.Context, _ backend.Backend, request *gateway.Request, _ time.Duration, _ gateway.DecodeOptions) (*gateway.Answer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers[request.ID]++
	if d.answers[request.ID] > 1 {
		if time.Now().Before(d.before) {
			time.Sleep(d.heldUp)
		}
		d.repeated = append(d.repeated, time.Now())
	}
	return &gateway.Answer{
		Status: http.StatusOK, Header: http.Header{}, NotRun: d.answers[request.ID] == 1,
		Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")),
	}, nil
}

// waitingCoordinator assigns engines, the second time after a wait for those requests that come before a
// moment.
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

// A request whose answer was rejected waited nine seconds for other engines, and was then sent again. Its
// repeats counted from before the wait, and were forgotten two seconds after they had arrived, so that two
// windows' worth arrived in one: four calls within 2.1 s where a window of ten allows two. A repeat that was
// granted counts until it is sent, and from then on for a window.
func TestRepeatsCountFromWhenTheyAreSent(t *testing.T) {
	const burst, wait, window = 2, 9 * time.Second, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dialect := &rejectingDialect{prompts: map[string]int{}, answers: map[string]int{}}
		assigned := &waitingCoordinator{wait: wait, before: time.Now().Add(window + time.Second)}
		handler := newRepeatingHandler(dialect, assigned, burst, window)
		time.Sleep(window)
		ask(handler, "waits")
		time.Sleep(window + window/5 - wait)
		ask(handler, "follows")
		expectRepeatsWithin(g, dialect.repeated, burst, window)
	})
}

// expectRepeatsWithin wants no window to hold more repeats than the burst.
func expectRepeatsWithin(g *WithT, repeated []time.Time, burst int, window time.Duration) {
	g.Expect(repeated).NotTo(BeEmpty())
	for _, last := range repeated {
		within := slices.DeleteFunc(slices.Clone(repeated), func(at time.Time) bool {
			return at.After(last) || last.Sub(at) >= window
		})
		g.Expect(len(within)).To(BeNumerically("<=", burst))
	}
}

// A link held a repeat up for nine seconds. It was forgotten a window after it was sent, and counted at the
// engine until nine seconds later: three repeats in a window that allows two. A call may arrive at any moment
// until its answer or its failure is known, so that its repeat counts in each window until then.
func TestRepeatsThatAreHeldUpCountUntilTheyArrive(t *testing.T) {
	const burst, heldUp, window = 2, 9 * time.Second, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		dialect := &rejectingDialect{
			prompts: map[string]int{}, answers: map[string]int{}, heldUp: heldUp, before: time.Now().Add(window + time.Second),
		}
		handler := newRepeatingHandler(dialect, &waitingCoordinator{}, burst, window)
		time.Sleep(window)
		ask(handler, "held up")
		time.Sleep(window + window/5 - heldUp)
		ask(handler, "follows")
		expectRepeatsWithin(NewWithT(t), dialect.repeated, burst, window)
	})
}

// ask sends a request to a handler.
func ask(handler http.Handler, id string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
	request.Header.Set("Id", id)
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, request)
	return answer
}

// newRepeatingHandler returns a handler of one route of streams with an engine of each role, and so many
// repeats a window.
func newRepeatingHandler(dialect gateway.Dialect, assigned gateway.Coordinator, burst float64, window time.Duration) *gateway.Handler {
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
