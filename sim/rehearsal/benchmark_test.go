package rehearsal

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/owner"
	"github.com/reelrun/reelrun/sim/load"
)

// benchmarkFleet starts a fleet of three nodes in one zone with engines that take
// almost no time, so that the router dominates the measured cost.
func benchmarkFleet(b *testing.B) *Fleet {
	b.Helper()
	shape := Shape{Zones: []string{"zone-a"}, Models: 1, PoolsPerModel: 1, EnginesPerPool: 2, Tenants: 1, Services: 1}
	engineOptions := EngineOptions()
	engineOptions.Slots, engineOptions.KVTokens, engineOptions.PrefillTokensPerSecond = 2000, 100_000_000, 1e12
	configured := Generate(shape)
	configured.Tenants[0].MaxConcurrent = 5000
	configured.Pools[0].PrefillTokensPerSecond = 1e12
	for i := range configured.Pools[0].Engines {
		configured.Pools[0].Engines[i].Slots, configured.Pools[0].Engines[i].KVTokens = engineOptions.Slots, engineOptions.KVTokens
	}
	fleet, err := NewFleet(context.Background(), Options{Zones: shape.Zones, NodesPerZone: 3, Configuration: configured, Engine: engineOptions})
	if err != nil {
		b.Fatal(err)
	}
	fleet.StartAll()
	if !fleet.WaitReady(time.Minute) {
		b.Fatal("fleet is not ready")
	}
	return fleet
}

// nodeOwning returns a node that owns the first pool, or one that does not if owns is
// false.
func nodeOwning(fleet *Fleet, owns bool) *Node {
	pool := fleet.Options.Configuration.Pools[0]
	for _, running := range fleet.Alive() {
		if running.Core.Cluster.Owns(pool.Zone, owner.Key(pool.Name)) == owns {
			return running
		}
	}
	return nil
}

// BenchmarkRequest measures a request that ends with its prefill: sent directly to
// the engine, through the node that owns the pool, and through another node.
func BenchmarkRequest(b *testing.B) {
	fleet := benchmarkFleet(b)
	defer fleet.Close()
	prompt := strings.Repeat("some words ", 100)
	b.Run("direct", func(b *testing.B) {
		client := engine.NewClient(fleet.HTTP.Transport("192.0.2.1"))
		b.ReportAllocs()
		for number := 0; b.Loop(); number++ {
			request := engine.PrefillRequest{Attempt: engine.Attempt{RequestID: fmt.Sprintf("direct-%d", number), Number: 1}, Model: "model-0", Prompt: prompt, MaxTokens: 1}
			if _, err := client.Prefill(context.Background(), fleet.Options.Configuration.Pools[0].Engines[0].Address, request); err != nil {
				b.Fatal(err)
			}
		}
	})
	for name, owns := range map[string]bool{"through the owner": true, "through another node": false} {
		b.Run(name, func(b *testing.B) { benchmarkRouted(b, fleet, nodeOwning(fleet, owns), prompt) })
	}
}

func benchmarkRouted(b *testing.B, fleet *Fleet, through *Node, prompt string) {
	client := fleet.Client("192.0.2.1")
	body := `{"model":"model-0","max_tokens":1,"prompt":"` + prompt + `"}`
	sent := func() (bytes, frames int64) {
		for _, running := range fleet.Alive() {
			counted := fleet.Network.Sent(running.Host)
			bytes += counted.Bytes
			frames += counted.Frames
		}
		return bytes, frames
	}
	bytesBefore, framesBefore := sent()
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+through.CallerAddress()+"/v1/completions", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+Token(0))
		request.Header.Set("Reelrun-Class", "short-0")
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("status %d: %s %v", response.StatusCode, content, err)
		}
	}
	bytesAfter, framesAfter := sent()
	b.ReportMetric(float64(bytesAfter-bytesBefore)/float64(b.N), "peer-B/op")
	b.ReportMetric(float64(framesAfter-framesBefore)/float64(b.N), "peer-frames/op")
}

// BenchmarkHeldStream measures the memory of a relayed stream, including that of its
// caller and of the stand-in engine.
func BenchmarkHeldStream(b *testing.B) {
	const streams = 500
	for b.Loop() {
		b.StopTimer()
		fleet := benchmarkFleet(b)
		before := heap()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan load.Result, streams)
		kind := longKind(0)
		kind.FirstToken = api.Duration(time.Minute)
		for number := range streams {
			call := load.Call{
				Client: fleet.Client("192.0.2.1"), Nodes: []string{fleet.Alive()[0].CallerAddress()}, Kind: kind, Key: newKey(),
				Prompt: fmt.Sprintf("%0400d", number), Tokens: longOutput,
			}
			go func() { done <- load.Send(ctx, call) }()
		}
		for start := time.Now(); heldDecodes(fleet) < streams; time.Sleep(10 * time.Millisecond) {
			if time.Since(start) > time.Minute {
				b.Fatalf("%d of %d streams are running", heldDecodes(fleet), streams)
			}
		}
		b.ReportMetric(float64(heap()-before)/streams, "B/stream")
		cancel()
		for range streams {
			<-done
		}
		fleet.Close()
		b.StartTimer()
	}
}

func heldDecodes(fleet *Fleet) int {
	held := 0
	for _, started := range fleet.Engines {
		for _, status := range started.Streams() {
			if status.Phase == api.RoleDecode {
				held++
			}
		}
	}
	return held
}

func heap() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}
