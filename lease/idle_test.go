package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/lease"
	"github.com/reelrun/reelrun/sim/platformsim"
)

// TestExpiredHolderMarksLeaseOfItsSuccessorIdle has a holder mark the lease as idle after another node has taken it, and
// after it has read that node's record. A third node could then take the lease at once, beside its holder.
func TestExpiredHolderMarksLeaseOfItsSuccessorIdle(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	store := platformsim.NewStore(platformsim.Options{})
	newLease := func(holder string) *lease.Lease {
		return lease.New(lease.Options{Store: store, Name: "l", Holder: holder, Now: func() time.Time { return now }})
	}
	expired, successor, third := newLease("a"), newLease("b"), newLease("c")
	_, err := expired.Acquire(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = successor.Acquire(t.Context())
	g.Expect(err).To(MatchError(lease.ErrHeld))
	now = now.Add(11 * time.Second)
	_, err = successor.Acquire(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = expired.Acquire(t.Context())
	g.Expect(err).To(MatchError(lease.ErrHeld))
	g.Expect(expired.MarkIdle(t.Context())).To(Succeed())
	_, err = third.Acquire(t.Context())
	g.Expect(err).To(MatchError(lease.ErrHeld))
}
