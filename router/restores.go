package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/replica"
)

// unknownEpoch is the epoch of the store before anything is known of it.
const unknownEpoch = -1

// StoreEpoch records the epoch of the store, which counts how often it has been restored from a copy. What was written
// after the copy is lost then.
func (r *Router) StoreEpoch(epoch int64) {
	for {
		known := r.storeEpoch.Load()
		if epoch <= known {
			return
		}
		if !r.storeEpoch.CompareAndSwap(known, epoch) {
			continue
		}
		if known != unknownEpoch {
			r.metrics.Add("store_restores", 1)
			r.options.Logger.Warn("store restored from a copy", "epoch_before", known, "epoch", epoch)
			r.storeHealth.noteRestore()
			signal(r.restored)
		}
		return
	}
}

// signal sends a signal on a channel with a buffer of one, unless one is pending.
func signal(signals chan<- struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

const (
	// registrationCheckDelay and registrationCheckJitter are the time after a restore in which a node receives the
	// restored objects of the nodes. A node whose object is missing must register before the others give it up, after
	// expiryGrace.
	registrationCheckDelay  = time.Second
	registrationCheckJitter = 500 * time.Millisecond
)

// reregisterAfterRestore registers the node again if its object is missing in the restored store, or is that of an
// earlier start.
func (r *Router) reregisterAfterRestore(ctx context.Context) {
	delay := registrationCheckDelay + time.Duration(rand.Float64()*float64(registrationCheckJitter))
	if periodic.Pause(ctx, delay) != nil || r.isRegisteredSinceRestore() {
		return
	}
	r.options.Logger.Warn("node object is missing in the restored store; registering again")
	r.register(ctx)
}

// isRegisteredSinceRestore reports whether the store has this node's object in its newest epoch.
func (r *Router) isRegisteredSinceRestore() bool {
	_, registered := r.ownNode()
	version := r.replica.Version(replica.Key{Kind: kindNode, Name: r.options.Settings.Name})
	return registered && objectapi.EpochOf(version) >= r.storeEpoch.Load()
}

// noteOutdated counts an object of the store that is older than the one that this node knows, and is ignored.
func (r *Router) noteOutdated(record replica.Record) {
	for _, known := range r.replica.Records([]replica.Key{record.Key()}) {
		if record.Object.Version < known.Object.Version {
			r.metrics.Add("store_objects_outdated", 1)
			r.outdatedObjects.add(string(record.Object.Kind) + " " + record.Object.Name)
		}
	}
}

// logOutdatedObjects logs the objects of the store that were ignored since the last summary, as they were older than
// the known ones. Changes that other nodes have sent before are not among them: they have the same version.
func (r *Router) logOutdatedObjects() {
	if counts := r.outdatedObjects.take(); len(counts) > 0 {
		r.options.Logger.Info("objects of the store ignored as outdated", "objects", counts)
	}
}
