package gateway

import "net/http"

// identify matches the route of the request and authenticates the caller, before anything else is done. A
// caller without a known key is rejected unless the route is public.
func (x *exchange) identify(path string) error {
	x.route = x.configuration.Match(x.request.Host, path)
	if x.route == nil {
		return rejected(http.StatusNotFound, ReasonNoRoute, nil)
	}
	if x.configuration.Tenants == nil {
		return nil
	}
	found, identified := x.configuration.Tenants.Identify(x.request.Credential)
	if identified {
		x.tenant = found
		x.request.Tenant = found.Name
		return nil
	}
	if x.route.Public {
		return nil
	}
	return rejected(http.StatusUnauthorized, ReasonUnknownKey, nil)
}
