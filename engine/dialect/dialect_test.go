package dialect_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/engine/dialect"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/routing"
	"github.com/reelrun/reelrun/sim/answer"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/servicesim"
)

const (
	model  = "plan-llm"
	prompt = "a history of some length, read before the answer begins"
	// memory is the memory of one engine, in tokens.
	memory            = 1000
	eventuallyTimeout = 5 * time.Second
)

// fixture is a gateway with simulated engines that use this project's own protocol.
type fixture struct {
	caller   *httptest.Server
	backends *backend.Registry
	engines  map[string]*enginesim.Engine
	servers  map[string]*httptest.Server
}

func newFixture(t *testing.T, step time.Duration) *fixture {
	t.Helper()
	f := &fixture{
		backends: backend.NewRegistry(time.Now), engines: map[string]*enginesim.Engine{}, servers: map[string]*httptest.Server{},
	}
	f.addEngine(t, "reader", backend.RolePrefill, step)
	f.addEngine(t, "writer", backend.RoleDecode, step)
	plain := httptest.NewServer(servicesim.New("plan-app", 0))
	t.Cleanup(plain.Close)
	f.backends.Update(backend.Backend{ID: "app", Service: "plain", Address: plain.Listener.Addr().String(), State: backend.StateReady})
	f.backends.SetSynced()
	services := backendhttp.NewTransport(new(net.Dialer).DialContext, clock.Runtime())
	calls := &http.Transport{}
	t.Cleanup(func() { services.CloseIdle(); calls.CloseIdleConnections() })
	handler := gateway.New(gateway.Options{
		Dialect: dialect.New(dialect.Options{
			Node: "node", Engines: engine.NewClient(calls), Services: services,
			Observe: func(target backend.Backend, notice backend.Notice) { f.backends.RecordNotice(target, notice) },
		}),
		Backends: f.backends,
		Budget: retrybudget.New(retrybudget.Options{
			Ratio: 10, Burst: func() float64 { return 0 }, Window: time.Minute, Now: time.Now,
		}),
		Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
	})
	handler.Configure(newConfiguration())
	f.caller = httptest.NewServer(handler)
	t.Cleanup(f.caller.Close)
	return f
}

func newConfiguration() *routing.Configuration {
	route := func(path, service string, kind routing.Kind) *routing.Route {
		return &routing.Route{
			Name: service, Host: "h", PathPrefix: path, Kind: kind, Timeout: time.Minute, Objective: time.Second,
			MaxAttempts: 3, Resumable: true, Targets: []routing.Target{{Service: service, Weight: 1}},
		}
	}
	return routing.New(1, []*routing.Route{
		route("/plan/", "engines", routing.KindStream), route("/app/", "plain", routing.KindIdempotent),
	}, []*routing.Service{
		{Name: "engines", Engine: &routing.EngineProfile{Slots: 4, MemoryTokens: memory, MaxReservationTime: time.Minute, EventTokens: 1}}, {Name: "plain"},
	}, routing.Limits{MaxBodyBytes: 1 << 20})
}

func (f *fixture) addEngine(t *testing.T, name string, role backend.Role, step time.Duration) {
	t.Helper()
	fetch := &http.Transport{}
	t.Cleanup(fetch.CloseIdleConnections)
	f.engines[name] = enginesim.New(enginesim.Options{
		Name: name, Model: model, Role: api.Role(role), Slots: 4, KVTokens: memory,
		PrefillTokensPerSecond: 1e6, LinkTokensPerSecond: 1e6, StepTime: step, Hold: time.Minute, StreamRetention: time.Second,
		HTTP: &http.Client{Transport: fetch},
	})
	server := httptest.NewServer(enginesim.Handler(f.engines[name]))
	t.Cleanup(func() { f.engines[name].Close(); server.Close() })
	f.servers[name] = server
	f.backends.Update(backend.Backend{
		ID: name, Service: "engines", Address: server.Listener.Addr().String(), Role: role, State: backend.StateReady, Slots: 4,
	})
}

