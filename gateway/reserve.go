package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/routing"
)

const (
	// reserveTimeout bounds one call for a reservation.
	reserveTimeout = 100 * time.Millisecond
	// releaseTimeout bounds the calls that free what is no longer needed.
	releaseTimeout = 2 * time.Second
	// reserveInterval is the pause between two rounds over all engines.
	reserveInterval = 40 * time.Millisecond
	// fullMemory is how long a back end counts as full after it said so.
	fullMemory = 100 * time.Millisecond
)

// seat is a reservation at an engine.
type seat struct {
	entry       *backend.Entry
	reservation Reservation
	end         func()
}

// reserve takes memory at a decode engine, waiting a bounded time for it.
func (x *exchange) reserve(ctx context.Context, profile *routing.EngineProfile, tokens int, avoid map[string]bool) (*seat, error) {
	policy := &x.handler.options.Policy
	until := time.Now().Add(policy.ReservationWait)
	for {
		taken, err := x.reserveOnce(ctx, profile, tokens, avoid)
		if taken != nil || err != nil {
			return taken, err
		}
		if time.Now().Add(reserveInterval).After(until) {
			return nil, notRun(ReasonNoRoom, x.handler.room.retryAfter(), nil)
		}
		if err := pause(ctx, reserveInterval); err != nil {
			return nil, ended(ctx)
		}
	}
}

// reserveOnce asks each decode engine once.
func (x *exchange) reserveOnce(ctx context.Context, profile *routing.EngineProfile, tokens int, avoid map[string]bool) (*seat, error) {
	lasting := min(x.handler.options.Policy.ReservationLifetime, profile.HoldLimit)
	candidates := x.handler.decodeCandidates(x.service, avoid)
	for _, entry := range candidates {
		if err := ended(ctx); err != nil {
			return nil, err
		}
		callContext, cancel := context.WithTimeout(ctx, reserveTimeout)
		reservation, err := x.handler.options.Dialect.Reserve(callContext, entry.Backend(), tokens, lasting)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			entry.Failed()
			x.handler.options.Metrics.Add("reservation_errors", 1)
		case reservation != nil:
			return &seat{entry: entry, reservation: *reservation, end: entry.Begin()}, nil
		default:
			entry.Full(fullMemory)
		}
	}
	return nil, ended(ctx)
}

// decodeCandidates returns the engines in the order in which they are asked.
func (h *Handler) decodeCandidates(service string, avoid map[string]bool) []*backend.Entry {
	var candidates []*backend.Entry
	for _, entry := range h.options.Backends.Ready(service, backend.RoleDecode) {
		if avoid[entry.Backend().ID] || entry.Failures() > unsoundFailures {
			continue
		}
		candidates = append(candidates, entry)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// unsoundFailures is the number of recent failures above which an engine is
// given no streams.
const unsoundFailures = 0.7

// release gives a reservation back that no run has used.
func (x *exchange) release(ctx context.Context, taken *seat) {
	taken.end()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	go func() {
		defer cancel()
		if err := x.handler.options.Dialect.Release(ctx, taken.entry.Backend(), taken.reservation); err != nil {
			x.handler.options.Metrics.Add("release_errors", 1)
		}
	}()
}

// discard frees a prompt that was read and is not used.
func (x *exchange) discard(ctx context.Context, source *backend.Entry, result PrefillResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	go func() {
		defer cancel()
		if err := x.handler.options.Dialect.Discard(ctx, source.Backend(), result); err != nil {
			x.handler.options.Metrics.Add("discard_errors", 1)
		}
	}()
}

// pause waits unless the context ends first.
func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pause")
	case <-timer.C:
		return nil
	}
}
