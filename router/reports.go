package router

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/periodic"
)

const (
	// reportInterval is how often a coordinator asks its decode engines for their use.
	reportInterval = time.Second
	// reportTimeout bounds one such call.
	reportTimeout = 300 * time.Millisecond
)

// followReports asks the decode engines that this node coordinates for the memory
// they use, until the context ends. After nodes were lost, engines still run what
// these had begun.
func (r *Router) followReports(ctx context.Context) {
	periodic.Run(ctx, reportInterval, func(ctx context.Context) {
		for _, service := range r.coordinatedServices() {
			r.askReports(ctx, service)
		}
	})
}

func (r *Router) askReports(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, entry := range r.backends.Ready(service, backend.RoleDecode) {
		asked.Go(func() {
			report, err := r.options.Backplane.Dialect.Report(ctx, entry.Backend())
			if err != nil {
				r.metrics.Add("report_errors", 1)
				return
			}
			r.coordinator.Reported(service, entry.Backend().ID, report.UsedTokens)
		})
	}
	asked.Wait()
}
