package backend_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backend"
)

// manyBackends returns a registry of count backends of one service in five zones.
func manyBackends(count int) *backend.Registry {
	registry := backend.NewRegistry(time.Now)
	for i := range count {
		registry.Update(backend.Backend{
			ID: fmt.Sprintf("server-%05d", i), Service: "s", Role: backend.RoleDecode, State: backend.StateReady,
			Zone: string(rune('a' + i%5)),
		})
	}
	return registry
}

// TestSampleIsOfReadyBackends checks that samples contain only matching backends that take work, for services of
// all sizes, some of whose backends leave, or change their role or zone.
func TestSampleIsOfReadyBackends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := backend.NewRegistry(time.Now)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			next := drawBackend(t)
			next.ID += strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "number"))
			next.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				registry.Remove(next.ID)
			} else {
				registry.Update(next)
			}
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		options := backend.SampleOptions{
			Service: "first", Role: backend.RoleDecode, Count: rapid.IntRange(1, 20).Draw(t, "count"),
			Zone: rapid.SampledFrom([]string{"", "a"}).Draw(t, "wanted zone"),
		}
		all := slices.DeleteFunc(registry.Ready(options.Service, options.Role), func(entry *backend.Entry) bool {
			return options.Zone != "" && entry.Backend().Zone != options.Zone
		})
		drawn, isAll := registry.Sample(options, random.IntN)
		if isAll && !slices.Equal(drawn, all) {
			t.Fatalf("got %d as all %d", len(drawn), len(all))
		}
		if len(drawn) > options.Count {
			t.Fatalf("%d drawn, at most %d expected", len(drawn), options.Count)
		}
		for i, entry := range drawn {
			if !slices.Contains(all, entry) || i > 0 && drawn[i-1].ID() >= entry.ID() {
				t.Fatalf("%s drawn out of order, twice, or without taking work", entry.ID())
			}
		}
	})
}

// TestSampleReturnsAllOfFew draws from the largest number of backends of which all are returned, and from one
// more.
func TestSampleReturnsAllOfFew(t *testing.T) {
	const allUpTo = 60
	g := NewWithT(t)
	options := backend.SampleOptions{Service: "s", Role: backend.RoleDecode, Count: 32, AllUpTo: allUpTo}
	drawn, isAll := manyBackends(allUpTo).Sample(options, rand.IntN)
	g.Expect(isAll).To(BeTrue())
	g.Expect(drawn).To(HaveLen(allUpTo))
	drawn, isAll = manyBackends(allUpTo+1).Sample(options, rand.IntN)
	g.Expect(isAll).To(BeFalse())
	g.Expect(len(drawn)).To(BeNumerically("<=", options.Count))
}

// TestSampleCostIsConstant compares the allocations of a sample of 100, 10,000 and 20,000 backends.
func TestSampleCostIsConstant(t *testing.T) {
	g := NewWithT(t)
	allocations := func(count int) float64 {
		registry := manyBackends(count)
		return testing.AllocsPerRun(200, func() {
			registry.Sample(backend.SampleOptions{Service: "s", Role: backend.RoleDecode, Count: 32}, rand.IntN)
		})
	}
	g.Expect(allocations(10_000)).To(BeNumerically("<=", allocations(100)))
	g.Expect(allocations(20_000)).To(BeNumerically("<=", allocations(100)))
}

// TestSampleIsUniform draws as many samples as a large service has requests in a minute.
func TestSampleIsUniform(t *testing.T) {
	const (
		backends = 1350
		draws    = 20_000
		drawn    = 32
	)
	registry := manyBackends(backends)
	random := rand.New(rand.NewPCG(7, 8))
	counts := map[string]int{}
	for range draws {
		entries, _ := registry.Sample(backend.SampleOptions{Service: "s", Role: backend.RoleDecode, Count: drawn}, random.IntN)
		for _, entry := range entries {
			counts[entry.ID()]++
		}
	}
	const mean = draws * drawn / backends
	for id, count := range counts {
		if count < mean*7/10 || count > mean*13/10 {
			t.Errorf("%s was drawn %d times, %d in the mean", id, count, mean)
		}
	}
	NewWithT(t).Expect(counts).To(HaveLen(backends))
}
