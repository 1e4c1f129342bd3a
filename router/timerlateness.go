package router

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/periodic"
)

const (
	// latenessInterval is the interval between two measurements.
	latenessInterval = 250 * time.Millisecond
	// loggedLateness is how late a timer must be to be logged.
	loggedLateness = 100 * time.Millisecond
)

// timerLateness measures how late timers fire. A node without a processor notices requests, responses and the ends of their
// time as late as its timers.
type timerLateness struct {
	metrics *metrics.Set

	mu sync.Mutex
	// greatest is the greatest lateness since the last summary.
	greatest time.Duration
}

func newTimerLateness(set *metrics.Set) *timerLateness { return &timerLateness{metrics: set} }

// measure measures until the context ends.
func (l *timerLateness) measure(ctx context.Context) {
	due := time.Now().Add(latenessInterval)
	periodic.Run(ctx, latenessInterval, func(context.Context) {
		l.record(max(0, time.Since(due)))
		due = time.Now().Add(latenessInterval)
	})
}

func (l *timerLateness) record(late time.Duration) {
	l.metrics.Observe("timer_lateness", late)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.greatest = max(l.greatest, late)
}

// take returns the greatest lateness since the last call.
func (l *timerLateness) take() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	greatest := l.greatest
	l.greatest = 0
	return greatest
}

// logLateness logs how late timers have fired since the last summary, if they were late.
func (r *Router) logLateness() {
	if late := r.lateness.take(); late > loggedLateness {
		r.options.Logger.Info("timers late", "late_ms", late.Milliseconds())
	}
}
