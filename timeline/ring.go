package timeline

import (
	"sort"
	"sync"
)

// DefaultCapacity is the number of events a process keeps by default.
const DefaultCapacity = 4096

// Kind is the type of an event.
type Kind string

// Event is an event in one process. Fields that do not apply to the kind of the
// event are empty.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	Request string `json:"request,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	Engine  string `json:"engine,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Ring is a ring buffer of the newest events of one process. It is safe for
// concurrent use.
type Ring struct {
	process string
	clock   *Clock

	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event once the ring is full; the next event
	// overwrites it.
	next        int
	overwritten uint64
}

// NewRing returns an empty ring of the given capacity for the named process.
func NewRing(process string, clock *Clock, capacity int) *Ring {
	return &Ring{process: process, clock: clock, events: make([]Event, 0, capacity)}
}

// Clock returns the clock that stamps the ring's events.
func (r *Ring) Clock() *Clock { return r.clock }

// Record stamps the event and stores it. If the ring is full, it overwrites the
// oldest event.
func (r *Ring) Record(event Event) {
	event.Stamp = r.clock.Now()
	event.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
	r.overwritten++
}

// Filter selects events by their fields; an empty field matches any value.
type Filter struct {
	Request string
	Engine  string
	Tenant  string
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(event Event) bool {
	if f.Request != "" && f.Request != event.Request {
		return false
	}
	if f.Engine != "" && f.Engine != event.Engine {
		return false
	}
	return f.Tenant == "" || f.Tenant == event.Tenant
}

// Events returns the stored events that match the filter, oldest first.
func (r *Ring) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if filter.Matches(event) {
			selected = append(selected, event)
		}
	}
	return selected
}

// Merge orders the events of several processes by stamp, then by process.
func Merge(rings ...[]Event) []Event {
	var all []Event
	for _, events := range rings {
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Stamp != all[j].Stamp {
			return all[i].Stamp < all[j].Stamp
		}
		return all[i].Process < all[j].Process
	})
	return all
}
