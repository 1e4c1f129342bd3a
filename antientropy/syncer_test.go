package antientropy

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/timeline"
)

// testNode is one copy behind a server on loopback.
type testNode struct {
	copied  *replica.Replica
	syncer  *Syncer
	address string
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	n := &testNode{copied: replica.New(func(replica.Change) {})}
	client := peer.NewClient("test", func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}, clock)
	n.syncer = New(Options{
		Replica: n.copied, Peers: func() []string { return nil }, Client: client,
		Logger: slog.New(slog.DiscardHandler), CallTimeout: 10 * time.Second,
	})
	server := peer.NewServer(n.syncer.Handle, clock)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	n.address = listener.Addr().String()
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close()
		server.Close()
		<-served
	})
	return n
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
		g.Expect(first.syncer.compare(context.Background(), second.address)).To(Succeed())
		rounds++
		g.Expect(rounds).To(BeNumerically("<=", 20))
	}
	g.Expect(first.copied.Live("things")).To(HaveLen(81))
	g.Expect(first.copied.Live("things")).To(Equal(second.copied.Live("things")))
}
