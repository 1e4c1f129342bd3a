package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/resetconn"
)

// LaneTunnel carries tunnels to backends, whose bytes must not delay the calls between nodes.
const LaneTunnel Lane = "tunnel"

// tunnelChunkBytes bounds the data of one message in a tunnel. Each open tunnel holds a buffer of this size for each
// direction.
const tunnelChunkBytes = 8 << 10

// TunnelFunc connects to the backend at an address for another node. If the connection is nil, the state says why.
type TunnelFunc func(ctx context.Context, address string) (net.Conn, peerpb.TunnelState)

// OpenTunnel has the node at an address connect to a backend. The connection is nil if the state is not
// TUNNEL_STATE_OPEN.
func (c *Client) OpenTunnel(ctx context.Context, address, backend string) (net.Conn, peerpb.TunnelState, error) {
	key := sessionKey{address, LaneTunnel}
	session, err := c.session(ctx, key)
	if err != nil {
		return nil, peerpb.TunnelState_TUNNEL_STATE_UNSPECIFIED, errors.CombineErrors(ErrNotSent, err)
	}
	request := &peerpb.Request{
		Node: c.node, Stamp: uint64(c.clock.Now()),
		Body: &peerpb.Request_OpenTunnel{OpenTunnel: &peerpb.OpenTunnel{Address: backend}},
	}
	opened := make(chan openedTunnel, 1)
	go func() { opened <- session.openTunnel(ctx, request) }()
	select {
	case result := <-opened:
		if result.err != nil && session.mux.IsClosed() {
			c.drop(key, session)
		}
		return result.connection(), result.state, result.err
	case <-ctx.Done():
		go func() { (<-opened).close() }()
		return nil, peerpb.TunnelState_TUNNEL_STATE_UNSPECIFIED, ctx.Err()
	}
}

// openedTunnel is the result of opening a tunnel.
type openedTunnel struct {
	conn  *tunnelConn
	state peerpb.TunnelState
	err   error
}

// connection returns the connection, or a nil interface if there is none.
func (o openedTunnel) connection() net.Conn {
	if o.conn == nil {
		return nil
	}
	return o.conn
}

func (o openedTunnel) close() {
	if o.conn != nil {
		_ = o.conn.Close()
	}
}

// openTunnel opens a tunnel on a stream of its own.
func (s *clientSession) openTunnel(ctx context.Context, request *peerpb.Request) openedTunnel {
	end := s.beginCall()
	opened, err := s.mux.OpenStream()
	if err != nil {
		end()
		return openedTunnel{err: errors.Wrap(err, "open stream")}
	}
	used := newStream(opened)
	response, err := exchangeWithin(ctx, used, request)
	state := response.GetTunnelResult().GetState()
	switch {
	case err != nil:
	case response.GetFailure() != nil:
		err = errorOf(response.GetFailure())
	case state == peerpb.TunnelState_TUNNEL_STATE_UNSPECIFIED:
		err = errors.New("peer: response without a tunnel state")
	}
	if err != nil || state != peerpb.TunnelState_TUNNEL_STATE_OPEN {
		_ = used.Close()
		end()
		return openedTunnel{state: state, err: err}
	}
	s.noteResponse()
	return openedTunnel{conn: &tunnelConn{stream: used, end: end}, state: state}
}

// exchangeWithin sends a request and reads its response until the context ends.
func exchangeWithin(ctx context.Context, used *stream, request *peerpb.Request) (*peerpb.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = used.SetDeadline(time.Now()) })
	response, err := exchange(used, request)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	return response, err
}

// tunnelConn is a connection to a backend through another node.
type tunnelConn struct {
	*stream
	end  func()
	once sync.Once
	// unread is what has been received and not yet read, and readErr the error that follows it.
	unread  []byte
	readErr error
}

// Read implements net.Conn.
func (c *tunnelConn) Read(data []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		c.unread, c.readErr = readTunnel(c.stream)
	}
	n := copy(data, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *tunnelConn) Write(data []byte) (int, error) { return writeTunnel(c.stream, data) }

// Close implements net.Conn. It also ends a Read in progress.
func (c *tunnelConn) Close() error {
	c.once.Do(c.end)
	_ = c.SetDeadline(time.Now()) // Closing a yamux stream does not unblock a read; its deadline does.
	return c.stream.Close()
}

// readTunnel returns the next bytes of a tunnel. The error is io.EOF only if the other end was closed regularly.
// Otherwise a response whose end is the end of its connection would look complete.
func readTunnel(from *stream) ([]byte, error) {
	received := &peerpb.TunnelData{}
	err := readMessage(from.reader, received)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case received.GetEnd():
		return received.GetData(), io.EOF
	}
	return received.GetData(), nil
}

// writeTunnel sends bytes through a tunnel and returns how many were sent.
func writeTunnel(to io.Writer, data []byte) (int, error) {
	sent := 0
	for sent < len(data) {
		chunk := data[sent:min(len(data), sent+tunnelChunkBytes)]
		if err := writeMessage(to, &peerpb.TunnelData{Data: chunk}); err != nil {
			return sent, err
		}
		sent += len(chunk)
	}
	return sent, nil
}

// HandleTunnels sets the function that connects to backends for other nodes. Without one, tunnels are rejected. It must
// be called before Serve.
func (s *Server) HandleTunnels(open TunnelFunc) { s.openTunnel = open }

// serveTunnel answers a request for a tunnel, and passes the bytes of both directions on until either end is closed.
func (s *Server) serveTunnel(caller *stream, request *peerpb.Request) {
	opened, state := s.openTunnel(s.ctx, request.GetOpenTunnel().GetAddress())
	response := &peerpb.Response{
		Stamp: uint64(s.clock.Now()),
		Body:  &peerpb.Response_TunnelResult{TunnelResult: &peerpb.TunnelResult{State: state}},
	}
	if opened != nil {
		defer func() { _ = opened.Close() }()
	}
	if err := writeMessage(caller, response); err != nil || opened == nil {
		return
	}
	conn := resetconn.New(opened)
	closeBoth := func() {
		_ = conn.Close()
		_ = caller.SetDeadline(time.Now())
		_ = caller.Close()
	}
	var directions sync.WaitGroup
	directions.Go(func() {
		defer closeBoth()
		passToBackend(conn, caller)
	})
	directions.Go(func() {
		defer closeBoth()
		passToCaller(caller, conn)
	})
	directions.Wait()
}

// passToBackend passes bytes on to a backend until either end is closed.
func passToBackend(conn net.Conn, caller *stream) {
	for {
		data, err := readTunnel(caller)
		if len(data) > 0 {
			if _, writeErr := conn.Write(data); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passToCaller passes bytes on to the calling node until either end is closed. It marks the end if the backend has
// closed its connection regularly.
func passToCaller(caller *stream, conn net.Conn) {
	buffer := make([]byte, tunnelChunkBytes)
	for {
		n, err := conn.Read(buffer)
		if _, writeErr := writeTunnel(caller, buffer[:n]); writeErr != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = writeMessage(caller, &peerpb.TunnelData{End: true}) // Without it, the caller sees a cut connection.
			return
		}
		if err != nil {
			return
		}
	}
}
