package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/logging"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/replica"
)

// kindNode is the kind of the objects by which nodes discover each other.
const kindNode objectapi.Kind = "nodes"

// nodeSpec is the content of a node's object.
type nodeSpec struct {
	// Address is the address for calls from other nodes.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Started identifies one start of a node.
	Started int64 `json:"started"`
	// Capacity is the node's processor capacity in cores.
	Capacity float64 `json:"capacity"`
	// LinkBytes is the capacity of the node's link in bytes a second; zero if it is not known.
	LinkBytes float64 `json:"linkBytes"`
	// Capabilities are the roles that the node's build can take; older builds list none.
	Capabilities []capability `json:"abilities,omitempty"`
	// Build is the commit that the node's build was made from.
	Build string `json:"build,omitempty"`
}

// otherNodes returns the other known nodes: those with an object in the store, or the seeds if there are
// none.
func (r *Router) otherNodes() []knownNode {
	if others := r.nodes.others(r.Own()); len(others) > 0 {
		return others
	}
	var seeds []knownNode
	for _, seed := range r.settings.Load().Seeds {
		if seed != r.Own() {
			seeds = append(seeds, knownNode{Node: coordinator.Node{Address: seed}, addressHash: hashOf(seed), capabilities: capabilitiesOf(nil)})
		}
	}
	return seeds
}

// peers returns the addresses of the other known nodes.
func (r *Router) peers() []string { return r.fleet().addresses }

// ownNode returns this start of this node, and whether its object is in the store.
func (r *Router) ownNode() (knownNode, bool) {
	own, found := r.nodes.named(r.options.Settings.Name)
	return own, found && own.Incarnation == r.incarnation()
}

// nodeCount returns the number of known nodes, including this one.
func (r *Router) nodeCount() int { return max(1, r.nodes.count()) }

// stayRegistered writes the node's object, so that others discover the node, and writes it again whenever
// another node has considered this one lost and removed the object, or a restore of the store has.
func (r *Router) stayRegistered(ctx context.Context) {
	if !r.options.Settings.FirstStart {
		r.awaitNodes(ctx)
	}
	r.register(ctx)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.removed:
			r.options.Logger.Warn("node object was removed by another node; registering again")
			r.register(ctx)
		case <-r.restored:
			r.reregisterAfterRestore(ctx)
		}
	}
}

// nodeListTimeout is how long after its start a node waits for the list of nodes before it registers. The
// list contains the version of the object that an earlier start of the node left, which saves two calls. With
// a link of 20 Mbit/s and a fifth of a core, two nodes in three need over 100 ms for a list of 350 nodes.
const nodeListTimeout = time.Second

// awaitNodes waits until this node knows some others, for a bounded time.
func (r *Router) awaitNodes(ctx context.Context) {
	r.someNodesKnown.await(ctx, r.started.Add(r.joinTime()+nodeListTimeout))
}

// afterNodesKnown starts a task that one node performs for the fleet, after this node has had time to
// discover the others. Otherwise each node of a starting fleet would consider itself that node, and call the
// store.
func (r *Router) afterNodesKnown(ctx context.Context, run func(ctx context.Context)) {
	r.nodesKnown.await(ctx, r.nodesKnownBy())
	run(ctx)
}

// runSyncer runs the anti-entropy exchange with other nodes after the list of nodes is known. Otherwise nodes
// that start together would push each new node to each other separately.
func (r *Router) runSyncer(ctx context.Context) {
	r.awaitNodes(ctx)
	r.syncer.Run(ctx)
}

// ownObjectRemoved records that the node's object was removed.
func (r *Router) ownObjectRemoved() {
	if r.withdrawn.Load() {
		return
	}
	signal(r.removed)
}

const (
	// lostAfter is how long a node is unresponsive before its object is removed.
	lostAfter = time.Minute
	// removeInterval is the interval between checks for lost nodes.
	removeInterval = 10 * time.Second
)

