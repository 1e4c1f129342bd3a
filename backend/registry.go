package backend

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Registry holds the backends found by discovery. It is safe for concurrent use.
type Registry struct {
	now func() time.Time
	// wallClock is compared with the start times of incarnations.
	wallClock func() time.Time

	mu   sync.RWMutex
	byID map[string]*Entry
	// currentByName holds the current incarnation of each backend by the name that it is registered under, if
	// that differs from its identifier.
	currentByName map[string]*Entry
	// services holds the entries of each service, sorted by identifier.
	services map[string][]*Entry
	// groups holds the same entries by service, role, zone and software version, so that a few can be found without iterating
	// over all.
	groups map[group][]*Entry
	// notices are the entries of backends that have sent a notice.
	notices map[string]*Entry
	// removed holds removed incarnations that had sent a notice.
	removed map[string]removedEntry
	synced  bool
}

// removedEntry is the entry of a removed incarnation and the time of its removal.
type removedEntry struct {
	entry *Entry
	at    time.Time
}

// removedLifetime is how long the notices of a removed incarnation are kept. An entry expires while the store
// is unavailable, and is written again within seconds of the store's return, at first possibly in its previous
// form. A backend without a start time that leaves and restarts under its identifier is used again after this
// time.
const removedLifetime = time.Minute

// NewRegistry returns an empty registry. The clock must be monotonic.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{
		now: now, wallClock: time.Now, byID: map[string]*Entry{}, currentByName: map[string]*Entry{}, services: map[string][]*Entry{}, groups: map[group][]*Entry{},
		notices: map[string]*Entry{}, removed: map[string]removedEntry{},
	}
}

// SetWallClock replaces the clock that is compared with the start times of incarnations. Default time.Now. It
// must be called before all other methods.
func (r *Registry) SetWallClock(wallClock func() time.Time) { r.wallClock = wallClock }

// Synced reports whether a complete list of backends has been received.
func (r *Registry) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

// SetSynced records that a complete list of backends has been received.
func (r *Registry) SetSynced() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = true
}

// Update adds or updates one backend. It reports whether anything changed.
func (r *Registry) Update(updated Backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := updated.name()
	if before := r.current(name); before != nil && before.ID() != updated.ID {
		r.remove(before.ID())
	}
	entry := r.byID[updated.ID]
	if entry == nil {
		entry = newEntry(updated, r.now)
		r.byID[updated.ID] = entry
		if name != updated.ID {
			r.currentByName[name] = entry
		}
		r.restore(entry)
		r.inherit(entry)
		r.insert(entry)
		return true
	}
	before := entry.Backend()
	if before.State == StateDraining {
		// An incarnation that drains takes no work again: a ready state is from an older copy of the store.
		updated.State = StateDraining
	}
	if before == updated {
		return false
	}
	isMoved := groupOf(before) != groupOf(updated)
	if isMoved {
		r.delete(before)
	}
	entry.set(updated)
	if isMoved {
		r.insert(entry)
	}
	return true
}

// Remove removes one incarnation of a backend. It reports whether it was present.
func (r *Registry) Remove(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(id)
}

// RemoveRegistered removes the current incarnation of a backend by its registered name. It reports whether
// there was one.
func (r *Registry) RemoveRegistered(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.current(name)
	return entry != nil && r.remove(entry.ID())
}

// current returns the current incarnation of a backend by its registered name, or nil; the lock is held.
func (r *Registry) current(name string) *Entry {
	if entry := r.currentByName[name]; entry != nil {
		return entry
	}
	if entry := r.byID[name]; entry != nil && entry.Backend().name() == name {
		return entry
	}
	return nil
}

// remove removes one incarnation of a backend; the lock is held.
func (r *Registry) remove(id string) bool {
	entry := r.byID[id]
	if entry == nil {
		return false
	}
	entry.setLeaving(true)
	delete(r.byID, id)
	r.retire(entry)
	if name := entry.Backend().name(); r.currentByName[name] == entry {
		delete(r.currentByName, name)
	}
	r.delete(entry.Backend())
	return true
}

// retire keeps a removed incarnation whose notices still apply; the lock is held.
func (r *Registry) retire(entry *Entry) {
	id := entry.Backend().ID
	delete(r.notices, id)
	if _, limited := entry.RequestLimit(); limited || entry.isWithheld() {
		r.remember(id, entry)
	}
}

// remember keeps the notices of an incarnation without an entry; the lock is held.
func (r *Registry) remember(id string, entry *Entry) {
	now := r.now()
	maps.DeleteFunc(r.removed, func(_ string, kept removedEntry) bool { return now.Sub(kept.at) > removedLifetime })
	r.removed[id] = removedEntry{entry, now}
}

// restore applies the kept notices of an incarnation that discovery describes again; the lock is held.
func (r *Registry) restore(entry *Entry) {
	id := entry.Backend().ID
	if kept, found := r.removed[id]; found && r.now().Sub(kept.at) <= removedLifetime {
		entry.adopt(kept.entry)
		r.notices[id] = entry
	}
}

// inherit applies to a new incarnation the notices attributed to the previous one after the new one had
// started; the lock is held. Responses do not name the incarnation that sent them, and discovery describes a new
// one late. Without this, a backend that had requested backoff before it was discovered got three requests during
// the backoff.
func (r *Registry) inherit(entry *Entry) {
	current := entry.Backend()
	if current.StartedAt == 0 {
		return
	}
	for id, kept := range r.removed {
		if id != current.ID && kept.entry.Backend().name() == current.name() && entry.inherit(kept.entry) {
			r.notices[current.ID] = entry
		}
	}
}

