package router

import (
	"net"
	"net/http"

	"github.com/reelrun/reelrun/callerconn"
	"github.com/reelrun/reelrun/connectionlimit"
	"github.com/reelrun/reelrun/settings"
)

const (
	// reservedDescriptors are left to files, to the store, to other nodes and to those that listen.
	reservedDescriptors = 250
	// callerDescriptorShare is the share of the other descriptors that connections of callers may take. Each request may need one
	// to a backend as well.
	callerDescriptorShare = 0.5
	// callerMemoryShare is the share of the node's memory that idle connections of callers may take, at connectionBytes each.
	callerMemoryShare = 0.25
	connectionBytes   = 20 << 10
	// minCallerConnections keeps a node usable whose settings are too small.
	minCallerConnections = 50
	// usualDescriptors and usualMemoryBytes are assumed where the settings do not state them.
	usualDescriptors = 4096
	usualMemoryBytes = 512 << 20
)

// maxCallerConnections returns how many connections of callers a node keeps open.
func maxCallerConnections(own *settings.Router) int {
	descriptors, memory := own.Descriptors, own.MemoryBytes
	if descriptors == 0 {
		descriptors = usualDescriptors
	}
	if memory == 0 {
		memory = usualMemoryBytes
	}
	byDescriptors := float64(descriptors-reservedDescriptors) * callerDescriptorShare
	byMemory := float64(memory) * callerMemoryShare / connectionBytes
	return max(minCallerConnections, int(min(byDescriptors, byMemory)))
}

// limitCallerConnections prepares the bound on the open connections of callers.
func (r *Router) limitCallerConnections() {
	r.callerConnections = connectionlimit.New(maxCallerConnections(r.options.Settings), func(idle bool) {
		if idle {
			r.metrics.Add("idle_callers_closed", 1)
			r.closedConnections.add("idle")
			return
		}
		r.metrics.Add("callers_refused", 1)
		r.closedConnections.add("new")
	})
}

// logClosedConnections logs how many connections of callers the bound has closed since the last summary, idle and new ones.
func (r *Router) logClosedConnections() {
	if counts := r.closedConnections.take(); len(counts) > 0 {
		r.options.Logger.Warn("connections of callers closed", "closed", counts, "open", r.callerConnections.Open())
	}
}

// trackCaller follows the state of a caller's connection.
func (r *Router) trackCaller(conn net.Conn, state http.ConnState) {
	callerconn.Track(conn, state)
	r.callerConnections.Track(conn, state)
}
