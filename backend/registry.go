package backend

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Registry holds the back ends that discovery tells of. It is safe for
// concurrent use.
type Registry struct {
	now func() time.Time

	mu   sync.RWMutex
	byID map[string]*Entry
	// lives holds the current life of each back end by what it is registered as.
	lives map[string]string
	// services holds the entries of each service in the order of their identifiers.
	services map[string][]*Entry
	synced   bool
}

// NewRegistry returns an empty registry. The clock must be monotonic.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, byID: map[string]*Entry{}, lives: map[string]string{}, services: map[string][]*Entry{}}
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
	name := updated.name()
	if before, known := r.lives[name]; known && before != updated.ID {
		r.remove(before)
	}
	r.lives[name] = updated.ID
	entry := r.byID[updated.ID]
	if entry == nil {
		entry = newEntry(updated, r.now)
		r.byID[updated.ID] = entry
		r.insert(updated.Service, entry)
		return true
	}
	service := entry.Backend().Service
	if !entry.set(updated) {
		return false
	}
	if service != updated.Service {
		r.delete(service, updated.ID)
		r.insert(updated.Service, entry)
	}
	return true
}

// Remove forgets one life of a back end. It reports whether that was known.
func (r *Registry) Remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(id)
}

// RemoveRegistered forgets the current life of a back end by what it is registered as. It reports
// whether there was one.
func (r *Registry) RemoveRegistered(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(r.lives[name])
}

// remove forgets one life of a back end; the lock is held.
func (r *Registry) remove(id string) bool {
	entry := r.byID[id]
	if entry == nil {
		return false
	}
	entry.noteLeaving(true)
	delete(r.byID, id)
	if name := entry.Backend().name(); r.lives[name] == id {
		delete(r.lives, name)
	}
	r.delete(entry.Backend().Service, id)
	return true
}

// insert puts an entry into the list of a service; the lock is held. A node that starts
// takes over thousands of entries one by one, so that a list is never built anew.
func (r *Registry) insert(service string, entry *Entry) {
	entries := r.services[service]
	position, _ := find(entries, entry.Backend().ID)
	r.services[service] = slices.Insert(entries, position, entry)
}

// delete takes an entry out of the list of a service; the lock is held.
func (r *Registry) delete(service, id string) {
	entries := r.services[service]
	position, found := find(entries, id)
	if !found {
		return
	}
	entries = slices.Delete(entries, position, position+1)
	if len(entries) == 0 {
		delete(r.services, service)
		return
	}
	r.services[service] = entries
}

// find returns where an identifier is, or would be, in a list.
func find(entries []*Entry, id string) (position int, found bool) {
	return slices.BinarySearchFunc(entries, id, func(entry *Entry, id string) int {
		return strings.Compare(entry.Backend().ID, id)
	})
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

// Heard notes what a back end has said of itself in an answer. It reports what of that was not known;
// a life that is not known any more has nothing new to say.
func (r *Registry) Heard(id string, said Notice) Notice {
	entry := r.Lookup(id)
	if entry == nil {
		return Notice{}
	}
	return entry.Heard(said)
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
