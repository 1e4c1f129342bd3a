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
	// removed holds back ends that are gone, so that late news cannot bring
	// them back.
	removed map[string]time.Time
	synced  bool
}

// removedMemory is how long the registry remembers a back end that is gone.
const removedMemory = time.Minute

// NewRegistry returns an empty registry. The clock must be monotonic.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, byID: map[string]*Entry{}, services: map[string][]*Entry{}, removed: map[string]time.Time{}}
}

// Synced reports whether a whole list of back ends has been seen.
func (r *Registry) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

// Replace makes a whole list the state of the registry. It returns the
// identifiers of those that are gone.
func (r *Registry) Replace(backends []Backend) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(backends))
	for _, listedBackend := range backends {
		listed[listedBackend.ID] = true
		r.apply(listedBackend)
	}
	var gone []string
	for id := range r.byID {
		if !listed[id] {
			gone = append(gone, id)
			delete(r.byID, id)
			r.removed[id] = r.now()
		}
	}
	r.synced = true
	r.index()
	return gone
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
	r.removed[id] = r.now()
	r.index()
	return true
}

// Merge takes over what another node knows: back ends that drain or are gone
// there. It never makes one that drains or is gone here usable again.
func (r *Registry) Merge(backends []Backend, removed []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, id := range removed {
		if _, known := r.byID[id]; known {
			delete(r.byID, id)
			r.removed[id] = r.now()
			changed = true
		}
	}
	for _, merged := range backends {
		if _, gone := r.removed[merged.ID]; gone {
			continue
		}
		if known := r.byID[merged.ID]; known != nil && known.Backend().State == StateDraining {
			continue
		}
		changed = r.apply(merged) || changed
	}
	if changed {
		r.index()
	}
	return changed
}

// Snapshot returns all back ends and the identifiers of those that are gone.
func (r *Registry) Snapshot() (backends []Backend, removed []string) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, entry := range r.byID {
		backends = append(backends, entry.Backend())
	}
	for id := range r.removed {
		removed = append(removed, id)
	}
	sort.Slice(backends, func(i, j int) bool { return backends[i].ID < backends[j].ID })
	sort.Strings(removed)
	return backends, removed
}

// apply stores a back end; the lock is held.
func (r *Registry) apply(updated Backend) bool {
	known := r.byID[updated.ID]
	if known == nil {
		r.byID[updated.ID] = newEntry(updated, r.now)
		delete(r.removed, updated.ID)
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
	oldest := r.now().Add(-removedMemory)
	for id, at := range r.removed {
		if at.Before(oldest) {
			delete(r.removed, id)
		}
	}
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
