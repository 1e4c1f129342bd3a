package gateway

import (
	"context"
	"math/rand/v2"
	"time"
)

// charge charges the request to the limit of its tenant, before it is sent anywhere. A request
// beyond the limit is refused at once, with the time at which the credit suffices.
func (x *exchange) charge(ctx context.Context) error {
	quotas := x.handler.options.Quotas
	if quotas == nil || x.tenant == nil || !x.tenant.Quota.Limited() {
		return nil
	}
	generation := x.request.Generation
	units := x.tenant.Quota.Cost(generation.PromptTokens + generation.MaxOutputTokens)
	x.quota = quotas.Charge(ctx, x.tenant, units)
	if !x.quota.Granted {
		return beyondQuota(spreadRetry(x.quota.RetryAfter))
	}
	x.charged = units
	return nil
}

const (
	// leastQuotaRetry is the least time after which a caller beyond its limit is asked to come
	// back: one that comes sooner meets callers that were refused with it.
	leastQuotaRetry = 200 * time.Millisecond
	// quotaRetrySpread is by how much, as a share, callers that are refused together come back at
	// different times.
	quotaRetrySpread = 0.2
)

func spreadRetry(after time.Duration) time.Duration {
	return time.Duration(float64(max(after, leastQuotaRetry)) * (1 + quotaRetrySpread*rand.Float64()))
}

// giveBack returns what a request was charged that has reached no back end which may have run it.
func (x *exchange) giveBack() {
	if x.charged > 0 && x.runs == 0 {
		x.handler.options.Quotas.Refund(x.tenant, x.charged)
	}
}
