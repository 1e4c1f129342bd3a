package router

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// now reads the clock by which runs are counted.
func (r *Router) now() time.Duration { return time.Since(r.started) }

// handlePeer answers another node.
func (r *Router) handlePeer(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch request.GetBody().(type) {
	case *peerpb.Request_CompareReplicas, *peerpb.Request_ExchangeObjects:
		return r.syncer.Handle(ctx, request)
	case *peerpb.Request_AssignEngines, *peerpb.Request_EndRun:
		return r.coordinator.Handle(ctx, request)
	default:
		return nil, peer.ErrUnknownCall
	}
}

// Live implements coordinator.Fleet.
func (r *Router) Live() []string {
	live := []string{r.Own()}
	for _, address := range r.peers() {
		if r.syncer.Responsive(address) {
			live = append(live, address)
		}
	}
	return live
}

// Own implements coordinator.Fleet.
func (r *Router) Own() string { return r.options.Settings.PeerAddress }

// Silent implements coordinator.Fleet.
func (r *Router) Silent(address string, err error) { r.syncer.Silent(address, err) }

// engines returns the engines of a service that take new work.
func (r *Router) engines(service string) coordinator.Engines {
	var engines coordinator.Engines
	configuration := r.gateway.Configuration()
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].Engine == nil {
		return engines
	}
	profile := configuration.Services[service].Engine
	for _, entry := range r.backends.Ready(service, backend.RoleDecode) {
		if entry.Sound() {
			engines.Decode = append(engines.Decode, ledger.Engine{ID: entry.Backend().ID, Memory: profile.MemoryTokens, Slots: profile.Slots})
		}
	}
	for _, entry := range r.backends.Ready(service, backend.RolePrefill) {
		if entry.Sound() {
			engines.Prefill = append(engines.Prefill, entry.Backend().ID)
		}
	}
	return engines
}
