package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

// DialFunc opens a connection to a node's address, with TLS if the fleet uses it.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// ErrNotSent means that no byte of the call left this node.
var ErrNotSent = errors.New("peer: not sent")

// Client calls other nodes. It is safe for concurrent use.
type Client struct {
	node  string
	dial  DialFunc
	clock *timeline.Clock

	dialing singleflight.Group
	// ctx ends with the client.
	ctx   context.Context
	close context.CancelFunc

	mu       sync.Mutex
	sessions map[string]*clientSession
	closed   bool
}

// NewClient returns a client that calls in the name of the given node.
func NewClient(node string, dial DialFunc, clock *timeline.Clock) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{node: node, dial: dial, clock: clock, ctx: ctx, close: cancel, sessions: map[string]*clientSession{}}
}

// Call sends the request to the node at address. An error of type *api.Error is
// the receiver's answer; any other error says nothing about the effect, except
// ErrNotSent.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, errors.CombineErrors(ErrNotSent, err)
	}
	request.Node = c.node
	request.Stamp = uint64(c.clock.Now())
	response, err := session.call(ctx, request)
	if err != nil {
		if session.mux.IsClosed() {
			c.drop(address, session)
		}
		return nil, err
	}
	c.clock.Observe(timeline.Stamp(response.GetStamp()))
	if response.GetFailure() != nil {
		return nil, errorOf(response.GetFailure())
	}
	return response, nil
}

func (c *Client) session(ctx context.Context, address string) (*clientSession, error) {
	if session := c.lookup(address); session != nil {
		return session, nil
	}
	opened := c.dialing.DoChan(address, func() (any, error) { return c.open(address) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-opened:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*clientSession), nil
	}
}

func (c *Client) lookup(address string) *clientSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	session := c.sessions[address]
	if session == nil || session.mux.IsClosed() {
		return nil
	}
	// While the lock is held, so that CloseIdle does not end what is about to be used.
	session.touch()
	return session
}

func (c *Client) open(address string) (*clientSession, error) {
	if session := c.lookup(address); session != nil {
		return session, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	session, err := newClientSession(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = session.mux.Close()
		return nil, net.ErrClosed
	}
	c.sessions[address] = session
	return session, nil
}

func (c *Client) drop(address string, session *clientSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[address] == session {
		delete(c.sessions, address)
	}
}

// Reset closes the session to an address, so that the next call dials anew. It
// is used when a node stops answering: a connection cut without a reset would
// otherwise swallow calls.
func (c *Client) Reset(address string) {
	c.mu.Lock()
	session := c.sessions[address]
	delete(c.sessions, address)
	c.mu.Unlock()
	if session != nil {
		_ = session.mux.Close()
	}
}

// CloseIdle ends the sessions that no call has used for a time, so that a node does not keep
// a connection to each one that it ever called.
func (c *Client) CloseIdle(unused time.Duration) {
	c.mu.Lock()
	var idle []*clientSession
	for address, session := range c.sessions {
		if session.unusedFor() > unused {
			idle = append(idle, session)
			delete(c.sessions, address)
		}
	}
	c.mu.Unlock()
	for _, session := range idle {
		_ = session.mux.Close()
	}
}

// Close ends every session.
func (c *Client) Close() {
	c.close()
	c.mu.Lock()
	sessions := c.sessions
	c.sessions = map[string]*clientSession{}
	c.closed = true
	c.mu.Unlock()
	for _, session := range sessions {
		_ = session.mux.Close()
	}
}
