package router

import "sync"

// maxRejected bounds the remembered names. Beyond it, all are forgotten and rejected entries are logged
// again.
const maxRejected = 4096

// rejectedEntries remembers the backend entries that were rejected, so that a writer that repeats
// itself causes a single log line. It is safe for concurrent use.
type rejectedEntries struct {
	mu    sync.Mutex
	names map[string]bool
}

// first records a rejection and reports whether it is the first since the entry was last
// accepted.
func (r *rejectedEntries) first(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names[name] {
		return false
	}
	if r.names == nil || len(r.names) >= maxRejected {
		r.names = map[string]bool{}
	}
	r.names[name] = true
	return true
}

// accepted records that an entry is valid or was removed.
func (r *rejectedEntries) accepted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.names, name)
}
