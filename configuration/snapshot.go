package configuration

import (
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/tenant"
)

// EngineRef is an engine with its pool.
type EngineRef struct {
	Engine *api.Engine
	Pool   *api.Pool
}

// Snapshot is one version of the configuration with its indexes. It is immutable. Versions share the decoded
// parts that they have in common, so that the tenants of a large fleet are in memory once and not once per
// version.
type Snapshot struct {
	Head Head

	parts    []*api.Configuration
	tenants  map[string]*api.Tenant
	tokens   map[string]*api.Tenant
	classes  map[string]*api.Class
	pools    map[string]*api.Pool
	models   map[string][]*api.Pool
	engines  map[string]EngineRef
	services map[string]*api.Service
}

// NewSnapshot indexes the decoded parts of a version. It sets their defaults.
func NewSnapshot(head Head, parts ...*api.Configuration) *Snapshot {
	s := &Snapshot{
		Head: head, parts: parts,
		tenants: map[string]*api.Tenant{}, tokens: map[string]*api.Tenant{}, classes: map[string]*api.Class{},
		pools: map[string]*api.Pool{}, models: map[string][]*api.Pool{}, engines: map[string]EngineRef{}, services: map[string]*api.Service{},
	}
	for _, part := range parts {
		part.SetDefaults()
		s.add(part)
	}
	return s
}

func (s *Snapshot) add(part *api.Configuration) {
	for i := range part.Tenants {
		tenant := &part.Tenants[i]
		s.tenants[tenant.Name] = tenant
		for _, hash := range tenant.TokenHashes {
			s.tokens[hash] = tenant
		}
	}
	for i := range part.Classes {
		s.classes[part.Classes[i].Name] = &part.Classes[i]
	}
	for i := range part.Pools {
		s.addPool(&part.Pools[i])
	}
	for i := range part.Services {
		s.services[part.Services[i].Name] = &part.Services[i]
	}
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
	digest := tenant.DigestKey(token)
	return hex.EncodeToString(digest[:])
}

// TenantByToken returns the tenant of a bearer token. The lookup uses the token's digest, so that its timing
// reveals nothing about stored tokens. The digests are then compared in constant time.
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

// Merged returns all objects, ordered by name, in newly allocated lists. It uses memory for every tenant and is
// meant for operators' calls.
func (s *Snapshot) Merged() *api.Configuration { return Join(s.Head.Version, s.parts) }

// PoolNames returns the names of all pools, in no particular order.
func (s *Snapshot) PoolNames() []string { return slices.Collect(maps.Keys(s.pools)) }

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

// PoolsOf returns the pools that serve a model.
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
