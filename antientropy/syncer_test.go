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

// testNode is one replica behind a server on loopback.
type testNode struct {
	replica *replica.Replica
	syncer  *Syncer
	address string

	// complete is set for a node that has listed all kinds, or has become complete.
	complete atomic.Bool

	// exchangeDelay is how long the node takes for an exchange.
	exchangeDelay time.Duration

	// isOld is set for a node whose build cannot compare parts of buckets.
	isOld bool

	mu sync.Mutex
	// largestCall is the size of the largest request or response of a call to it.
	largestCall int
	// responseBytes is the number of bytes that it has sent in responses, and requestBytes the number that it has
	// received in requests.
	responseBytes, requestBytes int
}

// handle answers a call and records its size.
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
	n.responseBytes += proto.Size(response)
	n.requestBytes += proto.Size(request)
	n.largestCall = max(n.largestCall, proto.Size(request), proto.Size(response))
	return response, err
}

func newTestNode(t testing.TB) *testNode {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	n := &testNode{replica: replica.New(urgentKind, func(replica.Change) {})}
	client := peer.NewClient("test", func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}, clock)
	n.syncer = New(Options{
		Replica: n.replica, Peers: func() []string { return nil }, Client: client,
		Logger: slog.New(slog.DiscardHandler), CallTimeout: 10 * time.Second,
		Complete: n.complete.Load, OnComplete: func() { n.complete.Store(true) },
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

// compare compares the replica with that of another node once and reconciles the buckets that this covers,
// including the chunked objects that must be fetched.
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
	n.replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
		Kind: "things", Name: name, Version: version, Spec: bytes.Repeat([]byte("x"), size),
	}})
}

// TestLargeReplicasConverge compares replicas whose differences do not fit into one message, in both
// directions.
func TestLargeReplicasConverge(t *testing.T) {
	g := NewWithT(t)
	first, second := newTestNode(t), newTestNode(t)
	for i := range 40 {
		first.put(fmt.Sprintf("a%d", i), int64(i+1), 100<<10)
		second.put(fmt.Sprintf("b%d", i), int64(i+100), 100<<10)
	}
	first.put("both", 7, 10)
	second.put("both", 9, 20)
	rounds := 0
	for first.replica.Digest() != second.replica.Digest() {
		g.Expect(first.compare(context.Background(), second.address)).To(Succeed())
		second.syncer.background.Wait()
		rounds++
		g.Expect(rounds).To(BeNumerically("<=", 20))
	}
	g.Expect(first.replica.Live("things")).To(HaveLen(81))
	g.Expect(first.replica.Live("things")).To(Equal(second.replica.Live("things")))
}

// TestFirstComparisonTransfersUrgentObjects joins a node with an empty replica to one of a large site. The
// first comparison must transfer the urgent object, no call may be too large for a slow link to carry it in
// time, and repeated comparisons must transfer the rest.
func TestFirstComparisonTransfersUrgentObjects(t *testing.T) {
	const (
		others    = 3000
		otherSize = 250
		// slowestLink is the bandwidth of the smallest machines, in bytes per second.
		slowestLink = 10_000_000 / 8
	)
	g := NewWithT(t)
	full, joining := newTestNode(t), newTestNode(t)
	for i := range others {
		full.put(fmt.Sprintf("thing-%d", i), int64(i+1), otherSize)
	}
	full.replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{Kind: urgentKind, Name: "only", Version: 1}})

	g.Expect(joining.compare(t.Context(), full.address)).To(Succeed())
	g.Expect(joining.replica.Live(urgentKind)).To(HaveLen(1))
	for range replica.BucketCount / bucketsPerComparison {
		g.Expect(joining.compare(t.Context(), full.address)).To(Succeed())
	}
	g.Expect(joining.replica.Digest()).To(Equal(full.replica.Digest()))
	full.mu.Lock()
	defer full.mu.Unlock()
	g.Expect(time.Duration(full.largestCall) * time.Second / slowestLink).To(BeNumerically("<", defaultCallTimeout/2))
}

