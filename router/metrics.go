package router

import (
	"io"
	"net/http"
	"time"

	"github.com/reelrun/reelrun/backend"
)

// publishGauges registers the gauges, whose values are computed when they are
// read.
func (r *Router) publishGauges() {
	r.metrics.Gauge("uptime_seconds", func() float64 { return time.Since(r.started).Seconds() })
	r.metrics.Gauge("configuration_version", func() float64 {
		if configuration := r.gateway.Configuration(); configuration != nil {
			return float64(configuration.Version)
		}
		return 0
	})
	r.metrics.Gauge("store_answer_age_seconds", func() float64 { return r.storeHealth.sinceResponse().Seconds() })
	r.metrics.Gauge("nodes_known", func() float64 { return float64(r.nodeCount()) })
	r.metrics.Gauge("nodes_responsive", func() float64 { return float64(r.responsiveCount()) })
	r.metrics.Gauge("nodes_of_other_builds", func() float64 { return float64(r.nodes.countOtherBuilds(buildName())) })
	r.metrics.Gauge("caller_connections", func() float64 { return float64(r.callerConnections.Open()) })
	r.metrics.Gauge("requests_in_progress", func() float64 { return float64(r.gateway.InProgress()) })
	r.metrics.Gauge("tunnels_being_served", func() float64 { return float64(r.tunnels.served.Load()) })
	r.metrics.Gauge("backends_tunnelled", func() float64 { return float64(r.tunnels.tracker.FaultyLinks()) })
	r.metrics.Gauge("stream_origins", func() float64 { return float64(r.streams.Size()) })
	r.metrics.Gauge("retry_share", func() float64 { return float64(r.retryShares.holder.Usable()) })
	r.metrics.Gauge("services_coordinated", func() float64 { return float64(len(r.coordinatedServices())) })
	for _, role := range []backend.Role{backend.RoleNone, backend.RolePrefill, backend.RoleDecode} {
		r.metrics.Gauge("backends_ready_"+roleName(role), func() float64 { return float64(r.backends.CountReady(role)) })
	}
}

// roleName returns the name of a role in metrics and log lines.
func roleName(role backend.Role) string {
	if role == backend.RoleNone {
		return "plain"
	}
	return string(role)
}

// metricsHandler serves all metrics as JSON.
func (r *Router) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, r.metrics.String()) // The client may have disconnected.
	})
}
