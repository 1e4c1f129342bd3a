package backend

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Registry holds the back ends that discovery tells of. It is safe for
// concurrent use.
type Registry struct {
	now func() time.Time
	// timeOfDay is compared with the times at which lives began.
	timeOfDay func() time.Time

	mu   sync.RWMutex
	byID map[string]*Entry
	// lives holds the current life of each back end by what it is registered as, where that is another
	// name than its identifier.
	lives map[string]*Entry
	// services holds the entries of each service in the order of their identifiers.
	services map[string][]*Entry
	// groups holds the same entries by service, role and zone, so that a few are found without a look at
	// all.
	groups map[group][]*Entry
	// notices are the entries of back ends that have said something of themselves.
	notices map[string]*Entry
	// departed are removed lives that had said something of themselves.
	departed map[string]departedLife
	synced   bool
}

// departedLife is a removed life and when it was removed.
type departedLife struct {
	entry *Entry
	at    time.Time
}

// departedMemory is how long the word of a life is remembered once that has been removed. An entry lapses
// while the store is away, and is written once more within seconds of its return, for a moment also as
// it was before. A back end without a time of birth that leaves and starts again under its identifier
// is used after this time.
const departedMemory = time.Minute

// NewRegistry returns an empty registry. The clock must be monotonic.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{
		now: now, timeOfDay: time.Now, byID: map[string]*Entry{}, lives: map[string]*Entry{}, services: map[string][]*Entry{}, groups: map[group][]*Entry{},
		notices: map[string]*Entry{}, departed: map[string]departedLife{},
	}
}

// SetWallClock replaces the clock that is compared with the times at which lives began. Default time.Now. It
// is called before all other calls.
func (r *Registry) SetWallClock(timeOfDay func() time.Time) { r.timeOfDay = timeOfDay }

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
	if before := r.current(name); before != nil && before.ID() != updated.ID {
		r.remove(before.ID())
	}
	entry := r.byID[updated.ID]
	if entry == nil {
		entry = newEntry(updated, r.now)
		r.byID[updated.ID] = entry
		if name != updated.ID {
			r.lives[name] = entry
		}
		r.recall(entry)
		r.inherit(entry)
		r.insert(entry)
		return true
	}
	before := entry.Backend()
	if before == updated {
		return false
	}
	isElsewhere := groupOf(before) != groupOf(updated)
	if isElsewhere {
		r.delete(before)
	}
	entry.set(updated)
	if isElsewhere {
		r.insert(entry)
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
	entry := r.current(name)
	return entry != nil && r.remove(entry.ID())
}

// current returns the current life of a back end by what it is registered as, or nil; the lock is held.
func (r *Registry) current(name string) *Entry {
	if entry := r.lives[name]; entry != nil {
		return entry
	}
	if entry := r.byID[name]; entry != nil && entry.Backend().name() == name {
		return entry
	}
	return nil
}

// remove forgets one life of a back end; the lock is held.
func (r *Registry) remove(id string) bool {
	entry := r.byID[id]
	if entry == nil {
		return false
	}
	entry.noteLeaving(true)
	delete(r.byID, id)
	r.depart(entry)
	if name := entry.Backend().name(); r.lives[name] == entry {
		delete(r.lives, name)
	}
	r.delete(entry.Backend())
	return true
}

// depart remembers a removed life that has said something of itself; the lock is held.
func (r *Registry) depart(entry *Entry) {
	id := entry.Backend().ID
	delete(r.notices, id)
	if entry.isWithheld() {
		r.remember(id, entry)
	}
}

// remember keeps what a life without an entry has said of itself; the lock is held.
func (r *Registry) remember(id string, entry *Entry) {
	now := r.now()
	maps.DeleteFunc(r.departed, func(_ string, life departedLife) bool { return now.Sub(life.at) > departedMemory })
	r.departed[id] = departedLife{entry, now}
}

// recall has a life that discovery tells of once more keep to what it has said; the lock is held.
func (r *Registry) recall(entry *Entry) {
	id := entry.Backend().ID
	if life, known := r.departed[id]; known && r.now().Sub(life.at) <= departedMemory {
		entry.adopt(life.entry)
		r.notices[id] = entry
	}
}

// inherit has a new life keep to what was heard from the life before at a time when it had begun already:
// answers do not name the life that gave them, and discovery tells of a new one late; the lock is held.
// Without it a back end that had asked for backoff before it was known had three requests meanwhile.
func (r *Registry) inherit(entry *Entry) {
	current := entry.Backend()
	if current.StartedAt == 0 {
		return
	}
	for id, life := range r.departed {
		if id != current.ID && life.entry.Backend().name() == current.name() && entry.inherit(life.entry) {
			r.notices[current.ID] = entry
		}
	}
}

// insert puts an entry into the lists; the lock is held. A node that starts takes over thousands of
// entries one by one, so that a list is never built anew.
func (r *Registry) insert(entry *Entry) {
	described := entry.Backend()
	insertInto(r.services, described.Service, entry)
	insertInto(r.groups, groupOf(described), entry)
}

// delete takes the entry of a description out of the lists; the lock is held.
func (r *Registry) delete(described Backend) {
	deleteFrom(r.services, described.Service, described.ID)
	deleteFrom(r.groups, groupOf(described), described.ID)
}

// insertInto puts an entry into one of some lists.
func insertInto[K comparable](lists map[K][]*Entry, key K, entry *Entry) {
	entries := lists[key]
	position, _ := find(entries, entry.ID())
	lists[key] = slices.Insert(entries, position, entry)
}

// deleteFrom takes an identifier out of one of some lists.
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

// find returns where an identifier is, or would be, in a list.
func find(entries []*Entry, id string) (position int, found bool) {
	return slices.BinarySearchFunc(entries, id, func(entry *Entry, id string) int {
		return strings.Compare(entry.ID(), id)
	})
}

// Ready returns the back ends of a service that take new work in a role.
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

// Lookup returns a back end, or nil.
func (r *Registry) Lookup(id string) *Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// RecordNotice notes what a life of a back end has said of itself in an answer. It reports what of that was not
// known. Its entry may have lapsed meanwhile, and be written once more as it was.
func (r *Registry) RecordNotice(target Backend, said Notice) Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.byID[target.ID]
	if entry == nil {
		entry = r.departedEntry(target)
	} else {
		maps.DeleteFunc(r.notices, func(_ string, known *Entry) bool { return !known.isWithheld() })
		r.notices[target.ID] = entry
	}
	return entry.heard(said, r.timeOfDay().UnixMilli())
}

// departedEntry returns the entry of a life that discovery does not tell of; the lock is held.
func (r *Registry) departedEntry(target Backend) *Entry {
	life, known := r.departed[target.ID]
	if !known {
		life.entry = newEntry(target, r.now)
	}
	r.remember(target.ID, life.entry)
	return life.entry
}

// Withheld returns the back ends of a service that this node gives no work because of their own word,
// whatever other nodes know of them.
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

// ServiceBackoff returns how long it is until the first back end of a service and role wants requests from
// this node again, where all that take work are in backoff; zero where one is not, or there is none.
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
		left := entry.BackoffRemaining()
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// CountReady returns how many back ends of all services take new work in a role.
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
