package router

import (
	"context"
	"sync"
	"time"
)

// latch is an event that occurs once after a node's start. It is safe for concurrent use.
type latch struct {
	once    sync.Once
	reached chan struct{}
}

func newLatch() *latch { return &latch{reached: make(chan struct{})} }

// set marks the event as occurred.
func (l *latch) set() { l.once.Do(func() { close(l.reached) }) }

// isSet reports whether the event has occurred.
func (l *latch) isSet() bool {
	select {
	case <-l.reached:
		return true
	default:
		return false
	}
}

// await waits until the event occurs, the given time is reached, or the context ends.
func (l *latch) await(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.reached:
	case <-timer.C:
	}
}