// TestReplicaBecomesCompleteFromCompleteOne joins an empty replica to one that has listed all kinds, and to one
// that has not. A node must not serve with only a part of the backends, and two empty replicas must not
// consider each other complete.
func TestReplicaBecomesCompleteFromCompleteOne(t *testing.T) {
	g := NewWithT(t)
	partial, joining := newTestNode(t), newTestNode(t)
	g.Expect(joining.compare(t.Context(), partial.address)).To(Succeed())
	g.Expect(joining.complete.Load()).To(BeFalse(), "both are empty")
	for i := range 500 {
		partial.put(fmt.Sprintf("thing-%d", i), int64(i+1), 2000)
	}
	for joining.replica.Digest() != partial.replica.Digest() {
		g.Expect(joining.compare(t.Context(), partial.address)).To(Succeed())
	}
	g.Expect(joining.complete.Load()).To(BeFalse(), "the other one has listed nothing")

	complete, late := newTestNode(t), newTestNode(t)
	complete.complete.Store(true)
	for i := range 500 {
		complete.put(fmt.Sprintf("thing-%d", i), int64(i+1), 2000)
	}
	for !late.complete.Load() {
		g.Expect(late.compare(t.Context(), complete.address)).To(Succeed())
		if late.complete.Load() {
			g.Expect(late.replica.Digest()).To(Equal(complete.replica.Digest()))
		}
	}
	third := newTestNode(t)
	for !third.complete.Load() {
		g.Expect(third.compare(t.Context(), late.address)).To(Succeed(), "a replica that has become complete completes others")
	}
}

// exchanged returns the number of bytes of all calls to a node, in both directions.
func (n *testNode) exchanged() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requestBytes + n.responseBytes
}

// bytesOfOneDifference returns the number of bytes needed to transfer one change to a replica of this many
// objects.
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
	g.Expect(first.replica.Digest()).To(Equal(second.replica.Digest()))
	return second.exchanged()
}

// TestDifferenceCostDoesNotGrowWithReplica counts the bytes of one change in replicas of 1,000, 10,000 and
// 20,000 objects. If all versions of a bucket were sent, each change of one of thousands of backends would cost
// each pair of nodes a number of bytes that grows with the objects of the bucket.
func TestDifferenceCostDoesNotGrowWithReplica(t *testing.T) {
	g := NewWithT(t)
	small, large, largest := bytesOfOneDifference(t, 1000, false), bytesOfOneDifference(t, 10_000, false), bytesOfOneDifference(t, 20_000, false)
	t.Logf("bytes of one change among 1,000, 10,000 and 20,000: %d, %d, %d", small, large, largest)
	g.Expect(large).To(BeNumerically("<", 2*small))
	g.Expect(largest).To(BeNumerically("<", large*3/2))
}

// TestOlderNodesCompareWholeBuckets exchanges objects with a node whose build does not know parts.
func TestOlderNodesCompareWholeBuckets(t *testing.T) {
	NewWithT(t).Expect(bytesOfOneDifference(t, 1000, true)).To(BeNumerically(">", bytesOfOneDifference(t, 1000, false)))
}

// TestCompleteReplicaIsTakenOverAtOnce joins an empty replica to a complete one of 10,000 objects: one
// comparison transfers all of them, in messages that are compressed together.
func TestCompleteReplicaIsTakenOverAtOnce(t *testing.T) {
	const objects, size = 10_000, 200
	g := NewWithT(t)
	complete, joining := newTestNode(t), newTestNode(t)
	complete.complete.Store(true)
	for i := range objects {
		complete.put(fmt.Sprintf("engine-%05d", i), int64(i+1), size)
	}
	g.Expect(joining.compare(context.Background(), complete.address)).To(Succeed())
	g.Expect(joining.replica.Digest()).To(Equal(complete.replica.Digest()))
	g.Expect(joining.complete.Load()).To(BeTrue())
	g.Expect(complete.responseBytes).To(BeNumerically("<", objects*size/2))
	g.Expect(complete.largestCall).To(BeNumerically("<", maxExchangedBytes+(16<<10)))
}
