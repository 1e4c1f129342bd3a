package router

import (
	"context"
	"sync"
	"time"
)

// milestone is something that a node reaches once after its start. It is safe for concurrent use.
type milestone struct {
	once    sync.Once
	reached chan struct{}
}

func newMilestone() *milestone { return &milestone{reached: make(chan struct{})} }

// set notes that it is reached.
func (m *milestone) set() { m.once.Do(func() { close(m.reached) }) }

// isSet reports whether it is reached.
func (m *milestone) isSet() bool {
	select {
	case <-m.reached:
		return true
	default:
		return false
	}
}

// await waits until it is reached, the time has come, or the context ends.
func (m *milestone) await(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.reached:
	case <-timer.C:
	}
}