// insert adds an entry to the lists; the lock is held. A starting node adds thousands of entries one by one, so
// lists are never rebuilt.
func (r *Registry) insert(entry *Entry) {
	described := entry.Backend()
	insertInto(r.services, described.Service, entry)
	insertInto(r.groups, groupOf(described), entry)
}

// delete removes the entry of a description from the lists; the lock is held.
func (r *Registry) delete(described Backend) {
	deleteFrom(r.services, described.Service, described.ID)
	deleteFrom(r.groups, groupOf(described), described.ID)
}

// insertInto adds an entry to the list of a key.
func insertInto[K comparable](lists map[K][]*Entry, key K, entry *Entry) {
	entries := lists[key]
	position, _ := find(entries, entry.ID())
	lists[key] = slices.Insert(entries, position, entry)
}

// deleteFrom removes an identifier from the list of a key.
func deleteFrom[K comparable](lists map[K][]*Entry, key K, id string) {
	entries := lists[key]
	position, found := find(entries, id)
	if !found {
		return
	}
	entries = slices.Delete(entries, position, position+1)
	if len(entries) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = entries
}

// find returns the position of an identifier in a list, or where it would be inserted.
func find(entries []*Entry, id string) (position int, found bool) {
	return slices.BinarySearchFunc(entries, id, func(entry *Entry, id string) int {
		return strings.Compare(entry.ID(), id)
	})
}

// Ready returns the backends of a service that take new work in a role.
func (r *Registry) Ready(service string, role Role) []*Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	ready := make([]*Entry, 0, len(r.services[service]))
	for _, entry := range r.services[service] {
		if entry.backend.Load().Role == role && entry.TakesWork() {
			ready = append(ready, entry)
		}
	}
	return ready
}

// Registered returns the current incarnation of a backend by the name that it is registered under, or nil.
func (r *Registry) Registered(name string) *Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current(name)
}

// Lookup returns a backend, or nil.
func (r *Registry) Lookup(id string) *Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// RecordNotice records the notice of a backend incarnation. It returns the part of the notice that is new. The
// incarnation may have no entry: an expired entry may be written again in its previous form.
func (r *Registry) RecordNotice(target Backend, notice Notice) Notice {
	if notice == (Notice{Limit: RequestLimit{Statement: LimitNone}}) {
		// Nearly all responses: recording these would lock the registry for each.
		if _, limited := r.RequestLimit(target.ID); !limited {
			return Notice{}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.byID[target.ID]
	if entry == nil {
		entry = r.removedEntryOf(target)
	} else {
		maps.DeleteFunc(r.notices, func(_ string, noticed *Entry) bool { return !noticed.isWithheld() })
		r.notices[target.ID] = entry
	}
	return entry.recordNotice(notice, r.wallClock().UnixMilli())
}

// RequestLimit returns the limit of requests per second over all nodes that an incarnation has named, and whether it
// has named one. The incarnation may have no entry.
func (r *Registry) RequestLimit(id string) (rate float64, limited bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entry := r.byID[id]
	if entry == nil {
		entry = r.removed[id].entry
	}
	if entry == nil {
		return 0, false
	}
	return entry.RequestLimit()
}

// LimitReached records that the limit of a backend grants this node no call for a time.
func (r *Registry) LimitReached(id string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry := r.byID[id]; entry != nil {
		entry.limitReached(wait)
		r.notices[id] = entry
	}
}

// removedEntryOf returns the entry of an incarnation that discovery does not describe; the lock is held.
func (r *Registry) removedEntryOf(target Backend) *Entry {
	kept, found := r.removed[target.ID]
	if !found {
		kept.entry = newEntry(target, r.now)
	}
	r.remember(target.ID, kept.entry)
	return kept.entry
}

// Withheld returns the backends of a service that get no work from this node because of their notices, whatever
// other nodes know of them.
func (r *Registry) Withheld(service string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var withheld []string
	for id, entry := range r.notices {
		if entry.Backend().Service == service && entry.isWithheld() {
			withheld = append(withheld, id)
		}
	}
	return withheld
}

// ServiceBackoff returns the time until the first backend of a service and role accepts requests from this node
// again, if all that take work are in backoff; zero if one is not, or there is none.
func (r *Registry) ServiceBackoff(service string, role Role) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.notices) == 0 {
		return 0
	}
	var shortest time.Duration
	for _, entry := range r.services[service] {
		if entry.backend.Load().Role != role || !entry.TakesWork() {
			continue
		}
		remaining := entry.BackoffRemaining()
		if remaining == 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// HasAddress reports whether a backend has an address.
func (r *Registry) HasAddress(address string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, entry := range r.byID {
		if entry.backend.Load().Address == address {
			return true
		}
	}
	return false
}

// SampleAddresses returns the addresses of up to count backends that take work, of any service.
func (r *Registry) SampleAddresses(count int) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var addresses []string
	// The iteration begins at a random entry.
	for _, entry := range r.byID {
		if len(addresses) == count {
			break
		}
		if entry.TakesWork() {
			addresses = append(addresses, entry.backend.Load().Address)
		}
	}
	return addresses
}

// ServicesAt returns the services of the backends at the given addresses, sorted.
func (r *Registry) ServicesAt(addresses []string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	services := map[string]bool{}
	for _, entry := range r.byID {
		if described := entry.backend.Load(); slices.Contains(addresses, described.Address) {
			services[described.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// CountReady returns how many backends of all services take new work in a role.
func (r *Registry) CountReady(role Role) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	count := 0
	for _, entry := range r.byID {
		if entry.backend.Load().Role == role && entry.TakesWork() {
			count++
		}
	}
	return count
}
