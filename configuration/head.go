package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
)

// HeadName is the name of the head object.
const HeadName = "head"

// Head lists the parts of one version of the configuration.
type Head struct {
	Version uint64 `json:"version"`
	// Change identifies the change that made this version, so that its author recognizes it after a lost
	// response.
	Change string `json:"change"`
	// Recent are the most recently accepted changes, this one first: after a change whose response was lost,
	// another may be accepted before the author of the first one repeats it.
	Recent []string `json:"recent,omitempty"`
	// ChangedObjects lists the objects that the change affected.
	ChangedObjects []string `json:"moved,omitempty"`
	// Parts are the digests of the parts, the fleet part first.
	Parts []string `json:"parts"`
	// Dropped are parts of the previous version that this one does not have.
	Dropped []string `json:"dropped,omitempty"`
}

// maxRecent bounds the accepted changes that a head lists.
const maxRecent = 32

// Accepted reports whether a change is among the most recently accepted ones.
func (h Head) Accepted(change string) bool { return slices.Contains(h.Recent, change) }

// Part is one immutable piece of the configuration.
type Part struct {
	Digest string
	Data   []byte
}

func newPart(value any) (Part, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Part{}, errors.Wrap(err, "encode part")
	}
	return Part{Digest: digestOf(data), Data: data}, nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// tenantsPerPart keeps a tenant part near 100 kB.
const tenantsPerPart = 256

// Split divides a configuration into parts: one with the classes, pools and services, and as many with tenants
// as their number requires. A tenant is assigned to a part by the hash of its name, so a change of one tenant
// changes one part.
func Split(configuration api.Configuration) ([]Part, error) {
	fleet := configuration
	fleet.Version = 0
	fleet.Tenants = nil
	first, err := newPart(fleet)
	if err != nil {
		return nil, err
	}
	parts := []Part{first}
	for _, tenants := range splitTenants(configuration.Tenants) {
		part, err := newPart(api.Configuration{Tenants: tenants})
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func splitTenants(tenants []api.Tenant) [][]api.Tenant {
	count := 1
	for count*tenantsPerPart < len(tenants) {
		count *= 2
	}
	groups := make([][]api.Tenant, count)
	for _, tenant := range tenants {
		group := xxhash.Sum64String(tenant.Name) % uint64(count)
		groups[group] = append(groups[group], tenant)
	}
	return groups
}

// decodePart decodes a part and sets the defaults of its objects, so that the snapshots which share them need
// not write to them.
func decodePart(data []byte) (*api.Configuration, error) {
	part := &api.Configuration{}
	if err := json.Unmarshal(data, part); err != nil {
		return nil, errors.Wrap(err, "decode part")
	}
	part.SetDefaults()
	internNames(part.Tenants)
	return part, nil
}

// internNames makes tenants share the names of classes and services. A decoder allocates a copy of each, which
// would be most of the memory of thousands of tenants.
func internNames(tenants []api.Tenant) {
	canonical := map[string]string{}
	intern := func(names []string) {
		for i, name := range names {
			if _, ok := canonical[name]; !ok {
				canonical[name] = name
			}
			names[i] = canonical[name]
		}
	}
	for i := range tenants {
		intern(tenants[i].Classes)
		intern(tenants[i].Services)
	}
}

// Join builds the configuration of a version from its decoded parts.
func Join(version uint64, parts []*api.Configuration) *api.Configuration {
	joined := &api.Configuration{Version: version}
	for _, part := range parts {
		joined.Tenants = append(joined.Tenants, part.Tenants...)
		joined.Classes = append(joined.Classes, part.Classes...)
		joined.Pools = append(joined.Pools, part.Pools...)
		joined.Services = append(joined.Services, part.Services...)
	}
	Sort(joined)
	return joined
}

// Sort orders the objects of a configuration by name.
func Sort(c *api.Configuration) {
	slices.SortFunc(c.Tenants, func(a, b api.Tenant) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Classes, func(a, b api.Class) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Pools, func(a, b api.Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b api.Service) int { return strings.Compare(a.Name, b.Name) })
}

// Objects returns a digest for each object, by its reference such as "pools/x".
func Objects(c *api.Configuration) (map[string]string, error) {
	objects := map[string]string{}
	add := func(kind, name string, value any) error {
		part, err := newPart(value)
		objects[kind+"/"+name] = part.Digest
		return err
	}
	var failed error
	for _, tenant := range c.Tenants {
		failed = errors.CombineErrors(failed, add("tenants", tenant.Name, tenant))
	}
	for _, class := range c.Classes {
		failed = errors.CombineErrors(failed, add("classes", class.Name, class))
	}
	for _, pool := range c.Pools {
		failed = errors.CombineErrors(failed, add("pools", pool.Name, pool))
	}
	for _, service := range c.Services {
		failed = errors.CombineErrors(failed, add("services", service.Name, service))
	}
	return objects, failed
}

// ErrConflict reports that the configuration has changed since a plan was made.
type ErrConflict struct {
	// Planned and Current are the versions.
	Planned, Current uint64
	// ChangedObjects lists the objects that the newest change affected.
	ChangedObjects []string
}

// Error implements error.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("configuration moved from version %d to %d: %s", e.Planned, e.Current, strings.Join(e.ChangedObjects, ", "))
}
