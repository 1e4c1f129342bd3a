package completion

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/tasks"
	"github.com/reelrun/reelrun/timeline"
)

// Retry intervals of a cancellation. A cancellation is abandoned after
// cancelMaxElapsed: by then the engine must have been restarted, or the owner's
// inspection of the engine has made up for the cancellation.
const (
	cancelFirstInterval = 50 * time.Millisecond
	cancelMaxInterval   = time.Second
	cancelMaxElapsed    = 2 * time.Minute
)

// canceller cancels attempts at engines until they acknowledge.
type canceller struct {
	engines *engine.Client
	metrics *metrics.Set
	events  *timeline.Ring
	// ctx ends with the service.
	ctx     context.Context
	running tasks.Group
}

// cancel returns at once; the cancellation continues in the background.
func (c *canceller) cancel(name, address string, attempt engine.Attempt) {
	c.running.Go(func() {
		policy := backoff.NewExponentialBackOff(
			backoff.WithInitialInterval(cancelFirstInterval),
			backoff.WithMaxInterval(cancelMaxInterval),
			backoff.WithMaxElapsedTime(cancelMaxElapsed),
		)
		err := backoff.Retry(func() error { return c.engines.Cancel(c.ctx, address, attempt) }, backoff.WithContext(policy, c.ctx))
		if err != nil {
			c.metrics.Add("cancel_failures", 1)
			return
		}
		c.metrics.Add("cancels", 1)
		c.events.Record(timeline.Event{Kind: "cancelled", Request: attempt.RequestID, Engine: name})
	})
}

// wait returns when every cancellation has ended.
func (c *canceller) wait() { c.running.Wait() }
