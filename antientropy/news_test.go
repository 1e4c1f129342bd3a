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

// change applies an object and tells the syncer, as the node's router does.
func (n *testNode) change(name string, version int64) {
	record := replica.Record{Object: objectapi.Object{Kind: "things", Name: name, Version: version, Spec: []byte(`{"state":"ready"}`)}}
	n.copied.Apply(replica.SourceStore, record)
	n.syncer.Changed(replica.Change{Record: record, Source: replica.SourceStore})
}

func (n *testNode) has(name string) func() bool {
	return func() bool { return n.copied.Version(replica.Key{Kind: "things", Name: name}) > 0 }
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

// TestChangesAreBroughtWithoutAComparison counts the bytes of one change to a node whose copy differs in
// thousands of others: only the change is brought.
func TestChangesAreBroughtWithoutAComparison(t *testing.T) {
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

// TestASlowNodeHoldsUpNoNews brings changes to two nodes, one of which takes a second for each. The other one
// hears of all of them meanwhile.
func TestASlowNodeHoldsUpNoNews(t *testing.T) {
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
	g.Expect(time.Since(began)).To(BeNumerically("<", slow.exchangeDelay), "as long as one change takes to the slow node")
	g.Eventually(slow.has("changed-2"), 10*time.Second).Should(BeTrue())
}

// TestManyChangesAreCompared notes more changes than are kept.
func TestManyChangesAreCompared(t *testing.T) {
	g := NewWithT(t)
	var fresh freshObjects
	for i := range maxFresh + 1 {
		fresh.add(replica.Key{Kind: "things", Name: strconv.Itoa(i)}, i%2 == 0)
	}
	all, fromStore, areAll := fresh.take()
	g.Expect(all).To(HaveLen(maxFresh))
	g.Expect(fromStore).To(HaveLen(maxFresh / 2))
	g.Expect(areAll).To(BeFalse())
	all, _, areAll = fresh.take()
	g.Expect(all).To(BeEmpty())
	g.Expect(areAll).To(BeTrue())
}
