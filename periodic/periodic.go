// Package periodic runs work at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls work at each interval until the context ends. The first call is made after
// one interval. Calls never overlap: if a call takes longer than the interval, the calls
// that fall due in the meantime are skipped.
func Run(ctx context.Context, interval time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if ctx.Err() != nil {
				// If both cases were ready, select chose one at random.
				return
			}
			work(ctx)
		}
	}
}

// RunNow is like Run but makes the first call immediately.
func RunNow(ctx context.Context, interval time.Duration, work func(context.Context)) {
	if ctx.Err() == nil {
		work(ctx)
	}
	Run(ctx, interval, work)
}

// Pause waits for the duration. If the context ends first, it returns the context's error.
func Pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
