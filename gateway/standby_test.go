package gateway_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/routing"
)

// Engines of the handlers of these tests. Each decode engine has a prefill engine of its own.
const (
	silentEngine, standbyEngine     = "silent", "standby"
	silentPrefill, standbyPrefill   = "silent-prefill", "standby-prefill"
	silentVersion                   = "v1"
	standbyTimeout, standbyWindow   = 14 * time.Second, 10 * time.Second
	standbyAttempts, standbyBurst   = 3, 100
	firstEventText, secondEventText = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
)

// orderedCoordinator assigns the silent engine to the first run of a request, and the standby to others.
type orderedCoordinator struct {
	fullCoordinator
	// first is the assignment of the first run.
	first coordinator.Assignment
	// assignStandby replaces the assignment of the standby; nil for none.
	assignStandby func() coordinator.Assignment
}

func (c *orderedCoordinator) Assign(_ context.Context, request coordinator.Request) (coordinator.Assignment, error) {
	switch {
	case !slices.Contains(request.Avoid, silentEngine):
		return c.first, nil
	case c.assignStandby != nil:
		return c.assignStandby(), nil
	default:
		return coordinator.Assignment{Decode: standbyEngine, Prefill: standbyPrefill}, nil
	}
}

// standbyDialect has the silent engine send the body that a test wants, and the standby the second event.
type standbyDialect struct {
	parser
	silentBody func(call context.Context) io.ReadCloser
	// silentStatus is the status of its response; zero for 200.
	silentStatus int
	// standbyRejects is set if the standby rejects its runs.
	standbyRejects bool
	prefill        func(ctx context.Context, engine string) error

	mu sync.Mutex
	// decodes are the decode calls in their order.
	decodes []decodeCall
}

type decodeCall struct{ engine, lastEventID string }

func (d *standbyDialect) Reserve(context.Context, backend.Backend, int, time.Duration) (*gateway.Reservation, error) {
	return &gateway.Reservation{ID: "r"}, nil
}

func (*standbyDialect) Release(context.Context, backend.Backend, gateway.Reservation) error {
	return nil
}

func (*standbyDialect) Discard(context.Context, backend.Backend, gateway.PrefillResult) error {
	return nil
}

func (*standbyDialect) Ended(context.Context, backend.Backend) bool { return false }

func (d *standbyDialect) Prefill(ctx context.Context, target backend.Backend, _ *gateway.Request, _ time.Duration) (*gateway.PrefillResult, *gateway.Response, error) {
	if d.prefill != nil {
		if err := d.prefill(ctx, target.ID); err != nil {
			return nil, nil, err
		}
	}
	return &gateway.PrefillResult{Handle: "h"}, nil, nil
}

func (d *standbyDialect) Decode(ctx context.Context, target backend.Backend, _ *gateway.Request, _ time.Duration, options gateway.DecodeOptions) (*gateway.Response, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decodes = append(d.decodes, decodeCall{target.ID, options.LastEventID})
	if target.ID != silentEngine && d.standbyRejects {
		return &gateway.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
	}
	if target.ID != silentEngine {
		return &gateway.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(secondEventText))}, nil
	}
	return &gateway.Response{Status: cmp.Or(d.silentStatus, http.StatusOK), Header: http.Header{}, Body: d.silentBody(ctx)}, nil
}

// readerFunc is a body that a function reads.
type readerFunc func(data []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(data []byte) (int, error) { return f(data) }

// standbyOptions configure the handler of a test.
type standbyOptions struct {
	coordinator *orderedCoordinator
	// burst is the retry budget of a window.
	burst  func() float64
	logger *slog.Logger
	// standbyVersion is the version of the standby and its prefill engine.
	standbyVersion string
}

// newStandbyHandler returns a handler for one resumable route.
func newStandbyHandler(dialect gateway.Dialect, options standbyOptions) *gateway.Handler {
	backends := backend.NewRegistry(time.Now)
	for id, version := range map[string]string{silentEngine: silentVersion, standbyEngine: options.standbyVersion} {
		backends.Update(backend.Backend{ID: id, Service: "s", Role: backend.RoleDecode, State: backend.StateReady, SoftwareVersion: version})
	}
	for id, version := range map[string]string{silentPrefill: silentVersion, standbyPrefill: options.standbyVersion} {
		backends.Update(backend.Backend{ID: id, Service: "s", Role: backend.RolePrefill, State: backend.StateReady, SoftwareVersion: version})
	}
	backends.SetSynced()
	handler := gateway.New(gateway.Options{
		Dialect: dialect, Backends: backends, Coordinator: options.coordinator, Metrics: metrics.NewSet(), Logger: options.logger,
		Budget: retrybudget.New(retrybudget.Options{Window: standbyWindow, Now: time.Now, Burst: options.burst}),
	})
	route := &routing.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routing.KindStream, Resumable: true, Timeout: standbyTimeout, Objective: time.Second,
		Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: standbyAttempts,
	}
	service := &routing.Service{Name: "s", Engine: &routing.EngineProfile{MemoryTokens: 1000}}
	handler.Configure(routing.New(1, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{MaxBodyBytes: 1000}))
	return handler
}

