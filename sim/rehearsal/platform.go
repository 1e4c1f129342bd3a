package rehearsal

import (
	"context"
	"sync"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/sim/platformsim"
)

// Platform is the platform with injected faults. It is safe for concurrent use.
type Platform struct {
	Store *platformsim.Store

	mu              sync.Mutex
	outage          bool
	unreachable     map[string]bool
	responsesToDrop int
	changed         chan struct{}
}

// NewPlatform returns a platform without faults.
func NewPlatform(options platformsim.Options) *Platform {
	return &Platform{Store: platformsim.NewStore(options), unreachable: map[string]bool{}, changed: make(chan struct{})}
}

func (p *Platform) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetOutage begins or ends an outage for all nodes.
func (p *Platform) SetOutage(outage bool) { p.change(func() { p.outage = outage }) }

// SetUnreachable begins or ends an outage for one node.
func (p *Platform) SetUnreachable(node string, unreachable bool) {
	p.change(func() { p.unreachable[node] = unreachable })
}

// DropResponses executes the next count writes, but drops their responses: the callers get errors.
func (p *Platform) DropResponses(count int) { p.change(func() { p.responsesToDrop = count }) }

func (p *Platform) isDown(node string) (bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage || p.unreachable[node], p.changed
}

func (p *Platform) takeDroppedResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.responsesToDrop == 0 {
		return false
	}
	p.responsesToDrop--
	return true
}

// nodeStore is the platform's store with the faults injected for one node.
type nodeStore struct {
	platform   *Platform
	node       string
	terminated func() bool
}

func (s *nodeStore) down() bool {
	down, _ := s.platform.isDown(s.node)
	return down || s.terminated()
}

// Get implements objectapi.Store.
func (s *nodeStore) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	if s.down() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.platform.Store.Get(ctx, kind, name)
}

// List implements objectapi.Store.
func (s *nodeStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, int64, error) {
	if s.down() {
		return nil, 0, objectapi.ErrUnavailable
	}
	return s.platform.Store.List(ctx, kind)
}

// Put implements objectapi.Store.
func (s *nodeStore) Put(ctx context.Context, object objectapi.Object) (objectapi.Object, error) {
	if s.down() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	stored, err := s.platform.Store.Put(ctx, object)
	if s.platform.takeDroppedResponse() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return stored, err
}

// Delete implements objectapi.Store.
func (s *nodeStore) Delete(ctx context.Context, kind objectapi.Kind, name string, version int64) error {
	if s.down() {
		return objectapi.ErrUnavailable
	}
	err := s.platform.Store.Delete(ctx, kind, name, version)
	if s.platform.takeDroppedResponse() {
		return objectapi.ErrUnavailable
	}
	return err
}

// Watch implements objectapi.Store. It ends when an outage begins.
func (s *nodeStore) Watch(ctx context.Context, kind objectapi.Kind, after int64, handle func(objectapi.Event)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.down() {
		return objectapi.ErrUnavailable
	}
	go s.cancelOnOutage(ctx, cancel)
	return s.platform.Store.Watch(ctx, kind, after, handle)
}

func (s *nodeStore) cancelOnOutage(ctx context.Context, cancel context.CancelFunc) {
	for {
		down, changed := s.platform.isDown(s.node)
		if down {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
