package router

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/backendpath"
)

// monitorLinks checks this node's own links to backends when that is due, until the context ends.
func (r *Router) monitorLinks(ctx context.Context) {
	for {
		due := r.tunnels.tracker.Due()
		r.checkLinks(ctx, due.Addresses)
		r.announceCutOff()
		if len(due.Addresses) > 0 {
			continue
		}
		if !awaitCheck(ctx, r.tunnels.wake, due.Next) {
			return
		}
	}
}

// awaitCheck waits until the next check may be due: after a time, unless it is zero, or after a signal. It reports false
// once the context has ended.
func awaitCheck(ctx context.Context, wake <-chan struct{}, next time.Duration) bool {
	var elapsed <-chan time.Time
	if next > 0 {
		timer := time.NewTimer(next)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-elapsed:
	}
	return ctx.Err() == nil
}

// checkLinks connects to backends over this node's own link, and through another node where that fails. Idle tunnels are
// closed, so that none is used for long after its node has begun to stop, or after the node's own link has recovered.
func (r *Router) checkLinks(ctx context.Context, addresses []string) {
	r.dialect.CloseIdleTunnels()
	var checks sync.WaitGroup
	for _, address := range addresses {
		checks.Go(func() { r.checkLink(ctx, address) })
	}
	checks.Wait()
}

func (r *Router) checkLink(ctx context.Context, address string) {
	r.metrics.Add("link_checks", 1)
	conn, err := r.dialect.DialDirect(ctx, address)
	if err != nil && r.tunnels.tracker.FaultIsUnconfirmed(address) {
		conn, err = r.dialect.DialTunnel(ctx, address)
	}
	if err == nil {
		_ = conn.Close()
	}
}

// cutOffChanged logs that this node has begun or ceased to count as cut off from the backends. Idle connections of the
// path that is no longer used are closed, because they may be silent or cost a second link.
func (r *Router) cutOffChanged(change backendpath.Change) {
	services := r.backends.ServicesAt(change.Addresses)
	if change.CutOff {
		r.metrics.Add("cut_off_from_backends", 1)
		r.options.Logger.Warn("back ends are reached through other nodes", "services", services, "backends", len(change.Addresses),
			"evidence", "own link fails, other nodes connect", "addresses", change.Addresses)
		go r.dialect.CloseIdleDirect()
		return
	}
	r.options.Logger.Info("back ends are reached again", "services", services, "after_ms", change.Lasted.Milliseconds())
	go r.dialect.CloseIdleTunnels()
}

// orderedServices returns the engine services whose roles this node may change. A node that is cut off gives no orders:
// it could not deliver them, and engines take the orders of each node for those of another holder of the lease. Another
// node coordinates the services once it knows.
func (r *Router) orderedServices() []string {
	if r.tunnels.tracker.CutOff() {
		return nil
	}
	return r.coordinatedServices()
}