// usualStandbyOptions returns options with one software version and upstream retries to spare.
func usualStandbyOptions() standbyOptions {
	return standbyOptions{
		coordinator: &orderedCoordinator{first: coordinator.Assignment{Decode: silentEngine, Prefill: silentPrefill}}, burst: func() float64 { return standbyBurst },
		logger: slog.New(slog.DiscardHandler), standbyVersion: silentVersion,
	}
}

// sendAbortable is sendRequest for a response that the handler may abort.
func sendAbortable(handler http.Handler, id string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
	request.Header.Set("Id", id)
	response := httptest.NewRecorder()
	defer func() {
		cause := recover()
		if err, isError := cause.(error); isError && errors.Is(err, http.ErrAbortHandler) {
			return
		}
		if cause != nil {
			panic(cause)
		}
	}()
	handler.ServeHTTP(response, request)
	return response
}

// slowBody is a body that sends its events after a time, and ends early if its call does.
func slowBody(after time.Duration, events string) func(context.Context) io.ReadCloser {
	return func(call context.Context) io.ReadCloser {
		rest := strings.NewReader(events)
		return io.NopCloser(readerFunc(func(data []byte) (int, error) {
			select {
			case <-call.Done():
				return 0, context.Cause(call)
			case <-time.After(after):
				return rest.Read(data)
			}
		}))
	}
}

// TestStandbyOfAnotherVersionDoesNotContinueStream has the first event arrive at the moment at which a standby is ready. The
// standby was prepared while the stream might still begin anywhere: it has another version than the engine of the event.
func TestStandbyOfAnotherVersionDoesNotContinueStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialect := &standbyDialect{silentBody: func(call context.Context) io.ReadCloser {
			sent := false
			return io.NopCloser(readerFunc(func(data []byte) (int, error) {
				<-call.Done()
				if sent {
					return 0, context.Cause(call)
				}
				sent = true
				return copy(data, firstEventText), nil
			}))
		}}
		options := usualStandbyOptions()
		options.standbyVersion = "v2"
		handler := newStandbyHandler(dialect, options)
		time.Sleep(standbyWindow)
		sendAbortable(handler, "stream")
		NewWithT(t).Expect(dialect.decodes).NotTo(ContainElement(decodeCall{standbyEngine, "1"}))
	})
}

// TestInterruptedStandbyIsNotNamed has an engine go on while a standby is being prepared. The lines of the request name the
// engine that answered it.
func TestInterruptedStandbyIsNotNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		dialect := &standbyDialect{
			silentBody: func(call context.Context) io.ReadCloser { return slowStream(call, 2*time.Second, 1) },
			prefill: func(ctx context.Context, engine string) error {
				if engine == silentPrefill {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			},
		}
		options := usualStandbyOptions()
		options.logger = slog.New(slog.NewTextHandler(&lines, nil))
		handler := newStandbyHandler(dialect, options)
		time.Sleep(standbyWindow)
		response := sendAbortable(handler, "stream")
		g := NewWithT(t)
		g.Expect(response.Body.String()).To(Equal(firstEventText))
		g.Expect(lines.String()).To(ContainSubstring("backend=" + silentEngine + " "))
		g.Expect(lines.String()).NotTo(ContainSubstring("backend=" + standbyPrefill))
	})
}

