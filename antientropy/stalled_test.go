package antientropy

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/sim/memnet"
	"github.com/reelrun/reelrun/timeline"
)

// maxHopTime is how long a change may take from one node to the next if a connection has stalled. The change has
// 3 s to reach all nodes, and takes three hops in the largest supported fleet, in which most nodes do not watch
// the store.
const maxHopTime = time.Second

// peerPair is a node and another one to which it pushes changes, in virtual time.
type peerPair struct {
	network *memnet.Network
	near    *replica.Replica
	far     *replica.Replica
	close   func()
}

const (
	nearHost = "10.0.0.1"
	farHost  = "10.0.0.2"
	peerPort = ":80"
)

func newPeerPair() *peerPair {
	pair := &peerPair{network: memnet.NewNetwork(memnet.NewLinkFilter())}
	clock := timeline.NewClock(time.Now)
	newSyncer := func(host string, changed func(replica.Change), peers ...string) (*replica.Replica, *Syncer, *peer.Client) {
		client := peer.NewClient(host, func(ctx context.Context, address string) (net.Conn, error) {
			return pair.network.Dial(ctx, host, address)
		}, clock)
		local := replica.New(urgentKind, changed)
		return local, New(Options{
			Replica: local, Peers: func() []string { return peers }, Client: client, Logger: slog.New(slog.DiscardHandler), Address: host + peerPort,
		}), client
	}
	var nearSyncer *Syncer
	near, created, nearClient := newSyncer(nearHost, func(change replica.Change) { nearSyncer.Changed(change) }, farHost+peerPort)
	nearSyncer = created
	far, farSyncer, farClient := newSyncer(farHost, func(replica.Change) {})
	pair.near, pair.far = near, far
	server := peer.NewServer(farSyncer.Handle, clock)
	listener := pair.network.Listen(farHost + peerPort)
	go func() { _ = server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		nearSyncer.Run(ctx)
	}()
	pair.close = func() {
		stop()
		<-ended
		farSyncer.Close()
		nearClient.Close()
		farClient.Close()
		_ = listener.Close()
		server.Close()
	}
	return pair
}

// change gives the near node a version, and returns how long it takes to arrive at the far one.
func (p *peerPair) change(version int64) time.Duration {
	const step = 10 * time.Millisecond
	began := time.Now()
	object := objectapi.Object{Kind: urgentKind, Name: "main", Version: version, Spec: []byte(`{}`)}
	p.near.Apply(replica.SourceStore, replica.Record{Object: object})
	for p.far.Version(replica.Key{Kind: urgentKind, Name: "main"}) < version && time.Since(began) < time.Minute {
		time.Sleep(step)
	}
	return time.Since(began)
}

// TestChangeArrivesDespiteStalledConnection stalls the connections to another node between two changes: they
// deliver nothing any more, but are not closed.
func TestChangeArrivesDespiteStalledConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		pair := newPeerPair()
		defer pair.close()
		g.Expect(pair.change(1)).To(BeNumerically("<", maxHopTime))
		for version := int64(2); version < 6; version++ {
			time.Sleep(3 * time.Second)
			g.Expect(pair.network.DropTraffic(func(memnet.Link) bool { return true })).To(BeNumerically(">", 0))
			took := pair.change(version)
			t.Logf("reached the next node after %v", took)
			g.Expect(took).To(BeNumerically("<", maxHopTime))
		}
	})
}
