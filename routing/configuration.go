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
	// RoleChangeTime is how long an engine takes to change its role, once idle.
	RoleChangeTime time.Duration
}

// Service is a set of back ends that are alike.
type Service struct {
	Name string
	// MaxConnections is how many connections a back end accepts from all callers.
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

// Configuration is one version of all routes, services and limits. It is not
// changed after New.
type Configuration struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Tenants are the callers that are known by their keys; nil where callers need none.
	Tenants *tenant.Directory
	// routes holds the routes of each host by their prefixes.
	routes map[string]map[string]*Route
	count  int
}

// New returns a configuration of the given parts.
func New(version int64, routes []*Route, services []*Service, limits Limits) *Configuration {
	c := &Configuration{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		routes:   map[string]map[string]*Route{},
		count:    len(routes),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		c.add(route)
	}
	return c
}

// add puts a route in. Of two with the same prefix the first one counts.
func (c *Configuration) add(route *Route) {
	if c.routes[route.Host] == nil {
		c.routes[route.Host] = map[string]*Route{}
	}
	if c.routes[route.Host][route.PathPrefix] == nil {
		c.routes[route.Host][route.PathPrefix] = route
	}
}

// Match returns the route of a host whose prefix begins the path and is the
// longest, or nil. Prefixes end with a slash, so that it looks each part of the path that does
// up, and the cost goes by the path and not by the number of routes.
func (c *Configuration) Match(host, path string) *Route {
	ofHost := c.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := ofHost[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int { return c.count }