// removeLost removes the objects of lost nodes until the context ends. Only the first responsive node does so; a
// removed node that is still live registers again.
func (r *Router) removeLost(ctx context.Context) {
	periodic.Run(ctx, removeInterval, func(ctx context.Context) {
		if !r.isFirst() {
			return
		}
		for _, object := range r.replica.Live(kindNode) {
			r.removeIfLost(ctx, object)
		}
	})
}

func (r *Router) removeIfLost(ctx context.Context, object objectapi.Object) {
	node, known := r.nodes.named(object.Name)
	if !known || r.syncer.UnresponsiveFor(node.Address) < lostAfter {
		return
	}
	err := r.options.Environment.Store.Delete(ctx, kindNode, object.Name, object.Version)
	r.options.Logger.Info("object of lost node removed", "name", object.Name, "address", node.Address, "error", logging.ErrorText(err))
}

// register writes the node's object.
func (r *Router) register(ctx context.Context) {
	spec, err := json.Marshal(nodeSpec{
		Address: r.options.Settings.PeerAddress, Zone: r.options.Settings.Zone, Started: r.started.UnixNano(),
		Capacity: r.options.Settings.Capacity, LinkBytes: r.options.Settings.LinkBytes,
		Capabilities: ownCapabilities(), Build: buildName(),
	})
	if err != nil {
		r.options.Logger.Error("node not registered", "error", err.Error())
		return
	}
	r.logEarlierStart()
	attempt := func() error { return r.tryRegister(ctx, spec) }
	policy := backoff.NewExponentialBackOff(backoff.WithMaxElapsedTime(0))
	if err := backoff.Retry(attempt, backoff.WithContext(policy, ctx)); err != nil {
		r.options.Logger.Warn("node not registered", "error", err.Error())
	}
}

// logEarlierStart logs that an earlier start of this node has left its object: it ended without a planned stop, and cut the requests
// that it was serving.
func (r *Router) logEarlierStart() {
	earlier, found := r.nodes.named(r.options.Settings.Name)
	if found && earlier.Incarnation != r.incarnation() {
		r.options.Logger.Warn("earlier start ended without a planned stop", "started", earlier.Incarnation)
	}
}

// tryRegister replaces the object that an earlier start has left, if the replica has one. If its version is
// outdated, the newest one is read from the store.
func (r *Router) tryRegister(ctx context.Context, spec json.RawMessage) error {
	store, name := r.options.Environment.Store, r.options.Settings.Name
	version := r.replica.Version(replica.Key{Kind: kindNode, Name: name})
	written, err := store.Put(ctx, objectapi.Object{Kind: kindNode, Name: name, Version: version, Spec: spec})
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
		written, err = r.registerWithStoredVersion(ctx, spec)
	}
	if err == nil {
		r.replica.Apply(replica.SourceStore, replica.Record{Object: written})
	}
	return err
}

// registerWithStoredVersion replaces the object that the store has, if any.
func (r *Router) registerWithStoredVersion(ctx context.Context, spec json.RawMessage) (objectapi.Object, error) {
	store, name := r.options.Environment.Store, r.options.Settings.Name
	stored, err := store.Get(ctx, kindNode, name)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Object{}, err
	}
	return store.Put(ctx, objectapi.Object{Kind: kindNode, Name: name, Version: stored.Version, Spec: spec})
}

// withdraw removes the node's object, so that others stop calling the node.
func (r *Router) withdraw(ctx context.Context) {
	r.withdrawn.Store(true)
	for _, object := range r.replica.Live(kindNode) {
		if object.Name != r.options.Settings.Name {
			continue
		}
		err := r.options.Environment.Store.Delete(ctx, kindNode, object.Name, object.Version)
		if errors.Is(err, objectapi.ErrConflict) {
			err = r.withdrawStoredVersion(ctx)
		}
		if err != nil {
			r.options.Logger.Warn("node not withdrawn", "error", err.Error())
		}
	}
}

// withdrawStoredVersion removes the object that the store has: after a restore, its version is not the known one.
func (r *Router) withdrawStoredVersion(ctx context.Context) error {
	store, name := r.options.Environment.Store, r.options.Settings.Name
	stored, err := store.Get(ctx, kindNode, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return store.Delete(ctx, kindNode, name, stored.Version)
}
