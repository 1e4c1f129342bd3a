package gateway

import "sync"

// TenantCounts are the requests of one tenant that have ended since the last report.
type TenantCounts struct {
	// Requests counts all requests.
	Requests int `json:"asked"`
	// InTime counts responses within the objective, Late the other responses.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Limited counts rejections by the tenant's quota, Rejected other rejections of requests that have
	// certainly not run, and Failed requests without a successful response that may have run, or whose
	// caller disconnected.
	Limited  int `json:"limited"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
}

const (
	// maxNamedTenants bounds the tenants that are counted by name in one report: with 13,000 tenants, a
	// node serves a few tens of them a second.
	maxNamedTenants = 64
	// otherTenants is the name for all further tenants; no tenant can have it, since names are not empty.
	otherTenants = ""
)

// tenantCounters counts how requests end, by tenant. It is safe for concurrent use.
type tenantCounters struct {
	mu       sync.Mutex
	byTenant map[string]*TenantCounts
}

// add changes the counts of the tenant of a request; requests without one are not counted.
func (c *tenantCounters) add(x *exchange, change func(*TenantCounts)) {
	if x.tenant == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byTenant == nil {
		c.byTenant = map[string]*TenantCounts{}
	}
	name := x.tenant.Name
	if c.byTenant[name] == nil && len(c.byTenant) >= maxNamedTenants {
		name = otherTenants
	}
	counts := c.byTenant[name]
	if counts == nil {
		counts = &TenantCounts{}
		c.byTenant[name] = counts
	}
	counts.Requests++
	change(counts)
}

// take returns the counts since the last call, by tenant.
func (c *tenantCounters) take() map[string]*TenantCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.byTenant
	c.byTenant = nil
	return snapshot
}

// countTenantFailure counts a request of a tenant that the gateway answered itself.
func (h *Handler) countTenantFailure(x *exchange, final *failure) {
	h.tenantCounters.add(x, func(counts *TenantCounts) {
		switch {
		case final.reason == ReasonQuota:
			counts.Limited++
		case final.retryAfter > 0:
			counts.Rejected++
		default:
			counts.Failed++
		}
	})
}

// LogTenants writes how the requests of tenants have ended since the last call.
func (h *Handler) LogTenants() {
	if counts := h.tenantCounters.take(); len(counts) > 0 {
		h.options.Logger.Info("tenants", "tenants", counts)
	}
}
