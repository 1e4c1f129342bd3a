package account

import (
	"io"
	"maps"
	"slices"
)

// TenantCounts counts the requests of one tenant by how they ended.
type TenantCounts struct {
	Requests int `json:"asked"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	// Limited counts requests rejected by the tenant's quota, Rejected other rejections, and Failed
	// requests that may have run but got no successful response.
	Limited  int `json:"limited"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
}

func (b *builder) addTenants(read line) {
	for name, more := range read.Tenants {
		counts := b.tenants[name]
		counts.Requests += more.Requests
		counts.InTime += more.InTime
		counts.Late += more.Late
		counts.Limited += more.Limited
		counts.Rejected += more.Rejected
		counts.Failed += more.Failed
		b.tenants[name] = counts
	}
}

func (a *Account) writeTenants(table io.Writer) {
	row(table, "tenant", "asked", "in time", "late", "beyond its limit", "refused otherwise", "failed")
	for _, name := range slices.Sorted(maps.Keys(a.Tenants)) {
		counts := a.Tenants[name]
		if name == "" {
			name = "(others)"
		}
		row(table, name, counts.Requests, counts.InTime, counts.Late, counts.Limited, counts.Rejected, counts.Failed)
	}
	row(table)
}
