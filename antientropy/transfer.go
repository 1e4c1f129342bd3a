package antientropy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/replica"
)

// transfer is one version of a long object that this node fetches from others, chunk by chunk.
// Its fields are protected by the lock of transfers, but for those that never change.
type transfer struct {
	// record is the version, without its content.
	record   replica.Record
	manifest chunk.Manifest
	began    time.Time

	// have holds the chunks that are here already.
	have map[chunk.ID][]byte
	// missing holds the others in an order of chance, so that nodes which fetch at the same
	// time have different ones to give to each other.
	missing []chunk.Reference
	sources []*source
	// progressedAt is when the last chunk came.
	progressedAt time.Time
	// running is set while chunks are fetched.
	running bool
	// reportedBehind is set once the node has logged that it is behind.
	reportedBehind bool
}

// source is a node that has some chunks of a transfer, or all of them.
type source struct {
	address string
	// notBefore is when it is asked again after it had nothing to give.
	notBefore time.Time
}

// newTransfer returns a transfer of all chunks that find does not find here.
func newTransfer(record replica.Record, manifest chunk.Manifest, find func(chunk.ID) ([]byte, bool)) *transfer {
	now := time.Now()
	t := &transfer{record: record, manifest: manifest, began: now, progressedAt: now, have: map[chunk.ID][]byte{}}
	wanted := map[chunk.ID]bool{}
	for _, reference := range manifest {
		if content, found := find(reference.ID); found {
			t.have[reference.ID] = content
			continue
		}
		if !wanted[reference.ID] {
			wanted[reference.ID] = true
			t.missing = append(t.missing, reference)
		}
	}
	rand.Shuffle(len(t.missing), func(i, j int) { t.missing[i], t.missing[j] = t.missing[j], t.missing[i] })
	return t
}

// addSource notes another node that has chunks.
func (t *transfer) addSource(address string) {
	known := func(s *source) bool { return s.address == address }
	if address != "" && !slices.ContainsFunc(t.sources, known) {
		t.sources = append(t.sources, &source{address: address})
	}
}

// removeSource forgets a node that does not answer.
func (t *transfer) removeSource(address string) {
	t.sources = slices.DeleteFunc(t.sources, func(s *source) bool { return s.address == address })
}

// restSource leaves a node alone until a moment.
func (t *transfer) restSource(address string, until time.Time) {
	for _, known := range t.sources {
		if known.address == address {
			known.notBefore = until
		}
	}
}

// fields returns what a transfer is logged by.
func (t *transfer) fields() []any {
	return []any{
		"kind", string(t.record.Object.Kind), "name", t.record.Object.Name, "revision", t.record.Object.Version,
		"age_ms", time.Since(t.began).Milliseconds(), "chunks", len(t.manifest), "missing", len(t.missing), "sources", len(t.sources),
	}
}

// pick returns a node that may be asked now, by chance, or when one may be; found is false
// where no node is known any more.
func (t *transfer) pick(now time.Time) (picked *source, wait time.Duration, found bool) {
	if len(t.sources) == 0 {
		return nil, 0, false
	}
	var askable []*source
	earliest := t.sources[0].notBefore
	for _, candidate := range t.sources {
		if !candidate.notBefore.After(now) {
			askable = append(askable, candidate)
		}
		if candidate.notBefore.Before(earliest) {
			earliest = candidate.notBefore
		}
	}
	if len(askable) == 0 {
		return nil, earliest.Sub(now), true
	}
	return askable[rand.IntN(len(askable))], 0, true
}

// batch returns the chunks to ask for next, at least one and as many as one message holds.
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

// take puts chunks in. What was not asked for is passed over. It returns how many were missing.
func (t *transfer) take(contents map[chunk.ID][]byte) int {
	before := len(t.missing)
	t.missing = slices.DeleteFunc(t.missing, func(reference chunk.Reference) bool {
		content, came := contents[reference.ID]
		if !came || len(content) != reference.Length {
			return false
		}
		t.have[reference.ID] = content
		return true
	})
	return before - len(t.missing)
}

// turn moves the first missing chunks to the end, because the node that was asked lacks them.
func (t *transfer) turn(count int) {
	count = min(count, len(t.missing))
	t.missing = append(t.missing[count:], t.missing[:count]...)
}
