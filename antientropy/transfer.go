package antientropy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/replica"
)

// transfer is one version of a chunked object that this node fetches from others, chunk by chunk. The lock of
// transfers protects all its fields that may change.
type transfer struct {
	// record is the version, without its content.
	record   replica.Record
	manifest chunk.Manifest
	began    time.Time

	// have holds the chunks that this node already has.
	have map[chunk.ID][]byte
	// missing holds the other chunks in random order, so that nodes which fetch at the same time get different
	// ones and can exchange them.
	missing []chunk.Reference
	sources []*source
	// progressedAt is when the last chunk arrived.
	progressedAt time.Time
	// running is set while chunks are fetched.
	running bool
	// reportedBehind is set once the node has logged that it is behind.
	reportedBehind bool
}

// source is a node that has some chunks of a transfer, or all of them.
type source struct {
	address string
	// notBefore is when chunks are requested from it again after it had none to send.
	notBefore time.Time
}

// newTransfer returns a transfer of all chunks that find does not return.
func newTransfer(record replica.Record, manifest chunk.Manifest, find func(chunk.ID) ([]byte, bool)) *transfer {
	now := time.Now()
	t := &transfer{record: record, manifest: manifest, began: now, progressedAt: now, have: map[chunk.ID][]byte{}}
	isMissing := map[chunk.ID]bool{}
	for _, reference := range manifest {
		if content, found := find(reference.ID); found {
			t.have[reference.ID] = content
			continue
		}
		if !isMissing[reference.ID] {
			isMissing[reference.ID] = true
			t.missing = append(t.missing, reference)
		}
	}
	rand.Shuffle(len(t.missing), func(i, j int) { t.missing[i], t.missing[j] = t.missing[j], t.missing[i] })
	return t
}

// addSource adds another node that has chunks.
func (t *transfer) addSource(address string) {
	hasAddress := func(s *source) bool { return s.address == address }
	if address != "" && !slices.ContainsFunc(t.sources, hasAddress) {
		t.sources = append(t.sources, &source{address: address})
	}
}

// removeSource removes a node that does not answer.
func (t *transfer) removeSource(address string) {
	t.sources = slices.DeleteFunc(t.sources, func(s *source) bool { return s.address == address })
}

// pauseSource suspends requests to a node until the given time.
func (t *transfer) pauseSource(address string, until time.Time) {
	for _, candidate := range t.sources {
		if candidate.address == address {
			candidate.notBefore = until
		}
	}
}

// logFields returns the log attributes of a transfer.
func (t *transfer) logFields() []any {
	return []any{
		"kind", string(t.record.Object.Kind), "name", t.record.Object.Name, "revision", t.record.Object.Version,
		"age_ms", time.Since(t.began).Milliseconds(), "chunks", len(t.manifest), "missing", len(t.missing), "sources", len(t.sources),
	}
}

// pick returns a random source that requests may be sent to now, or else the time until there is one; found is
// false if no source is left.
func (t *transfer) pick(now time.Time) (picked *source, wait time.Duration, found bool) {
	if len(t.sources) == 0 {
		return nil, 0, false
	}
	var eligible []*source
	earliest := t.sources[0].notBefore
	for _, candidate := range t.sources {
		if !candidate.notBefore.After(now) {
			eligible = append(eligible, candidate)
		}
		if candidate.notBefore.Before(earliest) {
			earliest = candidate.notBefore
		}
	}
	if len(eligible) == 0 {
		return nil, earliest.Sub(now), true
	}
	return eligible[rand.IntN(len(eligible))], 0, true
}

// batch returns the chunks to request next, at least one and as many as fit into one message.
func (t *transfer) batch() []chunk.Reference {
	size := 0
	for i, reference := range t.missing {
		size += reference.Length
		if size > chunk.MaxBytes && i > 0 {
			return slices.Clone(t.missing[:i])
		}
	}
	return slices.Clone(t.missing)
}

// addChunks adds received chunks and ignores those that were not requested. It returns how many of them had been
// missing.
func (t *transfer) addChunks(contents map[chunk.ID][]byte) int {
	before := len(t.missing)
	t.missing = slices.DeleteFunc(t.missing, func(reference chunk.Reference) bool {
		content, received := contents[reference.ID]
		if !received || len(content) != reference.Length {
			return false
		}
		t.have[reference.ID] = content
		return true
	})
	return before - len(t.missing)
}

// rotate moves the first missing chunks to the end, because the node from which they were requested lacks them.
func (t *transfer) rotate(count int) {
	count = min(count, len(t.missing))
	t.missing = append(t.missing[count:], t.missing[:count]...)
}
