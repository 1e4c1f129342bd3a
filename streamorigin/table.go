package streamorigin

import (
	"sync"
	"time"
)

const (
	// lifetime is how long a record is kept after it was last written: longer than callers wait for a stream, with all
	// their attempts.
	lifetime = 10 * time.Minute
	// maxRecords bounds the records of one node, of about 200 bytes each. 5,500 streams a second at 410 nodes leave each
	// with 40 records a second, of which it keeps those of nearly seven minutes.
	maxRecords = 16_384
)

// table holds the records of one node. It is safe for concurrent use.
type table struct {
	now func() time.Duration

	mu      sync.Mutex
	records map[Key]record
	// written are the writes of records, oldest first.
	written []write
}

// record is the origin of one stream.
type record struct {
	origin    Origin
	writtenAt time.Duration
	// isAmbiguous is set if two streams with the key began at different services or versions: a caller has used an
	// identifier twice.
	isAmbiguous bool
}

// write is the time at which a record was written.
type write struct {
	key Key
	at  time.Duration
}

func newTable(now func() time.Duration) *table {
	return &table{now: now, records: map[Key]record{}}
}

// put writes a record.
func (t *table) put(key Key, origin Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	added := record{origin: origin, writtenAt: now}
	if known, found := t.records[key]; found {
		differs := known.origin.Service != origin.Service || known.origin.Version != origin.Version
		added.isAmbiguous = known.isAmbiguous || differs
	}
	t.records[key] = added
	t.written = append(t.written, write{key, now})
	t.expire(now)
}

// expire removes the oldest records while they have expired or there are too many; the lock is held.
func (t *table) expire(now time.Duration) {
	for len(t.written) > 0 {
		oldest := t.written[0]
		if now-oldest.at <= lifetime && len(t.written) <= maxRecords {
			return
		}
		t.written = t.written[1:]
		if t.records[oldest.key].writtenAt == oldest.at {
			delete(t.records, oldest.key)
		}
	}
}

// find returns the origin of a stream, if it is known and unambiguous.
func (t *table) find(key Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.records[key]
	if !found || known.isAmbiguous || t.now()-known.writtenAt > lifetime {
		return Origin{}, false
	}
	return known.origin, true
}

// size returns the number of records.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
