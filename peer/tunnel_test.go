package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

// checkLeaks fails the test if goroutines remain after all cleanups that are registered later.
func checkLeaks(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
}

// tunnelPair starts a server that opens tunnels with a function, and returns a client and the server's address.
func tunnelPair(t *testing.T, open TunnelFunc) (client *Client, server *Server, address string) {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	server = NewServer(echo, clock)
	server.HandleTunnels(open)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	client = NewClient("caller", func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}, clock)
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close()
		server.Close()
		serving.Wait()
	})
	return client, server, listener.Addr().String()
}

// dialTunnel connects to a TCP address.
func dialTunnel(ctx context.Context, address string) (net.Conn, peerpb.TunnelState) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, peerpb.TunnelState_TUNNEL_STATE_REFUSED
	}
	return conn, peerpb.TunnelState_TUNNEL_STATE_OPEN
}

// serveBackend serves each connection to a new address with a function.
func serveBackend(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return listener.Addr().String()
}

func openTunnel(t *testing.T, client *Client, node, backend string) net.Conn {
	t.Helper()
	conn, state, err := client.OpenTunnel(context.Background(), node, backend)
	if err != nil || state != peerpb.TunnelState_TUNNEL_STATE_OPEN {
		t.Fatalf("tunnel: %v, %v", state, err)
	}
	return conn
}

// TestTunnelCarriesBytesBothWays echoes a megabyte through a tunnel.
func TestTunnelCarriesBytesBothWays(t *testing.T) {
	checkLeaks(t)
	g := NewWithT(t)
	backend := serveBackend(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(conn, conn)
		_ = conn.Close()
	})
	client, _, node := tunnelPair(t, dialTunnel)
	conn := openTunnel(t, client, node, backend)
	sent := make([]byte, 1<<20)
	_, _ = rand.Read(sent)
	go func() { _, _ = conn.Write(sent) }()
	received := make([]byte, len(sent))
	_, err := io.ReadFull(conn, received)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(sent, received)).To(BeTrue())
	g.Expect(conn.Close()).To(Succeed())
}

// TestResetDuringUploadThroughTunnelIsNoRegularEnd resets the connection to a backend while more is being written to it than it takes. It
// guards against a response that looks complete behind a tunnel because the write was told of the reset, and not the read.
func TestResetDuringUploadThroughTunnelIsNoRegularEnd(t *testing.T) {
	checkLeaks(t)
	g := NewWithT(t)
	const response = "response"
	backend := serveBackend(t, func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte(response))
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	client, _, node := tunnelPair(t, dialTunnel)
	for range 30 {
		conn := openTunnel(t, client, node, backend)
		var upload sync.WaitGroup
		upload.Go(func() { _, _ = conn.Write(make([]byte, 16<<20)) })
		received, err := io.ReadAll(conn)
		g.Expect(string(received)).To(Equal(response))
		g.Expect(err).To(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
		upload.Wait()
	}
}

// TestCutTunnelDoesNotLookComplete guards against responses that are cut off behind a tunnel and look complete, because
// their end is the end of their connection.
func TestCutTunnelDoesNotLookComplete(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"closed": func(conn *net.TCPConn) { _ = conn.Close() },
		"reset": func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			checkLeaks(t)
			g := NewWithT(t)
			proceed := make(chan struct{})
			backend := serveBackend(t, func(conn *net.TCPConn) {
				_, _ = conn.Write([]byte("half"))
				<-proceed
				end(conn)
			})
			client, _, node := tunnelPair(t, dialTunnel)
			conn := openTunnel(t, client, node, backend)
			received := make([]byte, 4)
			_, err := io.ReadFull(conn, received)
			g.Expect(err).NotTo(HaveOccurred())
			close(proceed)
			_, err = bufio.NewReader(conn).ReadByte()
			g.Expect(errors.Is(err, io.EOF)).To(Equal(name == "closed"), "%v", err)
			g.Expect(err).To(HaveOccurred())
			_ = conn.Close()
		})
	}
}

// TestLostNodeCutsTunnel ends the node of a tunnel within a response.
func TestLostNodeCutsTunnel(t *testing.T) {
	checkLeaks(t)
	g := NewWithT(t)
	ended := make(chan struct{})
	backend := serveBackend(t, func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("half"))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		close(ended)
	})
	client, server, node := tunnelPair(t, dialTunnel)
	conn := openTunnel(t, client, node, backend)
	_, err := io.ReadFull(conn, make([]byte, 4))
	g.Expect(err).NotTo(HaveOccurred())
	server.Close()
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, io.EOF)).To(BeFalse())
	g.Eventually(ended).Should(BeClosed())
	_ = conn.Close()
}

