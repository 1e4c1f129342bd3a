package gateway

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/routing"
)

// longestWaits knows how long callers of each route wait at most. A caller that
// comes back after a refusal has less time left, by as much as it has waited.
type longestWaits struct {
	mu      sync.Mutex
	byRoute map[routeKey]time.Duration
}

// routeKey names a route over all versions of the configuration.
type routeKey struct{ host, prefix string }

// age returns how long ago a caller asked first, judged by the time that it still
// waits.
func (l *longestWaits) age(route *routing.Route, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRoute == nil {
		l.byRoute = map[routeKey]time.Duration{}
	}
	key := routeKey{route.Host, route.PathPrefix}
	if wait > l.byRoute[key] {
		l.byRoute[key] = wait
	}
	return l.byRoute[key] - wait
}
