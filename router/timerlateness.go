package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/reelrun/reelrun/metrics"
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
	// greatest is the greatest lateness since the last summary, in nanoseconds.
	greatest atomic.Int64
}

func newTimerLateness(set *metrics.Set) *timerLateness { return &timerLateness{metrics: set} }

// measure measures until the context ends.
func (l *timerLateness) measure(ctx context.Context) {
	timer := time.NewTimer(latenessInterval)
	defer timer.Stop()
	for due := time.Now().Add(latenessInterval); ; due = time.Now().Add(latenessInterval) {
		timer.Reset(latenessInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		late := time.Since(due)
		l.metrics.Observe("timer_lateness", late)
		l.greatest.Store(max(l.greatest.Load(), int64(late)))
	}
}

// take returns the greatest lateness since the last call.
func (l *timerLateness) take() time.Duration { return time.Duration(l.greatest.Swap(0)) }

// logLateness logs how late timers have fired since the last summary, if they were late.
func (r *Router) logLateness() {
	if late := r.lateness.take(); late > loggedLateness {
		r.options.Logger.Info("timers late", "late_ms", late.Milliseconds())
	}
}