// send sends a request on a path and returns the response with its body unread.
func (f *fixture) send(ctx context.Context, t *testing.T, path, body, lastEvent string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.caller.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set(dialect.HeaderRequestID, "same")
	if lastEvent != "" {
		request.Header.Set(dialect.HeaderLastEvent, lastEvent)
	}
	response, err := f.caller.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func generation(tokens int) string {
	return `{"model":"` + model + `","prompt":"` + prompt + `","max_tokens":` + strconv.Itoa(tokens) + `}`
}

// text returns the event ids of a stream and its events' text, joined.
func text(body io.Reader) ([]string, string, error) {
	var ids []string
	var joined strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			ids = append(ids, id)
		}
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			joined.WriteString(data)
		}
	}
	return ids, joined.String(), lines.Err()
}

// expectNothingHeld waits until no engine holds memory.
func (f *fixture) expectNothingHeld(g *WithT) {
	for name, simulated := range f.engines {
		g.Eventually(func() int { return simulated.Report().HeldKVTokens }, eventuallyTimeout).Should(BeZero(), name)
	}
}

func TestCompleteOutput(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, time.Millisecond)
	response := f.send(t.Context(), t, "/plan/draft", generation(20), "")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	ids, joined, err := text(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(joined).To(Equal(answer.Text(model, prompt, 20)))
	g.Expect(ids).To(HaveLen(20))
	g.Expect(ids[19]).To(Equal("19"))
}

func TestOutputResumesAfterLastEvent(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, time.Millisecond)
	response := f.send(t.Context(), t, "/plan/draft", generation(20), "11")
	ids, joined, err := text(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	complete := answer.Text(model, prompt, 20)
	g.Expect(joined).To(Equal(strings.TrimPrefix(complete, answer.Text(model, prompt, 12))))
	g.Expect(ids[0]).To(Equal("12"))
}

// TestEngineFailsMidStream breaks the connections of the decode engine in the middle of a
// stream. The stream must continue at another engine, with each token once.
func TestEngineFailsMidStream(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 2*time.Millisecond)
	response := f.send(t.Context(), t, "/plan/draft", generation(300), "")
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	f.addEngine(t, "other", backend.RoleDecode, time.Microsecond)
	f.servers["writer"].CloseClientConnections()
	ids, joined, err := text(io.MultiReader(strings.NewReader(first), reader))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(joined).To(Equal(answer.Text(model, prompt, 300)))
	g.Expect(ids).To(HaveLen(300))
	f.expectNothingHeld(g)
}

func TestCallerDisconnectFreesEngines(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, 20*time.Millisecond)
	ctx, disconnect := context.WithCancel(t.Context())
	response := f.send(ctx, t, "/plan/draft", generation(500), "")
	_, err := bufio.NewReader(response.Body).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	disconnect()
	f.expectNothingHeld(g)
}

// TestFullEngineRejects requests more tokens than an engine's memory holds. Nothing has run,
// so the caller must get status 503 with a Retry-After header, and no prefill result may be
// kept.
func TestFullEngineRejects(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, time.Millisecond)
	response := f.send(t.Context(), t, "/plan/draft", generation(memory+1), "")
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	f.expectNothingHeld(g)
}

func TestMalformedRequests(t *testing.T) {
	for name, test := range map[string]struct{ body, lastEvent string }{
		"malformed JSON":          {"{", ""},
		"no prompt":               {`{"max_tokens":3}`, ""},
		"no max_tokens":           {`{"prompt":"x"}`, ""},
		"malformed last event ID": {generation(3), "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t, time.Millisecond)
			g.Expect(f.send(t.Context(), t, "/plan/draft", test.body, test.lastEvent).StatusCode).To(Equal(http.StatusBadRequest))
		})
	}
}

func TestPlainService(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, time.Millisecond)
	response := f.send(t.Context(), t, "/app/log?x=1", "body", "")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Contains(body, []byte(`"/app/log"`))).To(BeTrue(), string(body))
}

// TestPlainServiceBackoffIsHonored has the only backend of a plain service respond with a
// Retry-After header. Until that time is over, it must receive no further request.
func TestPlainServiceBackoffIsHonored(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, time.Millisecond)
	var received atomic.Int32
	overloaded := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(overloaded.Close)
	f.backends.Update(backend.Backend{ID: "app", Service: "plain", Address: overloaded.Listener.Addr().String(), State: backend.StateReady})
	for range 5 {
		f.send(t.Context(), t, "/app/x", "b", "")
	}
	g.Expect(received.Load()).To(BeEquivalentTo(1))
}
