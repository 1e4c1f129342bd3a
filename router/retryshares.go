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
	// kindRetryShares is the kind of the object that divides the retry budget among the nodes. The store
	// keeps it; the nodes have it from each other, so that nobody watches it.
	kindRetryShares objectapi.Kind = "retryshares"
	// nameRetryShares is the name of that object.
	nameRetryShares = "main"
	// kindRetryConfirmation is the kind of the records by which nodes confirm that they spend less. They are
	// not in the store.
	kindRetryConfirmation objectapi.Kind = "retryconfirmations"
	// shareInterval is how often a node looks at its share of the retry budget.
	shareInterval = time.Second
	// shareWriteInterval is the least time between two writes of all shares, so that nodes which start one
	// after the other cost a few calls.
	shareWriteInterval = 3 * time.Second
	// isolationLimit is how long a node may be without most of the others and keep its share. They remove
	// it after lostAfter, and then give its share to others.
	isolationLimit = lostAfter / 2
)

// retryConfirmationSpec is the content of such a record.
type retryConfirmationSpec struct {
	// Start is the start of the node, and Generation that of the newest shares which it has put into force.
	Start      string `json:"start"`
	Generation int64  `json:"generation"`
}

// retryShares is what the node knows of how the retry budget is divided. Its fields but the holder are used by one
// goroutine.
type retryShares struct {
	holder *retrybudget.Holder
	// known is the newest allocation heard of, and version that of its object.
	known   retrybudget.Allocation
	version int64
	// isolatedSince is since when the node has been without most of the others; zero while it has them.
	isolatedSince time.Time
	// missing is since when nodes with a share have had no object, by name.
	missing map[string]time.Time
	// members is how many there were at the last look, and writtenAt when this node last wrote the shares.
	members   int
	writtenAt time.Time
}

// keepRetryShares holds this node's share, and divides the budget where it is the one to do that, until the
// context ends.
func (r *Router) keepRetryShares(ctx context.Context) {
	periodic.Run(ctx, shareInterval, func(ctx context.Context) {
		r.readRetryShares()
		r.holdRetryShare()
		r.divideRetryBudget(ctx)
	})
}

// readRetryShares decodes the newest allocation of the copy.
func (r *Router) readRetryShares() {
	for _, record := range r.copy.Records([]replica.Key{{Kind: kindRetryShares, Name: nameRetryShares}}) {
		if record.Object.Version == r.retryShares.version {
			continue
		}
		allocation, err := retrybudget.DecodeAllocation(record.Object.Spec, int(r.settings.Load().RetryBurst))
		if err != nil {
			// Another writer may have spoilt it. Nobody has a share then until it is written again.
			r.options.Logger.Error("retry shares refused", "revision", record.Object.Version, "error", err.Error())
			allocation = retrybudget.Allocation{Generation: r.retryShares.known.Generation}
		}
		r.retryShares.known, r.retryShares.version = allocation, record.Object.Version
	}
}

// holdRetryShare puts the node's share into force, and confirms where it has become smaller.
func (r *Router) holdRetryShare() {
	share := r.retryShares.known.Shares[r.options.Settings.Name]
	if share.Incarnation != r.startName() || r.isIsolated() {
		r.retryShares.holder.SetShare(retrybudget.Share{})
		return
	}
	r.retryShares.holder.SetShare(share)
	if share.Unconfirmed > 0 {
		r.confirmRetryShare()
	}
}

// confirmRetryShare tells the other nodes which generation is in force here.
func (r *Router) confirmRetryShare() {
	generation := r.retryShares.known.Generation
	spec, err := json.Marshal(retryConfirmationSpec{Start: r.startName(), Generation: generation})
	if err != nil {
		r.options.Logger.Error("retry share not confirmed", "error", err.Error())
		return
	}
	r.copy.Apply(replica.SourceStore, replica.Record{Object: objectapi.Object{
		Kind: kindRetryConfirmation, Name: r.options.Settings.Name, Version: generation, Spec: spec,
	}})
}

// isIsolated reports whether the node has been without most of the others for so long that they may soon
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

// hasMajority reports whether most of the known nodes answer this one.
func (r *Router) hasMajority() bool { return 2*r.responsiveCount() > r.nodeCount() }

