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

// manyBackends returns a registry of so many back ends of one service in five zones.
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

// TestASampleIsOfThoseThatTakeWork draws samples of services of all sizes, some of whose back ends leave,
// change their role or their zone.
func TestASampleIsOfThoseThatTakeWork(t *testing.T) {
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
		wanted := backend.SampleOptions{
			Service: "first", Role: backend.RoleDecode, Count: rapid.IntRange(1, 20).Draw(t, "count"),
			Zone: rapid.SampledFrom([]string{"", "a"}).Draw(t, "wanted zone"),
		}
		all := slices.DeleteFunc(registry.Ready(wanted.Service, wanted.Role), func(entry *backend.Entry) bool {
			return wanted.Zone != "" && entry.Backend().Zone != wanted.Zone
		})
		drawn, isAll := registry.Sample(wanted, random.IntN)
		if isAll && !slices.Equal(drawn, all) {
			t.Fatalf("%d are said to be all %d", len(drawn), len(all))
		}
		if len(drawn) > wanted.Count {
			t.Fatalf("%d drawn, %d wanted", len(drawn), wanted.Count)
		}
		for i, entry := range drawn {
			if !slices.Contains(all, entry) || i > 0 && drawn[i-1].ID() >= entry.ID() {
				t.Fatalf("%s drawn out of order, twice, or without taking work", entry.ID())
			}
		}
	})
}

// TestFewBackEndsAreLookedAtWhole draws from as many as are to be looked at whole, and from one more.
func TestFewBackEndsAreLookedAtWhole(t *testing.T) {
	const whole = 60
	g := NewWithT(t)
	wanted := backend.SampleOptions{Service: "s", Role: backend.RoleDecode, Count: 32, AllUpTo: whole}
	drawn, isAll := manyBackends(whole).Sample(wanted, rand.IntN)
	g.Expect(isAll).To(BeTrue())
	g.Expect(drawn).To(HaveLen(whole))
	drawn, isAll = manyBackends(whole+1).Sample(wanted, rand.IntN)
	g.Expect(isAll).To(BeFalse())
	g.Expect(len(drawn)).To(BeNumerically("<=", wanted.Count))
}

// TestASampleCostsTheSameAmongMany counts what a sample of 10,000 and of 20,000 back ends allocates.
func TestASampleCostsTheSameAmongMany(t *testing.T) {
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

// TestSamplesSpreadOverAll draws as often as a large service has requests in a minute.
func TestSamplesSpreadOverAll(t *testing.T) {
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
