package service

import (
	"slices"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
)

// ejectionTime is how long a replica that failed is avoided.
const ejectionTime = 2 * time.Second

// balancer distributes calls over replicas by the calls in flight. It is safe for concurrent use.
type balancer struct {
	leaving func(machine string) bool
	now     func() time.Time

	mu sync.Mutex
	// inFlight counts the calls in flight at each replica, by address.
	inFlight map[string]int
	// failed holds when a replica last failed, if it has not succeeded since, by name.
	failed map[string]time.Time
	// backoffs holds the ends of the backoffs that replicas requested, by name.
	backoffs map[string]time.Time
	rotation int
}

func newBalancer(leaving func(string) bool, now func() time.Time) *balancer {
	return &balancer{leaving: leaving, now: now, inFlight: map[string]int{}, failed: map[string]time.Time{}, backoffs: map[string]time.Time{}}
}

// order returns the replicas that may be called, the one with the fewest calls in flight first. Those that leave
// or are in backoff are omitted; those that failed recently come last.
func (b *balancer) order(backends []api.Backend) []api.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rotation++
	usable := make([]api.Backend, 0, len(backends))
	for i := range backends {
		candidate := backends[(i+b.rotation)%len(backends)]
		if !b.leaving(candidate.Name) && b.backoffRemaining(candidate.Name) == 0 {
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

// backOff excludes a replica from calls for the time that it has requested.
func (b *balancer) backOff(name string, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffs[name] = b.now().Add(duration)
}

// backoffRemaining returns for how much longer a replica is in backoff; the caller holds the lock.
func (b *balancer) backoffRemaining(name string) time.Duration {
	until, inBackoff := b.backoffs[name]
	if !inBackoff {
		return 0
	}
	remaining := until.Sub(b.now())
	if remaining <= 0 {
		delete(b.backoffs, name)
		return 0
	}
	return remaining
}

// shortestBackoff returns the time until the first of the replicas in backoff is called again; zero if none is.
func (b *balancer) shortestBackoff(backends []api.Backend) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var shortest time.Duration
	for _, candidate := range backends {
		remaining := b.backoffRemaining(candidate.Name)
		if remaining > 0 && !b.leaving(candidate.Name) && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return shortest
}

func (b *balancer) isEjected(name string) bool {
	at, ok := b.failed[name]
	return ok && b.now().Sub(at) < ejectionTime
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
