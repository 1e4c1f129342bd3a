package service

import (
	"slices"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
)

// ejection is how long a replica that failed is passed over.
const ejection = 2 * time.Second

// balancer spreads calls over replicas by the calls in flight. It is safe for
// concurrent use.
type balancer struct {
	leaving func(machine string) bool
	now     func() time.Time

	mu       sync.Mutex
	inFlight map[string]int
	failed   map[string]time.Time
	turn     int
}

func newBalancer(leaving func(string) bool, now func() time.Time) *balancer {
	return &balancer{leaving: leaving, now: now, inFlight: map[string]int{}, failed: map[string]time.Time{}}
}

// order returns the replicas that may be called, the best first. Leaving ones
// are left out; those that failed a moment ago come last.
func (b *balancer) order(backends []api.Backend) []api.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	usable := make([]api.Backend, 0, len(backends))
	for i := range backends {
		candidate := backends[(i+b.turn)%len(backends)]
		if !b.leaving(candidate.Name) {
			usable = append(usable, candidate)
		}
	}
	slices.SortStableFunc(usable, func(x, y api.Backend) int {
		if ejectedX, ejectedY := b.isEjected(x.Name), b.isEjected(y.Name); ejectedX != ejectedY {
			if ejectedX {
				return 1
			}
			return -1
		}
		return b.inFlight[x.Address] - b.inFlight[y.Address]
	})
	return usable
}

func (b *balancer) isEjected(name string) bool {
	at, ok := b.failed[name]
	return ok && b.now().Sub(at) < ejection
}

func (b *balancer) start(backend api.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[backend.Address]++
}

func (b *balancer) end(backend api.Backend, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[backend.Address]--
	if b.inFlight[backend.Address] == 0 {
		delete(b.inFlight, backend.Address)
	}
	if failed {
		b.failed[backend.Name] = b.now()
		return
	}
	delete(b.failed, backend.Name)
}
