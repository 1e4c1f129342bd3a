package antientropy

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReportedAgeAccumulates compares with a node that watches the store, and with one that such a node last
// confirmed some seconds ago: the age must include these seconds.
func TestReportedAgeAccumulates(t *testing.T) {
	const sinceConfirmed = 5 * time.Second
	for name, test := range map[string]struct {
		watchesStore bool
		age          time.Duration
	}{
		"from a node that watches the store":    {true, 0},
		"from a node that was confirmed by one": {false, sinceConfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reporter, listener := newTestNode(t), newTestNode(t)
			reporter.syncer.options.WatchesStore = func() bool { return test.watchesStore }
			reporter.syncer.confirmedAt = time.Now().Add(-sinceConfirmed)
			listener.syncer.confirmedAt = time.Now().Add(-time.Hour)
			listener.syncer.syncWith(context.Background(), reporter.address)
			g.Expect(listener.syncer.SyncStatus().UrgentAge).To(BeNumerically("~", test.age, time.Second))
		})
	}
}
