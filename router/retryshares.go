package router

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/logging"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/retrybudget"
)

const (
	// kindRetryShares is the kind of the object that allocates the retry budget to the nodes. It is kept in the store
	// and exchanged between the nodes, so that no node needs to watch it.
	kindRetryShares objectapi.Kind = "retryshares"
	// nameRetryShares is the name of that object.
	nameRetryShares = "main"
	// kindRetryConfirmation is the kind of the records by which nodes confirm that they use a smaller share. They are
	// not kept in the store.
	kindRetryConfirmation objectapi.Kind = "retryconfirmations"
	// shareInterval is the interval at which a node checks its share of the retry budget.
	shareInterval = time.Second
	// shareWriteInterval is the shortest time between two writes of the shares, so that nodes that start one after
	// the other cause few calls.
	shareWriteInterval = 3 * time.Second
	// isolationLimit is how long a node without contact with most others keeps its share. The others remove the node
	// after lostAfter, and then give its share to other nodes.
	isolationLimit = lostAfter / 2
)

// retryConfirmationSpec is the content of a confirmation record.
type retryConfirmationSpec struct {
	// Incarnation identifies the start of the node, and Generation the newest shares that it has applied.
	Incarnation string `json:"start"`
	Generation  int64  `json:"generation"`
}

// retryShares is the node's state of the retry budget's allocation. All fields except the holder are used by a
// single goroutine.
type retryShares struct {
	holder *retrybudget.Holder
	// allocation is the newest known one, and version the version of its object.
	allocation retrybudget.Allocation
	version    int64
	// isolatedSince is when the node lost contact with most of the others; zero while it has contact.
	isolatedSince time.Time
	// missingSince holds, by name, the nodes that have a share but no object, and when their object was first missing.
	missingSince map[string]time.Time
	// memberCount is the number of nodes that could have a share at the last check, and writtenAt when this node last
	// wrote the shares.
	memberCount int
	writtenAt   time.Time
}

// maintainRetryShares applies this node's share, and allocates the budget if this node is responsible for it,
// until the context ends.
func (r *Router) maintainRetryShares(ctx context.Context) {
	periodic.Run(ctx, shareInterval, func(ctx context.Context) {
		r.readRetryShares()
		r.applyRetryShare()
		r.allocateRetryBudget(ctx)
	})
}

// readRetryShares decodes the newest allocation in the replica.
func (r *Router) readRetryShares() {
	for _, record := range r.replica.Records([]replica.Key{{Kind: kindRetryShares, Name: nameRetryShares}}) {
		if record.Object.Version == r.retryShares.version {
			continue
		}
		allocation, err := retrybudget.DecodeAllocation(record.Object.Spec, int(r.settings.Load().RetryBurst))
		if err != nil {
			// Another writer may have corrupted the object. No node has a share until it is written again.
			r.options.Logger.Error("retry shares rejected", "revision", objectapi.RevisionOf(record.Object.Version), "epoch", objectapi.EpochOf(record.Object.Version), "error", err.Error())
			allocation = retrybudget.Allocation{Generation: r.retryShares.allocation.Generation}
		}
		r.retryShares.version = record.Object.Version
		if allocation.Generation >= r.retryShares.allocation.Generation {
			// Else a restore of the store has brought back an earlier allocation, whose shares others have by now.
			r.retryShares.allocation = allocation
		}
	}
}

// applyRetryShare applies the node's share, and confirms it if it has become smaller.
func (r *Router) applyRetryShare() {
	share := r.retryShares.allocation.Shares[r.options.Settings.Name]
	if share.Incarnation != r.incarnation() || r.isIsolated() {
		r.retryShares.holder.SetShare(retrybudget.Share{})
		return
	}
	r.retryShares.holder.SetShare(share)
	if share.Unconfirmed > 0 {
		r.confirmRetryShare()
	}
}

// confirmRetryShare announces to the other nodes which generation this node has applied.
func (r *Router) confirmRetryShare() {
	generation := r.retryShares.allocation.Generation
	spec, err := json.Marshal(retryConfirmationSpec{Incarnation: r.incarnation(), Generation: generation})
	if err != nil {
		r.options.Logger.Error("retry share not confirmed", "error", err.Error())
		return
	}
	r.replica.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
		Kind: kindRetryConfirmation, Name: r.options.Settings.Name, Version: generation, Spec: spec,
	}})
}

// isIsolated reports whether the node has been without contact with most others for so long that they may soon
// give its share away.
func (r *Router) isIsolated() bool {
	now := r.options.Clock.Now()
	if r.hasMajority() {
		r.retryShares.isolatedSince = time.Time{}
		return false
	}
	if r.retryShares.isolatedSince.IsZero() {
		r.retryShares.isolatedSince = now
	}
	return now.Sub(r.retryShares.isolatedSince) >= isolationLimit
}

