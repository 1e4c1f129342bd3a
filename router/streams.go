package router

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/softwareversions"
	"github.com/reelrun/reelrun/streamorigin"
)

// publishInterval is the interval between checks whether a software version must be published.
const publishInterval = 200 * time.Millisecond

// newStreams creates what resumed streams need: records of where streams began, and the published software versions.
func (r *Router) newStreams() {
	r.streams = streamorigin.NewClient(streamorigin.ClientOptions{Own: r.Own(), Nodes: r.streamKeepers, Peers: r.client, Now: r.now})
	options := softwareversions.PublisherOptions{
		Store: r.options.Environment.Store, Present: r.backends.SoftwareVersions, VersionOf: r.versionOfStart, Epoch: r.storeEpoch.Load, Now: r.now, Logger: r.options.Logger,
		Announce: func(object objectapi.Object) { r.replica.Apply(replica.SourceStore, replica.Record{Object: object}) },
	}
	r.versionPublisher = softwareversions.NewPublisher(options)
	r.versionProver = softwareversions.NewProver(options)
}

// versionOfStart returns the software version of a start of a backend, if its entry describes it.
func (r *Router) versionOfStart(start softwareversions.Start) (string, bool) {
	entry := r.backends.Registered(start.Backend)
	if entry == nil || entry.Backend().StartedAt != start.StartedAt {
		return "", false
	}
	return entry.Backend().SoftwareVersion, true
}

// recordedVersions tells what is published of the software versions, as this node knows it and as the store has it.
type recordedVersions struct {
	*softwareversions.Prover
	*softwareversions.Publisher
}

// streamKeepers returns the responsive nodes that keep records of where streams began, this one included. Nodes that are
// cut off from the majority keep records as well: a record is right wherever it is found.
func (r *Router) streamKeepers() []streamorigin.Node {
	view := r.fleet()
	keepers := make([]streamorigin.Node, 0, len(view.others)+1)
	keepers = append(keepers, streamorigin.Node{Address: r.Own(), Zone: r.options.Settings.Zone})
	for _, node := range view.others {
		if node.hasCapability(capabilityStreams) && r.syncer.Responsive(node.Address) {
			keepers = append(keepers, streamorigin.Node{Address: node.Address, Zone: node.zone})
		}
	}
	return keepers
}

// publishVersions publishes the software versions of the backends until the context ends. The nodes that watch the store do
// so, in their order.
func (r *Router) publishVersions(ctx context.Context) {
	periodic.Run(ctx, publishInterval, func(ctx context.Context) {
		if !r.backends.Synced() || r.storeEpoch.Load() == unknownEpoch {
			return
		}
		position := r.fleet().position
		if position >= maxWatchers {
			position = -1
		}
		r.versionPublisher.Reconcile(ctx, position)
	})
}

// handleVersions applies the published software versions, as another node received or wrote them.
func (r *Router) handleVersions(change replica.Change) {
	if change.Record.Deleted {
		return
	}
	if err := r.versionPublisher.Received(change.Record.Object); err != nil {
		r.options.Logger.Error("software versions rejected", "error", err.Error())
	}
}
