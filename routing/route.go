package routing

import "time"

// Kind states how often the requests of a route may run.
type Kind string

// The kinds of a route.
const (
	// KindIdempotent may run more than once.
	KindIdempotent Kind = "repeatable"
	// KindNonIdempotent may run at most once for each attempt of a caller.
	KindNonIdempotent Kind = "once"
	// KindStream answers with events and may run at most once, unless it is
	// resumable.
	KindStream Kind = "stream"
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share of the target, relative to the other targets.
	Weight int
}

// Route leads the requests of a host below a path to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// Objective is the time inside which an answer (of a stream: its first event)
	// is in time.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream that is in time.
	MaxPause time.Duration
	// CallerEventTimeout is how long a caller waits for the first event of a stream, or for the next one,
	// before it leaves; zero where that is not known.
	CallerEventTimeout time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Targets share the requests by weight.
	Targets []Target
	// MaxAttempts is the largest number of back ends that one request may run on.
	MaxAttempts int
	// Public routes need no key, also where the configuration has tenants.
	Public bool
	// Resumable streams may go on at another back end after the last event.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Target picks the service of a request. The draw is a number from 0 up to,
// but not including, 1.
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
