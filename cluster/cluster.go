package cluster

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/placement"
)

// ErrNoOwner is returned if no node is ready.
var ErrNoOwner = api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun, "no node is ready").WithRetryAfter(time.Second)

// Cluster is a node's view of the ownership of keys. It is safe for concurrent
// use.
type Cluster struct {
	table  *membership.Table
	client membership.PeerCaller
	local  peer.Handler
	now    func() time.Time
}

// New returns a cluster that handles calls to the node itself with local.
func New(table *membership.Table, client membership.PeerCaller, local peer.Handler, now func() time.Time) *Cluster {
	return &Cluster{table: table, client: client, local: local, now: now}
}

// Self returns the node itself.
func (c *Cluster) Self() membership.Member { return c.table.Self() }

// Live returns the live members.
func (c *Cluster) Live() []membership.Member { return c.table.Live(c.now()) }

// IsTerminated reports whether an incarnation of a node has ended.
func (c *Cluster) IsTerminated(node string, incarnation uint64) bool {
	return c.table.IsTerminated(c.now(), node, incarnation)
}

// SeesMajority reports whether the node is in contact with most of the fleet.
func (c *Cluster) SeesMajority() bool { return c.table.SeesMajority(c.now()) }

// ready returns the ready members among the given ones.
func ready(members []membership.Member) []membership.Member {
	selected := make([]membership.Member, 0, len(members))
	for _, member := range members {
		if member.State == membership.StateReady {
			selected = append(selected, member)
		}
	}
	return selected
}

// candidates returns the ready members of a zone, or of the whole fleet if the
// zone is empty or has none.
func (c *Cluster) candidates(zone string) []membership.Member {
	var candidates []membership.Member
	if zone != "" {
		candidates = ready(c.table.ZoneMembers(c.now(), zone))
	}
	if len(candidates) == 0 {
		candidates = ready(c.Live())
	}
	return candidates
}

// Owner returns the owner of a key among the ready members of a zone, or of the
// whole fleet if the zone is empty or has none.
func (c *Cluster) Owner(zone, key string) (membership.Member, error) {
	ranked := c.ranked(zone, key, 1)
	if len(ranked) == 0 {
		return membership.Member{}, ErrNoOwner
	}
	return ranked[0], nil
}

// Holders returns the two nodes of the whole fleet that keep the record of a
// key. Starting nodes are included: nodes learn of each other before they are
// ready, so that views of the live nodes agree earlier than views of the ready
// ones. When a whole fleet starts, the latter may have no node in common for a
// second.
func (c *Cluster) Holders(key string) []membership.Member {
	return rank(withoutDraining(c.Live()), key, successorAttempts)
}

// withoutDraining returns the members that are not draining.
func withoutDraining(members []membership.Member) []membership.Member {
	return slices.DeleteFunc(members, func(member membership.Member) bool { return member.State == membership.StateDraining })
}

// ranked returns the owner of a key, followed by its successors.
func (c *Cluster) ranked(zone, key string, count int) []membership.Member {
	return rank(c.candidates(zone), key, count)
}

func rank(members []membership.Member, key string, count int) []membership.Member {
	names := placement.Top(key, membership.Names(members), count)
	ranked := make([]membership.Member, 0, len(names))
	for _, name := range names {
		for _, member := range members {
			if member.Name == name {
				ranked = append(ranked, member)
			}
		}
	}
	return ranked
}

// Owns reports whether the node itself owns a key.
func (c *Cluster) Owns(zone, key string) bool {
	owner, err := c.Owner(zone, key)
	return err == nil && owner.Name == c.Self().Name
}

// IsAmongTop reports whether the node is one of the first count members of its
// zone for a key.
func (c *Cluster) IsAmongTop(key string, count int) bool {
	self := c.Self()
	names := membership.Names(c.table.ZoneMembers(c.now(), self.Zone))
	for _, name := range placement.Top(key, names, count) {
		if name == self.Name {
			return true
		}
	}
	return false
}

// ZonePeers returns the peer addresses of the other live nodes of the zone.
func (c *Cluster) ZonePeers() []string {
	self := c.Self()
	var addresses []string
	for _, member := range c.table.ZoneMembers(c.now(), self.Zone) {
		if member.Name != self.Name {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// Call sends a request to a member.
func (c *Cluster) Call(ctx context.Context, member membership.Member, request *peerpb.Request) (*peerpb.Response, error) {
	if member.Name == c.Self().Name {
		request.Node = member.Name
		return c.local(ctx, request)
	}
	return c.client.Call(ctx, member.Address, request)
}

// CallOwner sends a request to the owner of a key.
func (c *Cluster) CallOwner(ctx context.Context, zone, key string, request *peerpb.Request) (*peerpb.Response, error) {
	owner, err := c.Owner(zone, key)
	if err != nil {
		return nil, err
	}
	return c.Call(ctx, owner, request)
}

// successorAttempts is the number of nodes that are called when an owner does
// not answer, including the owner.
const successorAttempts = 2

// CallOwnerOrSuccessor sends a request to the owner of a key and, if it does
// not answer in time, to its successor. It is meant for calls that any node can
// serve and that go to the owner only by convention. The request is built for
// each attempt; attempts are numbered from zero. It returns the node that
// answered.
func (c *Cluster) CallOwnerOrSuccessor(ctx context.Context, key string, timeout time.Duration, build func(attempt int) *peerpb.Request) (*peerpb.Response, membership.Member, error) {
	var lastErr error = ErrNoOwner
	for attempt, member := range c.ranked("", key, successorAttempts) {
		response, err := c.callWithin(ctx, member, timeout, build(attempt))
		var answered *api.Error
		if err == nil || errors.As(err, &answered) || ctx.Err() != nil {
			return response, member, err
		}
		lastErr = err
	}
	return nil, membership.Member{}, lastErr
}

func (c *Cluster) callWithin(ctx context.Context, member membership.Member, timeout time.Duration, request *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Call(ctx, member, request)
}

// CallNode sends a request to a live node by name.
func (c *Cluster) CallNode(ctx context.Context, node string, request *peerpb.Request) (*peerpb.Response, error) {
	member, live := c.table.Lookup(c.now(), node)
	if !live {
		return nil, peer.ErrNotSent
	}
	return c.Call(ctx, member, request)
}
