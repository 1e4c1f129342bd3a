package router

import "github.com/reelrun/reelrun/tenant"

// tenantNamed returns a tenant of the active configuration, or nil.
func (r *Router) tenantNamed(name string) *tenant.Tenant {
	configuration := r.gateway.Configuration()
	if configuration == nil || configuration.Tenants == nil {
		return nil
	}
	return configuration.Tenants.Lookup(name)
}

// anyTenantLimited reports whether a tenant of the active configuration has a limit.
func (r *Router) anyTenantLimited() bool {
	configuration := r.gateway.Configuration()
	return configuration != nil && configuration.Tenants != nil && configuration.Tenants.AnyLimited()
}
