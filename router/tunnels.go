package router

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/backendpath"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

const (
	// maxTunnelNodes bounds how many nodes are asked for one tunnel.
	maxTunnelNodes = 4
	// tunnelTimeout bounds the wait for one node.
	tunnelTimeout = 300 * time.Millisecond
	// tunnelAskInterval is how long a node may take to open a tunnel until another one is asked as well. With a connection to
	// the node it takes a few milliseconds. The check whether a backend has ended, which asks for tunnels too, lasts 100 ms.
	tunnelAskInterval = 30 * time.Millisecond
	// tunnelNodePause is how long a node that could not open a tunnel is asked last.
	tunnelNodePause = time.Second
	// doubtfulZoneNodes is how many nodes of a zone must be unlikely to open a tunnel until the zone comes behind the others.
	// A single one may have restarted.
	doubtfulZoneNodes = 2
)

// tunnels is the state of a node's tunnels: those that it uses, and those that it serves.
type tunnels struct {
	// tracker decides which connections are tunnelled.
	tracker *backendpath.Tracker
	// nodes are the nodes that could not open a tunnel of late.
	nodes tunnelNodes
	// wake signals that a check of the node's own link may be due.
	wake chan struct{}
	// isAnnounced is set while the other nodes know that this one is cut off from the backends. It is used by a single
	// goroutine.
	isAnnounced bool
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
func (r *Router) mayTunnel() bool {
	return r.fleet().tunnelNodeCount > 0 || len(r.nodes.withdrawn(capabilityTunnels)) > 0
}

// tunnelCandidates returns the nodes to ask for a tunnel, in this order. The last ones have withdrawn: a node that stops as
// planned still drains, and may be the only one that reaches the backends.
func (r *Router) tunnelCandidates() []string {
	able := r.fleet().tunnelNodes(r.syncer.Responsive)
	candidates := r.tunnels.nodes.order(able, r.options.Settings.Zone, time.Now())
	for _, node := range r.nodes.withdrawn(capabilityTunnels) {
		candidates = append(candidates, node.Address)
	}
	return candidates
}

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

// order returns the nodes to ask for a tunnel. The first one is of the given zone, because bytes within a zone cost less. The
// next ones are of other zones in turn, because a zone may lose the backends as a whole; for the same reason a zone comes
// behind the others once several of its nodes are unlikely to help. Such nodes are asked last. Otherwise the order is random.
func (n *tunnelNodes) order(candidates []knownNode, zone string, now time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	zones := map[string]*tunnelZone{}
	var unlikely []string
	for _, i := range rand.Perm(len(candidates)) {
		node := candidates[i]
		if zones[node.zone] == nil {
			zones[node.zone] = &tunnelZone{isOwn: node.zone == zone}
		}
		if node.cutOff || now.Before(n.pausedUntil[node.Address]) {
			zones[node.zone].unlikely++
			unlikely = append(unlikely, node.Address)
			continue
		}
		zones[node.zone].likely = append(zones[node.zone].likely, node.Address)
	}
	ordered := append(inTurn(rankZones(zones)), unlikely...)
	return ordered[:min(len(ordered), maxTunnelNodes)]
}

// tunnelZone is a zone whose nodes may be asked for a tunnel.
type tunnelZone struct {
	isOwn bool
	// likely are the nodes that can probably open a tunnel, and unlikely is the number of the others.
	likely   []string
	unlikely int
}

// isDoubtful reports whether the whole zone may have lost the backends.
func (z *tunnelZone) isDoubtful() bool { return z.unlikely >= doubtfulZoneNodes }

// rankZones returns the zones in the order in which their nodes are asked.
func rankZones(zones map[string]*tunnelZone) []*tunnelZone {
	rank := func(zone *tunnelZone) int {
		switch {
		case zone.isDoubtful():
			return 2
		case zone.isOwn:
			return 0
		default:
			return 1
		}
	}
	ranked := slices.Collect(maps.Values(zones))
	rand.Shuffle(len(ranked), func(i, j int) { ranked[i], ranked[j] = ranked[j], ranked[i] })
	slices.SortStableFunc(ranked, func(a, b *tunnelZone) int { return rank(a) - rank(b) })
	return ranked
}

// inTurn returns the likely nodes of the zones: one of each zone, then the next one of each.
func inTurn(zones []*tunnelZone) []string {
	var ordered []string
	for turn := 0; ; turn++ {
		before := len(ordered)
		for _, zone := range zones {
			if turn < len(zone.likely) {
				ordered = append(ordered, zone.likely[turn])
			}
		}
		if len(ordered) == before {
			return ordered
		}
	}
}

// nodeTunnels opens tunnels through the other nodes. It implements backendhttp.Tunnels.
type nodeTunnels struct{ router *Router }

var _ backendhttp.Tunnels = nodeTunnels{}

// Available implements backendhttp.Tunnels.
func (t nodeTunnels) Available() bool { return t.router.mayTunnel() }

// Open implements backendhttp.Tunnels. The nodes are asked one after the other, the next one as soon as one has failed or has
// not answered for a while: a node may be out of reach, and the request that needs the tunnel has little time.
func (t nodeTunnels) Open(ctx context.Context, address string) (net.Conn, string, error) {
	attempt := &tunnelAttempt{router: t.router, address: address, candidates: t.router.tunnelCandidates()}
	attempt.answers = make(chan askedNode, len(attempt.candidates))
	defer attempt.abandon()
	var failed []askedNode
	for attempt.askNext() || attempt.pending > 0 {
		answer, answered := attempt.await(ctx)
		switch {
		case answered && answer.isConclusive():
			return answer.result(t.router)
		case answered:
			failed = append(failed, answer)
		case ctx.Err() != nil:
			return nil, "", errors.CombineErrors(noTunnel(failed), ctx.Err())
		}
	}
	t.router.metrics.Add("tunnels_unavailable", 1)
	return nil, "", noTunnel(failed)
}

// tunnelAttempt is the attempt to open one tunnel.
type tunnelAttempt struct {
	router     *Router
	address    string
	candidates []string
	// pending is the number of nodes that have been asked and have not answered.
	pending int
	answers chan askedNode
}

// askNext asks the next node. It reports false if there is none.
func (a *tunnelAttempt) askNext() bool {
	if len(a.candidates) == 0 {
		return false
	}
	node := a.candidates[0]
	a.candidates = a.candidates[1:]
	a.pending++
	a.router.metrics.Add("tunnel_nodes_asked", 1)
	go func() { a.answers <- a.router.askForTunnel(node, a.address) }()
	return true
}

// await returns the answer of a node. It reports false if another node is to be asked meanwhile, or if the context has ended.
func (a *tunnelAttempt) await(ctx context.Context) (askedNode, bool) {
	var askAnother <-chan time.Time
	if len(a.candidates) > 0 {
		timer := time.NewTimer(tunnelAskInterval)
		defer timer.Stop()
		askAnother = timer.C
	}
	select {
	case answer := <-a.answers:
		a.pending--
		return answer, true
	case <-askAnother:
	case <-ctx.Done():
	}
	return askedNode{}, false
}

// abandon closes the tunnels of the nodes that answer too late.
func (a *tunnelAttempt) abandon() {
	if a.pending == 0 {
		return
	}
	go func(pending int) {
		for range pending {
			if late := <-a.answers; late.conn != nil {
				_ = late.conn.Close()
			}
		}
	}(a.pending)
}

// askedNode is a node that was asked for a tunnel, and what it answered.
type askedNode struct {
	address string
	conn    net.Conn
	state   peerpb.TunnelState
	err     error
	took    time.Duration
}

// isConclusive reports whether the node has tried to connect to the backend.
func (n askedNode) isConclusive() bool {
	return n.err == nil && n.state != peerpb.TunnelState_TUNNEL_STATE_UNAVAILABLE
}

// result returns the result of a conclusive answer.
func (n askedNode) result(r *Router) (net.Conn, string, error) {
	switch n.state {
	case peerpb.TunnelState_TUNNEL_STATE_OPEN:
		r.metrics.Add("tunnels_opened", 1)
		return n.conn, n.address, nil
	case peerpb.TunnelState_TUNNEL_STATE_REFUSED:
		return nil, "", errors.Wrapf(syscall.ECONNREFUSED, "connect through %s", n.address)
	default:
		return nil, "", errors.Newf("connect through %s: no answer", n.address)
	}
}

// String returns the description of the node in errors.
func (n askedNode) String() string {
	outcome := "cannot connect"
	if n.err != nil {
		outcome = n.err.Error()
	}
	return fmt.Sprintf("%s after %d ms: %s", n.address, n.took.Milliseconds(), outcome)
}

// noTunnel returns the error for a tunnel that none of the nodes has opened.
func noTunnel(asked []askedNode) error {
	descriptions := make([]string, len(asked))
	for i, node := range asked {
		descriptions[i] = node.String()
	}
	return errors.Wrapf(backendhttp.ErrNoTunnel, "asked %d nodes [%s]", len(asked), strings.Join(descriptions, "; "))
}

// askForTunnel asks one node for a tunnel, and remembers if it could open none.
func (r *Router) askForTunnel(node, address string) askedNode {
	ctx, cancel := context.WithTimeout(context.Background(), tunnelTimeout)
	defer cancel()
	began := time.Now()
	asked := askedNode{address: node}
	asked.conn, asked.state, asked.err = r.client.OpenTunnel(ctx, node, address)
	asked.took = time.Since(began)
	if asked.err != nil {
		// The connection to the node may have stopped to deliver, while new ones work.
		go r.client.VerifyLane(peer.LaneTunnel, node)
	}
	if !asked.isConclusive() {
		r.tunnels.nodes.pause(node, time.Now())
	}
	return asked
}
