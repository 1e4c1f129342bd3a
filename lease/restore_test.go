package lease_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/lease"
	"github.com/reelrun/reelrun/objectapi"
)

// restorableStore holds one object, and can be restored from a copy.
type restorableStore struct {
	objectapi.Store
	epoch, revision int64
	object          *objectapi.Object
	copyRevision    int64
	copied          *objectapi.Object
}

func (s *restorableStore) makeCopy() { s.copyRevision, s.copied = s.revision, s.object }

func (s *restorableStore) restore() {
	s.epoch++
	s.revision, s.object = s.copyRevision, s.copied
}

func (s *restorableStore) Get(context.Context, objectapi.Kind, string) (objectapi.Object, error) {
	if s.object == nil {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	found := *s.object
	found.Version = objectapi.NewVersion(s.epoch, found.Version)
	return found, nil
}

func (s *restorableStore) Put(_ context.Context, object objectapi.Object) (objectapi.Object, error) {
	expected := int64(0)
	if s.object != nil {
		expected = objectapi.NewVersion(s.epoch, s.object.Version)
	}
	if object.Version != expected {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	s.revision++
	stored := object
	stored.Version = s.revision
	s.object = &stored
	object.Version = objectapi.NewVersion(s.epoch, s.revision)
	return object, nil
}

// fleetOfLeases is some nodes' views of one lease.
type fleetOfLeases struct {
	store  *restorableStore
	now    time.Time
	leases []*lease.Lease
	// tokens holds the fencing tokens of all acquisitions, in order, with their holders.
	tokens  []uint64
	holders []int
}

const restoredDuration = 10 * time.Second

func newFleetOfLeases(nodes int) *fleetOfLeases {
	f := &fleetOfLeases{store: &restorableStore{}, now: time.Unix(1000, 0)}
	for node := range nodes {
		f.leases = append(f.leases, lease.New(lease.Options{
			Store: f.store, Name: "l", Holder: string(rune('a' + node)), Duration: restoredDuration,
			Now: func() time.Time { return f.now }, Epoch: func() int64 { return f.store.epoch },
		}))
	}
	return f
}

// acquire has a node acquire the lease, and reports whether it did.
func (f *fleetOfLeases) acquire(node int) bool {
	token, err := f.leases[node].Acquire(context.Background())
	if err != nil {
		return false
	}
	f.tokens, f.holders = append(f.tokens, token), append(f.holders, node)
	return true
}

// active returns the nodes that may act.
func (f *fleetOfLeases) active() []int {
	var active []int
	for node, held := range f.leases {
		if held.Check(0) == nil {
			active = append(active, node)
		}
	}
	return active
}

// TestRestoreGivesALeaseTwice has a node take a lease that another one has marked as idle. The store is restored from a
// copy in which the lease is idle still, while the node holds it.
func TestRestoreGivesALeaseTwice(t *testing.T) {
	g := NewWithT(t)
	f := newFleetOfLeases(3)
	g.Expect(f.acquire(0)).To(BeTrue())
	g.Expect(f.leases[0].MarkIdle(t.Context())).To(Succeed())
	f.store.makeCopy()
	g.Expect(f.acquire(1)).To(BeTrue())
	f.store.restore()
	g.Expect(f.acquire(2)).To(BeFalse(), "node 1 holds the lease")
	g.Expect(f.acquire(0)).To(BeFalse(), "the restored record names node 0, which held it before")
	g.Expect(f.active()).To(Equal([]int{1}))
	f.now = f.now.Add(restoredDuration + time.Second)
	g.Expect(f.acquire(2)).To(BeTrue())
	g.Expect(f.tokens[2]).To(BeNumerically(">", f.tokens[1]), "no token is given out twice")
	g.Expect(f.leases[2].TakeoverWaitOver(time.Second)).To(BeFalse(), "an order of the holder may be in flight")
	g.Expect(f.leases[2].MarkIdle(t.Context())).To(Succeed())
	g.Expect(f.acquire(0)).To(BeTrue(), "the record has been written since the restore")
}

// TestRestoresNeverGiveALeaseTwice has nodes acquire and release a lease while the store is copied and restored.
func TestRestoresNeverGiveALeaseTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		f := newFleetOfLeases(3)
		f.store.makeCopy()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			node := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				f.store.makeCopy()
			case 1:
				f.store.restore()
			case 2:
				g.Expect(ignoreHeld(f.leases[node].MarkIdle(context.Background()))).To(Succeed())
			case 3:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
			default:
				f.acquire(node)
			}
			g.Expect(len(f.active())).To(BeNumerically("<=", 1), "active holders")
		}
		for i := 1; i < len(f.tokens); i++ {
			if f.holders[i] == f.holders[i-1] {
				g.Expect(f.tokens[i]).To(BeNumerically(">=", f.tokens[i-1]))
				continue
			}
			g.Expect(f.tokens[i]).To(BeNumerically(">", f.tokens[i-1]))
		}
	})
}

// ignoreHeld returns an error unless it means that the lease has another holder.
func ignoreHeld(err error) error {
	if errors.Is(err, lease.ErrHeld) {
		return nil
	}
	return err
}
