package router

import "github.com/reelrun/reelrun/replica"

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
		}
		return
	}
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
