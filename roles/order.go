package roles

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/logging"
)

// prepared is a change whose engine can take its order.
type prepared struct {
	change Change
	target backend.Backend
	// sequence is the number of orders that the engine has taken.
	sequence int64
}

// order changes the roles of engines, if this node holds the lease. All changes are announced first
// and ordered after one notice period.
func (c *Controller) order(ctx context.Context, planned []Change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+c.options.NoticePeriod)
	defer cancel()
	fencingToken, err := c.options.Lease.Acquire(ctx)
	if err != nil {
		return err
	}
	if !c.options.Lease.TakeoverWaitOver(c.options.MaxOrderDelay) {
		return nil
	}
	ready, err := c.prepare(ctx, planned)
	if len(ready) == 0 {
		return errors.CombineErrors(err, c.releaseLease(ctx))
	}
	if err != nil {
		c.options.Logger.Warn("engine did not report before its role change", "holder", c.options.Holder, "error", err.Error())
	}
	for _, change := range ready {
		c.options.Announce(change.change, fencingToken)
	}
	notice := time.NewTimer(c.options.NoticePeriod)
	defer notice.Stop()
	select {
	case <-ctx.Done():
		c.withdraw(ready, fencingToken)
		return errors.CombineErrors(ctx.Err(), c.releaseLease(ctx))
	case <-notice.C:
	}
	// The lease is checked right before the orders are sent.
	if err := c.options.Lease.Check(callTimeout); err != nil {
		c.withdraw(ready, fencingToken)
		return err
	}
	c.ordered = true
	definite, err := c.send(ctx, ready, fencingToken)
	if definite {
		// No order of this holder is pending.
		return errors.CombineErrors(err, c.releaseLease(ctx))
	}
	return err
}

// prepare requests the reports of all engines that are to change, and returns the changes that can
// be ordered. The error is that of the first engine that did not answer.
func (c *Controller) prepare(ctx context.Context, planned []Change) ([]prepared, error) {
	ready := make([]*prepared, len(planned))
	failures := make([]error, len(planned))
	forEach(planned, func(i int, change Change) {
		ready[i], failures[i] = c.prepareOne(ctx, change)
	})
	var orderable []prepared
	for _, result := range ready {
		if result != nil {
			orderable = append(orderable, *result)
		}
	}
	return orderable, firstError(failures)
}

// prepareOne is prepare for one engine. The result is nil for an engine that was removed, is
// already changing or has the new role.
func (c *Controller) prepareOne(ctx context.Context, change Change) (*prepared, error) {
	entry := c.options.Backends.Lookup(change.Engine)
	if entry == nil {
		return nil, nil //nolint:nilnil // an engine that was removed is no failure
	}
	target := entry.Backend()
	report, err := c.options.EngineClient.Report(ctx, target)
	if err != nil {
		return nil, errors.Wrapf(err, "get report of engine %s", change.Engine)
	}
	// An order may be carried out although its response is lost, so the engine counts as changing
	// before the order is sent.
	c.MarkChanging(change)
	if report.Changing || report.Role == change.Role {
		return nil, nil //nolint:nilnil // no order is needed
	}
	return &prepared{change: change, target: target, sequence: report.Sequence}, nil
}

// send sends all orders concurrently. It reports whether each got a definite response.
func (c *Controller) send(ctx context.Context, ready []prepared, fencingToken uint64) (definite bool, err error) {
	failures := make([]error, len(ready))
	forEach(ready, func(i int, item prepared) {
		failures[i] = c.options.EngineClient.ChangeRole(ctx, item.target, Order{
			Role: item.change.Role, Holder: c.options.Holder, FencingToken: fencingToken, Expected: item.sequence,
		})
		c.options.Logger.Info("role ordered", "engine", item.change.Engine, "role", string(item.change.Role),
			"fence", fencingToken, "expected", item.sequence, "error", logging.ErrorText(failures[i]))
	})
	for _, failure := range failures {
		if failure != nil && !errors.Is(failure, ErrOrderRejected) {
			return false, failure
		}
	}
	return true, firstError(failures)
}

// forEach calls work for all items concurrently and waits for all calls.
func forEach[T any](items []T, work func(int, T)) {
	var group sync.WaitGroup
	for i, item := range items {
		group.Go(func() { work(i, item) })
	}
	group.Wait()
}

// firstError returns the first error, or nil.
func firstError(failures []error) error {
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// releaseLease lets other nodes take the lease, also while this node is stopping. No order of this
// node may be pending.
func (c *Controller) releaseLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return c.options.Lease.MarkIdle(ctx)
}

// withdraw withdraws announced changes whose orders were not sent.
func (c *Controller) withdraw(ready []prepared, fencingToken uint64) {
	for _, item := range ready {
		c.ClearChanging(item.change.Engine)
		c.options.Withdraw(item.change, fencingToken)
	}
}
