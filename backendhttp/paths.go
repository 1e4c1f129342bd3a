package backendhttp

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backendpath"
	"github.com/reelrun/reelrun/resetconn"
)

const (
	// directTimeout bounds the opening of a connection over the node's own link if another node may open one instead. A
	// request that waits longer would miss an objective of a few hundred milliseconds.
	directTimeout = 250 * time.Millisecond
	// tunnelIdleTimeout is how long an idle tunnel is kept.
	tunnelIdleTimeout = time.Second
)

// ErrNoTunnel means that no other node could try to connect to a backend.
var ErrNoTunnel = errors.New("no node can open a tunnel")

// Tunnels opens connections to backends through other nodes.
type Tunnels interface {
	// Available reports whether there is a node that may open one.
	Available() bool
	// Open opens a connection and returns it with the address of the other node. The error is ErrNoTunnel if no node
	// has tried to connect, and matches syscall.ECONNREFUSED if nothing listens at the address.
	Open(ctx context.Context, address string) (conn net.Conn, via string, err error)
}

// UseTunnels makes the transport open connections through other nodes where the tracker says so. It must be called
// before the transport is used.
func (t *Transport) UseTunnels(tracker *backendpath.Tracker, tunnels Tunnels) {
	t.tracker, t.tunnels = tracker, tunnels
	t.tunnelled = newHTTPTransport(tunnelIdleTimeout, func(ctx context.Context, _, address string) (net.Conn, error) {
		return t.DialTunnel(ctx, address)
	})
}

// CloseIdleDirect closes the idle connections over the node's own link, and CloseIdleTunnels those through other nodes.
func (t *Transport) CloseIdleDirect() { t.direct.CloseIdleConnections() }

// CloseIdleTunnels closes the idle connections through other nodes.
func (t *Transport) CloseIdleTunnels() { t.tunnelled.CloseIdleConnections() }

// directTimeout returns the bound on the opening of a connection over the node's own link.
func (t *Transport) directTimeout() time.Duration {
	if t.tunnels != nil && t.tunnels.Available() {
		return directTimeout
	}
	return dialTimeout
}

// recordDirectFailure records that a connection over the node's own link failed, unless the caller has given up.
func (t *Transport) recordDirectFailure(ctx context.Context, address string) {
	if t.tracker != nil && !errors.Is(ctx.Err(), context.Canceled) {
		t.tracker.DirectFailed(address)
	}
}

// DialTunnel opens a connection through another node.
func (t *Transport) DialTunnel(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, via, err := t.tunnels.Open(ctx, address)
	if err != nil {
		if !errors.Is(err, ErrNoTunnel) {
			t.tracker.TunnelFailed(address)
		}
		return nil, dialError{err}
	}
	t.tracker.TunnelOpened(address)
	return &Conn{Conn: resetconn.New(conn), via: via, heard: t.tracker.Heard}, nil
}

// Refuses reports whether nothing listens at an address. It is false if the connection is
// established, or if the attempt times out. A refusal that only this node meets may come from its own link: another
// node must meet it as well, if there is one.
func (t *Transport) Refuses(ctx context.Context, address string) bool {
	conn, err := t.DialDirect(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if t.tunnels == nil || !t.tunnels.Available() {
		return true
	}
	conn, err = t.DialTunnel(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dialError is the failure to open a connection.
type dialError struct{ cause error }

// Error implements error.
func (e dialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.cause }

// isNotConnected reports whether a request was not sent because no connection could be opened.
func isNotConnected(err error) bool {
	var notSent notSentError
	var notConnected dialError
	return errors.As(err, &notSent) && errors.As(notSent.cause, &notConnected)
}

// unsentCopy returns a copy of a request that was not sent, with the body from its start.
func unsentCopy(request *http.Request) *http.Request {
	copied := request.Clone(request.Context())
	if body, ok := request.Body.(singleUseBody); ok {
		copied.Body = singleUseBody{bytes.NewReader(body.content), body.content}
	}
	return copied
}
