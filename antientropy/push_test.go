package antientropy

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// change applies an object and notifies the syncer, as the node's router does.
func (n *testNode) change(name string, version int64) {
	record := replica.Record{Object: objectapi.Object{Kind: "things", Name: name, Version: version, Spec: []byte(`{"state":"ready"}`)}}
	n.replica.Apply(replica.SourceStore, record)
	n.syncer.Changed(replica.Change{Record: record, Source: replica.SourceStore})
}

func (n *testNode) has(name string) func() bool {
	return func() bool { return n.replica.Version(replica.Key{Kind: "things", Name: name}) > 0 }
}

// run runs the node's syncer until the test ends, with other nodes as its peers.
func (n *testNode) run(t *testing.T, peers ...*testNode) {
	t.Helper()
	addresses := make([]string, len(peers))
	for i, peer := range peers {
		addresses[i] = peer.address
	}
	n.syncer.options.Peers = func() []string { return addresses }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.syncer.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// TestChangesArePushedWithoutComparison counts the bytes of one change to a node whose replica differs in
// thousands of other objects: only the change must be sent.
func TestChangesArePushedWithoutComparison(t *testing.T) {
	g := NewWithT(t)
	first, second := newTestNode(t), newTestNode(t)
	for i := range 5000 {
		first.put(fmt.Sprintf("other-%d", i), int64(i+1), 200)
	}
	first.syncer.options.Interval = time.Hour
	first.run(t, second)
	first.change("changed", 9000)
	g.Eventually(second.has("changed"), 5*time.Second).Should(BeTrue())
	g.Expect(second.exchanged()).To(BeNumerically("<", 300))
}

// TestSlowNodeDoesNotDelayUpdates pushes changes to two nodes, one of which takes a second for each. The other
// one must receive all of them within that second.
func TestSlowNodeDoesNotDelayUpdates(t *testing.T) {
	g := NewWithT(t)
	first, slow, other := newTestNode(t), newTestNode(t), newTestNode(t)
	slow.exchangeDelay = time.Second
	first.run(t, slow, other)
	began := time.Now()
	for i := range 3 {
		name := fmt.Sprintf("changed-%d", i)
		first.change(name, int64(i+1))
		g.Eventually(other.has(name), 5*time.Second, time.Millisecond).Should(BeTrue())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", slow.exchangeDelay), "pushes to the slow node delay the other one")
	g.Eventually(slow.has("changed-2"), 10*time.Second).Should(BeTrue())
}

// TestPendingUpdatesAreBounded adds one change more than are kept: take must report that some were left out, so that
// replicas are compared instead.
func TestPendingUpdatesAreBounded(t *testing.T) {
	g := NewWithT(t)
	var pending pendingUpdates
	for i := range maxPending + 1 {
		pending.add(replica.Key{Kind: "things", Name: strconv.Itoa(i)}, i%2 == 0)
	}
	all, fromStore, isComplete := pending.take()
	g.Expect(all).To(HaveLen(maxPending))
	g.Expect(fromStore).To(HaveLen(maxPending / 2))
	g.Expect(isComplete).To(BeFalse())
	all, _, isComplete = pending.take()
	g.Expect(all).To(BeEmpty())
	g.Expect(isComplete).To(BeTrue())
}
