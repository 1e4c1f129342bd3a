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
	// backoffs is until when replicas have asked to be left alone.
	backoffs map[string]time.Time
	turn     int
}

func newBalancer(leaving func(string) bool, now func() time.Time) *balancer {
	return &balancer{leaving: leaving, now: now, inFlight: map[string]int{}, failed: map[string]time.Time{}, backoffs: map[string]time.Time{}}
}

// order returns the replicas that may be called, the best first. Those that leave or asked for backoff
// are left out; those that failed a moment ago come last.
func (b *balancer) order(backends []api.Backend) []api.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	usable := make([]api.Backend, 0, len(backends))
	for i := range backends {
		candidate := backends[(i+b.turn)%len(backends)]
		if !b.leaving(candidate.Name) && b.backoffLeft(candidate.Name) == 0 {
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

// backOff leaves a replica alone for as long as it has asked for.
func (b *balancer) backOff(name string, lasting time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffs[name] = b.now().Add(lasting)
}

// backoffLeft returns for how much longer a replica is left alone; the lock is held.
func (b *balancer) backoffLeft(name string) time.Duration {
	until, asked := b.backoffs[name]
	if !asked {
		return 0
	}
	left := until.Sub(b.now())
	if left <= 0 {
		delete(b.backoffs, name)
		return 0
	}
	return left
}

// firstBack returns how long it is until the first of the replicas in backoff is called again; zero where
// none does.
func (b *balancer) firstBack(backends []api.Backend) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var shortest time.Duration
	for _, candidate := range backends {
		left := b.backoffLeft(candidate.Name)
		if left > 0 && !b.leaving(candidate.Name) && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
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