// TestRunIsNotEndedForStandbyBeyondBudget has the retry budget fall while a standby is awaited, as it does when requests become
// fewer. The run must not end for a standby that may not start.
func TestRunIsNotEndedForStandbyBeyondBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		burst, assignments := float64(standbyBurst), 0
		options := usualStandbyOptions()
		options.burst = func() float64 { return burst }
		options.coordinator.assignStandby = func() coordinator.Assignment {
			assignments++
			if assignments == 1 {
				burst = 0
				return coordinator.Assignment{RetryAfter: time.Second}
			}
			return coordinator.Assignment{Decode: standbyEngine, LocalPrefill: true}
		}
		dialect := &standbyDialect{silentBody: slowBody(4*time.Second, firstEventText)}
		handler := newStandbyHandler(dialect, options)
		time.Sleep(standbyWindow)
		response := sendAbortable(handler, "stream")
		g := NewWithT(t)
		g.Expect(response.Code).To(Equal(http.StatusOK), response.Body.String())
		g.Expect(response.Body.String()).To(Equal(firstEventText))
	})
}

// TestUnusedStandbyLeavesRetryBudget has a silent engine go on after a standby was sought in vain. The retries that were reserved
// for the standby are free for other requests then, though the stream lasts for longer.
func TestUnusedStandbyLeavesRetryBudget(t *testing.T) {
	const burst = 2
	synctest.Test(t, func(t *testing.T) {
		options := usualStandbyOptions()
		options.burst = func() float64 { return burst }
		var isFree, isPaused atomic.Bool
		options.coordinator.assignStandby = func() coordinator.Assignment {
			if !isFree.Load() {
				return coordinator.Assignment{RetryAfter: time.Second}
			}
			return coordinator.Assignment{Decode: standbyEngine, Prefill: standbyPrefill}
		}
		dialect := &standbyDialect{silentBody: func(call context.Context) io.ReadCloser {
			if isPaused.Swap(true) {
				return io.NopCloser(readerFunc(func([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }))
			}
			return slowStream(call, 2*time.Second, 12)
		}}
		handler := newStandbyHandler(dialect, options)
		time.Sleep(standbyWindow)
		go sendAbortable(handler, "pauses once")
		time.Sleep(5 * time.Second)
		isFree.Store(true)
		response := sendAbortable(handler, "breaks")
		time.Sleep(standbyTimeout)
		NewWithT(t).Expect(response.Code).To(Equal(http.StatusOK), response.Body.String())
	})
}

// slowStream is a body with an event after a pause, and one each half second after that.
func slowStream(call context.Context, pause time.Duration, events int) io.ReadCloser {
	sent := 0
	return io.NopCloser(readerFunc(func(data []byte) (int, error) {
		wait := pause
		if sent > 0 {
			wait = time.Second / 2
		}
		select {
		case <-call.Done():
			return 0, context.Cause(call)
		case <-time.After(wait):
		}
		if sent == events {
			return 0, io.EOF
		}
		sent++
		return copy(data, fmt.Sprintf("id: %d\ndata: x\n\n", sent)), nil
	}))
}

// TestLongFailureOfEngineIsNotCut has an engine answer with a failure whose body is longer than what a node buffers, and pause
// before its end. Its head has been passed on: nothing may end the response.
func TestLongFailureOfEngineIsNotCut(t *testing.T) {
	const bufferedBytes = 256 << 10
	const rest = "the end"
	synctest.Test(t, func(t *testing.T) {
		dialect := &standbyDialect{silentStatus: http.StatusBadRequest, silentBody: func(call context.Context) io.ReadCloser {
			return io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("f", bufferedBytes)), slowBody(2*time.Second, rest)(call)))
		}}
		handler := newStandbyHandler(dialect, usualStandbyOptions())
		time.Sleep(standbyWindow)
		response := sendAbortable(handler, "failure")
		g := NewWithT(t)
		g.Expect(response.Code).To(Equal(http.StatusBadRequest))
		g.Expect(response.Body.Len()).To(Equal(bufferedBytes + len(rest)))
	})
}

