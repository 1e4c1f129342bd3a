package router

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/backendpath"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
)

const (
	// maxTunnelNodes bounds how many nodes are asked for one tunnel.
	maxTunnelNodes = 4
	// maxUnansweredTunnels is the number of nodes that must have failed to connect before a backend counts as
	// unresponsive: the first one may have lost its own link a moment ago.
	maxUnansweredTunnels = 2
	// tunnelTimeout bounds the wait for one node.
	tunnelTimeout = 300 * time.Millisecond
	// tunnelDialTimeout bounds the connection that a node opens for another one.
	tunnelDialTimeout = 200 * time.Millisecond
	// tunnelNodePause is how long a node that could not open a tunnel is asked last.
	tunnelNodePause = time.Second
	// maxServedTunnels bounds the tunnels that a node serves. Each takes a descriptor, two goroutines and up to 300 KB
	// of buffers while its reader stalls, usually 20 KB.
	maxServedTunnels = 128
	// linkEvidenceLifetime is how long a connection to a backend shows that a node's own link works.
	linkEvidenceLifetime = time.Second
	// stopTunnelsInterval is the interval at which a stopping node checks whether its tunnels have ended.
	stopTunnelsInterval = 50 * time.Millisecond
)

// tunnels is the state of a node's tunnels: those that it uses, and those that it serves.
type tunnels struct {
	// tracker decides which connections are tunnelled.
	tracker *backendpath.Tracker
	// nodes are the nodes that could not open a tunnel of late.
	nodes tunnelNodes
	// wake signals that a check of the node's own link may be due.
	wake chan struct{}
	// served is the number of tunnels that this node serves, and isStopping is set once it serves no more.
	served     atomic.Int64
	isStopping atomic.Bool
	// linkWorkedAt is when the node last connected to a backend for another node, in nanoseconds since the Unix epoch.
	linkWorkedAt atomic.Int64
}

// newTunnels prepares the tunnels of this node.
func (r *Router) newTunnels() {
	r.tunnels.wake = make(chan struct{}, 1)
	r.tunnels.nodes.pausedUntil = map[string]time.Time{}
	r.tunnels.tracker = backendpath.New(backendpath.Options{
		Now: time.Now, Others: r.backends.SampleAddresses, MayTunnel: r.mayTunnel,
		Wake: func() { signal(r.tunnels.wake) }, Changed: r.cutOffChanged,
	})
	r.options.Environment.Dialect.UseTunnels(r.tunnels.tracker, nodeTunnels{r})
	r.server.HandleTunnels(r.serveTunnel)
}

// mayTunnel reports whether there is another node that can open tunnels.
func (r *Router) mayTunnel() bool { return len(r.fleet().tunnelNodes) > 0 }

// tunnelNodes tracks which nodes could not open a tunnel of late. It is safe for concurrent use.
type tunnelNodes struct {
	mu          sync.Mutex
	pausedUntil map[string]time.Time
}

// pause makes a node one of the last to be asked, for a time.
func (n *tunnelNodes) pause(address string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for paused, until := range n.pausedUntil {
		if now.After(until) {
			delete(n.pausedUntil, paused)
		}
	}
	n.pausedUntil[address] = now.Add(tunnelNodePause)
}

// order returns the nodes to ask for a tunnel, in random order: first those that could open one, and among these the ones
// of the given zone, because bytes within a zone cost less.
func (n *tunnelNodes) order(candidates []knownNode, zone string, now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := func(node knownNode) int {
		switch {
		case now.Before(n.pausedUntil[node.Address]):
			return 2
		case node.zone != zone:
			return 1
		default:
			return 0
		}
	}
	ordered := slices.Clone(candidates)
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b knownNode) int { return rank(a) - rank(b) })
	var addresses []string
	for _, node := range ordered[:min(len(ordered), maxTunnelNodes)] {
		addresses = append(addresses, node.Address)
	}
	return addresses
}

// nodeTunnels opens tunnels through the other nodes. It implements backendhttp.Tunnels.
type nodeTunnels struct{ router *Router }

var _ backendhttp.Tunnels = nodeTunnels{}

// Available implements backendhttp.Tunnels.
func (t nodeTunnels) Available() bool { return t.router.mayTunnel() }

// Open implements backendhttp.Tunnels.
func (t nodeTunnels) Open(ctx context.Context, address string) (net.Conn, string, error) {
	r := t.router
	unanswered := 0
	for _, node := range r.tunnels.nodes.order(r.fleet().tunnelNodes, r.options.Settings.Zone, time.Now()) {
		conn, state, err := r.openTunnelAt(ctx, node, address)
		switch {
		case ctx.Err() != nil:
			return nil, "", errors.CombineErrors(backendhttp.ErrNoTunnel, ctx.Err())
		case err != nil || state == peerpb.TunnelState_TUNNEL_STATE_UNAVAILABLE:
			r.tunnels.nodes.pause(node, time.Now())
			continue
		case state == peerpb.TunnelState_TUNNEL_STATE_OPEN:
			r.metrics.Add("tunnels_opened", 1)
			return conn, node, nil
		case state == peerpb.TunnelState_TUNNEL_STATE_REFUSED:
			return nil, "", errors.Wrapf(syscall.ECONNREFUSED, "connect through %s", node)
		}
		unanswered++
		if unanswered >= maxUnansweredTunnels {
			return nil, "", errors.Newf("backend does not answer %d other nodes", unanswered)
		}
	}
	if unanswered > 0 {
		return nil, "", errors.New("backend does not answer another node")
	}
	r.metrics.Add("tunnels_unavailable", 1)
	return nil, "", backendhttp.ErrNoTunnel
}

