package routing

import (
	"slices"
	"time"
)

// Kind states how often the requests of a route may run.
type Kind string

// The kinds of a route.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "repeatable"
	// KindNonIdempotent requests may run at most once for each attempt of a caller.
	KindNonIdempotent Kind = "once"
	// KindStream requests are answered with events and may run at most once, unless the route is
	// resumable.
	KindStream Kind = "stream"
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is the relative share of the target among the targets of the route.
	Weight int
}

// Route maps the requests of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time from the arrival of a request to its deadline. A caller may state a
	// shorter one.
	Timeout time.Duration
	// Objective is the time within which a response (of a stream: its first event) is in time.
	Objective time.Duration
	// MaxPause is the longest pause between events at which a stream still counts as in time.
	MaxPause time.Duration
	// CallerEventTimeout is how long a caller waits for the first event of a stream, or for the
	// next one, before it disconnects; zero if that is not known.
	CallerEventTimeout time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Targets are the services that share the requests by weight.
	Targets []Target
	// MaxAttempts is the largest number of backends that one request may run on.
	MaxAttempts int
	// Public routes need no key, even if the configuration has tenants.
	Public bool
	// Resumable streams may continue at another backend after the last event that the caller has
	// received.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// HasTarget reports whether a service takes a share of the route's requests.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Service == service && target.Weight > 0 })
}

// Target picks the service of a request. The draw is a number in [0, 1).
func (r *Route) Target(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	position := draw * float64(total)
	for _, target := range r.Targets {
		position -= float64(target.Weight)
		if position < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
