package antientropy

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/timeline"
)

// slowConn sends so many bytes in a second.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Write(content []byte) (int, error) {
	time.Sleep(time.Duration(len(content)) * time.Second / time.Duration(c.bytesPerSecond))
	return c.Conn.Write(content)
}

// pipeListener hands out the ends of pipes.
type pipeListener struct {
	ends   chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case end := <-l.ends:
		return end, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

const (
	urgentKind objectapi.Kind = "urgent"
	largeFleet                = 3000
)

// largeCopy holds an urgent object and as many others as a large site has.
func largeCopy(urgentVersion int64, others int) *replica.Replica {
	copied := replica.New(func(replica.Change) {})
	records := []replica.Record{{Object: objectapi.Object{Kind: urgentKind, Name: "head", Version: urgentVersion, Spec: []byte("{}")}}}
	for i := range others {
		records = append(records, replica.Record{Object: objectapi.Object{
			Kind: "things", Name: fmt.Sprintf("thing-%d", i), Version: urgentVersion + int64(i) + 1, Spec: bytes.Repeat([]byte("x"), 400),
		}})
	}
	copied.Apply(replica.SourceStore, records...)
	return copied
}

// TestSlowLinkBringsTheUrgentFirst joins an empty copy to a large one by a link over
// which one call does not bring all of it in time. The first comparison must bring the
// urgent object, and each one some of the rest.
func TestSlowLinkBringsTheUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		clock := timeline.NewClock(time.Now)
		listener := pipeListener{ends: make(chan net.Conn), closed: make(chan struct{})}
		full := New(Options{Replica: largeCopy(10, largeFleet), First: urgentKind, Logger: slog.New(slog.DiscardHandler)})
		server := peer.NewServer(full.Handle, clock)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		client := peer.NewClient("test", func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			listener.ends <- slowConn{far, 1 << 20}
			return slowConn{near, 1 << 20}, nil
		}, clock)
		defer func() {
			client.Close()
			_ = listener.Close()
			server.Close()
			<-served
		}()
		joining := New(Options{Replica: largeCopy(1, 0), First: urgentKind, Client: client, Logger: slog.New(slog.DiscardHandler)})

		_ = joining.compare(t.Context(), "full")
		g.Expect(joining.options.Replica.Live(urgentKind)[0].Version).To(BeEquivalentTo(10))
		for range 20 {
			_ = joining.compare(t.Context(), "full")
		}
		g.Expect(joining.options.Replica.Live("things")).To(HaveLen(largeFleet))
	})
}
