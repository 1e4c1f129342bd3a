package gateway

import (
	"context"
	"math/rand/v2"
	"time"
)

// charge charges the request against the quota of its tenant, before it is sent anywhere. A request beyond
// the quota is rejected at once, with the time after which the credit suffices.
func (x *exchange) charge(ctx context.Context) error {
	quotas := x.handler.options.Quotas
	if quotas == nil || x.tenant == nil || !x.tenant.Quota.Limited() {
		return nil
	}
	generation := x.request.Generation
	units := x.tenant.Quota.Cost(generation.PromptTokens + generation.MaxOutputTokens)
	x.quota = quotas.Charge(ctx, x.tenant, units)
	if !x.quota.Granted {
		return beyondQuota(jitterRetryAfter(x.quota.RetryAfter))
	}
	x.charged = units
	return nil
}

const (
	// minQuotaRetryAfter bounds from below the Retry-After of a request beyond its quota: a client retry
	// that comes sooner competes with the callers that were rejected with it.
	minQuotaRetryAfter = 200 * time.Millisecond
	// quotaRetryJitter is the jitter added to Retry-After, as a share, so that callers rejected together
	// retry at different times.
	quotaRetryJitter = 0.2
)

func jitterRetryAfter(after time.Duration) time.Duration {
	return time.Duration(float64(max(after, minQuotaRetryAfter)) * (1 + quotaRetryJitter*rand.Float64()))
}

// refund returns the charged units of a request that has reached no backend which may have run it.
func (x *exchange) refund() {
	if x.charged > 0 && x.runs == 0 {
		x.handler.options.Quotas.Refund(x.tenant, x.charged)
	}
}
