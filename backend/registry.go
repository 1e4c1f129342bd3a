package backend

import (
	"sort"
	"sync"
	"time"
)

// Registry holds the back ends that discovery tells of. It is safe for
// concurrent use.
type Registry struct {
	now func() time.Time

	mu       sync.RWMutex
	byID     map[string]*Entry
	services map[string][]*Entry
	synced   bool
}

// NewRegistry returns an empty registry. The clock must be monotonic.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, byID: map[string]*Entry{}, services: map[string][]*Entry{}}
}

// Synced reports whether a whole list of back ends has been seen.
func (r *Registry) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

// SetSynced notes that a whole list of back ends has been taken over.
func (r *Registry) SetSynced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = true
}

// Update takes over one back end. It reports whether anything changed.
func (r *Registry) Update(updated Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.apply(updated) {
		return false
	}
	r.index()
	return true
}

// Remove forgets a back end. It reports whether the back end was known.
func (r *Registry) Remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[id]; !known {
		return false
	}
	delete(r.byID, id)
	r.index()
	return true
}

// apply stores a back end; the lock is held.
func (r *Registry) apply(updated Backend) bool {
	known := r.byID[updated.ID]
	if known == nil {
		r.byID[updated.ID] = newEntry(updated, r.now)
		return true
	}
	return known.set(updated)
}

// index rebuilds the view by service; the lock is held.
func (r *Registry) index() {
	services := make(map[string][]*Entry, len(r.services))
	for _, entry := range r.byID {
		service := entry.Backend().Service
		services[service] = append(services[service], entry)
	}
	for _, entries := range services {
		sort.Slice(entries, func(i, j int) bool { return entries[i].Backend().ID < entries[j].Backend().ID })
	}
	r.services = services
}

// Ready returns the back ends of a service that take new work in a role.
func (r *Registry) Ready(service string, role Role) []*Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ready []*Entry
	for _, entry := range r.services[service] {
		current := entry.Backend()
		if current.State == StateReady && current.Role == role {
			ready = append(ready, entry)
		}
	}
	return ready
}

// Lookup returns a back end, or nil.
func (r *Registry) Lookup(id string) *Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// CountReady returns how many back ends of all services take new work in a role.
func (r *Registry) CountReady(role Role) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	count := 0
	for _, entry := range r.byID {
		current := entry.Backend()
		if current.State == StateReady && current.Role == role {
			count++
		}
	}
	return count
}
