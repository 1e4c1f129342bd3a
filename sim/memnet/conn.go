package memnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// ErrRefused is returned when nobody listens at an address.
var ErrRefused error = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// Network connects peers. Hosts are named by their addresses.
type Network struct {
	gate    *LinkFilter
	limited limitedLinks

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	traffic   map[string]*traffic
}

// traffic counts the bytes and frames that a host has sent.
type traffic struct {
	bytes, frames atomic.Int64
}

// Traffic is what a host has sent so far.
type Traffic struct{ Bytes, Frames int64 }

// Sent returns what a host has sent.
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

// NewNetwork returns a network whose links the gate controls.
func NewNetwork(gate *LinkFilter) *Network {
	return &Network{
		gate: gate, limited: limitedLinks{hosts: map[string]*limitedLink{}},
		listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, traffic: map[string]*traffic{},
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
	if err := n.gate.wait(linkOf(from, to), ctx.Done()); err != nil {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	target, ok := n.listeners[to]
	n.mu.Unlock()
	if !ok {
		return nil, ErrRefused
	}
	near, far := net.Pipe()
	client, server := n.wrap(near, from, to), n.wrap(far, to, from)
	select {
	case target.accepted <- server:
		return client, nil
	case <-target.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) wrap(raw net.Conn, local, remote string) *conn {
	wrapped := &conn{Conn: raw, network: n, link: linkOf(local, remote), closed: make(chan struct{}), sent: n.counter(hostOf(local))}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[wrapped] = struct{}{}
	return wrapped
}

// DropTraffic lets the established connections whose links are selected carry no bytes any more, in the
// selected direction and without a reset: writes succeed, and nothing arrives. Connections that
// are opened later work. It returns how many directions fell silent.
func (n *Network) DropTraffic(selected func(Link) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for open := range n.conns {
		if selected(open.link) && !open.silent.Swap(true) {
			count++
		}
	}
	return count
}

// Kill closes a host's listener and every connection from or to it, as the end
// of its process does.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var ended []*conn
	for open := range n.conns {
		if open.link.From == host || open.link.To == host {
			ended = append(ended, open)
		}
	}
	for served, target := range n.listeners {
		if hostOf(served) == host {
			delete(n.listeners, served)
			_ = target.Close()
		}
	}
	n.mu.Unlock()
	for _, open := range ended {
		_ = open.Close()
	}
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

// conn holds written bytes back while its link is blocked.
type conn struct {
	net.Conn
	network *Network
	link    Link
	closed  chan struct{}
	once    sync.Once
	sent    *traffic
	// silent is set once nothing that is written arrives any more.
	silent atomic.Bool
	// buffer holds what a limited link has not passed yet.
	buffer sendBuffer
}

// Write implements net.Conn. Peers write each frame as a whole, so that the gate
// never holds a part of one back: yamux reads the body of a frame under a lock, on
// which virtual time does not advance.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.network.gate.wait(c.link, c.closed); err != nil {
		return 0, err
	}
	c.sent.bytes.Add(int64(len(data)))
	c.sent.frames.Add(1)
	if c.silent.Load() {
		return len(data), nil
	}
	if c.network.limited.bounds(c.link) {
		return c.sendLater(data)
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

// LocalAddr implements net.Conn; it names the host.
func (c *conn) LocalAddr() net.Addr { return address(c.link.From) }

// RemoteAddr implements net.Conn; it names the host.
func (c *conn) RemoteAddr() net.Addr { return address(c.link.To) }