// TestLocalPrefillIsWaitedFor has a decode engine that prefills the prompt itself send the head of its response at once, and its
// first event when the prompt is expected to be prefilled. No standby is sought before that.
func TestLocalPrefillIsWaitedFor(t *testing.T) {
	const expected = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		options := usualStandbyOptions()
		options.coordinator.first = coordinator.Assignment{Decode: silentEngine, LocalPrefill: true, PromptReady: expected}
		sought := 0
		options.coordinator.assignStandby = func() coordinator.Assignment {
			sought++
			return coordinator.Assignment{RetryAfter: time.Second}
		}
		dialect := &standbyDialect{silentBody: func(call context.Context) io.ReadCloser { return slowStream(call, expected, 1) }}
		handler := newStandbyHandler(dialect, options)
		time.Sleep(standbyWindow)
		response := sendAbortable(handler, "local")
		g := NewWithT(t)
		g.Expect(response.Body.String()).To(Equal(firstEventText))
		g.Expect(sought).To(BeZero())
	})
}

// TestPanicEndsFailover has the handling of a stream panic while its failover is active. Nothing is prepared for the stream after
// that, and it holds no upstream retries.
func TestPanicEndsFailover(t *testing.T) {
	const burst = 2
	synctest.Test(t, func(t *testing.T) {
		options := usualStandbyOptions()
		options.burst = func() float64 { return burst }
		var panicked bool
		dialect := &standbyDialect{silentBody: func(context.Context) io.ReadCloser {
			return io.NopCloser(readerFunc(func([]byte) (int, error) {
				if !panicked {
					panicked = true
					panic("fault in the handling")
				}
				return 0, io.ErrUnexpectedEOF
			}))
		}}
		handler := newStandbyHandler(dialect, options)
		time.Sleep(standbyWindow)
		g := NewWithT(t)
		g.Expect(sendAbortable(handler, "panics").Code).To(Equal(http.StatusBadGateway))
		time.Sleep(5 * time.Second)
		response := sendAbortable(handler, "breaks")
		g.Expect(response.Code).To(Equal(http.StatusOK), response.Body.String())
	})
}

// TestPausingEngineHasPromptsPrefilledWithoutBound has an engine pause before each event, for longer than it may be silent. The
// prompt is prefilled as often as the route allows attempts, and the stream stays with its engine.
func TestPausingEngineHasPromptsPrefilledWithoutBound(t *testing.T) {
	const events = 10
	synctest.Test(t, func(t *testing.T) {
		var prefills atomic.Int32
		dialect := &standbyDialect{
			silentBody: func(call context.Context) io.ReadCloser { return pausingStream(call, 1300*time.Millisecond, events) },
			prefill: func(ctx context.Context, engine string) error {
				prefills.Add(1)
				if engine == silentPrefill {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			},
		}
		handler := newStandbyHandler(dialect, usualStandbyOptions())
		time.Sleep(standbyWindow)
		response := sendAbortable(handler, "stream")
		g := NewWithT(t)
		g.Expect(strings.Count(response.Body.String(), "id: ")).To(Equal(events))
		g.Expect(prefills.Load()).To(BeNumerically("<=", standbyAttempts))
	})
}

// pausingStream is a body with an event after each pause.
func pausingStream(call context.Context, pause time.Duration, events int) io.ReadCloser {
	sent := 0
	return io.NopCloser(readerFunc(func(data []byte) (int, error) {
		if sent == events {
			return 0, io.EOF
		}
		select {
		case <-call.Done():
			return 0, context.Cause(call)
		case <-time.After(pause):
		}
		sent++
		return copy(data, fmt.Sprintf("id: %d\ndata: x\n\n", sent)), nil
	}))
}

// TestRejectedStandbyCutsStream has a standby accept the reservation and reject the run, with retries for one more run only. The
// stream stays with its engine.
func TestRejectedStandbyCutsStream(t *testing.T) {
	const burst = 2
	synctest.Test(t, func(t *testing.T) {
		options := usualStandbyOptions()
		options.burst = func() float64 { return burst }
		dialect := &standbyDialect{
			silentBody:     func(call context.Context) io.ReadCloser { return pausingStream(call, 2*time.Second, 3) },
			standbyRejects: true,
		}
		handler := newStandbyHandler(dialect, options)
		time.Sleep(standbyWindow)
		response := sendAbortable(handler, "stream")
		g := NewWithT(t)
		g.Expect(response.Code).To(Equal(http.StatusOK))
		g.Expect(strings.Count(response.Body.String(), "id: ")).To(Equal(3))
	})
}
