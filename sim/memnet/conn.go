package memnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ErrRefused is returned when an address has no listener or handler.
var ErrRefused error = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// Network carries the connections of peers. Hosts are identified by their addresses.
type Network struct {
	filter  *LinkFilter
	limited limitedLinks

	mu        sync.Mutex
	listeners map[string]*listener
	// refused selects the links on which connections are refused.
	refused func(Link) bool
	conns   map[*conn]struct{}
	traffic map[string]*traffic
}

// traffic counts the bytes and frames that a host has sent.
type traffic struct {
	bytes, frames atomic.Int64
}

// Traffic counts the bytes and frames that a host has sent.
type Traffic struct{ Bytes, Frames int64 }

// Sent returns the traffic that a host has sent so far.
func (n *Network) Sent(host string) Traffic {
	counted := n.counter(host)
	return Traffic{counted.bytes.Load(), counted.frames.Load()}
}

func (n *Network) counter(host string) *traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	counted, ok := n.traffic[host]
	if !ok {
		counted = &traffic{}
		n.traffic[host] = counted
	}
	return counted
}

// NewNetwork returns a network whose links the filter can block.
func NewNetwork(filter *LinkFilter) *Network {
	return &Network{
		filter: filter, limited: limitedLinks{hosts: map[string]*limitedLink{}},
		listeners: map[string]*listener{}, refused: func(Link) bool { return false }, conns: map[*conn]struct{}{}, traffic: map[string]*traffic{},
	}
}

// Listen accepts connections to an address.
func (n *Network) Listen(address string) net.Listener {
	opened := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = opened
	return opened
}

// Dial connects one host to another.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	// A handshake needs both directions.
	for _, direction := range []Link{linkOf(from, to), linkOf(to, from)} {
		if err := n.filter.wait(direction, ctx.Done()); err != nil {
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	target, ok := n.listeners[to]
	refused := n.refused(linkOf(from, to))
	n.mu.Unlock()
	if !ok || refused {
		return nil, ErrRefused
	}
	clientEnd, serverEnd := net.Pipe()
	client, server := n.wrap(clientEnd, from, to), n.wrap(serverEnd, to, from)
	select {
	case target.accepted <- server:
		return client, nil
	case <-target.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Refuse replaces the function that selects the links on which new connections are refused. Established connections
// are not affected.
func (n *Network) Refuse(selected func(Link) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = selected
}

// Reset closes the established connections of the selected links.
func (n *Network) Reset(selected func(Link) bool) {
	n.mu.Lock()
	var ended []*conn
	for open := range n.conns {
		if selected(open.link) {
			ended = append(ended, open)
		}
	}
	n.mu.Unlock()
	for _, open := range ended {
		open.abort()
	}
}

func (n *Network) wrap(raw net.Conn, local, remote string) *conn {
	wrapped := &conn{Conn: raw, network: n, link: linkOf(local, remote), closed: make(chan struct{}), aborted: make(chan struct{}), sent: n.counter(hostOf(local))}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[wrapped] = struct{}{}
	return wrapped
}

// DropTraffic makes established connections drop what is written in the selected directions from now
// on, without a reset: writes succeed, and nothing arrives. Connections that are opened later work.
// It returns the number of directions that began to drop.
func (n *Network) DropTraffic(selected func(Link) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for open := range n.conns {
		if selected(open.link) && !open.dropping.Swap(true) {
			count++
		}
	}
	return count
}

// Kill closes a host's listener and every connection from or to it, as the
// termination of its process does.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	for served, target := range n.listeners {
		if hostOf(served) == host {
			delete(n.listeners, served)
			_ = target.Close()
		}
	}
	n.mu.Unlock()
	n.Reset(func(link Link) bool { return link.From == host || link.To == host })
}

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.accepted:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// conn delays writes while its link is blocked.
type conn struct {
	net.Conn
	network *Network
	link    Link
	// closed is closed by Close, and aborted once nothing more is transmitted.
	closed, aborted        chan struct{}
	closeOnce, abortedOnce sync.Once
	sent                   *traffic
	// dropping is set once writes are discarded.
	dropping atomic.Bool
	// buffer queues what a limited link has not transmitted yet.
	buffer sendBuffer
}

// Write implements net.Conn. Peers write each frame in one call, so that the
// filter never delays a part of it: yamux holds a lock while it reads the body of
// a frame, and virtual time does not advance while a goroutine waits for a lock.
func (c *conn) Write(data []byte) (int, error) {
	if isClosed(c.closed) {
		return 0, net.ErrClosed
	}
	if err := c.network.filter.wait(c.link, c.closed); err != nil {
		return 0, err
	}
	c.sent.bytes.Add(int64(len(data)))
	c.sent.frames.Add(1)
	if c.dropping.Load() {
		return len(data), nil
	}
	if c.network.limited.isLimited(c.link) {
		return c.enqueue(data)
	}
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if err != nil && isClosed(c.closed) {
		return count, net.ErrClosed
	}
	return count, err
}

// Close implements net.Conn. What a limited link has not transmitted yet is transmitted before the other end sees the close,
// for lingerTime at most.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		if !c.buffer.started.Load() {
			c.abort()
			return
		}
		_ = c.SetReadDeadline(time.Now()) // Ends the reads in progress; a connection of a pipe accepts all deadlines.
		time.AfterFunc(lingerTime, c.abort)
	})
	return nil
}

// abort closes the connection at once, in both directions.
func (c *conn) abort() {
	c.abortedOnce.Do(func() {
		close(c.aborted)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
		_ = c.Conn.Close() // The end of a pipe always closes.
	})
}

// isClosed reports whether a channel is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// LocalAddr implements net.Conn; the address has no port.
func (c *conn) LocalAddr() net.Addr { return address(c.link.From) }

// RemoteAddr implements net.Conn; the address has no port.
func (c *conn) RemoteAddr() net.Addr { return address(c.link.To) }
