package rehearsal

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/sim/load"
)

// smallShape is the shape of the fleet in most tests: two zones, one model with a
// pool in each, and one service.
func smallShape() Shape {
	return Shape{Zones: []string{"zone-a", "zone-b"}, Models: 1, PoolsPerModel: 2, EnginesPerPool: 4, Tenants: 2, Services: 1}
}

func smallOptions() Options {
	shape := smallShape()
	return Options{Zones: shape.Zones, NodesPerZone: 2, Configuration: Generate(shape), Engine: EngineOptions()}
}

// inVirtualTime runs a test in a synctest bubble. yamux keeps timers in a global
// pool, and a timer of one bubble must not be used in another: two garbage
// collections empty the pool.
func inVirtualTime(t *testing.T, run func(*testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, run)
}

// startMonitor runs a monitor in the background. The returned function stops it.
func startMonitor(monitor *Monitor) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		monitor.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// startFleet starts a fleet and waits until it is ready.
func startFleet(t *testing.T, options Options) *Fleet {
	t.Helper()
	fleet, err := NewFleet(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	fleet.StartAll()
	if !fleet.WaitReady(time.Minute) {
		for _, running := range fleet.Alive() {
			t.Logf("%s: ready %t, live nodes %s", running.Name, running.Core.IsReady(), membership.Names(running.Core.Cluster.Live()))
		}
		fleet.Close()
		t.Fatal("fleet is not ready")
	}
	return fleet
}

func longKind(tenant int) *load.Kind {
	return &load.Kind{
		Name: "long", Token: Token(tenant), Class: "long-0", Model: "model-0", Stream: true,
		FirstToken: api.Duration(1500 * time.Millisecond), TokenInterval: api.Duration(50 * time.Millisecond),
	}
}

func TestFleetAnswersACompletion(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		result := load.Send(context.Background(), load.Call{
			Client: fleet.Client("192.0.2.1"), Nodes: []string{fleet.Alive()[0].CallerAddress()},
			Kind: longKind(0), Key: "first", Prompt: "a short prompt of some tokens", Tokens: 20,
		})
		if result.Ending != load.EndingAnswered || result.Attempts != 1 {
			t.Fatalf("ending %s after %d attempts: %s", result.Ending, result.Attempts, result.Detail)
		}
	})
}

// newKey returns a new Idempotency-Key, a UUIDv7 with the virtual time.
func newKey() string {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	return id.String()
}
