package rehearsal

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/reelrun/reelrun/sim/fault"
	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/memnet"
)

// singlePairOptions are those of a fleet with one prefill engine and one decode engine: nothing else can serve a request.
func singlePairOptions() Options {
	shape := Shape{Zones: []string{"zone-a"}, Models: 1, PoolsPerModel: 1, EnginesPerPool: 2, Tenants: 1, Services: 1}
	return Options{Zones: shape.Zones, NodesPerZone: 2, Configuration: Generate(shape), Engine: EngineOptions()}
}

// sendToSinglePair sends a request of 100 tokens to a fleet whose engines are silent for a time, and returns how it ended.
func sendToSinglePair(t *testing.T, silence func(fleet *Fleet)) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := startFleet(t, singlePairOptions())
		defer fleet.Close()
		done := make(chan load.Result, 1)
		go func() {
			done <- load.Send(context.Background(), load.Call{
				Client: fleet.Client("192.0.2.1"), Nodes: []string{fleet.Alive()[0].CallerAddress()}, Kind: longKind(0), Key: newKey(),
				Prompt: prompt(rand.New(rand.NewPCG(7, 7)), 300), Tokens: 100,
			})
		}()
		silence(fleet)
		result := <-done
		if result.Ending != load.EndingAnswered || result.Attempts != 1 || result.DuplicateTokens != 0 {
			t.Fatalf("%s after %d attempts, %d duplicate tokens: %s %v", result.Ending, result.Attempts, result.DuplicateTokens, result.Detail, result.Failure)
		}
	})
}

// TestSilentPrefillIsGivenUpWithoutAlternative has the only prefill engine respond after the time for which it is waited.
func TestSilentPrefillIsGivenUpWithoutAlternative(t *testing.T) {
	const silence = 8 * time.Second
	sendToSinglePair(t, func(fleet *Fleet) {
		for _, engine := range fleet.Engines {
			engine.Faults.Set(fault.Faults{Freeze: true, PathPrefix: "/v1/prefill"})
		}
		time.Sleep(silence)
		for _, engine := range fleet.Engines {
			engine.Faults.Set(fault.Faults{})
		}
	})
}

// TestSilentDecodeIsGivenUpWithoutAlternative has the only decode engine be out of reach for longer than its stream is resumed.
// It holds the stream, and goes on.
func TestSilentDecodeIsGivenUpWithoutAlternative(t *testing.T) {
	const silence = 12 * time.Second
	sendToSinglePair(t, func(fleet *Fleet) {
		waitUntil(t, 10*time.Second, "decoding", func() bool { return fleet.DecodingStreams() == 1 })
		for _, engine := range fleet.Engines {
			host := engine.Host
			fleet.Links.Block(func(link memnet.Link) bool { return link.From == host || link.To == host })
		}
		time.Sleep(silence)
		fleet.Links.Block(func(memnet.Link) bool { return false })
	})
}