// divideRetryBudget writes the shares of all nodes where they have changed. The first of the nodes that answer
// does it; the store refuses the write of one that does not know the newest shares.
func (r *Router) divideRetryBudget(ctx context.Context) {
	now := r.options.Clock.Now()
	if !r.isFirst() || now.Sub(r.retryShares.writtenAt) < shareWriteInterval {
		return
	}
	members := r.retryMembers()
	// Nodes that start together register within a second or so. The first shares are for all of them.
	gathering := r.retryShares.version == 0 && len(members) != r.retryShares.members
	r.retryShares.members = len(members)
	if gathering || len(members) == 0 {
		return
	}
	members = append(members, r.awaited(members)...)
	next, changed := r.retryShares.known.Next(members, r.dividedRepeats())
	if !changed {
		return
	}
	r.retryShares.writtenAt = now
	err := r.writeRetryShares(ctx, next)
	r.options.Logger.Info("retry budget divided", "generation", next.Generation, "nodes", len(next.Shares), "error", logging.ErrorText(err))
}

// dividedRepeats returns how many repeats beside the ratio are divided among the nodes. Those of builds that go
// by the number of nodes take theirs without asking.
func (r *Router) dividedRepeats() int {
	total := r.settings.Load().RetryBurst * budgetShare
	able := len(r.nodes.able(abilityRetryShares))
	return int(total * float64(able) / float64(r.nodeCount()))
}

// writeRetryShares writes the shares of all nodes in the place of those that this node knows, or reads those
// of the store if they are newer.
func (r *Router) writeRetryShares(ctx context.Context, allocation retrybudget.Allocation) error {
	spec, err := json.Marshal(allocation)
	if err != nil {
		return errors.Wrap(err, "encode retry shares")
	}
	object := objectapi.Object{Kind: kindRetryShares, Name: nameRetryShares, Version: r.retryShares.version, Spec: spec}
	written, err := r.options.Environment.Store.Put(ctx, object)
	if errors.Is(err, objectapi.ErrNotFound) {
		// Somebody has removed it; what the nodes have goes on.
		object.Version = 0
		written, err = r.options.Environment.Store.Put(ctx, object)
	}
	if errors.Is(err, objectapi.ErrConflict) {
		r.refetch(ctx, replica.Key{Kind: kindRetryShares, Name: nameRetryShares})
	}
	if err != nil {
		return err
	}
	r.copy.Apply(replica.SourceStore, replica.Record{Object: written})
	return nil
}

// awaited returns the nodes that have a share, but no object, for less time than after which nodes count as lost.
// One that starts again is away for some seconds, and has its share again; given to others, that would have
// to wait for them and for a window.
func (r *Router) awaited(present []retrybudget.Member) []retrybudget.Member {
	now := r.options.Clock.Now()
	isPresent := make(map[string]bool, len(present))
	for _, member := range present {
		isPresent[member.Name] = true
	}
	missing := map[string]time.Time{}
	var awaited []retrybudget.Member
	for name, share := range r.retryShares.known.Shares {
		if isPresent[name] {
			continue
		}
		since, known := r.retryShares.missing[name]
		if !known {
			since = now
		}
		missing[name] = since
		if now.Sub(since) < lostAfter {
			awaited = append(awaited, retrybudget.Member{Name: name, Incarnation: share.Incarnation})
		}
	}
	r.retryShares.missing = missing
	return awaited
}

// retryMembers returns the nodes that may have a share of the retry budget, by name.
func (r *Router) retryMembers() []retrybudget.Member {
	confirmed := map[string]retryConfirmationSpec{}
	for _, object := range r.copy.Live(kindRetryConfirmation) {
		var spec retryConfirmationSpec
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			r.options.Logger.Error("retry confirmation refused", "name", object.Name, "error", err.Error())
			continue
		}
		confirmed[object.Name] = spec
	}
	members := r.nodes.able(abilityRetryShares)
	for i, member := range members {
		if told := confirmed[member.Name]; told.Start == member.Incarnation {
			members[i].Confirmed = told.Generation
		}
	}
	return members
}

// startName names this start of the node.
func (r *Router) startName() string { return strconv.FormatInt(r.started.UnixNano(), 10) }
