package rehearsal

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/load"
)

const (
	// crashPrompt crashes each engine that prefills it after crashAfter; the engine restarts restartAfter
	// later.
	crashPrompt  = "a prompt that ends its engine"
	crashAfter   = 50 * time.Millisecond
	restartAfter = 3 * time.Second
	// quarantineWithin is how long after the third crash all nodes must have a record of a request that
	// has crashed three engines; maxLateArrivals is how often it may reach engines after that.
	quarantineWithin = 3 * time.Second
	maxLateArrivals  = 3
)

// crashes records when crashPrompt arrived at engines, and when engines crashed.
type crashes struct {
	mu         sync.Mutex
	arrivals   []time.Time
	crashTimes []time.Time
}

func (c *crashes) arrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
}

func (c *crashes) crashed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashTimes = append(c.crashTimes, time.Now())
}

// lateArrivals counts the arrivals later than quarantineWithin after the third crash.
func (c *crashes) lateArrivals(t *testing.T) int {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashTimes) < 3 {
		t.Fatalf("%d engines crashed", len(c.crashTimes))
	}
	late := 0
	for _, at := range c.arrivals {
		if at.After(c.crashTimes[2].Add(quarantineWithin)) {
			late++
		}
	}
	return late
}

// crashEngines makes all engines of a fleet crash when they prefill crashPrompt.
func crashEngines(fleet *Fleet) *crashes {
	recorded := &crashes{}
	for _, pool := range fleet.Options.Configuration.Pools {
		for _, member := range pool.Engines {
			started, address := fleet.Engines[member.Name], member.Address
			healthy := started.Faults.Wrap(enginesim.Handler(started.Engine))
			var handler http.Handler
			handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body) // A body that cannot be read does not contain the prompt.
				if r.URL.Path != engine.PathPrefill || !strings.Contains(string(body), crashPrompt) {
					r.Body = io.NopCloser(bytes.NewReader(body))
					healthy.ServeHTTP(w, r)
					return
				}
				recorded.arrived()
				time.Sleep(crashAfter)
				recorded.crashed()
				time.AfterFunc(restartAfter, func() { fleet.HTTP.Handle(address, handler) })
				fleet.HTTP.Kill(started.Host)
			})
			fleet.HTTP.Handle(address, handler)
		}
	}
	return recorded
}

// TestCompletionThatCrashesItsEnginesIsQuarantined retries a completion that crashes its engines. Without
// quarantine, each client retry started it again: a request may have three attempts, and nodes did not
// recognize the client retry as the same request. From 3 s after the third crash every node must have a
// record of it, and other requests must be answered.
func TestCompletionThatCrashesItsEnginesIsQuarantined(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		recorded := crashEngines(fleet)
		client, nodes := fleet.Client("192.0.2.1"), fleet.Alive()
		send := func(number int, prompt string) load.Result {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return load.Send(ctx, load.Call{
				Client: client, Nodes: []string{nodes[number%len(nodes)].CallerAddress()},
				Kind: longKind(0), Key: fmt.Sprint(prompt, number), Prompt: prompt, Tokens: 20,
			})
		}
		for began, number := time.Now(), 0; time.Since(began) < 70*time.Second; number++ {
			send(number, crashPrompt)
			time.Sleep(300 * time.Millisecond)
		}
		if late := recorded.lateArrivals(t); late > maxLateArrivals {
			t.Errorf("%d engines crashed; the request reached engines %d more times", len(recorded.crashTimes), late)
		}
		time.Sleep(restartAfter + 10*time.Second)
		for number := range 8 {
			if result := send(number, "another prompt of some tokens"); result.Ending != load.EndingAnswered {
				t.Errorf("another request ended as %s: %s", result.Ending, result.Detail)
			}
		}
	})
}
