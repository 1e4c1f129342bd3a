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
	// crashPrompt ends each engine that reads it, after crashAfter; the engine is back restartAfter later.
	crashPrompt  = "a prompt that ends its engine"
	crashAfter   = 50 * time.Millisecond
	restartAfter = 3 * time.Second
	// crashKnown is when all nodes must know of a request that has ended three engines, and
	// crashReturns how often it may reach engines from then on.
	crashKnown   = 3 * time.Second
	crashReturns = 3
)

// crashes records when the prompt that ends engines arrived at any, and when engines ended.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
	ends     []time.Time
}

func (c *crashes) arrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
}

func (c *crashes) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, time.Now())
}

// arrivedLate counts the arrivals from some time after the third end on.
func (c *crashes) arrivedLate(t *testing.T) int {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ends) < 3 {
		t.Fatalf("%d engines ended", len(c.ends))
	}
	late := 0
	for _, at := range c.arrivals {
		if at.After(c.ends[2].Add(crashKnown)) {
			late++
		}
	}
	return late
}

// crashEngines has all engines of a fleet end when they have begun to read crashPrompt.
func crashEngines(fleet *Fleet) *crashes {
	seen := &crashes{}
	for _, pool := range fleet.Options.Configuration.Pools {
		for _, member := range pool.Engines {
			started, address := fleet.Engines[member.Name], member.Address
			sound := started.Faults.Wrap(enginesim.Handler(started.Engine))
			var handler http.Handler
			handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body) // What cannot be read is no such prompt.
				if r.URL.Path != engine.PathPrefill || !strings.Contains(string(body), crashPrompt) {
					r.Body = io.NopCloser(bytes.NewReader(body))
					sound.ServeHTTP(w, r)
					return
				}
				seen.arrived()
				time.Sleep(crashAfter)
				seen.ended()
				time.AfterFunc(restartAfter, func() { fleet.HTTP.Handle(address, handler) })
				fleet.HTTP.Kill(started.Host)
			})
			fleet.HTTP.Handle(address, handler)
		}
	}
	return seen
}

// A completion that crashed its engines was started anew at each of its returns: a request may have
// three attempts, and nothing said that the next request was the same. From 3 s after the third engine
// on it must be known at every node, and others must be answered.
func TestACompletionThatCrashesItsEnginesIsKeptAway(t *testing.T) {
	bubble(t, func(t *testing.T) {
		fleet := startFleet(t, smallOptions())
		defer fleet.Close()
		seen := crashEngines(fleet)
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
		if late := seen.arrivedLate(t); late > crashReturns {
			t.Errorf("%d engines ended; the request came to engines %d times more", len(seen.ends), late)
		}
		time.Sleep(restartAfter + 10*time.Second)
		for number := range 8 {
			if result := send(number, "another prompt of some tokens"); result.Ending != load.EndingAnswered {
				t.Errorf("another request ended as %s: %s", result.Ending, result.Detail)
			}
		}
	})
}
