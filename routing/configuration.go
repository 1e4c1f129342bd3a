package routing

import (
	"strings"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

// EngineProfile describes the engines of a service.
type EngineProfile struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// MemoryTokens is how many tokens the memory of an engine holds.
	MemoryTokens int
	// MaxReservationTime is the longest time for which memory may be reserved.
	MaxReservationTime time.Duration
	// EventTokens is the largest number of tokens in one event of a stream.
	EventTokens int
	// RoleChangeTime is how long an idle engine takes to change its role.
	RoleChangeTime time.Duration
}

// Service is a set of interchangeable backends.
type Service struct {
	Name string
	// MaxConnections is how many connections a backend accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *EngineProfile
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of all routes, services and limits. It is immutable after New.
type Configuration struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Tenants are the callers identified by their keys; nil if callers need none.
	Tenants *tenant.Directory
	// routes holds the routes of each host by path prefix.
	routes     map[string]map[string]*Route
	routeCount int
}

// New returns a configuration with the given parts.
func New(version int64, routes []*Route, services []*Service, limits Limits) *Configuration {
	c := &Configuration{
		Version:    version,
		Services:   make(map[string]*Service, len(services)),
		Limits:     limits,
		routes:     map[string]map[string]*Route{},
		routeCount: len(routes),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		c.add(route)
	}
	return c
}

// add adds a route, unless the host already has a route with the same prefix.
func (c *Configuration) add(route *Route) {
	if c.routes[route.Host] == nil {
		c.routes[route.Host] = map[string]*Route{}
	}
	if c.routes[route.Host][route.PathPrefix] == nil {
		c.routes[route.Host][route.PathPrefix] = route
	}
}

// Match returns the route of the host with the longest prefix of the path, or nil. Prefixes end
// with a slash, so it looks up each prefix of the path that ends with one; the cost depends on the
// path and not on the number of routes.
func (c *Configuration) Match(host, path string) *Route {
	hostRoutes := c.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := hostRoutes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int { return c.routeCount }
