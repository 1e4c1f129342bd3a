package router

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// kindNode is the kind of the objects by which nodes find each other.
const kindNode objectapi.Kind = "nodes"

// nodeSpec is the content of a node's object.
type nodeSpec struct {
	// Address is where the node answers other nodes.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Started tells one start of a node from another.
	Started int64 `json:"started"`
}

// otherNodes returns the other nodes that are known: those with an object in the
// store, or the seeds where there is none.
func (r *Router) otherNodes() []coordinator.Node {
	seen := map[string]bool{r.options.Settings.PeerAddress: true}
	var nodes []coordinator.Node
	add := func(node coordinator.Node) {
		if node.Address != "" && !seen[node.Address] {
			seen[node.Address] = true
			nodes = append(nodes, node)
		}
	}
	for _, object := range r.copy.Live(kindNode) {
		var spec nodeSpec
		if err := json.Unmarshal(object.Spec, &spec); err == nil {
			add(coordinator.Node{Address: spec.Address, Incarnation: strconv.FormatInt(spec.Started, 10)})
		}
	}
	if len(nodes) == 0 {
		for _, seed := range r.settings.Load().Seeds {
			add(coordinator.Node{Address: seed})
		}
	}
	return nodes
}

// peers returns the addresses of the other nodes that are known.
func (r *Router) peers() []string {
	nodes := r.otherNodes()
	addresses := make([]string, len(nodes))
	for i, node := range nodes {
		addresses[i] = node.Address
	}
	return addresses
}

// ownNode returns this start of this node, and whether its object is in the store.
func (r *Router) ownNode() (coordinator.Node, bool) {
	own := coordinator.Node{Address: r.Own(), Incarnation: strconv.FormatInt(r.started.UnixNano(), 10)}
	for _, record := range r.copy.Records([]replica.Key{{Kind: kindNode, Name: r.options.Settings.Name}}) {
		var spec nodeSpec
		if err := json.Unmarshal(record.Object.Spec, &spec); err == nil && !record.Deleted {
			return own, spec.Started == r.started.UnixNano()
		}
	}
	return own, false
}

// nodeCount returns how many nodes are known, this one included.
func (r *Router) nodeCount() int { return max(1, len(r.copy.Live(kindNode))) }

// register writes the node's object, so that others find it.
func (r *Router) register(ctx context.Context) {
	spec, err := json.Marshal(nodeSpec{
		Address: r.options.Settings.PeerAddress, Zone: r.options.Settings.Zone, Started: r.started.UnixNano(),
	})
	if err != nil {
		r.options.Logger.Error("node not registered", "error", err.Error())
		return
	}
	attempt := func() error { return r.tryRegister(ctx, spec) }
	policy := backoff.NewExponentialBackOff(backoff.WithMaxElapsedTime(0))
	if err := backoff.Retry(attempt, backoff.WithContext(policy, ctx)); err != nil {
		r.options.Logger.Warn("node not registered", "error", err.Error())
	}
}

func (r *Router) tryRegister(ctx context.Context, spec json.RawMessage) error {
	store, name := r.options.Backplane.Store, r.options.Settings.Name
	_, err := store.Put(ctx, objectapi.Object{Kind: kindNode, Name: name, Spec: spec})
	if !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	// An earlier start of this node left its object.
	known, err := store.Get(ctx, kindNode, name)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, objectapi.Object{Kind: kindNode, Name: name, Version: known.Version, Spec: spec})
	return err
}

// withdraw removes the node's object, so that others stop asking it.
func (r *Router) withdraw(ctx context.Context) {
	for _, object := range r.copy.Live(kindNode) {
		if object.Name != r.options.Settings.Name {
			continue
		}
		if err := r.options.Backplane.Store.Delete(ctx, kindNode, object.Name, object.Version); err != nil {
			r.options.Logger.Warn("node not withdrawn", "error", err.Error())
		}
	}
}

const (
	// watchInterval is how often, over the whole fleet, a watch of a kind begins
	// anew. A watch that the store has silently forgotten is noticed then, and the
	// other nodes are told.
	watchInterval = 800 * time.Millisecond
	// shortestWatch bounds the wait of one watch from below.
	shortestWatch = 800 * time.Millisecond
	// longestWatch bounds it from above.
	longestWatch = 20 * time.Second
)

// WatchWait returns how long the next watch of a kind waits. Nodes begin their
// watches anew one after the other, in the order of their names, so that the
// calls of the fleet stay the same however many nodes there are. After a change,
// which ends the watches of all nodes, the order begins anew.
func (r *Router) WatchWait(kind objectapi.Kind, afterChange bool) time.Duration {
	if kind == kindNode {
		return longestWatch
	}
	count, position := r.place()
	turns := count
	if afterChange {
		turns = position + 1
	}
	slots := int(longestWatch / watchInterval)
	wait := watchInterval * time.Duration((turns-1)%slots+1)
	return max(wait, shortestWatch)
}

// place returns the number of nodes and the position of this one in the order of
// names.
func (r *Router) place() (count, position int) {
	for _, object := range r.copy.Live(kindNode) {
		if object.Name < r.options.Settings.Name {
			position++
		}
		count++
	}
	return max(1, count), position
}
