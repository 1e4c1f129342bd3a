package connectionlimit_test

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/connectionlimit"
)

// fakeConn is a connection that records whether it is closed.
type fakeConn struct {
	net.Conn
	closed bool
}

// Close implements net.Conn.
func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	g := NewWithT(t)
	closedIdle := 0
	limit := connectionlimit.New(2, func(idle bool) {
		g.Expect(idle).To(BeTrue())
		closedIdle++
	})
	first, second, third := &fakeConn{}, &fakeConn{}, &fakeConn{}
	for _, conn := range []*fakeConn{first, second} {
		limit.Track(conn, http.StateNew)
		limit.Track(conn, http.StateActive)
		limit.Track(conn, http.StateIdle)
	}
	limit.Track(first, http.StateActive)
	limit.Track(first, http.StateIdle)
	limit.Track(third, http.StateNew)
	g.Expect(second.closed).To(BeTrue(), "it has been idle for longest")
	g.Expect(first.closed || third.closed).To(BeFalse())
	g.Expect(closedIdle).To(Equal(1))
	g.Expect(limit.Open()).To(Equal(2))
}

// busyConn is a connection whose next request has begun to arrive, unknown to the server.
type busyConn struct{ fakeConn }

// CloseIdle closes nothing.
func (*busyConn) CloseIdle() bool { return false }

func TestConnectionWhoseRequestArrivesIsNotClosedAsIdle(t *testing.T) {
	g := NewWithT(t)
	var closed []bool
	limit := connectionlimit.New(2, func(idle bool) { closed = append(closed, idle) })
	busy, idle := &busyConn{}, &fakeConn{}
	for _, conn := range []net.Conn{busy, idle} {
		limit.Track(conn, http.StateNew)
		limit.Track(conn, http.StateActive)
		limit.Track(conn, http.StateIdle)
	}
	limit.Track(&fakeConn{}, http.StateNew)
	g.Expect(idle.closed).To(BeTrue(), "the next one is closed")
	excess := &fakeConn{}
	limit.Track(excess, http.StateNew)
	g.Expect(excess.closed).To(BeTrue(), "none is idle")
	g.Expect(busy.closed).To(BeFalse())
	g.Expect(closed).To(Equal([]bool{true, false}))
	limit.Track(busy, http.StateActive)
	limit.Track(busy, http.StateIdle)
	limit.Track(busy, http.StateClosed)
	g.Expect(limit.Open()).To(Equal(1))
}

func TestNewConnectionIsClosedIfNoneIsIdle(t *testing.T) {
	g := NewWithT(t)
	closedNew := 0
	limit := connectionlimit.New(1, func(idle bool) {
		g.Expect(idle).To(BeFalse())
		closedNew++
	})
	busy, excess := &fakeConn{}, &fakeConn{}
	limit.Track(busy, http.StateNew)
	limit.Track(busy, http.StateActive)
	limit.Track(excess, http.StateNew)
	g.Expect(excess.closed).To(BeTrue())
	g.Expect(busy.closed).To(BeFalse())
	limit.Track(excess, http.StateClosed)
	limit.Track(busy, http.StateClosed)
	g.Expect(limit.Open()).To(BeZero())
	g.Expect(closedNew).To(Equal(1))
}

// TestConnectionsAreBounded draws the states of connections: never are more open than allowed, and no active one is closed.
func TestConnectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 5).Draw(t, "most")
		limit := connectionlimit.New(most, func(bool) {})
		active := map[*fakeConn]bool{}
		var open []*fakeConn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "new") {
				conn := &fakeConn{}
				limit.Track(conn, http.StateNew)
				if !conn.closed {
					limit.Track(conn, http.StateActive)
					open, active[conn] = append(open, conn), true
				}
			} else {
				conn := rapid.SampledFrom(open).Draw(t, "conn")
				state := rapid.SampledFrom([]http.ConnState{http.StateActive, http.StateIdle, http.StateClosed}).Draw(t, "state")
				conn.closed = conn.closed || state == http.StateClosed
				limit.Track(conn, state)
				active[conn] = state == http.StateActive
			}
			var still []*fakeConn
			for _, conn := range open {
				if conn.closed && active[conn] {
					t.Fatal("an active connection was closed")
				}
				if !conn.closed {
					still = append(still, conn)
				}
			}
			open = still
			if limit.Open() > most || limit.Open() != len(open) {
				t.Fatalf("%d connections tracked, %d open, %d allowed", limit.Open(), len(open), most)
			}
		}
	})
}
