package configuration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/reelrun/reelrun/api"
)

// EngineRef is an engine with its pool.
type EngineRef struct {
	Engine *api.Engine
	Pool   *api.Pool
}

// Snapshot is one version of the configuration with its indexes. It never
// changes.
type Snapshot struct {
	Head          Head
	Configuration *api.Configuration

	tenants  map[string]*api.Tenant
	tokens   map[string]*api.Tenant
	classes  map[string]*api.Class
	pools    map[string]*api.Pool
	models   map[string][]*api.Pool
	engines  map[string]EngineRef
	services map[string]*api.Service
}

// NewSnapshot indexes a configuration.
func NewSnapshot(head Head, configuration *api.Configuration) *Snapshot {
	configuration.SetDefaults()
	s := &Snapshot{
		Head: head, Configuration: configuration,
		tenants: map[string]*api.Tenant{}, tokens: map[string]*api.Tenant{}, classes: map[string]*api.Class{},
		pools: map[string]*api.Pool{}, models: map[string][]*api.Pool{}, engines: map[string]EngineRef{}, services: map[string]*api.Service{},
	}
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		s.tenants[tenant.Name] = tenant
		for _, hash := range tenant.TokenHashes {
			s.tokens[hash] = tenant
		}
	}
	for i := range configuration.Classes {
		s.classes[configuration.Classes[i].Name] = &configuration.Classes[i]
	}
	for i := range configuration.Pools {
		s.addPool(&configuration.Pools[i])
	}
	for i := range configuration.Services {
		s.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
	return s
}

func (s *Snapshot) addPool(pool *api.Pool) {
	s.pools[pool.Name] = pool
	s.models[pool.Model] = append(s.models[pool.Model], pool)
	for i := range pool.Engines {
		s.engines[pool.Engines[i].Name] = EngineRef{Engine: &pool.Engines[i], Pool: pool}
	}
}

// Version returns the version; zero if there is no configuration yet.
func (s *Snapshot) Version() uint64 { return s.Head.Version }

// HashToken returns the stored form of a bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TenantByToken returns the tenant of a bearer token. The look-up goes by the
// token's digest, whose timing tells nothing of a stored token, and the digests
// are then compared in constant time.
func (s *Snapshot) TenantByToken(token string) (*api.Tenant, bool) {
	digest := HashToken(token)
	tenant, ok := s.tokens[digest]
	if !ok {
		return nil, false
	}
	match := 0
	for _, hash := range tenant.TokenHashes {
		match |= subtle.ConstantTimeCompare([]byte(hash), []byte(digest))
	}
	return tenant, match == 1
}

// Tenant returns a tenant by name.
func (s *Snapshot) Tenant(name string) (*api.Tenant, bool) {
	tenant, ok := s.tenants[name]
	return tenant, ok
}

// Class returns a class by name.
func (s *Snapshot) Class(name string) (*api.Class, bool) {
	class, ok := s.classes[name]
	return class, ok
}

// Pool returns a pool by name.
func (s *Snapshot) Pool(name string) (*api.Pool, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// PoolsOf returns the pools that hold a model.
func (s *Snapshot) PoolsOf(model string) []*api.Pool { return s.models[model] }

// Engine returns an engine by name.
func (s *Snapshot) Engine(name string) (EngineRef, bool) {
	ref, ok := s.engines[name]
	return ref, ok
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*api.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}
