package router

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/periodic"
)

const (
	// reportInterval is the interval at which a coordinator polls its decode engines for their
	// usage.
	reportInterval = time.Second
	// reportTimeout bounds the calls for one service in one round.
	reportTimeout = 300 * time.Millisecond
	// idleReports is the number of engines without a run that a coordinator polls in one round.
	// Polling all of some thousand engines takes 800 calls a second, most of them across zones,
	// and as many connections. An engine that is given a run is polled from then on.
	idleReports = 64
)

// reportRotation selects the engines that a coordinator polls in a round.
type reportRotation struct {
	// offset is the position of the rotation through the engines without a run.
	offset int
}

// next returns the engines to poll: all for which isBusy holds, and some of the others in
// rotation.
func (r *reportRotation) next(engines []string, isBusy func(engine string) bool) []string {
	var polled, idle []string
	for _, engine := range engines {
		if isBusy(engine) {
			polled = append(polled, engine)
		} else {
			idle = append(idle, engine)
		}
	}
	count := min(idleReports, len(idle))
	for i := range count {
		polled = append(polled, idle[(r.offset+i)%len(idle)])
	}
	r.offset += count
	return polled
}

// pollReports polls the decode engines that this node coordinates for the memory they use,
// until the context ends. Their reports include runs that were started by nodes that are now lost.
func (r *Router) pollReports(ctx context.Context) {
	var rotation reportRotation
	periodic.Run(ctx, reportInterval, func(ctx context.Context) {
		for _, service := range r.coordinatedServices() {
			r.pollService(ctx, service, &rotation)
		}
	})
}

func (r *Router) pollService(ctx context.Context, service string, rotation *reportRotation) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var engines []string
	for _, entry := range r.backends.Ready(service, backend.RoleDecode) {
		engines = append(engines, entry.Backend().ID)
	}
	inUse := r.coordinator.InUse(service)
	var polled sync.WaitGroup
	for _, id := range rotation.next(engines, func(id string) bool { return inUse[id] }) {
		entry := r.backends.Lookup(id)
		if entry == nil || entry.BackoffRemaining() > 0 {
			continue
		}
		if _, limited := entry.RequestLimit(); limited {
			// A report each second would use up a small limit.
			continue
		}
		polled.Go(func() {
			report, err := r.dialect.Report(ctx, entry.Backend())
			if err != nil {
				r.metrics.Add("report_errors", 1)
				return
			}
			r.coordinator.ReportMemoryUse(service, entry.Backend().ID, report.UsedTokens)
		})
	}
	polled.Wait()
}
