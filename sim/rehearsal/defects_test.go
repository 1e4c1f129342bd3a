package rehearsal

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/operator"
)

// The tests of this file inject defects, each of which violates one guarantee, and
// fail if the oracle does not detect the violation.

// roundTripper is a function that is an http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func jsonResponse(r *http.Request, body string) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"application/json"}, engine.HeaderCallID: {r.Header.Get(engine.HeaderCallID)}},
		Body:       io.NopCloser(strings.NewReader(body)),
		Request:    r,
	}
}

// requestSteps returns a schedule of requests of all kinds. Some of the callers
// disconnect.
func requestSteps() []step {
	random := rand.New(rand.NewPCG(11, 11))
	steps := make([]step, 60)
	for i := range steps {
		steps[i] = step{op: opRequest, a: random.IntN(64), b: random.IntN(64), pause: 100 * time.Millisecond}
	}
	return steps
}

// expectViolation runs a schedule on a defective fleet, and fails without a violation
// that contains the given text.
func expectViolation(t *testing.T, defects Defects, text string) {
	t.Helper()
	options := smallOptions()
	options.Defects = defects
	violations, _ := runSchedule(t, options, requestSteps())
	for _, violation := range violations {
		if strings.Contains(violation, text) {
			return
		}
	}
	t.Fatalf("the oracle did not detect the defect; it reported %q", violations)
}

func TestOracleReportsNothingWithoutDefects(t *testing.T) {
	violations, _ := runSchedule(t, smallOptions(), requestSteps())
	if len(violations) > 0 {
		t.Fatal(violations)
	}
}

func TestOracleDetectsHeldMemory(t *testing.T) {
	expectViolation(t, Defects{Transport: func(next http.RoundTripper) http.RoundTripper {
		return roundTripper(func(r *http.Request) (*http.Response, error) {
			switch {
			case strings.HasSuffix(r.URL.Path, "/cancel"):
				return jsonResponse(r, "{}"), nil
			case strings.HasSuffix(r.URL.Path, "/v1/streams"):
				return jsonResponse(r, "[]"), nil
			}
			return next.RoundTrip(r)
		})
	}}, "holds")
}

// duplicatingWriter writes each token of a stream twice.
type duplicatingWriter struct {
	http.ResponseWriter
	pending bytes.Buffer
}

func (w *duplicatingWriter) Write(data []byte) (int, error) { return w.pending.Write(data) }

func (w *duplicatingWriter) FlushError() error {
	event := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	if bytes.Contains(event, []byte("id: ")) {
		event = append(event, event...)
	}
	if _, err := w.ResponseWriter.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func TestOracleDetectsDuplicateTokens(t *testing.T) {
	expectViolation(t, Defects{Handler: func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			duplicating := &duplicatingWriter{ResponseWriter: w}
			next.ServeHTTP(duplicating, r)
			_ = duplicating.FlushError()
		})
	}}, "tokens twice")
}

// alteringWriter adds a letter to the text of every response.
type alteringWriter struct{ http.ResponseWriter }

func (w alteringWriter) Write(data []byte) (int, error) {
	altered := bytes.Replace(data, []byte(`"text":"`), []byte(`"text":"x`), 1)
	if _, err := w.ResponseWriter.Write(altered); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (w alteringWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func TestOracleDetectsAlteredResponse(t *testing.T) {
	expectViolation(t, Defects{Handler: func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(alteringWriter{w}, r) })
	}}, "altered")
}

func TestOracleDetectsFalseNotRun(t *testing.T) {
	expectViolation(t, Defects{Handler: func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/services/") {
				discarded := &discardingWriter{header: http.Header{}}
				next.ServeHTTP(discarded, r)
				api.NewError(http.StatusServiceUnavailable, api.CodeNoCapacity, api.OutcomeNotRun, "said falsely").WriteHTTP(w)
				return
			}
			next.ServeHTTP(w, r)
		})
	}}, "ran although rejected")
}

type discardingWriter struct{ header http.Header }

func (w *discardingWriter) Header() http.Header            { return w.header }
func (w *discardingWriter) Write(data []byte) (int, error) { return len(data), nil }
func (w *discardingWriter) WriteHeader(int)                {}
func (w *discardingWriter) FlushError() error              { return nil }

