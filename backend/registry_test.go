package backend_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backend"
)

// drawBackend draws one of a few backends, which change their service, role and state.
func drawBackend(t *rapid.T) backend.Backend {
	return backend.Backend{
		ID:      rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id"),
		Service: rapid.SampledFrom([]string{"first", "second"}).Draw(t, "service"),
		Role:    rapid.SampledFrom([]backend.Role{backend.RoleNone, backend.RoleDecode}).Draw(t, "role"),
		State:   rapid.SampledFrom([]backend.State{backend.StateReady, backend.StateDraining}).Draw(t, "state"),
	}
}

// readyOf returns the expected result of Ready, from all backends by their identifiers.
func readyOf(all map[string]backend.Backend, service string, role backend.Role) []string {
	var ids []string
	for id, current := range all {
		if current.Service == service && current.Role == role && current.State == backend.StateReady {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// TestReadyAfterAnyHistory compares the registry with a plain map after random updates and removals. A backend that drains
// stays so until it is removed.
func TestReadyAfterAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := backend.NewRegistry(time.Now)
		all := map[string]backend.Backend{}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			next := drawBackend(t)
			before, known := all[next.ID]
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				delete(all, next.ID)
				if registry.Remove(next.ID) != known {
					t.Fatalf("removal of %s reported wrongly", next.ID)
				}
			} else {
				want := next
				if known && before.State == backend.StateDraining {
					want.State = backend.StateDraining
				}
				all[next.ID] = want
				if registry.Update(next) != (!known || before != want) {
					t.Fatalf("update of %s reported wrongly", next.ID)
				}
			}
			for _, service := range []string{"first", "second"} {
				var ids []string
				for _, entry := range registry.Ready(service, backend.RoleDecode) {
					ids = append(ids, entry.Backend().ID)
				}
				if want := readyOf(all, service, backend.RoleDecode); fmt.Sprint(ids) != fmt.Sprint(want) {
					t.Fatalf("got %v, want %v", ids, want)
				}
			}
		}
	})
}

// TestUpdateCostIsIndependentOfRegistrySize bounds the allocations of an update of one of many backends: a
// starting node updates each of them.
func TestUpdateCostIsIndependentOfRegistrySize(t *testing.T) {
	const many = 3000
	g := NewWithT(t)
	registry := backend.NewRegistry(time.Now)
	for i := range many {
		registry.Update(backend.Backend{ID: fmt.Sprintf("server-%d", i), Service: "s", State: backend.StateReady})
	}
	turn := 0
	allocations := testing.AllocsPerRun(100, func() {
		registry.Update(backend.Backend{ID: "server-7", Service: "s", State: backend.StateReady, Slots: 1 + turn%2})
		turn++
	})
	g.Expect(allocations).To(BeNumerically("<", 5))
}

// TestNewIncarnationReplacesPrevious has a backend restart under its registered name: the observations of the
// previous incarnation end with it.
func TestNewIncarnationReplacesPrevious(t *testing.T) {
	g := NewWithT(t)
	registry := backend.NewRegistry(time.Now)
	incarnationAt := func(startedAt int64) backend.Backend {
		return backend.Backend{
			ID: fmt.Sprintf("a@%d", startedAt), RegisteredAs: "a", StartedAt: startedAt, Service: "first", State: backend.StateReady,
		}
	}
	registry.Update(incarnationAt(1))
	before := registry.Lookup("a@1")
	before.RecordFailure()
	before.MarkFull(time.Hour)
	g.Expect(registry.Update(incarnationAt(2))).To(BeTrue())
	g.Expect(registry.Lookup("a@1")).To(BeNil())
	g.Expect(before.LeavingFor()).To(BeNumerically(">", 0))
	current := registry.Lookup("a@2")
	g.Expect(current.Healthy()).To(BeTrue())
	g.Expect(current.IsFull()).To(BeFalse())
	g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1))
	g.Expect(registry.Remove("a@1")).To(BeFalse(), "the previous incarnation is removed already")
	g.Expect(registry.RemoveRegistered("a")).To(BeTrue())
	g.Expect(registry.Ready("first", backend.RoleNone)).To(BeEmpty())
}
