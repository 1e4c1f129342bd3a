package router

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backendpath"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
)

const (
	// tunnelDialTimeout bounds the connection that a node opens for another one. It is shorter than tunnelTimeout, so that
	// the other node receives the answer.
	tunnelDialTimeout = 200 * time.Millisecond
	// doubtfulDialTimeout is the same while this node's own link has probably failed.
	doubtfulDialTimeout = 60 * time.Millisecond
	// linkCheckDelay is how long a connection for another node may take until the node's own link is checked.
	linkCheckDelay = 50 * time.Millisecond
	// maxServedTunnels bounds the tunnels that a node serves. Each takes a descriptor, two goroutines and up to 300 KB
	// of buffers while its reader stalls, usually 20 KB.
	maxServedTunnels = 128
	// linkCheckAddresses is how many backends are tried to check the node's own link.
	linkCheckAddresses = 5
	// linkEvidenceLifetime is how long a connection to a backend shows that a node's own link works.
	linkEvidenceLifetime = time.Second
	// stopTunnelsInterval is the interval at which a stopping node checks whether its tunnels have ended.
	stopTunnelsInterval = 50 * time.Millisecond
)

// serveTunnel connects to a backend for another node. It never uses a tunnel itself.
func (r *Router) serveTunnel(ctx context.Context, address string) (net.Conn, peerpb.TunnelState) {
	if r.tunnels.isStopping.Load() || !r.backends.HasAddress(address) || !r.tunnels.tracker.FaultIsUnconfirmed(address) {
		return nil, peerpb.TunnelState_TUNNEL_STATE_UNAVAILABLE
	}
	if r.tunnels.served.Add(1) > maxServedTunnels {
		r.tunnels.served.Add(-1)
		return nil, peerpb.TunnelState_TUNNEL_STATE_UNAVAILABLE
	}
	conn, state := r.connectForNode(ctx, address)
	if conn == nil {
		r.tunnels.served.Add(-1)
		return nil, state
	}
	r.metrics.Add("tunnels_served", 1)
	return &servedTunnel{Conn: conn, end: func() { r.tunnels.served.Add(-1) }}, state
}

// connectForNode connects to a backend. A failure is reported only if this node's own link has shown that it works,
// because it might be at fault as well. That is checked beside a connection that takes long, and not after it, so that the
// other node can ask a further one in time.
func (r *Router) connectForNode(ctx context.Context, address string) (net.Conn, peerpb.TunnelState) {
	timeout := tunnelDialTimeout
	if r.tunnels.tracker.Choose(address) == backendpath.Tunnel {
		timeout = doubtfulDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	linkWorks := make(chan bool, 1)
	check := time.AfterFunc(linkCheckDelay, func() { linkWorks <- r.linkWorks(ctx, address) })
	conn, err := r.dialBackend(ctx, address)
	if check.Stop() {
		linkWorks <- err == nil || r.linkWorks(ctx, address)
	}
	if err == nil {
		return conn, peerpb.TunnelState_TUNNEL_STATE_OPEN
	}
	if !<-linkWorks {
		return nil, peerpb.TunnelState_TUNNEL_STATE_UNAVAILABLE
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, peerpb.TunnelState_TUNNEL_STATE_REFUSED
	}
	return nil, peerpb.TunnelState_TUNNEL_STATE_UNANSWERED
}

// dialBackend connects to a backend over this node's own link.
func (r *Router) dialBackend(ctx context.Context, address string) (net.Conn, error) {
	conn, err := r.dialect.DialDirect(ctx, address)
	if err == nil {
		r.tunnels.linkWorkedAt.Store(time.Now().UnixNano())
	}
	return conn, err
}

// linkWorks reports whether this node has connected to a backend of late, or connects to one other than the given one
// now. A few are tried, because several backends may have ended.
func (r *Router) linkWorks(ctx context.Context, except string) bool {
	if time.Now().UnixNano()-r.tunnels.linkWorkedAt.Load() < int64(linkEvidenceLifetime) {
		return true
	}
	for _, address := range r.backends.SampleAddresses(linkCheckAddresses) {
		if address == except {
			continue
		}
		if conn, err := r.dialBackend(ctx, address); err == nil {
			_ = conn.Close()
			return true
		}
	}
	return false
}

// servedTunnel is a connection to a backend that counts as a served tunnel until it is closed.
type servedTunnel struct {
	net.Conn
	end  func()
	once sync.Once
}

// Close implements net.Conn.
func (c *servedTunnel) Close() error {
	c.once.Do(c.end)
	return c.Conn.Close()
}

// stopTunnels serves no new tunnels and waits until those that are open have ended, or the context ends.
func (r *Router) stopTunnels(ctx context.Context) {
	r.tunnels.isStopping.Store(true)
	for r.tunnels.served.Load() > 0 {
		if periodic.Pause(ctx, stopTunnelsInterval) != nil {
			r.options.Logger.Warn("grace period over, tunnels of other nodes cut off", "tunnels", r.tunnels.served.Load())
			return
		}
	}
}
