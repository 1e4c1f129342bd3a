package antientropy

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/timeline"
)

const urgentKind objectapi.Kind = "urgent"

// testNode is one copy behind a server on loopback.
type testNode struct {
	copied  *replica.Replica
	syncer  *Syncer
	address string

	// whole is set for a node that has listed all kinds, or has become whole.
	whole atomic.Bool

	// exchangeDelay is how long the node takes for an exchange.
	exchangeDelay time.Duration

	// isOld is set for a node whose build compares no parts of buckets.
	isOld bool

	mu sync.Mutex
	// largestCall is the size of the largest request or response of a call to it.
	largestCall int
	// answered is how many bytes it has sent in responses, and asked how many it was sent in requests.
	answered, asked int
}

// handle answers a call and notes its size.
func (n *testNode) handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	if request.GetExchangeObjects() != nil {
		time.Sleep(n.exchangeDelay)
	}
	response, err := n.syncer.Handle(ctx, request)
	if versions := response.GetReplicaVersions(); versions != nil && n.isOld {
		versions.ComparesParts = false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answered += proto.Size(response)
	n.asked += proto.Size(request)
	n.largestCall = max(n.largestCall, proto.Size(request), proto.Size(response))
	return response, err
}

func newTestNode(t testing.TB) *testNode {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	n := &testNode{copied: replica.New(urgentKind, func(replica.Change) {})}
	client := peer.NewClient("test", func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}, clock)
	n.syncer = New(Options{
		Replica: n.copied, Peers: func() []string { return nil }, Client: client,
		Logger: slog.New(slog.DiscardHandler), CallTimeout: 10 * time.Second,
		Complete: n.whole.Load, OnComplete: func() { n.whole.Store(true) },
	})
	server := peer.NewServer(n.handle, clock)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	n.address = listener.Addr().String()
	n.syncer.options.Address = n.address
	t.Cleanup(func() {
		n.syncer.Close()
		client.Close()
		_ = listener.Close()
		server.Close()
		<-served
	})
	return n
}

// compare compares the copy with that of another node and makes them alike, as far as one
// comparison goes, with the long objects that it begins to fetch.
func (n *testNode) compare(ctx context.Context, address string) error {
	compared, err := n.syncer.compare(ctx, address)
	if err != nil {
		return err
	}
	err = n.syncer.exchangeAll(ctx, address, compared)
	n.syncer.background.Wait()
	return err
}

func (n *testNode) put(name string, version int64, size int) {
	n.copied.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
		Kind: "things", Name: name, Version: version, Spec: bytes.Repeat([]byte("x"), size),
	}})
}

// TestLargeCopiesBecomeAlike compares copies whose differences do not fit into one
// message, in both directions.
func TestLargeCopiesBecomeAlike(t *testing.T) {
	g := NewWithT(t)
	first, second := newTestNode(t), newTestNode(t)
	for i := range 40 {
		first.put(fmt.Sprintf("a%d", i), int64(i+1), 100<<10)
		second.put(fmt.Sprintf("b%d", i), int64(i+100), 100<<10)
	}
	first.put("both", 7, 10)
	second.put("both", 9, 20)
	rounds := 0
	for first.copied.Digest() != second.copied.Digest() {
		g.Expect(first.compare(context.Background(), second.address)).To(Succeed())
		second.syncer.background.Wait()
		rounds++
		g.Expect(rounds).To(BeNumerically("<=", 20))
	}
	g.Expect(first.copied.Live("things")).To(HaveLen(81))
	g.Expect(first.copied.Live("things")).To(Equal(second.copied.Live("things")))
}

// TestOneComparisonBringsTheUrgent joins an empty copy to one of a large site. The first
// comparison must bring the urgent object, no call may be so large that a slow link does
// not carry it in time, and repeated comparisons must bring the rest.
func TestOneComparisonBringsTheUrgent(t *testing.T) {
	const (
		others    = 3000
		otherSize = 250
		// slowestLink is the link of the smallest machines, in bytes a second.
		slowestLink = 10_000_000 / 8
	)
	g := NewWithT(t)
	full, joining := newTestNode(t), newTestNode(t)
	for i := range others {
		full.put(fmt.Sprintf("thing-%d", i), int64(i+1), otherSize)
	}
	full.copied.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{Kind: urgentKind, Name: "only", Version: 1}})

	g.Expect(joining.compare(t.Context(), full.address)).To(Succeed())
	g.Expect(joining.copied.Live(urgentKind)).To(HaveLen(1))
	for range replica.BucketCount / bucketsPerComparison {
		g.Expect(joining.compare(t.Context(), full.address)).To(Succeed())
	}
	g.Expect(joining.copied.Digest()).To(Equal(full.copied.Digest()))
	full.mu.Lock()
	defer full.mu.Unlock()
	g.Expect(time.Duration(full.largestCall) * time.Second / slowestLink).To(BeNumerically("<", defaultCallTimeout/2))
}

