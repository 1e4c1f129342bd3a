package rehearsal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/load"
)

// TestZonesWithoutSeedsDiscoverEachOther starts six zones with a single seed node.
// Every node must discover every other one, even if a zone starts later, and keep
// its view after the seed has been terminated.
func TestZonesWithoutSeedsDiscoverEachOther(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d nodes per zone", nodes), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				options := smallOptions()
				options.Zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}
				options.NodesPerZone, options.SeedZones = nodes, 1
				fleet := startFleet(t, options)
				defer fleet.Close()
				late := fleet.NodeNames()[len(fleet.NodeNames())-nodes:]
				for _, name := range late {
					fleet.Kill(name)
				}
				time.Sleep(20 * time.Second)
				for _, name := range late {
					fleet.Start(name)
				}
				waitUntil(t, time.Minute, "discovery of the late zone", fleet.allReady)
				fleet.Kill(fleet.NodeNames()[0])
				time.Sleep(20 * time.Second)
				waitUntil(t, time.Minute, "a complete view without the seed", fleet.allReady)
			})
		})
	}
}

// TestClientRetryWhileTheFleetStarts sends a request to the first node that is
// ready after a start of the whole fleet, and retries it at another one as soon as
// that one is ready. The request must be decoded once, although the nodes do not
// know all ready nodes yet.
func TestClientRetryWhileTheFleetStarts(t *testing.T) {
	for range 5 {
		inVirtualTime(t, func(t *testing.T) {
			fleet, err := NewFleet(context.Background(), smallOptions())
			if err != nil {
				t.Fatal(err)
			}
			defer fleet.Close()
			fleet.StartAll()
			ready := func() []*Node {
				return slices.DeleteFunc(fleet.Alive(), func(node *Node) bool { return !node.Core.IsReady() })
			}
			waitUntil(t, time.Minute, "a ready node", func() bool { return len(ready()) > 0 })
			call := load.Call{Kind: longKind(0), Key: newKey(), Prompt: prompt(rand.New(rand.NewPCG(9, 9)), 300), Tokens: 100}
			first, second := call, call
			first.Client, first.Nodes = fleet.Client("192.0.2.1"), []string{ready()[0].CallerAddress()}
			done := make(chan load.Result, 1)
			go func() { done <- load.Send(context.Background(), first) }()
			waitUntil(t, 10*time.Second, "decoding", func() bool { return fleet.DecodingStreams() == 1 })
			waitUntil(t, 10*time.Second, "another ready node", func() bool { return len(ready()) > 1 })
			nodes := ready()
			second.Client, second.Nodes = fleet.Client("192.0.2.2"), []string{nodes[len(nodes)-1].CallerAddress()}
			// Each caller retries when the other has taken the request over, until one has
			// the complete response.
			results := []load.Result{load.Send(context.Background(), second), <-done}
			answered := 0
			for _, result := range results {
				if result.Ending == load.EndingAnswered {
					answered++
				} else if !api.IsCode(result.Failure, api.CodeAlreadyClaimed) {
					t.Errorf("%s after %d attempts: %v", result.Ending, result.Attempts, result.Failure)
				}
			}
			if starts := countEntries(fleet, enginesim.EntryDecodeStart); answered != 1 || starts != 1 {
				t.Fatalf("%d complete responses, decoded %d times", answered, starts)
			}
		})
	}
}
