package antientropy

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestTheAgeOfACopyGrowsOnItsWay has a node compare with one that follows the store, and with one that has heard of
// such a node a while ago.
func TestTheAgeOfACopyGrowsOnItsWay(t *testing.T) {
	const heard = 5 * time.Second
	for name, test := range map[string]struct {
		follows bool
		age     time.Duration
	}{
		"from a node that follows the store": {true, 0},
		"from a node that heard of one":      {false, heard},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			teller, listener := newTestNode(t), newTestNode(t)
			teller.syncer.options.WatchesStore = func() bool { return test.follows }
			teller.syncer.agreedAt = time.Now().Add(-heard)
			listener.syncer.agreedAt = time.Now().Add(-time.Hour)
			listener.syncer.syncWith(context.Background(), teller.address)
			g.Expect(listener.syncer.SyncStatus().UrgentAge).To(BeNumerically("~", test.age, time.Second))
		})
	}
}
