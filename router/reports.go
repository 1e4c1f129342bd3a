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
	// idleReports is how many engines without a run a coordinator asks in one round. All of some
	// thousand engines cost 800 calls a second, most of them across zones, and as many
	// connections. An engine that is given a run is asked from then on.
	idleReports = 64
)

// reportTurns chooses which engines a coordinator asks in a round.
type reportTurns struct {
	// next is where the turn of the engines without a run stands.
	next int
}

// take returns the engines to ask: all for which isBusy holds, and some of the others in turn.
func (t *reportTurns) take(engines []string, isBusy func(engine string) bool) []string {
	var asked, idle []string
	for _, engine := range engines {
		if isBusy(engine) {
			asked = append(asked, engine)
		} else {
			idle = append(idle, engine)
		}
	}
	count := min(idleReports, len(idle))
	for i := range count {
		asked = append(asked, idle[(t.next+i)%len(idle)])
	}
	t.next += count
	return asked
}

// followReports asks the decode engines that this node coordinates for the memory
// they use, until the context ends. After nodes were lost, engines still run what
// these had begun.
func (r *Router) followReports(ctx context.Context) {
	var turns reportTurns
	periodic.Run(ctx, reportInterval, func(ctx context.Context) {
		for _, service := range r.coordinatedServices() {
			r.askReports(ctx, service, &turns)
		}
	})
}

func (r *Router) askReports(ctx context.Context, service string, turns *reportTurns) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var engines []string
	for _, entry := range r.backends.Ready(service, backend.RoleDecode) {
		engines = append(engines, entry.Backend().ID)
	}
	inUse := r.coordinator.InUse(service)
	var asked sync.WaitGroup
	for _, id := range turns.take(engines, func(id string) bool { return inUse[id] }) {
		entry := r.backends.Lookup(id)
		if entry == nil || entry.BackoffRemaining() > 0 {
			continue
		}
		asked.Go(func() {
			report, err := r.options.Environment.Dialect.Report(ctx, entry.Backend())
			if err != nil {
				r.metrics.Add("report_errors", 1)
				return
			}
			r.coordinator.ReportMemoryUse(service, entry.Backend().ID, report.UsedTokens)
		})
	}
	asked.Wait()
}
