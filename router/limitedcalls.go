package router

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/backendlimit"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/roles"
)

const (
	// singleCall is the cost of a call that the backend counts as one request.
	singleCall = 1
	// reservedRun is the cost of a reservation with the decode call that follows it, so that no prompt is prefilled
	// for a run that may not start.
	reservedRun = 2
)

// limitedDialect charges the calls to backends that limit their requests, before they are made. Calls that free memory
// or belong to a role change are made in any case, and delay later ones.
type limitedDialect struct {
	Dialect
	router *Router
}

var _ Dialect = limitedDialect{}

// permit returns gateway.ErrLimited if a call may not be made now.
func (d limitedDialect) permit(ctx context.Context, target backend.Backend, units float64) error {
	rate, limited := d.router.backends.RequestLimit(target.ID)
	if !limited {
		return nil
	}
	decision := d.router.limits.Charge(ctx, backendlimit.Charge{Backend: target.ID, Rate: rate, Units: units})
	if decision.Granted {
		return nil
	}
	d.router.metrics.Add("calls_beyond_limit", 1)
	d.router.deniedCalls.add(target.ID + " " + string(decision.Source))
	d.router.backends.LimitReached(target.ID, decision.RetryAfter)
	return gateway.ErrLimited
}

// record charges a call that is made in any case.
func (d limitedDialect) record(ctx context.Context, target backend.Backend) {
	if rate, limited := d.router.backends.RequestLimit(target.ID); limited {
		d.router.limits.Charge(ctx, backendlimit.Charge{Backend: target.ID, Rate: rate, Units: singleCall, Unconditional: true})
	}
}

// Send implements gateway.Dialect.
func (d limitedDialect) Send(ctx context.Context, target backend.Backend, request *gateway.Request, left time.Duration) (*gateway.Response, error) {
	if err := d.permit(ctx, target, singleCall); err != nil {
		return nil, err
	}
	return d.Dialect.Send(ctx, target, request, left)
}

// StartedAt implements gateway.Dialect.
func (d limitedDialect) StartedAt(ctx context.Context, target backend.Backend) (int64, error) {
	if err := d.permit(ctx, target, singleCall); err != nil {
		return 0, err
	}
	return d.Dialect.StartedAt(ctx, target)
}

// Reserve implements gateway.Dialect.
func (d limitedDialect) Reserve(ctx context.Context, target backend.Backend, tokens int, lifetime time.Duration) (*gateway.Reservation, error) {
	if err := d.permit(ctx, target, reservedRun); err != nil {
		return nil, err
	}
	return d.Dialect.Reserve(ctx, target, tokens, lifetime)
}

// Release implements gateway.Dialect.
func (d limitedDialect) Release(ctx context.Context, target backend.Backend, reservation gateway.Reservation) error {
	d.record(ctx, target)
	return d.Dialect.Release(ctx, target, reservation)
}

// Prefill implements gateway.Dialect.
func (d limitedDialect) Prefill(ctx context.Context, target backend.Backend, request *gateway.Request, left time.Duration) (*gateway.PrefillResult, *gateway.Response, error) {
	if err := d.permit(ctx, target, singleCall); err != nil {
		return nil, nil, err
	}
	return d.Dialect.Prefill(ctx, target, request, left)
}

// Discard implements gateway.Dialect.
func (d limitedDialect) Discard(ctx context.Context, target backend.Backend, result gateway.PrefillResult) error {
	d.record(ctx, target)
	return d.Dialect.Discard(ctx, target, result)
}

// Report implements roles.EngineClient.
func (d limitedDialect) Report(ctx context.Context, target backend.Backend) (roles.EngineReport, error) {
	d.record(ctx, target)
	return d.Dialect.Report(ctx, target)
}

// ChangeRole implements roles.EngineClient.
func (d limitedDialect) ChangeRole(ctx context.Context, target backend.Backend, order roles.Order) error {
	d.record(ctx, target)
	return d.Dialect.ChangeRole(ctx, target, order)
}

// limitNodes describes the fleet for the limits of backends.
func (r *Router) limitNodes() backendlimit.Nodes {
	return backendlimit.Nodes{All: r.nodeCount(), Responsive: r.responsiveCount()}
}

// logDeniedCalls logs how many calls to backends that limit their requests were denied since the last summary, by
// backend and by what decided.
func (r *Router) logDeniedCalls() {
	if counts := r.deniedCalls.take(); len(counts) > 0 {
		r.options.Logger.Info("calls beyond the limits of backends", "denied", counts)
	}
}