// openTunnelAt asks one node for a tunnel.
func (r *Router) openTunnelAt(ctx context.Context, node, address string) (net.Conn, peerpb.TunnelState, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, state, err := r.client.OpenTunnel(ctx, node, address)
	if err != nil {
		// An open connection may have stopped to deliver, while new ones work.
		r.client.ResetUnusedLane(peer.LaneTunnel, node, began)
	}
	return conn, state, err
}

// serveTunnel connects to a backend for another node. It never uses a tunnel itself.
func (r *Router) serveTunnel(ctx context.Context, address string) (net.Conn, peerpb.TunnelState) {
	if r.tunnels.isStopping.Load() || !r.backends.HasAddress(address) || r.tunnels.tracker.Choose(address) == backendpath.Tunnel {
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
// because it might be at fault as well.
func (r *Router) connectForNode(ctx context.Context, address string) (net.Conn, peerpb.TunnelState) {
	conn, err := r.dialBackend(ctx, address)
	if err == nil {
		return conn, peerpb.TunnelState_TUNNEL_STATE_OPEN
	}
	if !r.linkWorks(ctx, address) {
		return nil, peerpb.TunnelState_TUNNEL_STATE_UNAVAILABLE
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, peerpb.TunnelState_TUNNEL_STATE_REFUSED
	}
	return nil, peerpb.TunnelState_TUNNEL_STATE_UNANSWERED
}

// dialBackend connects to a backend over this node's own link.
func (r *Router) dialBackend(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	conn, err := r.dialect.DialDirect(ctx, address)
	if err == nil {
		r.tunnels.linkWorkedAt.Store(time.Now().UnixNano())
	}
	return conn, err
}

// linkWorks reports whether this node has connected to a backend of late, or connects to one other than the given one
// now.
func (r *Router) linkWorks(ctx context.Context, except string) bool {
	if time.Now().UnixNano()-r.tunnels.linkWorkedAt.Load() < int64(linkEvidenceLifetime) {
		return true
	}
	for _, address := range r.backends.SampleAddresses(2) { //nolint:mnd // one of two is another address
		if address == except {
			continue
		}
		conn, err := r.dialBackend(ctx, address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
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

// monitorLinks checks this node's own links to backends when that is due, until the context ends.
func (r *Router) monitorLinks(ctx context.Context) {
	for {
		due := r.tunnels.tracker.Due()
		r.checkLinks(ctx, due.Addresses)
		if len(due.Addresses) > 0 {
			continue
		}
		if !awaitCheck(ctx, r.tunnels.wake, due.Next) {
			return
		}
	}
}

// awaitCheck waits until the next check may be due: after a time, unless it is zero, or after a signal. It reports false
// once the context has ended.
func awaitCheck(ctx context.Context, wake <-chan struct{}, next time.Duration) bool {
	var elapsed <-chan time.Time
	if next > 0 {
		timer := time.NewTimer(next)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-elapsed:
	}
	return ctx.Err() == nil
}

// checkLinks connects to backends over this node's own link, and through another node where that fails.
func (r *Router) checkLinks(ctx context.Context, addresses []string) {
	var checks sync.WaitGroup
	for _, address := range addresses {
		checks.Go(func() { r.checkLink(ctx, address) })
	}
	checks.Wait()
}

func (r *Router) checkLink(ctx context.Context, address string) {
	r.metrics.Add("link_checks", 1)
	conn, err := r.dialect.DialDirect(ctx, address)
	if err != nil && r.tunnels.tracker.Choose(address) == backendpath.Direct {
		conn, err = r.dialect.DialTunnel(ctx, address)
	}
	if err == nil {
		_ = conn.Close()
	}
}

// cutOffChanged logs that this node has begun or ceased to count as cut off from the backends. Idle connections of the
// path that is no longer used are closed, because they may be silent or cost a second link.
func (r *Router) cutOffChanged(change backendpath.Change) {
	services := r.backends.ServicesAt(change.Addresses)
	if change.CutOff {
		r.metrics.Add("cut_off_from_backends", 1)
		r.options.Logger.Warn("back ends are reached through other nodes", "services", services, "backends", len(change.Addresses),
			"evidence", "own link fails, other nodes connect", "addresses", change.Addresses)
		go r.dialect.CloseIdleDirect()
		return
	}
	r.options.Logger.Info("back ends are reached again", "services", services, "after_ms", change.Lasted.Milliseconds())
	go r.dialect.CloseIdleTunnels()
}

// orderedServices returns the engine services whose roles this node may change. A node that is cut off gives no orders:
// it could not deliver them, and engines take the orders of each node for those of another holder of the lease.
func (r *Router) orderedServices() []string {
	if r.tunnels.tracker.CutOff() {
		return nil
	}
	return r.coordinatedServices()
}