// TestACopyBecomesWholeByAWholeOne joins an empty copy to one that has listed all kinds, and
// to one that has not. Nobody may serve by a part of the back ends, nor two empty copies
// take each other for whole.
func TestACopyBecomesWholeByAWholeOne(t *testing.T) {
	g := NewWithT(t)
	partial, joining := newTestNode(t), newTestNode(t)
	g.Expect(joining.compare(t.Context(), partial.address)).To(Succeed())
	g.Expect(joining.whole.Load()).To(BeFalse(), "both are empty")
	for i := range 500 {
		partial.put(fmt.Sprintf("thing-%d", i), int64(i+1), 2000)
	}
	for joining.copied.Digest() != partial.copied.Digest() {
		g.Expect(joining.compare(t.Context(), partial.address)).To(Succeed())
	}
	g.Expect(joining.whole.Load()).To(BeFalse(), "the other one has listed nothing")

	whole, late := newTestNode(t), newTestNode(t)
	whole.whole.Store(true)
	for i := range 500 {
		whole.put(fmt.Sprintf("thing-%d", i), int64(i+1), 2000)
	}
	for !late.whole.Load() {
		g.Expect(late.compare(t.Context(), whole.address)).To(Succeed())
		if late.whole.Load() {
			g.Expect(late.copied.Digest()).To(Equal(whole.copied.Digest()))
		}
	}
	third := newTestNode(t)
	for !third.whole.Load() {
		g.Expect(third.compare(t.Context(), late.address)).To(Succeed(), "it passes on")
	}
}

// exchanged is how many bytes calls to a node had, in both directions.
func (n *testNode) exchanged() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked + n.answered
}

// bytesOfOneDifference returns how many bytes it takes to bring one change to a copy of so many objects.
func bytesOfOneDifference(t *testing.T, objects int, isOld bool) int {
	t.Helper()
	g := NewWithT(t)
	first, second := newTestNode(t), newTestNode(t)
	second.isOld = isOld
	for i := range objects {
		name := fmt.Sprintf("engine-%05d", i)
		first.put(name, int64(i+1), 200)
		second.put(name, int64(i+1), 200)
	}
	second.put("engine-00007", int64(objects+1), 200)
	g.Expect(first.compare(context.Background(), second.address)).To(Succeed())
	g.Expect(first.copied.Digest()).To(Equal(second.copied.Digest()))
	return second.exchanged()
}

// TestADifferenceCostsTheSameInALargeCopy counts the bytes of one change in copies of 1,000, 10,000 and
// 20,000 objects. With all versions of a bucket, each change of each of thousands of back ends cost each
// pair of nodes as many bytes as the bucket had objects.
func TestADifferenceCostsTheSameInALargeCopy(t *testing.T) {
	g := NewWithT(t)
	small, large, twice := bytesOfOneDifference(t, 1000, false), bytesOfOneDifference(t, 10_000, false), bytesOfOneDifference(t, 20_000, false)
	t.Logf("bytes of one change among 1,000, 10,000 and 20,000: %d, %d, %d", small, large, twice)
	g.Expect(large).To(BeNumerically("<", 2*small))
	g.Expect(twice).To(BeNumerically("<", large*3/2))
}

// TestAnOlderNodeIsComparedByBucket exchanges objects with a node whose build knows no parts.
func TestAnOlderNodeIsComparedByBucket(t *testing.T) {
	NewWithT(t).Expect(bytesOfOneDifference(t, 1000, true)).To(BeNumerically(">", bytesOfOneDifference(t, 1000, false)))
}

// TestAWholeCopyIsTakenOverAtOnce joins an empty copy to a whole one of 10,000 objects: one comparison
// brings all of them, in messages that are compressed together.
func TestAWholeCopyIsTakenOverAtOnce(t *testing.T) {
	const objects, size = 10_000, 200
	g := NewWithT(t)
	whole, joining := newTestNode(t), newTestNode(t)
	whole.whole.Store(true)
	for i := range objects {
		whole.put(fmt.Sprintf("engine-%05d", i), int64(i+1), size)
	}
	g.Expect(joining.compare(context.Background(), whole.address)).To(Succeed())
	g.Expect(joining.copied.Digest()).To(Equal(whole.copied.Digest()))
	g.Expect(joining.whole.Load()).To(BeTrue())
	g.Expect(whole.answered).To(BeNumerically("<", objects*size/2))
	g.Expect(whole.largestCall).To(BeNumerically("<", maxExchangedBytes+(16<<10)))
}
