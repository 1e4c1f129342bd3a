package peer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

// pair starts a server on loopback and returns a client and the server's address.
func pair(t *testing.T, handler Handler) (*Client, string) {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	server := NewServer(handler, clock)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := NewClient("caller", func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}, clock)
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close()
		server.Close()
		<-served
		goleak.VerifyNone(t)
	})
	return client, listener.Addr().String()
}

func fetchPart(digest string) *peerpb.Request {
	return &peerpb.Request{Body: &peerpb.Request_FetchPart{FetchPart: &peerpb.FetchPart{Digest: digest}}}
}

func echo(_ context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	data := []byte(request.GetFetchPart().GetDigest())
	return &peerpb.Response{Body: &peerpb.Response_Content{Content: &peerpb.Content{Data: data}}}, nil
}

func TestCallsShareASession(t *testing.T) {
	g := NewWithT(t)
	client, address := pair(t, echo)
	for range 50 {
		response, err := client.Call(context.Background(), address, fetchPart("x"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.GetContent().GetData())).To(Equal("x"))
	}
	g.Expect(client.lookup(sessionKey{address, LaneControl}).mux.NumStreams()).To(Equal(1))
}

// countingConn counts the writes that reach the network.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// TestCallIsOneWrite counts the writes of calls on an open stream, small and large:
// each must be one packet or record, not one for each part of a frame.
func TestCallIsOneWrite(t *testing.T) {
	g := NewWithT(t)
	client, address := pair(t, echo)
	var writes atomic.Int64
	client.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countingConn{conn, &writes}, err
	}
	_, err := client.Call(context.Background(), address, fetchPart("first"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, digest := range []string{"x", strings.Repeat("y", 3*maxKeptFrame)} {
		writes.Store(0)
		response, err := client.Call(context.Background(), address, fetchPart(digest))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response.GetContent().GetData())).To(Equal(digest))
		g.Expect(writes.Load()).To(BeEquivalentTo(1))
	}
}

func TestTypedErrorCrossesTheWire(t *testing.T) {
	g := NewWithT(t)
	sent := api.NewError(http.StatusServiceUnavailable, api.CodeNoCapacity, api.OutcomeNotRun, "full").WithRetryAfter(1500 * time.Millisecond)
	client, address := pair(t, func(context.Context, *peerpb.Request) (*peerpb.Response, error) { return nil, sent })
	_, err := client.Call(context.Background(), address, fetchPart("x"))
	var received *api.Error
	g.Expect(errors.As(err, &received)).To(BeTrue())
	g.Expect(received).To(Equal(sent))
}

func TestUntypedErrorHidesItsText(t *testing.T) {
	g := NewWithT(t)
	client, address := pair(t, func(context.Context, *peerpb.Request) (*peerpb.Response, error) {
		return nil, errors.New("secret of another tenant")
	})
	_, err := client.Call(context.Background(), address, fetchPart("x"))
	g.Expect(api.IsCode(err, api.CodeInternal)).To(BeTrue())
	g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
}

func TestCancelledCallLeavesTheSessionUsable(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	client, address := pair(t, func(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
		if request.GetFetchPart().GetDigest() == "slow" {
			<-release
		}
		return echo(ctx, request)
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, address, fetchPart("slow"))
		failed <- err
	}()
	g.Eventually(func() *clientSession { return client.lookup(sessionKey{address, LaneControl}) }).ShouldNot(BeNil())
	cancel()
	g.Expect(<-failed).To(HaveOccurred())
	_, err := client.Call(context.Background(), address, fetchPart("quick"))
	g.Expect(err).NotTo(HaveOccurred())
	close(release)
}

func TestUnreachableNodeIsNotSent(t *testing.T) {
	g := NewWithT(t)
	client, _ := pair(t, echo)
	_, err := client.Call(context.Background(), "127.0.0.1:1", fetchPart("x"))
	g.Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
}

func TestTooLargeMessageIsRejected(t *testing.T) {
	g := NewWithT(t)
	client, address := pair(t, echo)
	_, err := client.Call(context.Background(), address, fetchPart(strings.Repeat("x", MaxMessageBytes)))
	g.Expect(errors.Is(err, ErrMessageTooLarge)).To(BeTrue())
	var frame bytes.Buffer
	frame.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	err = readMessage(bufio.NewReader(&frame), &peerpb.Request{})
	g.Expect(errors.Is(err, ErrMessageTooLarge)).To(BeTrue())
}

// TestCloseWhileConnectionsArrive opens connections until the server is closed. It
// guards against a race between Close and a new connection, which is rare: in a
// server with this race, the race detector finds it in one of 2,000 rounds.
func TestCloseWhileConnectionsArrive(t *testing.T) {
	for range 50 {
		server := NewServer(echo, timeline.NewClock(time.Now))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		dialed := make(chan struct{})
		go func() {
			defer close(dialed)
			for {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					return
				}
				_ = conn.Close()
			}
		}()
		server.Close()
		_ = listener.Close()
		<-served
		<-dialed
	}
}

// TestInvalidConnectionIsDropped sends bytes that are not yamux.
func TestInvalidConnectionIsDropped(t *testing.T) {
	g := NewWithT(t)
	client, address := pair(t, echo)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 64)
	for err == nil {
		_, err = conn.Read(buffer)
	}
	g.Expect(conn.Close()).To(Succeed())
	_, err = client.Call(context.Background(), address, fetchPart("x"))
	g.Expect(err).NotTo(HaveOccurred())
}

// FuzzReadMessage feeds invalid frames to the decoder, which must return a message
// or an error.
func FuzzReadMessage(f *testing.F) {
	var valid bytes.Buffer
	if err := writeMessage(&valid, fetchPart("digest")); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:valid.Len()-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		message := &peerpb.Request{}
		if err := readMessage(bufio.NewReader(bytes.NewReader(data)), message); err != nil {
			return
		}
		var again bytes.Buffer
		if err := writeMessage(&again, message); err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
	})
}

// TestUnusedSessionsAreClosed closes sessions without calls, keeps one with a call
// in progress, and dials again.
func TestUnusedSessionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	client, address := pair(t, func(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
		if request.GetFetchPart().GetDigest() == "held" {
			close(entered)
			<-leave
		}
		return echo(ctx, request)
	})
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), address, fetchPart("held"))
		result <- err
	}()
	<-entered
	client.CloseIdle(0)
	close(leave)
	g.Expect(<-result).To(Succeed(), "a session with a call in progress stays open")
	client.CloseIdle(time.Hour)
	g.Expect(client.lookup(sessionKey{address, LaneControl})).NotTo(BeNil(), "a recently used session stays open")
	first := client.lookup(sessionKey{address, LaneControl})
	client.CloseIdle(0)
	g.Expect(first.mux.IsClosed()).To(BeTrue())
	_, err := client.Call(context.Background(), address, fetchPart("x"))
	g.Expect(err).NotTo(HaveOccurred())
}
