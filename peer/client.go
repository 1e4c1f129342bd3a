package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

// DialFunc opens a connection to a node's address, with TLS if the fleet uses it.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// ErrNotSent is returned if no byte of the call was sent.
var ErrNotSent = errors.New("peer: not sent")

// Client calls other nodes. It is safe for concurrent use.
type Client struct {
	node  string
	dial  DialFunc
	clock *timeline.Clock

	dialing singleflight.Group
	// ctx ends when the client is closed.
	ctx   context.Context
	close context.CancelFunc

	// observe is called for each answered call; it may be nil.
	observe func(CallSize)

	mu       sync.Mutex
	sessions map[sessionKey]*clientSession
	closed   bool
}

// Lane separates calls that must not wait for each other. Each lane to a node has its own connection.
type Lane string

// The lanes.
const (
	// LaneControl carries short calls, by which nodes detect which others are live.
	LaneControl Lane = "control"
	// LaneBulk carries calls with long contents.
	LaneBulk Lane = "bulk"
)

// sessionKey identifies a connection to another node.
type sessionKey struct {
	address string
	lane    Lane
}

// String returns the key's form in messages and as a key of singleflight calls.
func (k sessionKey) String() string { return k.address + "/" + string(k.lane) }

// NewClient returns a client whose calls name the given node as the sender.
func NewClient(node string, dial DialFunc, clock *timeline.Clock) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{node: node, dial: dial, clock: clock, ctx: ctx, close: cancel, sessions: map[sessionKey]*clientSession{}}
}

// CallSize is the encoded size of a call's messages in bytes, without framing.
type CallSize struct {
	Address string
	// Kind is the name of the request's body field.
	Kind           string
	Sent, Received int
}

// Observe sets a function that is called for each answered call. It must be called before the client is used. The
// function must not block.
func (c *Client) Observe(observe func(CallSize)) { c.observe = observe }

// report passes an answered call to the observer.
func (c *Client) report(address string, request *peerpb.Request, response *peerpb.Response) {
	if c.observe == nil {
		return
	}
	body := request.ProtoReflect()
	kind := body.WhichOneof(body.Descriptor().Oneofs().ByName("body"))
	if kind == nil {
		return
	}
	c.observe(CallSize{Address: address, Kind: string(kind.Name()), Sent: proto.Size(request), Received: proto.Size(response)})
}

// Call sends a short request to the node at address. An error of type *api.Error is the receiver's response; any
// other error except ErrNotSent leaves it unknown whether the call took effect.
func (c *Client) Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error) {
	return c.CallOn(ctx, LaneControl, address, request)
}

// CallOn is Call on the given lane.
func (c *Client) CallOn(ctx context.Context, lane Lane, address string, request *peerpb.Request) (*peerpb.Response, error) {
	key := sessionKey{address, lane}
	session, err := c.session(ctx, key)
	if err != nil {
		return nil, errors.CombineErrors(ErrNotSent, err)
	}
	request.Node = c.node
	request.Stamp = uint64(c.clock.Now())
	response, err := session.call(ctx, request)
	if err != nil {
		if session.mux.IsClosed() {
			c.drop(key, session)
		}
		return nil, err
	}
	c.clock.Observe(timeline.Stamp(response.GetStamp()))
	c.report(address, request, response)
	if response.GetFailure() != nil {
		return nil, errorOf(response.GetFailure())
	}
	return response, nil
}

func (c *Client) session(ctx context.Context, key sessionKey) (*clientSession, error) {
	if session := c.lookup(key); session != nil {
		return session, nil
	}
	opened := c.dialing.DoChan(key.String(), func() (any, error) { return c.open(key) })
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

// lookup returns the session of a key, or nil if there is none that can be used without a check.
func (c *Client) lookup(key sessionKey) *clientSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	session := c.sessions[key]
	if session == nil || session.mux.IsClosed() || key.lane == LaneBulk && session.isSuspect() {
		return nil
	}
	// Updated under the lock, so that CloseIdle does not close a session that is about to be used.
	session.touch()
	return session
}

// open returns the usable session of a key, or opens a new one.
func (c *Client) open(key sessionKey) (*clientSession, error) {
	c.dropUnresponsive(key)
	if session := c.lookup(key); session != nil {
		return session, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, key.address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", key.address)
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
	c.sessions[key] = session
	return session, nil
}

// dropUnresponsive closes the session of a key if it is suspect and the node does not answer a ping on it.
func (c *Client) dropUnresponsive(key sessionKey) {
	if session := c.known(key); session != nil && session.isSuspect() {
		c.closeUnlessAnswering(key, session)
	}
}

// VerifyLane closes the session of one lane to an address, with all that is in progress on it, if the node does not answer
// a ping on it. It is used after a timeout on a session that other calls keep in use.
func (c *Client) VerifyLane(lane Lane, address string) {
	key := sessionKey{address, lane}
	if session := c.known(key); session != nil {
		c.closeUnlessAnswering(key, session)
	}
}

// known returns the session of a key, whatever its state, or nil.
func (c *Client) known(key sessionKey) *clientSession {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions[key]
}

// closeUnlessAnswering closes a session on which the node does not answer a ping.
func (c *Client) closeUnlessAnswering(key sessionKey, session *clientSession) {
	if session.answersPing() {
		return
	}
	c.drop(key, session)
	_ = session.mux.Close()
}

func (c *Client) drop(key sessionKey, session *clientSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[key] == session {
		delete(c.sessions, key)
	}
}

// Reset closes the sessions to an address, so that the next call dials again. It is used when a node stops
// answering: calls on a connection that was cut without a reset would otherwise be lost.
func (c *Client) Reset(address string) {
	now := time.Now()
	c.ResetLane(LaneControl, address, now)
	c.ResetLane(LaneBulk, address, now)
}

// ResetLane closes the session of one lane to an address if it was opened before the given time, the start of the
// call that failed: a newer session was opened by another call and may be healthy.
func (c *Client) ResetLane(lane Lane, address string, openedBefore time.Time) {
	c.resetIf(sessionKey{address, lane}, func(session *clientSession) bool { return session.openedAt.Before(openedBefore) })
}

// ResetUnusedLane is ResetLane for a session without a call in progress. If the session was healthy, the only
// cost is a new connection.
func (c *Client) ResetUnusedLane(lane Lane, address string, openedBefore time.Time) {
	c.resetIf(sessionKey{address, lane}, func(session *clientSession) bool {
		return session.openedAt.Before(openedBefore) && !session.inUse()
	})
}

// resetIf closes the session of a key if the condition holds.
func (c *Client) resetIf(key sessionKey, condition func(*clientSession) bool) {
	c.mu.Lock()
	session := c.sessions[key]
	if session == nil || !condition(session) {
		c.mu.Unlock()
		return
	}
	delete(c.sessions, key)
	c.mu.Unlock()
	_ = session.mux.Close()
}

// CloseIdle closes the sessions that have not been used for the given time, so that a node does not keep a
// connection to each node that it ever called.
func (c *Client) CloseIdle(unused time.Duration) {
	c.mu.Lock()
	var idle []*clientSession
	for key, session := range c.sessions {
		if session.unusedFor() > unused {
			idle = append(idle, session)
			delete(c.sessions, key)
		}
	}
	c.mu.Unlock()
	for _, session := range idle {
		_ = session.mux.Close()
	}
}

// Close closes all sessions.
func (c *Client) Close() {
	c.close()
	c.mu.Lock()
	sessions := c.sessions
	c.sessions = map[sessionKey]*clientSession{}
	c.closed = true
	c.mu.Unlock()
	for _, session := range sessions {
		_ = session.mux.Close()
	}
}
