package router

import (
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/objectapi"
)

// freshness describes how current the configuration of this node is.
func (r *Router) freshness() gateway.Freshness {
	status := r.syncer.SyncStatus()
	return gateway.Freshness{
		ActiveRevision: r.activeRevision.Load(), KnownRevision: r.revisionKnown(),
		SinceInSync: status.UrgentAge, Exchanges: status.Exchanges, OldestExchange: status.OldestExchange,
	}
}

// revisionKnown returns the newest revision of a configuration in the replica.
func (r *Router) revisionKnown() int64 {
	newest := int64(0)
	for _, object := range r.replica.Live(r.options.Environment.ConfigurationKind) {
		newest = max(newest, object.Version)
	}
	return newest
}

// publishFreshness registers the gauges of the configuration's age.
func (r *Router) publishFreshness() {
	r.metrics.Gauge("configuration_revision_in_force", func() float64 { return float64(r.activeRevision.Load()) })
	r.metrics.Gauge("configuration_revision_known", func() float64 { return float64(r.revisionKnown()) })
	r.metrics.Gauge("copy_agreed_age_seconds", func() float64 { return r.syncer.SyncStatus().UrgentAge.Seconds() })
	r.metrics.Gauge("copy_exchanges_under_way", func() float64 { return float64(r.syncer.SyncStatus().Exchanges) })
}

// recordActiveRevision records the object whose configuration is now active.
func (r *Router) recordActiveRevision(object objectapi.Object) {
	r.activeRevision.Store(object.Version)
}
