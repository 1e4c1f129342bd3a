package router

import "sync"

// maxRefused bounds the remembered names. Beyond it, entries are logged again.
const maxRefused = 4096

// refusedEntries remembers the backend entries that were rejected, so that a writer that repeats
// itself causes a single log line. It is safe for concurrent use.
type refusedEntries struct {
	mu    sync.Mutex
	names map[string]bool
}

// first records a rejection and reports whether it is the first since the entry was last
// accepted.
func (r *refusedEntries) first(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names[name] {
		return false
	}
	if r.names == nil || len(r.names) >= maxRefused {
		r.names = map[string]bool{}
	}
	r.names[name] = true
	return true
}

// accepted records that an entry is valid or was removed.
func (r *refusedEntries) accepted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.names, name)
}
