package engineorder

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/controller"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/sim/platformsim"
	"github.com/reelrun/reelrun/timeline"
)

// fakeEngines simulates a single engine that executes every order.
type fakeEngines struct {
	load     engine.Load
	streams  []engine.StreamStatus
	received []engine.Order
	// beforeOrder runs after the holder has acquired its lease, before the guard checks it.
	beforeOrder func()
}

func (e *fakeEngines) Load(context.Context, string) (engine.Load, error) { return e.load, nil }
func (e *fakeEngines) Streams(context.Context, string) ([]engine.StreamStatus, error) {
	return e.streams, nil
}

func (e *fakeEngines) Order(_ context.Context, _ string, order engine.Order, guard func() error) error {
	if e.beforeOrder != nil {
		e.beforeOrder()
	}
	if err := guard(); err != nil {
		return err
	}
	e.received = append(e.received, order)
	if order.Kind == engine.OrderRole {
		e.load.Role = order.Role
	}
	return nil
}

// ownsAll is an Owner that owns every key.
type ownsAll struct{}

func (ownsAll) Owns(string, string) bool { return true }

// fixture holds two reconcilers that compete for the lease of one pool in the same store.
type fixture struct {
	now     time.Time
	engines *fakeEngines
	first   *Reconciler
	second  *Reconciler
}

func newFixture(t *testing.T, checksFencingToken bool) *fixture {
	t.Helper()
	f := &fixture{now: time.Unix(1000, 0), engines: &fakeEngines{load: engine.Load{Role: api.RoleDecode}}}
	holder := configuration.NewHolder()
	parts, err := configuration.Split(api.Configuration{Pools: []api.Pool{{
		Name: "pool", Model: "m", Zone: "z", ChecksFencingToken: checksFencingToken, Engines: []api.Engine{{Name: "e", Address: "127.0.0.1:1", Role: api.RolePrefill}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	head := configuration.Head{Version: 1}
	stored := map[string][]byte{}
	for _, part := range parts {
		head.Parts = append(head.Parts, part.Digest)
		stored[part.Digest] = part.Data
	}
	fetch := func(_ context.Context, digest string) ([]byte, error) { return stored[digest], nil }
	if err := holder.Advance(context.Background(), head, fetch); err != nil {
		t.Fatal(err)
	}
	store := platformsim.NewStore(platformsim.Options{})
	candidate := func(name string) *Reconciler {
		return New(Options{
			Configuration: holder, Store: store, Engines: f.engines, Owner: ownsAll{}, Metrics: metrics.NewSet(),
			Events: timeline.NewRing(name, timeline.NewClock(time.Now), 16), Holder: name, Now: func() time.Time { return f.now },
		})
	}
	f.first, f.second = candidate("first"), candidate("second")
	return f
}

func reconcile(t *testing.T, r *Reconciler) controller.Result {
	t.Helper()
	result, err := r.Reconcile(context.Background(), controller.Request{Name: "pool"})
	if err != nil {
		t.Logf("reconcile: %v", err)
	}
	return result
}

func TestOrderIsSentOnceAndLeaseIsReleased(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, true)
	reconcile(t, f.first)
	reconcile(t, f.first)
	g.Expect(f.engines.received).To(HaveLen(1))
	f.engines.load.Role = api.RoleDecode
	reconcile(t, f.second)
	g.Expect(f.engines.received).To(HaveLen(2), "a released lease is acquired without waiting")
	g.Expect(f.engines.received[1].FencingToken).To(BeNumerically(">", f.engines.received[0].FencingToken))
}

func TestOrderWaitsUntilEngineIsDrained(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, true)
	f.engines.streams = []engine.StreamStatus{{}}
	g.Expect(reconcile(t, f.first).RequeueAfter).To(Equal(busyRetryInterval))
	g.Expect(f.engines.received).To(BeEmpty())
	f.engines.streams = nil
	reconcile(t, f.first)
	g.Expect(f.engines.received).To(HaveLen(1))
}

// TestSuspendedHolderSendsNothing suspends the first holder after it has acquired its lease and
// before it sends the order, until the second holder has taken over.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	for _, checksFencingToken := range []bool{true, false} {
		g := NewWithT(t)
		f := newFixture(t, checksFencingToken)
		f.engines.beforeOrder = func() {
			f.engines.beforeOrder = nil
			reconcile(t, f.second) // The first holder still has the lease.
			f.now = f.now.Add(defaultLeaseDuration + time.Second)
			reconcile(t, f.second) // Takes over.
			f.now = f.now.Add(defaultOrderTimeout)
			reconcile(t, f.second) // The first holder's order must have ended by now.
			g.Expect(f.engines.received).To(HaveLen(1))
		}
		reconcile(t, f.first)
		g.Expect(f.engines.received).To(HaveLen(1), "only the second holder's order was sent")
	}
}

// TestTakeoverWaitsForOrdersInFlight takes over a lease while no order is in flight. For an
// engine that does not check fencing tokens, the new holder must still wait for the longest
// time that an order can be in flight.
func TestTakeoverWaitsForOrdersInFlight(t *testing.T) {
	for _, checksFencingToken := range []bool{true, false} {
		g := NewWithT(t)
		f := newFixture(t, checksFencingToken)
		f.engines.streams = []engine.StreamStatus{{}}
		reconcile(t, f.first) // Holds the lease while the engine drains.
		reconcile(t, f.second)
		f.engines.streams = nil
		f.now = f.now.Add(defaultLeaseDuration + time.Second)
		reconcile(t, f.second)
		if checksFencingToken {
			g.Expect(f.engines.received).To(HaveLen(1))
			continue
		}
		g.Expect(f.engines.received).To(BeEmpty())
		f.now = f.now.Add(defaultOrderTimeout)
		reconcile(t, f.second)
		g.Expect(f.engines.received).To(HaveLen(1))
	}
}