// hasMajority reports whether most of the known nodes are responsive.
func (r *Router) hasMajority() bool { return 2*r.responsiveCount() > r.nodeCount() }

// allocateRetryBudget writes the shares of all nodes if they have changed. The first responsive node does so; the
// store rejects the write of a node that does not know the newest shares.
func (r *Router) allocateRetryBudget(ctx context.Context) {
	now := r.options.Clock.Now()
	if !r.isFirst() || now.Sub(r.retryShares.writtenAt) < shareWriteInterval {
		return
	}
	members := r.retryMembers()
	// Nodes that start together register within a second or so. The first allocation includes all of them.
	settling := r.retryShares.version == 0 && len(members) != r.retryShares.memberCount
	r.retryShares.memberCount = len(members)
	if settling || len(members) == 0 {
		return
	}
	members = append(members, r.awaitedMembers(members)...)
	next, changed := r.retryShares.allocation.Next(members, r.allocatedRetries())
	if !changed {
		return
	}
	r.retryShares.writtenAt = now
	err := r.writeRetryShares(ctx, next)
	r.options.Logger.Info("retry budget divided", "generation", next.Generation, "nodes", len(next.Shares), "error", logging.ErrorText(err))
}

// allocatedRetries returns how many upstream retries, in addition to those of the ratio, are allocated to nodes.
// Nodes whose builds do not know shares each use an equal part of the budget without an allocation.
func (r *Router) allocatedRetries() int {
	total := r.settings.Load().RetryBurst * budgetShare
	capable := len(r.nodes.withCapability(capabilityRetryShares))
	return int(total * float64(capable) / float64(r.nodeCount()))
}

// writeRetryShares replaces the shares that this node knows, or reads those of the store if they are newer.
func (r *Router) writeRetryShares(ctx context.Context, allocation retrybudget.Allocation) error {
	spec, err := json.Marshal(allocation)
	if err != nil {
		return errors.Wrap(err, "encode retry shares")
	}
	object := objectapi.Object{Kind: kindRetryShares, Name: nameRetryShares, Version: r.retryShares.version, Spec: spec}
	written, err := r.options.Environment.Store.Put(ctx, object)
	if errors.Is(err, objectapi.ErrConflict) {
		err = r.readStoredRetryShares(ctx, err)
	}
	if errors.Is(err, objectapi.ErrNotFound) {
		// The object was removed; the nodes keep their shares.
		object.Version = 0
		written, err = r.options.Environment.Store.Put(ctx, object)
	}
	if err != nil {
		return err
	}
	r.replica.Apply(replica.SourceStore, replica.Record{Object: written})
	return nil
}

// readStoredRetryShares reads the shares that the store has after a write that conflicted with them. It returns the
// conflict, or ErrNotFound if a restore of the store has removed the shares.
func (r *Router) readStoredRetryShares(ctx context.Context, conflict error) error {
	stored, err := r.options.Environment.Store.Get(ctx, kindRetryShares, nameRetryShares)
	if err != nil {
		return err
	}
	r.replica.Apply(replica.SourceStore, replica.Record{Object: stored})
	return conflict
}

// awaitedMembers returns the nodes that have a share but have had no object for less than lostAfter. A node that
// restarts is absent for some seconds and then uses its share again; if others had received the share, the node
// would have to wait for their confirmations and for a window of the budget.
func (r *Router) awaitedMembers(present []retrybudget.Member) []retrybudget.Member {
	now := r.options.Clock.Now()
	isPresent := make(map[string]bool, len(present))
	for _, member := range present {
		isPresent[member.Name] = true
	}
	missingSince := map[string]time.Time{}
	var awaited []retrybudget.Member
	for name, share := range r.retryShares.allocation.Shares {
		if isPresent[name] {
			continue
		}
		since, known := r.retryShares.missingSince[name]
		if !known {
			since = now
		}
		missingSince[name] = since
		if now.Sub(since) < lostAfter {
			awaited = append(awaited, retrybudget.Member{Name: name, Incarnation: share.Incarnation})
		}
	}
	r.retryShares.missingSince = missingSince
	return awaited
}

// retryMembers returns the nodes that may have a share of the retry budget, sorted by name.
func (r *Router) retryMembers() []retrybudget.Member {
	confirmed := map[string]retryConfirmationSpec{}
	for _, object := range r.replica.Live(kindRetryConfirmation) {
		var spec retryConfirmationSpec
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			r.options.Logger.Error("retry confirmation rejected", "name", object.Name, "error", err.Error())
			continue
		}
		confirmed[object.Name] = spec
	}
	members := r.nodes.withCapability(capabilityRetryShares)
	for i, member := range members {
		if confirmation := confirmed[member.Name]; confirmation.Incarnation == member.Incarnation {
			members[i].Confirmed = confirmation.Generation
		}
	}
	return members
}

// incarnation returns the identifier of this start of the node.
func (r *Router) incarnation() string { return strconv.FormatInt(r.started.UnixNano(), 10) }
