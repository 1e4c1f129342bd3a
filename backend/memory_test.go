package backend_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backend"
)

// bytesPerBackend returns the memory per backend of a registry of backends to which this node has sent nothing.
func bytesPerBackend(count int) float64 {
	before := heapInUse()
	registry := backend.NewRegistry(time.Now)
	for i := range count {
		name := fmt.Sprintf("%016x", i)
		registry.Update(backend.Backend{
			ID: name + "@1764753200000", RegisteredAs: name, StartedAt: 1764753200000, Service: "s", Zone: "a",
			Address: fmt.Sprintf("10.1.%d.%d:8144", i/250, i%250), State: backend.StateReady, Slots: 24,
		})
	}
	after := heapInUse()
	runtime.KeepAlive(registry)
	return float64(after-before) / float64(count)
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestMemoryPerBackend bounds what each node of a large fleet stores per backend, with 10,000 and 20,000
// backends, most of which it never sends anything to.
func TestMemoryPerBackend(t *testing.T) {
	for _, count := range []int{10_000, 20_000} {
		bytes := bytesPerBackend(count)
		t.Logf("%d backends: %.0f bytes each", count, bytes)
		NewWithT(t).Expect(bytes).To(BeNumerically("<", 400))
	}
}