func TestOracleDetectsSecondRun(t *testing.T) {
	expectViolation(t, Defects{Transport: func(next http.RoundTripper) http.RoundTripper {
		return roundTripper(func(r *http.Request) (*http.Response, error) {
			if r.Method != http.MethodPost || !strings.HasPrefix(r.URL.Host, "10.200.") {
				return next.RoundTrip(r)
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return nil, err
			}
			duplicate := r.Clone(r.Context())
			duplicate.Body = io.NopCloser(bytes.NewReader(body))
			if response, err := next.RoundTrip(duplicate); err == nil {
				_ = response.Body.Close()
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			return next.RoundTrip(r)
		})
	}}, "ran 2 times")
}

// hidingStore fails to list one kind of object.
type hidingStore struct {
	objectapi.Store
	kind objectapi.Kind
}

func (s hidingStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, int64, error) {
	if kind == s.kind {
		return nil, 0, objectapi.ErrUnavailable
	}
	return s.Store.List(ctx, kind)
}

func TestOracleDetectsWorkForLeavingBackend(t *testing.T) {
	options := smallOptions()
	options.Defects.Store = func(next objectapi.Store) objectapi.Store { return hidingStore{next, objectapi.KindMachine} }
	if len(leaveUnderLoad(t, options)) == 0 {
		t.Fatal("the oracle did not detect that leaving backends got new work")
	}
}

func TestOracleDetectsStopThatCutsOff(t *testing.T) {
	if plannedStop(t, (*Fleet).Kill) == 0 {
		t.Fatal("the oracle did not detect that requests were cut off")
	}
}

// staleStore hides all changes of the configuration from a node once stale is set.
type staleStore struct {
	objectapi.Store
	stale *atomic.Bool
}

func (s staleStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, int64, error) {
	if kind == objectapi.KindConfiguration && s.stale.Load() {
		return nil, 1, nil
	}
	return s.Store.List(ctx, kind)
}

func (s staleStore) Watch(ctx context.Context, kind objectapi.Kind, after int64, handle func(objectapi.Event)) error {
	if kind == objectapi.KindConfiguration && s.stale.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.Store.Watch(ctx, kind, after, handle)
}

func TestOracleDetectsStaleConfiguration(t *testing.T) {
	var stale atomic.Bool
	options := smallOptions()
	options.Defects.Store = func(next objectapi.Store) objectapi.Store { return staleStore{next, &stale} }
	if violations := changeConfiguration(t, options, &stale); len(violations) == 0 {
		t.Fatal("the oracle did not detect that nodes kept the old configuration")
	}
}

// changeConfiguration publishes a version directly in the store and returns what the
// monitor reports after twice the time in which the version must be active.
func changeConfiguration(t *testing.T, options Options, stale *atomic.Bool) (violations []string) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, options)
		defer fleet.Close()
		stale.Store(true)
		// The outage ends the open watches, so that the defect takes effect.
		fleet.Platform.SetOutage(true)
		time.Sleep(time.Second)
		fleet.Platform.SetOutage(false)
		monitor := NewMonitor(fleet)
		stopMonitor := startMonitor(monitor)
		publishWeight(t, fleet, 7)
		time.Sleep(2 * ActiveWithin)
		stopMonitor()
		violations = monitor.Violations()
	})
	return violations
}

func TestMonitorReportsNothingWhenConfigurationPropagates(t *testing.T) {
	var unused atomic.Bool
	options := smallOptions()
	options.Defects.Store = func(next objectapi.Store) objectapi.Store { return staleStore{next, new(atomic.Bool)} }
	if violations := changeConfiguration(t, options, &unused); len(violations) > 0 {
		t.Fatal(violations)
	}
}

func TestOracleDetectsVersionThatReverts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		publishWeight(t, fleet, 7)
		waitUntil(t, ActiveWithin, "version 2", func() bool { return fleet.Alive()[0].Core.Configuration.Current().Version() == 2 })
		monitor := NewMonitor(fleet)
		monitor.check()
		reverted := fleet.Alive()[0]
		reverted.Core.Configuration = newFirstVersionHolder(t, fleet)
		monitor.check()
		if len(monitor.Violations()) == 0 {
			t.Fatal("the oracle did not detect that a version went back")
		}
	})
}

// newFirstVersionHolder returns a holder of the first version.
func newFirstVersionHolder(t *testing.T, fleet *Fleet) *configuration.Holder {
	t.Helper()
	holder := configuration.NewHolder()
	store := fleet.Platform.Store
	initial := fleet.Options.Configuration
	initial.SetDefaults()
	configuration.Sort(&initial)
	parts, err := configuration.Split(initial)
	if err != nil {
		t.Fatal(err)
	}
	head := configuration.Head{Version: 1}
	for _, part := range parts {
		head.Parts = append(head.Parts, part.Digest)
	}
	if err := holder.Advance(context.Background(), head, configuration.FromStore(store)); err != nil {
		t.Fatal(err)
	}
	return holder
}

// publishWeight publishes a change of a tenant's weight as an operator would.
func publishWeight(t *testing.T, fleet *Fleet, weight float64) {
	t.Helper()
	through := fleet.Alive()[0]
	current := through.Core.Configuration.Current()
	plan, next, err := operator.MakePlan(current, operator.Intent{Action: operator.ActionApply, Objects: api.Configuration{
		Tenants: []api.Tenant{{Name: "tenant-0", Weight: weight}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := configuration.Publish(context.Background(), fleet.Platform.Store, current.Version(), plan.Digest, plan.ChangedReferences(), *next); err != nil {
		t.Fatal(err)
	}
}