// TestClosedTunnelReachesBackend closes a tunnel while the backend works: the backend must notice.
func TestClosedTunnelReachesBackend(t *testing.T) {
	checkLeaks(t)
	g := NewWithT(t)
	ended := make(chan struct{})
	backend := serveBackend(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		close(ended)
	})
	client, _, node := tunnelPair(t, dialTunnel)
	conn := openTunnel(t, client, node, backend)
	_, err := conn.Write([]byte("request"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(ended).Should(BeClosed())
}

// TestTunnelGivenUpIsClosed gives up waiting for a tunnel that then opens: the connection to the backend must be closed.
func TestTunnelGivenUpIsClosed(t *testing.T) {
	checkLeaks(t)
	g := NewWithT(t)
	var open atomic.Int64
	proceed, ended := make(chan struct{}), make(chan struct{})
	client, _, node := tunnelPair(t, func(context.Context, string) (net.Conn, peerpb.TunnelState) {
		<-proceed
		near, far := net.Pipe()
		open.Add(1)
		go func() {
			_, _ = io.Copy(io.Discard, far)
			_ = far.Close()
			open.Add(-1)
			close(ended)
		}()
		return near, peerpb.TunnelState_TUNNEL_STATE_OPEN
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	conn, _, err := client.OpenTunnel(ctx, node, "10.0.0.1:80")
	g.Expect(conn).To(BeNil())
	g.Expect(err).To(HaveOccurred())
	close(proceed)
	g.Eventually(ended).Should(BeClosed())
	g.Expect(open.Load()).To(BeZero())
}

// TestTunnelToMissingBackend checks the result where nothing listens at the address.
func TestTunnelToMissingBackend(t *testing.T) {
	checkLeaks(t)
	g := NewWithT(t)
	client, _, node := tunnelPair(t, dialTunnel)
	conn, state, err := client.OpenTunnel(context.Background(), node, "127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn).To(BeNil())
	g.Expect(state).To(Equal(peerpb.TunnelState_TUNNEL_STATE_REFUSED))
}

// TestNodeWithoutTunnels asks a node of a build that opens no tunnels.
func TestNodeWithoutTunnels(t *testing.T) {
	checkLeaks(t)
	g := NewWithT(t)
	client, _, node := tunnelPair(t, nil)
	conn, _, err := client.OpenTunnel(context.Background(), node, "127.0.0.1:1")
	g.Expect(conn).To(BeNil())
	g.Expect(err).To(HaveOccurred())
}

// BenchmarkTunnelExchange sends a request of 1 KB and receives as much through an open tunnel.
func BenchmarkTunnelExchange(b *testing.B) {
	client, address, closeAll := benchmarkTunnel(b)
	defer closeAll()
	conn, _, err := client.OpenTunnel(context.Background(), address, echoBackend)
	if err != nil {
		b.Fatal(err)
	}
	message := make([]byte, 1<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, message); err != nil {
			b.Fatal(err)
		}
	}
	_ = conn.Close()
}

// BenchmarkTunnelOpen opens and closes tunnels.
func BenchmarkTunnelOpen(b *testing.B) {
	client, address, closeAll := benchmarkTunnel(b)
	defer closeAll()
	b.ReportAllocs()
	for b.Loop() {
		conn, _, err := client.OpenTunnel(context.Background(), address, echoBackend)
		if err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
	}
}

// echoBackend is the address of a backend in memory that echoes what it receives.
const echoBackend = "10.0.0.1:80"

// benchmarkTunnel starts a server whose backends echo, and a client.
func benchmarkTunnel(b *testing.B) (client *Client, address string, closeAll func()) {
	clock := timeline.NewClock(time.Now)
	server := NewServer(echo, clock)
	server.HandleTunnels(func(context.Context, string) (net.Conn, peerpb.TunnelState) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.Copy(far, far)
			_ = far.Close()
		}()
		return near, peerpb.TunnelState_TUNNEL_STATE_OPEN
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	client = NewClient("caller", func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}, clock)
	return client, listener.Addr().String(), func() {
		client.Close()
		_ = listener.Close()
		server.Close()
	}
}
