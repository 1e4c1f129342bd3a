package configuration

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/objectapi"
)

// ErrNoPart is returned when a node or the platform does not have a part.
var ErrNoPart = errors.New("configuration: part not found")

// FetchPart fetches a part by its digest.
type FetchPart func(ctx context.Context, digest string) ([]byte, error)

// Holder holds the active configuration of a node. Its version never decreases. It is safe for concurrent use.
type Holder struct {
	// advancing is a semaphore with one token, so that one version is fetched at a time.
	advancing chan struct{}

	mu      sync.Mutex
	current *Snapshot
	parts   map[string]storedPart
	changed []func(*Snapshot)
}

// NewHolder returns a holder with an empty configuration of version zero.
func NewHolder() *Holder {
	return &Holder{advancing: make(chan struct{}, 1), current: NewSnapshot(Head{}), parts: map[string]storedPart{}}
}

// OnChange registers a function that is called with each new version.
func (h *Holder) OnChange(call func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = append(h.changed, call)
}

// Current returns the active configuration.
func (h *Holder) Current() *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Part returns a part that the node holds.
func (h *Holder) Part(digest string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	stored, ok := h.parts[digest]
	return stored.data, ok
}

// storedPart is a part in its stored form, for other nodes, and in decoded form.
type storedPart struct {
	data    []byte
	decoded *api.Configuration
}

// Advance makes the configuration of a newer head active, and calls fetch for missing parts. An older or equal
// head changes nothing.
func (h *Holder) Advance(ctx context.Context, head Head, fetch FetchPart) error {
	select {
	case h.advancing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-h.advancing }()
	if head.Version <= h.Current().Version() {
		return nil
	}
	parts := make(map[string]storedPart, len(head.Parts))
	decoded := make([]*api.Configuration, 0, len(head.Parts))
	for _, digest := range head.Parts {
		part, err := h.part(ctx, digest, fetch)
		if err != nil {
			return err
		}
		parts[digest] = part
		decoded = append(decoded, part.decoded)
	}
	h.install(NewSnapshot(head, decoded...), parts)
	return nil
}

// part returns a part that the node holds, or fetches and decodes it. A change of one tenant therefore requires
// decoding only one part.
func (h *Holder) part(ctx context.Context, digest string, fetch FetchPart) (storedPart, error) {
	h.mu.Lock()
	stored, ok := h.parts[digest]
	h.mu.Unlock()
	if ok {
		return stored, nil
	}
	data, err := fetch(ctx, digest)
	if err != nil {
		return storedPart{}, errors.Wrapf(err, "fetch part %s", digest)
	}
	if digestOf(data) != digest {
		return storedPart{}, errors.Newf("content of part %s does not match its digest", digest)
	}
	decoded, err := decodePart(data)
	return storedPart{data: data, decoded: decoded}, err
}

func (h *Holder) install(snapshot *Snapshot, parts map[string]storedPart) {
	h.mu.Lock()
	h.current = snapshot
	h.parts = parts
	calls := append([]func(*Snapshot){}, h.changed...)
	h.mu.Unlock()
	for _, call := range calls {
		call(snapshot)
	}
}

// FromStore returns a FetchPart that reads from the platform's store.
func FromStore(store objectapi.Store) FetchPart {
	return func(ctx context.Context, digest string) ([]byte, error) {
		object, err := store.Get(ctx, KindPart, digest)
		if errors.Is(err, objectapi.ErrNotFound) {
			return nil, ErrNoPart
		}
		return object.Spec, err
	}
}

// EncodeHead returns the wire form of a head.
func EncodeHead(head Head) ([]byte, error) { return json.Marshal(head) }
